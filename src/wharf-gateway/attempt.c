#include "wharf-gateway/attempt.h"

#include <stdlib.h>
#include <string.h>

#include <dragonflywharf/rendezvous.h>

#include "base/clock.h"

/* Up to this part of a pause is added to it, at random, and not more than the maximum. */
#define PAUSE_SPREAD_PART 4
#define PAUSE_SPREAD_MAX_US (1 * DW_US_PER_S)
/* More of the body of an answer that isn't passed on isn't read. */
#define SKIPPED_BODY_MAX_BYTES (64U << 10)

/* What the answer being received responds to. */
enum answer_kind {
	ANSWER_OTHER_REQUEST, /**< answers another request: skipped */
	ANSWER_REFUSAL, /**< the engine hasn't executed the request, or isn't the one meant */
	ANSWER_THIS_REQUEST
};

struct attempt {
	struct router *router;
	struct dw_engine *engine;
	struct http_connection *link;
	const struct attempt_callbacks *callbacks;
	void *owner;
	char *attempt_id;
	struct dw_model_speed *speed;
	struct dw_crash_run run;
	bool is_suspect;
	struct dw_fingerprint suspect;
	uint64_t sent_at_us;
	uint64_t expected_us;
	uint32_t uncached_tokens;
	uint64_t work_us;
	uint32_t running; /**< requests that the engine was known to run when it was chosen */
	struct dw_work_stats *work_stats;
	bool requires_signature;
	bool is_paused; /**< the answer isn't read, for a slow caller */
	bool is_answer_started; /**< the answer to this request has started */
	enum answer_kind answer_kind;
	enum dw_attempt_outcome refusal; /**< valid with ANSWER_REFUSAL */
	bool is_wrong_engine; /**< valid with ANSWER_REFUSAL */
	uint64_t skipped_bytes; /**< read of bodies that don't answer this request */
	bool ends_at_close; /**< the answer has no length: the connection's end completes it */
	bool is_invalid; /**< the answer failed validation: signature or encoding */
	uint16_t status;
	int connection_error; /**< of libuv; 0: none */
};

static const char *const connection_names[ATTEMPT_CONNECTION_COUNT] = {
	[ATTEMPT_CONNECTION_KEPT] = "kept",
	[ATTEMPT_CONNECTION_REFUSED] = "refused",
	[ATTEMPT_CONNECTION_CLOSED] = "closed",
	[ATTEMPT_CONNECTION_SILENT] = "silent",
};

static const char *const abandonment_names[ATTEMPT_ABANDONMENT_COUNT] = {
	[ATTEMPT_CALLER_LEFT] = "caller_left",	     [ATTEMPT_DEADLINE_PASSED] = "deadline_passed",
	[ATTEMPT_ENGINE_SILENT] = "engine_silent",   [ATTEMPT_ANSWER_DROPPED] = "answer_dropped",
	[ATTEMPT_ANSWER_INVALID] = "answer_invalid", [ATTEMPT_INSTANCE_STOPS] = "instance_stops",
};

const char *attempt_connection_name(enum attempt_connection connection)
{
	return connection < ATTEMPT_CONNECTION_COUNT ? connection_names[connection] : "unknown";
}

/* Callers may send an attempt again, with the same id. */
static uint64_t attempt_key(const struct attempt *attempt)
{
	return dw_rendezvous_key(attempt->attempt_id, strlen(attempt->attempt_id));
}

static struct crash_guard *guard_of(const struct attempt *attempt)
{
	return &attempt->router->view->guard;
}

static void attempt_free(struct attempt *attempt, enum dw_engine_outcome engine_outcome)
{
	if (!attempt->is_answer_started)
		dw_engine_work_done(attempt->engine, attempt->work_us);
	dw_engine_ended(attempt->engine, engine_outcome, attempt->is_answer_started,
			dw_clock_now_us());
	if (attempt->is_suspect) {
		attempt->engine->suspects_in_flight--;
		crash_guard_suspect_ended(guard_of(attempt), attempt->suspect);
	}
	free(attempt->attempt_id);
	free(attempt);
}

