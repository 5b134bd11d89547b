#include "standins/standin.h"

#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/clock.h"
#include "standins/json.h"

#define MAX_BODY_BYTES ((size_t)16 << 20)
#define MAX_PORT 65535
#define ADMIN_PREFIX "/admin/"

void standin_common_init(struct standin_common *common)
{
	common->help = arg_lit0("h", "help", "print this help and exit");
	common->version = arg_lit0(NULL, "version", "print the version and exit");
	common->ip = arg_str0(NULL, "ip", "ADDRESS", "address to listen on (127.0.0.1)");
	common->port = arg_int0(NULL, "port", "PORT", "port to listen on (0: a free one)");
	common->end = arg_end(10);
	common->ip->sval[0] = "127.0.0.1";
	common->port->ival[0] = 0;
}

static void print_help(const struct standin *standin, void **table)
{
	printf("%s: %s\n\nUsage: %s", standin->name, standin->purpose, standin->name);
	arg_print_syntax(stdout, table, "\n\n");
	arg_print_glossary(stdout, table, "  %-28s %s\n");
	printf("\nPOST /admin/fault {\"kind\", \"for_ms\", \"count\", \"path\", \"word\", \"n\"}, "
	       "kinds:");
	for (const char *const *kind = standin->fault_kinds; *kind; kind++)
		printf(" %s", *kind);
	printf(" none\nGET /admin/stats returns the counters.\n\n"
	       "Exit codes: 0 ended by SIGTERM or SIGINT; 1 can't listen; 2 invalid command line; "
	       "70 requested crash.\n");
}

int standin_parse(const struct standin *standin, struct standin_common *common, void **table,
		  int argc, char **argv)
{
	int errors = arg_parse(argc, argv, table);

	if (common->help->count) {
		print_help(standin, table);
		return STANDIN_EXIT_OK;
	}
	if (common->version->count) {
		printf("%s %s\n", standin->name, DW_VERSION);
		return STANDIN_EXIT_OK;
	}
	if (errors) {
		arg_print_errors(stderr, common->end, standin->name);
		return STANDIN_EXIT_USAGE;
	}
	if (common->port->ival[0] < 0 || common->port->ival[0] > MAX_PORT) {
		fprintf(stderr, "%s: --port is out of the range 0 to 65535\n", standin->name);
		return STANDIN_EXIT_USAGE;
	}
	return -1;
}

static void on_timer_closed(uv_handle_t *handle)
{
	struct standin_request *request = handle->data;

	json_object_put(request->body);
	free(request);
}

void standin_request_free(struct standin_request *request)
{
	if (request->exchange)
		dw_http_on_disconnect(request->exchange, NULL, NULL);
	request->exchange = NULL;
	uv_close((uv_handle_t *)&request->timer, on_timer_closed);
}

void standin_answer(struct standin_request *request, int status, struct json_object *body)
{
	struct dw_http_exchange *exchange = request->exchange;
	const char *text = json_object_to_json_string_ext(body, JSON_OUTPUT_FLAGS);

	standin_request_free(request);
	if (exchange)
		dw_http_respond(exchange, status, "application/json", text, strlen(text));
	json_object_put(body);
}

void standin_answer_error(struct standin_request *request, int status, const char *message)
{
	struct json_object *body = json_object_new_object();

	json_set_text(body, "error", message);
	standin_answer(request, status, body);
}

void standin_close_connection(struct standin_request *request)
{
	struct dw_http_exchange *exchange = request->exchange;

	standin_request_free(request);
	if (!exchange)
		return;
	dw_http_stream_start(exchange, 200, "application/json");
	dw_http_stream_end(exchange, false);
}

static void on_timer(uv_timer_t *timer)
{
	struct standin_request *request = timer->data;

	request->on_delay_end(request);
}

void standin_delay(struct standin_request *request, uint64_t delay_us, standin_handler later)
{
	request->on_delay_end = later;
	uv_update_time(request->standin->loop);
	uv_timer_start(&request->timer, on_timer, (delay_us + DW_US_PER_MS - 1) / DW_US_PER_MS, 0);
}

