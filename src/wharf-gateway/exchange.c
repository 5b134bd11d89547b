#include "wharf-gateway/exchange.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <dragonflywharf/silence.h>

#include "base/clock.h"
#include "wharf-gateway/exchange_answer.h"
#include "wharf-gateway/exchange_reply.h"
#include "wharf-gateway/exchange_silence.h"

/* Time limit for connecting to an engine; a connection that takes longer is expected to fail. */
#define CONNECT_TIMEOUT_US (500 * DW_US_PER_MS)
/* How long a request waits for the end of suspects, and how often it tries again. */
#define SEND_WAIT_MAX_US (250 * DW_US_PER_MS)
#define SEND_WAIT_POLL_US (50 * DW_US_PER_MS)
/* The same while it isn't known whether its engine ended under it. */
#define VERDICT_POLL_US (5 * DW_US_PER_MS)

static void send_to_engine(struct exchange *exchange);
static void set_timer(struct exchange *exchange);
static void after_attempt(struct exchange *exchange, enum dw_attempt_outcome outcome);
static void on_timer(uv_timer_t *timer);

static void wait_until(struct exchange *exchange, uint64_t send_at_us)
{
	exchange->send_retry_at_us = send_at_us;
	exchange->send_wait_deadline_us = send_at_us + SEND_WAIT_MAX_US;
	set_timer(exchange);
}

static void send_again(struct exchange *exchange)
{
	if (dw_clock_now_us() >= exchange->send_not_before_us)
		send_to_engine(exchange);
	else
		wait_until(exchange, exchange->send_not_before_us);
}

static void apply_verdict(struct exchange *exchange, enum dw_policy_verdict verdict,
			  const char *reason)
{
	switch (verdict) {
	case DW_POLICY_SEND_AGAIN:
		send_again(exchange);
		break;
	case DW_POLICY_PASS_ON:
		exchange_pass_on(exchange);
		break;
	case DW_POLICY_REFUSE:
		exchange_refuse(exchange, DW_OVERLOADED, reason);
		break;
	case DW_POLICY_FAIL:
		exchange_fail(exchange, 502, "Bad Gateway", DW_UPSTREAM_FAILED, reason);
		break;
	case DW_POLICY_EXPIRE:
		exchange_fail(exchange, 504, "Gateway Timeout", DW_TIMEOUT, reason);
		break;
	case DW_POLICY_BREAK_OFF:
		exchange_break_off(exchange, reason);
		break;
	case DW_POLICY_VERDICT_COUNT:
		break;
	}
}

static void give_up(struct exchange *exchange, const char *reason)
{
	apply_verdict(exchange, dw_request_policy_give_up(&exchange->policy, dw_clock_now_us()),
		      reason);
}

/* When the attempt in progress times out; UINT64_MAX: only with the request. */
static uint64_t attempt_deadline_us(const struct exchange *exchange)
{
	uint64_t due_us =
		exchange->silence_deadline_us > 0 ? exchange->silence_deadline_us : UINT64_MAX;

	if (!attempt_is_connected(exchange->attempt) && exchange->connect_deadline_us < due_us)
		due_us = exchange->connect_deadline_us;
	return due_us;
}

static void set_timer(struct exchange *exchange)
{
	uint64_t now_us = dw_clock_now_us();
	uint64_t due_us = exchange->policy.deadline_us;

	if (exchange->attempt && attempt_deadline_us(exchange) < due_us)
		due_us = attempt_deadline_us(exchange);
	if (!exchange->attempt && exchange->send_wait_deadline_us > 0 &&
	    exchange->send_retry_at_us < due_us)
		due_us = exchange->send_retry_at_us;
	uv_timer_start(&exchange->timer, on_timer,
		       due_us > now_us ? (due_us - now_us + DW_US_PER_MS - 1) / DW_US_PER_MS : 0,
		       0);
}

/* Closes the attempt's connection, if there is an attempt, and counts it as ended. */
static void abort_attempt(struct exchange *exchange, enum attempt_abandonment why,
			  enum dw_engine_outcome engine_outcome)
{
	if (!exchange->attempt)
		return;
	if (why != ATTEMPT_INSTANCE_STOPS)
		exchange_count_version_wait(exchange);
	attempt_abort(exchange->attempt, why, engine_outcome);
	exchange->attempt = NULL;
	exchange_count_version_end(exchange, false);
}