/* The engine may still work on the request, although this instance doesn't wait for it any more. */
static void record_abandonment(const struct attempt *attempt, enum attempt_abandonment why)
{
	struct router *router = attempt->router;
	char fingerprint[DW_FINGERPRINT_TEXT_BYTES];

	dw_fingerprint_text(attempt->run.request, fingerprint);
	dw_counters_add(router->counters, DW_COUNTER_ATTEMPTS_ABANDONED, 1);
	dw_log_event(router->log, DW_EVENT_ATTEMPT_ABANDONED,
		     DW_STR("request", attempt->attempt_id), DW_STR("fingerprint", fingerprint),
		     DW_STR("engine", attempt->engine->entry.id),
		     DW_STR("reason", abandonment_names[why]),
		     DW_INT("ran_ms", (dw_clock_now_us() - attempt->sent_at_us) / DW_US_PER_MS));
	crash_guard_abandoned(guard_of(attempt), attempt->engine, &attempt->run,
			      attempt->sent_at_us);
}

void attempt_abort(struct attempt *attempt, enum attempt_abandonment why,
		   enum dw_engine_outcome engine_outcome)
{
	if (attempt_is_connected(attempt))
		record_abandonment(attempt, why);
	if (!attempt->is_answer_started)
		dw_engine_waited(attempt->engine, attempt->sent_at_us, attempt->expected_us,
				 dw_clock_now_us());
	http_connection_abort(attempt->link);
	attempt_free(attempt, engine_outcome);
}

static void record_answer_start(struct attempt *attempt)
{
	uint64_t now_us = dw_clock_now_us();

	if (attempt->is_answer_started)
		return;
	attempt->is_answer_started = true;
	crash_guard_sign(guard_of(attempt), attempt->engine, DW_CRASH_SIGN_ANSWERED,
			 attempt->sent_at_us);
	dw_engine_started(attempt->engine, attempt->sent_at_us, attempt->expected_us, now_us);
	dw_engine_work_done(attempt->engine, attempt->work_us);
	if (attempt->work_stats && attempt->status < 300)
		dw_work_stats_started(attempt->work_stats, attempt->running, attempt->expected_us,
				      now_us - attempt->sent_at_us);
	if (attempt->speed && attempt->status < 300)
		dw_model_speed_learn(attempt->speed, attempt->uncached_tokens,
				     now_us - attempt->sent_at_us);
}

static void record_load_report(struct attempt *attempt, const struct response_fields *fields)
{
	uint64_t now_us = dw_clock_now_us();

	if (fields->has_load) {
		struct dw_engine_load load = { .running = fields->running,
					       .waiting = fields->waiting,
					       .slots = fields->slots,
					       .pace_percent = fields->pace_percent,
					       .reported_at_us = now_us };

		dw_engine_load_reported(attempt->engine, &load);
	}
	if (fields->cold_remaining_ms > 0)
		dw_engine_cold_start_reported(attempt->engine, fields->cold_remaining_ms, now_us);
}

static bool answers_this_request(const struct attempt *attempt,
				 const struct response_fields *fields)
{
	return fields->attempt_id && strcmp(fields->attempt_id, attempt->attempt_id) == 0;
}

/* Whether a refusal is that of this request. Without an id, one on a connection that was used before may
 * be an earlier one that comes once more. */
static bool refuses_this_request(const struct attempt *attempt,
				 const struct response_fields *fields)
{
	return fields->attempt_id ? answers_this_request(attempt, fields)
				  : !http_connection_is_reused(attempt->link);
}

static bool is_valid_answer(const struct attempt *attempt, const struct http_head *head,
			    const struct response_fields *fields)
{
	if (fields->has_content_encoding)
		return false;
	return head->status >= 300 || !attempt->requires_signature || fields->is_signed;
}

