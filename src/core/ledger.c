#include <dragonflywharf/ledger.h>

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <uthash.h>
#include <utlist.h>

#include "core/held_tail.h"
#include "core/usage_batch.h"

#define MAX_BATCH_RECORDS (DW_USAGE_BATCH_MAX_BYTES / DW_USAGE_RECORD_MAX_BYTES)

/* A record of the own tail. Adopted records join it, so they are copied and written alike. */
struct tail_entry {
	struct dw_usage_record record;
	uint64_t seq;
	uint64_t protect_by_us;
	bool adopted;
	struct tail_entry *prev;
	struct tail_entry *next;
	UT_hash_handle hh;
};

struct pending_ack {
	struct dw_member_key to;
	uint64_t seq;
	struct pending_ack *prev;
	struct pending_ack *next;
};

/* The holder of the own tail's copies. Sequences count from 1. */
struct holder {
	struct dw_member_key key;
	bool present;
	uint64_t sent_seq;
	uint64_t acked_seq;
	uint64_t trimmed_seq; /* the written_seq that it was told */
	uint64_t resend_at_us;
};

struct dw_ledger {
	struct dw_ledger_options options;
	struct tail_entry *tail; /* unwritten, by seq */
	struct tail_entry *by_id;
	struct dw_held_table held;
	struct holder holder;
	struct pending_ack *acks;
	uint64_t last_seq;
	uint64_t written_seq;
	uint64_t copied_seq; /* copied to some holder at the time */
	uint64_t exposed_seq; /* waited long enough */
	uint64_t reported_seq; /* named by dw_ledger_next_protected() */
	uint32_t reserved;
	uint64_t sealed_seq; /* last record of the batch that is being written; 0: none */
	uint64_t batch_seq;
	bool write_under_way;
	uint64_t write_at_us; /* UINT64_MAX: nothing to write */
	bool flushing;
	msgpack_sbuffer buffer;
	struct dw_ledger_counters counters;
};

struct dw_ledger_options dw_ledger_default_options(struct dw_member_key self)
{
	return (struct dw_ledger_options){
		.self = self,
		.max_tail_records = 16384,
		.max_held_records = 16384,
		.max_batch_records = 1024,
		.write_interval_us = UINT64_C(2000000),
		.retry_interval_us = UINT64_C(200000),
		.protect_wait_us = UINT64_C(250000),
	};
}

enum dw_status dw_ledger_new(struct dw_ledger **out, const struct dw_ledger_options *options)
{
	struct dw_ledger *ledger;

	*out = NULL;
	if (options->max_tail_records == 0 || options->max_batch_records == 0 ||
	    options->max_batch_records > MAX_BATCH_RECORDS)
		return dw_fail(DW_INVALID_ARGUMENT, "ledger: options out of range");
	ledger = calloc(1, sizeof(*ledger));
	if (!ledger)
		return dw_fail(DW_NO_MEMORY, "ledger: no memory");
	ledger->options = *options;
	ledger->held.max_records = options->max_held_records;
	ledger->write_at_us = UINT64_MAX;
	ledger->batch_seq = 1;
	msgpack_sbuffer_init(&ledger->buffer);
	*out = ledger;
	return DW_OK;
}

static void drop_first(struct dw_ledger *ledger)
{
	struct tail_entry *entry = ledger->tail;

	DL_DELETE(ledger->tail, entry);
	HASH_DEL(ledger->by_id, entry);
	free(entry);
}

void dw_ledger_free(struct dw_ledger *ledger)
{
	struct pending_ack *ack;
	struct pending_ack *next;

	if (!ledger)
		return;
	while (ledger->tail)
		drop_first(ledger);
	DL_FOREACH_SAFE(ledger->acks, ack, next)
		free(ack);
	dw_held_table_clear(&ledger->held);
	msgpack_sbuffer_destroy(&ledger->buffer);
	free(ledger);
}

