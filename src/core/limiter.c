/**
 * @file limiter.c
 * Upstreams, permits and the passing of time.
 */
#include "dragonflywharf/limiter.h"

#include <stdlib.h>
#include <string.h>

#include "core/limiter_state.h"

struct dw_limiter *dw_limiter_new(struct dw_member_key self)
{
	struct dw_limiter *share = calloc(1, sizeof(*share));

	if (!share)
		return NULL;
	share->self = self;
	share->self_index = DW_ROSTER_INDEX_NONE;
	return share;
}

static void free_upstream(struct dw_limiter_upstream *up)
{
	free(up->slots);
	free(up->free_bits);
	free(up->idle_bits);
	free(up);
}

void dw_limiter_free(struct dw_limiter *share)
{
	struct dw_limiter_upstream *up;

	if (!share)
		return;
	up = share->upstreams;
	HASH_CLEAR(hh, share->upstreams);
	while (up) {
		struct dw_limiter_upstream *next = up->hh.next;

		free_upstream(up);
		up = next;
	}
	free(share->holds.refs);
	free(share->lent.refs);
	free(share->handed);
	free(share->outbox);
	free(share->ready);
	free(share);
}

void dw_limiter_mark_ready(struct dw_limiter *share, struct dw_limiter_upstream *up)
{
	if (up->ready)
		return;
	share->ready = dw_limiter_grow_array(share->ready, &share->ready_capacity,
					     share->ready_count + 1, sizeof(share->ready[0]));
	share->ready[share->ready_count++] = up->id;
	up->ready = true;
}

bool dw_limiter_next_ready(struct dw_limiter *share, uint64_t *upstream_id)
{
	if (share->ready_count == 0)
		return false;
	*upstream_id = share->ready[--share->ready_count];
	dw_limiter_find_upstream(share, *upstream_id)->ready = false;
	return true;
}

enum dw_status dw_limiter_set_upstream(struct dw_limiter *share, uint64_t upstream_id,
				       uint32_t limit, uint32_t cold_limit)
{
	struct dw_limiter_upstream *up;
	enum dw_status status = dw_limiter_ensure_slots(share, upstream_id, limit, &up);

	if (status != DW_OK)
		return status;
	up->limit = limit;
	up->cold_limit = cold_limit;
	dw_limiter_mark_ready(share, up);
	return DW_OK;
}

enum dw_status dw_limiter_set_cold(struct dw_limiter *share, uint64_t upstream_id, bool cold)
{
	struct dw_limiter_upstream *up = dw_limiter_find_upstream(share, upstream_id);

	if (!up)
		return dw_fail(DW_NOT_FOUND, "no such upstream");
	if (up->cold && !cold)
		dw_limiter_mark_ready(share, up);
	up->cold = cold;
	return DW_OK;
}

static void use_slot(struct dw_limiter *share, struct dw_limiter_upstream *up, uint32_t i,
		     struct dw_permit *out)
{
	struct dw_limiter_slot *slot = &up->slots[i];

	if (slot->state == DW_SLOT_IDLE) {
		dw_limiter_set_bit(up->idle_bits, i, false);
		slot->state = DW_SLOT_USED;
	} else {
		dw_limiter_unindex_slot(share, up, i);
		slot->state = DW_SLOT_USED;
		slot->hold_seq = ++share->last_seq;
		dw_limiter_index_slot(share, up, i);
	}
	*out = (struct dw_permit){ .upstream_id = up->id, .hold_seq = slot->hold_seq, .slot = i };
}

/** An idle loan that may still be used again, or UINT32_MAX. */
static uint32_t usable_loan(const struct dw_limiter *share, const struct dw_limiter_upstream *up,
			    uint64_t now_us)
{
	uint32_t i = dw_limiter_first_bit(up->idle_bits, dw_limiter_effective_limit(up));

	if (i == UINT32_MAX || now_us >= share->holds.refs[up->slots[i].position].return_at_us)
		return UINT32_MAX;
	return i;
}

enum dw_status dw_limiter_acquire(struct dw_limiter *share, uint64_t upstream_id, uint64_t now_us,
				  struct dw_permit *out)
{
	struct dw_limiter_upstream *up = dw_limiter_find_upstream(share, upstream_id);
	uint32_t i;

	if (!up)
		return dw_fail(DW_NOT_FOUND, "no such upstream");
	if (share->self_index == DW_ROSTER_INDEX_NONE || share->leaving)
		return dw_fail(DW_UNAVAILABLE, "not a member of the roster");
	i = dw_limiter_first_bit(up->free_bits, dw_limiter_effective_limit(up));
	if (i == UINT32_MAX)
		i = usable_loan(share, up, now_us);
	if (i == UINT32_MAX)
		return DW_OVERLOADED;
	use_slot(share, up, i, out);
	return DW_OK;
}

