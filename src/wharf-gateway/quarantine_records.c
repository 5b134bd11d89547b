#include "wharf-gateway/quarantine_records.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <json-c/json.h>

#include "base/clock.h"
#include "base/random.h"

#define PREFIX "wharf/quarantine/"
#define KEY_BYTES (sizeof(PREFIX) + DW_FINGERPRINT_TEXT_BYTES)
#define CHECK_PERIOD_MS 200
#define CALL_TIMEOUT_US (900 * DW_US_PER_MS)
#define RETRY_US (1 * DW_US_PER_S)
/* An instance that was told of the crashes writes only if the one that saw them hasn't by then. */
#define BACKUP_DELAY_US (2 * DW_US_PER_S)
#define BACKUP_SPREAD_US (4 * DW_US_PER_S)

struct quarantine_record {
	struct quarantine_records *owner;
	struct dw_fingerprint fingerprint;
	uint64_t revision; /* of the key, as last seen */
	uint64_t write_due_us; /* 0: nothing to write */
	uint64_t lease_id;
	bool is_lifted; /* what has to be written */
	bool is_stored; /* the store has the crashes */
	bool is_lift_in_flight; /* what is being written */
	bool in_flight;
	struct quarantine_record *next;
};

void quarantine_records_init(struct quarantine_records *records,
			     const struct dw_quarantine *quarantine, struct dw_engine_set *engines)
{
	memset(records, 0, sizeof(*records));
	records->quarantine = quarantine;
	records->engines = engines;
}

static struct quarantine_record *find(struct quarantine_records *records,
				      struct dw_fingerprint fingerprint)
{
	struct quarantine_record *record = records->records;

	while (record && !dw_fingerprint_equal(record->fingerprint, fingerprint))
		record = record->next;
	return record;
}

static struct quarantine_record *find_or_add(struct quarantine_records *records,
					     struct dw_fingerprint fingerprint)
{
	struct quarantine_record *record = find(records, fingerprint);

	if (record)
		return record;
	record = calloc(1, sizeof(*record));
	if (!record)
		abort();
	record->owner = records;
	record->fingerprint = fingerprint;
	record->next = records->records;
	records->records = record;
	return record;
}

void quarantine_records_add(struct quarantine_records *records, struct dw_fingerprint fingerprint,
			    bool is_own)
{
	struct quarantine_record *record = find_or_add(records, fingerprint);
	uint64_t now_us = dw_clock_now_us();

	record->is_lifted = false;
	if (record->is_stored)
		return;
	record->write_due_us = now_us;
	if (!is_own)
		record->write_due_us +=
			BACKUP_DELAY_US + dw_random_next(&records->random) % BACKUP_SPREAD_US;
}

void quarantine_records_lift(struct quarantine_records *records, struct dw_fingerprint fingerprint)
{
	struct quarantine_record *record = find(records, fingerprint);

	if (!record)
		return;
	record->is_lifted = true;
	/* Nothing was written, nor is being written: nothing has to be lifted. */
	record->write_due_us = record->revision > 0 || record->in_flight ? dw_clock_now_us() : 0;
}

static struct json_object *crashes_json(const struct quarantine_record *record, uint64_t now_us)
{
	struct dw_quarantine_evidence pieces[DW_QUARANTINE_CRASHES];
	struct json_object *root = json_object_new_object();
	struct json_object *crashes = json_object_new_array();
	struct json_object *names = json_object_new_array();
	uint32_t count = dw_quarantine_pieces(record->owner->quarantine, record->fingerprint,
					      now_us, pieces);

