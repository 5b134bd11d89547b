#include "net/http_server.h"

#include <errno.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>

#include <h2o.h>

#define LISTEN_BACKLOG 1024
/** How often the sockets of outstanding exchanges are looked at for a caller that has left. */
#define GONE_CHECK_MS 100
#define STATUS_CLIENT_CLOSED 499
#define STATUS_TOO_LARGE 413
/** What callers get for a request that no handler sees; docs/ERRORS.md. */
#define OWN_ERROR                                                                                  \
	"{\"error\":{\"type\":\"too_large\",\"code\":2,"                                           \
	"\"message\":\"the request is too large\",\"not_run\":true}}"
#define ANY_PORT_HOST 65535

struct bytes {
	char *base;
	size_t len;
	size_t capacity;
};

struct dw_http_exchange {
	h2o_generator_t generator; /* first: h2o hands it back */
	h2o_req_t *req;
	struct dw_http_server *server;
	struct dw_http_exchange *next;
	struct dw_http_exchange *previous;
	dw_http_gone gone;
	void *gone_data;
	dw_http_gone drained;
	void *drained_data;
	const char *method;
	const char *path;
	const char *query;
	struct bytes pending;
	struct bytes in_flight;
	bool started;
	bool sending; /* h2o hasn't asked for more yet */
	bool end_asked; /* the handler has ended the answer */
	bool end_whole;
	bool final_sent;
	bool caller_left;
};

/* A caller's connection; h2o keeps the handle, which comes first. */
struct connection {
	uv_tcp_t tcp;
	struct dw_http_server *server;
	struct connection *next;
	struct connection *previous;
};

struct dw_http_server {
	uv_loop_t *loop;
	uv_tcp_t listener;
	uv_timer_t gone_timer;
	h2o_globalconf_t config;
	h2o_context_t context;
	h2o_accept_ctx_t accept;
	struct dw_http_options options;
	struct dw_http_exchange *exchanges;
	struct connection *connections;
	size_t active;
	bool stopping;
};

struct handler {
	h2o_handler_t super;
	struct dw_http_server *server;
};

struct filter {
	h2o_filter_t super;
	struct dw_http_server *server;
};

static void bytes_append(struct bytes *bytes, const char *base, size_t len)
{
	if (bytes->len + len > bytes->capacity) {
		bytes->capacity = (bytes->len + len) * 2;
		bytes->base = h2o_mem_realloc(bytes->base, bytes->capacity);
	}
	memcpy(bytes->base + bytes->len, base, len);
	bytes->len += len;
}

static void exchange_unlink(struct dw_http_exchange *exchange)
{
	struct dw_http_server *server = exchange->server;

	if (exchange->previous)
		exchange->previous->next = exchange->next;
	else
		server->exchanges = exchange->next;
	if (exchange->next)
		exchange->next->previous = exchange->previous;
	server->active--;
}

static void exchange_tell_gone(struct dw_http_exchange *exchange)
{
	dw_http_gone gone = exchange->gone;

	if (exchange->end_asked || exchange->caller_left)
		return;
	exchange->caller_left = true;
	exchange->gone = NULL;
	if (gone)
		gone(exchange, exchange->gone_data);
}

/* Runs when h2o clears the request's pool, whichever way the request ended. */
static void exchange_dispose(void *ptr)
{
	struct dw_http_exchange *exchange = ptr;

	exchange_tell_gone(exchange);
	exchange_unlink(exchange);
	free(exchange->pending.base);
	free(exchange->in_flight.base);
}

/* Without the end marker of a chunked answer, the caller can tell that it was cut. */
static void exchange_cut_connection(struct dw_http_exchange *exchange)
{
	h2o_socket_t *sock = exchange->req->conn->callbacks->get_socket(exchange->req->conn);

	shutdown(h2o_socket_get_fd(sock), SHUT_RDWR);
}

