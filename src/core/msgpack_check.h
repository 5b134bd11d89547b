/**
 * @file msgpack_check.h
 * Bounds what msgpack bytes from outside may claim before they are unpacked.
 *
 * An array header of a few bytes may claim four thousand million elements, and the unpacker
 * allocates them at once. After this check an unpacked object has at most @p len elements.
 */
#ifndef WHARF_CORE_MSGPACK_CHECK_H
#define WHARF_CORE_MSGPACK_CHECK_H

#include <msgpack.h>

#include <dragonflywharf/status.h>

#ifdef __cplusplus
extern "C" {
#endif

/**
 * Whether @p bytes are exactly one msgpack object, whole, nested at most 8 deep.
 * @return DW_OK or DW_INVALID_ARGUMENT.
 */
enum dw_status dw_msgpack_check(const uint8_t *bytes, size_t len);

/**
 * Unpacks @p bytes, at most @p max_bytes, after that check; @p what names the value in messages.
 * On DW_OK the caller destroys @p out. Errors: DW_TOO_LARGE, DW_INVALID_ARGUMENT.
 */
enum dw_status dw_msgpack_unpack(const uint8_t *bytes, size_t len, size_t max_bytes,
				 const char *what, msgpack_unpacked *out);

#ifdef __cplusplus
}
#endif

#endif
