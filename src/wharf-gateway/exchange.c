#include "wharf-gateway/exchange.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>

#include <dragonflywharf/event_order.h>
#include <dragonflywharf/rendezvous.h>
#include <dragonflywharf/request_policy.h>

#include "base/clock.h"
#include "base/error_json.h"
#include "net/event_stream.h"
#include "platform/request_fields.h"
#include "wharf-gateway/attempt.h"

/* A connection to an engine that isn't made by then won't be. */
#define CONNECT_TIMEOUT_US (500 * DW_US_PER_MS)
/* An idempotent request goes to another engine when this one is silent for so long beyond its
 * expected time. */
#define SILENT_PLAIN_US (700 * DW_US_PER_MS)
#define SILENT_STREAM_US (3 * DW_US_PER_S)
#define SILENT_EXPECTED_FACTOR 3
/* A resumable stream goes on elsewhere after such a pause; while its engine is heard on other
 * connections, only after the longer one. An engine that is gone shows sooner, by the probes of its
 * connection; a pause alone mostly tells of load, which reading the prompt again elsewhere adds to. */
#define SILENT_GAP_US (4 * DW_US_PER_S)
#define SILENT_MOST_US (8 * DW_US_PER_S)
#define SILENT_STEP_US (300 * DW_US_PER_MS)
/* Repeats that a better answer leaves to requests that fail. */
#define REPEATS_RESERVED 3
/* How long a request waits for a cold engine's rate, and how often it looks. */
#define WAIT_FOR_RATE_US (250 * DW_US_PER_MS)
#define WAIT_STEP_US (50 * DW_US_PER_MS)
/* Refused callers come back within this time, spread evenly. */
#define RETRY_AFTER_LEAST_MS 200
#define RETRY_AFTER_SPREAD_MS 400
/* Answers up to this length are held until they are whole; a longer one is passed on as it comes. */
#define HELD_MOST_BYTES (1U << 20)
/* An answer of so many tokens, to a prompt of at most so many times as many, is a long one. */
#define LONG_ANSWER_TOKENS 100
#define LONG_PROMPT_FACTOR 8
#define URGENCY_MOST 9
/* Urgencies of one organisation's priority, which its routes share. */
#define URGENCY_STEP 3

struct exchange {
	struct router *router;
	struct caller *caller; /**< NULL once it has left or was answered */
	struct caller_request request;
	struct request_fields fields;
	struct dw_catalog *catalog;
	const struct dw_route_rule *route;
	const struct dw_organisation_rule *organisation;
	const struct dw_service_rule *service;
	const char *service_name;
	struct dw_request_policy policy;
	const char *model; /**< that the gateway chose; NULL: the caller's */
	uint32_t rung; /**< of the route's models, with model */
	char version[DW_ENGINE_TEXT_BYTES]; /**< of the attempt's engine */
	uint64_t sent_at_us; /**< the attempt */
	uint64_t expected_us; /**< until its answer's first byte */
	uint64_t begun_at_us; /**< its answer; 0: not yet */
	uint32_t load_permille; /**< of its engine's slots, as the answer told; 0: not told */
	char tried[DW_CHOICE_TRIED_MAX][DW_ENGINE_TEXT_BYTES];
	uint32_t tried_count;
	uint32_t sends;
	struct attempt *attempt;
	uint64_t connect_due_us; /**< the attempt's connection must stand by then */
	uint64_t silent_since_us;
	uint64_t silence_due_us; /**< the attempt is given up then unless it answers; 0: never */
	uint64_t rate_due_us; /**< waiting for a cold engine's rate until then; 0: not waiting */
	uint64_t first_byte_at_us;
	uv_timer_t timer;
	/* The answer in progress. */
	struct http_answer_head {
		uint16_t status;
		struct bytes fields;
		bool is_stream;
		bool ends_with_connection;
		uint32_t confidence;
	} answer;
	struct bytes held; /**< body not passed on yet */
	struct event_stream events;
	struct dw_event_order order;
	bool is_out_of_order;
	bool is_over;
};

static void send_to_engine(struct exchange *exchange);
static void after_attempt(struct exchange *exchange, enum dw_attempt_end end);

static void on_timer_closed(uv_handle_t *handle)
{
	struct exchange *exchange = handle->data;

	bytes_free(&exchange->answer.fields);
	bytes_free(&exchange->held);
	event_stream_clear(&exchange->events);
	dw_catalog_release(exchange->catalog);
	free(exchange);
}

/* The session uses the version of its request's engine from now on, or until now. */
static void pin_session(struct exchange *exchange)
{
	if (exchange->fields.session && exchange->version[0])
		dw_session_pins_use(exchange->router->view->shifts.pins, exchange->service_name,
				    exchange->fields.session, exchange->version,
				    dw_clock_now_us());
}

