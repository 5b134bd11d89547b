/**
 * @file ledger_peer.c
 * Copies of the tail on a peer: sends, holds, acknowledges and adopts them.
 */
#include <inttypes.h>
#include <stdlib.h>

#include <utlist.h>

#include "core/ledger_state.h"

/*
 * A new holder is sent the whole unwritten tail. If the holder is unchanged, its copies stay valid.
 */
void dw_ledger_set_holder(struct dw_ledger *ledger, const struct dw_member_key *holder,
			  uint64_t now_us)
{
	if (holder && ledger->holder.present && dw_member_key_equal(ledger->holder.key, *holder))
		return;
	ledger->copied_seq = ledger->written_seq;
	if (!holder) {
		ledger->holder.present = false;
		if (ledger->tail)
			dw_ledger_schedule_write(ledger, now_us);
		return;
	}
	ledger->holder = (struct dw_ledger_holder){
		.key = *holder,
		.present = true,
		.sent_seq = ledger->written_seq,
		.acked_seq = ledger->written_seq,
		.trimmed_seq = ledger->written_seq,
	};
}

static bool next_ack(struct dw_ledger *ledger, struct dw_member_key *to,
		     struct dw_ledger_message *message)
{
	struct dw_ledger_ack *ack = ledger->acks;

	if (!ack)
		return false;
	*to = ack->to;
	message->kind = DW_LEDGER_ACK;
	message->owner = ack->to;
	message->seq = ack->seq;
	DL_DELETE(ledger->acks, ack);
	free(ack);
	return true;
}

/*
 * Finds the first record that the holder hasn't been sent. Searches from the end, as few records
 * are unsent. The tail must have such a record.
 */
static const struct dw_ledger_entry *first_unsent(const struct dw_ledger *ledger)
{
	const struct dw_ledger_entry *entry = ledger->tail->prev;

	while (entry != ledger->tail && entry->prev->seq > ledger->holder.sent_seq)
		entry = entry->prev;
	return entry;
}

static bool next_copy(struct dw_ledger *ledger, uint64_t now_us, struct dw_ledger_message *message)
{
	struct dw_ledger_holder *holder = &ledger->holder;
	const struct dw_ledger_entry *entry;

	if (holder->sent_seq > holder->acked_seq && now_us >= holder->resend_at_us)
		holder->sent_seq = holder->acked_seq;
	if (holder->sent_seq < ledger->written_seq)
		holder->sent_seq = ledger->written_seq;
	if (holder->sent_seq == ledger->last_seq)
		return false;
	message->kind = DW_LEDGER_COPY;
	message->seq = holder->sent_seq + 1;
	for (entry = first_unsent(ledger);
	     entry && message->record_count < DW_LEDGER_MESSAGE_RECORDS; entry = entry->next)
		message->records[message->record_count++] = entry->record;
	holder->sent_seq += message->record_count;
	holder->trimmed_seq = ledger->written_seq;
	holder->resend_at_us = now_us + ledger->options.retry_interval_us;
	return true;
}

bool dw_ledger_next_message(struct dw_ledger *ledger, uint64_t now_us, struct dw_member_key *to,
			    struct dw_ledger_message *message)
{
	message->record_count = 0;
	message->seq = 0;
	message->written_seq = 0;
	if (next_ack(ledger, to, message))
		return true;
	if (!ledger->holder.present)
		return false;
	*to = ledger->holder.key;
	message->owner = ledger->options.self;
	message->written_seq = ledger->written_seq;
	if (next_copy(ledger, now_us, message))
		return true;
	if (ledger->holder.trimmed_seq == ledger->written_seq)
		return false;
	message->kind = DW_LEDGER_TRIM;
	ledger->holder.trimmed_seq = ledger->written_seq;
	return true;
}

static enum dw_status queue_ack(struct dw_ledger *ledger, struct dw_member_key to, uint64_t seq)
{
	struct dw_ledger_ack *ack;

	DL_FOREACH(ledger->acks, ack) {
		if (dw_member_key_equal(ack->to, to)) {
			ack->seq = seq;
			return DW_OK;
		}
	}
	ack = calloc(1, sizeof(*ack));
	if (!ack)
		return dw_fail(DW_NO_MEMORY, "ledger: out of memory");
	ack->to = to;
	ack->seq = seq;
	DL_APPEND(ledger->acks, ack);
	return DW_OK;
}