/* Instances don't send to the engine again at the same moment, also when the pause is cut. */
static uint64_t pause_end_us(struct attempt *attempt, uint64_t pause_us, uint64_t now_us)
{
	uint64_t spread_us = pause_us / PAUSE_SPREAD_PART;

	if (pause_us > DW_ENGINE_PAUSE_MAX_US)
		pause_us = DW_ENGINE_PAUSE_MAX_US - PAUSE_SPREAD_MAX_US;
	if (spread_us > PAUSE_SPREAD_MAX_US)
		spread_us = PAUSE_SPREAD_MAX_US;
	return now_us + pause_us + router_random(attempt->router) % (spread_us + 1);
}

static void record_pause(struct attempt *attempt, const struct response_fields *fields)
{
	uint64_t now_us = dw_clock_now_us();
	struct dw_engine *engine = attempt->engine;

	dw_engine_pause_requested(engine, pause_end_us(attempt, fields->pause_us, now_us), now_us);
	dw_log_event(attempt->router->log, DW_EVENT_ENGINE_PAUSED,
		     DW_STR("engine", engine->entry.id), DW_STR("service", engine->entry.service),
		     DW_STR("request", attempt->attempt_id),
		     DW_INT("asked_ms", fields->pause_us / DW_US_PER_MS),
		     DW_INT("until_ms", (engine->paused_until_us - now_us) / DW_US_PER_MS));
}

/* What the engine says of itself, in an answer to whatever request. */
static void record_engine_state(struct attempt *attempt, const struct response_fields *fields)
{
	if (fields->is_wrong_engine)
		return;
	if (fields->is_leaving)
		view_engine_leaves(attempt->router->view, attempt->engine);
	if (fields->pause_us > 0)
		record_pause(attempt, fields);
	if (!fields->has_bad_pause)
		return;
	dw_counters_add(attempt->router->counters, DW_COUNTER_BAD_INPUTS, 1);
	dw_log_event(attempt->router->log, DW_EVENT_INPUT_REFUSED,
		     DW_STR("engine", attempt->engine->entry.id),
		     DW_STR("reason", "the field that asks for a pause is malformed"));
}

/* Only the engine's own statement proves that it hasn't run the request, whatever the status. */
static enum dw_attempt_outcome refusal_of(const struct response_fields *fields)
{
	if (!fields->is_wrong_engine)
		return DW_ATTEMPT_REJECTED;
	return fields->is_not_executed ? DW_ATTEMPT_WRONG_INSTANCE
				       : DW_ATTEMPT_UNPROVEN_MISDIRECTION;
}

static bool on_head(void *owner, const struct http_head *head)
{
	struct attempt *attempt = owner;
	struct response_fields fields;

	response_fields_read(head, &fields);
	if (!fields.is_wrong_engine)
		attempt->engine->alive_at_us = dw_clock_now_us();
	record_engine_state(attempt, &fields);
	attempt->status = head->status;
	if (fields.is_wrong_engine || fields.is_not_executed) {
		attempt->answer_kind = ANSWER_REFUSAL;
		attempt->is_wrong_engine = fields.is_wrong_engine;
		attempt->refusal = refusal_of(&fields);
		if (!refuses_this_request(attempt, &fields))
			attempt->answer_kind = ANSWER_OTHER_REQUEST;
		else
			record_load_report(attempt, &fields);
		return true;
	}
	if (!answers_this_request(attempt, &fields)) {
		attempt->answer_kind = ANSWER_OTHER_REQUEST;
		dw_counters_add(attempt->router->counters, DW_COUNTER_CROSSED_ANSWERS, 1);
		dw_log_event(attempt->router->log, DW_EVENT_LATE_ANSWER_DROPPED,
			     DW_STR("request", attempt->attempt_id),
			     DW_STR("engine", attempt->engine->entry.id),
			     DW_STR("answers", fields.attempt_id ? fields.attempt_id : ""));
		return true;
	}
	attempt->answer_kind = ANSWER_THIS_REQUEST;
	attempt->ends_at_close = head->ends_at_close;
	record_load_report(attempt, &fields);
	if (!is_valid_answer(attempt, head, &fields)) {
		attempt->is_invalid = true;
		return false;
	}
	record_answer_start(attempt);
	return attempt->callbacks->on_head(attempt->owner, head, &fields);
}

