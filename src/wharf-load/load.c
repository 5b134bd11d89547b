#include "wharf-load/load.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/clock.h"

#define BODY_BYTES 16384
#define BEARER_BYTES 256
#define END_MARKER "data: [DONE]"
#define END_MARKER_BYTES 12
#define TAIL_BYTES 64

struct load_generator {
	uv_loop_t *loop;
	const struct load_options *options;
	struct dw_http_client *client;
	struct load_result result;
	uv_timer_t timer;
	char bearer[BEARER_BYTES];
	uint64_t started_count;
	uint64_t ended_count;
	uint64_t started_at_us;
	uint32_t in_flight;
};

struct request {
	struct load_generator *generator;
	uint64_t started_us;
	uint64_t first_byte_us;
	bool is_stream;
	char tail[TAIL_BYTES]; /* last bytes of the response, to find END_MARKER */
	size_t tail_len;
};

static void start_due_requests(struct load_generator *generator);

static void append_tail(struct request *request, const char *bytes, size_t len)
{
	size_t keep;

	if (len > TAIL_BYTES) {
		bytes += len - TAIL_BYTES;
		len = TAIL_BYTES;
	}
	keep = request->tail_len + len > TAIL_BYTES ? TAIL_BYTES - len : request->tail_len;
	memmove(request->tail, request->tail + request->tail_len - keep, keep);
	memcpy(request->tail + keep, bytes, len);
	request->tail_len = keep + len;
}

static void on_head(struct dw_http_call *call, int http_status, void *data)
{
	struct request *request = data;
	const char *type = dw_http_call_header(call, "content-type");

	request->is_stream = type && strcmp(type, "text/event-stream") == 0;
}

static void on_body(struct dw_http_call *call, const char *bytes, size_t len, void *data)
{
	struct request *request = data;

	if (request->first_byte_us == 0)
		request->first_byte_us = dw_clock_now_us();
	request->generator->result.body_bytes += len;
	append_tail(request, bytes, len);
}

static bool is_complete(const struct request *request)
{
	return !request->is_stream ||
	       memmem(request->tail, request->tail_len, END_MARKER, END_MARKER_BYTES) != NULL;
}

static void on_done(struct dw_http_call *call, const struct dw_http_result *http_result, void *data)
{
	struct request *request = data;
	struct load_generator *generator = request->generator;
	struct load_result *result = &generator->result;
	uint64_t now_us = dw_clock_now_us();

	generator->in_flight--;
	generator->ended_count++;
	if (http_result->http_status > 0 && http_result->http_status < LOAD_HTTP_STATUS_COUNT)
		result->by_status[http_result->http_status]++;
	if (http_result->status == DW_OK && http_result->http_status == 200 &&
	    is_complete(request)) {
		result->first_byte_us[result->completed] =
			(uint32_t)(request->first_byte_us - request->started_us);
		result->total_us[result->completed] = (uint32_t)(now_us - request->started_us);
		result->completed++;
	} else if (http_result->status != DW_OK || http_result->http_status == 200) {
		result->failed++;
	}
	result->duration_us = now_us - generator->started_at_us;
	free(request);
	start_due_requests(generator);
}

static void start_request(struct load_generator *generator)
{
	const struct load_options *options = generator->options;
	const struct dw_endpoint *target =
		&options->targets.items[generator->started_count % options->targets.count];
	struct request *request = calloc(1, sizeof(*request));
	const char *placeholder = strstr(options->body, "%u");
	char body[BODY_BYTES];
	struct dw_http_name_value headers[] = {
		{ "authorization", generator->bearer },
		{ "content-type", "application/json" },
	};
	struct dw_http_call_options call = {
		.ip = target->ip,
		.port = target->port,
		.method = "POST",
		.path = options->path,
		.headers = headers,
		.header_count = 2,
		.body = body,
		.deadline_us = dw_clock_now_us() + options->timeout_us,
		.on_head = on_head,
		.on_body = on_body,
		.on_done = on_done,
		.data = request,
	};

	if (!request)
		abort();
	request->generator = generator;
	request->started_us = dw_clock_now_us();
	if (placeholder)
		snprintf(body, sizeof(body), "%.*s%" PRIu64 "%s",
			 (int)(placeholder - options->body), options->body,
			 generator->started_count, placeholder + 2);
	else
		snprintf(body, sizeof(body), "%s", options->body);
	call.body_len = strlen(body);
	generator->started_count++;
	generator->in_flight++;
	dw_http_call(generator->client, &call);
}

/* Number of requests that should have started by now at the given rate. */
static uint64_t requests_due(const struct load_generator *generator)
{
	uint64_t elapsed_us = dw_clock_now_us() - generator->started_at_us;

	if (generator->options->interval_us == 0)
		return generator->options->requests;
	return elapsed_us / generator->options->interval_us + 1;
}

static void start_due_requests(struct load_generator *generator)
{
	const struct load_options *options = generator->options;

	if (generator->ended_count == options->requests) {
		uv_stop(generator->loop);
		return;
	}
	while (generator->started_count < options->requests &&
	       generator->in_flight < options->concurrency &&
	       generator->started_count < requests_due(generator))
		start_request(generator);
}

static void on_timer(uv_timer_t *timer)
{
	start_due_requests(timer->data);
}

const struct load_result *load_run(uv_loop_t *loop, const struct load_options *options)
{
	struct load_generator *generator = calloc(1, sizeof(*generator));

	if (!generator)
		abort();
	generator->loop = loop;
	generator->options = options;
	generator->client = dw_http_client_new(loop);
	generator->result.first_byte_us = calloc(options->requests + 1, sizeof(uint32_t));
	generator->result.total_us = calloc(options->requests + 1, sizeof(uint32_t));
	if (!generator->result.first_byte_us || !generator->result.total_us)
		abort();
	snprintf(generator->bearer, sizeof(generator->bearer), "Bearer %s", options->key);
	generator->started_at_us = dw_clock_now_us();
	uv_timer_init(loop, &generator->timer);
	generator->timer.data = generator;
	uv_timer_start(&generator->timer, on_timer, 0, 1);
	uv_run(loop, UV_RUN_DEFAULT);
	uv_timer_stop(&generator->timer);
	return &generator->result;
}

static int compare(const void *a, const void *b)
{
	uint32_t first = *(const uint32_t *)a;
	uint32_t second = *(const uint32_t *)b;

	return first < second ? -1 : first > second;
}

uint32_t load_percentile(uint32_t *values, uint64_t count, uint32_t permille)
{
	if (count == 0)
		return 0;
	qsort(values, count, sizeof(*values), compare);
	return values[(count - 1) * permille / 1000];
}
