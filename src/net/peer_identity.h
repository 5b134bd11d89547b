/**
 * @file peer_identity.h
 * The identity that a daemon sends when it opens a connection to a peer.
 */
#ifndef WHARF_NET_PEER_IDENTITY_H
#define WHARF_NET_PEER_IDENTITY_H

#include <msgpack.h>

#include <dragonflywharf/member_key.h>
#include <dragonflywharf/status.h>

#ifdef __cplusplus
extern "C" {
#endif

#define DW_PEER_NAME_BYTES 65
#define DW_PEER_IP_BYTES 16

struct dw_peer_identity {
	struct dw_member_key key;
	char name[DW_PEER_NAME_BYTES];
	char failure_domain[DW_PEER_NAME_BYTES];
	char ip[DW_PEER_IP_BYTES]; /**< address at which the daemon accepts connections from peers */
	uint16_t port;
};

/** Packs @p identity. */
void dw_peer_identity_pack(msgpack_packer *packer, const struct dw_peer_identity *identity);

/** Decodes an identity. DW_INVALID_ARGUMENT if it is malformed or a string is too long. */
enum dw_status dw_peer_identity_unpack(const msgpack_object *object, struct dw_peer_identity *out);

#ifdef __cplusplus
}
#endif

#endif
