/**
 * @file ledger_peer.c
 * Copies of the tail on a peer: sending, holding, acknowledging and adopting them.
 */
#include <stdlib.h>

#include <utlist.h>

#include "core/ledger_state.h"

/* A new holder gets the whole unwritten tail; one that stays keeps what it has. */
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

/* The first record that the holder wasn't sent; found from the end, as few are unsent. */
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
		return dw_fail(DW_NO_MEMORY, "ledger: no memory");
	ack->to = to;
	ack->seq = seq;
	DL_APPEND(ledger->acks, ack);
	return DW_OK;
}

/* Adopted records keep counting as held by this instance: they are in its own tail. */
static enum dw_status adopt(struct dw_ledger *ledger, struct dw_record_replica *tail,
			    uint64_t now_us)
{
	uint32_t done = 0;
	uint64_t seq;
	enum dw_status status = DW_OK;

	while (done < tail->count && status == DW_OK) {
		status = dw_ledger_add(ledger, &tail->records[done], now_us, &seq);
		if (status == DW_OK)
			done++;
	}
	ledger->counters.adopted += done;
	dw_record_replica_trim(&ledger->held, tail, tail->last_seq - tail->count + done);
	return status;
}

static enum dw_status receive_copy(struct dw_ledger *ledger,
				   const struct dw_ledger_message *message, uint64_t now_us)
{
	struct dw_record_replica *tail = dw_replica_table_open(&ledger->held, message->owner);
	enum dw_status status;

	if (!tail)
		return dw_fail(DW_OVERLOADED, "ledger: no room for another owner");
	status = dw_record_replica_append(&ledger->held, tail, message);
	if (tail->owner_is_dead && adopt(ledger, tail, now_us) != DW_OK)
		return DW_NO_MEMORY;
	if (queue_ack(ledger, message->owner, tail->last_seq) != DW_OK)
		return DW_NO_MEMORY;
	return status;
}

static enum dw_status receive_ack(struct dw_ledger *ledger, const struct dw_member_key *from,
				  const struct dw_ledger_message *message)
{
	struct dw_ledger_holder *holder = &ledger->holder;

	if (!dw_member_key_equal(message->owner, ledger->options.self) ||
	    message->seq > ledger->last_seq)
		return dw_fail(DW_INVALID_ARGUMENT, "ledger: acknowledgement of unknown records");
	if (!holder->present || !dw_member_key_equal(holder->key, *from))
		return dw_fail(DW_STALE, "ledger: acknowledgement of an earlier holder");
	holder->acked_seq = message->seq;
	if (message->seq > ledger->copied_seq)
		ledger->copied_seq = message->seq;
	return DW_OK;
}

enum dw_status dw_ledger_receive(struct dw_ledger *ledger, const struct dw_member_key *from,
				 const struct dw_ledger_message *message, uint64_t now_us)
{
	struct dw_record_replica *tail;

	if (message->kind == DW_LEDGER_ACK)
		return receive_ack(ledger, from, message);
	if (!dw_member_key_equal(message->owner, *from) ||
	    message->record_count > DW_LEDGER_MESSAGE_RECORDS || message->written_seq == UINT64_MAX)
		return dw_fail(DW_INVALID_ARGUMENT, "ledger: malformed message");
	if (message->kind == DW_LEDGER_COPY)
		return receive_copy(ledger, message, now_us);
	tail = dw_replica_table_find(&ledger->held, message->owner);
	if (tail)
		dw_record_replica_trim(&ledger->held, tail, message->written_seq);
	return DW_OK;
}

void dw_ledger_member_dead(struct dw_ledger *ledger, const struct dw_member_key *member,
			   uint64_t now_us)
{
	struct dw_record_replica *tail = dw_replica_table_open(&ledger->held, *member);

	if (!tail)
		return;
	tail->owner_is_dead = true;
	adopt(ledger, tail, now_us);
}
