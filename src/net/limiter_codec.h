/**
 * @file limiter_codec.h
 * Encodes the messages of the distributed concurrency limiter, and rosters, as msgpack.
 */
#ifndef WHARF_NET_LIMITER_CODEC_H
#define WHARF_NET_LIMITER_CODEC_H

#include <msgpack.h>

#include "dragonflywharf/roster.h"
#include "dragonflywharf/limiter.h"

#ifdef __cplusplus
extern "C" {
#endif

/** Packs @p message. */
void dw_limiter_message_pack(msgpack_packer *packer, const struct dw_limiter_message *message);

/**
 * Decodes a message. On DW_OK, and only then, the caller must call dw_limiter_message_clear().
 * @return DW_OK, DW_INVALID_ARGUMENT, DW_TOO_LARGE or DW_NO_MEMORY.
 */
enum dw_status dw_limiter_message_unpack(const msgpack_object *object,
					 struct dw_limiter_message *out);

/** Packs @p roster. */
void dw_roster_pack(msgpack_packer *packer, const struct dw_roster *roster);

/** Decodes a roster. DW_INVALID_ARGUMENT if it is malformed, else the result of dw_roster_check(). */
enum dw_status dw_roster_unpack(const msgpack_object *object, struct dw_roster *out);

#ifdef __cplusplus
}
#endif

#endif
