#include "wharf-replay/engine.h"

#include <string.h>

#define PERMILLE 1000
#define BATCH_SLOPE_PERMILLE 40 /* each other running request adds 4% to the time per token */
#define COLD_TOKEN_TIME_FACTOR 2

bool engine_is_cold(const struct engine *engine, uint64_t now_us)
{
	return now_us < engine->cold_until_us;
}

uint32_t engine_in_flight(const struct engine *engine)
{
	return engine->running_count + engine->queue_count;
}

uint32_t engine_slots(const struct engine *engine, uint64_t now_us)
{
	return engine_is_cold(engine, now_us) ? engine->spec->cold_slots : engine->spec->slots;
}

bool engine_submit(struct engine *engine, uint64_t now_us, const struct engine_task *task)
{
	uint32_t crash_threshold = engine_is_cold(engine, now_us) ? 2 * engine->spec->cold_slots
								  : engine->spec->fall_over;
	uint32_t last = (engine->queue_first + engine->queue_count++) % ENGINE_QUEUE_MAX;

	engine->queue[last] = *task;
	engine->queue[last].sent_us = now_us;
	return engine_in_flight(engine) <= crash_threshold &&
	       engine->queue_count < ENGINE_QUEUE_MAX;
}

/* Returns the number of prefix tokens found in the cache, and caches the whole conversation, in
 * place of the least recently used prefix if need be. An entry stands for 2000 tokens of the
 * cache. */
static uint32_t look_up_prefix(struct engine *engine, uint64_t now_us,
			       const struct engine_task *task)
{
	size_t entry_count = engine->spec->cache_tokens / 2000;
	size_t oldest = 0;
	uint32_t cached;

	if (entry_count > ENGINE_CACHE_ENTRIES)
		entry_count = ENGINE_CACHE_ENTRIES;
	if (!task->prefix || !entry_count)
		return 0;
	for (size_t i = 0; i < entry_count; i++) {
		if (engine->cache[i].prefix == task->prefix) {
			cached = engine->cache[i].tokens < task->prefix_tokens
					 ? engine->cache[i].tokens
					 : task->prefix_tokens;
			engine->cache[i].tokens = task->prompt_tokens + task->tokens;
			engine->cache[i].used_us = now_us;
			return cached;
		}
		if (engine->cache[i].used_us < engine->cache[oldest].used_us)
			oldest = i;
	}
	engine->cache[oldest].prefix = task->prefix;
	engine->cache[oldest].tokens = task->prompt_tokens + task->tokens;
	engine->cache[oldest].used_us = now_us;
	return 0;
}

static uint32_t free_slot(const struct engine *engine)
{
	uint32_t slot = 0;

	while (engine->is_busy[slot])
		slot++;
	return slot;
}

int engine_start_next(struct engine *engine, uint64_t now_us, uint64_t *done_us)
{
	struct engine_task *task;
	uint64_t per_token;
	uint32_t slot;

	if (engine->is_down || !engine->queue_count ||
	    engine->running_count >= engine_slots(engine, now_us))
		return -1;
	slot = free_slot(engine);
	task = &engine->running[slot];
	*task = engine->queue[engine->queue_first];
	engine->queue_first = (engine->queue_first + 1) % ENGINE_QUEUE_MAX;
	engine->queue_count--;
	engine->is_busy[slot] = true;
	per_token = (uint64_t)engine->model->us_per_token *
		    (PERMILLE + BATCH_SLOPE_PERMILLE * engine->running_count++) / PERMILLE;
	if (engine_is_cold(engine, now_us))
		per_token *= COLD_TOKEN_TIME_FACTOR;
	task->cached_tokens = look_up_prefix(engine, now_us, task);
	task->first_token_us = now_us - task->sent_us + per_token +
			       (uint64_t)(task->prompt_tokens - task->cached_tokens) *
				       engine->model->us_per_prompt_token;
	*done_us = task->sent_us + task->first_token_us + per_token * (task->tokens - 1);
	return (int)slot;
}

struct engine_task engine_finish(struct engine *engine, uint32_t slot)
{
	engine->is_busy[slot] = false;
	engine->running_count--;
	return engine->running[slot];
}

uint32_t engine_crash(struct engine *engine, struct engine_task *lost)
{
	uint32_t count = 0;

	for (uint32_t slot = 0; slot < ENGINE_SLOTS_MAX; slot++) {
		if (engine->is_busy[slot])
			lost[count++] = engine_finish(engine, slot);
	}
	for (; engine->queue_count; engine->queue_count--) {
		lost[count++] = engine->queue[engine->queue_first];
		engine->queue_first = (engine->queue_first + 1) % ENGINE_QUEUE_MAX;
	}
	engine->epoch++;
	engine->is_down = true;
	return count;
}

void engine_begin_cold_start(struct engine *engine, uint64_t now_us)
{
	engine->is_down = false;
	engine->cold_until_us = now_us + ENGINE_COLD_US;
	memset(engine->cache, 0, sizeof(engine->cache));
}

const struct engine_report *engine_record_report(struct engine *engine, uint64_t now_us)
{
	const uint32_t lag = ENGINE_REPORT_LAG_US / ENGINE_REPORT_EVERY_US;
	uint32_t number = engine->report_count++;

	engine->reports[number % ENGINE_REPORTS] = (struct engine_report){
		.taken_us = now_us,
		.running = engine->running_count,
		.queued = engine->queue_count,
	};
	return number < lag ? NULL : &engine->reports[(number - lag) % ENGINE_REPORTS];
}
