/**
 * @file msgpack_check.h
 * Validates untrusted msgpack data before it is unpacked.
 *
 * An array header of a few bytes can declare four billion elements, and the unpacker allocates
 * memory for all of them at once. Data that passes this check has at most as many elements as
 * bytes.
 */
#ifndef WHARF_CORE_MSGPACK_CHECK_H
#define WHARF_CORE_MSGPACK_CHECK_H

#include <msgpack.h>

#include <dragonflywharf/status.h>

#ifdef __cplusplus
extern "C" {
#endif

/**
 * Checks that @p bytes are exactly one complete msgpack object, with at most 8 levels of nesting.
 * @return DW_OK or DW_INVALID_ARGUMENT.
 */
enum dw_status dw_msgpack_check(const uint8_t *bytes, size_t len);

/**
 * Checks and unpacks @p bytes; @p what names the value in error messages. On DW_OK the caller must
 * destroy @p out.
 * @return DW_TOO_LARGE if there are more than @p max_bytes, DW_INVALID_ARGUMENT if malformed.
 */
enum dw_status dw_msgpack_unpack(const uint8_t *bytes, size_t len, size_t max_bytes,
				 const char *what, msgpack_unpacked *out);

#ifdef __cplusplus
}
#endif

#endif
