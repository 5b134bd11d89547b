#include "wharf-gateway/exchange_reply.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/clock.h"

/* A random part of this is added to Retry-After, so that refused callers don't return together. */
#define RETRY_AFTER_SPREAD_MS 400
/* Bytes of the text that names the parts of a prompt, including the NUL. */
#define PARTS_TEXT_BYTES (DW_PROMPT_PARTS_MAX * 17 + 1)

static void on_timer_closed(uv_handle_t *handle)
{
	struct exchange *exchange = handle->data;

	bytes_free(&exchange->answer.fields);
	bytes_free(&exchange->buffered_body);
	event_stream_clear(&exchange->events);
	dw_catalog_release(exchange->catalog);
	free(exchange);
}

void exchange_pin_session(struct exchange *exchange)
{
	if (exchange->fields.session && exchange->version[0])
		shifts_pin_session(&exchange->router->view->shifts, exchange->service_name,
				   exchange->fields.session, exchange->version, dw_clock_now_us());
}

void exchange_close(struct exchange *exchange)
{
	admission_gate_leave(exchange);
	exchange_pin_session(exchange);
	exchange->is_finished = true;
	exchange->caller = NULL;
	exchange->router->in_progress--;
	uv_close((uv_handle_t *)&exchange->timer, on_timer_closed);
}

/* Writes the ids of the prompt's parts, as the caller wrote them. */
static void parts_text(const struct exchange *exchange, char out[PARTS_TEXT_BYTES])
{
	const struct dw_prompt *prompt = &exchange->fields.prompt;
	size_t len = 0;

	out[0] = '\0';
	for (uint32_t i = 0; i < prompt->part_count; i++)
		len += (size_t)snprintf(out + len, PARTS_TEXT_BYTES - len,
					i > 0 ? ",%" PRIx64 : "%" PRIx64, prompt->parts[i].id);
}

void exchange_log_attempt_failed(const struct exchange *exchange, enum dw_attempt_outcome outcome,
				 enum dw_policy_verdict verdict, bool may_retry)
{
	char fingerprint[DW_FINGERPRINT_TEXT_BYTES];
	char parts[PARTS_TEXT_BYTES];

	dw_fingerprint_text(exchange->run.request, fingerprint);
	parts_text(exchange, parts);
	dw_log_event(exchange->router->log, DW_EVENT_ATTEMPT_FAILED,
		     DW_STR("request", exchange->fields.attempt_id),
		     DW_STR("engine", exchange->tried_count > 0
					      ? exchange->tried[exchange->tried_count - 1]
					      : ""),
		     DW_INT("confidence", exchange->answer.confidence),
		     DW_STR("end", dw_attempt_outcome_name(outcome)),
		     DW_INT("status", exchange->answer.status),
		     DW_STR("verdict", dw_policy_verdict_name(verdict)),
		     DW_STR("connection", attempt_connection_name(exchange->connection)),
		     DW_STR("fingerprint", fingerprint), DW_STR("parts", parts),
		     DW_INT("may_retry", may_retry), DW_INT("runs", exchange->policy.runs));
}

void exchange_log_end(struct exchange *exchange, enum dw_event event, int status,
		      const char *reason)
{
	uint64_t now_us = dw_clock_now_us();
	uint64_t arrived_us = exchange->request.arrived_at_us;
	uint64_t first_us = exchange->first_byte_at_us;
	char fingerprint[DW_FINGERPRINT_TEXT_BYTES];
	char parts[PARTS_TEXT_BYTES];

	dw_fingerprint_text(exchange->run.request, fingerprint);
	parts_text(exchange, parts);
	dw_log_event(
		exchange->router->log, event, DW_STR("request", exchange->fields.attempt_id),
		DW_STR("fingerprint", fingerprint), DW_STR("parts", parts),
		DW_STR("route", exchange->route ? exchange->route->name : ""),
		DW_STR("organisation", exchange->organisation ? exchange->organisation->name : ""),
		DW_STR("engine",
		       exchange->tried_count > 0 ? exchange->tried[exchange->tried_count - 1] : ""),
		DW_STR("model", exchange->model ? exchange->model : ""),
		DW_INT("config", exchange->catalog ? dw_catalog_version(exchange->catalog) : 0),
		DW_INT("config_age_ms",
		       (now_us - view_config_known_at_us(exchange->router->view)) / DW_US_PER_MS),
		DW_INT("sends", exchange->send_count),
		DW_INT("confidence", exchange->answer.confidence), DW_INT("status", status),
		DW_INT("first_ms", first_us > 0 ? (first_us - arrived_us) / DW_US_PER_MS : 0),
		DW_INT("gap_ms", exchange->longest_gap_us / DW_US_PER_MS),
		DW_INT("tokens_in", exchange->fields.prompt.tokens_in),
		DW_INT("tokens_hint", exchange->fields.expected_tokens_out),
		DW_INT("total_ms", (now_us - arrived_us) / DW_US_PER_MS), DW_STR("reason", reason));
}