void dw_limiter_return_loan(struct dw_limiter *share, struct dw_limiter_upstream *up, uint32_t i)
{
	struct dw_limiter_slot *slot = &up->slots[i];

	dw_limiter_unindex_slot(share, up, i);
	slot->state = DW_SLOT_NOT_HELD;
	dw_limiter_index_slot(share, up, i);
	if (slot->owner != DW_ROSTER_INDEX_NONE)
		dw_limiter_send(share, slot->owner, DW_LIMITER_RETURN, up->id, slot->hold_seq, i);
}

/** A request on a slot of another owner has ended: keeps the loan for a while or returns it. */
static void release_loan(struct dw_limiter *share, struct dw_limiter_upstream *up, uint32_t i,
			 uint64_t now_us)
{
	struct dw_limiter_slot *slot = &up->slots[i];

	if (share->leaving || now_us >= share->holds.refs[slot->position].return_at_us ||
	    i >= dw_limiter_effective_limit(up)) {
		dw_limiter_return_loan(share, up, i);
		return;
	}
	slot->state = DW_SLOT_IDLE;
	dw_limiter_set_bit(up->idle_bits, i, true);
	dw_limiter_mark_ready(share, up);
}

enum dw_status dw_limiter_release(struct dw_limiter *share, const struct dw_permit *permit,
				  uint64_t now_us)
{
	struct dw_limiter_upstream *up = dw_limiter_find_upstream(share, permit->upstream_id);
	struct dw_limiter_slot *slot;

	if (!up || permit->slot >= up->slot_count)
		return dw_fail(DW_STALE, "permit of an unknown slot");
	slot = &up->slots[permit->slot];
	if (slot->state != DW_SLOT_USED || slot->hold_seq != permit->hold_seq)
		return dw_fail(DW_STALE, "permit isn't held");
	if (!dw_limiter_owns_slot(share, slot)) {
		release_loan(share, up, permit->slot, now_us);
		return DW_OK;
	}
	dw_limiter_unindex_slot(share, up, permit->slot);
	slot->state = DW_SLOT_FREE;
	dw_limiter_index_slot(share, up, permit->slot);
	dw_limiter_slot_freed(share, up);
	return DW_OK;
}

void dw_limiter_set_reachable(struct dw_limiter *share, struct dw_member_key member, bool reachable)
{
	int32_t found = dw_roster_find(&share->roster, member);

	if (found >= 0)
		share->peers[found].unreachable = !reachable;
}

static bool can_ask(const struct dw_limiter *share, uint8_t owner)
{
	return owner != share->self_index && owner != DW_ROSTER_INDEX_NONE &&
	       !share->peers[owner].unreachable;
}

/** The next other owner that wasn't asked in this round, or DW_ROSTER_INDEX_NONE at its end. */
static uint8_t next_to_ask(const struct dw_limiter *share, struct dw_limiter_upstream *up)
{
	uint32_t limit = dw_limiter_effective_limit(up);

	while (up->ask_cursor < limit) {
		uint8_t owner = up->slots[up->ask_cursor++].owner;

		if (!can_ask(share, owner) || dw_limiter_get_bit(up->asked, owner))
			continue;
		dw_limiter_set_bit(up->asked, owner, true);
		return owner;
	}
	return DW_ROSTER_INDEX_NONE;
}

/** The owner to wait for after a round in which none had a free slot. */
static uint8_t next_to_wait_for(const struct dw_limiter *share, struct dw_limiter_upstream *up)
{
	uint32_t limit = dw_limiter_effective_limit(up);

	for (uint32_t i = 0; i < limit; i++) {
		uint8_t owner = up->slots[up->wait_cursor++ % limit].owner;

		if (can_ask(share, owner))
			return owner;
	}
	return DW_ROSTER_INDEX_NONE;
}

static void send_ask(struct dw_limiter *share, struct dw_limiter_upstream *up, uint8_t owner,
		     enum dw_limiter_message_kind kind, uint64_t now_us)
{
	share->asks[share->ask_count++] = (struct dw_limiter_borrow_request){
		.upstream = up,
		.seq = ++share->last_seq,
		.deadline_us = now_us + DW_LIMITER_BORROW_TIMEOUT_US,
		.member = owner,
	};
	up->asks++;
	dw_limiter_send(share, owner, kind, up->id, share->last_seq, 0);
}

