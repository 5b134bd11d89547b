/**
 * @file limiter_messages.c
 * Messages between owners and borrowers of slots.
 *
 * Each hold has a number that its holder assigns and never reuses. An owner treats a loan as ended
 * only when the borrower says so: by a RETURN with that number, or by a complete declaration that
 * doesn't list it and whose floor_seq guarantees that a grant with that number would be refused.
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

void dw_limiter_send(struct dw_limiter *limiter, uint8_t member, enum dw_limiter_message_kind kind,
		     uint64_t upstream_id, uint64_t hold_seq, uint32_t slot)
{
	uint32_t end = limiter->outbox_head + limiter->outbox_count;

	if (limiter->outbox_count >= DW_LIMITER_OUTBOX_MAX)
		return;
	if (limiter->outbox_count == 0) {
		limiter->outbox_head = 0;
		end = 0;
	}
	limiter->outbox = dw_limiter_grow_array(limiter->outbox, &limiter->outbox_capacity, end + 1,
						sizeof(limiter->outbox[0]));
	limiter->outbox[end] = (struct dw_limiter_queued_message){
		.to = limiter->roster.members[member].key,
		.message = { .kind = kind,
			     .epoch = limiter->roster.epoch,
			     .digest = limiter->digest,
			     .loan = { .upstream_id = upstream_id,
				       .hold_seq = hold_seq,
				       .slot = (uint16_t)slot } },
	};
	limiter->outbox_count++;
}

void dw_limiter_lend_slot(struct dw_limiter *limiter, struct dw_limiter_upstream *up, uint32_t i,
			  uint8_t member, uint64_t seq)
{
	struct dw_limiter_slot *slot = &up->slots[i];

	dw_limiter_unindex_slot(limiter, up, i);
	slot->state = DW_SLOT_LENT;
	slot->holder = member;
	slot->hold_seq = seq;
	dw_limiter_index_slot(limiter, up, i);
	dw_limiter_send(limiter, member, DW_LIMITER_GRANT, up->id, seq, i);
}

/** The highest hold_seq up to which no borrow request to @p member is outstanding, so that a grant
 * up to it would be refused. */
static uint64_t grant_floor(const struct dw_limiter *limiter, uint8_t member)
{
	uint64_t floor_seq = limiter->last_seq;

	for (uint32_t i = 0; i < limiter->borrow_request_count; i++) {
		if (limiter->borrow_requests[i].member == member &&
		    limiter->borrow_requests[i].seq <= floor_seq)
			floor_seq = limiter->borrow_requests[i].seq - 1;
	}
	return floor_seq;
}

/** Appends an entry; false if the declaration is full. */
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

static void build_declaration(struct dw_limiter *limiter, uint8_t member,
			      struct dw_limiter_message *out)
{
	uint32_t capacity = 0;

	*out = (struct dw_limiter_message){
		.kind = DW_LIMITER_DECLARE,
		.epoch = limiter->roster.epoch,
		.digest = limiter->digest,
		.declare = { .seq = ++limiter->declare_seq,
			     .floor_seq = grant_floor(limiter, member),
			     .complete = true,
			     .answer_wanted = limiter->peers[member].answer_wanted },
	};
	for (uint32_t i = 0; i < limiter->holds.count; i++) {
		const struct dw_slot_ref *ref = &limiter->holds.refs[i];
		const struct dw_limiter_slot *slot = &ref->upstream->slots[ref->slot];
		struct dw_limiter_entry entry = { .upstream_id = ref->upstream->id,
						  .hold_seq = slot->hold_seq,
						  .slot = (uint16_t)ref->slot,
						  .kind = DW_LIMITER_HELD };

		if (slot->owner == member && !add_entry(out, &capacity, &entry))
			out->declare.complete = false;
	}
	for (uint32_t i = 0; i < limiter->handover_count; i++) {
		if (limiter->handovers[i].owner == member)
			add_entry(out, &capacity, &limiter->handovers[i].entry);
	}
}

bool dw_limiter_next_message(struct dw_limiter *limiter, struct dw_member_key *to,
			     struct dw_limiter_message *out)
{
	if (limiter->outbox_count > 0) {
		struct dw_limiter_queued_message *next = &limiter->outbox[limiter->outbox_head++];

		limiter->outbox_count--;
		*to = next->to;
		*out = next->message;
		return true;
	}
	for (uint32_t i = 0; i < limiter->roster.member_count; i++) {
		struct dw_limiter_peer *peer = &limiter->peers[i];

		if (!peer->declare_due)
			continue;
		build_declaration(limiter, (uint8_t)i, out);
		*to = limiter->roster.members[i].key;
		peer->declare_due = false;
		peer->answer_wanted = false;
		return true;
	}
	return false;
}

