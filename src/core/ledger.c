#include <dragonflywharf/ledger.h>

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <uthash.h>
#include <utlist.h>

#include "core/ledger_state.h"
#include "core/usage_batch.h"

#define MAX_BATCH_RECORDS (DW_USAGE_BATCH_MAX_BYTES / DW_USAGE_RECORD_MAX_BYTES)

/** From this part of its bound on the tail counts as filling. */
#define TAIL_PART 4

struct dw_ledger_options dw_ledger_default_options(struct dw_member_key self)
{
	return (struct dw_ledger_options){
		.self = self,
		.max_tail_records = 16384,
		.max_held_records = 16384,
		.max_batch_records = 1024,
		.write_interval_us = UINT64_C(2000000),
		.retry_interval_us = UINT64_C(200000),
		.max_protection_wait_us = UINT64_C(250000),
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

static void drop_entry(struct dw_ledger *ledger, struct dw_ledger_entry *entry)
{
	DL_DELETE(ledger->tail, entry);
	if (ledger->by_id)
		HASH_DEL(ledger->by_id, entry);
	free(entry);
}

void dw_ledger_free(struct dw_ledger *ledger)
{
	struct dw_ledger_entry *entry;
	struct dw_ledger_entry *next_entry;
	struct dw_ledger_ack *ack;
	struct dw_ledger_ack *next;

	if (!ledger)
		return;
	HASH_CLEAR(hh, ledger->by_id);
	DL_FOREACH_SAFE(ledger->tail, entry, next_entry)
		free(entry);
	DL_FOREACH_SAFE(ledger->acks, ack, next)
		free(ack);
	dw_replica_table_clear(&ledger->held);
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

/*
 * Without a holder only the store protects a record, so batches don't wait for their interval; nor
 * do they while the tail fills, or a sustained load of more than a batch an interval were refused.
 */
void dw_ledger_schedule_write(struct dw_ledger *ledger, uint64_t now_us)
{
	uint64_t wait_us = ledger->options.write_interval_us;
	bool filling = dw_ledger_unwritten(ledger) >= ledger->options.max_tail_records / TAIL_PART;

	if ((!ledger->holder.present || filling) && ledger->options.retry_interval_us < wait_us)
		wait_us = ledger->options.retry_interval_us;
	if (ledger->flushing)
		wait_us = 0;
	if (now_us + wait_us < ledger->write_at_us)
		ledger->write_at_us = now_us + wait_us;
}

enum dw_status dw_ledger_add(struct dw_ledger *ledger, const struct dw_usage_record *record,
			     uint64_t now_us, uint64_t *seq)
{
	struct dw_ledger_entry *entry;

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
	entry->seq = ++ledger->last_seq;
	entry->protect_by_us = now_us + ledger->options.max_protection_wait_us;
	DL_APPEND(ledger->tail, entry);
	HASH_ADD(hh, ledger->by_id, record.request_id, sizeof(record->request_id), entry);
	dw_ledger_schedule_write(ledger, now_us);
	*seq = entry->seq;
	return DW_OK;
}

enum dw_status dw_ledger_append(struct dw_ledger *ledger, const struct dw_usage_record *record,
				uint64_t now_us, uint64_t *seq)
{
	enum dw_status status = dw_ledger_add(ledger, record, now_us, seq);

	if (status != DW_OK)
		return status;
	dw_ledger_unreserve(ledger);
	ledger->counters.appended++;
	return DW_OK;
}

enum dw_ledger_protection dw_ledger_protection_of(const struct dw_ledger *ledger, uint64_t seq)
{
	if (seq <= ledger->written_seq)
		return DW_LEDGER_WRITTEN;
	if (seq <= ledger->copied_seq || seq <= ledger->reported_seq)
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
	*protection = dw_ledger_protection_of(ledger, ledger->reported_seq + 1);
	if (*protection == DW_LEDGER_PROTECTION_COUNT)
		return false;
	*seq = ++ledger->reported_seq;
	if (*protection == DW_LEDGER_EXPOSED)
		ledger->counters.exposed++;
	return true;
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
	const struct dw_ledger_entry *entry;
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
		drop_entry(ledger, ledger->tail);
		ledger->counters.written++;
	}
	ledger->written_seq = ledger->sealed_seq;
	ledger->sealed_seq = 0;
	ledger->batch_seq++;
	ledger->counters.batches++;
	ledger->write_at_us = UINT64_MAX;
	if (ledger->tail)
		dw_ledger_schedule_write(ledger, now_us);
}

void dw_ledger_tick(struct dw_ledger *ledger, uint64_t now_us)
{
	const struct dw_ledger_entry *entry = ledger->tail ? ledger->tail->prev : NULL;

	/* Deadlines grow with the sequence: the last one that is over tells all before it. */
	while (entry && entry->seq > ledger->exposed_seq) {
		if (entry->protect_by_us <= now_us)
			ledger->exposed_seq = entry->seq;
		else if (entry != ledger->tail)
			entry = entry->prev;
		else
			return;
	}
}

static uint64_t earlier(uint64_t a_us, uint64_t b_us)
{
	return a_us < b_us ? a_us : b_us;
}

uint64_t dw_ledger_deadline_us(const struct dw_ledger *ledger)
{
	const struct dw_ledger_holder *holder = &ledger->holder;
	const struct dw_ledger_entry *entry;
	uint64_t due_us = ledger->write_under_way ? UINT64_MAX : ledger->write_at_us;

	if (holder->present && holder->sent_seq > holder->acked_seq &&
	    holder->sent_seq > ledger->written_seq)
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

struct dw_ledger_counters dw_ledger_read_counters(const struct dw_ledger *ledger)
{
	return ledger->counters;
}
