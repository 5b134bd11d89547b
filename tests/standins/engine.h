/**
 * @file engine.h
 * The state and scheduling of the engine stand-in: batching slots, cold starts, overload and crash
 * behaviour, and its counters.
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
	const char **poisons; /* words in a prompt that crash the engine */
	size_t poison_count;
	uint64_t poison_after_us; /* until such a crash; the caller may have left by then */
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
	struct engine_job *jobs; /* in order of arrival */
	size_t running;
	size_t in_flight;
	struct engine_cache cache;
	/* ids of the previous request, for the fault "crossed" */
	struct engine_identity previous_identity;
	struct engine_report report;
	uv_timer_t report_timer;
	uint64_t second; /* the second that tokens_in_second counts */
	uint64_t tokens_in_second;
	uint64_t tokens_per_s; /* tokens of the last complete second */
	struct json_object *counts;
	struct dw_http_server *server;
};

struct engine *engine_from_request(const struct standin_request *request);

/** Increments a counter of GET /admin/stats. */
void engine_count(struct engine *engine, const char *field);

bool engine_is_cold(const struct engine *engine);

/** Adds the incarnation header to the response; call it before the response starts. */
void engine_add_incarnation(const struct standin_request *request);

/** Simulates a restart: closes all connections; new incarnation, cold, empty cache. */
void engine_restart(struct engine *engine);

/** Simulates a crash: exits or restarts, depending on the command line. */
void engine_crash(struct engine *engine, const char *cause);

/**
 * Accepts a job. This may crash or restart the engine, because of a poison word in the prompt or of
 * overload. DW_NOT_FOUND if the version isn't served; the caller still owns the job then.
 */
enum dw_status engine_accept_job(struct engine *engine, struct engine_job *job);

struct engine_load engine_load_now(const struct engine *engine);

#endif
