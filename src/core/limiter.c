/**
 * @file limiter.c
 * Upstreams, permits, borrow requests and timers.
 */
#include "dragonflywharf/limiter.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include "core/limiter_state.h"

struct dw_limiter *dw_limiter_new(struct dw_member_key self)
{
	struct dw_limiter *limiter = calloc(1, sizeof(*limiter));

	if (!limiter)
		return NULL;
	limiter->self = self;
	limiter->self_index = DW_ROSTER_INDEX_NONE;
	return limiter;
}

static void free_upstream(struct dw_limiter_upstream *up)
{
	free(up->slots);
	free(up->free_bits);
	free(up->idle_bits);
	free(up);
}

void dw_limiter_free(struct dw_limiter *limiter)
{
	struct dw_limiter_upstream *up;

	if (!limiter)
		return;
	up = limiter->upstreams;
	HASH_CLEAR(hh, limiter->upstreams);
	while (up) {
		struct dw_limiter_upstream *next = up->hh.next;

		free_upstream(up);
		up = next;
	}
	free(limiter->holds.refs);
	free(limiter->lent.refs);
	free(limiter->handovers);
	free(limiter->outbox);
	free(limiter->ready);
	free(limiter);
}

void dw_limiter_mark_ready(struct dw_limiter *limiter, struct dw_limiter_upstream *up)
{
	if (up->ready)
		return;
	limiter->ready = dw_limiter_grow_array(limiter->ready, &limiter->ready_capacity,
					       limiter->ready_count + 1, sizeof(limiter->ready[0]));
	limiter->ready[limiter->ready_count++] = up->id;
	up->ready = true;
}

bool dw_limiter_next_ready(struct dw_limiter *limiter, uint64_t *upstream_id)
{
	if (limiter->ready_count == 0)
		return false;
	*upstream_id = limiter->ready[--limiter->ready_count];
	dw_limiter_find_upstream(limiter, *upstream_id)->ready = false;
	return true;
}

enum dw_status dw_limiter_set_upstream(struct dw_limiter *limiter, uint64_t upstream_id,
				       uint32_t limit, uint32_t cold_limit)
{
	struct dw_limiter_upstream *up;
	enum dw_status status = dw_limiter_ensure_slots(limiter, upstream_id, limit, &up);

	if (status != DW_OK)
		return status;
	up->limit = limit;
	up->cold_limit = cold_limit;
	dw_limiter_mark_ready(limiter, up);
	return DW_OK;
}

enum dw_status dw_limiter_set_cold(struct dw_limiter *limiter, uint64_t upstream_id, bool cold)
{
	struct dw_limiter_upstream *up = dw_limiter_find_upstream(limiter, upstream_id);

	if (!up)
		return dw_fail(DW_NOT_FOUND, "limiter: unknown upstream %016" PRIx64, upstream_id);
	if (up->cold && !cold)
		dw_limiter_mark_ready(limiter, up);
	up->cold = cold;
	return DW_OK;
}

static void use_slot(struct dw_limiter *limiter, struct dw_limiter_upstream *up, uint32_t i,
		     struct dw_permit *out)
{
	struct dw_limiter_slot *slot = &up->slots[i];

	if (slot->state == DW_SLOT_IDLE) {
		dw_limiter_set_bit(up->idle_bits, i, false);
		slot->state = DW_SLOT_USED;
	} else {
		dw_limiter_unindex_slot(limiter, up, i);
		slot->state = DW_SLOT_USED;
		slot->hold_seq = ++limiter->last_seq;
		dw_limiter_index_slot(limiter, up, i);
	}
	*out = (struct dw_permit){ .upstream_id = up->id, .hold_seq = slot->hold_seq, .slot = i };
}

/** The slot of an idle loan that may still be reused, or UINT32_MAX if there is none. */
static uint32_t reusable_loan(const struct dw_limiter *limiter,
			      const struct dw_limiter_upstream *up, uint64_t now_us)
{
	uint32_t i = dw_limiter_first_bit(up->idle_bits, dw_limiter_effective_limit(up));

	if (i == UINT32_MAX || now_us >= limiter->holds.refs[up->slots[i].position].return_at_us)
		return UINT32_MAX;
	return i;
}

