#include "dragonflywharfd/attempt.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include "net/event_stream.h"
#include "dragonflywharfd/upstream_table.h"

#define ATTEMPT_ID_BYTES 40
#define ANSWER_MAX_BYTES (16U << 20)
#define NUMBER_BYTES 24
#define CONTENT_TYPE_BYTES 96
#define END_MARKER "[DONE]"
/** Time that an upstream gets to stop a cancelled request before the permit is released. */
#define CANCEL_GRACE_US (500 * DW_US_PER_MS)
/** The same after a broken connection, as the request may keep running at the upstream. */
#define CONNECTION_LOST_GRACE_US (2 * DW_US_PER_S)

struct buffer {
	char *base;
	size_t len;
};

struct attempt {
	struct daemon *daemon;
	struct attempt_options options; /* its strings are valid only in attempt_start() */
	char id[ATTEMPT_ID_BYTES];
	char request_id[ATTEMPT_ID_BYTES];
	char upstream_name[DW_NAME_MAX_BYTES + 1];
	char content_type[CONTENT_TYPE_BYTES];
	uint64_t upstream_id;
	uint64_t incarnation; /* of the upstream, as known at the start */
	struct dw_permit permit;
	struct dw_load_sample sample;
	struct dw_http_call *call;
	struct event_stream stream;
	struct buffer body;
	uint64_t started_us;
	uint64_t first_token_us;
	int http_status;
	enum dw_status read_status; /* not DW_OK if another attempt's answer, or too long */
	bool end_marker;
	bool send_refused; /* not sent: the upstream became cold or was removed */
	bool cold; /* whether the upstream was cold when the permit was acquired */
	bool has_length;
	bool abandoned;
	bool may_be_earlier_refusal;
};

/* A permit kept after its attempt, until the request must have ended at the upstream. */
struct held_permit {
	struct daemon *daemon;
	struct dw_permit permit;
	uv_timer_t timer;
};

static void on_permit_timer_closed(uv_handle_t *handle)
{
	free(handle->data);
}

static void on_permit_timer(uv_timer_t *timer)
{
	struct held_permit *held = timer->data;

	dw_limiter_release(held->daemon->limiter, &held->permit, dw_clock_now_us());
	uv_close((uv_handle_t *)timer, on_permit_timer_closed);
	daemon_pump(held->daemon);
}

static void release_later(struct attempt *attempt, uint64_t grace_us)
{
	struct held_permit *held = calloc(1, sizeof(*held));

	if (!held)
		abort();
	held->daemon = attempt->daemon;
	held->permit = attempt->permit;
	uv_timer_init(&attempt->daemon->loop, &held->timer);
	held->timer.data = held;
	uv_update_time(&attempt->daemon->loop);
	uv_timer_start(&held->timer, on_permit_timer, grace_us / DW_US_PER_MS, 0);
}

static void release_permit(struct attempt *attempt, const struct dw_http_result *result)
{
	if (result->progress == DW_HTTP_NOT_SENT || result->status == DW_OK)
		dw_limiter_release(attempt->daemon->limiter, &attempt->permit, dw_clock_now_us());
	else if (result->status == DW_UPSTREAM_FAILED)
		release_later(attempt, CONNECTION_LOST_GRACE_US);
	else
		release_later(attempt, CANCEL_GRACE_US);
}

static void append_body(struct attempt *attempt, const char *bytes, size_t len)
{
	struct buffer *body = &attempt->body;

	if (body->len + len > ANSWER_MAX_BYTES) {
		attempt->read_status = dw_fail(DW_TOO_LARGE, "the upstream's answer is too long");
		dw_http_cancel(attempt->call);
		return;
	}
	body->base = realloc(body->base, body->len + len + 1);
	if (!body->base)
		abort();
	memcpy(body->base + body->len, bytes, len);
	body->len += len;
	body->base[body->len] = '\0';
}

