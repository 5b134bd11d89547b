#include "standins/engine.h"

#include <stdio.h>
#include <string.h>
#include <unistd.h>

#include <xxhash.h>

#include "base/clock.h"
#include "standins/json.h"

#define GOOD_SCORE_PERMILLE 950
#define BAD_SCORE_PERMILLE 150
#define PERMILLE 1000
#define MAX_COUNTED_IDS 100000
#define PAIR_BYTES 256
/** A cached prefix divides the time to the first token by this. */
#define PREFIX_HIT_DIVISOR 4

struct engine *engine_from_request(const struct standin_request *request)
{
	return request->standin->data;
}

void engine_count(struct engine *engine, const char *field)
{
	json_increment(engine->counts, field, 1);
}

static void count_peak(struct engine *engine, const char *field, uint64_t value)
{
	if (value > json_u64(engine->counts, field, 0))
		json_set_u64(engine->counts, field, value);
}

bool engine_is_cold(const struct engine *engine)
{
	return dw_clock_now_us() < engine->cold_until_us;
}

void engine_add_incarnation(const struct standin_request *request)
{
	char text[24];

	if (!request->exchange)
		return;
	snprintf(text, sizeof(text), "%llu",
		 (unsigned long long)engine_from_request(request)->incarnation);
	dw_http_add_header(request->exchange, "x-upstream-incarnation", text);
}

static void add_job_headers(const struct engine_job *job)
{
	engine_add_incarnation(job->request);
	if (job->request->exchange)
		dw_http_add_header(job->request->exchange, "x-attempt-id",
				   job->identity.attempt_id);
}

static void unlink_job(struct engine *engine, const struct engine_job *job)
{
	struct engine_job **at = &engine->jobs;

	while (*at != job)
		at = &(*at)->next;
	*at = job->next;
	engine->in_flight--;
	engine->running -= job->running;
}

/* Closes the client's connection, whether or not a streamed response has started. */
static void abort_job(struct engine *engine, struct engine_job *job)
{
	struct standin_request *request = job->request;
	struct dw_http_exchange *exchange = request->exchange;
	bool stream_started = job->stream && job->generated_tokens > 0;

	unlink_job(engine, job);
	engine_job_free(job);
	if (!stream_started || !exchange) {
		standin_close_connection(request);
		return;
	}
	standin_request_free(request);
	dw_http_stream_end(exchange, false);
}

void engine_restart(struct engine *engine)
{
	uint64_t now_us = dw_clock_wall_us();

	/* All, also idle ones, as the end of a process would; first, as callers whose jobs end open new ones. */
	dw_http_server_abort_connections(engine->server);
	while (engine->jobs) {
		engine_count(engine, "cut_by_restart");
		abort_job(engine, engine->jobs);
	}
	engine->incarnation = now_us > engine->incarnation ? now_us : engine->incarnation + 1;
	engine->cold_until_us = dw_clock_now_us() + engine->cold_us;
	engine->cache.count = 0;
}

void engine_crash(struct engine *engine, const char *cause)
{
	engine_count(engine, "crashes");
	printf("crashed %s\n", cause);
	fflush(stdout);
	if (engine->crash_exits)
		_exit(STANDIN_EXIT_CRASH);
	engine_restart(engine);
}

static void start_jobs(struct engine *engine);

static void count_completed(struct engine *engine, const struct engine_job *job)
{
	struct json_object *by_organisation = json_ensure_object(engine->counts, "by_organisation");
	struct json_object *by_version = json_ensure_object(engine->counts, "by_version");
	struct json_object *rows[] = {
		json_ensure_object(by_organisation, job->organisation),
		json_ensure_object(by_version, job->version),
	};

	engine_count(engine, "completed");
	json_increment(engine->counts, "prompt_tokens", job->prompt_tokens);
	json_increment(engine->counts, "completion_tokens", job->generated_tokens);
	for (size_t i = 0; i < 2; i++) {
		json_increment(rows[i], "answers", 1);
		json_increment(rows[i], "prompt_tokens", job->prompt_tokens);
		json_increment(rows[i], "completion_tokens", job->generated_tokens);
	}
}

static void finish_job(struct engine *engine, struct engine_job *job)
{
	struct standin_request *request = job->request;

	if (!request->exchange) {
		engine_count(engine, "completed_for_nobody");
		standin_request_free(request);
	} else if (job->stream) {
		count_completed(engine, job);
		engine_job_end_stream(job);
		request->exchange = NULL;
		standin_request_free(request);
	} else {
		count_completed(engine, job);
		add_job_headers(job);
		standin_answer(request, 200, engine_job_answer(job));
	}
	unlink_job(engine, job);
	engine_job_free(job);
	start_jobs(engine);
}

