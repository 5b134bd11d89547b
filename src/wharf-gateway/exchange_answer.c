#include "wharf-gateway/exchange_answer.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>

#include "base/clock.h"
#include "wharf-gateway/exchange_silence.h"

/* A non-streaming answer is buffered until it is complete, so that the request can still be retried;
 * a longer one is flushed whenever the buffer exceeds this size. */
#define MAX_BUFFERED_BODY_BYTES (1U << 20)
/* More of the body of a refusal that isn't passed on isn't read. */
#define MAX_DROPPED_BODY_BYTES (64U << 10)
/* First character of a comment in an event stream. */
#define EVENT_COMMENT ':'

static void record_gap(struct exchange *exchange, uint64_t now_us)
{
	uint64_t gap_us = now_us - exchange->last_event_at_us;

	if (exchange->last_event_at_us > 0 && gap_us > exchange->longest_gap_us)
		exchange->longest_gap_us = gap_us;
	exchange->last_event_at_us = now_us;
}

/* Forwards a complete event of the stream, without repeats, and stops where a continuation must begin with an
 * event that has an id and doesn't. */
static void on_event(const char *data, size_t data_len, const char *raw, size_t raw_len,
		     void *context)
{
	struct exchange *exchange = context;
	uint64_t id;

	if (exchange->is_out_of_order)
		return;
	if (!dw_event_parse_id(raw, raw_len, &id)) {
		if (exchange->is_continuation_due) {
			exchange->is_out_of_order = raw[0] != EVENT_COMMENT;
			return;
		}
	} else {
		exchange->is_continuation_due = false;
		if (dw_event_order_check(&exchange->order, id) == DW_EVENT_REPEATED)
			return;
	}
	if (!exchange->policy.has_response_started) {
		exchange->policy.has_response_started = true;
		exchange->policy.is_stream_started = true;
		exchange->first_byte_at_us = dw_clock_now_us();
		caller_begin(exchange->caller, exchange->answer.status, "",
			     &exchange->answer.fields, CALLER_CHUNKED);
	}
	record_gap(exchange, dw_clock_now_us());
	caller_write(exchange->caller, raw, raw_len);
}

/* A request that was refused before it was routed has no route. */
static struct shift_request shift_request(const struct exchange *exchange)
{
	return (struct shift_request){
		.number = exchange->shift_number,
		.version = exchange->version,
		.route = exchange->route ? exchange->route->name : "",
		.sent_at_us = exchange->attempt_sent_at_us,
		.is_load_test = exchange->is_load_test,
	};
}

void exchange_count_version_sent(struct exchange *exchange)
{
	struct shift_request request = shift_request(exchange);

	exchange->shift_number = shifts_count_sent(&exchange->router->view->shifts,
						   exchange->service_name, &request);
}

void exchange_count_version_end(struct exchange *exchange, bool is_good)
{
	struct shift_request request = shift_request(exchange);

	if (exchange->shift_number == 0 && !is_good)
		return;
	exchange->shift_number = 0;
	shifts_count_end(&exchange->router->view->shifts, exchange->service_name, &request, is_good,
			 exchange->load_permille, dw_clock_now_us());
}

void exchange_count_version_wait(struct exchange *exchange)
{
	uint64_t now_us = dw_clock_now_us();
	struct shift_request request = shift_request(exchange);
	struct dw_shift_wait wait = {
		.waited_us = now_us - exchange->attempt_sent_at_us,
		.expected_us = exchange->attempt_nominal_us,
		.has_started = exchange->answer_started_at_us > 0,
	};

	if (exchange->is_wait_counted || exchange->attempt_sent_at_us == 0)
		return;
	exchange->is_wait_counted = true;
	shifts_count_wait(&exchange->router->view->shifts, exchange->service_name, &request, &wait,
			  exchange->load_permille, now_us);
}

void exchange_count_version_result(struct exchange *exchange, bool failed)
{
	uint64_t now_us = dw_clock_now_us();
	struct shift_request request = shift_request(exchange);
	/* The load of a complete answer is counted with its end. */
	struct dw_shift_answer answer = {
		.failed = failed,
		.load_permille = failed ? exchange->load_permille : 0,
	};

	shifts_count_answer(&exchange->router->view->shifts, exchange->service_name, &request,
			    &answer, now_us);
}