enum dw_status dw_ledger_reserve(struct dw_ledger *ledger)
{
	uint64_t unwritten = ledger->last_seq - ledger->written_seq;

	if (unwritten + ledger->reserved >= ledger->options.max_tail_records) {
		ledger->counters.refused++;
		return dw_fail(DW_OVERLOADED, "ledger: %" PRIu64 " records unwritten", unwritten);
	}
	ledger->reserved++;
	return DW_OK;
}

void dw_ledger_unreserve(struct dw_ledger *ledger)
{
	if (ledger->reserved > 0)
		ledger->reserved--;
}

/* Without a holder only the store protects a record, so batches don't wait for their interval. */
static void schedule_write(struct dw_ledger *ledger, uint64_t now_us)
{
	uint64_t wait_us = ledger->options.write_interval_us;

	if (!ledger->holder.present && ledger->options.retry_interval_us < wait_us)
		wait_us = ledger->options.retry_interval_us;
	if (ledger->flushing)
		wait_us = 0;
	if (now_us + wait_us < ledger->write_at_us)
		ledger->write_at_us = now_us + wait_us;
}

static enum dw_status add_entry(struct dw_ledger *ledger, const struct dw_usage_record *record,
				bool adopted, uint64_t now_us, uint64_t *seq)
{
	struct tail_entry *entry;

	HASH_FIND(hh, ledger->by_id, &record->request_id, sizeof(record->request_id), entry);
	if (entry) {
		ledger->counters.repeated++;
		*seq = entry->seq;
		return DW_OK;
	}
	entry = calloc(1, sizeof(*entry));
	if (!entry)
		return dw_fail(DW_NO_MEMORY, "ledger: no memory");
	entry->record = *record;
	entry->adopted = adopted;
	entry->seq = ++ledger->last_seq;
	entry->protect_by_us = now_us + ledger->options.protect_wait_us;
	DL_APPEND(ledger->tail, entry);
	HASH_ADD(hh, ledger->by_id, record.request_id, sizeof(record->request_id), entry);
	schedule_write(ledger, now_us);
	*seq = entry->seq;
	return DW_OK;
}

enum dw_status dw_ledger_append(struct dw_ledger *ledger, const struct dw_usage_record *record,
				uint64_t now_us, uint64_t *seq)
{
	enum dw_status status = add_entry(ledger, record, false, now_us, seq);

	if (status != DW_OK)
		return status;
	dw_ledger_unreserve(ledger);
	ledger->counters.appended++;
	return DW_OK;
}

static enum dw_ledger_protection protection_of(const struct dw_ledger *ledger, uint64_t seq)
{
	if (seq <= ledger->written_seq)
		return DW_LEDGER_WRITTEN;
	if (seq <= ledger->copied_seq)
		return DW_LEDGER_COPIED;
	if (seq <= ledger->exposed_seq)
		return DW_LEDGER_EXPOSED;
	return DW_LEDGER_PROTECTION_COUNT;
}

bool dw_ledger_next_protected(struct dw_ledger *ledger, uint64_t *seq,
			      enum dw_ledger_protection *protection)
{
	if (ledger->reported_seq == ledger->last_seq)
		return false;
	*protection = protection_of(ledger, ledger->reported_seq + 1);
	if (*protection == DW_LEDGER_PROTECTION_COUNT)
		return false;
	*seq = ++ledger->reported_seq;
	if (*protection == DW_LEDGER_EXPOSED)
		ledger->counters.exposed++;
	return true;
}

