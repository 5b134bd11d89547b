/**
 * @file standin_backend.c
 * Stand-in for a back end of the users' platform: signs its responses with the response-seal header,
 * streams events and counts the requests that it executed.
 *
 * It executes each request that it receives, unless the expect-instance header names another
 * instance, and counts the executions ("runs") by attempt id.
 *
 * Faults:
 * - reject: 503, not executed
 * - fail: 500
 * - answer_lost: executed, then the connection is closed without a response
 * - mute: executed, no response
 * - cut: the connection is closed after n events of a stream
 * - crash: exits with code 70 on a request
 * - late: the response is sent n ms later
 * - long: n extra bytes in the response
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "base/clock.h"
#include "standins/json.h"
#include "standins/standin.h"

#define SLOTS 64

struct backend {
	const char *id;
	uint32_t events;
	uint64_t event_us;
	uint64_t running;
	uint64_t wrong; /**< requests for another instance, answered with 421 */
	uint64_t rejected;
	uint64_t left; /**< clients that disconnected during a stream */
	struct json_object *runs; /* by attempt id */
	struct json_object *organisations; /* requests by organisation */
};

/** Progress of a stream of events. */
struct stream {
	uint64_t next; /**< number of the next event */
	uint64_t end; /**< number of the last event */
	uint64_t cut_after; /**< the connection is closed after this event; 0: never */
};

static const char *const fault_kinds[] = { "reject", "fail", "answer_lost", "mute", "cut",
					   "crash",  "late", "long",	    NULL };

static struct backend *get_backend(const struct standin_request *request)
{
	return request->standin->data;
}

static void add_headers(struct standin_request *request, bool sealed)
{
	struct backend *backend = get_backend(request);
	char load[64];

	snprintf(load, sizeof(load), "%llu,0,%d", (unsigned long long)backend->running, SLOTS);
	dw_http_add_header(request->exchange, "attempt-id", standin_header(request, "attempt-id"));
	dw_http_add_header(request->exchange, "server-load", load);
	if (sealed)
		dw_http_add_header(request->exchange, "response-seal", backend->id);
}

static void respond_not_executed(struct standin_request *request, int status)
{
	add_headers(request, false);
	dw_http_add_header(request->exchange, "not-executed", "1");
	standin_answer(request, status, json_object_new_object());
}

static void add_padding(struct standin_request *request, struct json_object *body)
{
	const struct fault *wanted =
		fault_set_take(&request->standin->faults, "long", request->path);
	char *text = wanted ? malloc(wanted->n + 1) : NULL;

	if (!text)
		return;
	memset(text, 'x', wanted->n);
	text[wanted->n] = '\0';
	json_set_text(body, "padding", text);
	free(text);
}

static void send_response(struct standin_request *request)
{
	struct backend *backend = get_backend(request);
	struct json_object *body = json_object_new_object();

	backend->running--;
	json_set_text(body, "served_by", backend->id);
	json_set_text(body, "path", request->path);
	json_set_text(body, "organisation", standin_header(request, "tenant"));
	json_set_text(body, "model", standin_header(request, "model"));
	add_padding(request, body);
	if (request->exchange)
		add_headers(request, true);
	standin_answer(request, 200, body);
}

static void end_stream(struct standin_request *request, bool complete)
{
	struct dw_http_exchange *exchange = request->exchange;

	get_backend(request)->running--;
	free(request->data);
	request->data = NULL;
	standin_request_free(request);
	if (exchange)
		dw_http_stream_end(exchange, complete);
}

static void send_next_event(struct standin_request *request)
{
	struct backend *backend = get_backend(request);
	struct stream *stream = request->data;
	char event[96];

	if (!request->exchange) {
		backend->left++;
		end_stream(request, false);
		return;
	}
	snprintf(event, sizeof(event), "id: %llu\ndata: part %llu\n\n",
		 (unsigned long long)stream->next, (unsigned long long)stream->next);
	dw_http_stream_write(request->exchange, event, strlen(event));
	if (stream->next == stream->cut_after)
		end_stream(request, false);
	else if (stream->next++ >= stream->end)
		end_stream(request, true);
	else
		standin_delay(request, backend->event_us, send_next_event);
}