/* The attempt wasn't connected in time, or its engine is silent. */
static void give_up_attempt(struct exchange *exchange, uint64_t now_us)
{
	bool is_connected = attempt_is_connected(exchange->attempt);

	attempt_abort(exchange->attempt, ATTEMPT_ENGINE_SILENT,
		      is_connected ? DW_ENGINE_NO_RESPONSE : DW_ENGINE_UNREACHABLE);
	exchange->attempt = NULL;
	exchange->connection = ATTEMPT_CONNECTION_SILENT;
	if (is_connected)
		exchange->send_not_before_us =
			dw_silence_resend_at_us(exchange->route->kind, now_us);
	after_attempt(exchange, is_connected ? DW_ATTEMPT_NO_ANSWER : DW_ATTEMPT_NOT_SENT);
}

static void on_timer(uv_timer_t *timer)
{
	struct exchange *exchange = timer->data;
	uint64_t now_us = dw_clock_now_us();

	if (now_us >= exchange->policy.deadline_us) {
		abort_attempt(exchange, ATTEMPT_DEADLINE_PASSED,
			      exchange->answer_started_at_us > 0 ? DW_ENGINE_CANCELLED
								 : DW_ENGINE_NO_RESPONSE);
		give_up(exchange, "the time limit has passed");
	} else if (exchange->attempt && now_us >= attempt_deadline_us(exchange) &&
		   !exchange_silence_should_wait(exchange, now_us)) {
		give_up_attempt(exchange, now_us);
	} else if (!exchange->attempt && exchange->send_wait_deadline_us > 0 &&
		   now_us >= exchange->send_retry_at_us) {
		send_to_engine(exchange);
	} else {
		set_timer(exchange);
	}
}

/* An engine that has turned the request away for a while may be asked again after that. */
static void forget_paused_engine(struct exchange *exchange, uint64_t now_us)
{
	const struct dw_engine *engine;

	if (exchange->tried_count == 0)
		return;
	engine = dw_engine_set_find(exchange->router->view->engines,
				    exchange->tried[exchange->tried_count - 1]);
	if (engine && dw_engine_is_paused(engine, now_us))
		exchange->tried_count--;
}

static void after_attempt(struct exchange *exchange, enum dw_attempt_outcome outcome)
{
	uint64_t now_us = dw_clock_now_us();
	bool may_retry = router_retries_left(exchange->router, exchange->service_name, now_us) > 0;
	enum dw_policy_verdict verdict =
		dw_request_policy_ended(&exchange->policy, outcome, may_retry, now_us);

	exchange_count_version_end(exchange, false);
	if (outcome == DW_ATTEMPT_NO_ANSWER)
		exchange_count_version_wait(exchange);
	if (exchange_counts_as_version_failure(exchange, outcome))
		exchange_count_version_result(exchange, true);
	else if (outcome == DW_ATTEMPT_DROPPED || outcome == DW_ATTEMPT_NO_ANSWER)
		exchange_count_version_result(exchange, false);

	event_stream_clear(&exchange->events);
	exchange->is_out_of_order = false;
	dw_counters_add(exchange->router->counters, DW_COUNTER_ATTEMPTS_FAILED, 1);
	if (!may_retry)
		dw_counters_add(exchange->router->counters, DW_COUNTER_RETRIES_DENIED, 1);
	exchange_log_attempt_failed(exchange, outcome, verdict, may_retry);
	if (outcome == DW_ATTEMPT_REJECTED)
		forget_paused_engine(exchange, now_us);
	apply_verdict(exchange, verdict, dw_attempt_outcome_name(outcome));
}

static void add_tried_engine(struct exchange *exchange, const struct dw_engine *engine)
{
	uint32_t at = exchange->tried_count;

	if (at == DW_CHOICE_TRIED_MAX)
		at--;
	else
		exchange->tried_count++;
	memcpy(exchange->tried[at], engine->entry.id, sizeof(exchange->tried[at]));
}

