/**
 * @file standin_engine.c
 * A model engine with the OpenAI-compatible chat interface: batching slots, a prefix cache, cold
 * starts in which it bears little, and load reports that lag.
 *
 * Each answer begins with "quality:N request:ID": the score that the rating stand-in reads, and the
 * request that it belongs to. GET /load tells the load as it was --report-lag-ms ago.
 *
 * Faults: cut (the stream is cut after n tokens), stall (no more tokens after n), error (HTTP
 * status n, 500 by default), late (the work ignores x-request-timeout-ms and a caller that leaves,
 * and its first token comes n ms later), crossed (the answer of the request before), quality (n
 * thousandths of the answers are good, of the version "word" or of all). POST /admin/restart starts
 * it anew, cold; /admin/cool makes it cold without closing connections; /admin/crash crashes it.
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

static void answer_error(struct standin_request *request, int status, const char *message)
{
	engine_add_incarnation(request);
	standin_answer_error(request, status, message);
}

static void complete_chat(struct standin_request *request)
{
	struct engine_job *job = engine_job_new(request);

	if (!job) {
		answer_error(request, 400, "not a chat completion");
	} else if (engine_take(engine_of(request), job) != DW_OK) {
		engine_job_free(job);
		answer_error(request, 404, dw_last_message());
	}
}

static void tell_load(struct standin_request *request)
{
	struct engine *engine = engine_of(request);
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
		fault_set_take(&request->standin->faults, "error", request->path);

	if (error)
		answer_error(request, error->n ? (int)error->n : 500, "the engine failed");
	else if (strcmp(request->path, "/v1/chat/completions") == 0)
		complete_chat(request);
	else if (strcmp(request->path, "/load") == 0)
		tell_load(request);
	else
		answer_error(request, 404, "no such path");
}

static void on_admin(struct standin_request *request)
{
	struct engine *engine = engine_of(request);

	if (strcmp(request->path, "/admin/restart") == 0) {
		engine_restart(engine);
	} else if (strcmp(request->path, "/admin/cool") == 0) {
		engine->cold_until_us = dw_clock_now_us() + engine->cold_us;
		engine->cache.count = 0;
	} else if (strcmp(request->path, "/admin/crash") == 0) {
		engine_crash(engine, "admin");
	} else {
		standin_answer_error(request, 404, "no such admin call");
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

/** The numbers of the command line, in one table. */
enum number {
	NUMBER_SLOTS,
	NUMBER_TOKEN_US,
	NUMBER_FIRST_TOKEN_US,
	NUMBER_PREFIX_CACHE,
	NUMBER_COLD_MS,
	NUMBER_COLD_SLOTS,
	NUMBER_MAX_IN_FLIGHT,
	NUMBER_QUALITY,
	NUMBER_SEED,
	NUMBER_REPORT_LAG_MS,
	NUMBER_COUNT
};

static const struct {
	const char *option;
	int fallback;
	const char *help;
} numbers[NUMBER_COUNT] = {
	[NUMBER_SLOTS] = { "slots", 8, "requests that run at once; more are queued (8)" },
	[NUMBER_TOKEN_US] = { "token-us", 2000, "time of a token (2000)" },
	[NUMBER_FIRST_TOKEN_US] = { "first-token-us", 10000, "time to the first token (10000)" },
	[NUMBER_PREFIX_CACHE] = { "prefix-cache", 0, "prompt prefixes kept (0)" },
	[NUMBER_COLD_MS] = { "cold-ms", 0, "length of a cold start (0)" },
	[NUMBER_COLD_SLOTS] = { "cold-slots", 1,
				"while cold, falls over above so many in flight (1)" },
	[NUMBER_MAX_IN_FLIGHT] = { "max-in-flight", 0, "falls over above it (0: never)" },
	[NUMBER_QUALITY] = { "quality-permille", 1000, "share of answers that are good (1000)" },
	[NUMBER_SEED] = { "seed", 1, "decides which answers are good (1)" },
	[NUMBER_REPORT_LAG_MS] = { "report-lag-ms", 0, "age of load reports, up to 10000 (0)" },
};

static void configure(struct engine *engine, struct arg_int *const *values)
{
	size_t cache = (size_t)values[NUMBER_PREFIX_CACHE]->ival[0];

	engine->slots = (size_t)values[NUMBER_SLOTS]->ival[0];
	engine->token_us = (uint64_t)values[NUMBER_TOKEN_US]->ival[0];
	engine->first_token_us = (uint64_t)values[NUMBER_FIRST_TOKEN_US]->ival[0];
	engine->cache.capacity = cache < ENGINE_CACHE_MAX ? cache : ENGINE_CACHE_MAX;
	engine->cold_us = (uint64_t)values[NUMBER_COLD_MS]->ival[0] * DW_US_PER_MS;
	engine->cold_slots = (size_t)values[NUMBER_COLD_SLOTS]->ival[0];
	engine->max_in_flight = (size_t)values[NUMBER_MAX_IN_FLIGHT]->ival[0];
	engine->quality_permille = (uint64_t)values[NUMBER_QUALITY]->ival[0];
	engine->seed = (uint64_t)values[NUMBER_SEED]->ival[0];
	engine->report_lag_us = (uint64_t)values[NUMBER_REPORT_LAG_MS]->ival[0] * DW_US_PER_MS;
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
					    "a version that it serves");
	struct arg_str *poisons =
		arg_strn(NULL, "poison", "WORD", 0, MAX_POISONS, "a request with it crashes it");
	struct arg_str *crash_way =
		arg_str0(NULL, "crash", "exit|reset", "how it crashes (exit, code 70)");
	struct arg_int *values[NUMBER_COUNT];
	void *table[NUMBER_COUNT + 9];
	size_t used = 0;
	int rc;

	standin_common_init(&common);
	name->sval[0] = "engine";
	crash_way->sval[0] = "exit";
	void *head[] = { common.help, common.version, common.ip, common.port,
			 name,	      versions,	      poisons,	 crash_way };
	for (; used < sizeof(head) / sizeof(head[0]); used++)
		table[used] = head[used];
	for (size_t i = 0; i < NUMBER_COUNT; i++) {
		values[i] = arg_int0(NULL, numbers[i].option, "N", numbers[i].help);
		values[i]->ival[0] = numbers[i].fallback;
		table[used++] = values[i];
	}
	table[used] = common.end;
	rc = standin_parse(&standin, &common, table, argc, argv);
	if (rc >= 0)
		return rc;
	for (size_t i = 0; i < NUMBER_COUNT; i++) {
		if (values[i]->ival[0] < 0) {
			fprintf(stderr, "%s: --%s is negative\n", standin.name, numbers[i].option);
			return STANDIN_EXIT_USAGE;
		}
	}
	configure(&engine, values);
	engine.name = name->sval[0];
	engine.versions = versions->sval;
	engine.version_count = (size_t)versions->count;
	engine.poisons = poisons->sval;
	engine.poison_count = (size_t)poisons->count;
	engine.crash_exits = strcmp(crash_way->sval[0], "reset") != 0;
	return standin_run(&standin, &common);
}