static void exchange_close(struct exchange *exchange)
{
	pin_session(exchange);
	exchange->is_over = true;
	exchange->caller = NULL;
	exchange->router->in_progress--;
	uv_close((uv_handle_t *)&exchange->timer, on_timer_closed);
}

static void log_end(struct exchange *exchange, enum dw_event event, int status, const char *reason)
{
	uint64_t now_us = dw_clock_now_us();
	uint64_t arrived_us = exchange->request.arrived_at_us;
	uint64_t first_us = exchange->first_byte_at_us;

	dw_log_event(
		exchange->router->log, event, DW_STR("request", exchange->fields.attempt_id),
		DW_STR("route", exchange->route ? exchange->route->name : ""),
		DW_STR("organisation", exchange->organisation ? exchange->organisation->name : ""),
		DW_STR("engine",
		       exchange->tried_count > 0 ? exchange->tried[exchange->tried_count - 1] : ""),
		DW_STR("model", exchange->model ? exchange->model : ""),
		DW_INT("config", dw_catalog_version(exchange->catalog)),
		DW_INT("config_age_ms",
		       (now_us - exchange->router->view->proven_at_us) / DW_US_PER_MS),
		DW_INT("sends", exchange->sends), DW_INT("confidence", exchange->answer.confidence),
		DW_INT("status", status),
		DW_INT("first_ms", first_us > 0 ? (first_us - arrived_us) / DW_US_PER_MS : 0),
		DW_INT("total_ms", (now_us - arrived_us) / DW_US_PER_MS), DW_STR("reason", reason));
}

/* Answers that the gateway gives itself. */
static void reply_error(struct caller *caller, int status, const char *phrase, enum dw_status error,
			enum not_run not_run, const char *message, uint32_t retry_after_ms)
{
	char *text = error_json(error, not_run, message);
	struct bytes fields = { 0 };

	bytes_put_text(&fields, "Content-Type: application/json\r\n");
	if (retry_after_ms > 0)
		retry_after_write(&fields, retry_after_ms);
	caller_begin(caller, status, phrase, &fields, strlen(text));
	caller_write(caller, text, strlen(text));
	bytes_free(&fields);
	free(text);
	caller_end(caller);
}

static uint32_t retry_after_ms(struct exchange *exchange)
{
	return RETRY_AFTER_LEAST_MS +
	       (uint32_t)(router_random(exchange->router) % RETRY_AFTER_SPREAD_MS);
}

static void refuse(struct exchange *exchange, enum dw_status error, const char *reason)
{
	struct caller *caller = exchange->caller;

	dw_counters_add(exchange->router->counters, DW_COUNTER_REQUESTS_REFUSED, 1);
	histogram_add(&exchange->router->refusal,
		      dw_clock_now_us() - exchange->request.arrived_at_us);
	log_end(exchange, DW_EVENT_REQUEST_REFUSED, 503, reason);
	exchange_close(exchange);
	reply_error(caller, 503, "Service Unavailable", error, NOT_RUN_PROVEN, reason,
		    retry_after_ms(exchange));
}

static void fail(struct exchange *exchange, int status, const char *phrase, enum dw_status error,
		 const char *reason)
{
	struct caller *caller = exchange->caller;

	dw_counters_add(exchange->router->counters, DW_COUNTER_REQUESTS_FAILED, 1);
	log_end(exchange, DW_EVENT_REQUEST_FAILED, status, reason);
	exchange_close(exchange);
	reply_error(caller, status, phrase, error, NOT_RUN_UNPROVEN, reason, 0);
}

static void break_off(struct exchange *exchange, const char *reason)
{
	struct caller *caller = exchange->caller;

	dw_counters_add(exchange->router->counters, DW_COUNTER_REQUESTS_FAILED, 1);
	log_end(exchange, DW_EVENT_REQUEST_FAILED, exchange->answer.status, reason);
	exchange_close(exchange);
	caller_break_off(caller);
}

static void pass_on_whole(struct exchange *exchange)
{
	struct caller *caller = exchange->caller;
	bool is_failure = exchange->answer.status >= 500;
	uint64_t arrived_us = exchange->request.arrived_at_us;

	dw_counters_add(exchange->router->counters,
			is_failure ? DW_COUNTER_REQUESTS_FAILED : DW_COUNTER_REQUESTS_DONE, 1);
	log_end(exchange, is_failure ? DW_EVENT_REQUEST_FAILED : DW_EVENT_REQUEST_DONE,
		exchange->answer.status, is_failure ? "engine's answer" : "");
	histogram_add(&exchange->router->whole_answer, dw_clock_now_us() - arrived_us);
	if (exchange->first_byte_at_us > 0)
		histogram_add(&exchange->router->first_byte,
			      exchange->first_byte_at_us - arrived_us);
	if (!exchange->policy.is_begun) {
		caller_begin(caller, exchange->answer.status, "", &exchange->answer.fields,
			     exchange->held.len);
		caller_write(caller, exchange->held.data, exchange->held.len);
	}
	exchange_close(exchange);
	caller_end(caller);
}