/*
 * Moves the records of a dead owner into the own tail. They still count as held by this instance
 * for the acknowledgements to their owner.
 */
static enum dw_status adopt(struct dw_ledger *ledger, struct dw_record_replica *replica,
			    uint64_t now_us)
{
	uint32_t adopted_count = 0;
	uint64_t seq;
	enum dw_status status = DW_OK;

	while (adopted_count < replica->count && status == DW_OK) {
		status = dw_ledger_add(ledger, &replica->records[adopted_count], now_us, &seq);
		if (status == DW_OK)
			adopted_count++;
	}
	ledger->counters.adopted += adopted_count;
	dw_record_replica_trim(&ledger->held, replica,
			       replica->last_seq - replica->count + adopted_count);
	return status;
}

static enum dw_status receive_copy(struct dw_ledger *ledger,
				   const struct dw_ledger_message *message, uint64_t now_us)
{
	struct dw_record_replica *replica = dw_replica_table_open(&ledger->held, message->owner);
	enum dw_status status;

	if (!replica)
		return dw_fail(DW_OVERLOADED,
			       "ledger: copies are held for %d owners already, the maximum",
			       DW_REPLICA_MAX_OWNERS);
	status = dw_record_replica_append(&ledger->held, replica, message);
	if (replica->owner_is_dead && adopt(ledger, replica, now_us) != DW_OK)
		return DW_NO_MEMORY;
	if (queue_ack(ledger, message->owner, replica->last_seq) != DW_OK)
		return DW_NO_MEMORY;
	return status;
}

static enum dw_status receive_ack(struct dw_ledger *ledger, const struct dw_member_key *from,
				  const struct dw_ledger_message *message)
{
	struct dw_ledger_holder *holder = &ledger->holder;

	if (!dw_member_key_equal(message->owner, ledger->options.self) ||
	    message->seq > ledger->last_seq)
		return dw_fail(DW_INVALID_ARGUMENT,
			       "ledger: acknowledgement of unknown records, up to %" PRIu64
			       " of instance %016" PRIx64 ", the last own record is %" PRIu64
			       " of instance %016" PRIx64,
			       message->seq, message->owner.instance_id, ledger->last_seq,
			       ledger->options.self.instance_id);
	if (!holder->present || !dw_member_key_equal(holder->key, *from))
		return dw_fail(DW_STALE,
			       "ledger: acknowledgement from a peer that is no longer the holder");
	holder->acked_seq = message->seq;
	if (message->seq > ledger->copied_seq)
		ledger->copied_seq = message->seq;
	return DW_OK;
}

enum dw_status dw_ledger_receive(struct dw_ledger *ledger, const struct dw_member_key *from,
				 const struct dw_ledger_message *message, uint64_t now_us)
{
	struct dw_record_replica *replica;

	if (message->kind == DW_LEDGER_ACK)
		return receive_ack(ledger, from, message);
	if (!dw_member_key_equal(message->owner, *from) ||
	    message->record_count > DW_LEDGER_MESSAGE_RECORDS || message->written_seq == UINT64_MAX)
		return dw_fail(DW_INVALID_ARGUMENT,
			       "ledger: malformed message, wrong owner or value out of range: "
			       "owner %016" PRIx64 ", sender %016" PRIx64
			       ", %u records, written_seq %" PRIu64,
			       message->owner.instance_id, from->instance_id, message->record_count,
			       message->written_seq);
	if (message->kind == DW_LEDGER_COPY)
		return receive_copy(ledger, message, now_us);
	replica = dw_replica_table_find(&ledger->held, message->owner);
	if (replica)
		dw_record_replica_trim(&ledger->held, replica, message->written_seq);
	return DW_OK;
}

void dw_ledger_member_dead(struct dw_ledger *ledger, const struct dw_member_key *member,
			   uint64_t now_us)
{
	struct dw_record_replica *replica = dw_replica_table_open(&ledger->held, *member);

	if (!replica)
		return;
	replica->owner_is_dead = true;
	adopt(ledger, replica, now_us);
}
