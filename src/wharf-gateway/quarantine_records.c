#include "wharf-gateway/quarantine_records.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <json-c/json.h>

#include <dragonflywharf/restore_writes.h>

#include "base/clock.h"
#include "base/random.h"

#define KEY_BYTES 128
#define CHECK_PERIOD_MS 200
#define CALL_TIMEOUT_US (900 * DW_US_PER_MS)
#define RETRY_US (1 * DW_US_PER_S)
/* An instance that was told of the crashes writes only if the one that saw them hasn't by then. */
#define BACKUP_DELAY_US (2 * DW_US_PER_S)
#define BACKUP_SPREAD_US (4 * DW_US_PER_S)
/* A suspicion is written if few others are heard, or are found not to be within this time. */
#define SUSPICION_KEPT_US (10 * DW_US_PER_S)
/* Suspicions written in a period of the check. Many engines that end together make many, of which
 * most are innocent, and the store's rate is shared by all instances. */
#define SUSPICIONS_PER_PERIOD 4

/* Least time between two records that are written again, on average. */
#define REWRITE_PACE_US (50 * DW_US_PER_MS)
/* By then, all instances have learned of a restore and written what they hold. */
#define RESTORED_FOR_US (15 * DW_US_PER_S)

struct quarantine_record {
	struct quarantine_records *owner;
	struct dw_fingerprint key;
	uint64_t revision; /* of the key, as last seen */
	uint64_t read_revision; /* of the key, as the view brought it; 0: it doesn't exist */
	uint64_t write_due_us; /* 0: nothing to write */
	uint64_t lease_id;
	bool is_lifted; /* what has to be written, if the store says otherwise */
	bool is_stored_lifted; /* the store's record says so */
	bool was_stored; /* the store had a record, and hasn't removed it at the end of its lease */
	bool is_rewrite; /* what is due was lost in a restore */
	uint32_t stored; /* level of the store's record; 0: none, or lifted */
	uint64_t suspected_until_us; /* written by then if few others are heard; 0: no suspicion */
	uint32_t written; /* level in the last write, which may be in flight */
	bool in_flight;
	struct quarantine_record *next;
};

void quarantine_records_init(struct quarantine_records *records,
			     const struct quarantine_record_kind *kind, const void *evidence,
			     struct dw_engine_set *engines, struct era_guard *era_guard)
{
	memset(records, 0, sizeof(*records));
	records->kind = kind;
	records->evidence = evidence;
	records->engines = engines;
	records->era_guard = era_guard;
	records->suspicions_left = SUSPICIONS_PER_PERIOD;
}

static struct quarantine_record *find(struct quarantine_records *records, struct dw_fingerprint key)
{
	struct quarantine_record *record = records->records;

	while (record && !dw_fingerprint_equal(record->key, key))
		record = record->next;
	return record;
}

static struct quarantine_record *find_or_add(struct quarantine_records *records,
					     struct dw_fingerprint key)
{
	struct quarantine_record *record = find(records, key);

	if (record)
		return record;
	record = calloc(1, sizeof(*record));
	if (!record)
		abort();
	record->owner = records;
	record->key = key;
	record->next = records->records;
	records->records = record;
	return record;
}

static uint32_t level_here(const struct quarantine_record *record, uint64_t now_us)
{
	const struct quarantine_records *records = record->owner;

	return records->kind->level(records->evidence, record->key, now_us);
}

static void write_if_due(struct quarantine_record *record, uint64_t now_us);

void quarantine_records_add(struct quarantine_records *records, struct dw_fingerprint key,
			    bool is_own)
{
	struct quarantine_record *record = find_or_add(records, key);
	uint64_t now_us = dw_clock_now_us();

	record->is_lifted = false;
	record->suspected_until_us = 0;
	if (record->stored >= level_here(record, now_us))
		return;
	record->write_due_us = now_us;
	if (!is_own)
		record->write_due_us +=
			BACKUP_DELAY_US + dw_random_next(&records->random) % BACKUP_SPREAD_US;
	write_if_due(record, now_us);
}