/** Queues a borrow request until a slot is free; false if the queue is full. */
static bool add_waiter(struct dw_limiter *limiter, struct dw_limiter_upstream *up, uint8_t member,
		       uint64_t seq, uint64_t now_us)
{
	if (limiter->waiter_count >= DW_LIMITER_WAITERS_MAX ||
	    up->waiters >= DW_LIMITER_WAITERS_PER_UPSTREAM)
		return false;
	limiter->waiters[limiter->waiter_count++] = (struct dw_limiter_waiter){
		.upstream = up,
		.seq = seq,
		.deadline_us = now_us + DW_LIMITER_BORROW_TIMEOUT_US / 2,
		.member = member,
	};
	up->waiters++;
	return true;
}

static bool is_waiting(const struct dw_limiter *limiter, uint8_t member, uint64_t seq)
{
	for (uint32_t i = 0; i < limiter->waiter_count; i++) {
		if (limiter->waiters[i].member == member && limiter->waiters[i].seq == seq)
			return true;
	}
	return false;
}

static enum dw_status receive_borrow_request(struct dw_limiter *limiter, uint8_t member,
					     const struct dw_limiter_message *message,
					     uint64_t now_us)
{
	struct dw_limiter_upstream *up =
		dw_limiter_find_upstream(limiter, message->loan.upstream_id);
	uint64_t seq = message->loan.hold_seq;
	uint32_t i;

	if (seq <= limiter->peers[member].floor_seq || is_waiting(limiter, member, seq))
		return DW_STALE;
	if (up) {
		i = dw_limiter_first_bit(up->free_bits, dw_limiter_effective_limit(up));
		if (i != UINT32_MAX) {
			dw_limiter_lend_slot(limiter, up, i, member, seq);
			return DW_OK;
		}
		if (message->kind == DW_LIMITER_BORROW_WAIT &&
		    add_waiter(limiter, up, member, seq, now_us))
			return DW_OK;
	}
	dw_limiter_send(limiter, member, DW_LIMITER_DENY, message->loan.upstream_id, seq, 0);
	return DW_OK;
}

/** Index of the outstanding borrow request that @p message answers, or -1. */
static int32_t find_borrow_request(const struct dw_limiter *limiter, uint8_t member,
				   const struct dw_limiter_message *message)
{
	for (uint32_t i = 0; i < limiter->borrow_request_count; i++) {
		const struct dw_limiter_borrow_request *request = &limiter->borrow_requests[i];

		if (request->seq == message->loan.hold_seq && request->member == member &&
		    request->upstream->id == message->loan.upstream_id)
			return (int32_t)i;
	}
	return -1;
}

/** Accepts a loan, or returns it if the request has expired or the slot can't be used. */
static enum dw_status receive_grant(struct dw_limiter *limiter, uint8_t member,
				    const struct dw_limiter_message *message, uint64_t now_us)
{
	int32_t position = find_borrow_request(limiter, member, message);
	struct dw_limiter_upstream *up =
		dw_limiter_find_upstream(limiter, message->loan.upstream_id);
	uint32_t i = message->loan.slot;
	struct dw_limiter_slot *slot = up && i < up->slot_count ? &up->slots[i] : NULL;

	if (slot && (slot->state == DW_SLOT_USED || slot->state == DW_SLOT_IDLE) &&
	    slot->hold_seq == message->loan.hold_seq)
		return DW_STALE; /* duplicate of the grant that started this hold */
	if (position >= 0)
		dw_limiter_drop_borrow_request(limiter, (uint32_t)position);
	if (position < 0 || !slot || slot->owner != member || slot->state != DW_SLOT_NOT_HELD ||
	    i >= dw_limiter_effective_limit(up) || limiter->leaving) {
		dw_limiter_send(limiter, member, DW_LIMITER_RETURN, message->loan.upstream_id,
				message->loan.hold_seq, i);
		return DW_OK;
	}
	slot->state = DW_SLOT_IDLE;
	slot->hold_seq = message->loan.hold_seq;
	dw_limiter_index_slot(limiter, up, i);
	limiter->holds.refs[slot->position].return_at_us = now_us + DW_LIMITER_LOAN_REUSE_US;
	dw_limiter_set_bit(up->tried_owners, member, false);
	dw_limiter_mark_ready(limiter, up);
	return DW_OK;
}