void dw_limiter_request_slots(struct dw_limiter *share, uint64_t upstream_id, uint32_t count,
			      uint64_t now_us)
{
	struct dw_limiter_upstream *up = dw_limiter_find_upstream(share, upstream_id);
	uint32_t wanted = count < DW_LIMITER_BORROW_REQUESTS_PER_UPSTREAM
				  ? count
				  : DW_LIMITER_BORROW_REQUESTS_PER_UPSTREAM;
	uint8_t owner;

	if (!up || share->self_index == DW_ROSTER_INDEX_NONE || share->leaving)
		return;
	while (up->asks < wanted && share->ask_count < DW_LIMITER_BORROW_REQUESTS_MAX &&
	       now_us >= up->ask_again_at_us) {
		owner = next_to_ask(share, up);
		if (owner != DW_ROSTER_INDEX_NONE) {
			send_ask(share, up, owner, DW_LIMITER_BORROW, now_us);
			continue;
		}
		up->ask_again_at_us = now_us + DW_LIMITER_DENIED_BACKOFF_US;
		up->ask_cursor = 0;
		memset(up->asked, 0, sizeof(up->asked));
		owner = next_to_wait_for(share, up);
		if (owner != DW_ROSTER_INDEX_NONE)
			send_ask(share, up, owner, DW_LIMITER_BORROW_WAIT, now_us);
	}
}

void dw_limiter_drop_borrow_request(struct dw_limiter *share, uint32_t position)
{
	share->asks[position].upstream->asks--;
	share->asks[position] = share->asks[--share->ask_count];
}

/** The oldest waiter of @p up, or -1. */
static int32_t first_waiter(const struct dw_limiter *share, const struct dw_limiter_upstream *up)
{
	for (uint32_t i = 0; up->waiters > 0 && i < share->waiter_count; i++) {
		if (share->waiters[i].upstream == up)
			return (int32_t)i;
	}
	return -1;
}

static void drop_waiter(struct dw_limiter *share, uint32_t position)
{
	share->waiters[position].upstream->waiters--;
	share->waiter_count--;
	memmove(&share->waiters[position], &share->waiters[position + 1],
		(share->waiter_count - position) * sizeof(share->waiters[0]));
}

/** Lends one free slot to the oldest waiter. */
static bool serve_waiter(struct dw_limiter *share, struct dw_limiter_upstream *up)
{
	int32_t position = first_waiter(share, up);
	uint32_t i = dw_limiter_first_bit(up->free_bits, dw_limiter_effective_limit(up));

	if (position < 0 || i == UINT32_MAX)
		return false;
	dw_limiter_lend_slot(share, up, i, share->waiters[position].member,
			     share->waiters[position].seq);
	drop_waiter(share, (uint32_t)position);
	return true;
}

void dw_limiter_slot_freed(struct dw_limiter *share, struct dw_limiter_upstream *up)
{
	if (!up->local_turn && serve_waiter(share, up)) {
		up->local_turn = true;
		return;
	}
	up->local_turn = false;
	dw_limiter_mark_ready(share, up);
}

static void tick_loans(struct dw_limiter *share, uint64_t now_us)
{
	uint32_t position = 0;

	while (position < share->holds.count) {
		struct dw_slot_ref *ref = &share->holds.refs[position];
		bool idle = ref->upstream->slots[ref->slot].state == DW_SLOT_IDLE;

		if (idle && (share->leaving || now_us >= ref->return_at_us ||
			     ref->slot >= dw_limiter_effective_limit(ref->upstream)))
			dw_limiter_return_loan(share, ref->upstream, ref->slot);
		else
			position++;
	}
}

static void tick_asks(struct dw_limiter *share, uint64_t now_us)
{
	uint32_t position = 0;

	while (position < share->ask_count) {
		if (share->leaving || now_us >= share->asks[position].deadline_us)
			dw_limiter_drop_borrow_request(share, position);
		else
			position++;
	}
	position = 0;
	while (position < share->waiter_count) {
		struct dw_limiter_waiter waiter = share->waiters[position];

		if (serve_waiter(share, waiter.upstream)) {
			position = 0;
		} else if (now_us >= waiter.deadline_us) {
			drop_waiter(share, position);
			dw_limiter_send(share, waiter.member, DW_LIMITER_DENY, waiter.upstream->id,
					waiter.seq, 0);
		} else {
			position++;
		}
	}
}

/** Requests declarations of members that keep slots unsettled, or that hold loans. */
static void tick_polls(struct dw_limiter *share, uint64_t now_us)
{
	bool poll = now_us >= share->poll_at_us;
	bool loan_poll = now_us >= share->loan_poll_at_us;

	for (uint32_t i = 0; (poll || loan_poll) && i < share->roster.member_count; i++) {
		struct dw_limiter_peer *peer = &share->peers[i];

		if ((poll && share->unsettled_count > 0 && !peer->acknowledged) ||
		    (loan_poll && peer->lent_count > 0)) {
			peer->declare_due = true;
			peer->answer_wanted = true;
		}
	}
	if (poll)
		share->poll_at_us = now_us + DW_LIMITER_DECLARATION_POLL_US;
	if (loan_poll)
		share->loan_poll_at_us = now_us + DW_LIMITER_LOAN_POLL_US;
}

void dw_limiter_tick(struct dw_limiter *share, uint64_t now_us)
{
	if (share->self_index == DW_ROSTER_INDEX_NONE)
		return;
	tick_loans(share, now_us);
	tick_asks(share, now_us);
	tick_polls(share, now_us);
}