/* Writes a suspicion if the others can't be told of it in another way. */
static void write_suspicion(struct quarantine_record *record, uint64_t now_us)
{
	struct quarantine_records *records = record->owner;

	if (record->suspected_until_us == 0 || record->stored >= level_here(record, now_us) ||
	    record->write_due_us > 0 || records->suspicions_left == 0 || !records->are_few_heard ||
	    !records->are_few_heard(records->are_few_heard_owner))
		return;
	records->suspicions_left--;
	record->write_due_us = now_us;
	write_if_due(record, now_us);
}

void quarantine_records_add_suspicion(struct quarantine_records *records, struct dw_fingerprint key)
{
	struct quarantine_record *record = find_or_add(records, key);
	uint64_t now_us = dw_clock_now_us();

	record->is_lifted = false;
	record->suspected_until_us = now_us + SUSPICION_KEPT_US;
	write_suspicion(record, now_us);
}

void quarantine_records_lift(struct quarantine_records *records, struct dw_fingerprint key)
{
	struct quarantine_record *record = find(records, key);

	if (!record)
		return;
	record->is_lifted = true;
	record->suspected_until_us = 0;
	/* Nothing was written, nor is being written: nothing has to be lifted. */
	record->write_due_us = record->revision > 0 || record->in_flight ? dw_clock_now_us() : 0;
}

/* Whether the store's record says less, or something else, than is known here. */
static bool is_write_needed(const struct quarantine_record *record, uint64_t now_us)
{
	if (record->is_lifted && record->is_rewrite && level_here(record, now_us) > 0)
		return false; /* there is evidence since it was lifted */
	if (record->is_lifted)
		return record->stored > 0 || record->written > 0 ||
		       (record->is_rewrite && !record->is_stored_lifted);
	return level_here(record, now_us) > record->stored;
}

static struct json_object *crash_json(const struct quarantine_record_crash *crash)
{
	struct json_object *values = json_object_new_array();

	for (uint32_t i = 0; i < crash->count; i++)
		json_object_array_add(values, json_object_new_uint64(crash->values[i]));
	return values;
}

static struct json_object *crashes_json(const struct quarantine_record *record, uint64_t now_us)
{
	const struct quarantine_records *records = record->owner;
	struct quarantine_record_crash found[QUARANTINE_RECORD_CRASHES_MAX];
	struct json_object *root = json_object_new_object();
	struct json_object *crashes = json_object_new_array();
	struct json_object *names = json_object_new_array();
	uint32_t count = records->kind->crashes(records->evidence, record->key, now_us, found);

	for (uint32_t i = 0; i < count; i++) {
		const struct dw_engine *engine = dw_engine_set_find_run(
			records->engines, found[i].values[0], found[i].values[1]);

		json_object_array_add(crashes, crash_json(&found[i]));
		if (engine)
			json_object_array_add(names, json_object_new_string(engine->entry.id));
	}
	json_object_object_add(root, "crashes", crashes);
	json_object_object_add(root, "engines", names);
	return root;
}

static struct json_object *lifted_json(void)
{
	struct json_object *root = json_object_new_object();

	json_object_object_add(root, "lifted", json_object_new_boolean(true));
	return root;
}

static void note_done(struct quarantine_record *record, uint64_t revision)
{
	struct quarantine_records *records = record->owner;

	if (record->is_rewrite)
		era_guard_count_rewrite(records->era_guard, records->kind->rewrite);
	record->is_rewrite = false;
	record->was_stored = true;
	/* The view may have brought a later state already. */
	if (revision <= record->revision)
		return;
	record->revision = revision;
	record->stored = record->written;
	record->is_stored_lifted = record->is_lifted && record->written == 0;
}

static void on_written(const struct dw_store_put_result *result, void *data)
{
	struct quarantine_record *record = data;

	record->in_flight = false;
	switch (result->outcome) {
	case DW_STORE_DONE:
		note_done(record, result->revision);
		/* It may have been lifted, or another crash be known, meanwhile. */
		if (!is_write_needed(record, dw_clock_now_us()))
			record->write_due_us = 0;
		break;
	case DW_STORE_CONFLICT:
		/* Another instance was faster: its record comes with the view, and may have less. */
		record->revision = result->revision;
		break;
	case DW_STORE_UNKNOWN:
	case DW_STORE_UNAVAILABLE:
	case DW_STORE_REFUSED:
	case DW_STORE_OUTCOME_COUNT:
		record->lease_id = 0;
		break;
	}
}

