/**
 * @file ledger_fold.c
 * Deduplicates usage records and computes their totals.
 */
#include <dragonflywharf/ledger.h>

#include <stdlib.h>
#include <string.h>

#include <uthash.h>
#include <utlist.h>

struct fold_entry {
	struct dw_fingerprint key; /* hash of organisation and request id */
	struct dw_usage_record record;
	struct fold_entry *next;
	UT_hash_handle hh;
};

struct dw_ledger_fold {
	struct fold_entry *by_key;
	struct fold_entry *entries;
	size_t count;
};

struct dw_ledger_fold *dw_ledger_fold_new(void)
{
	return calloc(1, sizeof(struct dw_ledger_fold));
}

void dw_ledger_fold_free(struct dw_ledger_fold *fold)
{
	struct fold_entry *entry;
	struct fold_entry *next;

	if (!fold)
		return;
	HASH_CLEAR(hh, fold->by_key);
	LL_FOREACH_SAFE(fold->entries, entry, next)
		free(entry);
	free(fold);
}

static int compare_integers(uint64_t a, uint64_t b)
{
	return (a > b) - (a < b);
}

static int compare_names(const struct dw_usage_record *a, const struct dw_usage_record *b)
{
	int order = strcmp(a->organisation, b->organisation);

	if (order == 0)
		order = strcmp(a->model, b->model);
	if (order == 0)
		order = strcmp(a->version, b->version);
	return order;
}

/*
 * A total order over the records of one request, so that the result doesn't depend on the order in
 * which they are added.
 */
static int compare_records(const struct dw_usage_record *a, const struct dw_usage_record *b)
{
	int order = compare_integers(a->finished_at_us, b->finished_at_us);

	if (order == 0)
		order = compare_integers(a->cost_micros, b->cost_micros);
	if (order == 0)
		order = compare_integers(a->prompt_tokens, b->prompt_tokens);
	if (order == 0)
		order = compare_integers(a->completion_tokens, b->completion_tokens);
	if (order == 0)
		order = compare_names(a, b);
	return order;
}

static struct dw_fingerprint fold_key(const struct dw_usage_record *record)
{
	struct dw_fingerprint_part parts[] = {
		{ record->organisation, strlen(record->organisation) },
		{ &record->request_id, sizeof(record->request_id) },
	};

	return dw_fingerprint_of(parts, 2);
}

enum dw_status dw_ledger_fold_add(struct dw_ledger_fold *fold, const struct dw_usage_record *record)
{
	struct dw_fingerprint key = fold_key(record);
	struct fold_entry *entry;

	HASH_FIND(hh, fold->by_key, &key, sizeof(key), entry);
	if (entry) {
		if (compare_records(record, &entry->record) < 0)
			entry->record = *record;
		return DW_OK;
	}
	entry = calloc(1, sizeof(*entry));
	if (!entry)
		return dw_fail(DW_NO_MEMORY, "ledger fold: out of memory");
	entry->key = key;
	entry->record = *record;
	HASH_ADD(hh, fold->by_key, key, sizeof(entry->key), entry);
	LL_PREPEND(fold->entries, entry);
	fold->count++;
	return DW_OK;
}

static enum dw_status add_decoded(const struct dw_usage_record *record, void *data)
{
	return dw_ledger_fold_add(data, record);
}

enum dw_status dw_ledger_fold_batch(struct dw_ledger_fold *fold, const uint8_t *bytes, size_t len)
{
	return dw_usage_batch_decode(bytes, len, add_decoded, fold);
}

struct sorted_record {
	const struct dw_usage_record *record;
};

static int compare_sorted_records(const void *a, const void *b)
{
	const struct sorted_record *left = a;
	const struct sorted_record *right = b;

	return compare_names(left->record, right->record);
}

static void reset_total(struct dw_ledger_total *total, const struct dw_usage_record *record)
{
	*total = (struct dw_ledger_total){ 0 };
	memcpy(total->organisation, record->organisation, DW_USAGE_NAME_BYTES);
	memcpy(total->model, record->model, DW_USAGE_NAME_BYTES);
	memcpy(total->version, record->version, DW_USAGE_NAME_BYTES);
}

static void add_to_total(struct dw_ledger_total *total, const struct dw_usage_record *record)
{
	total->requests++;
	total->prompt_tokens += record->prompt_tokens;
	total->completion_tokens += record->completion_tokens;
	total->cost_micros += record->cost_micros;
}

enum dw_status dw_ledger_fold_totals(const struct dw_ledger_fold *fold,
				     void (*each)(const struct dw_ledger_total *total, void *data),
				     void *data)
{
	size_t count = fold->count;
	struct sorted_record *sorted;
	const struct fold_entry *entry;
	struct dw_ledger_total total;
	size_t i = 0;

	if (count == 0)
		return DW_OK;
	sorted = malloc(count * sizeof(*sorted));
	if (!sorted)
		return dw_fail(DW_NO_MEMORY, "ledger fold: out of memory");
	LL_FOREACH(fold->entries, entry)
		sorted[i++].record = &entry->record;
	qsort(sorted, count, sizeof(*sorted), compare_sorted_records);
	reset_total(&total, sorted[0].record);
	for (i = 0; i < count; i++) {
		if (i > 0 && compare_names(sorted[i - 1].record, sorted[i].record) != 0) {
			each(&total, data);
			reset_total(&total, sorted[i].record);
		}
		add_to_total(&total, sorted[i].record);
	}
	each(&total, data);
	free(sorted);
	return DW_OK;
}