static void start_stream(struct standin_request *request)
{
	struct backend *backend = get_backend(request);
	const struct fault *cut = fault_set_take(&request->standin->faults, "cut", request->path);
	struct stream *stream = calloc(1, sizeof(*stream));

	if (!stream)
		abort();
	stream->next = strtoull(standin_header(request, "last-event-id"), NULL, 10) + 1;
	stream->end = backend->events;
	stream->cut_after = cut ? cut->n : 0;
	request->data = stream;
	add_headers(request, true);
	dw_http_add_header(request->exchange, "confidence", "90");
	dw_http_stream_start(request->exchange, 200, "text/event-stream");
	send_next_event(request);
}

static void execute(struct standin_request *request)
{
	struct backend *backend = get_backend(request);
	struct fault_set *faults = &request->standin->faults;
	const struct fault *late = fault_set_take(faults, "late", request->path);

	json_count(backend->runs, standin_header(request, "attempt-id"), 1);
	json_count(backend->organisations, standin_header(request, "tenant"), 1);
	backend->running++;
	if (fault_set_take(faults, "crash", request->path)) {
		printf("crash %s\n", request->path);
		fflush(stdout);
		_exit(STANDIN_EXIT_CRASH);
	}
	if (fault_set_take(faults, "answer_lost", request->path)) {
		backend->running--;
		standin_cut(request);
	} else if (fault_set_take(faults, "fail", request->path)) {
		backend->running--;
		add_headers(request, true);
		standin_answer_error(request, 500, "failed");
	} else if (fault_set_take(faults, "mute", request->path)) {
		return;
	} else if (strcmp(standin_header(request, "accept"), "text/event-stream") == 0) {
		start_stream(request);
	} else {
		standin_delay(request, late ? late->n * DW_US_PER_MS : 0, send_response);
	}
}

static void on_request(struct standin_request *request)
{
	struct backend *backend = get_backend(request);
	const char *expected = standin_header(request, "expect-instance");

	if (*expected && strcmp(expected, backend->id) != 0) {
		backend->wrong++;
		respond_not_executed(request, 421);
	} else if (fault_set_take(&request->standin->faults, "reject", request->path)) {
		backend->rejected++;
		respond_not_executed(request, 503);
	} else {
		execute(request);
	}
}

static void on_stats(struct standin *standin, struct json_object *stats)
{
	struct backend *backend = standin->data;
	uint64_t most = 0;
	uint64_t all = 0;

	json_object_object_foreach(backend->runs, id, count)
	{
		uint64_t runs = json_object_get_uint64(count);

		(void)id;
		all += runs;
		most = runs > most ? runs : most;
	}
	json_set_u64(stats, "runs", all);
	json_set_u64(stats, "most_runs_of_one", most);
	json_set_u64(stats, "wrong", backend->wrong);
	json_set_u64(stats, "rejected", backend->rejected);
	json_set_u64(stats, "left", backend->left);
	json_object_object_add(stats, "organisations", json_object_get(backend->organisations));
}

int main(int argc, char **argv)
{
	static struct backend backend = { .events = 5, .event_us = 20 * DW_US_PER_MS };
	struct standin standin = {
		.name = "standin_backend",
		.purpose = "a back end of the users' platform",
		.fault_kinds = fault_kinds,
		.on_request = on_request,
		.on_stats = on_stats,
		.data = &backend,
	};
	struct standin_common common;
	struct arg_str *id = arg_str1(NULL, "id", "ID", "instance id of the back end");
	struct arg_int *events = arg_int0(NULL, "events", "N", "events per stream (5)");
	struct arg_int *event_ms = arg_int0(NULL, "event-ms", "MS", "time between two events (20)");
	int rc;

	standin_common_init(&common);
	void *table[] = { common.help, common.version, common.ip, common.port,
			  id,	       events,	       event_ms,  common.end };
	rc = standin_parse(&standin, &common, table, argc, argv);
	if (rc >= 0)
		return rc;
	backend.id = id->sval[0];
	if (events->count > 0)
		backend.events = (uint32_t)events->ival[0];
	if (event_ms->count > 0)
		backend.event_us = (uint64_t)event_ms->ival[0] * DW_US_PER_MS;
	backend.runs = json_object_new_object();
	backend.organisations = json_object_new_object();
	return standin_run(&standin, &common);
}
