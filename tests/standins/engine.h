/**
 * @file engine.h
 * The engine stand-in's work: batching slots, cold starts, falling over, and its counts.
 */
#ifndef TESTS_STANDINS_ENGINE_H
#define TESTS_STANDINS_ENGINE_H

#include "standins/engine_cache.h"
#include "standins/engine_job.h"
#include "standins/engine_report.h"

struct engine {
	const char *name;
	const char **versions;
	size_t version_count;
	const char **poisons;
	size_t poison_count;
	size_t slots;
	size_t cold_slots;
	size_t max_in_flight; /* 0: no limit */
	uint64_t token_us;
	uint64_t first_token_us;
	uint64_t cold_us;
	uint64_t report_lag_us;
	uint64_t quality_permille;
	uint64_t seed;
	bool crash_exits;

	uint64_t incarnation;
	uint64_t cold_until_us;
	struct engine_job *jobs; /* in the order of arrival */
	size_t running;
	size_t in_flight;
	struct engine_cache cache;
	struct engine_identity previous;
	struct engine_report report;
	uv_timer_t report_timer;
	uint64_t second; /* of tokens_in_second */
	uint64_t tokens_in_second;
	uint64_t tokens_per_s;
	struct json_object *counts;
	struct dw_http_server *server;
};

struct engine *engine_of(const struct standin_request *request);

/** Adds one to a count of GET /admin/stats. */
void engine_count(struct engine *engine, const char *field);

bool engine_is_cold(const struct engine *engine);

/** Names the incarnation in the answer that is about to start. */
void engine_add_incarnation(const struct standin_request *request);

/** Cuts all work and starts anew: another incarnation, cold, with an empty cache. */
void engine_restart(struct engine *engine);

/** Exits or restarts, as the command line says. */
void engine_crash(struct engine *engine, const char *cause);

/** Takes a job, which may make the engine fall over; DW_NOT_FOUND leaves the job to the caller. */
enum dw_status engine_take(struct engine *engine, struct engine_job *job);

struct engine_load engine_load_now(const struct engine *engine);

#endif
