/* Turns an upstream's answer into the caller's: rating, release, usage record and end. */
#include <stdlib.h>
#include <string.h>

#include "dragonflywharfd/chat_request_state.h"
#include "dragonflywharfd/ledger_sync.h"
#include "dragonflywharfd/request_headers.h"

/** With more bytes than this queued for a slow caller, reading from the upstream is paused. */
#define PAUSE_READING_BYTES (256U << 10)
#define SESSION_LIFETIME_US (UINT64_C(7) * 24 * 3600 * DW_US_PER_S)
#define SERVED_VERSION_BYTES (2 * DW_NAME_MAX_BYTES + 2)

static void add_answer_headers(struct chat_request *request)
{
	const struct chat_step *requested = &request->steps[request->step_count - 1];
	const struct chat_step *served = chat_request_step(request);
	struct dw_session_claims claims = { .issued_us = dw_clock_wall_us() };
	char token[DW_SESSION_TOKEN_BYTES];
	char name[SERVED_VERSION_BYTES];

	claims.expires_us = claims.issued_us + SESSION_LIFETIME_US;
	snprintf(claims.model, sizeof(claims.model), "%s", requested->model);
	snprintf(claims.version, sizeof(claims.version), "%s", requested->version);
	snprintf(name, sizeof(name), "%s/%s", served->model, served->version);
	dw_http_add_header(request->exchange, "x-served-version", name);
	dw_http_add_header(request->exchange, "x-request-id", request->id);
	if (request->session_moved)
		dw_http_add_header(request->exchange, "x-session-moved", "1");
	if (dw_session_token_create(&request->daemon->session_keys, request->organisation, &claims,
				    token) == DW_OK)
		dw_http_add_header(request->exchange, "x-session-token", token);
}

static void append_held_back(struct chat_request *request, const char *bytes, size_t len)
{
	request->held_back = realloc(request->held_back, request->held_back_len + len);
	if (!request->held_back)
		abort();
	memcpy(request->held_back + request->held_back_len, bytes, len);
	request->held_back_len += len;
}

static void record_done(struct chat_request *request)
{
	const struct chat_step *step = chat_request_step(request);

	dw_counters_add(&request->daemon->counters, DW_COUNTER_REQUESTS_DONE, 1);
	request_headers_credit_budget(request->daemon, request->organisation_id);
	dw_log_event(&request->daemon->log, DW_EVENT_REQUEST_DONE, DW_STR("request", request->id),
		     DW_STR("organisation", request->organisation), DW_STR("model", step->model),
		     DW_STR("version", step->version),
		     DW_INT("completion_tokens", request->usage.completion_tokens),
		     DW_INT("duration_us", dw_clock_now_us() - request->received_us));
}

/* The ledger has confirmed the usage record: sends the part of the answer that was held back. */
static void on_usage_confirmed(void *owner)
{
	struct chat_request *request = owner;
	struct dw_http_exchange *exchange = request->exchange;

	request->pending--;
	request->exchange = NULL;
	if (exchange) {
		record_done(request);
		if (request->body.stream) {
			dw_http_stream_write(exchange, request->held_back, request->held_back_len);
			dw_http_stream_end(exchange, true);
		} else {
			dw_http_respond(exchange, 200, "application/json", request->held_back,
					request->held_back_len);
		}
		chat_rating_rate_sample(request);
	}
	if (!request->ended)
		chat_request_end(request);
	chat_request_free_if_done(request);
}

static uint64_t answer_cost_micros(struct chat_request *request)
{
	const struct chat_step *step = chat_request_step(request);
	const struct dw_version *version =
		dw_ruleset_version(request->daemon->ruleset, step->model, step->version);

	if (!version)
		return 0;
	return version->cost_micros_per_1k_tokens * request->usage.completion_tokens / 1000;
}