static void on_stream_event(const char *data, size_t data_len, const char *raw, size_t raw_len,
			    void *context)
{
	struct attempt *attempt = context;

	if (attempt->abandoned || attempt->read_status != DW_OK)
		return;
	if (data_len == strlen(END_MARKER) && strncmp(data, END_MARKER, data_len) == 0)
		attempt->end_marker = true;
	attempt->options.on_event(data, data_len, raw, raw_len, attempt->options.owner);
}

static void on_body(struct dw_http_call *call, const char *bytes, size_t len, void *data)
{
	struct attempt *attempt = data;

	if (attempt->abandoned || attempt->read_status != DW_OK)
		return;
	if (attempt->options.mode == ATTEMPT_BUFFERED || attempt->http_status != 200) {
		append_body(attempt, bytes, len);
		return;
	}
	if (event_stream_feed(&attempt->stream, bytes, len, on_stream_event, attempt) != DW_OK) {
		attempt->read_status = DW_TOO_LARGE;
		dw_http_cancel(call);
	}
}

static bool may_send(struct dw_http_call *call, void *data)
{
	struct attempt *attempt = data;

	attempt->send_refused = !upstream_table_may_send(attempt->daemon->upstreams,
							 attempt->upstream_id, attempt->cold);
	return !attempt->send_refused;
}

/* Without an id, a refusal on a connection that was used before may be an earlier one that comes once
 * more, while the upstream runs this request. */
static bool may_be_earlier_refusal(const struct attempt *attempt, const struct dw_http_call *call,
				   const char *id)
{
	return !id && (attempt->http_status == 429 || attempt->http_status == 503) &&
	       dw_http_call_may_be_reused(call);
}

static void on_head(struct dw_http_call *call, int http_status, void *data)
{
	struct attempt *attempt = data;
	const char *incarnation = dw_http_call_header(call, "x-upstream-incarnation");
	const char *id;
	const char *type;

	attempt->http_status = http_status;
	if (incarnation)
		upstream_table_incarnation_seen(attempt->daemon->upstreams, attempt->upstream_id,
						strtoull(incarnation, NULL, 10));
	type = dw_http_call_header(call, "content-type");
	snprintf(attempt->content_type, sizeof(attempt->content_type), "%s",
		 type ? type : "application/octet-stream");
	attempt->has_length = dw_http_call_header(call, "content-length") != NULL;
	id = dw_http_call_header(call, "x-attempt-id");
	attempt->may_be_earlier_refusal = may_be_earlier_refusal(attempt, call, id);
	if (!id || strcmp(id, attempt->id) == 0)
		return;
	attempt->read_status = dw_fail(DW_UPSTREAM_FAILED, "the answer belongs to another attempt");
	dw_counters_add(&attempt->daemon->counters, DW_COUNTER_CROSSED_ANSWERS, 1);
	dw_log_event(&attempt->daemon->log, DW_EVENT_LATE_ANSWER_DROPPED,
		     DW_STR("request", attempt->request_id), DW_STR("attempt", attempt->id),
		     DW_STR("answer_to", id));
	dw_http_cancel(call);
}

/* Returns the status of the attempt, given the result of its HTTP call. */
static enum dw_status attempt_status(const struct attempt *attempt,
				     const struct dw_http_result *result)
{
	if (attempt->read_status != DW_OK)
		return attempt->read_status;
	if (attempt->options.mode != ATTEMPT_STREAMED || attempt->http_status != 200)
		return result->status;
	/* Nothing follows the end marker, so a connection that breaks after it cuts nothing off. */
	if (attempt->end_marker && result->status == DW_UPSTREAM_FAILED)
		return DW_OK;
	if (result->status == DW_OK && !attempt->end_marker)
		return dw_fail(DW_UPSTREAM_FAILED, "the stream ended without its end marker");
	return result->status;
}