static bool on_body(void *owner, const char *bytes, size_t len)
{
	struct attempt *attempt = owner;

	if (attempt->answer_kind != ANSWER_THIS_REQUEST) {
		attempt->skipped_bytes += len;
		return attempt->skipped_bytes <= SKIPPED_BODY_MAX_BYTES;
	}
	attempt->engine->last_byte_at_us = dw_clock_now_us();
	attempt->engine->alive_at_us = attempt->engine->last_byte_at_us;
	return attempt->callbacks->on_body(attempt->owner, bytes, len);
}

static enum attempt_connection connection_of_error(int error)
{
	switch (error) {
	case 0:
		return ATTEMPT_CONNECTION_KEPT;
	case UV_ECONNREFUSED:
		return ATTEMPT_CONNECTION_REFUSED;
	case UV_EOF:
	case UV_ECONNRESET:
	case UV_EPIPE:
		return ATTEMPT_CONNECTION_CLOSED;
	default:
		return ATTEMPT_CONNECTION_SILENT;
	}
}

/* Tells the crash guard what the end of the attempt says about its engine. */
static void report_end(const struct attempt *attempt, enum dw_attempt_outcome outcome,
		       enum attempt_connection connection)
{
	struct crash_guard *guard = guard_of(attempt);

	if (outcome == DW_ATTEMPT_WRONG_INSTANCE || outcome == DW_ATTEMPT_UNPROVEN_MISDIRECTION)
		crash_guard_sign(guard, attempt->engine, DW_CRASH_SIGN_REPLACED,
				 attempt->sent_at_us);
	else if (connection == ATTEMPT_CONNECTION_REFUSED)
		crash_guard_sign(guard, attempt->engine, DW_CRASH_SIGN_REFUSED,
				 attempt->sent_at_us);
	else if (connection == ATTEMPT_CONNECTION_CLOSED &&
		 (outcome == DW_ATTEMPT_NO_ANSWER || outcome == DW_ATTEMPT_CUT))
		crash_guard_connection_lost(guard, attempt->engine, &attempt->run,
					    attempt->sent_at_us);
	else if (outcome == DW_ATTEMPT_NO_ANSWER || outcome == DW_ATTEMPT_CUT ||
		 outcome == DW_ATTEMPT_INVALID)
		record_abandonment(attempt, connection == ATTEMPT_CONNECTION_SILENT
						    ? ATTEMPT_ENGINE_SILENT
						    : ATTEMPT_ANSWER_INVALID);
}

static void finish_failed(struct attempt *attempt, enum dw_attempt_outcome outcome,
			  enum dw_engine_outcome engine_outcome)
{
	const struct attempt_callbacks *callbacks = attempt->callbacks;
	void *owner = attempt->owner;
	enum attempt_connection connection = connection_of_error(attempt->connection_error);

	report_end(attempt, outcome, connection);
	attempt_free(attempt, engine_outcome);
	callbacks->on_failed(owner, outcome, connection);
}

static void finish_refused(struct attempt *attempt)
{
	finish_failed(attempt, attempt->refusal,
		      attempt->is_wrong_engine ? DW_ENGINE_WRONG_INSTANCE : DW_ENGINE_REJECTED);
}

/* The end of the connection completed the answer; it may have been that of the engine. */
static void note_possible_end(const struct attempt *attempt)
{
	crash_guard_abandoned(guard_of(attempt), attempt->engine, &attempt->run,
			      attempt->sent_at_us);
}

static void on_end(void *owner)
{
	struct attempt *attempt = owner;
	const struct attempt_callbacks *callbacks = attempt->callbacks;
	void *attempt_owner = attempt->owner;

	switch (attempt->answer_kind) {
	case ANSWER_OTHER_REQUEST:
		return; /* the answer to this request is still to come on the connection */
	case ANSWER_REFUSAL:
		http_connection_avoid(attempt->link, attempt_key(attempt));
		http_connection_release(attempt->link);
		finish_refused(attempt);
		return;
	case ANSWER_THIS_REQUEST:
		http_connection_release(attempt->link);
		if (attempt->ends_at_close)
			note_possible_end(attempt);
		attempt_free(attempt,
			     attempt->status >= 500 ? DW_ENGINE_FAILED : DW_ENGINE_ANSWERED);
		callbacks->on_end(attempt_owner);
		return;
	}
}

