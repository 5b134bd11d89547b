/**
 * @file integer_message.h
 * Messages between instances that are one flat msgpack array of unsigned integers: rows of equal length,
 * one behind the other.
 */
#ifndef WHARF_NET_INTEGER_MESSAGE_H
#define WHARF_NET_INTEGER_MESSAGE_H

#include <msgpack.h>

#include <dragonflywharf/status.h>

#ifdef __cplusplus
extern "C" {
#endif

/** Bytes that an integer takes at most. */
#define INTEGER_MESSAGE_INTEGER_BYTES 9
/** Integers in a message at most. */
#define INTEGER_MESSAGE_MAX 512

/** A kind of messages. */
struct integer_message_kind {
	const char *name; /**< for errors */
	uint32_t row_integers;
	uint32_t rows_max;
};

/** Appends a message of @p rows rows. @return DW_OK, DW_TOO_LARGE or DW_NO_MEMORY */
enum dw_status integer_message_encode(const struct integer_message_kind *kind,
				      const uint64_t *integers, size_t rows,
				      msgpack_sbuffer *buffer);

/** @return DW_OK, DW_TOO_LARGE or DW_INVALID_ARGUMENT; @p rows is 0 unless DW_OK */
enum dw_status integer_message_decode(const struct integer_message_kind *kind, const uint8_t *bytes,
				      size_t len, uint64_t integers[INTEGER_MESSAGE_MAX],
				      size_t *rows);

#ifdef __cplusplus
}
#endif

#endif