static void log_end(struct attempt *attempt, enum dw_status status, int http_status)
{
	bool succeeded = status == DW_OK && http_status < 500;

	dw_log_event(&attempt->daemon->log,
		     succeeded ? DW_EVENT_ATTEMPT_ENDED : DW_EVENT_ATTEMPT_FAILED,
		     DW_STR("request", attempt->request_id), DW_STR("attempt", attempt->id),
		     DW_STR("upstream", attempt->upstream_name),
		     DW_STR("status", dw_status_name(status)), DW_INT("http_status", http_status),
		     DW_INT("duration_us", dw_clock_now_us() - attempt->started_us));
	if (!succeeded)
		dw_counters_add(&attempt->daemon->counters, DW_COUNTER_ATTEMPTS_FAILED, 1);
}

/* The upstream may still work on the request, although nobody waits for it any more. */
static void record_abandonment(const struct attempt *attempt)
{
	struct dw_abandoned_run run = {
		.upstream = { attempt->upstream_id, attempt->incarnation },
		.request = attempt->options.fingerprint,
		.sent_at_us = attempt->started_us,
		.abandoned_at_us = dw_clock_now_us(),
	};

	upstream_table_attempt_abandoned(attempt->daemon->upstreams, attempt->upstream_id, &run);
}

static void update_upstream(struct attempt *attempt, const struct dw_http_result *result,
			    enum dw_status status)
{
	struct upstream_table *table = attempt->daemon->upstreams;
	struct upstream *upstream = upstream_table_find(table, attempt->upstream_id);
	bool succeeded = status == DW_OK && attempt->http_status < 500;
	bool has_sample = succeeded && attempt->sample.output_tokens > 0;

	attempt->sample.total_us = dw_clock_now_us() - attempt->started_us;
	if (attempt->first_token_us)
		attempt->sample.first_token_us = attempt->first_token_us - attempt->started_us;
	upstream_table_attempt_ended(table, attempt->upstream_id, attempt->options.fingerprint,
				     has_sample ? &attempt->sample : NULL);
	if (result->progress != DW_HTTP_NOT_SENT &&
	    (result->status == DW_CANCELLED || result->status == DW_TIMEOUT))
		record_abandonment(attempt);
	if (result->status == DW_UPSTREAM_FAILED || result->status == DW_UNAVAILABLE)
		upstream_table_connection_lost(table, attempt->upstream_id,
					       attempt->options.fingerprint, attempt->incarnation);
	if (attempt->http_status == 503 || attempt->http_status == 429)
		upstream_table_overloaded(table, attempt->upstream_id);
	if (!upstream || attempt->abandoned)
		return;
	upstream->consecutive_failures = succeeded ? 0 : upstream->consecutive_failures + 1;
	if (succeeded) {
		struct dw_retry_budget_options options = dw_retry_budget_default_options();

		dw_retry_budget_success(&upstream->budget, &options, dw_clock_now_us());
	}
}

static void on_done(struct dw_http_call *call, const struct dw_http_result *result, void *data)
{
	struct attempt *attempt = data;
	struct daemon *daemon = attempt->daemon;
	struct attempt_end end = {
		.status = attempt_status(attempt, result),
		.progress = result->progress,
		.http_status = attempt->http_status,
		.content_type = attempt->content_type,
		.has_length = attempt->has_length,
		.may_be_earlier_refusal = attempt->may_be_earlier_refusal,
		.send_refused = attempt->send_refused,
		.body = attempt->body.base ? attempt->body.base : "",
		.body_len = attempt->body.len,
		.sample = &attempt->sample,
	};
	bool complete = end.status == DW_OK && end.http_status == 200;

	log_end(attempt, end.status, end.http_status);
	/* A failure is recorded before on_end, as that may start another attempt; a success after
	 * it, as on_end sets the token counts. */
	if (!complete)
		update_upstream(attempt, result, end.status);
	release_permit(attempt, result);
	if (!attempt->abandoned)
		attempt->options.on_end(&end, attempt->options.owner);
	if (complete)
		update_upstream(attempt, result, end.status);
	event_stream_clear(&attempt->stream);
	free(attempt->body.base);
	free(attempt);
	daemon_pump(daemon);
}

