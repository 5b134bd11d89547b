/**
 * @file share.c
 * Upstreams, permits, borrow requests and timers.
 */
#include "dragonflywharf/share.h"

#include <stdlib.h>
#include <string.h>

#include "core/share_state.h"

struct dw_share *dw_share_new(struct dw_member_key self)
{
	struct dw_share *share = calloc(1, sizeof(*share));

	if (!share)
		return NULL;
	share->self = self;
	share->self_index = DW_MEMBER_NONE;
	return share;
}

static void free_upstream(struct dw_share_upstream *up)
{
	free(up->slots);
	free(up->free_bits);
	free(up->idle_bits);
	free(up);
}

void dw_share_free(struct dw_share *share)
{
	struct dw_share_upstream *up;

	if (!share)
		return;
	up = share->upstreams;
	HASH_CLEAR(hh, share->upstreams);
	while (up) {
		struct dw_share_upstream *next = up->hh.next;

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

void dw_share_mark_ready(struct dw_share *share, struct dw_share_upstream *up)
{
	if (up->ready)
		return;
	share->ready = dw_share_grow(share->ready, &share->ready_capacity, share->ready_count + 1,
				     sizeof(share->ready[0]));
	share->ready[share->ready_count++] = up->id;
	up->ready = true;
}

bool dw_share_next_ready(struct dw_share *share, uint64_t *upstream_id)
{
	if (share->ready_count == 0)
		return false;
	*upstream_id = share->ready[--share->ready_count];
	dw_share_find(share, *upstream_id)->ready = false;
	return true;
}

enum dw_status dw_share_set_upstream(struct dw_share *share, uint64_t upstream_id, uint32_t limit,
				     uint32_t cold_limit)
{
	struct dw_share_upstream *up;
	enum dw_status status = dw_share_track(share, upstream_id, limit, &up);

	if (status != DW_OK)
		return status;
	up->limit = limit;
	up->cold_limit = cold_limit;
	dw_share_mark_ready(share, up);
	return DW_OK;
}

enum dw_status dw_share_set_cold(struct dw_share *share, uint64_t upstream_id, bool cold)
{
	struct dw_share_upstream *up = dw_share_find(share, upstream_id);

	if (!up)
		return dw_fail(DW_NOT_FOUND, "no such upstream");
	if (up->cold && !cold)
		dw_share_mark_ready(share, up);
	up->cold = cold;
	return DW_OK;
}

static void use_slot(struct dw_share *share, struct dw_share_upstream *up, uint32_t i,
		     struct dw_permit *out)
{
	struct dw_share_slot *slot = &up->slots[i];

	if (slot->state == DW_SLOT_IDLE) {
		dw_share_set_bit(up->idle_bits, i, false);
		slot->state = DW_SLOT_USED;
	} else {
		dw_share_detach(share, up, i);
		slot->state = DW_SLOT_USED;
		slot->hold_seq = ++share->last_seq;
		dw_share_attach(share, up, i);
	}
	*out = (struct dw_permit){ .upstream_id = up->id, .hold_seq = slot->hold_seq, .slot = i };
}

/** The slot of an idle loan that may still be reused, or UINT32_MAX. */
static uint32_t reusable_loan(const struct dw_share *share, const struct dw_share_upstream *up,
			      uint64_t now_us)
{
	uint32_t i = dw_share_first_bit(up->idle_bits, dw_share_limit(up));

	if (i == UINT32_MAX || now_us >= share->holds.refs[up->slots[i].position].return_at_us)
		return UINT32_MAX;
	return i;
}

enum dw_status dw_share_acquire(struct dw_share *share, uint64_t upstream_id, uint64_t now_us,
				struct dw_permit *out)
{
	struct dw_share_upstream *up = dw_share_find(share, upstream_id);
	uint32_t i;

	if (!up)
		return dw_fail(DW_NOT_FOUND, "no such upstream");
	if (share->self_index == DW_MEMBER_NONE || share->leaving)
		return dw_fail(DW_UNAVAILABLE, "not a member of the roster, or shutting down");
	i = dw_share_first_bit(up->free_bits, dw_share_limit(up));
	if (i == UINT32_MAX)
		i = reusable_loan(share, up, now_us);
	if (i == UINT32_MAX)
		return DW_OVERLOADED;
	use_slot(share, up, i, out);
	return DW_OK;
}

void dw_share_return(struct dw_share *share, struct dw_share_upstream *up, uint32_t i)
{
	struct dw_share_slot *slot = &up->slots[i];

	dw_share_detach(share, up, i);
	slot->state = DW_SLOT_NONE;
	dw_share_attach(share, up, i);
	if (slot->owner != DW_MEMBER_NONE)
		dw_share_send(share, slot->owner, DW_SHARE_RETURN, up->id, slot->hold_seq, i);
}

/** Handles the end of a request on a borrowed slot: keeps the loan for reuse or returns it. */
static void release_loan(struct dw_share *share, struct dw_share_upstream *up, uint32_t i,
			 uint64_t now_us)
{
	struct dw_share_slot *slot = &up->slots[i];

	if (share->leaving || now_us >= share->holds.refs[slot->position].return_at_us ||
	    i >= dw_share_limit(up)) {
		dw_share_return(share, up, i);
		return;
	}
	slot->state = DW_SLOT_IDLE;
	dw_share_set_bit(up->idle_bits, i, true);
	dw_share_mark_ready(share, up);
}

enum dw_status dw_share_release(struct dw_share *share, const struct dw_permit *permit,
				uint64_t now_us)
{
	struct dw_share_upstream *up = dw_share_find(share, permit->upstream_id);
	struct dw_share_slot *slot;

	if (!up || permit->slot >= up->slot_count)
		return dw_fail(DW_STALE, "permit for an unknown slot");
	slot = &up->slots[permit->slot];
	if (slot->state != DW_SLOT_USED || slot->hold_seq != permit->hold_seq)
		return dw_fail(DW_STALE, "permit isn't held");
	if (!dw_share_owns(share, slot)) {
		release_loan(share, up, permit->slot, now_us);
		return DW_OK;
	}
	dw_share_detach(share, up, permit->slot);
	slot->state = DW_SLOT_FREE;
	dw_share_attach(share, up, permit->slot);
	dw_share_offer(share, up);
	return DW_OK;
}

void dw_share_set_reachable(struct dw_share *share, struct dw_member_key member, bool reachable)
{
	int32_t found = dw_roster_find(&share->roster, member);

	if (found >= 0)
		share->peers[found].unreachable = !reachable;
}

static bool can_ask(const struct dw_share *share, uint8_t owner)
{
	return owner != share->self_index && owner != DW_MEMBER_NONE &&
	       !share->peers[owner].unreachable;
}

/** The next owner to send an ASK in this round, or DW_MEMBER_NONE if all were asked. */
static uint8_t next_to_ask(const struct dw_share *share, struct dw_share_upstream *up)
{
	uint32_t limit = dw_share_limit(up);

	while (up->ask_cursor < limit) {
		uint8_t owner = up->slots[up->ask_cursor++].owner;

		if (!can_ask(share, owner) || dw_share_get_bit(up->asked, owner))
			continue;
		dw_share_set_bit(up->asked, owner, true);
		return owner;
	}
	return DW_MEMBER_NONE;
}

/** The owner to send a WAIT, after a round in which no owner had a free slot. */
static uint8_t next_to_wait_for(const struct dw_share *share, struct dw_share_upstream *up)
{
	uint32_t limit = dw_share_limit(up);

	for (uint32_t i = 0; i < limit; i++) {
		uint8_t owner = up->slots[up->wait_cursor++ % limit].owner;

		if (can_ask(share, owner))
			return owner;
	}
	return DW_MEMBER_NONE;
}

static void send_ask(struct dw_share *share, struct dw_share_upstream *up, uint8_t owner,
		     enum dw_share_message_kind kind, uint64_t now_us)
{
	share->asks[share->ask_count++] = (struct dw_share_ask){
		.upstream = up,
		.seq = ++share->last_seq,
		.deadline_us = now_us + DW_SHARE_ASK_US,
		.member = owner,
	};
	up->asks++;
	dw_share_send(share, owner, kind, up->id, share->last_seq, 0);
}

void dw_share_want(struct dw_share *share, uint64_t upstream_id, uint32_t count, uint64_t now_us)
{
	struct dw_share_upstream *up = dw_share_find(share, upstream_id);
	uint32_t wanted = count < DW_SHARE_ASKS_PER_UPSTREAM ? count : DW_SHARE_ASKS_PER_UPSTREAM;
	uint8_t owner;

	if (!up || share->self_index == DW_MEMBER_NONE || share->leaving)
		return;
	while (up->asks < wanted && share->ask_count < DW_SHARE_ASKS_MAX &&
	       now_us >= up->ask_again_at_us) {
		owner = next_to_ask(share, up);
		if (owner != DW_MEMBER_NONE) {
			send_ask(share, up, owner, DW_SHARE_ASK, now_us);
			continue;
		}
		up->ask_again_at_us = now_us + DW_SHARE_DENIED_US;
		up->ask_cursor = 0;
		memset(up->asked, 0, sizeof(up->asked));
		owner = next_to_wait_for(share, up);
		if (owner != DW_MEMBER_NONE)
			send_ask(share, up, owner, DW_SHARE_WAIT, now_us);
	}
}

void dw_share_drop_ask(struct dw_share *share, uint32_t position)
{
	share->asks[position].upstream->asks--;
	share->asks[position] = share->asks[--share->ask_count];
}

/** Index of the oldest waiter for @p up, or -1. */
static int32_t first_waiter(const struct dw_share *share, const struct dw_share_upstream *up)
{
	for (uint32_t i = 0; up->waiters > 0 && i < share->waiter_count; i++) {
		if (share->waiters[i].upstream == up)
			return (int32_t)i;
	}
	return -1;
}

static void drop_waiter(struct dw_share *share, uint32_t position)
{
	share->waiters[position].upstream->waiters--;
	share->waiter_count--;
	memmove(&share->waiters[position], &share->waiters[position + 1],
		(share->waiter_count - position) * sizeof(share->waiters[0]));
}

/** Lends a free slot to the oldest waiter; false if there is no free slot or no waiter. */
static bool serve_waiter(struct dw_share *share, struct dw_share_upstream *up)
{
	int32_t position = first_waiter(share, up);
	uint32_t i = dw_share_first_bit(up->free_bits, dw_share_limit(up));

	if (position < 0 || i == UINT32_MAX)
		return false;
	dw_share_lend(share, up, i, share->waiters[position].member, share->waiters[position].seq);
	drop_waiter(share, (uint32_t)position);
	return true;
}

void dw_share_offer(struct dw_share *share, struct dw_share_upstream *up)
{
	if (!up->local_turn && serve_waiter(share, up)) {
		up->local_turn = true;
		return;
	}
	up->local_turn = false;
	dw_share_mark_ready(share, up);
}

static void tick_loans(struct dw_share *share, uint64_t now_us)
{
	uint32_t position = 0;

	while (position < share->holds.count) {
		struct dw_slot_ref *ref = &share->holds.refs[position];
		bool idle = ref->upstream->slots[ref->slot].state == DW_SLOT_IDLE;

		if (idle && (share->leaving || now_us >= ref->return_at_us ||
			     ref->slot >= dw_share_limit(ref->upstream)))
			dw_share_return(share, ref->upstream, ref->slot);
		else
			position++;
	}
}

static void tick_asks(struct dw_share *share, uint64_t now_us)
{
	uint32_t position = 0;

	while (position < share->ask_count) {
		if (share->leaving || now_us >= share->asks[position].deadline_us)
			dw_share_drop_ask(share, position);
		else
			position++;
	}
	position = 0;
	while (position < share->waiter_count) {
		struct dw_share_waiter waiter = share->waiters[position];

		if (serve_waiter(share, waiter.upstream)) {
			position = 0;
		} else if (now_us >= waiter.deadline_us) {
			drop_waiter(share, position);
			dw_share_send(share, waiter.member, DW_SHARE_DENY, waiter.upstream->id,
				      waiter.seq, 0);
		} else {
			position++;
		}
	}
}

/** Requests declarations from members that haven't acknowledged the epoch or that hold loans. */
static void tick_polls(struct dw_share *share, uint64_t now_us)
{
	bool poll = now_us >= share->poll_at_us;
	bool loan_poll = now_us >= share->loan_poll_at_us;

	for (uint32_t i = 0; (poll || loan_poll) && i < share->roster.member_count; i++) {
		struct dw_share_peer *peer = &share->peers[i];

		if ((poll && share->unsettled_count > 0 && !peer->acknowledged) ||
		    (loan_poll && peer->lent_count > 0)) {
			peer->declare_due = true;
			peer->answer_wanted = true;
		}
	}
	if (poll)
		share->poll_at_us = now_us + DW_SHARE_POLL_US;
	if (loan_poll)
		share->loan_poll_at_us = now_us + DW_SHARE_LOAN_POLL_US;
}

void dw_share_tick(struct dw_share *share, uint64_t now_us)
{
	if (share->self_index == DW_MEMBER_NONE)
		return;
	tick_loans(share, now_us);
	tick_asks(share, now_us);
	tick_polls(share, now_us);
}
