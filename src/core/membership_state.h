/**
 * @file membership_state.h
 * Internal state of struct dw_membership.
 */
#ifndef WHARF_CORE_MEMBERSHIP_STATE_H
#define WHARF_CORE_MEMBERSHIP_STATE_H

#include <dragonflywharf/membership.h>

#include <xxhash.h>

#define HASH_FUNCTION(keyptr, keylen, hashv) ((hashv) = (unsigned int)XXH3_64bits(keyptr, keylen))
#include <uthash.h>

#define DW_MEMBER_RELAYS_MAX 64

struct dw_member_entry {
	UT_hash_handle hh;
	struct dw_member member;
	uint64_t suspect_deadline_us; /**< when a suspect is declared dead */
	uint64_t forget_deadline_us; /**< when a dead member is forgotten */
	bool to_verify; /**< probe it: another member disagrees on whether it is dead */
	bool is_queued; /**< is in dw_membership.updates */
	uint32_t sends; /**< how often the queued update has been sent */
	struct dw_member_entry *prev, *next; /**< in dw_membership.updates */
};

/** A queued message; its updates are added when it is taken from the queue. */
struct dw_member_queued_message {
	enum dw_member_message_kind kind;
	struct dw_member_address to;
	struct dw_member_key to_key;
	uint64_t sequence;
	bool want_sync;
	struct dw_member_key target;
	uint32_t first; /**< SYNC only: index of the first member in this part of the list */
	struct dw_member_queued_message *prev, *next;
};

struct dw_member_event_node {
	struct dw_member_event event;
	struct dw_member_event_node *prev, *next;
};

struct dw_member_probe {
	bool is_active;
	bool is_acked;
	bool is_indirect;
	struct dw_member_key target;
	uint64_t sequence;
	uint64_t direct_deadline_us;
};

/** An indirect probe on behalf of another member. */
struct dw_member_relay {
	uint64_t sequence; /**< 0: unused entry */
	struct dw_member_key requester;
	uint64_t requester_sequence;
};

struct dw_membership {
	struct dw_membership_options options;
	struct dw_member_entry *self;
	struct dw_member_entry *table; /**< hash table by instance_id, including this member */
	struct dw_member_entry **members; /**< the same entries, by index */
	uint32_t count;
	uint32_t live_count; /**< members that aren't dead, including this one */
	struct dw_member_entry *updates; /**< queue of updates to piggyback on messages */
	struct dw_member_queued_message *outbox;
	struct dw_member_event_node *events;
	uint64_t *probe_order; /**< instance_ids in probing order for the current round */
	uint32_t probe_order_count;
	uint32_t probe_order_capacity;
	uint32_t probe_order_index;
	struct dw_member_probe probe;
	struct dw_member_relay relays[DW_MEMBER_RELAYS_MAX];
	uint32_t next_relay;
	uint64_t sequence;
	uint64_t period_count;
	uint64_t next_period_us;
	uint64_t next_check_us; /**< next check of the members' deadlines */
	uint64_t last_tick_us;
	uint64_t grace_deadline_us;
	uint64_t next_sync_us;
	uint64_t random;
	bool is_replaced;
};

/** A pseudo-random number (splitmix64), seeded by dw_membership_tick(). */
uint64_t dw_membership_random(struct dw_membership *membership);

/** Number of members that aren't dead, without this one. */
uint32_t dw_membership_peer_count(const struct dw_membership *membership);

/** ceil(log2(n + 1)), where n is the number of members that aren't dead. */
uint32_t dw_membership_log_size(const struct dw_membership *membership);

/** The entry of an instance, or NULL. */
struct dw_member_entry *dw_membership_find_entry(const struct dw_membership *membership,
						 uint64_t instance_id);

/** The entry of a run; NULL if unknown or if another run of the instance is known. */
struct dw_member_entry *dw_membership_find_run(const struct dw_membership *membership,
					       struct dw_member_key key);

/** Merges a received record of a member into the table. */
void dw_membership_merge(struct dw_membership *membership, const struct dw_member *record,
			 uint64_t now_us);

/** Sets a member's state; queues an event if it changed and an update for the other members. */
void dw_membership_set_state(struct dw_membership *membership, struct dw_member_entry *entry,
			     enum dw_member_state state, uint64_t now_us);

/** Removes the member with index @p index. */
void dw_membership_remove(struct dw_membership *membership, uint32_t index);
void dw_membership_queue_update(struct dw_membership *membership, struct dw_member_entry *entry);

/**
 * Queues a message to a member or an address. Returns it so that the caller can set more fields;
 * NULL if out of memory.
 */
struct dw_member_queued_message *dw_membership_send(struct dw_membership *membership,
						    enum dw_member_message_kind kind,
						    const struct dw_member *to, uint64_t sequence);
struct dw_member_queued_message *dw_membership_send_to(struct dw_membership *membership,
						       enum dw_member_message_kind kind,
						       const struct dw_member_address *to,
						       uint64_t sequence);

/** Queues SYNC messages with all members that aren't dead. */
void dw_membership_send_sync(struct dw_membership *membership, const struct dw_member *to);

#endif
