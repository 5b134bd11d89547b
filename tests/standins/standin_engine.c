/**
 * @file standin_engine.c
 * Stand-in for a model engine with the OpenAI-compatible chat interface: batching slots, a prefix
 * cache, cold starts with a lower capacity, and delayed load reports.
 *
 * Each answer starts with "quality:N request:ID": the score that the rating stand-in reads, and the
 * id of the request that it belongs to. GET /load returns the load of --report-lag-ms ago.
 *
 * Faults:
 * - cut: closes the connection after n tokens
 * - stall: generates no more tokens after n
 * - error: responds with HTTP status n, 500 by default
 * - late: ignores x-request-timeout-ms and a client's disconnect; the first token comes n ms later
 * - crossed: responds with the ids of the previous request
 * - quality: n thousandths of the answers are good, for the version "word" or for all versions
 *
 * POST /admin/restart simulates a restart, which leaves the engine cold; /admin/cool makes it cold
 * without closing connections; /admin/crash simulates a crash.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/clock.h"
#include "standins/engine.h"
#include "standins/json.h"

#define MAX_VERSIONS 16
#define MAX_POISONS 8

static const char *const fault_kinds[] = { "cut",     "stall",	 "error", "late",
					   "crossed", "quality", NULL };

static void respond_error(struct standin_request *request, int status, const char *message)
{
	engine_add_incarnation(request);
	standin_answer_error(request, status, message);
}

static void handle_chat(struct standin_request *request)
{
	struct engine_job *job = engine_job_new(request);

	if (!job) {
		respond_error(request, 400, "not a chat completion");
	} else if (engine_accept_job(engine_from_request(request), job) != DW_OK) {
		engine_job_free(job);
		respond_error(request, 404, dw_last_message());
	}
}

static void send_load(struct standin_request *request)
{
	struct engine *engine = engine_from_request(request);
	struct json_object *body = json_object_new_object();
	struct json_object *versions = json_object_new_array();
	struct engine_load load = engine_load_now(engine);

	if (engine->report_lag_us)
		load = *engine_report_at(&engine->report, load.at_us - engine->report_lag_us);
	json_set_text(body, "name", engine->name);
	json_set_u64(body, "incarnation", load.incarnation);
	json_set_u64(body, "running", load.running);
	json_set_u64(body, "queued", load.queued);
	json_set_u64(body, "slots", engine->slots);
	json_set_u64(body, "tokens_per_s", load.tokens_per_s);
	for (size_t i = 0; i < engine->version_count; i++)
		json_object_array_add(versions, json_object_new_string(engine->versions[i]));
	json_object_object_add(body, "versions", versions);
	engine_add_incarnation(request);
	standin_answer(request, 200, body);
}

static void on_request(struct standin_request *request)
{
	const struct fault *error =
		fault_set_consume(&request->standin->faults, "error", request->path);

	if (error)
		respond_error(request, error->n ? (int)error->n : 500, "the engine failed");
	else if (strcmp(request->path, "/v1/chat/completions") == 0)
		handle_chat(request);
	else if (strcmp(request->path, "/load") == 0)
		send_load(request);
	else
		respond_error(request, 404, "unknown path");
}

static void on_admin(struct standin_request *request)
{
	struct engine *engine = engine_from_request(request);

	if (strcmp(request->path, "/admin/restart") == 0) {
		engine_restart(engine);
	} else if (strcmp(request->path, "/admin/cool") == 0) {
		engine->cold_until_us = dw_clock_now_us() + engine->cold_us;
		engine->cache.count = 0;
	} else if (strcmp(request->path, "/admin/crash") == 0) {
		engine_crash(engine, "admin");
	} else {
		standin_answer_error(request, 404, "unknown admin call");
		return;
	}
	standin_answer(request, 200, json_object_new_object());
}

static void on_stats(struct standin *standin, struct json_object *stats)
{
	struct engine *engine = standin->data;

	json_object_object_foreach(engine->counts, field, value)
	{
		json_object_object_add(stats, field, json_object_get(value));
	}
	json_set_u64(stats, "incarnation", engine->incarnation);
	json_set_u64(stats, "in_flight", engine->in_flight);
	json_set_u64(stats, "running", engine->running);
	json_set_u64(stats, "cold", engine_is_cold(engine));
	json_set_u64(stats, "cache_hits", engine->cache.hits);
	json_set_u64(stats, "cache_misses", engine->cache.misses);
}

static void on_report_timer(uv_timer_t *timer)
{
	struct engine *engine = timer->data;
	struct engine_load load = engine_load_now(engine);

	engine_report_add(&engine->report, &load);
}

static void on_start(struct standin *standin)
{
	struct engine *engine = standin->data;

	engine->server = standin->server;
	engine_restart(engine);
	if (engine->report_lag_us == 0)
		return;
	uv_timer_init(standin->loop, &engine->report_timer);
	engine->report_timer.data = engine;
	on_report_timer(&engine->report_timer);
	uv_timer_start(&engine->report_timer, on_report_timer, ENGINE_REPORT_PERIOD_MS,
		       ENGINE_REPORT_PERIOD_MS);
}

/** Integer options of the command line; indices into int_options. */
enum int_option {
	OPTION_SLOTS,
	OPTION_TOKEN_US,
	OPTION_FIRST_TOKEN_US,
	OPTION_PREFIX_CACHE,
	OPTION_COLD_MS,
	OPTION_COLD_SLOTS,
	OPTION_MAX_IN_FLIGHT,
	OPTION_QUALITY,
	OPTION_SEED,
	OPTION_REPORT_LAG_MS,
	OPTION_POISON_AFTER_MS,
	OPTION_COUNT
};

