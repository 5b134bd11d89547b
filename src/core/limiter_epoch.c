/**
 * @file limiter_epoch.c
 * Ownership of slots and the adoption of rosters.
 */
#include <stdlib.h>
#include <string.h>

#define XXH_INLINE_ALL
#include <xxhash.h>

#include "core/limiter_state.h"

/** How the members of the old roster stand in the new one. */
struct dw_roster_change {
	uint8_t owner_index[DW_ROSTER_MEMBERS_MAX]; /**< same instance, maybe a later run */
	uint8_t holder_index[DW_ROSTER_MEMBERS_MAX]; /**< same run */
	uint8_t joined[DW_ROSTER_MEMBERS_MAX]; /**< instances that the old one didn't have */
	uint32_t joined_count;
	uint8_t old_self;
};

static uint64_t slot_hash(uint64_t upstream_id, uint32_t slot)
{
	return XXH3_64bits_withSeed(&upstream_id, sizeof(upstream_id), slot);
}

static uint64_t score(uint64_t slot, uint64_t instance_id)
{
	uint64_t pair[2] = { slot, instance_id };

	return XXH3_64bits(pair, sizeof(pair));
}

static uint8_t best_member(const struct dw_roster *roster, uint64_t slot)
{
	uint8_t best = DW_ROSTER_INDEX_NONE;
	uint64_t best_score = 0;

	for (uint32_t i = 0; i < roster->member_count; i++) {
		uint64_t s = score(slot, roster->members[i].key.instance_id);

		if (best == DW_ROSTER_INDEX_NONE || s > best_score) {
			best = (uint8_t)i;
			best_score = s;
		}
	}
	return best;
}

uint8_t dw_limiter_slot_owner(const struct dw_roster *roster, uint64_t upstream_id, uint32_t slot)
{
	return best_member(roster, slot_hash(upstream_id, slot));
}

/** The owner under @p roster, from the owner before: only joined members can have overtaken it. */
static uint8_t next_owner(const struct dw_roster *roster, const struct dw_roster_change *change,
			  uint64_t upstream_id, uint32_t i, uint8_t old_owner)
{
	uint8_t owner =
		old_owner == DW_ROSTER_INDEX_NONE ? old_owner : change->owner_index[old_owner];
	uint64_t slot;
	uint64_t best_score;

	if (owner != DW_ROSTER_INDEX_NONE && change->joined_count == 0)
		return owner;
	slot = slot_hash(upstream_id, i);
	if (owner == DW_ROSTER_INDEX_NONE)
		return best_member(roster, slot);
	best_score = score(slot, roster->members[owner].key.instance_id);
	for (uint32_t j = 0; j < change->joined_count; j++) {
		uint8_t joined = change->joined[j];
		uint64_t s = score(slot, roster->members[joined].key.instance_id);

		if (s > best_score || (s == best_score && joined < owner)) {
			owner = joined;
			best_score = s;
		}
	}
	return owner;
}

static uint8_t index_of(int32_t found)
{
	return found < 0 ? DW_ROSTER_INDEX_NONE : (uint8_t)found;
}

static void compare_rosters(const struct dw_roster *old, const struct dw_roster *roster,
			    struct dw_roster_change *change)
{
	change->joined_count = 0;
	for (uint32_t i = 0; i < old->member_count; i++) {
		struct dw_member_key key = old->members[i].key;

		change->owner_index[i] = index_of(dw_roster_find_instance(roster, key.instance_id));
		change->holder_index[i] = index_of(dw_roster_find(roster, key));
	}
	for (uint32_t i = 0; i < roster->member_count; i++) {
		if (dw_roster_find_instance(old, roster->members[i].key.instance_id) < 0)
			change->joined[change->joined_count++] = (uint8_t)i;
	}
}

static void hand_over(struct dw_limiter *share, struct dw_limiter_upstream *up, uint32_t i,
		      enum dw_limiter_entry_kind kind, uint8_t borrower)
{
	const struct dw_limiter_slot *slot = &up->slots[i];

