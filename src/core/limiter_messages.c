/**
 * @file limiter_messages.c
 * Messages between owners and borrowers of slots.
 *
 * A hold is numbered by its holder, and a number is never used twice. An owner takes a loan for
 * ended only when its holder says so: by a return of that number, or by a complete declaration
 * that doesn't name it and whose floor says that a grant of that number would be refused.
 */
#include <stdlib.h>
#include <string.h>

#include "core/limiter_state.h"

void dw_limiter_message_clear(struct dw_limiter_message *message)
{
	if (message->kind != DW_LIMITER_DECLARE)
		return;
	free(message->declare.entries);
	message->declare.entries = NULL;
	message->declare.entry_count = 0;
}

void dw_limiter_send(struct dw_limiter *share, uint8_t member, enum dw_limiter_message_kind kind,
		     uint64_t upstream_id, uint64_t hold_seq, uint32_t slot)
{
	uint32_t end = share->outbox_head + share->outbox_count;

	if (share->outbox_count >= DW_LIMITER_OUTBOX_MAX)
		return;
	if (share->outbox_count == 0) {
		share->outbox_head = 0;
		end = 0;
	}
	share->outbox = dw_limiter_grow_array(share->outbox, &share->outbox_capacity, end + 1,
					      sizeof(share->outbox[0]));
	share->outbox[end] = (struct dw_limiter_queued_message){
		.to = share->roster.members[member].key,
		.message = { .kind = kind,
			     .epoch = share->roster.epoch,
			     .digest = share->digest,
			     .loan = { .upstream_id = upstream_id,
				       .hold_seq = hold_seq,
				       .slot = (uint16_t)slot } },
	};
	share->outbox_count++;
}

void dw_limiter_lend_slot(struct dw_limiter *share, struct dw_limiter_upstream *up, uint32_t i,
			  uint8_t member, uint64_t seq)
{
	struct dw_limiter_slot *slot = &up->slots[i];

	dw_limiter_unindex_slot(share, up, i);
	slot->state = DW_SLOT_LENT;
	slot->holder = member;
	slot->hold_seq = seq;
	dw_limiter_index_slot(share, up, i);
	dw_limiter_send(share, member, DW_LIMITER_GRANT, up->id, seq, i);
}

/** No grant up to the floor will be accepted from @p member: none of those asks is outstanding. */
static uint64_t floor_for(const struct dw_limiter *share, uint8_t member)
{
	uint64_t floor_seq = share->last_seq;

	for (uint32_t i = 0; i < share->ask_count; i++) {
		if (share->asks[i].member == member && share->asks[i].seq <= floor_seq)
			floor_seq = share->asks[i].seq - 1;
	}
	return floor_seq;
}

/** Adds one entry; false if the declaration is full. */
static bool add_entry(struct dw_limiter_message *message, uint32_t *capacity,
		      const struct dw_limiter_entry *entry)
{
	if (message->declare.entry_count >= DW_LIMITER_ENTRIES_MAX)
		return false;
	message->declare.entries =
		dw_limiter_grow_array(message->declare.entries, capacity,
				      message->declare.entry_count + 1, sizeof(*entry));
	message->declare.entries[message->declare.entry_count++] = *entry;
	return true;
}

static void build_declaration(struct dw_limiter *share, uint8_t member,
			      struct dw_limiter_message *out)
{
	uint32_t capacity = 0;

	*out = (struct dw_limiter_message){
		.kind = DW_LIMITER_DECLARE,
		.epoch = share->roster.epoch,
		.digest = share->digest,
		.declare = { .seq = ++share->declare_seq,
			     .floor_seq = floor_for(share, member),
			     .complete = true,
			     .answer_wanted = share->peers[member].answer_wanted },
	};
	for (uint32_t i = 0; i < share->holds.count; i++) {
		const struct dw_slot_ref *ref = &share->holds.refs[i];
		const struct dw_limiter_slot *slot = &ref->upstream->slots[ref->slot];
		struct dw_limiter_entry entry = { .upstream_id = ref->upstream->id,
						  .hold_seq = slot->hold_seq,
						  .slot = (uint16_t)ref->slot,
						  .kind = DW_LIMITER_HELD };

		if (slot->owner == member && !add_entry(out, &capacity, &entry))
			out->declare.complete = false;
	}
	for (uint32_t i = 0; i < share->handed_count; i++) {
		if (share->handed[i].owner == member)
			add_entry(out, &capacity, &share->handed[i].entry);
	}
}

