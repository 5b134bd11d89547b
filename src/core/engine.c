#include <dragonflywharf/engine.h>
#include <dragonflywharf/spread.h>

#include <stdlib.h>
#include <string.h>

#include <dragonflywharf/prefix_cache.h>
#include <dragonflywharf/rendezvous.h>

#define US_PER_MS UINT64_C(1000)
#define US_PER_S UINT64_C(1000000)
#define SEND_RING_SIZE (sizeof(((struct dw_engine *)0)->recent_sends_us) / sizeof(uint64_t))

/* A GONE engine is kept this long, so that late updates about it don't count as a new engine. */
#define GONE_RETENTION_US (10 * US_PER_S)

/*
 * Ejected after this many consecutive failures; each further one doubles the time, up to a limit.
 */
#define EJECT_AFTER_FAILURES 2
#define EJECT_MIN_US (500 * US_PER_MS)
#define EJECT_MAX_US (4 * US_PER_S)

/* A limit that a pause has shown grows by a request each step, and is forgotten after a while. */
#define LIMIT_STEP_US (4 * US_PER_S)
#define LIMIT_KEPT_US (20 * US_PER_S)

/* Weight of one sample in the moving averages, in thousandths. */
#define AVERAGE_WEIGHT_PERMILLE 150
#define LATENCY_RATIO_MAX_PERMILLE 20000

struct dw_engine_set {
	struct dw_engine *engines;
};

static const char *const state_names[DW_ENGINE_STATE_COUNT] = {
	[DW_ENGINE_READY] = "ready",
	[DW_ENGINE_DRAINING] = "draining",
	[DW_ENGINE_MISSING] = "missing",
	[DW_ENGINE_GONE] = "gone",
};

const char *dw_engine_state_name(enum dw_engine_state state)
{
	return state < DW_ENGINE_STATE_COUNT ? state_names[state] : "unknown";
}

struct dw_engine_set *dw_engine_set_new(void)
{
	struct dw_engine_set *set = calloc(1, sizeof(*set));

	if (!set)
		abort();
	return set;
}

static void engine_free(struct dw_engine *engine)
{
	dw_prefix_cache_free(engine->cache);
	free(engine);
}

void dw_engine_set_free(struct dw_engine_set *set)
{
	for (struct dw_engine *next, *it = set->engines; it; it = next) {
		next = it->next;
		engine_free(it);
	}
	free(set);
}

struct dw_engine *dw_engine_set_first(struct dw_engine_set *set)
{
	return set->engines;
}

struct dw_engine *dw_engine_set_find(struct dw_engine_set *set, const char *id)
{
	struct dw_engine *engine = set->engines;

	while (engine && strcmp(engine->entry.id, id) != 0)
		engine = engine->next;
	return engine;
}

struct dw_engine *dw_engine_set_find_run(struct dw_engine_set *set, uint64_t id_hash,
					 uint64_t started_at_ms)
{
	struct dw_engine *engine = set->engines;

	while (engine &&
	       (engine->id_hash != id_hash || engine->entry.started_at_ms != started_at_ms))
		engine = engine->next;
	return engine;
}

/* Resets the measurements: those of the previous engine process don't apply to a new one. */
static void reset_measurements(struct dw_engine *engine)
{
	memset(&engine->load, 0, sizeof(engine->load));
	engine->consecutive_failures = 0;
	engine->ejected_until_us = 0;
	engine->failure_permille = 0;
	engine->latency_ratio_permille = 1000;
	engine->recent_send_count = 0;
	engine->says_it_leaves = false;
	engine->paused_until_us = 0;
	engine->limit = 0;
	engine->alive_at_us = 0;
	engine->accepted_at_us = 0;
	engine->replaced_at_us = 0;
	if (engine->cache)
		dw_prefix_cache_clear(engine->cache);
}

static struct dw_engine *add_engine(struct dw_engine_set *set)
{
	struct dw_engine *engine = calloc(1, sizeof(*engine));

	if (!engine)
		abort();
	reset_measurements(engine);
	engine->next = set->engines;
	set->engines = engine;
	return engine;
}

enum dw_engine_change dw_engine_set_put(struct dw_engine_set *set,
					const struct dw_engine_entry *entry, uint64_t now_us)
{
	enum dw_engine_state state = entry->is_draining ? DW_ENGINE_DRAINING : DW_ENGINE_READY;
	struct dw_engine *engine = dw_engine_set_find(set, entry->id);
	enum dw_engine_change change = DW_ENGINE_UNCHANGED;

	if (!engine) {
		engine = add_engine(set);
		engine->id_hash = dw_rendezvous_key(entry->id, strlen(entry->id));
		change = DW_ENGINE_ADDED;
	} else if (engine->entry.started_at_ms != entry->started_at_ms) {
		reset_measurements(engine);
		change = DW_ENGINE_RESTARTED;
	} else if (engine->state != state) {
		change = DW_ENGINE_STATE_CHANGED;
	}
	engine->entry = *entry;
	engine->state = state;
	engine->removed_at_us = 0;
	if (entry->cold_remaining_ms > 0)
		dw_engine_cold_start_reported(engine, entry->cold_remaining_ms, now_us);
	return change;
}

