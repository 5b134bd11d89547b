#include "wharf-gateway/era_guard.h"

#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#include <json-c/json.h>

#include <dragonflywharf/restore_writes.h>

#include "base/clock.h"
#include "base/random.h"

#define GUARD_KEY "wharf/era"
#define VALUE_BYTES 96
#define CHECK_PERIOD_MS 100
#define WRITE_TIMEOUT_US (900 * DW_US_PER_MS)
#define RETRY_US (500 * DW_US_PER_MS)
/* Instances that knew the store before the era have written by then, if there are any. */
#define NEWCOMER_DELAY_US (3 * DW_US_PER_S)
/* Records are written again within this time after the last of their delays. */
#define REWRITES_TAKE_US (4 * DW_US_PER_S)

void era_guard_init(struct era_guard *guard, struct dw_log *log)
{
	memset(guard, 0, sizeof(*guard));
	guard->log = log;
}

/* Whether this era gave the key's revision of the era before out to it again. */
static bool is_revision_used(const struct era_guard *guard)
{
	return guard->previous_revision > 0 &&
	       dw_revision_number(guard->revision) == dw_revision_number(guard->previous_revision);
}

static bool is_written(const struct era_guard *guard)
{
	return guard->revision > 0 && guard->record_era == guard->era && !is_revision_used(guard);
}

bool era_guard_allows_writes(const struct era_guard *guard)
{
	if (guard->store && guard->store->era.newest > guard->era)
		return false;
	return guard->era == 0 || is_written(guard);
}

bool era_guard_is_from_copy(const struct era_guard *guard, uint64_t revision)
{
	return dw_revision_era(guard->begin_revision) != guard->era ||
	       dw_revision_number(revision) < dw_revision_number(guard->begin_revision);
}

static uint64_t max_u64(uint64_t a, uint64_t b)
{
	return a > b ? a : b;
}

void era_guard_count_rewrite(struct era_guard *guard, enum era_rewrite kind)
{
	guard->rewritten[kind]++;
	/* Many records take longer. */
	if (guard->rewrites_logged_at_us > 0)
		guard->rewrites_logged_at_us = max_u64(guard->rewrites_logged_at_us,
						       dw_clock_now_us() + REWRITES_TAKE_US / 2);
}

static void log_rewrites(struct era_guard *guard)
{
	const uint32_t *count = guard->rewritten;
	uint64_t sum = 0;

	guard->rewrites_logged_at_us = 0;
	for (int i = 0; i < ERA_REWRITE_COUNT; i++)
		sum += count[i];
	if (sum == 0)
		return;
	dw_log_event(guard->log, DW_EVENT_STORE_REWRITTEN, DW_INT("era", dw_era_name(guard->era)),
		     DW_INT("quarantines", count[ERA_REWRITE_QUARANTINE]),
		     DW_INT("parts", count[ERA_REWRITE_PART]),
		     DW_INT("statuses", count[ERA_REWRITE_STATUS]),
		     DW_INT("progress", count[ERA_REWRITE_PROGRESS]),
		     DW_INT("evidence", count[ERA_REWRITE_EVIDENCE]),
		     DW_INT("reader_keys", count[ERA_REWRITE_READER_KEY]));
}

void era_guard_condition(const struct era_guard *guard, struct dw_store_put *put)
{
	if (guard->era == 0)
		return;
	put->era = guard->era;
	put->guard_key = GUARD_KEY;
	put->guard_revision = guard->revision;
}

bool era_guard_allows_config(const struct era_guard *guard, uint64_t config_version)
{
	/* A system that starts for the first time finds no key. */
	if (guard->era == 0 || guard->revision == 0)
		return true;
	return guard->record_era == guard->era && config_version >= guard->record_config;
}

/* The key has its era's value; it may be written again in the era if another writer spoils it. */
static void note_begin(struct era_guard *guard)
{
	if (guard->record_era == dw_revision_era(guard->revision) &&
	    dw_revision_era(guard->begin_revision) < guard->record_era)
		guard->begin_revision = guard->revision;
}

/* If nobody remembers what was in force, it is what the store shows. */
static uint64_t required_config(const struct era_guard *guard)
{
	return guard->has_memory ? max_u64(guard->record_config, guard->config_version)
				 : guard->config_version;
}

static void on_read(const struct dw_store_range_result *result, void *data)
{
	struct era_guard *guard = data;
	struct dw_store_event event = { 0 };

	guard->in_flight = false;
	if (result->status == DW_NOT_FOUND)
		guard->revision = 0;
	if (result->status != DW_OK || result->count != 1)
		return;
	event.entry = result->entries[0];
	/* The view may have brought a later state. */
	if (event.entry.mod_revision > guard->revision)
		era_guard_apply(guard, &event);
}