static void carry_out(struct exchange *exchange, enum dw_policy_verdict verdict, const char *reason)
{
	switch (verdict) {
	case DW_POLICY_SEND_AGAIN:
		send_to_engine(exchange);
		break;
	case DW_POLICY_PASS_ON:
		pass_on_whole(exchange);
		break;
	case DW_POLICY_REFUSE:
		refuse(exchange, DW_OVERLOADED, reason);
		break;
	case DW_POLICY_FAIL:
		fail(exchange, 502, "Bad Gateway", DW_UPSTREAM_FAILED, reason);
		break;
	case DW_POLICY_EXPIRE:
		fail(exchange, 504, "Gateway Timeout", DW_TIMEOUT, reason);
		break;
	case DW_POLICY_BREAK_OFF:
		break_off(exchange, reason);
		break;
	case DW_POLICY_VERDICT_COUNT:
		break;
	}
}

static void give_up(struct exchange *exchange, const char *reason)
{
	carry_out(exchange, dw_request_policy_give_up(&exchange->policy, dw_clock_now_us()),
		  reason);
}

static void on_timer(uv_timer_t *timer);

/* When the attempt in progress is given up; UINT64_MAX: not before the request's end. */
static uint64_t attempt_due_us(const struct exchange *exchange)
{
	uint64_t due_us = exchange->silence_due_us > 0 ? exchange->silence_due_us : UINT64_MAX;

	if (!attempt_is_connected(exchange->attempt) && exchange->connect_due_us < due_us)
		due_us = exchange->connect_due_us;
	return due_us;
}

/* Sets the timer for whatever comes first: the request's end, the attempt's, the next look. */
static void set_timer(struct exchange *exchange)
{
	uint64_t now_us = dw_clock_now_us();
	uint64_t due_us = exchange->policy.deadline_us;

	if (exchange->attempt && attempt_due_us(exchange) < due_us)
		due_us = attempt_due_us(exchange);
	if (exchange->rate_due_us > 0 && now_us + WAIT_STEP_US < due_us)
		due_us = now_us + WAIT_STEP_US;
	uv_timer_start(&exchange->timer, on_timer,
		       due_us > now_us ? (due_us - now_us + DW_US_PER_MS - 1) / DW_US_PER_MS : 0,
		       0);
}

/* Whether the silence is due, but the request can't go elsewhere, or the engine answers others. */
static bool is_worth_waiting(const struct exchange *exchange, uint64_t now_us)
{
	const struct dw_engine *engine = attempt_engine(exchange->attempt);

	if (!attempt_is_connected(exchange->attempt) || exchange->silence_due_us == 0 ||
	    now_us < exchange->silence_due_us)
		return false;
	if (router_repeats_left(exchange->router, exchange->service_name, now_us) == 0)
		return true;
	return now_us < exchange->silent_since_us + SILENT_MOST_US &&
	       engine->last_byte_at_us + SILENT_GAP_US / 2 > now_us;
}

static void on_timer(uv_timer_t *timer)
{
	struct exchange *exchange = timer->data;
	uint64_t now_us = dw_clock_now_us();

	if (now_us >= exchange->policy.deadline_us) {
		if (exchange->attempt)
			attempt_abort(exchange->attempt, attempt_has_begun(exchange->attempt)
								 ? DW_ENGINE_LEFT
								 : DW_ENGINE_SILENT);
		exchange->attempt = NULL;
		give_up(exchange, "the time limit has passed");
	} else if (exchange->attempt && is_worth_waiting(exchange, now_us)) {
		exchange->silence_due_us = now_us + SILENT_STEP_US;
		set_timer(exchange);
	} else if (exchange->attempt && now_us >= attempt_due_us(exchange)) {
		enum dw_attempt_end end = attempt_is_connected(exchange->attempt)
						  ? DW_ATTEMPT_NO_ANSWER
						  : DW_ATTEMPT_NOT_SENT;

		attempt_abort(exchange->attempt, end == DW_ATTEMPT_NOT_SENT ? DW_ENGINE_UNREACHABLE
									    : DW_ENGINE_SILENT);
		exchange->attempt = NULL;
		after_attempt(exchange, end);
	} else if (!exchange->attempt && exchange->rate_due_us > 0) {
		send_to_engine(exchange);
	} else {
		set_timer(exchange);
	}
}