enum dw_status dw_limiter_acquire(struct dw_limiter *limiter, uint64_t upstream_id, uint64_t now_us,
				  struct dw_permit *out)
{
	struct dw_limiter_upstream *up = dw_limiter_find_upstream(limiter, upstream_id);
	uint32_t i;

	if (!up)
		return dw_fail(DW_NOT_FOUND, "limiter: unknown upstream %016" PRIx64, upstream_id);
	if (limiter->self_index == DW_ROSTER_INDEX_NONE || limiter->leaving)
		return dw_fail(DW_UNAVAILABLE, "limiter: this instance %s",
			       limiter->leaving ? "is shutting down"
						: "isn't a member of the roster");
	i = dw_limiter_first_bit(up->free_bits, dw_limiter_effective_limit(up));
	if (i == UINT32_MAX)
		i = reusable_loan(limiter, up, now_us);
	if (i == UINT32_MAX)
		return DW_OVERLOADED;
	use_slot(limiter, up, i, out);
	return DW_OK;
}

void dw_limiter_return_loan(struct dw_limiter *limiter, struct dw_limiter_upstream *up, uint32_t i)
{
	struct dw_limiter_slot *slot = &up->slots[i];

	dw_limiter_unindex_slot(limiter, up, i);
	slot->state = DW_SLOT_NOT_HELD;
	dw_limiter_index_slot(limiter, up, i);
	if (slot->owner != DW_ROSTER_INDEX_NONE)
		dw_limiter_send(limiter, slot->owner, DW_LIMITER_RETURN, up->id, slot->hold_seq, i);
}

/** Keeps the loan for reuse, or returns it, after a request on a borrowed slot has ended. */
static void release_loan(struct dw_limiter *limiter, struct dw_limiter_upstream *up, uint32_t i,
			 uint64_t now_us)
{
	struct dw_limiter_slot *slot = &up->slots[i];

	if (limiter->leaving || now_us >= limiter->holds.refs[slot->position].return_at_us ||
	    i >= dw_limiter_effective_limit(up)) {
		dw_limiter_return_loan(limiter, up, i);
		return;
	}
	slot->state = DW_SLOT_IDLE;
	dw_limiter_set_bit(up->idle_bits, i, true);
	dw_limiter_mark_ready(limiter, up);
}

enum dw_status dw_limiter_release(struct dw_limiter *limiter, const struct dw_permit *permit,
				  uint64_t now_us)
{
	struct dw_limiter_upstream *up = dw_limiter_find_upstream(limiter, permit->upstream_id);
	struct dw_limiter_slot *slot;

	if (!up || permit->slot >= up->slot_count)
		return dw_fail(DW_STALE,
			       "limiter: permit for unknown slot %u of upstream %016" PRIx64,
			       permit->slot, permit->upstream_id);
	slot = &up->slots[permit->slot];
	if (slot->state != DW_SLOT_USED || slot->hold_seq != permit->hold_seq)
		return dw_fail(DW_STALE,
			       "limiter: permit isn't held: it is for hold %" PRIu64
			       ", slot %u has hold %" PRIu64 ", state %d",
			       permit->hold_seq, permit->slot, slot->hold_seq, (int)slot->state);
	if (!dw_limiter_owns_slot(limiter, slot)) {
		release_loan(limiter, up, permit->slot, now_us);
		return DW_OK;
	}
	dw_limiter_unindex_slot(limiter, up, permit->slot);
	slot->state = DW_SLOT_FREE;
	dw_limiter_index_slot(limiter, up, permit->slot);
	dw_limiter_slot_freed(limiter, up);
	return DW_OK;
}

void dw_limiter_set_reachable(struct dw_limiter *limiter, struct dw_member_key member,
			      bool reachable)
{
	int32_t found = dw_roster_find(&limiter->roster, member);

	if (found >= 0)
		limiter->peers[found].unreachable = !reachable;
}

