/**
 * @file quarantine_codec.h
 * Encodes the crash evidence that peers exchange as msgpack.
 *
 * A message is one flat array with five integers for each entry: fingerprint low and high, upstream,
 * upstream incarnation, and remaining microseconds.
 */
#ifndef WHARF_NET_QUARANTINE_CODEC_H
#define WHARF_NET_QUARANTINE_CODEC_H

#include <msgpack.h>

#include <dragonflywharf/quarantine.h>

#ifdef __cplusplus
extern "C" {
#endif

/** Maximum number of entries in one message. */
#define DW_QUARANTINE_MESSAGE_ENTRIES 64

/** Appends a message with @p count entries to @p buffer. @return DW_OK, DW_TOO_LARGE or DW_NO_MEMORY. */
enum dw_status dw_quarantine_message_encode(const struct dw_quarantine_evidence *evidence,
					    size_t count, msgpack_sbuffer *buffer);

/** Decodes a message into @p evidence. @return DW_OK, DW_TOO_LARGE or DW_INVALID_ARGUMENT. */
enum dw_status
dw_quarantine_message_decode(const uint8_t *bytes, size_t len,
			     struct dw_quarantine_evidence evidence[DW_QUARANTINE_MESSAGE_ENTRIES],
			     size_t *count);

#ifdef __cplusplus
}
#endif

#endif
