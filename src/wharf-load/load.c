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

struct load {
	uv_loop_t *loop;
	const struct load_options *options;
	struct dw_http_client *client;
	struct load_result result;
	uv_timer_t timer;
	char bearer[BEARER_BYTES];
	uint64_t started;
	uint64_t ended;
	uint64_t started_at_us;
	uint32_t in_flight;
};

struct request {
	struct load *load;
	uint64_t started_us;
	uint64_t first_byte_us;
	bool is_stream;
	char tail[TAIL_BYTES]; /* the answer's last bytes */
	size_t tail_len;
};

static void start_more(struct load *load);

static void keep_tail(struct request *request, const char *bytes, size_t len)
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
	request->load->result.body_bytes += len;
	keep_tail(request, bytes, len);
}

static bool is_whole(const struct request *request)
{
	return !request->is_stream ||
	       memmem(request->tail, request->tail_len, END_MARKER, END_MARKER_BYTES) != NULL;
}

static void on_done(struct dw_http_call *call, const struct dw_http_result *end, void *data)
{
	struct request *request = data;
	struct load *load = request->load;
	struct load_result *result = &load->result;
	uint64_t now_us = dw_clock_now_us();

	load->in_flight--;
	load->ended++;
	if (end->http_status > 0 && end->http_status < LOAD_STATUSES)
		result->by_status[end->http_status]++;
	if (end->status == DW_OK && end->http_status == 200 && is_whole(request)) {
		result->first_byte_us[result->done] =
			(uint32_t)(request->first_byte_us - request->started_us);
		result->total_us[result->done] = (uint32_t)(now_us - request->started_us);
		result->done++;
	} else if (end->status != DW_OK || end->http_status == 200) {
		result->failed++;
	}
	result->duration_us = now_us - load->started_at_us;
	free(request);
	start_more(load);
}

static void start_one(struct load *load)
{
	const struct load_options *options = load->options;
	const struct dw_endpoint *target =
		&options->targets.items[load->started % options->targets.count];
	struct request *request = calloc(1, sizeof(*request));
	const char *mark = strstr(options->body, "%u");
	char body[BODY_BYTES];
	struct dw_http_name_value headers[] = {
		{ "authorization", load->bearer },
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
	request->load = load;
	request->started_us = dw_clock_now_us();
	if (mark)
		snprintf(body, sizeof(body), "%.*s%" PRIu64 "%s", (int)(mark - options->body),
			 options->body, load->started, mark + 2);
	else
		snprintf(body, sizeof(body), "%s", options->body);
	call.body_len = strlen(body);
	load->started++;
	load->in_flight++;
	dw_http_call(load->client, &call);
}

/* How many requests may have been started by now. */
static uint64_t allowed(const struct load *load)
{
	uint64_t elapsed_us = dw_clock_now_us() - load->started_at_us;

	if (load->options->interval_us == 0)
		return load->options->requests;
	return elapsed_us / load->options->interval_us + 1;
}

static void start_more(struct load *load)
{
	const struct load_options *options = load->options;

	if (load->ended == options->requests) {
		uv_stop(load->loop);
		return;
	}
	while (load->started < options->requests && load->in_flight < options->concurrency &&
	       load->started < allowed(load))
		start_one(load);
}

static void on_timer(uv_timer_t *timer)
{
	start_more(timer->data);
}

const struct load_result *load_run(uv_loop_t *loop, const struct load_options *options)
{
	struct load *load = calloc(1, sizeof(*load));

	if (!load)
		abort();
	load->loop = loop;
	load->options = options;
	load->client = dw_http_client_new(loop);
	load->result.first_byte_us = calloc(options->requests + 1, sizeof(uint32_t));
	load->result.total_us = calloc(options->requests + 1, sizeof(uint32_t));
	if (!load->result.first_byte_us || !load->result.total_us)
		abort();
	snprintf(load->bearer, sizeof(load->bearer), "Bearer %s", options->key);
	load->started_at_us = dw_clock_now_us();
	uv_timer_init(loop, &load->timer);
	load->timer.data = load;
	uv_timer_start(&load->timer, on_timer, 0, 1);
	uv_run(loop, UV_RUN_DEFAULT);
	uv_timer_stop(&load->timer);
	return &load->result;
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