static void exchange_send(struct dw_http_exchange *exchange)
{
	struct bytes swap = exchange->in_flight;
	h2o_send_state_t state = H2O_SEND_STATE_IN_PROGRESS;
	h2o_iovec_t vec;

	if (exchange->sending || exchange->final_sent)
		return;
	exchange->in_flight = exchange->pending;
	exchange->pending = swap;
	exchange->pending.len = 0;
	vec = h2o_iovec_init(exchange->in_flight.base, exchange->in_flight.len);
	if (exchange->caller_left || (exchange->end_asked && !exchange->end_whole && !vec.len)) {
		exchange_cut_connection(exchange);
		state = H2O_SEND_STATE_ERROR;
	} else if (exchange->end_asked && exchange->end_whole) {
		state = H2O_SEND_STATE_FINAL;
	} else if (vec.len == 0) {
		return;
	}
	exchange->sending = true;
	exchange->final_sent = state != H2O_SEND_STATE_IN_PROGRESS;
	h2o_send(exchange->req, &vec, vec.len ? 1 : 0, state);
}

static void on_proceed(h2o_generator_t *generator, h2o_req_t *req)
{
	struct dw_http_exchange *exchange = (struct dw_http_exchange *)generator;

	exchange->sending = false;
	exchange->in_flight.len = 0;
	exchange_send(exchange);
	if (exchange->drained && !exchange->sending && !exchange->caller_left)
		exchange->drained(exchange, exchange->drained_data);
}

static void on_stop(h2o_generator_t *generator, h2o_req_t *req)
{
	exchange_tell_gone((struct dw_http_exchange *)generator);
}

static const char *text_of(h2o_req_t *req, const char *base, size_t len)
{
	return h2o_strdup(&req->pool, base, len).base;
}

static struct dw_http_exchange *exchange_new(struct dw_http_server *server, h2o_req_t *req)
{
	struct dw_http_exchange *exchange =
		h2o_mem_alloc_shared(&req->pool, sizeof(*exchange), exchange_dispose);
	size_t path_len = req->path.len;

	memset(exchange, 0, sizeof(*exchange));
	exchange->generator.proceed = on_proceed;
	exchange->generator.stop = on_stop;
	exchange->req = req;
	exchange->server = server;
	exchange->method = text_of(req, req->method.base, req->method.len);
	exchange->query = "";
	if (req->query_at != SIZE_MAX) {
		path_len = req->query_at;
		exchange->query =
			text_of(req, req->path.base + path_len + 1, req->path.len - path_len - 1);
	}
	exchange->path = text_of(req, req->path.base, path_len);
	exchange->next = server->exchanges;
	if (exchange->next)
		exchange->next->previous = exchange;
	server->exchanges = exchange;
	server->active++;
	return exchange;
}

static int on_request(h2o_handler_t *self, h2o_req_t *req)
{
	struct dw_http_server *server = ((struct handler *)self)->server;

	if (server->stopping)
		req->http1_is_persistent = 0;
	server->options.handler(exchange_new(server, req), server->options.data);
	return 0;
}

/* h2o doesn't read from a connection whose request is being handled, so an end of the
 * connection is found by looking at the socket. */
static bool socket_has_ended(h2o_socket_t *sock)
{
	char byte;
	ssize_t n = recv(h2o_socket_get_fd(sock), &byte, 1, MSG_PEEK | MSG_DONTWAIT);

	return n == 0 || (n < 0 && errno != EAGAIN && errno != EINTR);
}

static void exchange_end_for_gone_caller(struct dw_http_exchange *exchange)
{
	h2o_req_t *req = exchange->req;

	exchange_tell_gone(exchange);
	if (exchange->started) {
		exchange_send(exchange);
		return;
	}
	req->http1_is_persistent = 0;
	req->res.status = STATUS_CLIENT_CLOSED;
	req->res.reason = "Client Closed Request";
	h2o_send_inline(req, H2O_STRLIT(""));
}