struct dw_engine *dw_engine_set_remove(struct dw_engine_set *set, const char *id,
				       uint64_t usable_until_us, uint64_t now_us)
{
	struct dw_engine *engine = dw_engine_set_find(set, id);

	if (!engine || engine->state == DW_ENGINE_GONE)
		return engine;
	engine->removed_at_us = now_us;
	if (engine->state == DW_ENGINE_READY && usable_until_us > now_us) {
		engine->state = DW_ENGINE_MISSING;
		engine->missing_until_us = usable_until_us;
		return engine;
	}
	engine->state = DW_ENGINE_GONE;
	engine->missing_until_us = now_us;
	return engine;
}

void dw_engine_set_sweep(struct dw_engine_set *set, uint64_t now_us)
{
	struct dw_engine **link = &set->engines;

	while (*link) {
		struct dw_engine *engine = *link;

		if (engine->state == DW_ENGINE_MISSING && now_us >= engine->missing_until_us)
			engine->state = DW_ENGINE_GONE;
		if (engine->state == DW_ENGINE_GONE && engine->in_flight == 0 &&
		    now_us > engine->missing_until_us + GONE_RETENTION_US) {
			*link = engine->next;
			engine_free(engine);
		} else {
			link = &engine->next;
		}
	}
}

bool dw_engine_is_usable(const struct dw_engine *engine, uint64_t now_us)
{
	if (engine->says_it_leaves)
		return false;
	return engine->state == DW_ENGINE_READY ||
	       (engine->state == DW_ENGINE_MISSING && now_us < engine->missing_until_us);
}

uint32_t dw_engine_set_count_usable(const struct dw_engine_set *set, const char *service,
				    uint64_t now_us)
{
	uint32_t count = 0;

	for (const struct dw_engine *it = set->engines; it; it = it->next)
		count += dw_engine_is_usable(it, now_us) &&
			 (!service || strcmp(it->entry.service, service) == 0);
	return count;
}

uint32_t dw_engine_set_count_version(const struct dw_engine_set *set, const char *service,
				     const char *version, uint64_t now_us)
{
	uint32_t count = 0;

	for (const struct dw_engine *it = set->engines; it; it = it->next)
		count += dw_engine_is_usable(it, now_us) &&
			 strcmp(it->entry.service, service) == 0 &&
			 strcmp(it->entry.version, version) == 0;
	return count;
}

bool dw_engine_is_cold(const struct dw_engine *engine, uint64_t now_us)
{
	return now_us < engine->cold_until_us;
}

uint64_t dw_model_hash(const char *model)
{
	return model ? dw_rendezvous_key(model, strlen(model)) : 0;
}

bool dw_engine_has_model(const struct dw_engine *engine, const char *model)
{
	uint64_t hash = dw_model_hash(model);

	for (uint32_t i = 0; i < engine->entry.model_count; i++) {
		if (engine->entry.models[i] == hash)
			return true;
	}
	return !engine->entry.lists_models;
}

uint32_t dw_engine_sends_last_second(const struct dw_engine *engine, uint64_t now_us)
{
	uint32_t known = engine->recent_send_count < SEND_RING_SIZE ? engine->recent_send_count
								    : (uint32_t)SEND_RING_SIZE;
	uint32_t count = 0;

	for (uint32_t i = 0; i < known; i++)
		count += engine->recent_sends_us[i] + US_PER_S > now_us;
	return count;
}

void dw_engine_sent(struct dw_engine *engine, uint64_t now_us)
{
	engine->in_flight++;
	engine->awaiting_response++;
	engine->sent_since_load++;
	engine->recent_sends_us[engine->recent_send_count++ % SEND_RING_SIZE] = now_us;
}

void dw_engine_work_added(struct dw_engine *engine, uint64_t work_us)
{
	engine->own_work_us += work_us;
}

void dw_engine_work_done(struct dw_engine *engine, uint64_t work_us)
{
	engine->own_work_us -= work_us < engine->own_work_us ? work_us : engine->own_work_us;
}

static uint32_t moving_average(uint32_t old, uint32_t sample)
{
	return (old * (1000 - AVERAGE_WEIGHT_PERMILLE) + sample * AVERAGE_WEIGHT_PERMILLE) / 1000;
}

static uint32_t latency_ratio(uint64_t sent_at_us, uint64_t expected_us, uint64_t now_us)
{
	uint64_t taken_us = now_us > sent_at_us ? now_us - sent_at_us : 0;
	uint64_t ratio = taken_us * 1000 / (expected_us > 0 ? expected_us : 1);

	return ratio > LATENCY_RATIO_MAX_PERMILLE ? LATENCY_RATIO_MAX_PERMILLE : (uint32_t)ratio;
}