bool dw_limiter_next_message(struct dw_limiter *share, struct dw_member_key *to,
			     struct dw_limiter_message *out)
{
	if (share->outbox_count > 0) {
		struct dw_limiter_queued_message *next = &share->outbox[share->outbox_head++];

		share->outbox_count--;
		*to = next->to;
		*out = next->message;
		return true;
	}
	for (uint32_t i = 0; i < share->roster.member_count; i++) {
		struct dw_limiter_peer *peer = &share->peers[i];

		if (!peer->declare_due)
			continue;
		build_declaration(share, (uint8_t)i, out);
		*to = share->roster.members[i].key;
		peer->declare_due = false;
		peer->answer_wanted = false;
		return true;
	}
	return false;
}

/** Queues the ask until a slot is free; false if too many wait. */
static bool add_waiter(struct dw_limiter *share, struct dw_limiter_upstream *up, uint8_t member,
		       uint64_t seq, uint64_t now_us)
{
	if (share->waiter_count >= DW_LIMITER_WAITERS_MAX ||
	    up->waiters >= DW_LIMITER_WAITERS_PER_UPSTREAM)
		return false;
	share->waiters[share->waiter_count++] = (struct dw_limiter_waiter){
		.upstream = up,
		.seq = seq,
		.deadline_us = now_us + DW_LIMITER_BORROW_TIMEOUT_US / 2,
		.member = member,
	};
	up->waiters++;
	return true;
}

static bool is_waiting(const struct dw_limiter *share, uint8_t member, uint64_t seq)
{
	for (uint32_t i = 0; i < share->waiter_count; i++) {
		if (share->waiters[i].member == member && share->waiters[i].seq == seq)
			return true;
	}
	return false;
}

static enum dw_status receive_ask(struct dw_limiter *share, uint8_t member,
				  const struct dw_limiter_message *message, uint64_t now_us)
{
	struct dw_limiter_upstream *up = dw_limiter_find_upstream(share, message->loan.upstream_id);
	uint64_t seq = message->loan.hold_seq;
	uint32_t i;

	if (seq <= share->peers[member].floor_seq || is_waiting(share, member, seq))
		return DW_STALE;
	if (up) {
		i = dw_limiter_first_bit(up->free_bits, dw_limiter_effective_limit(up));
		if (i != UINT32_MAX) {
			dw_limiter_lend_slot(share, up, i, member, seq);
			return DW_OK;
		}
		if (message->kind == DW_LIMITER_BORROW_WAIT &&
		    add_waiter(share, up, member, seq, now_us))
			return DW_OK;
	}
	dw_limiter_send(share, member, DW_LIMITER_DENY, message->loan.upstream_id, seq, 0);
	return DW_OK;
}

/** The outstanding ask that @p message answers, or -1. */
static int32_t find_ask(const struct dw_limiter *share, uint8_t member,
			const struct dw_limiter_message *message)
{
	for (uint32_t i = 0; i < share->ask_count; i++) {
		const struct dw_limiter_borrow_request *ask = &share->asks[i];

		if (ask->seq == message->loan.hold_seq && ask->member == member &&
		    ask->upstream->id == message->loan.upstream_id)
			return (int32_t)i;
	}
	return -1;
}

/** Takes a loan in, or sends it straight back if the ask was given up or the slot isn't wanted. */
static enum dw_status receive_grant(struct dw_limiter *share, uint8_t member,
				    const struct dw_limiter_message *message, uint64_t now_us)
{
	int32_t position = find_ask(share, member, message);
	struct dw_limiter_upstream *up = dw_limiter_find_upstream(share, message->loan.upstream_id);
	uint32_t i = message->loan.slot;
	struct dw_limiter_slot *slot = up && i < up->slot_count ? &up->slots[i] : NULL;

	if (slot && (slot->state == DW_SLOT_USED || slot->state == DW_SLOT_IDLE) &&
	    slot->hold_seq == message->loan.hold_seq)
		return DW_STALE; /* a duplicate of the grant of this very hold */
	if (position >= 0)
		dw_limiter_drop_borrow_request(share, (uint32_t)position);
	if (position < 0 || !slot || slot->owner != member || slot->state != DW_SLOT_NOT_HELD ||
	    i >= dw_limiter_effective_limit(up) || share->leaving) {
		dw_limiter_send(share, member, DW_LIMITER_RETURN, message->loan.upstream_id,
				message->loan.hold_seq, i);
		return DW_OK;
	}
	slot->state = DW_SLOT_IDLE;
	slot->hold_seq = message->loan.hold_seq;
	dw_limiter_index_slot(share, up, i);
	share->holds.refs[slot->position].return_at_us = now_us + DW_LIMITER_LOAN_REUSE_US;
	dw_limiter_set_bit(up->asked, member, false);
	dw_limiter_mark_ready(share, up);
	return DW_OK;
}