static void on_gone_timer(uv_timer_t *timer)
{
	struct dw_http_server *server = timer->data;
	struct dw_http_exchange *exchange = server->exchanges;

	while (exchange) {
		struct dw_http_exchange *next = exchange->next;
		h2o_socket_t *sock =
			exchange->req->conn->callbacks->get_socket(exchange->req->conn);

		if (!exchange->end_asked && !exchange->caller_left && socket_has_ended(sock)) {
			exchange_end_for_gone_caller(exchange);
			/* The callback may have ended other exchanges as well. */
			next = server->exchanges;
		}
		exchange = next;
	}
}

static void on_connection_closed(uv_handle_t *handle)
{
	struct connection *connection = (struct connection *)handle;

	if (connection->previous)
		connection->previous->next = connection->next;
	else
		connection->server->connections = connection->next;
	if (connection->next)
		connection->next->previous = connection->previous;
	free(connection);
}

static void on_connection(uv_stream_t *listener, int status)
{
	struct dw_http_server *server = listener->data;
	struct connection *connection;

	if (status != 0)
		return;
	connection = h2o_mem_alloc(sizeof(*connection));
	connection->server = server;
	connection->previous = NULL;
	connection->next = server->connections;
	if (connection->next)
		connection->next->previous = connection;
	server->connections = connection;
	uv_tcp_init(server->loop, &connection->tcp);
	if (uv_accept(listener, (uv_stream_t *)&connection->tcp) != 0) {
		uv_close((uv_handle_t *)&connection->tcp, on_connection_closed);
		return;
	}
	uv_tcp_nodelay(&connection->tcp, 1);
	h2o_accept(&server->accept,
		   h2o_uv_socket_create((uv_stream_t *)&connection->tcp, on_connection_closed));
}

void dw_http_server_cut_connections(struct dw_http_server *server)
{
	struct connection *connection;
	uv_os_fd_t fd;

	for (connection = server->connections; connection; connection = connection->next) {
		if (uv_fileno((uv_handle_t *)&connection->tcp, &fd) == 0)
			shutdown(fd, SHUT_RDWR);
	}
}

static bool has_exchange(const struct dw_http_server *server, const h2o_req_t *req)
{
	const struct dw_http_exchange *exchange = server->exchanges;

	while (exchange && exchange->req != req)
		exchange = exchange->next;
	return exchange != NULL;
}

static void send_own_error(h2o_ostream_t *self, h2o_req_t *req, h2o_iovec_t *bufs, size_t count,
			   h2o_send_state_t state)
{
	h2o_iovec_t body = h2o_iovec_init(OWN_ERROR, strlen(OWN_ERROR));

	h2o_ostream_send_next(self, req, &body, 1, H2O_SEND_STATE_FINAL);
}

/* An oversized request is refused by h2o itself, in plain text: callers get the typed error. */
static void on_setup_ostream(h2o_filter_t *self, h2o_req_t *req, h2o_ostream_t **slot)
{
	struct dw_http_server *server = ((struct filter *)self)->server;

	if (req->res.status == STATUS_TOO_LARGE && !has_exchange(server, req)) {
		h2o_ostream_t *stream = h2o_add_ostream(req, sizeof(*stream), slot);

		stream->do_send = send_own_error;
		req->res.content_length = strlen(OWN_ERROR);
		h2o_set_header(&req->pool, &req->res.headers, H2O_TOKEN_CONTENT_TYPE,
			       H2O_STRLIT("application/json"), 1);
		slot = &stream->next;
	}
	h2o_setup_next_ostream(req, slot);
}

static void add_filter(struct dw_http_server *server, h2o_pathconf_t *path)
{
	struct filter *filter = (struct filter *)h2o_create_filter(path, sizeof(*filter));

	filter->super.on_setup_ostream = on_setup_ostream;
	filter->server = server;
}

