/**
 * @file member_codec.h
 * msgpack form of membership messages.
 */
#ifndef WHARF_NET_MEMBER_CODEC_H
#define WHARF_NET_MEMBER_CODEC_H

#include <msgpack.h>

#include <dragonflywharf/membership.h>

#ifdef __cplusplus
extern "C" {
#endif

void dw_member_message_pack(msgpack_packer *packer, const struct dw_member_message *message);

/** DW_INVALID_ARGUMENT for any other shape. */
enum dw_status dw_member_message_unpack(const msgpack_object *object,
					struct dw_member_message *out);

#ifdef __cplusplus
}
#endif

#endif
