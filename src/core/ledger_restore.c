/**
 * @file ledger_restore.c
 * Batches that were written lately, and are written again if the store came back from an older copy.
 */
#include <stdlib.h>
#include <string.h>

#include "core/ledger_state.h"

static void drop(struct dw_ledger *ledger, struct dw_ledger_batch *batch)
{
	HASH_DEL(ledger->kept, batch);
	free(batch->bytes);
	free(batch);
}

/* A batch that is due stays until it is written. */
static void trim(struct dw_ledger *ledger, uint64_t now_us)
{
	struct dw_ledger_batch *batch;
	struct dw_ledger_batch *next;
	size_t bytes = ledger->kept_bytes;

	HASH_ITER(hh, ledger->kept, batch, next) {
		bool expired = batch->until_us <= now_us;

		if (batch->due)
			continue;
		if (!expired && bytes <= ledger->options.max_kept_bytes)
			break;
		if (!expired)
			ledger->counters.dropped++;
		bytes -= batch->len;
		drop(ledger, batch);
	}
	ledger->kept_bytes = bytes;
}

/* Without memory the batch isn't kept: it is in the store. */
void dw_ledger_keep_batch(struct dw_ledger *ledger, uint64_t now_us)
{
	struct dw_ledger_batch *batch = calloc(1, sizeof(*batch));
	uint8_t *bytes = malloc(ledger->buffer.size + 1);

	if (!batch || !bytes) {
		free(batch);
		free(bytes);
		ledger->counters.dropped++;
		return;
	}
	memcpy(bytes, ledger->buffer.data, ledger->buffer.size);
	batch->seq = ledger->batch_seq;
	batch->until_us = now_us + ledger->options.keep_us;
	batch->due = ledger->write_void;
	batch->bytes = bytes;
	batch->len = ledger->buffer.size;
	HASH_ADD(hh, ledger->kept, seq, sizeof(batch->seq), batch);
	ledger->kept_bytes += batch->len;
	trim(ledger, now_us);
}

struct dw_ledger_batch *dw_ledger_next_again(struct dw_ledger *ledger, uint64_t now_us)
{
	struct dw_ledger_batch *batch;

	if (ledger->again_seq != 0 || now_us < ledger->again_at_us)
		return NULL;
	for (batch = ledger->kept; batch; batch = batch->hh.next) {
		if (batch->due)
			return batch;
	}
	return NULL;
}

void dw_ledger_again_done(struct dw_ledger *ledger, uint64_t seq, enum dw_status status,
			  uint64_t now_us)
{
	struct dw_ledger_batch *batch;

	if (ledger->again_seq != seq)
		return;
	ledger->again_seq = 0;
	if (status != DW_OK && status != DW_CONFLICT) {
		ledger->again_at_us = now_us + ledger->options.retry_interval_us;
		return;
	}
	HASH_FIND(hh, ledger->kept, &seq, sizeof(seq), batch);
	if (batch) {
		batch->due = ledger->again_void;
		batch->until_us = now_us + ledger->options.keep_us;
		ledger->counters.written_again++;
	}
	ledger->again_void = false;
	trim(ledger, now_us);
}

void dw_ledger_store_restored(struct dw_ledger *ledger, uint64_t now_us)
{
	struct dw_ledger_batch *batch;

	for (batch = ledger->kept; batch; batch = batch->hh.next)
		batch->due = true;
	ledger->write_void = ledger->write_in_progress;
	ledger->again_void = ledger->again_seq != 0;
	ledger->again_at_us = now_us;
}

size_t dw_ledger_due_again(const struct dw_ledger *ledger)
{
	const struct dw_ledger_batch *batch;
	size_t count = 0;

	for (batch = ledger->kept; batch; batch = batch->hh.next)
		count += batch->due;
	return count;
}

void dw_ledger_drop_kept(struct dw_ledger *ledger)
{
	struct dw_ledger_batch *batch = ledger->kept;
	struct dw_ledger_batch *next;

	HASH_CLEAR(hh, ledger->kept);
	for (; batch; batch = next) {
		next = batch->hh.next;
		free(batch->bytes);
		free(batch);
	}
}
