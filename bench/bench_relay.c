/**
 * @file bench_relay.c
 * Baseline for `make bench`: a minimal reverse proxy without any routing. It uses the same HTTP
 * server and client as the daemon, with one event loop on one thread. All requests go to one target
 * and the response is streamed back as it arrives.
 *
 * Usage: bench_relay IP:PORT, the address of the target. Listens on any free port of 127.0.0.1,
 * prints "listening IP:PORT" with it like the daemon, and runs until SIGTERM.
 */
#include <stdio.h>
#include <stdlib.h>

#include "base/settings.h"
#include "net/http_client.h"
#include "net/http_server.h"

#define MAX_BODY_BYTES (4U << 20)

struct relay {
	struct dw_http_client *client;
	struct dw_endpoint target;
};

struct transfer {
	struct dw_http_exchange *exchange; /* NULL once the client has disconnected */
	struct dw_http_call *call;
	bool response_started;
};

static void on_disconnect(struct dw_http_exchange *exchange, void *data)
{
	struct transfer *transfer = data;

	transfer->exchange = NULL;
	dw_http_cancel(transfer->call);
}

static void on_head(struct dw_http_call *call, int http_status, void *data)
{
	struct transfer *transfer = data;
	const char *type = dw_http_call_header(call, "content-type");

	if (!transfer->exchange)
		return;
	transfer->response_started = true;
	dw_http_stream_start(transfer->exchange, http_status, type ? type : "text/plain");
}

static void on_body(struct dw_http_call *call, const char *bytes, size_t len, void *data)
{
	struct transfer *transfer = data;

	if (transfer->exchange)
		dw_http_stream_write(transfer->exchange, bytes, len);
}

static void on_done(struct dw_http_call *call, const struct dw_http_result *result, void *data)
{
	struct transfer *transfer = data;

	if (transfer->exchange && transfer->response_started)
		dw_http_stream_end(transfer->exchange, result->status == DW_OK);
	else if (transfer->exchange)
		dw_http_respond(transfer->exchange, 502, "text/plain", "", 0);
	free(transfer);
}

static void on_request(struct dw_http_exchange *exchange, void *data)
{
	struct relay *relay = data;
	struct transfer *transfer = calloc(1, sizeof(*transfer));
	struct dw_http_name_value headers[] = { { "content-type", "application/json" } };
	struct dw_http_call_options options = {
		.ip = relay->target.ip,
		.port = relay->target.port,
		.method = dw_http_method(exchange),
		.path = dw_http_path(exchange),
		.headers = headers,
		.header_count = 1,
		.on_head = on_head,
		.on_body = on_body,
		.on_done = on_done,
		.data = transfer,
	};

	if (!transfer)
		abort();
	options.body = dw_http_body(exchange, &options.body_len);
	transfer->exchange = exchange;
	transfer->call = dw_http_call(relay->client, &options);
	dw_http_on_disconnect(exchange, on_disconnect, transfer);
}

int main(int argc, char **argv)
{
	struct relay relay;
	struct dw_http_server *server;
	uv_loop_t loop;
	struct dw_http_options options = {
		.ip = "127.0.0.1",
		.max_body_bytes = MAX_BODY_BYTES,
		.handler = on_request,
		.data = &relay,
	};

	if (argc != 2 || dw_endpoint_parse(argv[1], &relay.target) != DW_OK) {
		fprintf(stderr, "usage: bench_relay IP:PORT\n");
		return 1;
	}
	uv_loop_init(&loop);
	relay.client = dw_http_client_new(&loop);
	if (dw_http_server_start(&server, &loop, &options) != DW_OK) {
		fprintf(stderr, "bench_relay: %s\n", dw_last_message());
		return 1;
	}
	printf("listening 127.0.0.1:%u\n", dw_http_server_port(server));
	fflush(stdout);
	return uv_run(&loop, UV_RUN_DEFAULT);
}