/* An event of a stream was read whole. */
static void on_event(const char *data, size_t data_len, const char *raw, size_t raw_len,
		     void *context)
{
	struct exchange *exchange = context;
	uint64_t id;

	if (exchange->is_out_of_order)
		return;
	if (dw_event_id(raw, raw_len, &id)) {
		switch (dw_event_order_take(&exchange->order, id)) {
		case DW_EVENT_PASS:
			break;
		case DW_EVENT_REPEATED:
			return;
		case DW_EVENT_GAP:
		case DW_EVENT_VERDICT_COUNT:
			exchange->is_out_of_order = true;
			return;
		}
	}
	if (!exchange->policy.is_begun) {
		exchange->policy.is_begun = true;
		exchange->first_byte_at_us = dw_clock_now_us();
		caller_begin(exchange->caller, exchange->answer.status, "",
			     &exchange->answer.fields, CALLER_CHUNKED);
	}
	caller_write(exchange->caller, raw, raw_len);
}

/* Something came of the attempt: it is given up unless more does within @p limit_us. */
static void expect_more(struct exchange *exchange, uint64_t limit_us)
{
	exchange->silent_since_us = dw_clock_now_us();
	if (!exchange->policy.is_idempotent || exchange->policy.runs >= exchange->policy.max_runs)
		exchange->silence_due_us = 0;
	else
		exchange->silence_due_us = exchange->silent_since_us + limit_us;
}

/* An attempt has ended with an answer or a failure that tells of its engine's version. */
static void count_for_version(struct exchange *exchange, bool failed)
{
	uint64_t now_us = dw_clock_now_us();
	/* An answer that didn't begin took at least until now. */
	uint64_t begun_us = exchange->begun_at_us > 0 ? exchange->begun_at_us : now_us;
	struct dw_shift_answer answer = {
		.failed = failed,
		.taken_us = begun_us > exchange->sent_at_us ? begun_us - exchange->sent_at_us : 0,
		.expected_us = exchange->expected_us,
		.load_permille = exchange->load_permille,
	};

	shifts_count_answer(&exchange->router->view->shifts, exchange->service_name,
			    exchange->version, &answer, now_us);
}

static void describe_choice(struct exchange *exchange, struct dw_choice *choice, uint64_t now_us);
static enum dw_choice_result choose_engine(struct exchange *exchange, struct dw_choice *choice,
					   struct dw_chosen *chosen);

/* Whether a smaller model's answer is dropped, and the largest one asked instead. */
static bool wants_larger_model(struct exchange *exchange, const struct answer_fields *fields)
{
	const struct dw_route_rule *route = exchange->route;
	struct router *router = exchange->router;
	uint64_t now_us = dw_clock_now_us();
	struct dw_ladder_situation situation = {
		.now_us = now_us,
		.target_at_us =
			exchange->request.arrived_at_us + route->target_latency_ms * DW_US_PER_MS,
		.deadline_us = exchange->policy.deadline_us,
		.target_permille = (uint32_t)router->settings->quality_target_permille,
	};
	struct dw_choice choice;
	struct dw_chosen chosen;

	if (!exchange->model || !fields->has_confidence)
		return false;
	dw_ladder_learn(router_ladder(router, route->name), exchange->rung, fields->confidence,
			situation.target_permille);
	if (exchange->rung + 1 >= route->model_count || exchange->policy.is_begun ||
	    !dw_request_policy_may_send(&exchange->policy, now_us) ||
	    router_repeats_left(router, exchange->service_name, now_us) < REPEATS_RESERVED)
		return false;
	describe_choice(exchange, &choice, now_us);
	choice.model = route->models[route->model_count - 1];
	choice.speed = router_speed(router, choice.model);
	choice.tried_count = 0;
	if (choose_engine(exchange, &choice, &chosen) != DW_CHOICE_FOUND)
		return false;
	situation.largest_expected_us = chosen.expected_us;
	return !dw_ladder_keeps(&situation, fields->confidence);
}

static void ask_larger_model(struct exchange *exchange)
{
	attempt_abort(exchange->attempt, DW_ENGINE_LEFT);
	exchange->attempt = NULL;
	exchange->rung = exchange->route->model_count - 1;
	exchange->model = exchange->route->models[exchange->rung];
	exchange->tried_count = 0;
	after_attempt(exchange, DW_ATTEMPT_DROPPED);
}

static bool on_answer_head(void *owner, const struct http_head *head,
			   const struct answer_fields *fields)
{
	struct exchange *exchange = owner;
	bool is_stream = exchange->route->kind == DW_ROUTE_STREAM && head->status < 300;

	exchange->begun_at_us = dw_clock_now_us();
	if (fields->has_load && fields->slots > 0)
		exchange->load_permille =
			(fields->running + fields->waiting) * 1000 / fields->slots;
	if (exchange->policy.is_begun)
		return is_stream; /* a stream that goes on keeps the head of its first engine */
	exchange->answer.status = head->status;
	exchange->answer.is_stream = is_stream;
	exchange->answer.confidence = fields->confidence;
	exchange->answer.fields.len = 0;
	exchange->held.len = 0;
	answer_fields_forward(&exchange->answer.fields, head);
	if (is_stream && wants_larger_model(exchange, fields)) {
		ask_larger_model(exchange);
		return false;
	}
	expect_more(exchange, SILENT_GAP_US);
	set_timer(exchange);
	return true;
}

