#include "wharf-gateway/exchange_state.h"

#include <stdlib.h>
#include <string.h>

#include "base/clock.h"

/* A plain answer is held until it is whole, and passed on in parts of this length if it is longer. */
#define HELD_MOST_BYTES (1U << 20)

/* An event of a stream was read whole. */
static void on_event(const char *data, size_t data_len, const char *raw, size_t raw_len,
		     void *context)
{
	struct exchange *exchange = context;
	uint64_t id;

	if (exchange->is_out_of_order)
		return;
	if (dw_event_parse_id(raw, raw_len, &id)) {
		switch (dw_event_order_check(&exchange->order, id)) {
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
	if (!exchange->policy.has_response_started) {
		exchange->policy.has_response_started = true;
		exchange->first_byte_at_us = dw_clock_now_us();
		caller_begin(exchange->caller, exchange->answer.status, "",
			     &exchange->answer.fields, CALLER_CHUNKED);
	}
	caller_write(exchange->caller, raw, raw_len);
}

/* Something came of the attempt: it is given up unless more does within @p limit_us. */
void exchange_restart_silence_timeout(struct exchange *exchange, uint64_t limit_us)
{
	exchange->silent_since_us = dw_clock_now_us();
	if (!exchange->policy.is_idempotent || exchange->policy.runs >= exchange->policy.max_runs)
		exchange->silence_due_us = 0;
	else
		exchange->silence_due_us = exchange->silent_since_us + limit_us;
}

/* An attempt has ended with an answer or a failure that tells of its engine's version. */
void exchange_count_version_result(struct exchange *exchange, bool failed)
{
	uint64_t now_us = dw_clock_now_us();
	/* An answer that didn't begin took at least until now. */
	uint64_t begun_us = exchange->begun_at_us > 0 ? exchange->begun_at_us : now_us;
	struct dw_shift_answer answer = {
		.failed = failed,
		.first_byte_us =
			begun_us > exchange->sent_at_us ? begun_us - exchange->sent_at_us : 0,
		.expected_first_byte_us = exchange->expected_us,
		.load_permille = exchange->load_permille,
	};

	shifts_count_answer(&exchange->router->view->shifts, exchange->service_name,
			    exchange->version, &answer, now_us);
}

/* Whether a smaller model's answer is dropped, and the largest one asked instead. */
static bool wants_larger_model(struct exchange *exchange, const struct response_fields *fields)
{
	const struct dw_route_rule *route = exchange->route;
	struct router *router = exchange->router;
	uint64_t now_us = dw_clock_now_us();
	struct dw_escalation_context situation = {
		.now_us = now_us,
		.target_at_us =
			exchange->request.arrived_at_us + route->target_latency_ms * DW_US_PER_MS,
		.deadline_us = exchange->policy.deadline_us,
		.target_permille = (uint32_t)router->settings->quality_target_permille,
		.load_permille = exchange->load_permille,
	};
	struct dw_choice_request choice;
	struct dw_choice_selection chosen;

	if (!exchange->model || !fields->has_confidence)
		return false;
	dw_escalation_record(router_escalation_stats(router, route->name), exchange->rung,
			     fields->confidence, situation.target_permille);
	if (exchange->rung + 1 >= route->model_count || exchange->policy.has_response_started ||
	    !dw_request_policy_may_send(&exchange->policy, now_us) ||
	    router_retries_left(router, exchange->service_name, now_us) < RETRIES_RESERVED)
		return false;
	exchange_init_choice(exchange, &choice, now_us);
	choice.model = route->models[route->model_count - 1];
	choice.speed = router_speed(router, choice.model);
	choice.tried_count = 0;
	if (exchange_choose_engine(exchange, &choice, &chosen) != DW_CHOICE_FOUND)
		return false;
	situation.largest_expected_us = chosen.expected_us;
	return !dw_escalation_should_keep(&situation, fields->confidence);
}

static void ask_larger_model(struct exchange *exchange)
{
	attempt_abort(exchange->attempt, DW_ENGINE_CANCELLED);
	exchange->attempt = NULL;
	exchange->rung = exchange->route->model_count - 1;
	exchange->model = exchange->route->models[exchange->rung];
	exchange->tried_count = 0;
	exchange_after_attempt(exchange, DW_ATTEMPT_DROPPED);
}

static bool on_answer_head(void *owner, const struct http_head *head,
			   const struct response_fields *fields)
{
	struct exchange *exchange = owner;
	bool is_stream = exchange->route->kind == DW_ROUTE_STREAM && head->status < 300;

	exchange->begun_at_us = dw_clock_now_us();
	if (fields->has_load && fields->slots > 0)
		exchange->load_permille =
			(fields->running + fields->waiting) * 1000 / fields->slots;
	if (exchange->policy.has_response_started)
		return is_stream; /* a stream that goes on keeps the head of its first engine */
	exchange->answer.status = head->status;
	exchange->answer.is_stream = is_stream;
	exchange->answer.confidence = fields->confidence;
	exchange->answer.fields.len = 0;
	exchange->held.len = 0;
	response_fields_forward(&exchange->answer.fields, head);
	if (is_stream && wants_larger_model(exchange, fields)) {
		ask_larger_model(exchange);
		return false;
	}
	exchange_restart_silence_timeout(exchange, STREAM_GAP_TIMEOUT_US);
	exchange_set_timer(exchange);
	return true;
}

/* A plain answer is too long to be held: what there is of it goes out, the rest as it comes. */
static void pass_on_held(struct exchange *exchange)
{
	if (!exchange->policy.has_response_started) {
		exchange->policy.has_response_started = true;
		exchange->first_byte_at_us = dw_clock_now_us();
		caller_begin(exchange->caller, exchange->answer.status, "",
			     &exchange->answer.fields, CALLER_CHUNKED);
	}
	caller_write(exchange->caller, exchange->held.data, exchange->held.len);
	exchange->held.len = 0;
	if (caller_is_congested(exchange->caller))
		attempt_pause(exchange->attempt, true);
}

static bool on_answer_body(void *owner, const char *bytes, size_t len)
{
	struct exchange *exchange = owner;

	if (!exchange->answer.is_stream) {
		bytes_put(&exchange->held, bytes, len);
		if (exchange->held.len > HELD_MOST_BYTES)
			pass_on_held(exchange);
		return true;
	}
	if (event_stream_feed(&exchange->events, bytes, len, on_event, exchange) != DW_OK ||
	    exchange->is_out_of_order)
		return false;
	exchange_restart_silence_timeout(exchange, STREAM_GAP_TIMEOUT_US);
	if (caller_is_congested(exchange->caller))
		attempt_pause(exchange->attempt, true);
	return true;
}

static void on_answer_end(void *owner)
{
	struct exchange *exchange = owner;

	exchange->attempt = NULL;
	if (exchange->answer.status >= 500) {
		exchange_after_attempt(exchange, DW_ATTEMPT_SERVER_ERROR);
		return;
	}
	if (exchange->answer.is_stream && exchange->events.len > 0) {
		/* The rest of an event: the engine broke off where its framing said the end. */
		event_stream_clear(&exchange->events);
		exchange_after_attempt(exchange, DW_ATTEMPT_CUT);
		return;
	}
	exchange_count_version_result(exchange, false);
	if (exchange->first_byte_at_us == 0)
		exchange->first_byte_at_us = dw_clock_now_us();
	exchange_pass_on(exchange);
}

static void on_attempt_over(void *owner, enum dw_attempt_outcome end)
{
	struct exchange *exchange = owner;

	exchange->attempt = NULL;
	exchange_after_attempt(exchange, end);
}

/* Silence and an engine's own time limit tell of its load as well. */
bool exchange_counts_as_version_failure(const struct exchange *exchange,
					enum dw_attempt_outcome end)
{
	return end == DW_ATTEMPT_CUT || end == DW_ATTEMPT_INVALID ||
	       (end == DW_ATTEMPT_SERVER_ERROR && exchange->answer.status != 504);
}

const struct attempt_callbacks exchange_attempt_callbacks = { on_answer_head, on_answer_body,
							      on_answer_end, on_attempt_over };