static void configure(struct dw_http_server *server)
{
	h2o_hostconf_t *host;
	h2o_pathconf_t *path;
	struct handler *handler;

	h2o_config_init(&server->config);
	server->config.max_request_entity_size = server->options.max_body_bytes;
	server->config.http1.upgrade_to_http2 = 0;
	server->config.server_name = h2o_iovec_init(H2O_STRLIT("dragonflywharf"));
	host = h2o_config_register_host(&server->config, h2o_iovec_init(H2O_STRLIT("default")),
					ANY_PORT_HOST);
	path = h2o_config_register_path(host, "/", 0);
	handler = (struct handler *)h2o_create_handler(path, sizeof(*handler));
	handler->super.on_req = on_request;
	handler->server = server;
	add_filter(server, path);
	add_filter(server, &host->fallback_path);
	h2o_context_init(&server->context, server->loop, &server->config);
	server->accept.ctx = &server->context;
	server->accept.hosts = server->config.hosts;
}

static void on_failed_listener_closed(uv_handle_t *listener)
{
	free(listener->data);
}

/* On failure the server is freed, after its listener has been closed. */
static enum dw_status listen_on(struct dw_http_server *server)
{
	const struct dw_http_options *options = &server->options;
	struct sockaddr_in address;
	int rc = uv_ip4_addr(options->ip, options->port, &address);

	if (rc != 0) {
		dw_fail(DW_INVALID_ARGUMENT, "not a numeric address: %s", options->ip);
		free(server);
		return DW_INVALID_ARGUMENT;
	}
	uv_tcp_init(server->loop, &server->listener);
	server->listener.data = server;
	rc = uv_tcp_bind(&server->listener, (const struct sockaddr *)&address, 0);
	if (rc == 0)
		rc = uv_listen((uv_stream_t *)&server->listener, LISTEN_BACKLOG, on_connection);
	if (rc != 0) {
		dw_fail(DW_UNAVAILABLE, "can't listen on %s:%u: %s", options->ip, options->port,
			uv_strerror(rc));
		uv_close((uv_handle_t *)&server->listener, on_failed_listener_closed);
		return DW_UNAVAILABLE;
	}
	return DW_OK;
}

enum dw_status dw_http_server_start(struct dw_http_server **out, uv_loop_t *loop,
				    const struct dw_http_options *options)
{
	struct dw_http_server *server = h2o_mem_alloc(sizeof(*server));
	enum dw_status status;

	memset(server, 0, sizeof(*server));
	server->loop = loop;
	server->options = *options;
	*out = NULL;
	status = listen_on(server);
	if (status != DW_OK)
		return status;
	/* A write to a connection that was cut must fail with EPIPE, not end the process. */
	signal(SIGPIPE, SIG_IGN);
	configure(server);
	uv_timer_init(loop, &server->gone_timer);
	server->gone_timer.data = server;
	uv_timer_start(&server->gone_timer, on_gone_timer, GONE_CHECK_MS, GONE_CHECK_MS);
	uv_unref((uv_handle_t *)&server->gone_timer);
	*out = server;
	return DW_OK;
}

uint16_t dw_http_server_port(const struct dw_http_server *server)
{
	struct sockaddr_in address;
	int len = sizeof(address);

	uv_tcp_getsockname(&server->listener, (struct sockaddr *)&address, &len);
	return ntohs(address.sin_port);
}

void dw_http_server_end_connections(struct dw_http_server *server)
{
	if (server->stopping)
		return;
	server->stopping = true;
	h2o_context_request_shutdown(&server->context);
}

void dw_http_server_stop_accepting(struct dw_http_server *server)
{
	dw_http_server_end_connections(server);
	if (!uv_is_closing((uv_handle_t *)&server->listener))
		uv_close((uv_handle_t *)&server->listener, NULL);
}

size_t dw_http_server_active(const struct dw_http_server *server)
{
	return server->active;
}

const char *dw_http_method(const struct dw_http_exchange *exchange)
{
	return exchange->method;
}

const char *dw_http_path(const struct dw_http_exchange *exchange)
{
	return exchange->path;
}

const char *dw_http_query(const struct dw_http_exchange *exchange)
{
	return exchange->query;
}