static void record_send(struct exchange *exchange, const struct dw_choice_selection *chosen,
			uint64_t now_us)
{
	memcpy(exchange->version, chosen->engine->entry.version, sizeof(exchange->version));
	exchange->attempt_sent_at_us = now_us;
	exchange->attempt_nominal_us = chosen->nominal_us;
	exchange->expected_us = chosen->expected_us;
	exchange->answer_started_at_us = 0;
	exchange->is_wait_counted = false;
	exchange->load_permille = 0;
	exchange_silence_restart(exchange);
	exchange_count_version_sent(exchange);
	exchange_pin_session(exchange);
}

static void start_attempt(struct exchange *exchange, const struct dw_choice_request *choice,
			  const struct dw_choice_selection *chosen)
{
	uint64_t now_us = choice->now_us;
	uint64_t remaining_us = exchange->policy.deadline_us - now_us;
	struct engine_request engine_fields = {
		.engine_id = chosen->engine->entry.id,
		.organisation = exchange->organisation ? exchange->organisation->name : NULL,
		.model = exchange->model,
		.time_left_ms = (uint32_t)(remaining_us / DW_US_PER_MS),
		.urgency = exchange_urgency(exchange),
		.is_resumed = exchange->order.has_last,
		.last_event_id = exchange->order.last_id,
	};
	struct attempt_options options = {
		.chosen = chosen,
		.attempt_id = exchange->fields.attempt_id,
		.run = &exchange->run,
		.is_suspect = exchange->is_suspect,
		.suspect = exchange->suspect,
		.requires_signature = true,
		.speed = exchange->order.has_last
				 ? NULL
				 : router_speed(exchange->router,
						choice->model ? choice->model : ""),
		.work_stats = choice->work_stats
				      ? router_work_stats(exchange->router, exchange->service_name)
				      : NULL,
	};
	struct bytes request = { 0 };

	engine_request_write(&request, exchange->request.head, exchange->request.body,
			     exchange->request.body_len, &engine_fields);
	options.request = request.data;
	options.request_len = request.len;
	if (exchange->send_count++ > 0)
		router_take_retry(exchange->router, exchange->service_name, now_us);
	add_tried_engine(exchange, chosen->engine);
	if (choice->prompt)
		dw_prefix_cache_touch(chosen->engine->cache, dw_model_hash(choice->model),
				      choice->prompt);
	dw_request_policy_sent(&exchange->policy);
	exchange->connection = ATTEMPT_CONNECTION_KEPT;
	exchange->connect_deadline_us = now_us + CONNECT_TIMEOUT_US;
	exchange->has_timed_prompt = choice->prompt != NULL;
	record_send(exchange, chosen, now_us);
	exchange->attempt =
		attempt_start(exchange->router, &options, &exchange_attempt_callbacks, exchange);
	bytes_free(&request);
	if (!exchange->attempt) {
		after_attempt(exchange, DW_ATTEMPT_NOT_SENT);
		return;
	}
	set_timer(exchange);
}

/* Tries again to send the request later. @return false if it has waited long enough */
static bool wait_to_send(struct exchange *exchange, uint64_t poll_us, uint64_t now_us)
{
	if (exchange->send_wait_deadline_us == 0)
		exchange->send_wait_deadline_us = now_us + SEND_WAIT_MAX_US;
	if (now_us >= exchange->send_wait_deadline_us)
		return false;
	exchange->send_retry_at_us = now_us + poll_us;
	set_timer(exchange);
	return true;
}

static void refuse_quarantined(struct exchange *exchange, const char *reason)
{
	if (exchange->policy.runs == 0 && !exchange->policy.has_response_started)
		exchange_refuse(exchange, DW_QUARANTINED, reason);
	else
		give_up(exchange, reason);
}

/* Whether the request may be sent now, so that it doesn't end engine after engine; if not, it waits or
 * has been answered. */