static bool can_borrow_from(const struct dw_limiter *limiter, uint8_t owner)
{
	return owner != limiter->self_index && owner != DW_ROSTER_INDEX_NONE &&
	       !limiter->peers[owner].unreachable;
}

/**
 * The next owner to send a DW_LIMITER_BORROW in this round, or DW_ROSTER_INDEX_NONE if all were
 * asked.
 */
static uint8_t next_owner_to_try(const struct dw_limiter *limiter, struct dw_limiter_upstream *up)
{
	uint32_t limit = dw_limiter_effective_limit(up);

	while (up->borrow_cursor < limit) {
		uint8_t owner = up->slots[up->borrow_cursor++].owner;

		if (!can_borrow_from(limiter, owner) || dw_limiter_get_bit(up->tried_owners, owner))
			continue;
		dw_limiter_set_bit(up->tried_owners, owner, true);
		return owner;
	}
	return DW_ROSTER_INDEX_NONE;
}

/** The owner to send a DW_LIMITER_BORROW_WAIT, after a round in which no owner had a free slot. */
static uint8_t next_owner_to_wait_for(const struct dw_limiter *limiter,
				      struct dw_limiter_upstream *up)
{
	uint32_t limit = dw_limiter_effective_limit(up);

	for (uint32_t i = 0; i < limit; i++) {
		uint8_t owner = up->slots[up->wait_cursor++ % limit].owner;

		if (can_borrow_from(limiter, owner))
			return owner;
	}
	return DW_ROSTER_INDEX_NONE;
}

static void send_borrow_request(struct dw_limiter *limiter, struct dw_limiter_upstream *up,
				uint8_t owner, enum dw_limiter_message_kind kind, uint64_t now_us)
{
	limiter->borrow_requests[limiter->borrow_request_count++] =
		(struct dw_limiter_borrow_request){
			.upstream = up,
			.seq = ++limiter->last_seq,
			.deadline_us = now_us + DW_LIMITER_BORROW_TIMEOUT_US,
			.member = owner,
		};
	up->borrow_requests++;
	dw_limiter_send(limiter, owner, kind, up->id, limiter->last_seq, 0);
}

void dw_limiter_request_slots(struct dw_limiter *limiter, uint64_t upstream_id, uint32_t count,
			      uint64_t now_us)
{
	struct dw_limiter_upstream *up = dw_limiter_find_upstream(limiter, upstream_id);
	uint32_t wanted = count < DW_LIMITER_BORROW_REQUESTS_PER_UPSTREAM
				  ? count
				  : DW_LIMITER_BORROW_REQUESTS_PER_UPSTREAM;
	uint8_t owner;

	if (!up || limiter->self_index == DW_ROSTER_INDEX_NONE || limiter->leaving)
		return;
	while (up->borrow_requests < wanted &&
	       limiter->borrow_request_count < DW_LIMITER_BORROW_REQUESTS_MAX &&
	       now_us >= up->borrow_retry_at_us) {
		owner = next_owner_to_try(limiter, up);
		if (owner != DW_ROSTER_INDEX_NONE) {
			send_borrow_request(limiter, up, owner, DW_LIMITER_BORROW, now_us);
			continue;
		}
		up->borrow_retry_at_us = now_us + DW_LIMITER_DENIED_BACKOFF_US;
		up->borrow_cursor = 0;
		memset(up->tried_owners, 0, sizeof(up->tried_owners));
		owner = next_owner_to_wait_for(limiter, up);
		if (owner != DW_ROSTER_INDEX_NONE)
			send_borrow_request(limiter, up, owner, DW_LIMITER_BORROW_WAIT, now_us);
	}
}

void dw_limiter_drop_borrow_request(struct dw_limiter *limiter, uint32_t position)
{
	limiter->borrow_requests[position].upstream->borrow_requests--;
	limiter->borrow_requests[position] =
		limiter->borrow_requests[--limiter->borrow_request_count];
}

/** Index of the oldest waiter for @p up, or -1. */
static int32_t first_waiter(const struct dw_limiter *limiter, const struct dw_limiter_upstream *up)
{
	for (uint32_t i = 0; up->waiters > 0 && i < limiter->waiter_count; i++) {
		if (limiter->waiters[i].upstream == up)
			return (int32_t)i;
	}
	return -1;
}