static void expire_job(struct engine *engine, struct engine_job *job)
{
	engine_count(engine, "timed_out");
	if (job->stream && job->generated_tokens > 0) {
		abort_job(engine, job);
	} else {
		add_job_headers(job);
		standin_answer_error(job->request, 504, "the request timed out");
		unlink_job(engine, job);
		engine_job_free(job);
	}
	start_jobs(engine);
}

static void count_token(struct engine *engine)
{
	uint64_t second = dw_clock_now_us() / DW_US_PER_S;

	if (second != engine->second) {
		engine->tokens_per_s = second == engine->second + 1 ? engine->tokens_in_second : 0;
		engine->tokens_in_second = 0;
		engine->second = second;
	}
	engine->tokens_in_second++;
}

static void make_token(struct engine *engine, struct engine_job *job)
{
	if (job->generated_tokens == 0 && job->stream && job->request->exchange) {
		add_job_headers(job);
		dw_http_stream_start(job->request->exchange, 200, "text/event-stream");
	}
	engine_job_make_token(job);
	count_token(engine);
}

static void advance_job(struct standin_request *request)
{
	struct engine *engine = engine_from_request(request);
	struct engine_job *job = request->data;
	uint64_t now_us = dw_clock_now_us();
	uint64_t wake_us;

	if (now_us >= job->deadline_us) {
		expire_job(engine, job);
		return;
	}
	while (job->running && job->generated_tokens < job->total_tokens &&
	       job->generated_tokens < job->cut_after && job->generated_tokens < job->stall_after &&
	       job->next_token_us <= now_us) {
		make_token(engine, job);
		job->next_token_us += engine->token_us;
	}
	if (job->generated_tokens >= job->cut_after) {
		engine_count(engine, "cut");
		abort_job(engine, job);
		start_jobs(engine);
		return;
	}
	if (job->generated_tokens >= job->total_tokens) {
		finish_job(engine, job);
		return;
	}
	wake_us = job->running && job->generated_tokens < job->stall_after ? job->next_token_us
									   : UINT64_MAX;
	if (job->deadline_us < wake_us)
		wake_us = job->deadline_us;
	if (wake_us != UINT64_MAX)
		standin_delay(request, wake_us - now_us, advance_job);
}

static struct engine_job *next_queued(struct engine *engine)
{
	struct engine_job *best = NULL;

	for (struct engine_job *job = engine->jobs; job; job = job->next) {
		if (!job->running && (!best || job->priority > best->priority))
			best = job;
	}
	return best;
}

static void start_jobs(struct engine *engine)
{
	while (engine->running < engine->slots && engine->running < engine->in_flight) {
		struct engine_job *job = next_queued(engine);
		uint64_t first_us = engine->first_token_us;

		if (engine_cache_touch(&engine->cache, job->prompt))
			first_us /= PREFIX_HIT_DIVISOR;
		job->running = true;
		job->next_token_us = dw_clock_now_us() + first_us + job->late_us;
		engine->running++;
		standin_delay(job->request, 0, advance_job);
	}
}

static void on_disconnect(struct standin_request *request)
{
	struct engine *engine = engine_from_request(request);
	struct engine_job *job = request->data;

	if (job->late)
		return;
	engine_count(engine, "cancelled");
	unlink_job(engine, job);
	engine_job_free(job);
	standin_request_free(request);
	start_jobs(engine);
}

static void assign_score(struct engine *engine, struct engine_job *job)
{
	const struct fault_set *faults = &job->request->standin->faults;
	uint64_t permille = engine->quality_permille;
	uint64_t hash = XXH64(job->version, strlen(job->version), engine->seed);

	for (size_t i = 0; i < faults->count; i++) {
		const struct fault *fault = &faults->faults[i];

		if (strcmp(fault->kind, "quality") == 0 &&
		    (!*fault->word || strcmp(fault->word, job->version) == 0))
			permille = fault->n;
	}
	hash = XXH64(job->prompt, strlen(job->prompt), hash);
	job->score_permille = hash % PERMILLE < permille ? GOOD_SCORE_PERMILLE : BAD_SCORE_PERMILLE;
}