static const struct {
	const char *option;
	int default_value;
	const char *help;
} int_options[OPTION_COUNT] = {
	[OPTION_SLOTS] = { "slots", 8, "requests that run concurrently; others are queued (8)" },
	[OPTION_TOKEN_US] = { "token-us", 2000, "time per token (2000)" },
	[OPTION_FIRST_TOKEN_US] = { "first-token-us", 10000, "time to the first token (10000)" },
	[OPTION_PREFIX_CACHE] = { "prefix-cache", 0, "number of cached prompt prefixes (0)" },
	[OPTION_COLD_MS] = { "cold-ms", 0, "duration of a cold start (0)" },
	[OPTION_COLD_SLOTS] = { "cold-slots", 1,
				"while cold, restarts above N requests in flight (1)" },
	[OPTION_MAX_IN_FLIGHT] = { "max-in-flight", 0,
				   "restarts above N requests in flight (0: never)" },
	[OPTION_QUALITY] = { "quality-permille", 1000,
			     "thousandths of the answers that are good (1000)" },
	[OPTION_SEED] = { "seed", 1, "random seed that selects the good answers (1)" },
	[OPTION_REPORT_LAG_MS] = { "report-lag-ms", 0, "age of load reports, up to 10000 (0)" },
	[OPTION_POISON_AFTER_MS] = { "poison-after-ms", 0,
				     "time until a poison word crashes the engine (0)" },
};

static void configure(struct engine *engine, struct arg_int *const *values)
{
	size_t cache = (size_t)values[OPTION_PREFIX_CACHE]->ival[0];

	engine->slots = (size_t)values[OPTION_SLOTS]->ival[0];
	engine->token_us = (uint64_t)values[OPTION_TOKEN_US]->ival[0];
	engine->first_token_us = (uint64_t)values[OPTION_FIRST_TOKEN_US]->ival[0];
	engine->cache.capacity = cache < ENGINE_CACHE_MAX ? cache : ENGINE_CACHE_MAX;
	engine->cold_us = (uint64_t)values[OPTION_COLD_MS]->ival[0] * DW_US_PER_MS;
	engine->cold_slots = (size_t)values[OPTION_COLD_SLOTS]->ival[0];
	engine->max_in_flight = (size_t)values[OPTION_MAX_IN_FLIGHT]->ival[0];
	engine->quality_permille = (uint64_t)values[OPTION_QUALITY]->ival[0];
	engine->seed = (uint64_t)values[OPTION_SEED]->ival[0];
	engine->report_lag_us = (uint64_t)values[OPTION_REPORT_LAG_MS]->ival[0] * DW_US_PER_MS;
	engine->poison_after_us = (uint64_t)values[OPTION_POISON_AFTER_MS]->ival[0] * DW_US_PER_MS;
	engine->counts = json_object_new_object();
}

int main(int argc, char **argv)
{
	static struct engine engine;
	struct standin standin = {
		.name = "standin_engine",
		.purpose = "a model engine with the OpenAI-compatible chat interface",
		.fault_kinds = fault_kinds,
		.on_request = on_request,
		.on_admin = on_admin,
		.on_stats = on_stats,
		.on_start = on_start,
		.data = &engine,
	};
	struct standin_common common;
	struct arg_str *name = arg_str0(NULL, "name", "NAME", "name in load reports");
	struct arg_str *versions = arg_strn(NULL, "serves", "MODEL/VERSION", 1, MAX_VERSIONS,
					    "a version to serve; can be repeated");
	struct arg_str *poisons = arg_strn(NULL, "poison", "WORD", 0, MAX_POISONS,
					   "a prompt with WORD crashes the engine");
	struct arg_str *crash_mode =
		arg_str0(NULL, "crash", "exit|reset",
			 "on a crash, exit with code 70 or simulate a restart (exit)");
	struct arg_int *values[OPTION_COUNT];
	void *table[OPTION_COUNT + 9];
	size_t table_len = 0;
	int rc;

	standin_common_init(&common);
	name->sval[0] = "engine";
	crash_mode->sval[0] = "exit";
	void *fixed_options[] = { common.help, common.version, common.ip, common.port,
				  name,	       versions,       poisons,	  crash_mode };
	for (; table_len < sizeof(fixed_options) / sizeof(fixed_options[0]); table_len++)
		table[table_len] = fixed_options[table_len];
	for (size_t i = 0; i < OPTION_COUNT; i++) {
		values[i] = arg_int0(NULL, int_options[i].option, "N", int_options[i].help);
		values[i]->ival[0] = int_options[i].default_value;
		table[table_len++] = values[i];
	}
	table[table_len] = common.end;
	rc = standin_parse(&standin, &common, table, argc, argv);
	if (rc >= 0)
		return rc;
	for (size_t i = 0; i < OPTION_COUNT; i++) {
		if (values[i]->ival[0] < 0) {
			fprintf(stderr, "%s: --%s must not be negative\n", standin.name,
				int_options[i].option);
			return STANDIN_EXIT_USAGE;
		}
	}
	configure(&engine, values);
	engine.name = name->sval[0];
	engine.versions = versions->sval;
	engine.version_count = (size_t)versions->count;
	engine.poisons = poisons->sval;
	engine.poison_count = (size_t)poisons->count;
	engine.crash_exits = strcmp(crash_mode->sval[0], "reset") != 0;
	return standin_run(&standin, &common);
}