static void drop_waiter(struct dw_limiter *limiter, uint32_t position)
{
	limiter->waiters[position].upstream->waiters--;
	limiter->waiter_count--;
	memmove(&limiter->waiters[position], &limiter->waiters[position + 1],
		(limiter->waiter_count - position) * sizeof(limiter->waiters[0]));
}

/** Lends a free slot to the oldest waiter; false if there is no free slot or no waiter. */
static bool serve_waiter(struct dw_limiter *limiter, struct dw_limiter_upstream *up)
{
	int32_t position = first_waiter(limiter, up);
	uint32_t i = dw_limiter_first_bit(up->free_bits, dw_limiter_effective_limit(up));

	if (position < 0 || i == UINT32_MAX)
		return false;
	dw_limiter_lend_slot(limiter, up, i, limiter->waiters[position].member,
			     limiter->waiters[position].seq);
	drop_waiter(limiter, (uint32_t)position);
	return true;
}

void dw_limiter_slot_freed(struct dw_limiter *limiter, struct dw_limiter_upstream *up)
{
	if (!up->local_turn && serve_waiter(limiter, up)) {
		up->local_turn = true;
		return;
	}
	up->local_turn = false;
	dw_limiter_mark_ready(limiter, up);
}

static void tick_loans(struct dw_limiter *limiter, uint64_t now_us)
{
	uint32_t position = 0;

	while (position < limiter->holds.count) {
		struct dw_slot_ref *ref = &limiter->holds.refs[position];
		bool idle = ref->upstream->slots[ref->slot].state == DW_SLOT_IDLE;

		if (idle && (limiter->leaving || now_us >= ref->return_at_us ||
			     ref->slot >= dw_limiter_effective_limit(ref->upstream)))
			dw_limiter_return_loan(limiter, ref->upstream, ref->slot);
		else
			position++;
	}
}

static void tick_borrow_requests(struct dw_limiter *limiter, uint64_t now_us)
{
	uint32_t position = 0;

	while (position < limiter->borrow_request_count) {
		if (limiter->leaving || now_us >= limiter->borrow_requests[position].deadline_us)
			dw_limiter_drop_borrow_request(limiter, position);
		else
			position++;
	}
	position = 0;
	while (position < limiter->waiter_count) {
		struct dw_limiter_waiter waiter = limiter->waiters[position];

		if (serve_waiter(limiter, waiter.upstream)) {
			position = 0;
		} else if (now_us >= waiter.deadline_us) {
			drop_waiter(limiter, position);
			dw_limiter_send(limiter, waiter.member, DW_LIMITER_DENY,
					waiter.upstream->id, waiter.seq, 0);
		} else {
			position++;
		}
	}
}

/** Requests declarations from members that haven't acknowledged the epoch or that hold loans. */
static void tick_polls(struct dw_limiter *limiter, uint64_t now_us)
{
	bool poll = now_us >= limiter->poll_at_us;
	bool loan_poll = now_us >= limiter->loan_poll_at_us;

	for (uint32_t i = 0; (poll || loan_poll) && i < limiter->roster.member_count; i++) {
		struct dw_limiter_peer *peer = &limiter->peers[i];

		if ((poll && limiter->unsettled_count > 0 && !peer->acknowledged) ||
		    (loan_poll && peer->lent_count > 0)) {
			peer->declare_due = true;
			peer->answer_wanted = true;
		}
	}
	if (poll)
		limiter->poll_at_us = now_us + DW_LIMITER_DECLARATION_POLL_US;
	if (loan_poll)
		limiter->loan_poll_at_us = now_us + DW_LIMITER_LOAN_POLL_US;
}

void dw_limiter_tick(struct dw_limiter *limiter, uint64_t now_us)
{
	if (limiter->self_index == DW_ROSTER_INDEX_NONE)
		return;
	tick_loans(limiter, now_us);
	tick_borrow_requests(limiter, now_us);
	tick_polls(limiter, now_us);
}
