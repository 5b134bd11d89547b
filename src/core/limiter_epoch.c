/**
 * @file limiter_epoch.c
 * Ownership of slots and the adoption of rosters.
 */
#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#define XXH_INLINE_ALL
#include <xxhash.h>

#include "core/limiter_state.h"

/** Maps the members of the old roster to the new one. */
struct dw_roster_change {
	/** By old index: new index of the same instance, possibly of a later run. */
	uint8_t owner_index[DW_ROSTER_MEMBERS_MAX];
	uint8_t holder_index[DW_ROSTER_MEMBERS_MAX]; /**< by old index: new index of the same run */
	uint8_t joined[DW_ROSTER_MEMBERS_MAX]; /**< new indexes of instances that were added */
	uint32_t joined_count;
	uint8_t old_self; /**< own index in the old roster */
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

/**
 * The owner of slot @p i in @p roster. If the previous owner is still a member, only members that
 * joined can have a higher score.
 */
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

static uint8_t index_or_none(int32_t found)
{
	return found < 0 ? DW_ROSTER_INDEX_NONE : (uint8_t)found;
}

static void compare_rosters(const struct dw_roster *old, const struct dw_roster *roster,
			    struct dw_roster_change *change)
{
	change->joined_count = 0;
	for (uint32_t i = 0; i < old->member_count; i++) {
		struct dw_member_key key = old->members[i].key;

		change->owner_index[i] =
			index_or_none(dw_roster_find_instance(roster, key.instance_id));
		change->holder_index[i] = index_or_none(dw_roster_find(roster, key));
	}
	for (uint32_t i = 0; i < roster->member_count; i++) {
		if (dw_roster_find_instance(old, roster->members[i].key.instance_id) < 0)
			change->joined[change->joined_count++] = (uint8_t)i;
	}
}

static void add_handover(struct dw_limiter *limiter, struct dw_limiter_upstream *up, uint32_t i,
			 enum dw_limiter_entry_kind kind, uint8_t borrower)
{
	const struct dw_limiter_slot *slot = &up->slots[i];

	limiter->handovers =
		dw_limiter_grow_array(limiter->handovers, &limiter->handover_capacity,
				      limiter->handover_count + 1, sizeof(limiter->handovers[0]));
	limiter->handovers[limiter->handover_count++] = (struct dw_limiter_handover){
		.owner = slot->owner,
		.entry = { .upstream_id = up->id,
			   .hold_seq = slot->hold_seq,
			   .slot = (uint16_t)i,
			   .kind = (uint8_t)kind,
			   .borrower = borrower },
	};
}

/**
 * Handles a slot that this member keeps. A loan ends if its borrower has left the roster; a loan
 * of an unsettled slot is recorded again when the borrower declares it in the new epoch.
 */
static void keep_slot(struct dw_limiter_slot *slot)
{
	if (slot->state == DW_SLOT_LENT &&
	    (slot->unsettled || slot->holder == DW_ROSTER_INDEX_NONE))
		slot->state = DW_SLOT_FREE;
}

/** Handles a slot that passes from this member to another. */
static void lose_slot(struct dw_limiter *limiter, struct dw_limiter_upstream *up, uint32_t i)
{
	struct dw_limiter_slot *slot = &up->slots[i];

	if (!slot->unsettled && slot->state == DW_SLOT_FREE)
		add_handover(limiter, up, i, DW_LIMITER_HANDOVER_FREE, DW_ROSTER_INDEX_NONE);
	if (!slot->unsettled && slot->state == DW_SLOT_LENT)
		add_handover(limiter, up, i,
			     slot->holder == DW_ROSTER_INDEX_NONE ? DW_LIMITER_HANDOVER_FREE
								  : DW_LIMITER_HANDOVER_LENT,
			     slot->holder);
	if (!slot->unsettled && slot->state == DW_SLOT_USED)
		add_handover(limiter, up, i, DW_LIMITER_HANDOVER_LENT, limiter->self_index);
	if (slot->state != DW_SLOT_USED)
		slot->state = DW_SLOT_NOT_HELD;
	slot->unsettled = false;
}

/** Handles a slot that passes from another member to this one. */
static void gain_slot(struct dw_limiter_slot *slot)
{
	slot->unsettled = true;
	if (slot->state != DW_SLOT_USED)
		slot->state = DW_SLOT_FREE;
}

static void adopt_slot(struct dw_limiter *limiter, const struct dw_roster_change *change,
		       struct dw_limiter_upstream *up, uint32_t i)
{
	struct dw_limiter_slot *slot = &up->slots[i];
	bool owned = change->old_self != DW_ROSTER_INDEX_NONE && slot->owner == change->old_self;

