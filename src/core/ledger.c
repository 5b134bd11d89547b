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

/** The tail counts as filling once it has 1/TAIL_FILLING_DIVISOR of max_tail_records. */
#define TAIL_FILLING_DIVISOR 4

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
		.keep_us = UINT64_C(120000000),
		.max_kept_bytes = 4 * 1024 * 1024,
	};
}

enum dw_status dw_ledger_new(struct dw_ledger **out, const struct dw_ledger_options *options)
{
	struct dw_ledger *ledger;

	*out = NULL;
	if (options->max_tail_records == 0 || options->max_batch_records == 0 ||
	    options->max_batch_records > MAX_BATCH_RECORDS)
		return dw_fail(DW_INVALID_ARGUMENT,
			       "ledger: max_tail_records %u or max_batch_records %u out of range, "
			       "a batch has 1 to %d records",
			       options->max_tail_records, options->max_batch_records,
			       (int)MAX_BATCH_RECORDS);
	ledger = calloc(1, sizeof(*ledger));
	if (!ledger)
		return dw_fail(DW_NO_MEMORY, "ledger: out of memory");
	ledger->options = *options;
	ledger->held.max_records = options->max_held_records;
	ledger->write_at_us = UINT64_MAX;
	ledger->batch_seq = 1;
	msgpack_sbuffer_init(&ledger->buffer);
	*out = ledger;
	return DW_OK;
}

static void remove_entry(struct dw_ledger *ledger, struct dw_ledger_entry *entry)
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
	dw_ledger_drop_kept(ledger);
	msgpack_sbuffer_destroy(&ledger->buffer);
	free(ledger);
}

enum dw_status dw_ledger_reserve(struct dw_ledger *ledger)
{
	uint64_t unwritten = ledger->last_seq - ledger->written_seq;

	if (unwritten + ledger->reserved >= ledger->options.max_tail_records) {
		ledger->counters.refused++;
		return dw_fail(DW_OVERLOADED,
			       "ledger: the tail is full, %" PRIu64 " records not yet written",
			       unwritten);
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
 * Schedules the next write. It comes after the retry interval, if that is shorter than the write
 * interval, in two cases: without a holder, as only the store then protects a record; and while the
 * tail is filling, as a sustained load of more than one batch per write interval would otherwise be
 * refused.
 */
void dw_ledger_schedule_write(struct dw_ledger *ledger, uint64_t now_us)
{
	uint64_t wait_us = ledger->options.write_interval_us;
	bool filling = dw_ledger_unwritten(ledger) >=
		       ledger->options.max_tail_records / TAIL_FILLING_DIVISOR;

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
		return dw_fail(DW_NO_MEMORY, "ledger: out of memory");
	entry->record = *record;
	entry->seq = ++ledger->last_seq;
	entry->protection_deadline_us = now_us + ledger->options.max_protection_wait_us;
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

/*
 * A reported record counts as copied until it is written, even if it was reported as exposed or the
 * holder has changed since: its answer has already been released.
 */
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

/*
 * The range of a batch is fixed until it is written, so that a retry writes the same bytes under
 * its key.
 */
static void choose_batch_end(struct dw_ledger *ledger)
{
	uint64_t max_seq = ledger->written_seq + ledger->options.max_batch_records;

	if (ledger->batch_end_seq == 0)
		ledger->batch_end_seq = max_seq < ledger->last_seq ? max_seq : ledger->last_seq;
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
	failed |= msgpack_pack_array(&packer, ledger->batch_end_seq - ledger->written_seq);
	DL_FOREACH(ledger->tail, entry) {
		if (entry->seq > ledger->batch_end_seq)
			break;
		failed |= dw_usage_record_pack(&packer, &entry->record);
	}
	return !failed;
}

static void set_write(const struct dw_ledger *ledger, uint64_t seq, const uint8_t *bytes,
		      size_t len, struct dw_ledger_write *write)
{
	write->id = seq;
	snprintf(write->key, sizeof(write->key), "usage/%016" PRIx64 "/%016" PRIx64 "/%010" PRIu64,
		 ledger->options.self.instance_id, ledger->options.self.incarnation, seq);
	write->bytes = bytes;
	write->len = len;
}

static bool next_again(struct dw_ledger *ledger, uint64_t now_us, struct dw_ledger_write *write)
{
	const struct dw_ledger_batch *batch = dw_ledger_next_again(ledger, now_us);

	if (!batch)
		return false;
	ledger->again_seq = batch->seq;
	set_write(ledger, batch->seq, batch->bytes, batch->len, write);
	return true;
}

bool dw_ledger_next_write(struct dw_ledger *ledger, uint64_t now_us, struct dw_ledger_write *write)
{
	if (ledger->write_in_progress || !ledger->tail || now_us < ledger->write_at_us)
		return next_again(ledger, now_us, write);
	choose_batch_end(ledger);
	if (!encode_batch(ledger)) {
		ledger->write_at_us = now_us + ledger->options.retry_interval_us;
		return false;
	}
	ledger->write_in_progress = true;
	ledger->write_at_us = UINT64_MAX;
	set_write(ledger, ledger->batch_seq, (const uint8_t *)ledger->buffer.data,
		  ledger->buffer.size, write);
	return true;
}

void dw_ledger_write_done(struct dw_ledger *ledger, uint64_t id, enum dw_status status,
			  uint64_t now_us)
{
	if (!ledger->write_in_progress || id != ledger->batch_seq) {
		dw_ledger_again_done(ledger, id, status, now_us);
		return;
	}
	ledger->write_in_progress = false;
	if (status != DW_OK && status != DW_CONFLICT) {
		ledger->write_void = false;
		ledger->write_at_us = now_us + ledger->options.retry_interval_us;
		return;
	}
	dw_ledger_keep_batch(ledger, now_us);
	ledger->write_void = false;
	while (ledger->tail && ledger->tail->seq <= ledger->batch_end_seq) {
		remove_entry(ledger, ledger->tail);
		ledger->counters.written++;
	}
	ledger->written_seq = ledger->batch_end_seq;
	ledger->batch_end_seq = 0;
	ledger->batch_seq++;
	ledger->counters.batches++;
	ledger->write_at_us = UINT64_MAX;
	if (ledger->tail)
		dw_ledger_schedule_write(ledger, now_us);
}

void dw_ledger_tick(struct dw_ledger *ledger, uint64_t now_us)
{
	const struct dw_ledger_entry *entry = ledger->tail ? ledger->tail->prev : NULL;

	/*
	 * Deadlines increase with the sequence number, so the last expired one covers all records
	 * before it.
	 */
	while (entry && entry->seq > ledger->exposed_seq) {
		if (entry->protection_deadline_us <= now_us)
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
	uint64_t due_us = ledger->write_in_progress ? UINT64_MAX : ledger->write_at_us;

	if (ledger->again_seq == 0 && dw_ledger_due_again(ledger) > 0)
		due_us = earlier(due_us, ledger->again_at_us);

	if (holder->present && holder->sent_seq > holder->acked_seq &&
	    holder->sent_seq > ledger->written_seq)
		due_us = earlier(due_us, holder->resend_at_us);
	DL_FOREACH(ledger->tail, entry) {
		if (entry->seq > ledger->exposed_seq && entry->seq > ledger->reported_seq)
			return earlier(due_us, entry->protection_deadline_us);
	}
	return due_us;
}

void dw_ledger_flush(struct dw_ledger *ledger, uint64_t now_us)
{
	ledger->flushing = true;
	if (ledger->tail && !ledger->write_in_progress)
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
