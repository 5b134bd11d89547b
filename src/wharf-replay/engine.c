#include "wharf-replay/engine.h"

#include <string.h>

#define PERMILLE 1000
#define BATCH_SLOPE_PERMILLE 40
#define COLD_SLOWNESS 2

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
	uint32_t bears = engine_is_cold(engine, now_us) ? 2 * engine->spec->cold_slots
							: engine->spec->fall_over;
	uint32_t last = (engine->queue_first + engine->queue_count++) % ENGINE_QUEUE_MAX;

	engine->queue[last] = *task;
	engine->queue[last].sent_us = now_us;
	return engine_in_flight(engine) <= bears && engine->queue_count < ENGINE_QUEUE_MAX;
}

/* Tokens of the prefix that are cached; the prompt is cached from now on in place of the oldest. */
static uint32_t look_up_prefix(struct engine *engine, uint64_t now_us,
			       const struct engine_task *task)
{
	size_t rows = engine->spec->cache_tokens / 2000;
	size_t oldest = 0;
	uint32_t cached;

	if (rows > ENGINE_CACHE_ROWS)
		rows = ENGINE_CACHE_ROWS;
	if (!task->prefix || !rows)
		return 0;
	for (size_t i = 0; i < rows; i++) {
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
		per_token *= COLD_SLOWNESS;
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

void engine_turn_cold(struct engine *engine, uint64_t now_us)
{
	engine->is_down = false;
	engine->cold_until_us = now_us + ENGINE_COLD_US;
	memset(engine->cache, 0, sizeof(engine->cache));
}

const struct engine_report *engine_report(struct engine *engine, uint64_t now_us)
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