	slot->owner = next_owner(&limiter->roster, change, up->id, i, slot->owner);
	if (slot->state == DW_SLOT_LENT)
		slot->holder = change->holder_index[slot->holder];
	if (owned && dw_limiter_owns_slot(limiter, slot))
		keep_slot(slot);
	else if (owned)
		lose_slot(limiter, up, i);
	else if (dw_limiter_owns_slot(limiter, slot))
		gain_slot(slot);
	dw_limiter_index_slot(limiter, up, i);
}

/** Keeps the state of each run that stays in the roster, except for acknowledgements. */
static void adopt_peers(struct dw_limiter *limiter, const struct dw_roster_change *change,
			uint32_t old_count)
{
	struct dw_limiter_peer peers[DW_ROSTER_MEMBERS_MAX] = { 0 };

	for (uint32_t i = 0; i < old_count; i++) {
		uint8_t now = change->holder_index[i];

		if (now == DW_ROSTER_INDEX_NONE)
			continue;
		peers[now].declared_seq = limiter->peers[i].declared_seq;
		peers[now].floor_seq = limiter->peers[i].floor_seq;
		peers[now].unreachable = limiter->peers[i].unreachable;
	}
	memcpy(limiter->peers, peers, sizeof(peers));
	limiter->unsettled_count = 0;
	limiter->own_in_flight = 0;
	limiter->lent.count = 0;
}

/** Moves the list of holds out, so that restore_return_times() can copy the return times. */
static struct dw_slot_list detach_holds(struct dw_limiter *limiter)
{
	struct dw_slot_list holds = limiter->holds;

	limiter->holds = (struct dw_slot_list){ 0 };
	return holds;
}

static void restore_return_times(struct dw_limiter *limiter, struct dw_slot_list *holds)
{
	for (uint32_t i = 0; limiter->holds.refs && i < holds->count; i++) {
		const struct dw_slot_ref *ref = &holds->refs[i];
		const struct dw_limiter_slot *slot = &ref->upstream->slots[ref->slot];

		if (dw_limiter_owns_slot(limiter, slot))
			continue;
		limiter->holds.refs[slot->position].return_at_us = ref->return_at_us;
	}
	free(holds->refs);
}

/** Drops all borrow requests of the old epoch, since its grants are refused from now on. */
static void drop_borrow_requests(struct dw_limiter *limiter)
{
	while (limiter->borrow_request_count > 0)
		dw_limiter_drop_borrow_request(limiter, limiter->borrow_request_count - 1);
	for (uint32_t i = 0; i < limiter->waiter_count; i++)
		limiter->waiters[i].upstream->waiters = 0;
	limiter->waiter_count = 0;
}

static void queue_declarations(struct dw_limiter *limiter, uint64_t now_us)
{
	for (uint32_t i = 0; i < limiter->roster.member_count; i++) {
		if (i == limiter->self_index || limiter->self_index == DW_ROSTER_INDEX_NONE)
			continue;
		limiter->peers[i].declare_due = true;
		limiter->peers[i].answer_wanted = limiter->unsettled_count > 0;
	}
	limiter->poll_at_us = now_us + DW_LIMITER_DECLARATION_POLL_US;
	limiter->loan_poll_at_us = now_us + DW_LIMITER_LOAN_POLL_US;
}

enum dw_status dw_limiter_set_roster(struct dw_limiter *limiter, const struct dw_roster *roster,
				     uint64_t now_us)
{
	uint64_t digest = dw_roster_digest(roster);
	uint32_t old_count = limiter->roster.member_count;
	struct dw_roster_change change;
	struct dw_slot_list holds;
	struct dw_limiter_upstream *up;
	enum dw_status status = dw_roster_check(roster);

	if (status != DW_OK)
		return status;
	if (roster->epoch < limiter->roster.epoch)
		return dw_fail(DW_STALE,
			       "roster of epoch %" PRIu64
			       " is older than the current epoch %" PRIu64,
			       roster->epoch, limiter->roster.epoch);
	if (roster->epoch == limiter->roster.epoch && limiter->roster.epoch != 0)
		return digest == limiter->digest
			       ? DW_OK
			       : dw_fail(DW_CONFLICT,
					 "roster differs from the current one of the same epoch "
					 "%" PRIu64 ": digest %016" PRIx64 ", current %016" PRIx64,
					 roster->epoch, digest, limiter->digest);
	compare_rosters(&limiter->roster, roster, &change);
	change.old_self = limiter->self_index;
	drop_borrow_requests(limiter);
	holds = detach_holds(limiter);
	limiter->roster = *roster;
	limiter->digest = digest;
	limiter->self_index = index_or_none(dw_roster_find(roster, limiter->self));
	limiter->settled = false;
	limiter->handover_count = 0;
	adopt_peers(limiter, &change, old_count);
	for (up = limiter->upstreams; up; up = up->hh.next) {
		up->borrow_cursor = 0;
		memset(up->tried_owners, 0, sizeof(up->tried_owners));
		for (uint32_t i = 0; i < up->slot_count; i++)
			adopt_slot(limiter, &change, up, i);
	}
	restore_return_times(limiter, &holds);
	queue_declarations(limiter, now_us);
	if (roster->member_count == 1 && limiter->self_index != DW_ROSTER_INDEX_NONE)
		dw_limiter_settle(limiter);
	return DW_OK;
}

static void settle_slot(struct dw_limiter *limiter, struct dw_limiter_upstream *up, uint32_t i)
{
	struct dw_limiter_slot *slot = &up->slots[i];

	if (!slot->unsettled)
		return;
	dw_limiter_unindex_slot(limiter, up, i);
	slot->unsettled = false;
	dw_limiter_index_slot(limiter, up, i);
	if (slot->state == DW_SLOT_FREE)
		dw_limiter_slot_freed(limiter, up);
}

void dw_limiter_settle(struct dw_limiter *limiter)
{
	struct dw_limiter_upstream *up;

	limiter->settled = true;
	if (limiter->unsettled_count == 0)
		return;
	for (up = limiter->upstreams; up; up = up->hh.next) {
		for (uint32_t i = 0; i < up->slot_count; i++)
			settle_slot(limiter, up, i);
	}
}