	for (uint32_t i = 0; i < count; i++) {
		struct json_object *crash = json_object_new_array();
		const struct dw_engine *engine =
			dw_engine_set_find_run(record->owner->engines, pieces[i].upstream_id,
					       pieces[i].upstream_incarnation);

		json_object_array_add(crash, json_object_new_uint64(pieces[i].upstream_id));
		json_object_array_add(crash,
				      json_object_new_uint64(pieces[i].upstream_incarnation));
		json_object_array_add(crashes, crash);
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

static void on_written(const struct dw_store_put_result *result, void *data)
{
	struct quarantine_record *record = data;

	record->in_flight = false;
	switch (result->outcome) {
	case DW_STORE_DONE:
		record->revision = result->revision;
		record->is_stored = !record->is_lift_in_flight;
		/* It may have been lifted, or quarantined again, meanwhile. */
		if (record->is_lift_in_flight == record->is_lifted)
			record->write_due_us = 0;
		break;
	case DW_STORE_CONFLICT:
		/* Another instance was faster; only a lifting has to replace what it wrote. */
		record->revision = result->revision;
		if (!record->is_lifted)
			record->write_due_us = 0;
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
	char key[KEY_BYTES] = PREFIX;
	struct dw_store_put put = {
		.key = key,
		.value = (const uint8_t *)value,
		.value_len = strlen(value),
		.expected_revision = record->revision,
		.lease_id = record->lease_id,
		.deadline_us = now_us + CALL_TIMEOUT_US,
	};

	record->is_lift_in_flight = record->is_lifted;
	dw_fingerprint_text(record->fingerprint, key + strlen(PREFIX));
	dw_store_put(record->owner->store, &put, on_written, record);
	json_object_put(root);
}

static void on_granted(const struct dw_store_lease_result *result, void *data)
{
	struct quarantine_record *record = data;

	if (result->status != DW_OK) {
		record->in_flight = false;
		return;
	}
	record->lease_id = result->lease_id;
	write_record(record);
}

static bool is_quarantined(const struct quarantine_record *record, uint64_t now_us)
{
	return dw_quarantine_check(record->owner->quarantine, record->fingerprint, now_us) != DW_OK;
}

static void write_if_due(struct quarantine_record *record, uint64_t now_us)
{
	if (record->in_flight || record->write_due_us == 0 || now_us < record->write_due_us)
		return;
	if (!record->is_lifted && !is_quarantined(record, now_us)) {
		record->write_due_us = 0;
		return;
	}
	record->in_flight = true;
	record->write_due_us = now_us + RETRY_US;
	dw_store_lease_grant(record->owner->store, QUARANTINE_LIFETIME_S, now_us + CALL_TIMEOUT_US,
			     on_granted, record);
}

static void on_check_timer(uv_timer_t *timer)
{
	struct quarantine_records *records = timer->data;
	uint64_t now_us = dw_clock_now_us();
	struct quarantine_record **link = &records->records;

	while (*link) {
		struct quarantine_record *record = *link;

		write_if_due(record, now_us);
		if (record->in_flight || record->write_due_us > 0 || record->revision > 0) {
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

static uint64_t read_integer(struct json_object *array, size_t index)
{
	struct json_object *value = json_object_array_get_idx(array, index);

	return json_object_is_type(value, json_type_int) ? json_object_get_uint64(value) : 0;
}

static void read_crashes(struct json_object *crashes, struct quarantine_record_change *change)
{
	size_t count = json_object_is_type(crashes, json_type_array)
			       ? json_object_array_length(crashes)
			       : 0;

	for (size_t i = 0; i < count && i < DW_QUARANTINE_CRASHES; i++) {
		struct json_object *crash = json_object_array_get_idx(crashes, i);

		if (!json_object_is_type(crash, json_type_array) ||
		    json_object_array_length(crash) != 2)
			return;
		change->crashes[change->crash_count++] = (struct dw_quarantine_evidence){
			.fingerprint = change->fingerprint,
			.upstream_id = read_integer(crash, 0),
			.upstream_incarnation = read_integer(crash, 1),
			.remaining_us = QUARANTINE_LIFETIME_S * DW_US_PER_S,
		};
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

void quarantine_records_apply(struct quarantine_records *records,
			      const struct dw_store_event *event,
			      struct quarantine_record_change *change)
{
	const char *key = event->entry.key;
	struct quarantine_record *record;

	memset(change, 0, sizeof(*change));
	if (strncmp(key, PREFIX, strlen(PREFIX)) != 0 ||
	    !dw_fingerprint_parse(key + strlen(PREFIX), &change->fingerprint))
		return;
	record = find_or_add(records, change->fingerprint);
	record->revision = event->deleted ? 0 : event->entry.mod_revision;
	record->is_stored = false;
	/* A key may also be removed by an outage of the store: that lifts nothing. */
	if (event->deleted)
		return;
	read_value(&event->entry, change);
	record->is_stored = change->kind == QUARANTINE_CHANGE_CRASHES;
	/* A record of crashes that are withdrawn here still has to be marked as lifted. */
	if (!record->is_stored || !record->is_lifted)
		record->write_due_us = 0;
}
