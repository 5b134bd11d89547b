#include "port/etcd_watch.h"

#include <stdlib.h>
#include <string.h>

#include "base/clock.h"
#include "port/etcd_json.h"

/** A watch that sends a longer line fails with DW_TOO_LARGE. */
#define MAX_LINE_BYTES ((size_t)64 << 20)

struct dw_store_watch {
	struct dw_etcd_watch_endpoint endpoint;
	struct dw_http_call *call;
	struct dw_store_watch_options options;
	char *buffer; /* received bytes up to the next newline */
	size_t buffer_len;
	uint64_t next_revision;
	uint64_t started_at_us;
	enum dw_status failure_status; /* DW_OK until the watch fails */
	bool cancelled;
};

static void watch_fail(struct dw_store_watch *watch, enum dw_status status)
{
	watch->failure_status = status;
	dw_http_cancel(watch->call);
}

/* Skips events that were delivered before. Returns false if the others aren't in revision order. */
static bool watch_deliver_events(struct dw_store_watch *watch, const struct dw_etcd_reply *reply)
{
	size_t first = 0;
	uint64_t last;

	while (first < reply->count &&
	       reply->events[first].entry.mod_revision < watch->next_revision)
		first++;
	if (first == reply->count)
		return true;
	last = reply->events[first].entry.mod_revision;
	for (size_t i = first; i < reply->count; i++) {
		if (reply->events[i].entry.mod_revision < last)
			return false;
		last = reply->events[i].entry.mod_revision;
	}
	watch->next_revision = last + 1;
	watch->options.on_events(watch, reply->events + first, reply->count - first,
				 watch->options.data);
	return true;
}

static void watch_handle_message(struct dw_store_watch *watch, const struct dw_etcd_reply *reply)
{
	if (reply->compact_revision || reply->revision + 1 < watch->next_revision) {
		watch_fail(watch, DW_STALE);
		return;
	}
	if (reply->canceled) {
		watch_fail(watch, DW_UPSTREAM_FAILED);
		return;
	}
	if (reply->created && watch->next_revision == 0)
		watch->next_revision = reply->revision + 1;
	/* The "created" message carries the store's revision. If it is below next_revision, there
	 * are no changes that this watch hasn't delivered. */
	if (reply->created && reply->revision < watch->next_revision &&
	    watch->options.on_up_to_date)
		watch->options.on_up_to_date(watch, reply->revision, watch->started_at_us,
					     watch->options.data);
	if (!watch_deliver_events(watch, reply))
		watch_fail(watch, DW_UPSTREAM_FAILED);
}

static void watch_handle_line(struct dw_store_watch *watch, const char *line, size_t len)
{
	struct dw_etcd_reply reply;

	if (len == 0)
		return;
	if (dw_etcd_parse_watch(line, len, &reply) != DW_OK) {
		watch_fail(watch, DW_UPSTREAM_FAILED);
		return;
	}
	watch_handle_message(watch, &reply);
	dw_etcd_reply_clear(&reply);
}

static void watch_on_body(struct dw_http_call *call, const char *bytes, size_t len, void *data)
{
	struct dw_store_watch *watch = data;
	size_t start = 0;
	char *end;

	if (watch->buffer_len + len > MAX_LINE_BYTES) {
		watch_fail(watch, DW_TOO_LARGE);
		return;
	}
	watch->buffer = realloc(watch->buffer, watch->buffer_len + len);
	memcpy(watch->buffer + watch->buffer_len, bytes, len);
	watch->buffer_len += len;
	while (!watch->cancelled && watch->failure_status == DW_OK &&
	       (end = memchr(watch->buffer + start, '\n', watch->buffer_len - start))) {
		size_t line_len = (size_t)(end - watch->buffer) - start;

		watch_handle_line(watch, watch->buffer + start, line_len);
		start += line_len + 1;
	}
	memmove(watch->buffer, watch->buffer + start, watch->buffer_len - start);
	watch->buffer_len -= start;
}

static void watch_on_done(struct dw_http_call *call, const struct dw_http_result *result,
			  void *data)
{
	struct dw_store_watch *watch = data;
	enum dw_status status = watch->failure_status;

	if (status == DW_OK)
		status = result->status == DW_OK ? DW_UPSTREAM_FAILED : result->status;
	if (!watch->cancelled) {
		if (status != DW_TIMEOUT && status != DW_STALE)
			watch->endpoint.on_endpoint_failed(watch->endpoint.data);
		watch->options.on_ended(watch, status, watch->next_revision, watch->options.data);
	}
	free(watch->buffer);
	free(watch);
}

struct dw_store_watch *dw_etcd_watch_start(const struct dw_etcd_watch_endpoint *endpoint,
					   const struct dw_store_watch_options *options)
{
	static const struct dw_http_name_value headers[] = {
		{ "content-type", "application/json" },
	};
	struct dw_store_watch *watch = calloc(1, sizeof(*watch));
	char *body = dw_etcd_json_watch(options->prefix, options->from_revision);
	struct dw_http_call_options http = {
		.ip = endpoint->ip,
		.port = endpoint->port,
		.method = "POST",
		.path = "/v3/watch",
		.headers = headers,
		.header_count = 1,
		.body = body,
		.body_len = strlen(body),
		.deadline_us = options->deadline_us,
		.on_body = watch_on_body,
		.on_done = watch_on_done,
		.data = watch,
	};

	watch->endpoint = *endpoint;
	watch->options = *options;
	watch->next_revision = options->from_revision;
	watch->started_at_us = dw_clock_now_us();
	watch->call = dw_http_call(endpoint->client, &http);
	free(body);
	return watch;
}

void dw_etcd_watch_cancel(struct dw_store_watch *watch)
{
	watch->cancelled = true;
	dw_http_cancel(watch->call);
}