	share->handed = dw_limiter_grow_array(share->handed, &share->handed_capacity,
					      share->handed_count + 1, sizeof(share->handed[0]));
	share->handed[share->handed_count++] = (struct dw_limiter_handover){
		.owner = slot->owner,
		.entry = { .upstream_id = up->id,
			   .hold_seq = slot->hold_seq,
			   .slot = (uint16_t)i,
			   .kind = (uint8_t)kind,
			   .borrower = borrower },
	};
}

/** The slot stays ours; a borrower that is gone has left it free. */
static void keep_slot(struct dw_limiter_slot *slot)
{
	if (slot->state == DW_SLOT_LENT &&
	    (slot->unsettled || slot->holder == DW_ROSTER_INDEX_NONE))
		slot->state = DW_SLOT_FREE;
}

/** The slot passes from us to another member. */
static void lose_slot(struct dw_limiter *share, struct dw_limiter_upstream *up, uint32_t i)
{
	struct dw_limiter_slot *slot = &up->slots[i];

	if (!slot->unsettled && slot->state == DW_SLOT_FREE)
		hand_over(share, up, i, DW_LIMITER_HANDOVER_FREE, DW_ROSTER_INDEX_NONE);
	if (!slot->unsettled && slot->state == DW_SLOT_LENT)
		hand_over(share, up, i,
			  slot->holder == DW_ROSTER_INDEX_NONE ? DW_LIMITER_HANDOVER_FREE
							       : DW_LIMITER_HANDOVER_LENT,
			  slot->holder);
	if (!slot->unsettled && slot->state == DW_SLOT_USED)
		hand_over(share, up, i, DW_LIMITER_HANDOVER_LENT, share->self_index);
	if (slot->state != DW_SLOT_USED)
		slot->state = DW_SLOT_NOT_HELD;
	slot->unsettled = false;
}

/** The slot passes from another member to us. */
static void gain_slot(struct dw_limiter_slot *slot)
{
	slot->unsettled = true;
	if (slot->state != DW_SLOT_USED)
		slot->state = DW_SLOT_FREE;
}

static void adopt_slot(struct dw_limiter *share, const struct dw_roster_change *change,
		       struct dw_limiter_upstream *up, uint32_t i)
{
	struct dw_limiter_slot *slot = &up->slots[i];
	bool owned = change->old_self != DW_ROSTER_INDEX_NONE && slot->owner == change->old_self;

	slot->owner = next_owner(&share->roster, change, up->id, i, slot->owner);
	if (slot->state == DW_SLOT_LENT)
		slot->holder = change->holder_index[slot->holder];
	if (owned && dw_limiter_owns_slot(share, slot))
		keep_slot(slot);
	else if (owned)
		lose_slot(share, up, i);
	else if (dw_limiter_owns_slot(share, slot))
		gain_slot(slot);
	dw_limiter_index_slot(share, up, i);
}

/** Carries what is known of each run that stays; acknowledgements start again. */
static void adopt_peers(struct dw_limiter *share, const struct dw_roster_change *change,
			uint32_t old_count)
{
	struct dw_limiter_peer peers[DW_ROSTER_MEMBERS_MAX] = { 0 };

	for (uint32_t i = 0; i < old_count; i++) {
		uint8_t now = change->holder_index[i];

		if (now == DW_ROSTER_INDEX_NONE)
			continue;
		peers[now].declared_seq = share->peers[i].declared_seq;
		peers[now].floor_seq = share->peers[i].floor_seq;
		peers[now].unreachable = share->peers[i].unreachable;
	}
	memcpy(share->peers, peers, sizeof(peers));
	share->unsettled_count = 0;
	share->own_in_flight = 0;
	share->lent.count = 0;
}

/** Loans keep the time at which they are returned. */
static struct dw_slot_list take_holds(struct dw_limiter *share)
{
	struct dw_slot_list holds = share->holds;

