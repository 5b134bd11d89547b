/**
 * @file msgpack_read.h
 * Helpers that read msgpack values with type and range checks, and pack strings.
 */
#ifndef WHARF_NET_MSGPACK_READ_H
#define WHARF_NET_MSGPACK_READ_H

#include <msgpack.h>

#include <dragonflywharf/status.h>

#ifdef __cplusplus
extern "C" {
#endif

/** Elements of an array of exactly @p count elements; NULL for any other object. */
const msgpack_object *dw_msgpack_read_array(const msgpack_object *object, uint32_t count);

/** Reads an unsigned integer; false if @p object is not one or exceeds @p max. */
bool dw_msgpack_read_uint(const msgpack_object *object, uint64_t max, uint64_t *out);

/** Copies a string and NUL-terminates it; false if @p object is not one or @p out is too small. */
bool dw_msgpack_read_string(const msgpack_object *object, char *out, size_t capacity);

/** Packs a NUL-terminated string. */
void dw_msgpack_pack_string(msgpack_packer *packer, const char *string);

#ifdef __cplusplus
}
#endif

#endif