static bool passes_crash_guard(struct exchange *exchange, uint64_t now_us)
{
	exchange->has_suspicion = false;
	exchange->is_suspect = false;
	exchange->suspicion = DW_CHOICE_STRICT;
	switch (crash_guard_check(&exchange->router->view->guard, &exchange->run, now_us,
				  &exchange->suspect)) {
	case CRASH_GUARD_RUN:
	case CRASH_GUARD_VERDICT_COUNT:
		return true;
	case CRASH_GUARD_RUN_WATCHED:
		exchange->has_suspicion = true;
		exchange->suspicion = DW_CHOICE_WATCHED;
		return true;
	case CRASH_GUARD_RUN_SPARING:
		exchange->has_suspicion = true;
		exchange->suspicion = DW_CHOICE_SPARING;
		return true;
	case CRASH_GUARD_RUN_DOUBTFUL:
		exchange->has_suspicion = true;
		exchange->is_suspect = true;
		exchange->suspicion = DW_CHOICE_DOUBTFUL;
		return true;
	case CRASH_GUARD_RUN_AS_SUSPECT:
		exchange->has_suspicion = true;
		exchange->is_suspect = true;
		return true;
	case CRASH_GUARD_UNDECIDED:
		exchange->has_suspicion = true;
		exchange->is_suspect = true;
		return !wait_to_send(exchange, VERDICT_POLL_US, now_us);
	case CRASH_GUARD_RUNS_ALREADY:
		if (!wait_to_send(exchange, SEND_WAIT_POLL_US, now_us))
			give_up(exchange, "an engine has ended under this request, which runs");
		return false;
	case CRASH_GUARD_QUARANTINED:
		refuse_quarantined(exchange,
				   "quarantined: engines ended while they ran this request");
		return false;
	case CRASH_GUARD_PART_QUARANTINED:
		refuse_quarantined(exchange, "quarantined: engines ended while they ran requests "
					     "with a part of this prompt");
		return false;
	}
	return true;
}

static enum dw_choice_result choose_engine(struct exchange *exchange,
					   struct dw_choice_request *choice,
					   struct dw_choice_selection *chosen, uint64_t now_us)
{
	enum dw_choice_result result;

	exchange_init_choice(exchange, choice, now_us);
	result = exchange_choose_engine(exchange, choice, chosen);
	if (result == DW_CHOICE_FOUND || !exchange->has_suspicion ||
	    !dw_choice_may_run_anywhere(exchange->router->view->engines, choice,
					exchange->suspicion, result))
		return result;
	exchange->has_suspicion = false;
	exchange_init_choice(exchange, choice, now_us);
	return exchange_choose_engine(exchange, choice, chosen);
}

static const struct admission_callbacks capacity_callbacks = { send_to_engine, give_up };

static void wait_for_capacity(struct exchange *exchange, const struct dw_choice_request *choice,
			      enum dw_choice_result result, uint64_t now_us)
{
	/* From here on the queue says when to try again. With the end of an earlier wait left in place, the
	 * timer would be due at once, again and again. */
	exchange->send_wait_deadline_us = 0;
	admission_gate_wait(exchange, choice, result, &capacity_callbacks, now_us);
	if (!exchange->is_finished)
		set_timer(exchange);
}

static void send_to_engine(struct exchange *exchange)
{
	uint64_t now_us = dw_clock_now_us();
	enum dw_choice_result result;
	struct dw_choice_request choice;
	struct dw_choice_selection chosen;

	if (exchange->organisation &&
	    !view_is_fresh(exchange->router->view, exchange->request.arrived_at_us)) {
		give_up(exchange, "the configuration isn't known to be fresh");
		return;
	}
	if (!passes_crash_guard(exchange, now_us))
		return;
	if (admission_gate_must_wait(exchange, now_us)) {
		wait_for_capacity(exchange, NULL, DW_CHOICE_FOUND, now_us);
		return;
	}
	result = choose_engine(exchange, &choice, &chosen, now_us);
	switch (result) {
	case DW_CHOICE_FOUND:
		exchange->send_wait_deadline_us = 0;
		admission_gate_sent(exchange, now_us);
		start_attempt(exchange, &choice, &chosen);
		return;
	case DW_CHOICE_PAUSED:
	case DW_CHOICE_FULL:
	case DW_CHOICE_COLD_LIMIT:
		wait_for_capacity(exchange, &choice, result, now_us);
		return;
	case DW_CHOICE_BESIDE_SUSPECTS:
		if (wait_to_send(exchange, SEND_WAIT_POLL_US, now_us))
			return;
		break;
	default:
		break;
	}
	give_up(exchange, dw_choice_result_name(result));
}

