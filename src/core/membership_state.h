/**
 * @file membership_state.h
 * What a membership holds; shared by the parts of its implementation.
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
	bool to_verify; /**< dead here but alive to another member */
	bool is_queued;
	uint32_t sends; /**< times the queued update was sent */
	struct dw_member_entry *prev, *next; /**< in the queue of updates */
};

/** A message to send; its updates are chosen when it is taken. */
struct dw_member_queued_message {
	enum dw_member_message_kind kind;
	struct dw_member_address to;
	struct dw_member_key to_key;
	uint64_t sequence;
	bool want_sync;
	struct dw_member_key target;
	uint32_t first; /**< of a SYNC: index of the first member of this part */
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

/** A probe made for another member. */
struct dw_member_relay {
	uint64_t sequence; /**< 0: unused */
	struct dw_member_key requester;
	uint64_t requester_sequence;
};

struct dw_membership {
	struct dw_membership_options options;
	struct dw_member_entry *self;
	struct dw_member_entry *table; /**< by instance_id, this one included */
	struct dw_member_entry **members; /**< the same, by index */
	uint32_t count;
	uint32_t live_count;
	struct dw_member_entry *updates; /**< queue */
	struct dw_member_queued_message *outbox;
	struct dw_member_event_node *events;
	uint64_t *ring; /**< instance_ids in the order of probing */
	uint32_t ring_count;
	uint32_t ring_capacity;
	uint32_t ring_at;
	struct dw_member_probe probe;
	struct dw_member_relay relays[DW_MEMBER_RELAYS_MAX];
	uint32_t next_relay;
	uint64_t sequence;
	uint64_t period_count;
	uint64_t next_period_us;
	uint64_t next_check_us; /**< of the members' deadlines */
	uint64_t last_tick_us;
	uint64_t grace_deadline_us;
	uint64_t next_sync_us;
	uint64_t random;
	bool is_replaced;
};

/** A pseudo-random number (splitmix64), seeded by the ticks. */
uint64_t dw_membership_random(struct dw_membership *membership);

/** Members other than this one that aren't dead. */
uint32_t dw_membership_peer_count(const struct dw_membership *membership);

/** ceil(log2(n + 1)) of the members that aren't dead. */
uint32_t dw_membership_log_size(const struct dw_membership *membership);

struct dw_member_entry *dw_membership_find_entry(const struct dw_membership *membership,
						 uint64_t instance_id);

/** The slot of exactly that run; NULL if it is another. */
struct dw_member_entry *dw_membership_find_run(const struct dw_membership *membership,
					       struct dw_member_key key);

/** Takes in what a message says of a member. */
void dw_membership_merge(struct dw_membership *membership, const struct dw_member *record,
			 uint64_t now_us);

/** Sets a member's state, tells of it and queues the update. */
void dw_membership_set_state(struct dw_membership *membership, struct dw_member_entry *slot,
			     enum dw_member_state state, uint64_t now_us);

void dw_membership_remove(struct dw_membership *membership, uint32_t index);
void dw_membership_queue_update(struct dw_membership *membership, struct dw_member_entry *slot);

/** Queues a message to a member; returns it for more fields, NULL without memory. */
struct dw_member_queued_message *dw_membership_send(struct dw_membership *membership,
						    enum dw_member_message_kind kind,
						    const struct dw_member *to, uint64_t sequence);
struct dw_member_queued_message *dw_membership_send_to(struct dw_membership *membership,
						       enum dw_member_message_kind kind,
						       const struct dw_member_address *to,
						       uint64_t sequence);

/** Queues the whole list of members that aren't dead. */
void dw_membership_send_sync(struct dw_membership *membership, const struct dw_member *to);

#endif
