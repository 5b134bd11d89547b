/**
 * @file msgpack_read.h
 * Reading fields of msgpack arrays with bounds.
 */
#ifndef WHARF_NET_MSGPACK_READ_H
#define WHARF_NET_MSGPACK_READ_H

#include <msgpack.h>

#include <dragonflywharf/status.h>

#ifdef __cplusplus
extern "C" {
#endif

/** The elements of an array of exactly @p count; NULL for any other object. */
const msgpack_object *dw_msgpack_fields(const msgpack_object *object, uint32_t count);

/** False unless it is a whole number of at most @p max. */
bool dw_msgpack_number(const msgpack_object *object, uint64_t max, uint64_t *out);

/** Copies a text with its NUL; false if it isn't one or is too long for @p capacity. */
bool dw_msgpack_text(const msgpack_object *object, char *out, size_t capacity);

/** Packs a NUL-terminated text. */
void dw_msgpack_pack_text(msgpack_packer *packer, const char *text);

#ifdef __cplusplus
}
#endif

#endif