const char *standin_header(const struct standin_request *request, const char *name)
{
	const char *value = request->exchange ? dw_http_header(request->exchange, name) : NULL;

	return value ? value : "";
}

static void on_disconnect(struct dw_http_exchange *exchange, void *data)
{
	struct standin_request *request = data;

	request->exchange = NULL;
	if (request->on_disconnect)
		request->on_disconnect(request);
}

static void respond_ok(struct standin_request *request)
{
	struct json_object *body = json_object_new_object();

	json_set_text(body, "status", "ok");
	standin_answer(request, 200, body);
}

static void add_fault(struct standin_request *request)
{
	struct standin *standin = request->standin;
	enum dw_status status =
		fault_set_add(&standin->faults, standin->fault_kinds, request->body);

	if (status != DW_OK) {
		standin_answer_error(request, 400, dw_last_message());
		return;
	}
	if (standin->on_fault)
		standin->on_fault(standin, json_text(request->body, "kind", ""));
	respond_ok(request);
}

static void send_stats(struct standin_request *request)
{
	struct json_object *stats = json_object_new_object();

	request->standin->on_stats(request->standin, stats);
	standin_answer(request, 200, stats);
}

static void dispatch(struct standin_request *request)
{
	struct standin *standin = request->standin;

	if (strncmp(request->path, ADMIN_PREFIX, strlen(ADMIN_PREFIX)) != 0)
		standin->on_request(request);
	else if (strcmp(request->path, "/admin/fault") == 0)
		add_fault(request);
	else if (strcmp(request->path, "/admin/stats") == 0)
		send_stats(request);
	else if (standin->on_admin)
		standin->on_admin(request);
	else
		standin_answer_error(request, 404, "unknown admin call");
}

static struct json_object *parse_body(const struct dw_http_exchange *exchange)
{
	size_t len;
	const char *text = dw_http_body(exchange, &len);
	struct json_tokener *tokener = json_tokener_new();
	struct json_object *body = len ? json_tokener_parse_ex(tokener, text, (int)len) : NULL;

	json_tokener_free(tokener);
	return body;
}

static void on_exchange(struct dw_http_exchange *exchange, void *data)
{
	struct standin *standin = data;
	struct standin_request *request = calloc(1, sizeof(*request));

	request->standin = standin;
	request->exchange = exchange;
	snprintf(request->method, sizeof(request->method), "%s", dw_http_method(exchange));
	snprintf(request->path, sizeof(request->path), "%s", dw_http_path(exchange));
	request->body = parse_body(exchange);
	uv_timer_init(standin->loop, &request->timer);
	request->timer.data = request;
	dw_http_on_disconnect(exchange, on_disconnect, request);
	dispatch(request);
}

static void on_signal(uv_signal_t *handle, int number)
{
	uv_stop(handle->loop);
}

int standin_run(struct standin *standin, const struct standin_common *common)
{
	struct dw_http_options options = {
		.ip = common->ip->sval[0],
		.port = (uint16_t)common->port->ival[0],
		.max_body_bytes = MAX_BODY_BYTES,
		.handler = on_exchange,
		.data = standin,
	};
	uv_signal_t term;
	uv_signal_t interrupt;

	standin->loop = uv_default_loop();
	signal(SIGPIPE, SIG_IGN);
	if (dw_http_server_start(&standin->server, standin->loop, &options) != DW_OK) {
		fprintf(stderr, "%s: %s\n", standin->name, dw_last_message());
		return STANDIN_EXIT_LISTEN;
	}
	uv_signal_init(standin->loop, &term);
	uv_signal_start(&term, on_signal, SIGTERM);
	uv_signal_init(standin->loop, &interrupt);
	uv_signal_start(&interrupt, on_signal, SIGINT);
	if (standin->on_start)
		standin->on_start(standin);
	printf("listening %s:%u\n", options.ip, dw_http_server_port(standin->server));
	fflush(stdout);
	uv_run(standin->loop, UV_RUN_DEFAULT);
	return STANDIN_EXIT_OK;
}