static enum dw_status receive_deny(struct dw_limiter *limiter, uint8_t member,
				   const struct dw_limiter_message *message)
{
	int32_t position = find_borrow_request(limiter, member, message);

	if (position < 0)
		return DW_STALE;
	dw_limiter_mark_ready(limiter, limiter->borrow_requests[position].upstream);
	dw_limiter_drop_borrow_request(limiter, (uint32_t)position);
	return DW_OK;
}

static void end_loan(struct dw_limiter *limiter, struct dw_limiter_upstream *up, uint32_t i)
{
	dw_limiter_unindex_slot(limiter, up, i);
	up->slots[i].state = DW_SLOT_FREE;
	dw_limiter_index_slot(limiter, up, i);
	dw_limiter_slot_freed(limiter, up);
}

static enum dw_status receive_return(struct dw_limiter *limiter, uint8_t member,
				     const struct dw_limiter_message *message)
{
	struct dw_limiter_upstream *up =
		dw_limiter_find_upstream(limiter, message->loan.upstream_id);
	uint32_t i = message->loan.slot;
	const struct dw_limiter_slot *slot = up && i < up->slot_count ? &up->slots[i] : NULL;

	if (!slot || slot->state != DW_SLOT_LENT || slot->holder != member ||
	    slot->hold_seq != message->loan.hold_seq)
		return DW_STALE;
	end_loan(limiter, up, i);
	return DW_OK;
}

/** Records that @p holder holds the slot, without marking the slot as settled. */
static void record_hold(struct dw_limiter *limiter, struct dw_limiter_upstream *up, uint32_t i,
			uint8_t holder, uint64_t seq)
{
	struct dw_limiter_slot *slot = &up->slots[i];

	if (slot->state != DW_SLOT_FREE)
		return;
	dw_limiter_unindex_slot(limiter, up, i);
	slot->state = DW_SLOT_LENT;
	slot->holder = holder;
	slot->hold_seq = seq;
	dw_limiter_index_slot(limiter, up, i);
}

/** False if the borrower of a handed-over loan has declared in this epoch that the loan has ended,
 * or if the borrower is this member, which knows its own holds. */
static bool may_be_held(const struct dw_limiter *limiter, const struct dw_limiter_entry *entry)
{
	const struct dw_limiter_peer *borrower = &limiter->peers[entry->borrower];

	if (entry->borrower == limiter->self_index)
		return false;
	return !borrower->acknowledged || entry->hold_seq > borrower->floor_seq;
}

/** Takes an unsettled slot over from its previous owner; it may then be used and lent. */
static void take_over(struct dw_limiter *limiter, struct dw_limiter_upstream *up, uint32_t i,
		      const struct dw_limiter_entry *entry)
{
	struct dw_limiter_slot *slot = &up->slots[i];

	if (!slot->unsettled)
		return;
	if (entry->kind == DW_LIMITER_HANDOVER_LENT && may_be_held(limiter, entry))
		record_hold(limiter, up, i, entry->borrower, entry->hold_seq);
	dw_limiter_unindex_slot(limiter, up, i);
	slot->unsettled = false;
	dw_limiter_index_slot(limiter, up, i);
	if (slot->state == DW_SLOT_FREE)
		dw_limiter_slot_freed(limiter, up);
}

static enum dw_status check_declaration(const struct dw_limiter *limiter,
					const struct dw_limiter_message *message)
{
	if (message->declare.entry_count > DW_LIMITER_ENTRIES_MAX)
		return dw_fail(DW_INVALID_ARGUMENT,
			       "limiter message: declaration is too long, %u entries, at most %d",
			       message->declare.entry_count, DW_LIMITER_ENTRIES_MAX);
	for (uint32_t i = 0; i < message->declare.entry_count; i++) {
		const struct dw_limiter_entry *entry = &message->declare.entries[i];
		bool lent = entry->kind == DW_LIMITER_HANDOVER_LENT;

		if (entry->kind >= DW_LIMITER_ENTRY_KIND_COUNT ||
		    entry->slot >= DW_LIMITER_SLOTS_MAX ||
		    (lent && entry->borrower >= limiter->roster.member_count))
			return dw_fail(DW_INVALID_ARGUMENT,
				       "limiter message: declaration entry %u is invalid: kind %u, "
				       "slot %u, borrower %u",
				       i, entry->kind, entry->slot, entry->borrower);
	}
	return DW_OK;
}