static bool on_answer_body(void *owner, const char *bytes, size_t len)
{
	struct exchange *exchange = owner;

	if (!exchange->answer.is_stream) {
		bytes_put(&exchange->held, bytes, len);
		return exchange->held.len <= HELD_MOST_BYTES;
	}
	if (event_stream_feed(&exchange->events, bytes, len, on_event, exchange) != DW_OK ||
	    exchange->is_out_of_order)
		return false;
	expect_more(exchange, SILENT_GAP_US);
	if (caller_is_congested(exchange->caller))
		attempt_pause(exchange->attempt, true);
	return true;
}

static void on_answer_end(void *owner)
{
	struct exchange *exchange = owner;

	exchange->attempt = NULL;
	if (exchange->answer.status >= 500) {
		after_attempt(exchange, DW_ATTEMPT_SERVER_ERROR);
		return;
	}
	if (exchange->answer.is_stream && exchange->events.len > 0) {
		/* The rest of an event: the engine broke off where its framing said the end. */
		event_stream_clear(&exchange->events);
		after_attempt(exchange, DW_ATTEMPT_CUT);
		return;
	}
	count_for_version(exchange, false);
	if (exchange->first_byte_at_us == 0)
		exchange->first_byte_at_us = dw_clock_now_us();
	pass_on_whole(exchange);
}

static void on_attempt_over(void *owner, enum dw_attempt_end end)
{
	struct exchange *exchange = owner;

	exchange->attempt = NULL;
	after_attempt(exchange, end);
}

static const struct attempt_calls attempt_calls = { on_answer_head, on_answer_body, on_answer_end,
						    on_attempt_over };

/* Silence and an engine's own time limit tell of its load as well. */
static bool is_failure_of_version(const struct exchange *exchange, enum dw_attempt_end end)
{
	return end == DW_ATTEMPT_CUT || end == DW_ATTEMPT_INVALID ||
	       (end == DW_ATTEMPT_SERVER_ERROR && exchange->answer.status != 504);
}

static void after_attempt(struct exchange *exchange, enum dw_attempt_end end)
{
	uint64_t now_us = dw_clock_now_us();
	bool may_retry = router_repeats_left(exchange->router, exchange->service_name, now_us) > 0;
	enum dw_policy_verdict verdict =
		dw_request_policy_ended(&exchange->policy, end, may_retry, now_us);

	if (is_failure_of_version(exchange, end))
		count_for_version(exchange, true);
	else if (end == DW_ATTEMPT_DROPPED || end == DW_ATTEMPT_NO_ANSWER)
		count_for_version(exchange, false);

	event_stream_clear(&exchange->events);
	exchange->is_out_of_order = false;
	dw_counters_add(exchange->router->counters, DW_COUNTER_ATTEMPTS_FAILED, 1);
	if (!may_retry)
		dw_counters_add(exchange->router->counters, DW_COUNTER_RETRIES_DENIED, 1);
	dw_log_event(
		exchange->router->log, DW_EVENT_ATTEMPT_FAILED,
		DW_STR("request", exchange->fields.attempt_id),
		DW_STR("engine",
		       exchange->tried_count > 0 ? exchange->tried[exchange->tried_count - 1] : ""),
		DW_INT("confidence", exchange->answer.confidence),
		DW_STR("end", dw_attempt_end_name(end)), DW_INT("status", exchange->answer.status),
		DW_STR("verdict", dw_policy_verdict_name(verdict)), DW_INT("may_retry", may_retry),
		DW_INT("runs", exchange->policy.runs));
	carry_out(exchange, verdict, dw_attempt_end_name(end));
}

/* Whether the answer is long against the prompt, so that it loads an engine cheaply. */
static bool is_long(const struct exchange *exchange)
{
	const struct request_fields *fields = &exchange->fields;
	uint32_t expected = fields->expected_tokens_out > 0 ? fields->expected_tokens_out
							    : fields->prompt.tokens_out_max;

	return fields->has_prompt && expected >= LONG_ANSWER_TOKENS &&
	       expected * LONG_PROMPT_FACTOR >= fields->prompt.tokens_in;
}