static void write_record(struct quarantine_record *record)
{
	uint64_t now_us = dw_clock_now_us();
	struct json_object *root = record->is_lifted ? lifted_json() : crashes_json(record, now_us);
	const char *value = json_object_to_json_string_ext(root, JSON_C_TO_STRING_PLAIN);
	char key[KEY_BYTES];
	char text[DW_FINGERPRINT_TEXT_BYTES];
	struct dw_store_put put = {
		.key = key,
		.value = (const uint8_t *)value,
		.value_len = strlen(value),
		.expected_revision = record->revision,
		.lease_id = record->lease_id,
		.deadline_us = now_us + CALL_TIMEOUT_US,
	};

	record->written = record->is_lifted ? 0 : level_here(record, now_us);
	dw_fingerprint_text(record->key, text);
	snprintf(key, sizeof(key), "%s%s", record->owner->kind->prefix, text);
	era_guard_condition(record->owner->era_guard, &put);
	dw_store_put(record->owner->store, &put, on_written, record);
	json_object_put(root);
}

static void on_granted(const struct dw_store_lease_result *result, void *data)
{
	struct quarantine_record *record = data;

	if (result->status != DW_OK || !era_guard_allows_writes(record->owner->era_guard)) {
		record->in_flight = false;
		return;
	}
	record->lease_id = result->lease_id;
	write_record(record);
}

static void write_if_due(struct quarantine_record *record, uint64_t now_us)
{
	if (!record->owner->store || record->in_flight || record->write_due_us == 0 ||
	    now_us < record->write_due_us || !era_guard_allows_writes(record->owner->era_guard))
		return;
	if (!is_write_needed(record, now_us)) {
		record->write_due_us = 0;
		record->is_rewrite = false;
		return;
	}
	record->in_flight = true;
	record->write_due_us = now_us + RETRY_US;
	dw_store_lease_grant(record->owner->store, QUARANTINE_LIFETIME_S, now_us + CALL_TIMEOUT_US,
			     on_granted, record);
}

/* Writes that wait for the era's key keep their distance. */
static void postpone(struct quarantine_record *record)
{
	if (record->write_due_us > 0 && !era_guard_allows_writes(record->owner->era_guard))
		record->write_due_us += CHECK_PERIOD_MS * DW_US_PER_MS;
}

static void on_check_timer(uv_timer_t *timer)
{
	struct quarantine_records *records = timer->data;
	uint64_t now_us = dw_clock_now_us();
	struct quarantine_record **link = &records->records;

	records->suspicions_left = SUSPICIONS_PER_PERIOD;
	while (*link) {
		struct quarantine_record *record = *link;

		postpone(record);
		write_suspicion(record, now_us);
		write_if_due(record, now_us);
		if (now_us >= record->suspected_until_us)
			record->suspected_until_us = 0;
		if (record->in_flight || record->write_due_us > 0 || record->revision > 0 ||
		    record->suspected_until_us > 0) {
			link = &record->next;
			continue;
		}
		*link = record->next;
		free(record);
	}
}

void quarantine_records_start(struct quarantine_records *records, uv_loop_t *loop,
			      struct dw_store *store, uint64_t seed)
{
	records->store = store;
	records->random = seed;
	uv_timer_init(loop, &records->timer);
	records->timer.data = records;
	uv_timer_start(&records->timer, on_check_timer, CHECK_PERIOD_MS, CHECK_PERIOD_MS);
}

static bool is_lost(const struct quarantine_record *record, uint64_t now_us)
{
	if (!record->was_stored)
		return false;
	if (record->is_lifted)
		return !record->is_stored_lifted && level_here(record, now_us) == 0;
	return level_here(record, now_us) > record->stored;
}

static void rewrite(struct quarantine_record *record, uint64_t pause_us, uint64_t now_us)
{
	struct quarantine_records *records = record->owner;
	uint64_t random = dw_random_next(&records->random);

	record->is_rewrite = true;
	record->write_due_us =
		now_us + 1 + pause_us + dw_restore_write_delay_us(&records->place, random);
}

/* This instance has written the record, and lost it before the view brought it. */
static void forget_unread(struct quarantine_record *record)
{
	if (record->revision <= record->read_revision ||
	    dw_revision_era(record->revision) >= record->owner->era_guard->era)
		return;
	record->revision = record->read_revision;
	record->stored = 0;
	record->is_stored_lifted = false;
}

