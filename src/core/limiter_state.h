/**
 * @file limiter_state.h
 * Internal state of struct dw_limiter, used by limiter.c (permits, timers), limiter_slots.c (slot
 * states and indexes), limiter_epoch.c (rosters, ownership), limiter_messages.c (messages) and
 * limiter_status.c (read access).
 */
#ifndef DW_CORE_LIMITER_STATE_H
#define DW_CORE_LIMITER_STATE_H

#include <uthash.h>

#include "dragonflywharf/limiter.h"

#define DW_ROSTER_INDEX_NONE UINT8_MAX
#define DW_LIMITER_SLOT_BLOCK 32 /**< slot arrays grow by this, so may exceed the limit */
#define DW_LIMITER_WAITERS_MAX 256
#define DW_LIMITER_WAITERS_PER_UPSTREAM 4
#define DW_LIMITER_OUTBOX_MAX 65536
#define DW_LIMITER_LOAN_POLL_US UINT64_C(10000000) /**< interval between checks of active loans */

enum dw_slot_state {
	DW_SLOT_NOT_HELD, /**< owned by another member and not borrowed */
	DW_SLOT_FREE, /**< owned, not in use */
	DW_SLOT_USED, /**< owned or borrowed, used by a request of this instance */
	DW_SLOT_IDLE, /**< borrowed, not in use */
	DW_SLOT_LENT, /**< owned, lent to `holder` */
	DW_SLOT_STATE_COUNT
};

struct dw_limiter_slot {
	uint64_t hold_seq; /**< number of the current or last hold, assigned by its holder */
	uint32_t position; /**< in dw_limiter.holds or dw_limiter.lent */
	uint8_t owner; /**< index in the roster */
	uint8_t holder; /**< index in the roster, if lent */
	uint8_t state; /**< enum dw_slot_state */
	bool unsettled; /**< owned, but a previous owner or its borrower may still use it */
};

struct dw_limiter_upstream {
	uint64_t id;
	uint32_t limit;
	uint32_t cold_limit;
	bool cold;
	bool ready; /**< is in dw_limiter.ready */
	bool local_turn; /**< a peer got the last free slot: the next is for this instance */
	uint32_t slot_count;
	struct dw_limiter_slot *slots;
	uint64_t *free_bits; /**< owned, free and settled slots */
	uint64_t *idle_bits; /**< borrowed and idle slots */
	uint32_t borrow_cursor; /**< slot whose owner is sent the next DW_LIMITER_BORROW */
	uint32_t wait_cursor; /**< slot whose owner is sent the next DW_LIMITER_BORROW_WAIT */
	uint64_t tried_owners[DW_ROSTER_MEMBERS_MAX / 64]; /**< owners tried in this round */
	uint32_t borrow_requests; /**< outstanding borrow requests to owners */
	uint32_t waiters; /**< queued borrow requests of peers */
	uint64_t borrow_retry_at_us; /**< end of the backoff after a round without success */
	UT_hash_handle hh;
};

struct dw_slot_ref {
	struct dw_limiter_upstream *upstream;
	uint64_t return_at_us; /**< holds only: from then on the loan isn't reused */
	uint32_t slot;
};

struct dw_slot_list {
	struct dw_slot_ref *refs;
	uint32_t count;
	uint32_t capacity;
};

/** An outstanding borrow request to an owner. */
struct dw_limiter_borrow_request {
	struct dw_limiter_upstream *upstream;
	uint64_t seq;
	uint64_t deadline_us;
	uint8_t member;
};

/** A peer's borrow request, queued until a slot is free. */
struct dw_limiter_waiter {
	struct dw_limiter_upstream *upstream;
	uint64_t seq;
	uint64_t deadline_us;
	uint8_t member;
};

/** A slot that passed to another owner when the current epoch was adopted. */
struct dw_limiter_handover {
	uint8_t owner;
	struct dw_limiter_entry entry;
};

