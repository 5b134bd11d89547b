#include <dragonflywharf/view_log.h>

#include <stdlib.h>
#include <string.h>

#include <uthash.h>

#include <dragonflywharf/store_revision.h>

/* Larger values of deleted keys aren't remembered. */
#define LAST_VALUE_MAX_BYTES 4096

/* Eight times as much takes 0.2 s on a link of 20 Mbit/s. */
#define PASSED_ON_MAX_BYTES (UINT64_C(64) << 10)

struct log_entry {
	struct dw_view_record record; /* first: a record's address is that of its entry */
	uint64_t snapshot; /* number of the last snapshot that listed the key */
	bool is_given_up; /* the record was kept, and the next one replaces it */
	struct log_entry *next_forgotten;
	UT_hash_handle hh;
};

struct dw_view_log {
	struct log_entry *entries; /* by key, in the order of their first appearance */
	uint64_t revision;
	uint64_t forgotten_revision; /* highest revision of a forgotten deletion */
	/* Not all changes between these two revisions are known. */
	uint64_t gap_begin;
	uint64_t gap_end;
	uint64_t snapshot;
	struct log_entry *next_checked; /* by dw_view_log_next_missing() */
};

static void *alloc_or_abort(size_t size)
{
	void *memory = calloc(1, size);

	if (!memory)
		abort();
	return memory;
}

struct dw_view_log *dw_view_log_new(void)
{
	return alloc_or_abort(sizeof(struct dw_view_log));
}

static void free_entry(struct log_entry *entry)
{
	free((char *)entry->record.key);
	free((uint8_t *)entry->record.value);
	free((uint8_t *)entry->record.packed);
	free((uint8_t *)entry->record.last_value);
	free(entry);
}

void dw_view_log_free(struct dw_view_log *log)
{
	struct log_entry *entry;
	struct log_entry *next;

	if (!log)
		return;
	entry = log->entries;
	HASH_CLEAR(hh, log->entries);
	for (; entry; entry = next) {
		next = entry->hh.next;
		free_entry(entry);
	}
	free(log);
}

static struct log_entry *find_entry(const struct dw_view_log *log, const char *key)
{
	struct log_entry *entry;

	HASH_FIND_STR(log->entries, key, entry);
	return entry;
}

static struct log_entry *add_entry(struct dw_view_log *log, const char *key)
{
	struct log_entry *entry = alloc_or_abort(sizeof(*entry));
	size_t len = strlen(key);
	char *copy = alloc_or_abort(len + 1);

	memcpy(copy, key, len + 1);
	entry->record.key = copy;
	entry->record.deleted = true;
	HASH_ADD_KEYPTR(hh, log->entries, entry->record.key, len, entry);
	return entry;
}

static uint8_t *copy_bytes(const uint8_t *bytes, size_t len)
{
	uint8_t *copy;

	if (!bytes)
		return NULL;
	copy = alloc_or_abort(len + 1);
	memcpy(copy, bytes, len);
	return copy;
}

static void set_value(struct dw_view_record *record, const struct dw_view_record *from)
{
	uint8_t *value = from ? copy_bytes(from->value, from->value_len) : NULL;
	uint8_t *packed = value ? copy_bytes(from->packed, from->packed_len) : NULL;

	free((uint8_t *)record->value);
	free((uint8_t *)record->packed);
	record->value = value;
	record->value_len = value ? from->value_len : 0;
	record->packed = packed;
	record->packed_len = packed ? from->packed_len : 0;
	record->base_revision = packed ? from->base_revision : 0;
}

/* A restore leaves the records as they are that the copy has; they keep their revisions in the log. */
static bool is_unchanged(const struct dw_view_record *known, const struct dw_view_record *record)
{
	if (dw_revision_number(known->revision) != dw_revision_number(record->revision) ||
	    known->deleted != record->deleted)
		return false;
	return record->deleted ||
	       (known->value && record->value && known->value_len == record->value_len &&
		memcmp(known->value, record->value, known->value_len) == 0);
}

static bool replaces(const struct dw_view_log *log, const struct dw_view_record *record,
		     const struct dw_view_record *known)
{
	if (known->revision == 0)
		return true;
	/* Also if it is written again as it was: others may not have it. */
	if (known->kept_over > 0 && record->kept_over == 0)
		return record->revision > known->kept_over;
	/* What was written after the log's first revision of the era may repeat a number and value. */
	if (record->revision <= log->gap_end && is_unchanged(known, record))
		return false;
	if (record->kept_over > 0 && known->kept_over == 0 &&
	    dw_revision_era(record->revision) != dw_revision_era(known->revision))
		return known->revision <= record->kept_over;
	return record->revision > known->revision;
}

