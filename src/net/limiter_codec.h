/**
 * @file limiter_codec.h
 * msgpack form of share messages and rosters.
 */
#ifndef WHARF_NET_LIMITER_CODEC_H
#define WHARF_NET_LIMITER_CODEC_H

#include <msgpack.h>

#include "dragonflywharf/roster.h"
#include "dragonflywharf/limiter.h"

#ifdef __cplusplus
extern "C" {
#endif

void dw_limiter_message_pack(msgpack_packer *packer, const struct dw_limiter_message *message);

/** The message is cleared by the caller on DW_OK only; else DW_INVALID_ARGUMENT or DW_TOO_LARGE. */
enum dw_status dw_limiter_message_unpack(const msgpack_object *object,
					 struct dw_limiter_message *out);

void dw_roster_pack(msgpack_packer *packer, const struct dw_roster *roster);

/** DW_INVALID_ARGUMENT unless the value is a roster that passes dw_roster_check(). */
enum dw_status dw_roster_unpack(const msgpack_object *object, struct dw_roster *out);

#ifdef __cplusplus
}
#endif

#endif