static enum dw_status apply_entry(struct dw_limiter *limiter, uint8_t member,
				  const struct dw_limiter_entry *entry)
{
	struct dw_limiter_upstream *up;
	enum dw_status status = dw_limiter_ensure_slots(limiter, entry->upstream_id,
							(uint32_t)entry->slot + 1, &up);

	if (status != DW_OK)
		return status;
	if (!dw_limiter_owns_slot(limiter, &up->slots[entry->slot]))
		return DW_OK;
	if (entry->kind == DW_LIMITER_HELD)
		record_hold(limiter, up, entry->slot, member, entry->hold_seq);
	else
		take_over(limiter, up, entry->slot, entry);
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

/** Ends the loans to @p member that its complete declaration doesn't list. */
static void end_unlisted_loans(struct dw_limiter *limiter, uint8_t member,
			       const struct dw_limiter_message *message)
{
	uint32_t count = message->declare.entry_count;
	size_t size = sizeof(struct dw_limiter_entry);
	struct dw_limiter_entry *sorted = calloc(count + 1, size);
	uint32_t position = limiter->lent.count;

	if (!sorted)
		return;
	if (count > 0)
		memcpy(sorted, message->declare.entries, count * size);
	qsort(sorted, count, size, compare_entries);
	while (position-- > 0) {
		struct dw_limiter_upstream *up = limiter->lent.refs[position].upstream;
		uint32_t i = limiter->lent.refs[position].slot;
		const struct dw_limiter_slot *slot = &up->slots[i];
		struct dw_limiter_entry key = { .upstream_id = up->id,
						.hold_seq = slot->hold_seq,
						.slot = (uint16_t)i,
						.kind = DW_LIMITER_HELD };

		if (slot->holder == member && slot->hold_seq <= message->declare.floor_seq &&
		    !bsearch(&key, sorted, count, size, compare_entries))
			end_loan(limiter, up, i);
	}
	free(sorted);
}

static void acknowledge(struct dw_limiter *limiter, uint8_t member)
{
	limiter->peers[member].acknowledged = true;
	if (limiter->settled)
		return;
	for (uint32_t i = 0; i < limiter->roster.member_count; i++) {
		if (i != limiter->self_index && !limiter->peers[i].acknowledged)
			return;
	}
	dw_limiter_settle(limiter);
}

static enum dw_status receive_declare(struct dw_limiter *limiter, uint8_t member,
				      const struct dw_limiter_message *message)
{
	struct dw_limiter_peer *peer = &limiter->peers[member];
	bool complete = message->declare.complete;
	enum dw_status status = check_declaration(limiter, message);

	if (status != DW_OK)
		return status;
	if (message->declare.seq <= peer->declared_seq)
		return DW_STALE;
	peer->declared_seq = message->declare.seq;
	if (message->declare.floor_seq > peer->floor_seq)
		peer->floor_seq = message->declare.floor_seq;
	for (uint32_t i = 0; i < message->declare.entry_count; i++) {
		if (apply_entry(limiter, member, &message->declare.entries[i]) != DW_OK)
			complete = false;
	}
	if (complete) {
		end_unlisted_loans(limiter, member, message);
		acknowledge(limiter, member);
	}
	if (message->declare.answer_wanted)
		peer->declare_due = true;
	return DW_OK;
}

enum dw_status dw_limiter_receive(struct dw_limiter *limiter, struct dw_member_key from,
				  const struct dw_limiter_message *message, uint64_t now_us)
{
	int32_t found = dw_roster_find(&limiter->roster, from);
	bool current =
		message->epoch == limiter->roster.epoch && message->digest == limiter->digest;
	uint8_t member = (uint8_t)found;

	if (message->epoch > limiter->epoch_seen)
		limiter->epoch_seen = message->epoch;
	if (found < 0 || limiter->self_index == DW_ROSTER_INDEX_NONE ||
	    member == limiter->self_index)
		return DW_STALE;
	/* A RETURN is identified by its hold_seq, so it is accepted from any epoch. */
	if (message->kind != DW_LIMITER_RETURN && !current)
		return DW_STALE;
	switch (message->kind) {
	case DW_LIMITER_BORROW:
	case DW_LIMITER_BORROW_WAIT:
		return receive_borrow_request(limiter, member, message, now_us);
	case DW_LIMITER_GRANT:
		return receive_grant(limiter, member, message, now_us);
	case DW_LIMITER_DENY:
		return receive_deny(limiter, member, message);
	case DW_LIMITER_RETURN:
		return receive_return(limiter, member, message);
	case DW_LIMITER_DECLARE:
		return receive_declare(limiter, member, message);
	case DW_LIMITER_MESSAGE_KIND_COUNT:
		break;
	}
	return dw_fail(DW_INVALID_ARGUMENT, "limiter message: unknown kind %d", (int)message->kind);
}