const char *dw_http_header(struct dw_http_exchange *exchange, const char *name)
{
	h2o_headers_t *headers = &exchange->req->headers;
	ssize_t at = -1;

	if (strcmp(name, "host") == 0)
		return text_of(exchange->req, exchange->req->authority.base,
			       exchange->req->authority.len);
	for (size_t i = 0; i < headers->size && at < 0; i++) {
		h2o_iovec_t *found = headers->entries[i].name;

		if (found->len == strlen(name) && strncasecmp(found->base, name, found->len) == 0)
			at = (ssize_t)i;
	}
	if (at < 0)
		return NULL;
	return text_of(exchange->req, headers->entries[at].value.base,
		       headers->entries[at].value.len);
}

const char *dw_http_body(const struct dw_http_exchange *exchange, size_t *len)
{
	*len = exchange->req->entity.base ? exchange->req->entity.len : 0;
	return *len ? exchange->req->entity.base : "";
}

void dw_http_on_gone(struct dw_http_exchange *exchange, dw_http_gone gone, void *data)
{
	exchange->gone = gone;
	exchange->gone_data = data;
}

void dw_http_on_drained(struct dw_http_exchange *exchange, dw_http_gone drained, void *data)
{
	exchange->drained = drained;
	exchange->drained_data = data;
}

void dw_http_add_header(struct dw_http_exchange *exchange, const char *name, const char *value)
{
	h2o_req_t *req = exchange->req;
	h2o_iovec_t kept_name = h2o_strdup(&req->pool, name, SIZE_MAX);
	h2o_iovec_t kept_value = h2o_strdup(&req->pool, value, SIZE_MAX);

	h2o_add_header_by_str(&req->pool, &req->res.headers, kept_name.base, kept_name.len, 1, NULL,
			      kept_value.base, kept_value.len);
}

static const char *reason_of(int status)
{
	static const struct {
		int status;
		const char *reason;
	} reasons[] = {
		{ 200, "OK" },
		{ 400, "Bad Request" },
		{ 401, "Unauthorized" },
		{ 403, "Forbidden" },
		{ 404, "Not Found" },
		{ 405, "Method Not Allowed" },
		{ 409, "Conflict" },
		{ 410, "Gone" },
		{ 413, "Payload Too Large" },
		{ 422, "Unprocessable Entity" },
		{ 429, "Too Many Requests" },
		{ 500, "Internal Server Error" },
		{ 502, "Bad Gateway" },
		{ 503, "Service Unavailable" },
		{ 504, "Gateway Timeout" },
	};

	for (size_t i = 0; i < sizeof(reasons) / sizeof(reasons[0]); i++) {
		if (reasons[i].status == status)
			return reasons[i].reason;
	}
	return "Other";
}

static void set_status(struct dw_http_exchange *exchange, int status, const char *content_type)
{
	h2o_req_t *req = exchange->req;
	h2o_iovec_t type = h2o_strdup(&req->pool, content_type, SIZE_MAX);

	req->res.status = status;
	req->res.reason = reason_of(status);
	h2o_add_header(&req->pool, &req->res.headers, H2O_TOKEN_CONTENT_TYPE, NULL, type.base,
		       type.len);
	if (exchange->server->stopping)
		req->http1_is_persistent = 0;
}

void dw_http_respond(struct dw_http_exchange *exchange, int status, const char *content_type,
		     const char *body, size_t len)
{
	set_status(exchange, status, content_type);
	exchange->end_asked = true;
	exchange->final_sent = true;
	exchange->req->res.content_length = len;
	h2o_send_inline(exchange->req, body, len);
}

void dw_http_stream_start(struct dw_http_exchange *exchange, int status, const char *content_type)
{
	set_status(exchange, status, content_type);
	exchange->started = true;
	h2o_start_response(exchange->req, &exchange->generator);
}

void dw_http_stream_write(struct dw_http_exchange *exchange, const char *bytes, size_t len)
{
	bytes_append(&exchange->pending, bytes, len);
	exchange_send(exchange);
}

size_t dw_http_stream_queued(const struct dw_http_exchange *exchange)
{
	return exchange->pending.len + exchange->in_flight.len;
}

void dw_http_stream_end(struct dw_http_exchange *exchange, bool whole)
{
	exchange->end_asked = true;
	exchange->end_whole = whole;
	exchange_send(exchange);
}