static void start_call(struct attempt *attempt)
{
	const struct attempt_options *options = &attempt->options;
	const struct upstream *upstream = options->choice->upstream;
	char timeout_ms[NUMBER_BYTES];
	uint64_t now_us = dw_clock_now_us();
	uint64_t remaining_us = options->deadline_us > now_us ? options->deadline_us - now_us : 0;
	struct dw_http_name_value headers[] = {
		{ "content-type", options->content_type },
		{ "x-attempt-id", attempt->id },
		{ "x-request-id", attempt->request_id },
		{ "x-organisation", options->organisation },
		{ "x-request-timeout-ms", timeout_ms },
		{ "idempotency-key", options->idempotency_key },
	};
	size_t count = sizeof(headers) / sizeof(headers[0]);
	struct dw_http_call_options call = {
		.ip = upstream->ip,
		.port = upstream->port,
		.method = options->method,
		.path = options->path,
		.headers = headers,
		.header_count = options->idempotency_key ? count : count - 1,
		.body = options->body,
		.body_len = options->body_len,
		.deadline_us = options->deadline_us,
		.may_send = may_send,
		.on_head = on_head,
		.on_body = on_body,
		.on_done = on_done,
		.data = attempt,
	};

	snprintf(timeout_ms, sizeof(timeout_ms), "%" PRIu64, remaining_us / DW_US_PER_MS + 1);
	attempt->call = dw_http_call(attempt->daemon->client, &call);
}

struct attempt *attempt_start(struct daemon *daemon, const struct attempt_options *options)
{
	struct attempt *attempt = calloc(1, sizeof(*attempt));
	struct upstream *upstream = options->choice->upstream;

	if (!attempt)
		abort();
	attempt->daemon = daemon;
	attempt->options = *options;
	attempt->upstream_id = upstream->id;
	attempt->cold = upstream->reported_cold;
	attempt->incarnation = upstream->warmup.incarnation;
	attempt->permit = options->choice->permit;
	attempt->sample.load_at_dispatch = options->choice->load;
	attempt->started_us = dw_clock_now_us();
	snprintf(attempt->upstream_name, sizeof(attempt->upstream_name), "%s", upstream->name);
	snprintf(attempt->request_id, sizeof(attempt->request_id), "%s", options->request_id);
	snprintf(attempt->id, sizeof(attempt->id), "%016" PRIx64 "%016" PRIx64,
		 daemon_random(daemon), daemon_random(daemon));
	dw_counters_add(&daemon->counters, DW_COUNTER_ATTEMPTS, 1);
	dw_log_event(&daemon->log, DW_EVENT_ATTEMPT_STARTED, DW_STR("request", attempt->request_id),
		     DW_STR("attempt", attempt->id), DW_STR("upstream", upstream->name),
		     DW_STR("serves", options->serves),
		     DW_STR("organisation", options->organisation),
		     DW_STR("failure_domain", upstream->failure_domain),
		     DW_INT("cold", upstream->reported_cold));
	upstream_table_attempt_started(daemon->upstreams, upstream, options->fingerprint);
	start_call(attempt);
	return attempt;
}

void attempt_token_received(struct attempt *attempt)
{
	if (attempt->first_token_us != 0)
		return;
	attempt->first_token_us = dw_clock_now_us();
	dw_log_event(&attempt->daemon->log, DW_EVENT_ATTEMPT_FIRST_TOKEN,
		     DW_STR("request", attempt->request_id), DW_STR("attempt", attempt->id),
		     DW_INT("duration_us", attempt->first_token_us - attempt->started_us));
}

void attempt_pause(struct attempt *attempt)
{
	dw_http_pause(attempt->call);
}

void attempt_resume(struct attempt *attempt)
{
	dw_http_resume(attempt->call);
}

void attempt_abandon(struct attempt *attempt)
{
	attempt->abandoned = true;
	dw_http_cancel(attempt->call);
}
