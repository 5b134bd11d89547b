/**
 * @file member_codec.h
 * Encodes membership messages as msgpack.
 */
#ifndef WHARF_NET_MEMBER_CODEC_H
#define WHARF_NET_MEMBER_CODEC_H

#include <msgpack.h>

#include <dragonflywharf/membership.h>

#ifdef __cplusplus
extern "C" {
#endif

/** Packs @p message. */
void dw_member_message_pack(msgpack_packer *packer, const struct dw_member_message *message);

/** Decodes a message. @return DW_OK, or DW_INVALID_ARGUMENT if it is malformed. */
enum dw_status dw_member_message_unpack(const msgpack_object *object,
					struct dw_member_message *out);

#ifdef __cplusplus
}
#endif

#endif