/* Writes the usage record of a complete answer; on_usage_confirmed() sends what was held back. */
static void record_usage(struct chat_request *request)
{
	const struct chat_step *step = chat_request_step(request);
	struct dw_usage_record record = {
		.request_id = request->request_id,
		.prompt_tokens = request->usage.prompt_tokens,
		.completion_tokens = request->usage.completion_tokens,
		.cost_micros = answer_cost_micros(request),
		.finished_at_us = dw_clock_wall_us(),
	};

	snprintf(record.organisation, sizeof(record.organisation), "%s", request->organisation);
	snprintf(record.model, sizeof(record.model), "%s", step->model);
	snprintf(record.version, sizeof(record.version), "%s", step->version);
	request->reserved = false;
	request->pending++;
	dispatcher_finish(request->daemon->dispatcher, &request->queue_entry);
	ledger_sync_append(request->daemon->ledger_sync, &record, on_usage_confirmed, request);
}

static void on_drained(struct dw_http_exchange *exchange, void *data)
{
	struct chat_request *request = data;

	if (request->attempt)
		attempt_resume(request->attempt);
}

static void start_stream(struct chat_request *request)
{
	if (request->answer_started)
		return;
	request->answer_started = true;
	add_answer_headers(request);
	dw_http_on_drained(request->exchange, on_drained, request);
	dw_http_stream_start(request->exchange, 200, "text/event-stream");
}

static void release_buffered(struct chat_request *request, const char *body, size_t len)
{
	if (request->body.stream) {
		char *events = chat_answer_as_stream(body, len);

		start_stream(request);
		append_held_back(request, events, strlen(events));
		free(events);
	} else {
		add_answer_headers(request);
		append_held_back(request, body, len);
	}
	record_usage(request);
}

static void drop_held_back(struct chat_request *request)
{
	free(request->held_back);
	request->held_back = NULL;
	request->held_back_len = 0;
}

static void release_held_back(struct chat_request *request)
{
	char *body = request->held_back;
	size_t len = request->held_back_len;

	request->held_back = NULL;
	request->held_back_len = 0;
	release_buffered(request, body, len);
	free(body);
}

static void on_rated(struct chat_request *request, bool release)
{
	bool last = chat_request_at_last_step(request);

	if (request->ended)
		return;
	if (!release && !last) {
		drop_held_back(request);
		chat_request_next_step(request);
	} else if (!release && chat_request_rerun(request)) {
		drop_held_back(request);
	} else {
		if (!last)
			dw_counters_add(&request->daemon->counters, DW_COUNTER_CASCADE_RELEASED, 1);
		release_held_back(request);
	}
}

void chat_answer_buffered(struct chat_request *request, const char *body, size_t len)
{
	char *content = NULL;
	enum dw_status status = chat_answer_read(body, len, &request->usage, &content);

	if (status != DW_OK) {
		request->may_have_run = true;
		chat_request_fail(request, status, dw_last_message());
		return;
	}
	if (!chat_request_at_last_step(request) || request->rates_before_release) {
		append_held_back(request, body, len);
		chat_rating_rate_before_release(request, content, on_rated);
	} else {
		chat_rating_add_content(request, content, strlen(content));
		release_buffered(request, body, len);
	}
	free(content);
}

void chat_answer_stream_event(struct chat_request *request, const char *data, size_t data_len,
			      const char *raw, size_t raw_len)
{
	char *content = NULL;
	bool is_end = data_len == strlen("[DONE]") && strncmp(data, "[DONE]", data_len) == 0;

	if (!request->exchange)
		return;
	if (!is_end && data_len > 0 &&
	    chat_chunk_read(data, data_len, &request->usage, &content) != DW_OK)
		return;
	if (content) {
		chat_rating_add_content(request, content, strlen(content));
		free(content);
		request->content_events++;
		attempt_token_received(request->attempt);
	}
	start_stream(request);
	if (is_end) {
		append_held_back(request, raw, raw_len);
		return;
	}
	dw_http_stream_write(request->exchange, raw, raw_len);
	if (dw_http_stream_queued(request->exchange) > PAUSE_READING_BYTES)
		attempt_pause(request->attempt);
}

void chat_answer_stream_ended(struct chat_request *request)
{
	if (!request->usage.is_reported) {
		request->usage.prompt_tokens = request->body.prompt_tokens;
		request->usage.completion_tokens = request->content_events;
	}
	record_usage(request);
}