	share->holds = (struct dw_slot_list){ 0 };
	return holds;
}

static void restore_return_times(struct dw_limiter *share, struct dw_slot_list *holds)
{
	for (uint32_t i = 0; share->holds.refs && i < holds->count; i++) {
		const struct dw_slot_ref *ref = &holds->refs[i];
		const struct dw_limiter_slot *slot = &ref->upstream->slots[ref->slot];

		if (dw_limiter_owns_slot(share, slot))
			continue;
		share->holds.refs[slot->position].return_at_us = ref->return_at_us;
	}
	free(holds->refs);
}

/** Asks of and to the old epoch come to nothing, as its grants are refused. */
static void drop_asks(struct dw_limiter *share)
{
	while (share->ask_count > 0)
		dw_limiter_drop_borrow_request(share, share->ask_count - 1);
	for (uint32_t i = 0; i < share->waiter_count; i++)
		share->waiters[i].upstream->waiters = 0;
	share->waiter_count = 0;
}

static void announce(struct dw_limiter *share, uint64_t now_us)
{
	for (uint32_t i = 0; i < share->roster.member_count; i++) {
		if (i == share->self_index || share->self_index == DW_ROSTER_INDEX_NONE)
			continue;
		share->peers[i].declare_due = true;
		share->peers[i].answer_wanted = share->unsettled_count > 0;
	}
	share->poll_at_us = now_us + DW_LIMITER_DECLARATION_POLL_US;
	share->loan_poll_at_us = now_us + DW_LIMITER_LOAN_POLL_US;
}

enum dw_status dw_limiter_set_roster(struct dw_limiter *share, const struct dw_roster *roster,
				     uint64_t now_us)
{
	uint64_t digest = dw_roster_digest(roster);
	uint32_t old_count = share->roster.member_count;
	struct dw_roster_change change;
	struct dw_slot_list holds;
	struct dw_limiter_upstream *up;
	enum dw_status status = dw_roster_check(roster);

	if (status != DW_OK)
		return status;
	if (roster->epoch < share->roster.epoch)
		return dw_fail(DW_STALE, "roster of an older epoch");
	if (roster->epoch == share->roster.epoch && share->roster.epoch != 0)
		return digest == share->digest ? DW_OK
					       : dw_fail(DW_CONFLICT, "two rosters of one epoch");
	compare_rosters(&share->roster, roster, &change);
	change.old_self = share->self_index;
	drop_asks(share);
	holds = take_holds(share);
	share->roster = *roster;
	share->digest = digest;
	share->self_index = index_of(dw_roster_find(roster, share->self));
	share->settled = false;
	share->handed_count = 0;
	adopt_peers(share, &change, old_count);
	for (up = share->upstreams; up; up = up->hh.next) {
		up->ask_cursor = 0;
		memset(up->asked, 0, sizeof(up->asked));
		for (uint32_t i = 0; i < up->slot_count; i++)
			adopt_slot(share, &change, up, i);
	}
	restore_return_times(share, &holds);
	announce(share, now_us);
	if (roster->member_count == 1 && share->self_index != DW_ROSTER_INDEX_NONE)
		dw_limiter_settle(share);
	return DW_OK;
}

static void settle_slot(struct dw_limiter *share, struct dw_limiter_upstream *up, uint32_t i)
{
	struct dw_limiter_slot *slot = &up->slots[i];

	if (!slot->unsettled)
		return;
	dw_limiter_unindex_slot(share, up, i);
	slot->unsettled = false;
	dw_limiter_index_slot(share, up, i);
	if (slot->state == DW_SLOT_FREE)
		dw_limiter_slot_freed(share, up);
}

void dw_limiter_settle(struct dw_limiter *share)
{
	struct dw_limiter_upstream *up;

	share->settled = true;
	if (share->unsettled_count == 0)
		return;
	for (up = share->upstreams; up; up = up->hh.next) {
		for (uint32_t i = 0; i < up->slot_count; i++)
			settle_slot(share, up, i);
	}
}
