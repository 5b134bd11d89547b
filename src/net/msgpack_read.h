/**
 * @file msgpack_read.h
 * Reading msgpack objects whose types and sizes aren't trusted.
 *
 * A reader walks the elements of one array. The first element that doesn't fit spoils the reader;
 * later reads give zeros, so that a decoder checks dw_msgpack_finish() once.
 */
#ifndef WHARF_NET_MSGPACK_READ_H
#define WHARF_NET_MSGPACK_READ_H

#include <msgpack.h>

#include <dragonflywharf/status.h>

#ifdef __cplusplus
extern "C" {
#endif

struct dw_msgpack_reader {
	const msgpack_object *elements;
	uint32_t count;
	uint32_t at;
	bool is_bad;
};

/** A reader over @p object, which must be an array of at most @p max elements. */
struct dw_msgpack_reader dw_msgpack_open(const msgpack_object *object, uint32_t max);

/** Elements not read yet. */
uint32_t dw_msgpack_rest(const struct dw_msgpack_reader *reader);

/** The next element of any type; NULL at the end. */
const msgpack_object *dw_msgpack_next(struct dw_msgpack_reader *reader);

/** An unsigned integer of at most @p max. */
uint64_t dw_msgpack_uint(struct dw_msgpack_reader *reader, uint64_t max);

bool dw_msgpack_bool(struct dw_msgpack_reader *reader);

/** Copies a text without NUL bytes into @p out, whose size includes the terminator. */
void dw_msgpack_text(struct dw_msgpack_reader *reader, char *out, size_t out_bytes);

/** Bytes of the message itself, at most @p max. */
const uint8_t *dw_msgpack_bytes(struct dw_msgpack_reader *reader, size_t max, size_t *len);

/** True if every element was read and fitted. */
bool dw_msgpack_finish(const struct dw_msgpack_reader *reader);

/**
 * Unpacks exactly one object that fills @p len bytes; free @p unpacked with
 * msgpack_unpacked_destroy() also after a failure. Errors: DW_INVALID_ARGUMENT, DW_TOO_LARGE.
 */
enum dw_status dw_msgpack_unpack(msgpack_unpacked *unpacked, const void *bytes, size_t len,
				 size_t max_bytes);

/** Packs a NUL-terminated text. */
void dw_msgpack_put_text(msgpack_packer *packer, const char *text);

#ifdef __cplusplus
}
#endif

#endif
