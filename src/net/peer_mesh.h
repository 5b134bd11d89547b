/**
 * @file peer_mesh.h
 * Authenticated message passing between daemons over TCP.
 *
 * A frame on the wire is a length (32 bits, big endian) and an encrypted body. A decrypted body is
 * one byte of message type and a msgpack value. A connection carries messages from its initiator
 * only, so that a network failure in one direction does not stop messages in the other. Delivery is
 * not guaranteed: a message that cannot be sent is dropped and counted, and the protocols built on
 * the mesh retransmit what they need.
 */
#ifndef WHARF_NET_PEER_MESH_H
#define WHARF_NET_PEER_MESH_H

#include <uv.h>

#include "base/log.h"
#include "net/peer_channel.h"
#include "net/peer_identity.h"

#ifdef __cplusplus
extern "C" {
#endif

#define DW_PEER_FRAME_MAX_BYTES (4U << 20)

struct dw_peer_mesh;

/** A received msgpack value, parsed and as raw bytes; valid only within the callback. */
struct dw_peer_payload {
	const msgpack_object *value;
	const uint8_t *bytes;
	size_t len;
};

/** Called for each message received from an authenticated peer. */
typedef void (*dw_peer_message_callback)(const struct dw_peer_identity *from, uint8_t type,
					 const struct dw_peer_payload *payload, void *data);

struct dw_peer_mesh_options {
	const char *bind_ip;
	uint16_t bind_port;
	/** Sent to peers when connecting; port 0 is replaced by the bound port. */
	struct dw_peer_identity self;
	uint8_t cluster_key[DW_CLUSTER_KEY_BYTES];
	struct dw_log *log; /**< receives peer.refused events */
	dw_peer_message_callback on_message;
	void *data;
};

/** Counters since the start; they only increase. */
struct dw_peer_mesh_stats {
	uint64_t sent_bytes;
	uint64_t received_bytes;
	uint64_t sent_messages;
	uint64_t received_messages;
	uint64_t dropped_messages;
	uint64_t refused_peers;
};

/** Binds the listener and starts the mesh. @p out is set to NULL on failure. */
enum dw_status dw_peer_mesh_start(struct dw_peer_mesh **out, uv_loop_t *loop,
				  const struct dw_peer_mesh_options *options);

/** The bound port. */
uint16_t dw_peer_mesh_port(const struct dw_peer_mesh *mesh);

const struct dw_peer_mesh_stats *dw_peer_mesh_stats(const struct dw_peer_mesh *mesh);

/** Sends a message with type @p type and the msgpack bytes @p value to the daemon at @p ip:@p port,
 * connecting to it first if needed. */
void dw_peer_mesh_send(struct dw_peer_mesh *mesh, const char *ip, uint16_t port, uint8_t type,
		       const void *value, size_t len);

/** Starts closing all connections and the listener; the mesh is freed once all are closed. */
void dw_peer_mesh_stop(struct dw_peer_mesh *mesh);

#ifdef __cplusplus
}
#endif

#endif