/* Another instance was faster. Its write comes with the view too, but where instances don't hear each other that takes
 * a while, in which nothing could be written. */
static void read_key(struct era_guard *guard)
{
	guard->in_flight = true;
	dw_store_get(guard->store, GUARD_KEY, dw_clock_now_us() + WRITE_TIMEOUT_US, on_read, guard);
}

static void on_written(const struct dw_store_put_result *result, void *data)
{
	struct era_guard *guard = data;

	guard->in_flight = false;
	if (result->outcome == DW_STORE_DONE && result->revision > guard->revision) {
		guard->revision = result->revision;
		guard->record_era = dw_revision_era(result->revision);
		guard->record_config = required_config(guard);
		note_begin(guard);
	}
	if (result->outcome == DW_STORE_CONFLICT)
		read_key(guard);
}

static void write_guard(struct era_guard *guard, uint64_t now_us)
{
	char value[VALUE_BYTES];
	struct dw_store_put put = {
		.key = GUARD_KEY,
		.value = (const uint8_t *)value,
		.expected_revision = guard->revision,
		.era = guard->era,
		.deadline_us = now_us + WRITE_TIMEOUT_US,
	};

	snprintf(value, sizeof(value), "{\"era\":%" PRIu64 ",\"config\":%" PRIu64 "}", guard->era,
		 required_config(guard));
	put.value_len = strlen(value);
	guard->in_flight = true;
	dw_store_put(guard->store, &put, on_written, guard);
}

static uint64_t write_delay_us(struct era_guard *guard)
{
	return dw_restore_write_delay_us(&guard->place, dw_random_next(&guard->random));
}

static void on_check_timer(uv_timer_t *timer)
{
	struct era_guard *guard = timer->data;
	uint64_t now_us = dw_clock_now_us();

	if (guard->rewrites_logged_at_us > 0 && now_us >= guard->rewrites_logged_at_us)
		log_rewrites(guard);
	if (guard->era == 0 || guard->in_flight)
		return;
	if (is_written(guard)) {
		guard->write_due_us = 0;
		return;
	}
	/* Another writer may have removed the key, or made it unreadable. */
	if (guard->write_due_us == 0)
		guard->write_due_us = now_us + 1 + write_delay_us(guard);
	if (now_us < guard->write_due_us)
		return;
	guard->write_due_us = now_us + RETRY_US + dw_random_next(&guard->random) % RETRY_US;
	write_guard(guard, now_us);
}

void era_guard_start(struct era_guard *guard, uv_loop_t *loop, struct dw_store *store,
		     uint64_t seed)
{
	guard->store = store;
	guard->random = seed;
	uv_timer_init(loop, &guard->timer);
	guard->timer.data = guard;
	uv_timer_start(&guard->timer, on_check_timer, CHECK_PERIOD_MS, CHECK_PERIOD_MS);
}

static uint64_t read_number(struct json_object *root, const char *name)
{
	struct json_object *value;

	return json_object_object_get_ex(root, name, &value) ? json_object_get_uint64(value) : 0;
}

void era_guard_apply(struct era_guard *guard, const struct dw_store_event *event)
{
	struct json_object *root;

	if (strcmp(event->entry.key, GUARD_KEY) != 0)
		return;
	if (dw_revision_era(event->entry.mod_revision) > guard->era &&
	    guard->record_era == guard->era)
		guard->previous_revision = guard->revision;
	guard->revision = event->deleted ? 0 : event->entry.mod_revision;
	guard->record_era = 0;
	guard->record_config = 0;
	if (event->deleted)
		return;
	root = json_tokener_parse((const char *)event->entry.value);
	guard->record_era = read_number(root, "era");
	guard->record_config = read_number(root, "config");
	note_begin(guard);
	json_object_put(root);
}

void era_guard_set_config(struct era_guard *guard, uint64_t version)
{
	guard->config_version = version;
}

void era_guard_entered(struct era_guard *guard, uint64_t era, bool has_memory,
		       const struct dw_view_place *place, uint64_t now_us)
{
	uint64_t delay_us;

	if (guard->rewrites_logged_at_us > 0)
		log_rewrites(guard);
	memset(guard->rewritten, 0, sizeof(guard->rewritten));
	guard->place = *place;
	delay_us = write_delay_us(guard);
	/* A first key is nobody's memory. */
	if (!has_memory && guard->revision > 0)
		delay_us += NEWCOMER_DELAY_US;
	guard->era = era;
	guard->has_memory = has_memory;
	guard->write_due_us = now_us + 1 + delay_us;
	if (has_memory)
		guard->rewrites_logged_at_us =
			now_us + dw_restore_write_delay_us(place, 0) + REWRITES_TAKE_US;
}
