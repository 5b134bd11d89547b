/**
 * @file value_codec.h
 * Large values of the store's records on their way between instances: compressed with zstd, against
 * the value before where the receiver has it. A configuration of a megabyte that changes in one
 * route takes some hundred bytes then.
 */
#ifndef WHARF_NET_VALUE_CODEC_H
#define WHARF_NET_VALUE_CODEC_H

#include <stdint.h>

#include <dragonflywharf/status.h>

#include "base/bytes.h"

#ifdef __cplusplus
extern "C" {
#endif

/** Part of memory that a value refers to; without bytes there is none. */
struct value_bytes {
	const uint8_t *bytes;
	size_t len;
};

/** Appends @p value, packed against @p base. @return DW_NO_MEMORY, DW_INTERNAL */
enum dw_status value_pack(struct value_bytes value, struct value_bytes base, struct bytes *out);

/**
 * Appends the value and a NUL byte that isn't counted.
 * @return DW_TOO_LARGE if it has more than @p max_len bytes; DW_INVALID_ARGUMENT if it is malformed or
 * was packed against another base; DW_NO_MEMORY
 */
enum dw_status value_unpack(struct value_bytes packed, struct value_bytes base, size_t max_len,
			    struct bytes *out);

#ifdef __cplusplus
}
#endif

#endif
