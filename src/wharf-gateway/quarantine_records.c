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
/* A suspicion is written if few others are heard, or are found not to be within this time. */
#define SUSPICION_KEPT_US (10 * DW_US_PER_S)
/* Suspicions written in a period of the check. Many engines that end together make many, of which
 * most are innocent, and the store's rate is shared by all instances. */
#define SUSPICIONS_PER_PERIOD 4

/* What is known against a request, here or in the store. */
enum quarantine_level { LEVEL_NONE, LEVEL_SUSPICION, LEVEL_QUARANTINE };

struct quarantine_record {
	struct quarantine_records *owner;
	struct dw_fingerprint fingerprint;
	uint64_t revision; /* of the key, as last seen */
	uint64_t write_due_us; /* 0: nothing to write */
	uint64_t lease_id;
	bool is_lifted; /* what has to be written */
	enum quarantine_level stored;
	uint64_t suspected_until_us; /* written by then if few others are heard; 0: no suspicion */
	enum quarantine_level written; /* in the last write, which may be in flight */
	bool in_flight;
	struct quarantine_record *next;
};

void quarantine_records_init(struct quarantine_records *records,
			     const struct dw_quarantine *quarantine, struct dw_engine_set *engines)
{
	memset(records, 0, sizeof(*records));
	records->quarantine = quarantine;
	records->engines = engines;
	records->suspicions_left = SUSPICIONS_PER_PERIOD;
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

static void write_if_due(struct quarantine_record *record, uint64_t now_us);

void quarantine_records_add(struct quarantine_records *records, struct dw_fingerprint fingerprint,
			    bool is_own)
{
	struct quarantine_record *record = find_or_add(records, fingerprint);
	uint64_t now_us = dw_clock_now_us();

	record->is_lifted = false;
	record->suspected_until_us = 0;
	if (record->stored == LEVEL_QUARANTINE)
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

	if (record->suspected_until_us == 0 || record->stored != LEVEL_NONE ||
	    record->write_due_us > 0 || records->suspicions_left == 0 || !records->are_few_heard ||
	    !records->are_few_heard(records->are_few_heard_owner))
		return;
	records->suspicions_left--;
	record->write_due_us = now_us;
	write_if_due(record, now_us);
}

void quarantine_records_add_suspicion(struct quarantine_records *records,
				      struct dw_fingerprint fingerprint)
{
	struct quarantine_record *record = find_or_add(records, fingerprint);
	uint64_t now_us = dw_clock_now_us();

	record->is_lifted = false;
	record->suspected_until_us = now_us + SUSPICION_KEPT_US;
	write_suspicion(record, now_us);
}

void quarantine_records_lift(struct quarantine_records *records, struct dw_fingerprint fingerprint)
{
	struct quarantine_record *record = find(records, fingerprint);

	if (!record)
		return;
	record->is_lifted = true;
	record->suspected_until_us = 0;
	/* Nothing was written, nor is being written: nothing has to be lifted. */
	record->write_due_us = record->revision > 0 || record->in_flight ? dw_clock_now_us() : 0;
}

static enum quarantine_level level_here(const struct quarantine_record *record, uint64_t now_us)
{
	const struct dw_quarantine *quarantine = record->owner->quarantine;

	if (dw_quarantine_check(quarantine, record->fingerprint, now_us) != DW_OK)
		return LEVEL_QUARANTINE;
	return dw_quarantine_is_suspect(quarantine, record->fingerprint, now_us) ? LEVEL_SUSPICION
										 : LEVEL_NONE;
}

/* Whether the store's record says less, or something else, than is known here. */
static bool is_write_needed(const struct quarantine_record *record, uint64_t now_us)
{
	if (record->is_lifted)
		return record->stored != LEVEL_NONE || record->written != LEVEL_NONE;
	return level_here(record, now_us) > record->stored;
}

static struct json_object *crashes_json(const struct quarantine_record *record, uint64_t now_us)
{
	struct dw_quarantine_evidence pieces[DW_QUARANTINE_CRASHES];
	struct json_object *root = json_object_new_object();
	struct json_object *crashes = json_object_new_array();
	struct json_object *names = json_object_new_array();
	uint32_t count = dw_quarantine_pieces(record->owner->quarantine, record->fingerprint,
					      now_us, pieces);
	bool is_suspicion = level_here(record, now_us) == LEVEL_SUSPICION;

	for (uint32_t i = 0; i < count; i++) {
		struct json_object *crash = json_object_new_array();
		const struct dw_engine *engine =
			dw_engine_set_find_run(record->owner->engines, pieces[i].upstream_id,
					       pieces[i].upstream_incarnation);

		json_object_array_add(crash, json_object_new_uint64(pieces[i].upstream_id));
		json_object_array_add(crash,
				      json_object_new_uint64(pieces[i].upstream_incarnation));
		/* That the crashes of a quarantine count was decided with times that aren't stored. */
		if (pieces[i].is_abandoned && is_suspicion)
			json_object_array_add(crash, json_object_new_int(1));
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
		record->stored = record->written;
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
	char key[KEY_BYTES] = PREFIX;
	struct dw_store_put put = {
		.key = key,
		.value = (const uint8_t *)value,
		.value_len = strlen(value),
		.expected_revision = record->revision,
		.lease_id = record->lease_id,
		.deadline_us = now_us + CALL_TIMEOUT_US,
	};

	record->written = record->is_lifted ? LEVEL_NONE : level_here(record, now_us);
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

static void write_if_due(struct quarantine_record *record, uint64_t now_us)
{
	if (!record->owner->store || record->in_flight || record->write_due_us == 0 ||
	    now_us < record->write_due_us)
		return;
	if (!is_write_needed(record, now_us)) {
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

	records->suspicions_left = SUSPICIONS_PER_PERIOD;
	while (*link) {
		struct quarantine_record *record = *link;

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
		    json_object_array_length(crash) < 2)
			return;
		change->crashes[change->crash_count++] = (struct dw_quarantine_evidence){
			.fingerprint = change->fingerprint,
			.upstream_id = read_integer(crash, 0),
			.upstream_incarnation = read_integer(crash, 1),
			.remaining_us = QUARANTINE_LIFETIME_S * DW_US_PER_S,
			.is_abandoned = read_integer(crash, 2) != 0,
		};
	}
	if (change->crash_count > 0)
		change->kind = QUARANTINE_CHANGE_CRASHES;
}

static enum quarantine_level stored_level(const struct quarantine_record_change *change)
{
	if (change->kind != QUARANTINE_CHANGE_CRASHES)
		return LEVEL_NONE;
	for (uint32_t i = 0; i < change->crash_count; i++) {
		if (change->crashes[i].is_abandoned)
			return LEVEL_SUSPICION;
	}
	return change->crash_count < DW_QUARANTINE_CRASHES ? LEVEL_SUSPICION : LEVEL_QUARANTINE;
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
	record->stored = LEVEL_NONE;
	/* A key may also be removed by an outage of the store: that lifts nothing. */
	if (event->deleted)
		return;
	read_value(&event->entry, change);
	record->stored = stored_level(change);
	/* A record of crashes that are withdrawn here still has to be marked as lifted, and one that says
	 * less than is known here to be replaced: what is due stays due. */
	if (change->kind == QUARANTINE_CHANGE_LIFTED)
		record->write_due_us = 0;
}
