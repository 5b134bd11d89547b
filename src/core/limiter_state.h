/**
 * @file limiter_state.h
 * State of struct dw_limiter, shared by its parts: limiter.c (permits, time), limiter_slots.c (states of
 * slots), limiter_epoch.c (rosters, ownership), limiter_messages.c (messages), limiter_status.c (reading).
 */
#ifndef DW_CORE_LIMITER_STATE_H
#define DW_CORE_LIMITER_STATE_H

#include <uthash.h>

#include "dragonflywharf/limiter.h"

#define DW_ROSTER_INDEX_NONE UINT8_MAX
#define DW_LIMITER_SLOT_BLOCK 32 /**< slots are tracked in blocks, beyond the limit too */
#define DW_LIMITER_WAITERS_MAX 256
#define DW_LIMITER_WAITERS_PER_UPSTREAM 4
#define DW_LIMITER_OUTBOX_MAX 65536
#define DW_LIMITER_LOAN_POLL_US UINT64_C(10000000) /**< between checks of running loans */

enum dw_slot_state {
	DW_SLOT_NOT_HELD, /**< another member's, not held here */
	DW_SLOT_FREE, /**< owned, unused */
	DW_SLOT_USED, /**< a request of this instance runs on it; owned or borrowed */
	DW_SLOT_IDLE, /**< borrowed, unused */
	DW_SLOT_LENT, /**< owned, held by `holder` */
	DW_SLOT_STATE_COUNT
};

struct dw_limiter_slot {
	uint64_t hold_seq; /**< of the present hold, numbered by its holder */
	uint32_t position; /**< in the list of holds or of loans */
	uint8_t owner; /**< index in the roster */
	uint8_t holder; /**< index in the roster, when lent */
	uint8_t state; /**< enum dw_slot_state */
	bool unsettled; /**< owned, but a former owner or its borrower may still use it */
};

struct dw_limiter_upstream {
	uint64_t id;
	uint32_t limit;
	uint32_t cold_limit;
	bool cold;
	bool ready; /**< is in the list of ready upstreams */
	bool local_turn; /**< a waiting peer was served last */
	uint32_t slot_count;
	struct dw_limiter_slot *slots;
	uint64_t *free_bits; /**< owned, free and settled */
	uint64_t *idle_bits; /**< borrowed and idle */
	uint32_t ask_cursor; /**< slot whose owner is asked next */
	uint32_t wait_cursor; /**< slot whose owner is asked next to let us wait */
	uint64_t asked[DW_ROSTER_MEMBERS_MAX / 64]; /**< owners that had no free slot this round */
	uint32_t asks;
	uint32_t waiters;
	uint64_t ask_again_at_us;
	UT_hash_handle hh;
};

struct dw_slot_ref {
	struct dw_limiter_upstream *upstream;
	uint64_t return_at_us; /**< holds: a loan isn't used again from then on */
	uint32_t slot;
};

struct dw_slot_list {
	struct dw_slot_ref *refs;
	uint32_t count;
	uint32_t capacity;
};

struct dw_limiter_borrow_request {
	struct dw_limiter_upstream *upstream;
	uint64_t seq;
	uint64_t deadline_us;
	uint8_t member;
};

/** A peer that waits for a slot. */
struct dw_limiter_waiter {
	struct dw_limiter_upstream *upstream;
	uint64_t seq;
	uint64_t deadline_us;
	uint8_t member;
};

/** A slot that was given up at the adoption of the present epoch. */
struct dw_limiter_handover {
	uint8_t owner;
	struct dw_limiter_entry entry;
};

/** What is known of a member of the roster. */
struct dw_limiter_peer {
	uint64_t declared_seq; /**< latest declaration taken in */
	uint64_t floor_seq; /**< it accepts no grants up to here */
	uint32_t lent_count;
	bool unreachable; /**< isn't asked */
	bool acknowledged; /**< has declared itself in the present epoch */
	bool declare_due;
	bool answer_wanted; /**< of the declaration that is due */
};

struct dw_limiter_queued_message {
	struct dw_member_key to;
	struct dw_limiter_message message;
};