static enum dw_status receive_deny(struct dw_limiter *share, uint8_t member,
				   const struct dw_limiter_message *message)
{
	int32_t position = find_ask(share, member, message);

	if (position < 0)
		return DW_STALE;
	dw_limiter_mark_ready(share, share->asks[position].upstream);
	dw_limiter_drop_borrow_request(share, (uint32_t)position);
	return DW_OK;
}

static void end_loan(struct dw_limiter *share, struct dw_limiter_upstream *up, uint32_t i)
{
	dw_limiter_unindex_slot(share, up, i);
	up->slots[i].state = DW_SLOT_FREE;
	dw_limiter_index_slot(share, up, i);
	dw_limiter_slot_freed(share, up);
}

static enum dw_status receive_return(struct dw_limiter *share, uint8_t member,
				     const struct dw_limiter_message *message)
{
	struct dw_limiter_upstream *up = dw_limiter_find_upstream(share, message->loan.upstream_id);
	uint32_t i = message->loan.slot;
	const struct dw_limiter_slot *slot = up && i < up->slot_count ? &up->slots[i] : NULL;

	if (!slot || slot->state != DW_SLOT_LENT || slot->holder != member ||
	    slot->hold_seq != message->loan.hold_seq)
		return DW_STALE;
	end_loan(share, up, i);
	return DW_OK;
}

/** Records that @p holder holds the slot; the slot isn't settled by that. */
static void record_hold(struct dw_limiter *share, struct dw_limiter_upstream *up, uint32_t i,
			uint8_t holder, uint64_t seq)
{
	struct dw_limiter_slot *slot = &up->slots[i];

	if (slot->state != DW_SLOT_FREE)
		return;
	dw_limiter_unindex_slot(share, up, i);
	slot->state = DW_SLOT_LENT;
	slot->holder = holder;
	slot->hold_seq = seq;
	dw_limiter_index_slot(share, up, i);
}

/** True if a handed-over loan still runs, as far as its borrower has said in this epoch. */
static bool may_be_held(const struct dw_limiter *share, const struct dw_limiter_entry *entry)
{
	const struct dw_limiter_peer *borrower = &share->peers[entry->borrower];

	if (entry->borrower == share->self_index)
		return false;
	return !borrower->acknowledged || entry->hold_seq > borrower->floor_seq;
}

/** A former owner hands an unsettled slot over: from now on it is ours to use and to lend. */
static void take_over(struct dw_limiter *share, struct dw_limiter_upstream *up, uint32_t i,
		      const struct dw_limiter_entry *entry)
{
	struct dw_limiter_slot *slot = &up->slots[i];

	if (!slot->unsettled)
		return;
	if (entry->kind == DW_LIMITER_HANDOVER_LENT && may_be_held(share, entry))
		record_hold(share, up, i, entry->borrower, entry->hold_seq);
	dw_limiter_unindex_slot(share, up, i);
	slot->unsettled = false;
	dw_limiter_index_slot(share, up, i);
	if (slot->state == DW_SLOT_FREE)
		dw_limiter_slot_freed(share, up);
}

static enum dw_status check_declaration(const struct dw_limiter *share,
					const struct dw_limiter_message *message)
{
	if (message->declare.entry_count > DW_LIMITER_ENTRIES_MAX)
		return dw_fail(DW_INVALID_ARGUMENT, "declaration too long");
	for (uint32_t i = 0; i < message->declare.entry_count; i++) {
		const struct dw_limiter_entry *entry = &message->declare.entries[i];
		bool lent = entry->kind == DW_LIMITER_HANDOVER_LENT;

		if (entry->kind >= DW_LIMITER_ENTRY_KIND_COUNT ||
		    entry->slot >= DW_LIMITER_SLOTS_MAX ||
		    (lent && entry->borrower >= share->roster.member_count))
			return dw_fail(DW_INVALID_ARGUMENT, "declaration entry %u", i);
	}
	return DW_OK;
}

static enum dw_status apply_entry(struct dw_limiter *share, uint8_t member,
				  const struct dw_limiter_entry *entry)
{
	struct dw_limiter_upstream *up;
	enum dw_status status =
		dw_limiter_ensure_slots(share, entry->upstream_id, (uint32_t)entry->slot + 1, &up);

	if (status != DW_OK)
		return status;
	if (!dw_limiter_owns_slot(share, &up->slots[entry->slot]))
		return DW_OK;
	if (entry->kind == DW_LIMITER_HELD)
		record_hold(share, up, entry->slot, member, entry->hold_seq);
	else
		take_over(share, up, entry->slot, entry);
	return DW_OK;
}

