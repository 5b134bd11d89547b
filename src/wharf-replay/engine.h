/**
 * @file engine.h
 * Simulates a model engine or service: slots that share a batch, a queue, a prefix cache, cold
 * starts, and a crash when too many requests are in flight.
 */
#ifndef WHARF_REPLAY_ENGINE_H
#define WHARF_REPLAY_ENGINE_H

#include "wharf-replay/trace.h"

#define ENGINE_SLOTS_MAX TRACE_SLOTS_MAX
#define ENGINE_QUEUE_MAX 160
#define ENGINE_CACHE_ENTRIES 64
#define ENGINE_REPORTS 8 /* must exceed ENGINE_REPORT_LAG_US / ENGINE_REPORT_EVERY_US */
#define ENGINE_RESTART_US UINT64_C(3000000)
#define ENGINE_COLD_US UINT64_C(20000000)
#define ENGINE_REPORT_EVERY_US UINT64_C(500000)
#define ENGINE_REPORT_LAG_US UINT64_C(1000000)

struct engine_task {
	uint32_t job;
	uint32_t prompt_tokens;
	uint32_t prefix_tokens;
	uint32_t tokens; /* to generate */
	uint64_t prefix;
	uint64_t sent_us;
	uint64_t first_token_us; /* time from sent_us; set when the task starts */
	uint32_t cached_tokens; /* set when the task starts */
};

struct engine_report {
	uint64_t taken_us;
	uint32_t running;
	uint32_t queued;
};

struct engine {
	const struct trace_engine *spec;
	const struct trace_model *model;
	struct engine_task running[ENGINE_SLOTS_MAX];
	bool is_busy[ENGINE_SLOTS_MAX];
	uint32_t running_count;
	struct engine_task queue[ENGINE_QUEUE_MAX];
	uint32_t queue_first;
	uint32_t queue_count;
	uint32_t epoch; /* number of crashes; events of an earlier epoch are ignored */
	bool is_down;
	uint64_t cold_until_us;
	struct {
		uint64_t prefix;
		uint32_t tokens;
		uint64_t used_us;
	} cache[ENGINE_CACHE_ENTRIES]; /* prefix cache; the least recently used entry is replaced */
	struct engine_report reports[ENGINE_REPORTS];
	uint32_t report_count;
};

bool engine_is_cold(const struct engine *engine, uint64_t now_us);
uint32_t engine_in_flight(const struct engine *engine);
/* Requests that may run at once; fewer during a cold start. */
uint32_t engine_slots(const struct engine *engine, uint64_t now_us);

/* Queues the task. Returns false if that overloads the engine: the caller must then call
 * engine_crash(), which returns this task among the others. */
bool engine_submit(struct engine *engine, uint64_t now_us, const struct engine_task *task);

/* Starts the next queued task if a slot is free, and returns its slot; -1 if none starts. */
int engine_start_next(struct engine *engine, uint64_t now_us, uint64_t *done_us);

/* Frees the slot and returns its task. */
struct engine_task engine_finish(struct engine *engine, uint32_t slot);

/* Crashes the engine and moves its tasks to @p lost, which has room for ENGINE_SLOTS_MAX +
 * ENGINE_QUEUE_MAX; returns their number. */
uint32_t engine_crash(struct engine *engine, struct engine_task *lost);

/* Begins a cold start with an empty cache; running tasks continue. */
void engine_begin_cold_start(struct engine *engine, uint64_t now_us);

/* Records the present load. Returns the report that reaches the instances now, which is
 * ENGINE_REPORT_LAG_US old; NULL if there is none yet. */
const struct engine_report *engine_record_report(struct engine *engine, uint64_t now_us);

#endif