static void on_failed(void *owner, enum http_connection_failure failure)
{
	struct attempt *attempt = owner;

	attempt->connection_error = http_connection_error(attempt->link);
	attempt->link = NULL;
	if (attempt->answer_kind == ANSWER_REFUSAL) {
		finish_refused(attempt);
		return;
	}
	switch (failure) {
	case HTTP_CONNECTION_NOT_ESTABLISHED:
		finish_failed(attempt, DW_ATTEMPT_NOT_SENT, DW_ENGINE_UNREACHABLE);
		return;
	case HTTP_CONNECTION_NO_RESPONSE:
		finish_failed(attempt, DW_ATTEMPT_NO_ANSWER, DW_ENGINE_NO_RESPONSE);
		return;
	case HTTP_CONNECTION_TRUNCATED_RESPONSE:
		finish_failed(attempt, attempt->is_invalid ? DW_ATTEMPT_INVALID : DW_ATTEMPT_CUT,
			      DW_ENGINE_FAILED);
		return;
	case HTTP_CONNECTION_MALFORMED_RESPONSE:
	case HTTP_CONNECTION_FAILURE_COUNT:
		finish_failed(attempt, DW_ATTEMPT_INVALID, DW_ENGINE_FAILED);
		return;
	}
}

static const struct http_connection_callbacks link_callbacks = { on_head, on_body, on_end,
								 on_failed };

struct attempt *attempt_start(struct router *router, const struct attempt_options *options,
			      const struct attempt_callbacks *callbacks, void *owner)
{
	struct attempt *attempt = calloc(1, sizeof(*attempt));
	struct dw_engine *engine = options->chosen->engine;
	struct dw_endpoint server = { .port = engine->entry.port };

	if (!attempt)
		abort();
	memcpy(server.ip, engine->entry.ip, sizeof(server.ip));
	attempt->router = router;
	attempt->engine = engine;
	attempt->callbacks = callbacks;
	attempt->owner = owner;
	attempt->attempt_id = strdup(options->attempt_id);
	attempt->speed = options->speed;
	attempt->run = *options->run;
	attempt->is_suspect = options->is_suspect;
	attempt->suspect = options->suspect;
	attempt->sent_at_us = dw_clock_now_us();
	attempt->expected_us = options->chosen->expected_us;
	attempt->uncached_tokens = options->chosen->uncached_tokens;
	attempt->work_us = options->chosen->work_us;
	attempt->running = options->chosen->running;
	attempt->work_stats = options->work_stats;
	attempt->requires_signature = options->requires_signature;
	dw_engine_sent(engine, attempt->sent_at_us);
	dw_engine_work_added(engine, attempt->work_us);
	if (attempt->work_stats)
		dw_work_stats_sent(attempt->work_stats, attempt->work_us);
	if (attempt->is_suspect) {
		engine->suspects_in_flight++;
		engine->suspect_key = dw_choice_suspect_key(attempt->suspect);
		crash_guard_suspect_sent(guard_of(attempt), attempt->suspect);
	}
	dw_counters_add(router->counters, DW_COUNTER_ATTEMPTS, 1);
	attempt->link =
		http_pool_send(router->pool, &server, attempt_key(attempt), options->request,
			       options->request_len, &link_callbacks, attempt);
	if (attempt->link)
		return attempt;
	attempt_free(attempt, DW_ENGINE_UNREACHABLE);
	return NULL;
}

bool attempt_is_connected(const struct attempt *attempt)
{
	return http_connection_is_established(attempt->link);
}

const struct dw_engine *attempt_engine(const struct attempt *attempt)
{
	return attempt->engine;
}

void attempt_pause(struct attempt *attempt, bool paused)
{
	attempt->is_paused = paused;
	http_connection_set_paused(attempt->link, paused);
}

bool attempt_is_paused(const struct attempt *attempt)
{
	return attempt->is_paused;
}