/* A new holder gets the whole unwritten tail; one that stays keeps what it has. */
void dw_ledger_set_holder(struct dw_ledger *ledger, const struct dw_member_key *holder,
			  uint64_t now_us)
{
	if (!holder) {
		ledger->holder.present = false;
		if (ledger->tail)
			schedule_write(ledger, now_us);
		return;
	}
	if (ledger->holder.present && dw_member_key_equal(ledger->holder.key, *holder))
		return;
	ledger->holder = (struct holder){
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
	struct pending_ack *ack = ledger->acks;

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

static bool next_copy(struct dw_ledger *ledger, uint64_t now_us, struct dw_ledger_message *message)
{
	struct holder *holder = &ledger->holder;
	const struct tail_entry *entry;

	if (holder->sent_seq > holder->acked_seq && now_us >= holder->resend_at_us)
		holder->sent_seq = holder->acked_seq;
	if (holder->sent_seq < ledger->written_seq)
		holder->sent_seq = ledger->written_seq;
	if (holder->sent_seq == ledger->last_seq)
		return false;
	message->kind = DW_LEDGER_COPY;
	message->seq = holder->sent_seq + 1;
	DL_FOREACH(ledger->tail, entry) {
		if (entry->seq <= holder->sent_seq)
			continue;
		if (message->record_count == DW_LEDGER_MESSAGE_RECORDS)
			break;
		message->records[message->record_count++] = entry->record;
	}
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
	struct pending_ack *ack;

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
static enum dw_status adopt(struct dw_ledger *ledger, struct dw_held_tail *tail, uint64_t now_us)
{
	uint32_t done = 0;
	uint64_t seq;
	enum dw_status status = DW_OK;

	while (done < tail->count && status == DW_OK) {
		status = add_entry(ledger, &tail->records[done], true, now_us, &seq);
		if (status == DW_OK)
			done++;
	}
	ledger->counters.adopted += done;
	dw_held_tail_trim(&ledger->held, tail, tail->last_seq - tail->count + done);
	return status;
}

static enum dw_status receive_copy(struct dw_ledger *ledger,
				   const struct dw_ledger_message *message, uint64_t now_us)
{
	struct dw_held_tail *tail = dw_held_table_open(&ledger->held, message->owner);
	enum dw_status status;

	if (!tail)
		return dw_fail(DW_OVERLOADED, "ledger: no room for another owner");
	status = dw_held_tail_copy(&ledger->held, tail, message);
	if (tail->dead && adopt(ledger, tail, now_us) != DW_OK)
		return DW_NO_MEMORY;
	if (queue_ack(ledger, message->owner, tail->last_seq) != DW_OK)
		return DW_NO_MEMORY;
	return status;
}

static enum dw_status receive_ack(struct dw_ledger *ledger, const struct dw_member_key *from,
				  const struct dw_ledger_message *message)
{
	struct holder *holder = &ledger->holder;

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
	struct dw_held_tail *tail;

	if (message->kind == DW_LEDGER_ACK)
		return receive_ack(ledger, from, message);
	if (!dw_member_key_equal(message->owner, *from) ||
	    message->record_count > DW_LEDGER_MESSAGE_RECORDS || message->written_seq == UINT64_MAX)
		return dw_fail(DW_INVALID_ARGUMENT, "ledger: malformed message");
	if (message->kind == DW_LEDGER_COPY)
		return receive_copy(ledger, message, now_us);
	tail = dw_held_table_find(&ledger->held, message->owner);
	if (tail)
		dw_held_tail_trim(&ledger->held, tail, message->written_seq);
	return DW_OK;
}

void dw_ledger_member_dead(struct dw_ledger *ledger, const struct dw_member_key *member,
			   uint64_t now_us)
{
	struct dw_held_tail *tail = dw_held_table_find(&ledger->held, *member);

	if (!tail)
		return;
	tail->dead = true;
	adopt(ledger, tail, now_us);
}

/* The batch keeps its records until it is written, so that a repeat has the same bytes. */
static void seal_batch(struct dw_ledger *ledger)
{
	uint64_t most = ledger->written_seq + ledger->options.max_batch_records;

	if (ledger->sealed_seq == 0)
		ledger->sealed_seq = most < ledger->last_seq ? most : ledger->last_seq;
}

static bool encode_batch(struct dw_ledger *ledger)
{
	const struct tail_entry *entry;
	msgpack_packer packer;
	int failed;

	msgpack_sbuffer_clear(&ledger->buffer);
	msgpack_packer_init(&packer, &ledger->buffer, msgpack_sbuffer_write);
	failed = msgpack_pack_array(&packer, 2);
	failed |= msgpack_pack_uint8(&packer, DW_USAGE_BATCH_VERSION);
	failed |= msgpack_pack_array(&packer, ledger->sealed_seq - ledger->written_seq);
	DL_FOREACH(ledger->tail, entry) {
		if (entry->seq > ledger->sealed_seq)
			break;
		failed |= dw_usage_record_pack(&packer, &entry->record);
	}
	return !failed;
}

bool dw_ledger_next_write(struct dw_ledger *ledger, uint64_t now_us, struct dw_ledger_write *write)
{
	if (ledger->write_under_way || !ledger->tail || now_us < ledger->write_at_us)
		return false;
	seal_batch(ledger);
	if (!encode_batch(ledger)) {
		ledger->write_at_us = now_us + ledger->options.retry_interval_us;
		return false;
	}
	ledger->write_under_way = true;
	ledger->write_at_us = UINT64_MAX;
	write->id = ledger->batch_seq;
	snprintf(write->key, sizeof(write->key), "usage/%016" PRIx64 "/%016" PRIx64 "/%010" PRIu64,
		 ledger->options.self.instance_id, ledger->options.self.incarnation,
		 ledger->batch_seq);
	write->bytes = (const uint8_t *)ledger->buffer.data;
	write->len = ledger->buffer.size;
	return true;
}

void dw_ledger_write_done(struct dw_ledger *ledger, uint64_t id, enum dw_status status,
			  uint64_t now_us)
{
	if (!ledger->write_under_way || id != ledger->batch_seq)
		return;
	ledger->write_under_way = false;
	if (status != DW_OK && status != DW_CONFLICT) {
		ledger->write_at_us = now_us + ledger->options.retry_interval_us;
		return;
	}
	while (ledger->tail && ledger->tail->seq <= ledger->sealed_seq) {
		drop_first(ledger);
		ledger->counters.written++;
	}
	ledger->written_seq = ledger->sealed_seq;
	ledger->sealed_seq = 0;
	ledger->batch_seq++;
	ledger->counters.batches++;
	ledger->write_at_us = UINT64_MAX;
	if (ledger->tail)
		schedule_write(ledger, now_us);
}

void dw_ledger_tick(struct dw_ledger *ledger, uint64_t now_us)
{
	const struct tail_entry *entry;

	DL_FOREACH(ledger->tail, entry) {
		if (entry->protect_by_us > now_us)
			return;
		if (entry->seq > ledger->exposed_seq)
			ledger->exposed_seq = entry->seq;
	}
}

static uint64_t earlier(uint64_t a_us, uint64_t b_us)
{
	return a_us < b_us ? a_us : b_us;
}

uint64_t dw_ledger_deadline_us(const struct dw_ledger *ledger)
{
	const struct holder *holder = &ledger->holder;
	const struct tail_entry *entry;
	uint64_t due_us = ledger->write_under_way ? UINT64_MAX : ledger->write_at_us;

	if (holder->present && holder->sent_seq > holder->acked_seq &&
	    holder->acked_seq < ledger->last_seq)
		due_us = earlier(due_us, holder->resend_at_us);
	DL_FOREACH(ledger->tail, entry) {
		if (entry->seq > ledger->exposed_seq && entry->seq > ledger->reported_seq)
			return earlier(due_us, entry->protect_by_us);
	}
	return due_us;
}

void dw_ledger_flush(struct dw_ledger *ledger, uint64_t now_us)
{
	ledger->flushing = true;
	if (ledger->tail && !ledger->write_under_way)
		ledger->write_at_us = now_us;
}

size_t dw_ledger_unwritten(const struct dw_ledger *ledger)
{
	return (size_t)(ledger->last_seq - ledger->written_seq);
}

struct dw_ledger_counters dw_ledger_counters(const struct dw_ledger *ledger)
{
	return ledger->counters;
}