static void apply_faults(struct engine *engine, struct engine_job *job)
{
	struct fault_set *faults = &job->request->standin->faults;
	const char *path = job->request->path;
	struct engine_identity own_identity = job->identity;
	const struct fault *fault;

	fault = fault_set_consume(faults, "cut", path);
	if (fault)
		job->cut_after = fault->n;
	fault = fault_set_consume(faults, "stall", path);
	if (fault)
		job->stall_after = fault->n;
	fault = fault_set_consume(faults, "late", path);
	if (fault) {
		job->late = true;
		job->late_us = fault->n * DW_US_PER_MS;
		job->deadline_us = UINT64_MAX;
	}
	if (fault_set_consume(faults, "crossed", path))
		job->identity = engine->previous_identity;
	engine->previous_identity = own_identity;
	assign_score(engine, job);
}

static bool serves_version(const struct engine *engine, const char *version)
{
	for (size_t i = 0; i < engine->version_count; i++) {
		if (strcmp(engine->versions[i], version) == 0)
			return true;
	}
	return false;
}

static const char *find_poison(const struct engine *engine, const struct engine_job *job)
{
	for (size_t i = 0; i < engine->poison_count; i++) {
		if (engine_job_contains(job, engine->poisons[i]))
			return engine->poisons[i];
	}
	return NULL;
}

static void append_job(struct engine *engine, struct engine_job *job)
{
	struct engine_job **at = &engine->jobs;

	while (*at)
		at = &(*at)->next;
	*at = job;
	engine->in_flight++;
}

static void crash_late(struct standin_request *request)
{
	engine_crash(engine_from_request(request), "poison");
}

static void admit(struct engine *engine, struct engine_job *job)
{
	bool cold = engine_is_cold(engine);
	const char *poison = find_poison(engine, job);

	append_job(engine, job);
	count_peak(engine, "peak_in_flight", engine->in_flight);
	if (cold)
		count_peak(engine, "peak_in_flight_cold", engine->in_flight);
	if (poison && engine->poison_after_us > 0) {
		job->request->on_disconnect = NULL;
		standin_delay(job->request, engine->poison_after_us, crash_late);
	} else if (poison) {
		engine_crash(engine, poison);
	} else if (cold && engine->in_flight > engine->cold_slots) {
		engine_count(engine, "cold_breaches");
		engine_restart(engine);
	} else if (engine->max_in_flight && engine->in_flight > engine->max_in_flight) {
		engine_count(engine, "limit_breaches");
		engine_restart(engine);
	} else {
		/* The first check also sets the timer for a queued job's deadline. */
		standin_delay(job->request, 0, advance_job);
		start_jobs(engine);
	}
}

/* Counts by id, for at most MAX_COUNTED_IDS ids, so that a long run doesn't fill the memory.
 * Requests with further ids are counted as ids_left_out. */
static void count_id(struct engine *engine, const char *field, const char *id)
{
	struct json_object *ids = json_ensure_object(engine->counts, field);

	if (json_object_object_length(ids) >= MAX_COUNTED_IDS && !json_field(ids, id))
		engine_count(engine, "ids_left_out");
	else
		json_increment(ids, id, 1);
}

static void count_arrival(struct engine *engine, const struct engine_job *job)
{
	char pair[PAIR_BYTES];

	engine_count(engine, "requests");
	count_id(engine, "by_attempt_id", job->identity.attempt_id);
	count_id(engine, "by_request_id", job->identity.request_id);
	json_increment(json_ensure_object(engine->counts, "requests_by_version"), job->version, 1);
	json_increment(json_ensure_object(engine->counts, "requests_by_organisation"),
		       job->organisation, 1);
	snprintf(pair, sizeof(pair), "%s %s", job->organisation, job->version);
	json_increment(json_ensure_object(engine->counts, "requests_by_pair"), pair, 1);
}

struct engine_load engine_load_now(const struct engine *engine)
{
	uint64_t now_us = dw_clock_now_us();
	bool recent = now_us / DW_US_PER_S <= engine->second + 1;

	return (struct engine_load){
		.at_us = now_us,
		.incarnation = engine->incarnation,
		.running = engine->running,
		.queued = engine->in_flight - engine->running,
		.tokens_per_s = recent ? engine->tokens_per_s : 0,
	};
}

enum dw_status engine_accept_job(struct engine *engine, struct engine_job *job)
{
	count_arrival(engine, job);
	if (!serves_version(engine, job->version)) {
		engine_count(engine, "unknown_version");
		return dw_fail(DW_NOT_FOUND, "unknown model or version");
	}
	job->request->data = job;
	job->request->on_disconnect = on_disconnect;
	apply_faults(engine, job);
	admit(engine, job);
	return DW_OK;
}