void quarantine_records_store_restored(struct quarantine_records *records,
				       const struct dw_view_place *place, uint64_t now_us)
{
	struct quarantine_record *record;
	uint64_t lost = 0;

	records->place = *place;
	records->restored_until_us = now_us + RESTORED_FOR_US;
	for (record = records->records; record; record = record->next) {
		forget_unread(record);
		lost += is_lost(record, now_us);
	}
	/* The pause before a record is the same at all instances, so that the first of them is first for each. */
	for (record = records->records; record && lost > 0; record = record->next) {
		if (is_lost(record, now_us))
			rewrite(record, record->key.low % lost * REWRITE_PACE_US, now_us);
	}
}

/* Values that are missing or no integers are 0. */
static bool read_crash(struct json_object *values, struct quarantine_record_crash *crash)
{
	if (!json_object_is_type(values, json_type_array) || json_object_array_length(values) < 2)
		return false;
	for (size_t i = 0; i < json_object_array_length(values) && i < QUARANTINE_RECORD_VALUES_MAX;
	     i++) {
		struct json_object *value = json_object_array_get_idx(values, i);

		crash->values[i] = json_object_is_type(value, json_type_int)
					   ? json_object_get_uint64(value)
					   : 0;
		crash->count++;
	}
	return true;
}

static void read_crashes(struct json_object *crashes, struct quarantine_record_change *change)
{
	size_t count = json_object_is_type(crashes, json_type_array)
			       ? json_object_array_length(crashes)
			       : 0;

	for (size_t i = 0; i < count && i < QUARANTINE_RECORD_CRASHES_MAX; i++) {
		if (!read_crash(json_object_array_get_idx(crashes, i),
				&change->crashes[change->crash_count]))
			break;
		change->crash_count++;
	}
	if (change->crash_count > 0)
		change->kind = QUARANTINE_CHANGE_CRASHES;
}

static void read_value(const struct dw_store_entry *entry, struct quarantine_record_change *change)
{
	struct json_tokener *tokener = json_tokener_new();
	struct json_object *root =
		json_tokener_parse_ex(tokener, (const char *)entry->value, (int)entry->value_len);
	struct json_object *value;

	if (json_object_object_get_ex(root, "lifted", &value) && json_object_get_boolean(value))
		change->kind = QUARANTINE_CHANGE_LIFTED;
	else if (json_object_object_get_ex(root, "crashes", &value))
		read_crashes(value, change);
	json_object_put(root);
	json_tokener_free(tokener);
}

/* Whether the event belongs to the first state of an era that this instance takes in. */
static bool is_of_next_era(const struct quarantine_records *records,
			   const struct dw_store_event *event)
{
	return dw_revision_era(event->entry.mod_revision) > records->era_guard->era;
}

void quarantine_records_apply(struct quarantine_records *records,
			      const struct dw_store_event *event,
			      struct quarantine_record_change *change)
{
	const char *key = event->entry.key;
	const struct quarantine_record_kind *kind = records->kind;
	struct quarantine_record *record;

	memset(change, 0, sizeof(*change));
	if (strncmp(key, kind->prefix, strlen(kind->prefix)) != 0 ||
	    !dw_fingerprint_parse(key + strlen(kind->prefix), &change->key))
		return;
	record = find_or_add(records, change->key);
	record->revision = event->deleted ? 0 : event->entry.mod_revision;
	record->read_revision = record->revision;
	record->stored = 0;
	record->is_stored_lifted = false;
	record->was_stored =
		!event->deleted || (record->was_stored && is_of_next_era(records, event));
	/* A key may also be removed by an outage of the store: that lifts nothing. */
	if (event->deleted)
		return;
	read_value(&event->entry, change);
	record->stored = kind->stored_level(change->crashes, change->crash_count);
	/* A record of crashes that are withdrawn here still has to be marked as lifted, and one that says
	 * less than is known here to be replaced: what is due stays due. */
	if (change->kind == QUARANTINE_CHANGE_LIFTED) {
		record->write_due_us = 0;
		record->is_lifted = true;
		record->is_stored_lifted = true;
	} else if (record->is_lifted && dw_clock_now_us() < records->restored_until_us) {
		/* By an instance that hadn't read before the restore that it was lifted. */
		rewrite(record, 0, dw_clock_now_us());
	}
}
