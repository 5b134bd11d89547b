/**
 * @file leaving_codec.h
 * Messages about upstreams that leave: one flat array of ids and incarnations.
 */
#ifndef WHARF_NET_LEAVING_CODEC_H
#define WHARF_NET_LEAVING_CODEC_H

#include <msgpack.h>

#include <dragonflywharf/crash_check.h>
#include <dragonflywharf/status.h>

#ifdef __cplusplus
extern "C" {
#endif

/** Lifetimes in a message at most. */
#define LEAVING_MESSAGE_ENTRIES 64

/** Appends a message. @return DW_OK, DW_TOO_LARGE or DW_NO_MEMORY */
enum dw_status leaving_message_encode(const struct dw_crash_upstream *upstreams, size_t count,
				      msgpack_sbuffer *buffer);

/** @return DW_OK, DW_TOO_LARGE or DW_INVALID_ARGUMENT */
enum dw_status leaving_message_decode(const uint8_t *bytes, size_t len,
				      struct dw_crash_upstream upstreams[LEAVING_MESSAGE_ENTRIES],
				      size_t *count);

#ifdef __cplusplus
}
#endif

#endif