static void describe_choice(struct exchange *exchange, struct dw_choice *choice, uint64_t now_us)
{
	struct router *router = exchange->router;

	*choice = (struct dw_choice){
		.service = exchange->service_name,
		.model = exchange->model,
		.body_bytes = exchange->request.body_len,
		.failure_domain = router->settings->failure_domain,
		.evacuated = &router->view->evacuated,
		.cold = router_cold_share(router, exchange->service, now_us),
		.random = router_random(router),
		.now_us = now_us,
	};
	if (exchange->fields.has_prompt && exchange->service && exchange->service->batch_slots) {
		const char *model = exchange->model ? exchange->model : exchange->fields.model;

		choice->prompt = &exchange->fields.prompt;
		choice->is_long_answer = is_long(exchange);
		choice->speed = router_speed(router, model ? model : "");
		choice->kv_tokens = exchange->service->kv_tokens;
	}
	for (uint32_t i = 0; i < exchange->tried_count; i++)
		choice->tried[choice->tried_count++] = exchange->tried[i];
}

static void note_tried(struct exchange *exchange, const struct dw_engine *engine)
{
	uint32_t at = exchange->tried_count;

	if (at == DW_CHOICE_TRIED_MAX)
		at--;
	else
		exchange->tried_count++;
	memcpy(exchange->tried[at], engine->entry.id, sizeof(exchange->tried[at]));
}

static int urgency_of(const struct exchange *exchange)
{
	uint32_t of_route = exchange->route->priority;
	uint32_t urgency = of_route;

	if (!exchange->service || exchange->service->batch_slots == 0)
		return -1;
	/* The organisation's goes first; among equal ones the route's orders the requests. */
	if (exchange->organisation && exchange->organisation->has_priority)
		urgency = exchange->organisation->priority * URGENCY_STEP +
			  (of_route < URGENCY_STEP ? of_route : URGENCY_STEP - 1);
	return urgency < URGENCY_MOST ? (int)urgency : URGENCY_MOST;
}

static void note_version(struct exchange *exchange, const struct dw_chosen *chosen, uint64_t now_us)
{
	memcpy(exchange->version, chosen->engine->entry.version, sizeof(exchange->version));
	exchange->sent_at_us = now_us;
	exchange->expected_us = chosen->expected_us;
	exchange->begun_at_us = 0;
	exchange->load_permille = 0;
	pin_session(exchange);
}

static void start_attempt(struct exchange *exchange, const struct dw_choice *choice,
			  const struct dw_chosen *chosen)
{
	uint64_t now_us = choice->now_us;
	uint64_t left_us = exchange->policy.deadline_us - now_us;
	uint64_t silent_us = choice->prompt ? SILENT_STREAM_US : SILENT_PLAIN_US;
	struct engine_request to = {
		.engine_id = chosen->engine->entry.id,
		.organisation = exchange->organisation ? exchange->organisation->name : NULL,
		.model = exchange->model,
		.time_left_ms = (uint32_t)(left_us / DW_US_PER_MS),
		.urgency = urgency_of(exchange),
		.is_resumed = exchange->order.has_last,
		.last_event_id = exchange->order.last_id,
	};
	struct attempt_options options = {
		.chosen = chosen,
		.attempt_id = exchange->fields.attempt_id,
		.wants_seal = true,
		.speed = exchange->order.has_last
				 ? NULL
				 : router_speed(exchange->router,
						choice->model ? choice->model : ""),
	};
	struct bytes request = { 0 };

	engine_request_write(&request, exchange->request.head, exchange->request.body,
			     exchange->request.body_len, &to);
	options.request = request.data;
	options.request_len = request.len;
	if (exchange->sends++ > 0)
		router_take_repeat(exchange->router, exchange->service_name, now_us);
	note_tried(exchange, chosen->engine);
	if (choice->prompt)
		dw_prefix_cache_use(chosen->engine->cache, dw_model_hash(choice->model),
				    choice->prompt);
	dw_request_policy_sent(&exchange->policy);
	exchange->connect_due_us = now_us + CONNECT_TIMEOUT_US;
	expect_more(exchange, silent_us + SILENT_EXPECTED_FACTOR * chosen->expected_us);
	note_version(exchange, chosen, now_us);
	exchange->attempt = attempt_start(exchange->router, &options, &attempt_calls, exchange);
	bytes_free(&request);
	if (!exchange->attempt) {
		after_attempt(exchange, DW_ATTEMPT_NOT_SENT);
		return;
	}
	set_timer(exchange);
}

static uint64_t split_hash(const struct exchange *exchange)
{
	const char *text =
		exchange->fields.session ? exchange->fields.session : exchange->fields.attempt_id;

	return dw_rendezvous_key(text, strlen(text));
}

static void use_largest_model(struct exchange *exchange, struct dw_choice *choice)
{
	const struct dw_route_rule *route = exchange->route;

	exchange->rung = route->model_count - 1;
	exchange->model = route->models[exchange->rung];
	choice->model = exchange->model;
	if (choice->prompt)
		choice->speed = router_speed(exchange->router, exchange->model);
}