void exchange_reply_error(struct caller *caller, int status, const char *phrase,
			  enum dw_status error, enum not_run not_run, const char *message,
			  uint32_t retry_after_ms)
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
	uint64_t now_us = dw_clock_now_us();
	uint64_t wait_ms = exchange->retry_not_before_us > now_us
				   ? (exchange->retry_not_before_us - now_us) / DW_US_PER_MS + 1
				   : 0;

	return RETRY_AFTER_MIN_MS + (uint32_t)wait_ms +
	       (uint32_t)(router_random(exchange->router) % RETRY_AFTER_SPREAD_MS);
}

void exchange_refuse(struct exchange *exchange, enum dw_status error, const char *reason)
{
	struct caller *caller = exchange->caller;

	dw_counters_add(exchange->router->counters, DW_COUNTER_REQUESTS_REFUSED, 1);
	histogram_add(&exchange->router->refusal,
		      dw_clock_now_us() - exchange->request.arrived_at_us);
	exchange_log_end(exchange, DW_EVENT_REQUEST_REFUSED, 503, reason);
	exchange_close(exchange);
	exchange_reply_error(caller, 503, "Service Unavailable", error, NOT_RUN_PROVEN, reason,
			     error == DW_QUARANTINED ? 0 : retry_after_ms(exchange));
}

void exchange_fail(struct exchange *exchange, int status, const char *phrase, enum dw_status error,
		   const char *reason)
{
	struct caller *caller = exchange->caller;

	dw_counters_add(exchange->router->counters, DW_COUNTER_REQUESTS_FAILED, 1);
	exchange_log_end(exchange, DW_EVENT_REQUEST_FAILED, status, reason);
	exchange_close(exchange);
	exchange_reply_error(caller, status, phrase, error, NOT_RUN_UNPROVEN, reason, 0);
}

void exchange_break_off(struct exchange *exchange, const char *reason)
{
	struct caller *caller = exchange->caller;

	dw_counters_add(exchange->router->counters, DW_COUNTER_REQUESTS_FAILED, 1);
	exchange_log_end(exchange, DW_EVENT_REQUEST_FAILED, exchange->answer.status, reason);
	exchange_close(exchange);
	caller_break_off(caller);
}

void exchange_pass_on(struct exchange *exchange)
{
	struct caller *caller = exchange->caller;
	bool is_failure = exchange->answer.status >= 500;
	uint64_t arrived_us = exchange->request.arrived_at_us;

	dw_counters_add(exchange->router->counters,
			is_failure ? DW_COUNTER_REQUESTS_FAILED : DW_COUNTER_REQUESTS_DONE, 1);
	exchange_log_end(exchange, is_failure ? DW_EVENT_REQUEST_FAILED : DW_EVENT_REQUEST_DONE,
			 exchange->answer.status, is_failure ? "engine's answer" : "");
	histogram_add(&exchange->router->whole_answer, dw_clock_now_us() - arrived_us);
	if (exchange->first_byte_at_us > 0)
		histogram_add(&exchange->router->first_byte,
			      exchange->first_byte_at_us - arrived_us);
	if (!exchange->policy.has_response_started)
		caller_begin(caller, exchange->answer.status, "", &exchange->answer.fields,
			     exchange->answer.has_no_body ? exchange->answer.length
							  : exchange->buffered_body.len);
	caller_write(caller, exchange->buffered_body.data, exchange->buffered_body.len);
	exchange_close(exchange);
	caller_end(caller);
}