static int compare_entries(const void *a, const void *b)
{
	const struct dw_limiter_entry *left = a;
	const struct dw_limiter_entry *right = b;

	if (left->kind != right->kind)
		return left->kind < right->kind ? -1 : 1;
	if (left->hold_seq != right->hold_seq)
		return left->hold_seq < right->hold_seq ? -1 : 1;
	if (left->slot != right->slot)
		return left->slot < right->slot ? -1 : 1;
	return (left->upstream_id > right->upstream_id) - (left->upstream_id < right->upstream_id);
}

/** Ends the loans to @p member that its complete declaration doesn't name. */
static void sweep_loans(struct dw_limiter *share, uint8_t member,
			const struct dw_limiter_message *message)
{
	uint32_t count = message->declare.entry_count;
	size_t size = sizeof(struct dw_limiter_entry);
	struct dw_limiter_entry *sorted = calloc(count + 1, size);
	uint32_t position = share->lent.count;

	if (!sorted)
		return;
	if (count > 0)
		memcpy(sorted, message->declare.entries, count * size);
	qsort(sorted, count, size, compare_entries);
	while (position-- > 0) {
		struct dw_limiter_upstream *up = share->lent.refs[position].upstream;
		uint32_t i = share->lent.refs[position].slot;
		const struct dw_limiter_slot *slot = &up->slots[i];
		struct dw_limiter_entry key = { .upstream_id = up->id,
						.hold_seq = slot->hold_seq,
						.slot = (uint16_t)i,
						.kind = DW_LIMITER_HELD };

		if (slot->holder == member && slot->hold_seq <= message->declare.floor_seq &&
		    !bsearch(&key, sorted, count, size, compare_entries))
			end_loan(share, up, i);
	}
	free(sorted);
}

static void acknowledge(struct dw_limiter *share, uint8_t member)
{
	share->peers[member].acknowledged = true;
	if (share->settled)
		return;
	for (uint32_t i = 0; i < share->roster.member_count; i++) {
		if (i != share->self_index && !share->peers[i].acknowledged)
			return;
	}
	dw_limiter_settle(share);
}

static enum dw_status receive_declare(struct dw_limiter *share, uint8_t member,
				      const struct dw_limiter_message *message)
{
	struct dw_limiter_peer *peer = &share->peers[member];
	bool complete = message->declare.complete;
	enum dw_status status = check_declaration(share, message);

	if (status != DW_OK)
		return status;
	if (message->declare.seq <= peer->declared_seq)
		return DW_STALE;
	peer->declared_seq = message->declare.seq;
	if (message->declare.floor_seq > peer->floor_seq)
		peer->floor_seq = message->declare.floor_seq;
	for (uint32_t i = 0; i < message->declare.entry_count; i++) {
		if (apply_entry(share, member, &message->declare.entries[i]) != DW_OK)
			complete = false;
	}
	if (complete) {
		sweep_loans(share, member, message);
		acknowledge(share, member);
	}
	if (message->declare.answer_wanted)
		peer->declare_due = true;
	return DW_OK;
}

enum dw_status dw_limiter_receive(struct dw_limiter *share, struct dw_member_key from,
				  const struct dw_limiter_message *message, uint64_t now_us)
{
	int32_t found = dw_roster_find(&share->roster, from);
	bool current = message->epoch == share->roster.epoch && message->digest == share->digest;
	uint8_t member = (uint8_t)found;

	if (message->epoch > share->epoch_seen)
		share->epoch_seen = message->epoch;
	if (found < 0 || share->self_index == DW_ROSTER_INDEX_NONE || member == share->self_index)
		return DW_STALE;
	if (message->kind != DW_LIMITER_RETURN && !current)
		return DW_STALE;
	switch (message->kind) {
	case DW_LIMITER_BORROW:
	case DW_LIMITER_BORROW_WAIT:
		return receive_ask(share, member, message, now_us);
	case DW_LIMITER_GRANT:
		return receive_grant(share, member, message, now_us);
	case DW_LIMITER_DENY:
		return receive_deny(share, member, message);
	case DW_LIMITER_RETURN:
		return receive_return(share, member, message);
	case DW_LIMITER_DECLARE:
		return receive_declare(share, member, message);
	case DW_LIMITER_MESSAGE_KIND_COUNT:
		break;
	}
	return dw_fail(DW_INVALID_ARGUMENT, "share message of kind %d", (int)message->kind);
}