/* The version that a shift of the service wants for this request. */
static void apply_shift(struct exchange *exchange, struct dw_choice *choice)
{
	struct shifts *shifts = &exchange->router->view->shifts;
	const struct dw_shift *shift = shifts_find(shifts, exchange->service_name);
	uint64_t session_us = exchange->router->settings->session_timeout_ms * DW_US_PER_MS;
	struct dw_shift_request request = { .hash = split_hash(exchange),
					    .is_long = is_long(exchange) };
	struct dw_shift_demand demand;

	if (!shift)
		return;
	if (exchange->fields.session)
		request.pinned_version = dw_session_pins_find(
			shifts->pins, exchange->service_name, exchange->fields.session,
			choice->now_us > session_us ? choice->now_us - session_us : 0);
	request.new_engines =
		dw_engine_set_count_version(exchange->router->view->engines, exchange->service_name,
					    shift->order.target_version, choice->now_us);
	demand = dw_shift_demand_of(shift, &request, choice->now_us);
	choice->required_version = demand.required_version;
	choice->subset_permille = demand.engines_permille;
	if (demand.is_load_test && exchange->model)
		use_largest_model(exchange, choice);
	choice->avoided_version = demand.avoided_version;
}

static enum dw_choice_result choose_engine(struct exchange *exchange, struct dw_choice *choice,
					   struct dw_chosen *chosen)
{
	struct dw_engine_set *engines = exchange->router->view->engines;
	enum dw_choice_result result;

	apply_shift(exchange, choice);
	result = dw_engine_choose(engines, choice, chosen);
	if (result == DW_CHOICE_FOUND || !choice->required_version)
		return result;
	/* The few engines that are to carry it can't: any of that version does, and while none of
	 * them can, one of the old version serves. */
	choice->subset_permille = 0;
	result = dw_engine_choose(engines, choice, chosen);
	if (result == DW_CHOICE_FOUND)
		return result;
	choice->avoided_version = choice->required_version;
	choice->required_version = NULL;
	return dw_engine_choose(engines, choice, chosen);
}

static void send_to_engine(struct exchange *exchange)
{
	uint64_t now_us = dw_clock_now_us();
	enum dw_choice_result result;
	struct dw_choice choice;
	struct dw_chosen chosen;

	if (exchange->organisation &&
	    !view_is_fresh(exchange->router->view, exchange->request.arrived_at_us)) {
		give_up(exchange, "the configuration isn't known to be fresh");
		return;
	}
	describe_choice(exchange, &choice, now_us);
	result = choose_engine(exchange, &choice, &chosen);
	if (result == DW_CHOICE_FOUND) {
		exchange->rate_due_us = 0;
		start_attempt(exchange, &choice, &chosen);
		return;
	}
	if (result == DW_CHOICE_COLD_LIMIT && exchange->rate_due_us == 0)
		exchange->rate_due_us = now_us + WAIT_FOR_RATE_US;
	if (result == DW_CHOICE_COLD_LIMIT && now_us < exchange->rate_due_us) {
		set_timer(exchange);
		return;
	}
	give_up(exchange, dw_choice_result_name(result));
}

static double cost_of(const struct dw_service_rule *service, const char *model)
{
	for (uint32_t i = 0; service && i < service->model_count; i++) {
		if (strcmp(service->models[i].name, model) == 0)
			return service->models[i].cost;
	}
	return 0;
}

/* Which of the route's models is asked first; the caller's choice stays where it made one. */
static void choose_model(struct exchange *exchange, uint64_t now_us)
{
	const struct dw_route_rule *route = exchange->route;
	double costs[DW_CATALOG_MODELS_MAX];
	bool may_repeat;

	if (route->model_count == 0 || !exchange->fields.model ||
	    strcmp(exchange->fields.model, "*") != 0)
		return;
	for (uint32_t i = 0; i < route->model_count; i++)
		costs[i] = cost_of(exchange->service, route->models[i]);
	may_repeat = exchange->policy.max_runs > 1 &&
		     router_repeats_left(exchange->router, exchange->service_name, now_us) >=
			     REPEATS_RESERVED;
	exchange->rung = dw_ladder_first(router_ladder(exchange->router, route->name), costs,
					 route->model_count, may_repeat);
	exchange->model = route->models[exchange->rung];
}