struct dw_limiter {
	struct dw_member_key self;
	struct dw_roster roster;
	uint64_t digest;
	uint64_t epoch_seen;
	uint8_t self_index; /**< DW_ROSTER_INDEX_NONE: not in the roster */
	bool leaving;
	bool settled;
	uint32_t unsettled_count;
	uint32_t own_in_flight; /**< running on owned slots */
	uint64_t last_seq; /**< of holds and asks */
	uint64_t declare_seq;
	uint64_t poll_at_us;
	uint64_t loan_poll_at_us;
	struct dw_limiter_upstream *upstreams; /**< uthash by id */
	struct dw_slot_list holds; /**< slots of others that are used or idle here */
	struct dw_slot_list lent;
	struct dw_limiter_handover *handed;
	uint32_t handed_count;
	uint32_t handed_capacity;
	struct dw_limiter_peer peers[DW_ROSTER_MEMBERS_MAX];
	struct dw_limiter_borrow_request asks[DW_LIMITER_BORROW_REQUESTS_MAX];
	uint32_t ask_count;
	struct dw_limiter_waiter waiters[DW_LIMITER_WAITERS_MAX];
	uint32_t waiter_count;
	struct dw_limiter_queued_message *outbox;
	uint32_t outbox_head;
	uint32_t outbox_count;
	uint32_t outbox_capacity;
	uint64_t *ready;
	uint32_t ready_count;
	uint32_t ready_capacity;
};

/** Grows an array of @p size bytes an element; ends the process without memory. */
void *dw_limiter_grow_array(void *array, uint32_t *capacity, uint32_t needed, size_t size);

struct dw_limiter_upstream *dw_limiter_find_upstream(const struct dw_limiter *share,
						     uint64_t upstream_id);

/** The upstream, created with a limit of 0 if unknown, with at least @p slot_count slots. */
enum dw_status dw_limiter_ensure_slots(struct dw_limiter *share, uint64_t upstream_id,
				       uint32_t slot_count, struct dw_limiter_upstream **out);

/** Slots that may give permits: the limit, or the cold one. */
uint32_t dw_limiter_effective_limit(const struct dw_limiter_upstream *up);

/** Takes a slot out of all indexes, before it is changed. */
void dw_limiter_unindex_slot(struct dw_limiter *share, struct dw_limiter_upstream *up, uint32_t i);

/** Puts a changed slot into the indexes of its state. */
void dw_limiter_index_slot(struct dw_limiter *share, struct dw_limiter_upstream *up, uint32_t i);

static inline bool dw_limiter_owns_slot(const struct dw_limiter *share,
					const struct dw_limiter_slot *slot)
{
	return share->self_index != DW_ROSTER_INDEX_NONE && slot->owner == share->self_index;
}

/** An owned slot has become free: lends it to a waiting peer or reports it as ready. */
void dw_limiter_slot_freed(struct dw_limiter *share, struct dw_limiter_upstream *up);

void dw_limiter_mark_ready(struct dw_limiter *share, struct dw_limiter_upstream *up);

bool dw_limiter_get_bit(const uint64_t *bits, uint32_t i);
void dw_limiter_set_bit(uint64_t *bits, uint32_t i, bool value);

/** Lowest set bit below @p limit, or UINT32_MAX. */
uint32_t dw_limiter_first_bit(const uint64_t *bits, uint32_t limit);

/** Index of the member with the highest rendezvous score for the slot. */
uint8_t dw_limiter_slot_owner(const struct dw_roster *roster, uint64_t upstream_id, uint32_t slot);

/** All members have declared themselves: owned slots that nobody named are free. */
void dw_limiter_settle(struct dw_limiter *share);

/** Queues ASK, GRANT, DENY or RETURN for the member with index @p member. */
void dw_limiter_send(struct dw_limiter *share, uint8_t member, enum dw_limiter_message_kind kind,
		     uint64_t upstream_id, uint64_t hold_seq, uint32_t slot);

void dw_limiter_lend_slot(struct dw_limiter *share, struct dw_limiter_upstream *up, uint32_t i,
			  uint8_t member, uint64_t seq);

/** Gives a loan back to the slot's present owner. */
void dw_limiter_return_loan(struct dw_limiter *share, struct dw_limiter_upstream *up, uint32_t i);

void dw_limiter_drop_borrow_request(struct dw_limiter *share, uint32_t position);

#endif