void dw_engine_started(struct dw_engine *engine, uint64_t sent_at_us, uint64_t expected_us,
		       uint64_t now_us)
{
	if (engine->awaiting_response > 0)
		engine->awaiting_response--;
	engine->last_byte_at_us = now_us;
	engine->latency_ratio_permille = moving_average(
		engine->latency_ratio_permille, latency_ratio(sent_at_us, expected_us, now_us));
}

void dw_engine_waited(struct dw_engine *engine, uint64_t sent_at_us, uint64_t expected_us,
		      uint64_t now_us)
{
	uint32_t ratio = latency_ratio(sent_at_us, expected_us, now_us);

	if (ratio > engine->latency_ratio_permille)
		engine->latency_ratio_permille =
			moving_average(engine->latency_ratio_permille, ratio);
}

void dw_engine_load_received(struct dw_engine *engine, const struct dw_engine_load *load)
{
	engine->load = *load;
	engine->sent_since_load = 0;
}

void dw_engine_load_reported(struct dw_engine *engine, const struct dw_engine_load *load)
{
	dw_engine_load_received(engine, load);
	engine->load_scope = DW_SPREAD_EVERYWHERE;
}

void dw_engine_cold_start_reported(struct dw_engine *engine, uint32_t cold_ms, uint64_t now_us)
{
	uint64_t until_us = now_us + cold_ms * US_PER_MS;

	if (until_us > engine->cold_until_us)
		engine->cold_until_us = until_us;
}

void dw_engine_pause_requested(struct dw_engine *engine, uint64_t until_us, uint64_t now_us)
{
	if (!dw_engine_is_paused(engine, now_us)) {
		engine->limit = engine->in_flight > 2 ? engine->in_flight - 1 : 1;
		engine->limit_at_us = now_us;
	}
	if (until_us > now_us + DW_ENGINE_PAUSE_MAX_US)
		until_us = now_us + DW_ENGINE_PAUSE_MAX_US;
	if (until_us > engine->paused_until_us)
		engine->paused_until_us = until_us;
}

bool dw_engine_has_room(const struct dw_engine *engine, uint64_t now_us)
{
	uint64_t age_us = now_us - engine->limit_at_us;

	return engine->limit == 0 || age_us >= LIMIT_KEPT_US ||
	       engine->in_flight < engine->limit + age_us / LIMIT_STEP_US;
}

bool dw_engine_is_paused(const struct dw_engine *engine, uint64_t now_us)
{
	return now_us < engine->paused_until_us;
}

static void eject(struct dw_engine *engine, uint64_t now_us)
{
	uint32_t doublings = engine->consecutive_failures - EJECT_AFTER_FAILURES;
	uint64_t duration_us = EJECT_MIN_US << (doublings < 4 ? doublings : 4);
	uint64_t until_us = now_us + (duration_us < EJECT_MAX_US ? duration_us : EJECT_MAX_US);

	if (until_us > engine->ejected_until_us)
		engine->ejected_until_us = until_us;
}

void dw_engine_process_ended(struct dw_engine *engine, uint64_t now_us)
{
	if (engine->consecutive_failures < EJECT_AFTER_FAILURES)
		engine->consecutive_failures = EJECT_AFTER_FAILURES;
	engine->ejected_until_us = now_us + EJECT_MAX_US;
}

static void count_failure(struct dw_engine *engine, uint64_t now_us)
{
	engine->consecutive_failures++;
	engine->failure_permille = moving_average(engine->failure_permille, 1000);
	if (engine->consecutive_failures >= EJECT_AFTER_FAILURES)
		eject(engine, now_us);
}

void dw_engine_ended(struct dw_engine *engine, enum dw_engine_outcome outcome, bool started,
		     uint64_t now_us)
{
	if (engine->in_flight > 0)
		engine->in_flight--;
	if (!started && engine->awaiting_response > 0)
		engine->awaiting_response--;
	switch (outcome) {
	case DW_ENGINE_ANSWERED:
		engine->consecutive_failures = 0;
		engine->failure_permille = moving_average(engine->failure_permille, 0);
		break;
	case DW_ENGINE_WRONG_INSTANCE:
	case DW_ENGINE_UNREACHABLE:
		/* The engine isn't at its address: a single attempt suffices to eject it. */
		engine->consecutive_failures++;
		if (engine->consecutive_failures < EJECT_AFTER_FAILURES)
			engine->consecutive_failures = EJECT_AFTER_FAILURES;
		eject(engine, now_us);
		break;
	case DW_ENGINE_FAILED:
	case DW_ENGINE_NO_RESPONSE:
		count_failure(engine, now_us);
		break;
	case DW_ENGINE_REJECTED:
	case DW_ENGINE_CANCELLED:
	case DW_ENGINE_OUTCOME_COUNT:
		break;
	}
}