static void begin(struct exchange *exchange)
{
	const struct request_fields *fields = &exchange->fields;
	uint64_t now_us = exchange->request.arrived_at_us;
	uint64_t caller_deadline_us =
		fields->has_deadline ? now_us + fields->time_left_ms * DW_US_PER_MS : 0;

	exchange->service_name = dw_route_pick_service(exchange->route, split_hash(exchange));
	exchange->service = dw_catalog_service(exchange->catalog, exchange->service_name);
	exchange->order.has_last = fields->is_resumed;
	exchange->order.last_id = fields->last_event_id;
	dw_request_policy_init(&exchange->policy, exchange->route, caller_deadline_us, now_us);
	if (!dw_planned_stop_admits(&exchange->router->stop, exchange->route->kind,
				    exchange->policy.deadline_us, now_us)) {
		refuse(exchange, DW_UNAVAILABLE, "the instance is stopping");
		return;
	}
	router_count_request(exchange->router, exchange->service_name, now_us);
	choose_model(exchange, now_us);
	send_to_engine(exchange);
}

/* Checks what allows the request; @return true if it may go on. */
static bool admit(struct exchange *exchange, const char **reason, int *status,
		  enum dw_status *error)
{
	const struct request_fields *fields = &exchange->fields;
	char path[2048];

	snprintf(path, sizeof(path), "%.*s", (int)strcspn(exchange->request.head->target, "?"),
		 exchange->request.head->target);
	exchange->route = dw_catalog_match(exchange->catalog, fields->host, path);
	if (!exchange->route) {
		*reason = "no route";
		*status = 404;
		*error = DW_NOT_FOUND;
		return false;
	}
	if (!dw_catalog_needs_keys(exchange->catalog) || exchange->route->is_public)
		return true;
	if (fields->api_key)
		exchange->organisation = dw_catalog_key_holder(exchange->catalog, fields->api_key);
	if (exchange->organisation)
		return true;
	*reason = "unknown key";
	*status = 401;
	*error = DW_UNAUTHENTICATED;
	return false;
}

static struct exchange *exchange_new(struct router *router, struct caller *caller,
				     const struct caller_request *request)
{
	struct exchange *exchange = calloc(1, sizeof(*exchange));

	if (!exchange)
		abort();
	exchange->router = router;
	exchange->caller = caller;
	exchange->request = *request;
	exchange->catalog = dw_catalog_hold(router->view->catalog);
	uv_timer_init(router->loop, &exchange->timer);
	exchange->timer.data = exchange;
	router->in_progress++;
	return exchange;
}

static const char *phrase_of(int status)
{
	return status == 404 ? "Not Found" : "Unauthorized";
}

static void log_refused_unread(struct router *router, const struct http_head *head,
			       const char *reason)
{
	dw_counters_add(router->counters, DW_COUNTER_REQUESTS_REFUSED, 1);
	dw_log_event(router->log, DW_EVENT_REQUEST_REFUSED, DW_STR("target", head->target),
		     DW_STR("reason", reason));
}

struct exchange *exchange_start(struct router *router, struct caller *caller,
				const struct caller_request *request)
{
	struct request_fields fields;
	struct exchange *exchange;
	const char *reason = "";
	enum dw_status error = DW_OK;
	int status = 0;

	dw_counters_add(router->counters, DW_COUNTER_REQUESTS, 1);
	if (request_fields_read(request->head, &fields) != DW_OK) {
		dw_counters_add(router->counters, DW_COUNTER_BAD_INPUTS, 1);
		log_refused_unread(router, request->head, dw_last_message());
		reply_error(caller, 400, "Bad Request", DW_INVALID_ARGUMENT, NOT_RUN_PROVEN,
			    dw_last_message(), 0);
		return NULL;
	}
	if (!router->view->catalog) {
		log_refused_unread(router, request->head, "no configuration yet");
		reply_error(caller, 503, "Service Unavailable", DW_NO_CONFIGURATION, NOT_RUN_PROVEN,
			    "no configuration yet", RETRY_AFTER_LEAST_MS);
		return NULL;
	}
	exchange = exchange_new(router, caller, request);
	exchange->fields = fields;
	if (admit(exchange, &reason, &status, &error)) {
		begin(exchange);
		return exchange->is_over ? NULL : exchange;
	}
	dw_counters_add(router->counters, DW_COUNTER_REQUESTS_REFUSED, 1);
	log_end(exchange, DW_EVENT_REQUEST_REFUSED, status, reason);
	exchange_close(exchange);
	reply_error(caller, status, phrase_of(status), error, NOT_RUN_PROVEN, reason, 0);
	return NULL;
}

void exchange_caller_left(struct exchange *exchange)
{
	if (exchange->attempt)
		attempt_abort(exchange->attempt, DW_ENGINE_LEFT);
	exchange->attempt = NULL;
	dw_counters_add(exchange->router->counters, DW_COUNTER_CALLERS_GONE, 1);
	log_end(exchange, DW_EVENT_CALLER_GONE, 0, "the caller left");
	exchange_close(exchange);
}

void exchange_caller_drained(struct exchange *exchange)
{
	if (exchange->attempt)
		attempt_pause(exchange->attempt, false);
}
