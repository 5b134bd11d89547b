/**
 * @file quarantine_codec.h
 * The msgpack form of crash evidence between peers.
 *
 * One flat array of integers, five for each piece: fingerprint low and high, upstream, upstream
 * incarnation, remaining microseconds.
 */
#ifndef WHARF_NET_QUARANTINE_CODEC_H
#define WHARF_NET_QUARANTINE_CODEC_H

#include <msgpack.h>

#include <dragonflywharf/quarantine.h>

#ifdef __cplusplus
extern "C" {
#endif

/** Pieces of evidence in one message at most. */
#define DW_QUARANTINE_MESSAGE_PIECES 64

/** Appends a message to @p buffer. @return DW_OK, DW_TOO_LARGE or DW_NO_MEMORY. */
enum dw_status dw_quarantine_message_encode(const struct dw_quarantine_evidence *pieces,
					    size_t count, msgpack_sbuffer *buffer);

/** Reads a message into @p pieces. @return DW_OK, DW_TOO_LARGE or DW_INVALID_ARGUMENT. */
enum dw_status
dw_quarantine_message_decode(const uint8_t *bytes, size_t len,
			     struct dw_quarantine_evidence pieces[DW_QUARANTINE_MESSAGE_PIECES],
			     size_t *count);

#ifdef __cplusplus
}
#endif

#endif