/* Whether to drop the answer of a smaller model and ask the largest one instead. */
static bool needs_largest_model(struct exchange *exchange, const struct response_fields *fields)
{
	const struct dw_route_rule *route = exchange->route;
	struct router *router = exchange->router;
	uint64_t now_us = dw_clock_now_us();
	struct dw_escalation_context escalation_context = {
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
	dw_escalation_record(router_escalation_stats(router, route->name), exchange->model_index,
			     fields->confidence, escalation_context.target_permille);
	if (exchange->model_index + 1 >= route->model_count ||
	    exchange->policy.has_response_started ||
	    !dw_request_policy_may_send(&exchange->policy, now_us) ||
	    router_retries_left(router, exchange->service_name, now_us) < RETRIES_RESERVED)
		return false;
	exchange_init_choice(exchange, &choice, now_us);
	choice.model = route->models[route->model_count - 1];
	choice.speed = router_speed(router, choice.model);
	choice.tried_count = 0;
	if (exchange_choose_engine(exchange, &choice, &chosen) != DW_CHOICE_FOUND)
		return false;
	escalation_context.largest_expected_us = chosen.expected_us;
	return !dw_escalation_should_keep(&escalation_context, fields->confidence);
}

static void retry_with_largest_model(struct exchange *exchange)
{
	attempt_abort(exchange->attempt, ATTEMPT_ANSWER_DROPPED, DW_ENGINE_CANCELLED);
	exchange->attempt = NULL;
	exchange->model_index = exchange->route->model_count - 1;
	exchange->model = exchange->route->models[exchange->model_index];
	exchange->tried_count = 0;
	exchange->listener->on_attempt_failed(exchange, DW_ATTEMPT_DROPPED);
}

static const char *content_type(const struct http_head *head)
{
	const char *type = http_head_get(head, "Content-Type");

	return type ? type : "";
}

/* Whether the answer of the next engine is of the type that the caller was told. */
static bool has_type_of_stream(const struct exchange *exchange, const struct http_head *head)
{
	char type[sizeof(exchange->answer.type)];

	snprintf(type, sizeof(type), "%s", content_type(head));
	return strcasecmp(type, exchange->answer.type) == 0;
}

static bool on_answer_head(void *owner, const struct http_head *head,
			   const struct response_fields *fields)
{
	struct exchange *exchange = owner;
	bool is_stream = exchange->route->kind == DW_ROUTE_STREAM && head->status < 300;

	exchange->answer_started_at_us = dw_clock_now_us();
	if (fields->has_load && fields->slots > 0)
		exchange->load_permille =
			(fields->running + fields->waiting) * 1000 / fields->slots;
	exchange_count_version_wait(exchange);
	exchange->answer.shows_run = fields->is_signed && !head->ends_at_close;
	exchange->answer.began_at_us = 0;
	exchange_silence_restart(exchange);
	if (exchange->policy.has_response_started) {
		/* A resumed stream keeps the head that its first engine sent. */
		exchange->is_continuation_due = true;
		return is_stream && has_type_of_stream(exchange, head);
	}
	exchange->is_continuation_due = false;
	exchange->answer.status = head->status;
	exchange->answer.is_stream = is_stream;
	exchange->answer.is_unproven_refusal = fields->has_refusal_status;
	exchange->answer.dropped_bytes = 0;
	exchange->answer.has_no_body = head->has_no_body;
	exchange->answer.length = (size_t)head->content_length;
	exchange->answer.confidence = fields->confidence;
	exchange->answer.fields.len = 0;
	exchange->buffered_body.len = 0;
	response_fields_forward(&exchange->answer.fields, head);
	caller_set_answer_length(exchange->caller, head->has_content_length, head->content_length);
	snprintf(exchange->answer.type, sizeof(exchange->answer.type), "%s", content_type(head));
	if (is_stream && needs_largest_model(exchange, fields)) {
		retry_with_largest_model(exchange);
		return false;
	}
	return true;
}

/* Sends the buffered part of a long non-streaming answer to the caller. */
static void flush_buffered_body(struct exchange *exchange)
{
	if (!exchange->policy.has_response_started) {
		exchange->policy.has_response_started = true;
		exchange->first_byte_at_us = dw_clock_now_us();
		caller_begin(exchange->caller, exchange->answer.status, "",
			     &exchange->answer.fields, CALLER_CHUNKED);
	}
	caller_write(exchange->caller, exchange->buffered_body.data, exchange->buffered_body.len);
	exchange->buffered_body.len = 0;
	if (caller_is_congested(exchange->caller))
		attempt_pause(exchange->attempt, true);
}

static bool on_answer_body(void *owner, const char *bytes, size_t len)
{
	struct exchange *exchange = owner;

	if (exchange->answer.began_at_us == 0)
		exchange->answer.began_at_us = dw_clock_now_us();
	if (exchange->answer.is_unproven_refusal) {
		exchange->answer.dropped_bytes += len;
		return exchange->answer.dropped_bytes <= MAX_DROPPED_BODY_BYTES;
	}
	if (!exchange->answer.is_stream) {
		bytes_put(&exchange->buffered_body, bytes, len);
		if (exchange->buffered_body.len > MAX_BUFFERED_BODY_BYTES ||
		    caller_must_flush(exchange->caller, exchange->buffered_body.size))
			flush_buffered_body(exchange);
		exchange_silence_restart(exchange);
		return true;
	}
	if (event_stream_feed(&exchange->events, bytes, len, on_event, exchange) != DW_OK ||
	    exchange->is_out_of_order)
		return false;
	exchange_silence_restart(exchange);
	if (caller_is_congested(exchange->caller))
		attempt_pause(exchange->attempt, true);
	return true;
}

/* The run shows that the request doesn't crash its engine; a refusal by the engine's application shows
 * nothing about the parts of its prompt. */
static void clear_suspicions(struct exchange *exchange)
{
	struct crash_guard *guard = &exchange->router->view->guard;
	uint64_t began_at_us = exchange->answer.began_at_us;

	crash_guard_completed(guard, exchange->run.request, exchange->version);
	if (exchange->answer.status < 300 && began_at_us > 0)
		crash_guard_parts_completed(guard, &exchange->run.parts, exchange->version,
					    began_at_us);
}

static void on_answer_end(void *owner)
{
	struct exchange *exchange = owner;

	exchange->attempt = NULL;
	if (exchange->answer.is_unproven_refusal) {
		exchange->listener->on_attempt_failed(exchange, DW_ATTEMPT_UNPROVEN_REFUSAL);
		return;
	}
	if (exchange->answer.status >= 500) {
		exchange->listener->on_attempt_failed(exchange, DW_ATTEMPT_SERVER_ERROR);
		return;
	}
	if (exchange->answer.is_stream && exchange->events.len > 0) {
		/* The body ended in the middle of an event: the engine stopped early. */
		event_stream_clear(&exchange->events);
		exchange->listener->on_attempt_failed(exchange, DW_ATTEMPT_CUT);
		return;
	}
	if (exchange->answer.shows_run)
		clear_suspicions(exchange);
	exchange_count_version_end(exchange, true);
	exchange_count_version_result(exchange, false);
	if (exchange->first_byte_at_us == 0)
		exchange->first_byte_at_us = dw_clock_now_us();
	exchange->listener->on_answered(exchange);
}

static void on_attempt_failed(void *owner, enum dw_attempt_outcome outcome,
			      enum attempt_connection connection)
{
	struct exchange *exchange = owner;

	exchange->attempt = NULL;
	exchange->connection = connection;
	exchange->listener->on_attempt_failed(exchange, outcome);
}

/* Silence and an engine's own timeout (408, 504) aren't counted, as load causes them too. */
bool exchange_counts_as_version_failure(const struct exchange *exchange,
					enum dw_attempt_outcome outcome)
{
	uint16_t status = exchange->answer.status;

	return outcome == DW_ATTEMPT_CUT || outcome == DW_ATTEMPT_INVALID ||
	       (outcome == DW_ATTEMPT_SERVER_ERROR && status != 504) ||
	       (outcome == DW_ATTEMPT_UNPROVEN_REFUSAL && status != 408);
}

const struct attempt_callbacks exchange_attempt_callbacks = { on_answer_head, on_answer_body,
							      on_answer_end, on_attempt_failed };