/** State kept for each member of the roster. */
struct dw_limiter_peer {
	uint64_t declared_seq; /**< latest declaration received */
	uint64_t floor_seq; /**< it refuses grants up to this hold_seq */
	uint32_t lent_count;
	bool unreachable; /**< isn't sent borrow requests */
	bool acknowledged; /**< has sent a complete declaration in the current epoch */
	bool declare_due;
	bool answer_wanted; /**< the due declaration requests one in return */
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
	uint8_t self_index; /**< index in the roster; DW_ROSTER_INDEX_NONE: not in it */
	bool leaving;
	bool settled;
	uint32_t unsettled_count;
	uint32_t own_in_flight; /**< requests running on owned slots */
	uint64_t last_seq; /**< last number given to a hold or borrow request */
	uint64_t declare_seq;
	uint64_t poll_at_us;
	uint64_t loan_poll_at_us;
	struct dw_limiter_upstream *upstreams; /**< hash table by id */
	struct dw_slot_list holds; /**< slots of other owners, in use or idle here */
	struct dw_slot_list lent;
	struct dw_limiter_handover *handovers;
	uint32_t handover_count;
	uint32_t handover_capacity;
	struct dw_limiter_peer peers[DW_ROSTER_MEMBERS_MAX];
	struct dw_limiter_borrow_request borrow_requests[DW_LIMITER_BORROW_REQUESTS_MAX];
	uint32_t borrow_request_count;
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

/** Grows an array of elements of @p size bytes; aborts the process if out of memory. */
void *dw_limiter_grow_array(void *array, uint32_t *capacity, uint32_t needed, size_t size);

struct dw_limiter_upstream *dw_limiter_find_upstream(const struct dw_limiter *limiter,
						     uint64_t upstream_id);

/** Finds an upstream, or adds it with a limit of 0, and ensures at least @p slot_count slots. */
enum dw_status dw_limiter_ensure_slots(struct dw_limiter *limiter, uint64_t upstream_id,
				       uint32_t slot_count, struct dw_limiter_upstream **out);

/** The limit in effect: the normal or the cold limit. */
uint32_t dw_limiter_effective_limit(const struct dw_limiter_upstream *up);

/** Removes a slot from all indexes; call before changing it. */
void dw_limiter_unindex_slot(struct dw_limiter *limiter, struct dw_limiter_upstream *up,
			     uint32_t i);

/** Adds a slot to the indexes for its state; call after changing it. */
void dw_limiter_index_slot(struct dw_limiter *limiter, struct dw_limiter_upstream *up, uint32_t i);

static inline bool dw_limiter_owns_slot(const struct dw_limiter *limiter,
					const struct dw_limiter_slot *slot)
{
	return limiter->self_index != DW_ROSTER_INDEX_NONE && slot->owner == limiter->self_index;
}

/**
 * Handles an owned slot that has become free: lends it to a waiting peer or marks the upstream
 * ready, alternating between the two.
 */
void dw_limiter_slot_freed(struct dw_limiter *limiter, struct dw_limiter_upstream *up);

void dw_limiter_mark_ready(struct dw_limiter *limiter, struct dw_limiter_upstream *up);

bool dw_limiter_get_bit(const uint64_t *bits, uint32_t i);
void dw_limiter_set_bit(uint64_t *bits, uint32_t i, bool value);

/** Index of the lowest set bit below @p limit, or UINT32_MAX. */
uint32_t dw_limiter_first_bit(const uint64_t *bits, uint32_t limit);

/** Index of the member with the highest rendezvous score for the slot. */
uint8_t dw_limiter_slot_owner(const struct dw_roster *roster, uint64_t upstream_id, uint32_t slot);

/**
 * Marks all owned slots as settled, once all members have sent a complete declaration: a slot that
 * none of them listed is free.
 */
void dw_limiter_settle(struct dw_limiter *limiter);

/** Queues a message of any kind but DECLARE for the member with index @p member. */
void dw_limiter_send(struct dw_limiter *limiter, uint8_t member, enum dw_limiter_message_kind kind,
		     uint64_t upstream_id, uint64_t hold_seq, uint32_t slot);

void dw_limiter_lend_slot(struct dw_limiter *limiter, struct dw_limiter_upstream *up, uint32_t i,
			  uint8_t member, uint64_t seq);

/** Returns a loan to the slot's current owner. */
void dw_limiter_return_loan(struct dw_limiter *limiter, struct dw_limiter_upstream *up, uint32_t i);

void dw_limiter_drop_borrow_request(struct dw_limiter *limiter, uint32_t position);

#endif
