/**
 * @file peers.h
 * The other instances: membership over UDP on the peer address, this instance's place among the
 * members, and datagrams with digests.
 *
 * A datagram is one byte for the protocol's version, one for its kind, and its content. Limits that
 * apply to all instances together are divided by the estimate that peers_estimated_instances()
 * derives from the members.
 */
#ifndef GATEWAY_PEERS_H
#define GATEWAY_PEERS_H

#include <uv.h>

#include <dragonflywharf/membership.h>
#include <dragonflywharf/view_tree.h>

#include "base/counter.h"
#include "base/log.h"
#include "wharf-gateway/gateway_settings.h"

/** Kinds of digests; the numbers are those in the datagrams. */
enum peers_digest {
	PEERS_LOADS = 2, /**< loads of engines */
	PEERS_PINS = 3, /**< versions that sessions use */
	PEERS_CRASHES = 4, /**< evidence of requests that crash engines */
	PEERS_ABANDONED = 5, /**< the same, of runs that were given up before the crash */
	PEERS_LEAVING = 6, /**< engines that said that they leave */
	PEERS_PARTS = 7, /**< parts of prompts under which engines end */
};

struct peers_callbacks {
	/** The members that take part have changed, and this instance's place with them. */
	void (*on_place)(void *owner, const struct dw_view_place *place,
			 const struct dw_view_member *members, uint32_t count);
	/** A member sent a digest. */
	void (*on_digest)(void *owner, const struct dw_member *from, enum peers_digest kind,
			  const uint8_t *bytes, size_t len);
};

struct peers {
	const struct gateway_settings *settings;
	struct dw_log *log;
	struct dw_counters *counters;
	const struct peers_callbacks *callbacks;
	void *owner;
	uv_udp_t socket;
	uv_timer_t timer;
	struct dw_membership *membership; /**< NULL: no peer address */
	uint64_t instance_id;
	uint64_t random;
	uint64_t started_at_us;
	uint64_t place_due_us; /**< when the place is computed anew; 0: it is up to date */
	struct dw_view_place place;
	uint32_t slack_rank; /**< among all known members, dead ones included */
	uint64_t datagrams_sent;
	uint64_t bytes_sent;
	char receive_buffer[2048]; /**< for one datagram */
};

void peers_init(struct peers *peers, const struct gateway_settings *settings, struct dw_log *log,
		struct dw_counters *counters);
void peers_close(struct peers *peers);
/** Binds the peer address and joins the other instances; does nothing without a peer address. */
enum dw_status peers_start(struct peers *peers, uv_loop_t *loop, uint64_t seed,
			   const struct peers_callbacks *callbacks, void *owner);
/** Tells the others that this instance is stopping. */
void peers_leave(struct peers *peers);

/** Adds an address at which another instance may be found. */
void peers_add_seed(struct peers *peers, const struct dw_endpoint *address);
/** Number of seeds in the settings at which another instance may be found. */
uint32_t peers_seed_count(const struct peers *peers);
/** The peer address at one of these seeds; @p index is below their number. */
struct dw_endpoint peers_seed(const struct peers *peers, uint32_t index);
/** Whether this instance is a seed of the others. */
bool peers_is_seed(const struct peers *peers);
/** The peer address of a member; false if it isn't known or dead. */
bool peers_find(const struct peers *peers, uint64_t instance_id, struct dw_endpoint *address);

/**
 * The other member that has run for the longest, or the one after @p index of these, from the first one again
 * if they are fewer; 0 if there are none. */
uint64_t peers_oldest(const struct peers *peers, uint32_t index);

/** Sends a digest to a member. */
void peers_send_digest(struct peers *peers, uint64_t to, enum peers_digest kind,
		       const uint8_t *bytes, size_t len);

/**
 * This instance's rank among all members known in the last minute, from 0; UINT32_MAX while it knows
 * no other one. Dead members keep theirs, so that the two sides of a cut don't count from 0 each.
 */
uint32_t peers_slack_rank(const struct peers *peers);

/** Whether fewer than half of the other instances known in the last minute are heard, or none is
 * known. */
bool peers_are_few_heard(const struct peers *peers);

/** Estimated number of instances, including starting ones and ones that are cut off. An instance
 * that should have others and has met none assumes many; one without a peer address, very few. */
uint32_t peers_estimated_instances(const struct peers *peers, uint64_t now_us);

#endif
