/**
 * @file peer_bus.h
 * Messages between daemons: their types, sending, and dispatch to the modules that handle them.
 */
#ifndef DAEMON_PEER_BUS_H
#define DAEMON_PEER_BUS_H

#include <msgpack.h>

#include "dragonflywharfd/daemon.h"

/** First byte of each peer message. Numbers of removed types must not be reused. */
enum peer_message_type {
	PEER_MEMBERSHIP = 1,
	PEER_CONFIG_DELTA = 2,
	PEER_CONFIG_PULL = 3,
	PEER_LIMITER = 4,
	PEER_ROLLOUT = 5,
	PEER_QUARANTINE = 6,
	PEER_LEDGER = 7,
	PEER_WARMUP = 8,
	PEER_SESSION_QUERY = 9,
	PEER_SESSION_REPLY = 10,
	PEER_CONFIG_CONFIRM = 11,
	PEER_ABANDONED = 12, /**< as PEER_QUARANTINE, of runs that were given up before the crash */
	PEER_STORE_RESTORED = 13, /**< nil; the store came back from an older copy */
	PEER_MESSAGE_LIMIT
};

/** Buffer in which a message is packed. */
struct peer_message_buffer {
	msgpack_sbuffer bytes;
	msgpack_packer packer;
};

void peer_message_buffer_init(struct peer_message_buffer *buffer);
void peer_message_buffer_clear(struct peer_message_buffer *buffer);

/** Starts the peer mesh according to the daemon's settings. */
enum dw_status peer_bus_start(struct daemon *daemon);

/** Sends to the member with @p instance_id; drops the message if there is none. */
void peer_bus_send(struct daemon *daemon, uint64_t instance_id, enum peer_message_type type,
		   const struct peer_message_buffer *buffer);

/** Sends to at most @p fanout other live members, chosen at random. */
void peer_bus_gossip(struct daemon *daemon, uint32_t fanout, enum peer_message_type type,
		     const struct peer_message_buffer *buffer);

/** A random live member other than this one; NULL if there is none. */
const struct dw_member *peer_bus_random_member(struct daemon *daemon);

/**
 * Sends the next part of all roll-out evidence and holds to a random peer, at most once a second,
 * to make up for lost messages. After a start it first asks peers for their evidence.
 */
void peer_bus_resend_evidence(struct daemon *daemon, uint64_t now_us);

/** Sends the pending messages of membership, limiter, roll-out and quarantine. */
void peer_bus_flush(struct daemon *daemon);

#endif