/* Another instance says that the store has lost this record, or an earlier one of its era. It may have been the same
 * over restores before, and have the revision of another era there. */
static void note_kept(struct dw_view_record *known, const struct dw_view_record *record)
{
	uint64_t era = dw_revision_era(record->revision);
	uint64_t known_era = dw_revision_era(known->revision);

	if ((known_era == era ||
	     (known->revision <= record->kept_over && is_unchanged(known, record))) &&
	    record->kept_over > known->kept_over)
		known->kept_over = record->kept_over;
}

static void forget_last_value(struct log_entry *entry)
{
	free((uint8_t *)entry->record.last_value);
	entry->record.last_value = NULL;
	entry->record.last_len = 0;
	entry->record.last_revision = 0;
}

static void set_last_value(struct log_entry *entry, const uint8_t *value, size_t len,
			   uint64_t revision)
{
	if (!value || len > LAST_VALUE_MAX_BYTES)
		return;
	forget_last_value(entry);
	entry->record.last_value = copy_bytes(value, len);
	entry->record.last_len = len;
	entry->record.last_revision = revision;
}

static void set_deleted(struct log_entry *entry, uint64_t revision, uint64_t now_us)
{
	if (!entry->record.deleted)
		set_last_value(entry, entry->record.value, entry->record.value_len,
			       entry->record.revision);
	set_value(&entry->record, NULL);
	entry->record.revision = revision;
	entry->record.deleted = true;
	entry->record.updated_at_us = now_us;
}

static void set_kept_over(struct log_entry *entry, uint64_t over)
{
	entry->record.was_kept = entry->record.kept_over > 0 || entry->is_given_up;
	entry->is_given_up = false;
	entry->record.kept_over = over;
}

bool dw_view_log_put(struct dw_view_log *log, const struct dw_view_record *record, uint64_t now_us)
{
	struct log_entry *entry = find_entry(log, record->key);

	if (!entry)
		entry = add_entry(log, record->key);
	entry->snapshot = log->snapshot;
	if (!replaces(log, record, &entry->record)) {
		note_kept(&entry->record, record);
		return false;
	}
	if (record->deleted) {
		set_deleted(entry, record->revision, now_us);
		set_last_value(entry, record->last_value, record->last_len, record->revision);
	} else {
		forget_last_value(entry);
		set_value(&entry->record, record);
		entry->record.revision = record->revision;
		entry->record.deleted = false;
		entry->record.updated_at_us = now_us;
	}
	set_kept_over(entry, record->kept_over);
	return true;
}

void dw_view_log_keep(struct dw_view_log *log, const struct dw_view_record *record, uint64_t over)
{
	struct log_entry *entry = (struct log_entry *)record;

	entry->record.kept_over = over;
	entry->snapshot = log->snapshot;
}

void dw_view_log_give_up(struct dw_view_log *log, const struct dw_view_record *record)
{
	struct log_entry *entry = (struct log_entry *)record;

	entry->record.kept_over = 0;
	entry->is_given_up = true;
}

bool dw_view_log_is_listed(const struct dw_view_log *log, const struct dw_view_record *record)
{
	return ((const struct log_entry *)record)->snapshot == log->snapshot;
}

size_t dw_view_log_kept_count(const struct dw_view_log *log)
{
	size_t count = 0;

	for (const struct log_entry *entry = log->entries; entry; entry = entry->hh.next)
		count += entry->record.kept_over > 0;
	return count;
}

void dw_view_log_tell_deleted(struct dw_view_log *log, const struct dw_view_record *record,
			      uint64_t deleted_at_us)
{
	if (!find_entry(log, record->key))
		dw_view_log_put(log, record, deleted_at_us);
}

const struct dw_view_record *dw_view_log_find(const struct dw_view_log *log, const char *key)
{
	const struct log_entry *entry = find_entry(log, key);

	return entry ? &entry->record : NULL;
}

const struct dw_view_record *dw_view_log_next(const struct dw_view_log *log,
					      const struct dw_view_record *previous)
{
	const struct log_entry *entry = (const struct log_entry *)previous;

	entry = entry ? entry->hh.next : log->entries;
	return entry ? &entry->record : NULL;
}

uint64_t dw_view_log_revision(const struct dw_view_log *log)
{
	return log->revision;
}