static void route_request(struct exchange *exchange)
{
	const struct request_fields *fields = &exchange->fields;
	uint64_t now_us = exchange->request.arrived_at_us;
	uint64_t caller_deadline_us =
		fields->has_deadline ? now_us + fields->time_left_ms * DW_US_PER_MS : 0;

	exchange->service_name =
		dw_route_pick_service(exchange->route, exchange_split_hash(exchange));
	exchange->service = dw_catalog_service(exchange->catalog, exchange->service_name);
	if (exchange->service && exchange->service->is_unreadable) {
		exchange_refuse(exchange, DW_UNAVAILABLE,
				"the configuration of this service can't be read");
		return;
	}
	exchange->order.has_last = fields->is_resumed;
	exchange->order.last_id = fields->last_event_id;
	dw_request_policy_init(&exchange->policy, exchange->route, caller_deadline_us, now_us);
	if (!dw_graceful_shutdown_accepts(&exchange->router->stop, exchange->route->kind,
					  exchange->policy.deadline_us, now_us)) {
		exchange_refuse(exchange, DW_UNAVAILABLE, "the instance is stopping");
		return;
	}
	exchange->policy.deadline_us = dw_graceful_shutdown_deadline_us(
		&exchange->router->stop, exchange->policy.deadline_us);
	exchange_identify(exchange);
	router_count_request(exchange->router, exchange->service_name, now_us);
	exchange_choose_model(exchange, now_us);
	send_to_engine(exchange);
}

static const struct exchange_listener listener = {
	.on_answered = exchange_pass_on,
	.on_attempt_failed = after_attempt,
};

static struct exchange *exchange_new(struct router *router, struct caller *caller,
				     const struct caller_request *request)
{
	struct exchange *exchange = calloc(1, sizeof(*exchange));

	if (!exchange)
		abort();
	exchange->router = router;
	exchange->caller = caller;
	exchange->listener = &listener;
	exchange->request = *request;
	exchange->catalog = dw_catalog_retain(view_catalog(router->view));
	uv_timer_init(router->loop, &exchange->timer);
	exchange->timer.data = exchange;
	router->in_progress++;
	return exchange;
}

/* Checks the request against the configuration in force and sends it. */
static void admit(struct exchange *exchange)
{
	const struct exchange_denial *denial = exchange_admit(exchange);
	struct caller *caller = exchange->caller;

	if (!denial) {
		route_request(exchange);
		return;
	}
	dw_counters_add(exchange->router->counters, DW_COUNTER_REQUESTS_REFUSED, 1);
	exchange_log_end(exchange, DW_EVENT_REQUEST_REFUSED, denial->status, denial->reason);
	exchange_close(exchange);
	exchange_reply_error(caller, denial->status, denial->phrase, denial->error, NOT_RUN_PROVEN,
			     denial->reason, 0);
}

static void log_early_refusal(struct router *router, const struct http_head *head,
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

	dw_counters_add(router->counters, DW_COUNTER_REQUESTS, 1);
	if (request_fields_read(request->head, &fields) != DW_OK) {
		dw_counters_add(router->counters, DW_COUNTER_BAD_INPUTS, 1);
		log_early_refusal(router, request->head, dw_last_message());
		exchange_reply_error(caller, 400, "Bad Request", DW_INVALID_ARGUMENT,
				     NOT_RUN_PROVEN, dw_last_message(), 0);
		return NULL;
	}
	exchange = exchange_new(router, caller, request);
	exchange->fields = fields;
	if (exchange->catalog)
		admit(exchange);
	else
		admission_gate_wait_for_config(exchange, admit);
	return exchange->is_finished ? NULL : exchange;
}

void exchange_caller_disconnected(struct exchange *exchange)
{
	abort_attempt(exchange, ATTEMPT_CALLER_LEFT, DW_ENGINE_CANCELLED);
	dw_counters_add(exchange->router->counters, DW_COUNTER_CALLERS_GONE, 1);
	exchange_log_end(exchange, DW_EVENT_CALLER_GONE, 0, "the caller left");
	exchange_close(exchange);
}

void exchange_stop(struct exchange *exchange)
{
	abort_attempt(exchange, ATTEMPT_INSTANCE_STOPS, DW_ENGINE_CANCELLED);
	give_up(exchange, "the instance ends");
}

void exchange_caller_drained(struct exchange *exchange)
{
	if (!exchange->attempt)
		return;
	attempt_pause(exchange->attempt, false);
	exchange_silence_restart(exchange);
}
