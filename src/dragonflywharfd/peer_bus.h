/**
 * @file peer_bus.h
 * Message types between daemons, and who takes each.
 */
#ifndef DAEMON_PEER_BUS_H
#define DAEMON_PEER_BUS_H

#include <msgpack.h>

#include "dragonflywharfd/daemon.h"

/** First byte of each peer message; numbers are never used again. */
enum peer_message {
	PEER_MEMBER = 1,
	PEER_CONFIG_DELTA = 2,
	PEER_CONFIG_PULL = 3,
	PEER_SHARE = 4,
	PEER_ROLLOUT = 5,
	PEER_QUARANTINE = 6,
	PEER_LEDGER = 7,
	PEER_WARMTH = 8,
	PEER_SESSION_ASK = 9,
	PEER_SESSION_ENTRY = 10,
	PEER_CONFIG_CONFIRM = 11,
	PEER_MESSAGE_LIMIT
};

/** A message under construction. */
struct peer_message_buffer {
	msgpack_sbuffer bytes;
	msgpack_packer packer;
};

void peer_message_buffer_init(struct peer_message_buffer *buffer);
void peer_message_buffer_clear(struct peer_message_buffer *buffer);

/** Starts the mesh with this daemon's settings. */
enum dw_status peer_bus_start(struct daemon *daemon);

/** Sends to a member by its instance; dropped if it isn't known. */
void peer_bus_send(struct daemon *daemon, uint64_t instance_id, enum peer_message type,
		   const struct peer_message_buffer *buffer);

/** Sends to at most @p fanout other live members, drawn at random. */
void peer_bus_gossip(struct daemon *daemon, uint32_t fanout, enum peer_message type,
		     const struct peer_message_buffer *buffer);

/** A live member other than this one, drawn at random; NULL if there is none. */
const struct dw_member *peer_bus_random_member(struct daemon *daemon);

/**
 * Tells one peer, drawn at random, the next part of all roll-out evidence and holds, once a second
 * or less often, so that what was lost on its way is made up for. A new instance asks first.
 */
void peer_bus_repeat_evidence(struct daemon *daemon, uint64_t now_us);

/** Sends what membership, share, roll-out and quarantine want to say. */
void peer_bus_flush(struct daemon *daemon);

#endif