void dw_view_log_note_gap(struct dw_view_log *log, uint64_t revision)
{
	if (log->revision == 0 || revision <= log->revision)
		return;
	if (log->gap_end > 0 && log->gap_begin == log->revision) {
		if (revision > log->gap_end)
			log->gap_end = revision;
		return;
	}
	/* One gap is remembered: what lies before an earlier one is forgotten. */
	if (log->gap_end > log->forgotten_revision)
		log->forgotten_revision = log->gap_end;
	log->gap_begin = log->revision;
	log->gap_end = revision;
}

void dw_view_log_complete(struct dw_view_log *log, uint64_t revision)
{
	if (revision <= log->revision)
		return;
	if (dw_revision_era(revision) > dw_revision_era(log->revision))
		dw_view_log_note_gap(log, revision);
	log->revision = revision;
}

void dw_view_log_restart(struct dw_view_log *log)
{
	log->revision = 0;
	log->forgotten_revision = 0;
	log->gap_begin = 0;
	log->gap_end = 0;
	for (struct log_entry *entry = log->entries; entry; entry = entry->hh.next) {
		entry->record.revision = 0;
		entry->record.kept_over = 0;
	}
}

bool dw_view_log_has_gap_after(const struct dw_view_log *log, uint64_t after)
{
	return after < log->gap_end;
}

bool dw_view_log_is_ahead(const struct dw_view_log *log)
{
	for (const struct log_entry *entry = log->entries; entry; entry = entry->hh.next) {
		if (entry->record.revision > log->revision)
			return true;
	}
	return false;
}

bool dw_view_log_covers(const struct dw_view_log *log, uint64_t after)
{
	return after > 0 && after >= log->forgotten_revision &&
	       (after <= log->gap_begin || after >= log->gap_end);
}

bool dw_view_record_is_packed_for(const struct dw_view_record *record, uint64_t after)
{
	return record->packed && after >= record->base_revision;
}

static size_t passed_on_len(const struct dw_view_record *record, uint64_t after)
{
	return strlen(record->key) + (dw_view_record_is_packed_for(record, after)
					      ? record->packed_len
					      : record->value_len);
}

bool dw_view_log_is_small(const struct dw_view_log *log, uint64_t after)
{
	size_t bytes = 0;

	for (const struct log_entry *entry = log->entries; entry; entry = entry->hh.next) {
		if (entry->record.revision > after)
			bytes += passed_on_len(&entry->record, after);
	}
	return bytes <= PASSED_ON_MAX_BYTES;
}

void dw_view_log_begin_snapshot(struct dw_view_log *log, uint64_t revision)
{
	if (log->revision == 0 && revision > log->forgotten_revision)
		log->forgotten_revision = revision;
	dw_view_log_note_gap(log, revision);
	log->snapshot++;
	log->next_checked = log->entries;
}

/* A kept deletion that the store shows too is one of this revision, and passed on to those that had given it up. */
static void confirm_deletion(struct log_entry *entry, uint64_t revision, uint64_t now_us)
{
	if (entry->record.kept_over == 0)
		return;
	set_deleted(entry, revision, now_us);
	set_kept_over(entry, 0);
}

const struct dw_view_record *dw_view_log_next_missing(struct dw_view_log *log, uint64_t revision,
						      uint64_t now_us)
{
	while (log->next_checked) {
		struct log_entry *entry = log->next_checked;

		log->next_checked = entry->hh.next;
		if (entry->snapshot == log->snapshot || entry->record.revision > revision)
			continue;
		if (entry->record.deleted) {
			confirm_deletion(entry, revision, now_us);
			continue;
		}
		set_deleted(entry, revision, now_us);
		set_kept_over(entry, 0);
		return &entry->record;
	}
	return NULL;
}

void dw_view_log_forget(struct dw_view_log *log, uint64_t before_us)
{
	struct log_entry *forgotten = NULL;
	struct log_entry *entry;
	struct log_entry *next;

	log->next_checked = NULL;
	HASH_ITER(hh, log->entries, entry, next) {
		if (!entry->record.deleted || entry->record.kept_over > 0 ||
		    entry->record.updated_at_us >= before_us)
			continue;
		if (entry->record.revision > log->forgotten_revision)
			log->forgotten_revision = entry->record.revision;
		HASH_DEL(log->entries, entry);
		entry->next_forgotten = forgotten;
		forgotten = entry;
	}
	for (; forgotten; forgotten = next) {
		next = forgotten->next_forgotten;
		free_entry(forgotten);
	}
}

size_t dw_view_log_count(const struct dw_view_log *log)
{
	return HASH_COUNT(log->entries);
}
