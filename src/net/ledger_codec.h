/**
 * @file ledger_codec.h
 * Encodes the ledger messages that peers exchange as msgpack.
 *
 * A message is one array: [kind, owner instance, owner incarnation, written_seq, seq, [record, ...]].
 */
#ifndef WHARF_NET_LEDGER_CODEC_H
#define WHARF_NET_LEDGER_CODEC_H

#include <msgpack.h>

#include <dragonflywharf/ledger.h>

#ifdef __cplusplus
extern "C" {
#endif

/** Upper bound of the size of an encoded message; decoding rejects larger input. */
#define DW_LEDGER_MESSAGE_MAX_BYTES (DW_LEDGER_MESSAGE_RECORDS * 260 + 64)

/** Appends @p message to @p buffer. @return DW_OK or DW_NO_MEMORY. */
enum dw_status dw_ledger_message_encode(const struct dw_ledger_message *message,
					msgpack_sbuffer *buffer);

/** Decodes a message. @return DW_OK, DW_TOO_LARGE or DW_INVALID_ARGUMENT. */
enum dw_status dw_ledger_message_decode(const uint8_t *bytes, size_t len,
					struct dw_ledger_message *message);

#ifdef __cplusplus
}
#endif

#endif
