#include "net/http_server.h"

#include <errno.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include <h2o.h>

#include "base/clock.h"

#define LISTEN_BACKLOG 1024
/* Interval at which the sockets of requests in progress are checked for a disconnected client. */
#define DISCONNECT_CHECK_MS 100
#define STATUS_CLIENT_CLOSED 499
#define STATUS_TOO_LARGE 413
/* Body of the response to a request that h2o rejects before the handler; see docs/ERRORS.md. */
#define TOO_LARGE_BODY                                                                             \
	"{\"error\":{\"type\":\"too_large\",\"code\":2,"                                           \
	"\"message\":\"the request is too large\",\"not_run\":true}}"
/* h2o's value for a virtual host without an explicit port. The server has only one virtual host,
 * which gets all requests whatever their Host field says. */
#define H2O_DEFAULT_PORT 65535

struct buffer {
	char *base;
	size_t len;
	size_t capacity;
};

struct connection;

struct dw_http_exchange {
	h2o_generator_t generator; /* must be first: h2o passes a pointer to it back */
	h2o_req_t *req;
	struct dw_http_server *server;
	struct connection *connection; /* NULL if what is held for callers isn't limited */
	struct dw_http_exchange *next;
	struct dw_http_exchange *previous;
	dw_http_exchange_callback on_disconnect;
	void *on_disconnect_data;
	dw_http_exchange_callback on_drained;
	void *on_drained_data;
	const char *method;
	const char *path;
	const char *query;
	struct buffer pending; /* queued until h2o asks for more */
	struct buffer in_flight; /* passed to h2o_send(), not yet written */
	bool started;
	bool sending; /* h2o_send() was called and h2o has not asked for more yet */
	bool end_requested; /* the handler has ended the response */
	bool end_complete; /* false: close the connection without the final chunk */
	bool final_sent; /* the end of the response or an error was passed to h2o */
	bool client_disconnected;
};

/* A client connection. The handle must be first: on_connection_closed() casts it back. */
struct connection {
	uv_tcp_t tcp;
	struct dw_http_server *server;
	struct connection *next;
	struct connection *previous;
	h2o_socket_t *sock; /* NULL if it couldn't be accepted */
	struct dw_http_exchange *exchange; /* in progress */
	struct dw_caller_account
		account; /* its group is NULL without limits, and once it was ended */
	uint64_t bytes_read; /* as of the last check */
};

struct dw_http_server {
	uv_loop_t *loop;
	uv_tcp_t listener;
	uv_timer_t disconnect_timer;
	uv_check_t room_check;
	struct dw_caller_budget budget;
	h2o_globalconf_t config;
	h2o_context_t context;
	h2o_accept_ctx_t accept;
	struct dw_http_options options;
	struct dw_http_exchange *exchanges;
	struct connection *connections;
	size_t active;
	bool keep_alive_disabled;
};

struct handler {
	h2o_handler_t super;
	struct dw_http_server *server;
};

struct filter {
	h2o_filter_t super;
	struct dw_http_server *server;
};

static void buffer_append(struct buffer *buffer, const char *bytes, size_t len)
{
	if (buffer->len + len > buffer->capacity) {
		buffer->capacity = (buffer->len + len) * 2;
		buffer->base = h2o_mem_realloc(buffer->base, buffer->capacity);
	}
	memcpy(buffer->base + buffer->len, bytes, len);
	buffer->len += len;
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

static void exchange_notify_disconnect(struct dw_http_exchange *exchange)
{
	dw_http_exchange_callback on_disconnect = exchange->on_disconnect;

	if (exchange->end_requested || exchange->client_disconnected)
		return;
	exchange->client_disconnected = true;
	exchange->on_disconnect = NULL;
	if (on_disconnect)
		on_disconnect(exchange, exchange->on_disconnect_data);
}

/* Runs when h2o frees the request's memory pool, however the request ended. */
static void exchange_dispose(void *ptr)
{
	struct dw_http_exchange *exchange = ptr;

	exchange_notify_disconnect(exchange);
	exchange_unlink(exchange);
	if (exchange->connection)
		exchange->connection->exchange = NULL;
	free(exchange->pending.base);
	free(exchange->in_flight.base);
}

/* Shuts the socket down before the final chunk is sent, so that the client can tell that the
 * response is incomplete. */
static void exchange_shut_down_connection(struct dw_http_exchange *exchange)
{
	h2o_socket_t *sock = exchange->req->conn->callbacks->get_socket(exchange->req->conn);

	shutdown(h2o_socket_get_fd(sock), SHUT_RDWR);
}

static void exchange_send(struct dw_http_exchange *exchange)
{
	struct buffer swap = exchange->in_flight;
	h2o_send_state_t state = H2O_SEND_STATE_IN_PROGRESS;
	h2o_iovec_t vec;

	if (exchange->sending || exchange->final_sent)
		return;
	exchange->in_flight = exchange->pending;
	exchange->pending = swap;
	exchange->pending.len = 0;
	vec = h2o_iovec_init(exchange->in_flight.base, exchange->in_flight.len);
	if (exchange->client_disconnected ||
	    (exchange->end_requested && !exchange->end_complete && !vec.len)) {
		exchange_shut_down_connection(exchange);
		state = H2O_SEND_STATE_ERROR;
	} else if (exchange->end_requested && exchange->end_complete) {
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
	if (exchange->on_drained && !exchange->sending && !exchange->client_disconnected)
		exchange->on_drained(exchange, exchange->on_drained_data);
}

static void on_stop(h2o_generator_t *generator, h2o_req_t *req)
{
	exchange_notify_disconnect((struct dw_http_exchange *)generator);
}

static const char *copy_string(h2o_req_t *req, const char *base, size_t len)
{
	return h2o_strdup(&req->pool, base, len).base;
}

static struct connection *find_connection(const struct dw_http_server *server, h2o_req_t *req)
{
	const h2o_socket_t *sock = req->conn->callbacks->get_socket(req->conn);
	struct connection *connection = server->connections;

	while (connection && connection->sock != sock)
		connection = connection->next;
	return connection;
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
	exchange->method = copy_string(req, req->method.base, req->method.len);
	exchange->query = "";
	if (req->query_at != SIZE_MAX) {
		path_len = req->query_at;
		exchange->query = copy_string(req, req->path.base + path_len + 1,
					      req->path.len - path_len - 1);
	}
	exchange->path = copy_string(req, req->path.base, path_len);
	if (server->options.has_caller_limits) {
		exchange->connection = find_connection(server, req);
		if (exchange->connection)
			exchange->connection->exchange = exchange;
	}
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

	if (server->keep_alive_disabled)
		req->http1_is_persistent = 0;
	server->options.handler(exchange_new(server, req), server->options.data);
	return 0;
}

/* h2o does not read from a connection while its request is being handled, so a disconnect is
 * detected by peeking at the socket. */
static bool socket_is_closed(h2o_socket_t *sock)
{
	char byte;
	ssize_t n = recv(h2o_socket_get_fd(sock), &byte, 1, MSG_PEEK | MSG_DONTWAIT);

	return n == 0 || (n < 0 && errno != EAGAIN && errno != EINTR);
}

static void exchange_end_disconnected(struct dw_http_exchange *exchange)
{
	h2o_req_t *req = exchange->req;

	exchange_notify_disconnect(exchange);
	if (exchange->started) {
		exchange_send(exchange);
		return;
	}
	req->http1_is_persistent = 0;
	req->res.status = STATUS_CLIENT_CLOSED;
	req->res.reason = "Client Closed Request";
	h2o_send_inline(req, H2O_STRLIT(""));
}

static void on_disconnect_timer(uv_timer_t *timer)
{
	struct dw_http_server *server = timer->data;
	struct dw_http_exchange *exchange = server->exchanges;

	while (exchange) {
		struct dw_http_exchange *next = exchange->next;
		h2o_socket_t *sock =
			exchange->req->conn->callbacks->get_socket(exchange->req->conn);

		if (!exchange->end_requested && !exchange->client_disconnected &&
		    socket_is_closed(sock)) {
			exchange_end_disconnected(exchange);
			/* The callback may have freed other exchanges: start over. */
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
	if (connection->account.group)
		dw_caller_budget_remove(&connection->server->budget, &connection->account);
	free(connection);
}

static uint32_t address_of(const struct connection *connection)
{
	struct sockaddr_storage address;
	int len = sizeof(address);

	if (uv_tcp_getpeername(&connection->tcp, (struct sockaddr *)&address, &len) != 0 ||
	    address.ss_family != AF_INET)
		return 0;
	return ntohl(((const struct sockaddr_in *)&address)->sin_addr.s_addr);
}

/* Shuts the connection down; h2o closes it when it reads the end. It leaves the account at once, so that it
 * isn't chosen again. */
static void end_connection(struct connection *connection)
{
	uv_os_fd_t fd;

	connection->server->budget.ended++;
	dw_caller_budget_remove(&connection->server->budget, &connection->account);
	if (uv_fileno((uv_handle_t *)&connection->tcp, &fd) == 0)
		shutdown(fd, SHUT_RDWR);
}

static struct connection *owner_of(struct dw_caller_account *account)
{
	return (struct connection *)((char *)account - offsetof(struct connection, account));
}

/* @return false if there are too many connections, and none of them is stalled */
static bool admit(struct connection *connection)
{
	struct dw_http_server *server = connection->server;
	uint64_t now_us = dw_clock_now_us();
	uint32_t address = address_of(connection);
	bool fits = dw_caller_budget_admit(&server->budget, address) == DW_CALLER_ACCEPT;
	struct dw_caller_account *stalled;

	if (!fits) {
		stalled = dw_caller_budget_connection_to_end(&server->budget, address, now_us);
		if (stalled) {
			end_connection(owner_of(stalled));
			fits = dw_caller_budget_admit(&server->budget, address) == DW_CALLER_ACCEPT;
		}
	}
	if (!fits) {
		server->budget.rejected++;
		return false;
	}
	dw_caller_budget_add(&server->budget, &connection->account, address, now_us);
	return true;
}

/* What is held for the connection: its input, in which h2o also keeps the body, and queued output. */
static void update_account(struct connection *connection, uint64_t now_us)
{
	const struct dw_http_exchange *exchange = connection->exchange;
	const h2o_buffer_t *input = connection->sock->input;
	uint64_t held = sizeof(*connection);
	enum dw_caller_phase phase = DW_CALLER_IDLE;

	if (input && input->bytes)
		held += input->capacity;
	if (exchange)
		held += exchange->pending.capacity + exchange->in_flight.capacity;
	if (exchange)
		phase = DW_CALLER_RUNNING;
	else if (input && input->size > 0)
		phase = DW_CALLER_READING;
	dw_caller_account_enter(&connection->account, phase, now_us);
	dw_caller_account_move(&connection->account,
			       connection->sock->bytes_read - connection->bytes_read, now_us);
	connection->bytes_read = connection->sock->bytes_read;
	dw_caller_budget_hold(&connection->server->budget, &connection->account, held);
}

/* Ends connections while the account is over its limit: stalled ones, or else the one whose body doesn't
 * fit, as it can't be rejected before h2o has read it. */
static void make_room(struct connection *connection, uint64_t now_us)
{
	struct dw_caller_budget *budget = &connection->server->budget;
	struct dw_caller_account *stalled;

	while (connection->account.group && connection->account.phase == DW_CALLER_READING &&
	       !dw_caller_budget_fits(budget, &connection->account, 0)) {
		stalled = dw_caller_budget_memory_to_end(budget, &connection->account, now_us);
		end_connection(stalled ? owner_of(stalled) : connection);
	}
}

/* After each round of the loop, which reads at most some hundred KB from a connection. */
static void on_room_check(uv_check_t *check)
{
	struct dw_http_server *server = check->data;
	struct connection *connection;
	uint64_t now_us = dw_clock_now_us();

	for (connection = server->connections; connection; connection = connection->next) {
		if (connection->account.group && connection->sock)
			update_account(connection, now_us);
	}
	for (connection = server->connections; connection; connection = connection->next) {
		if (connection->account.group && connection->sock)
			make_room(connection, now_us);
	}
}

static void on_connection(uv_stream_t *listener, int status)
{
	struct dw_http_server *server = listener->data;
	struct connection *connection;

	if (status != 0)
		return;
	connection = h2o_mem_alloc(sizeof(*connection));
	memset(connection, 0, sizeof(*connection));
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
	if (server->options.has_caller_limits && !admit(connection)) {
		uv_close((uv_handle_t *)&connection->tcp, on_connection_closed);
		return;
	}
	uv_tcp_nodelay(&connection->tcp, 1);
	connection->sock =
		h2o_uv_socket_create((uv_stream_t *)&connection->tcp, on_connection_closed);
	h2o_accept(&server->accept, connection->sock);
}

/* What has arrived and wasn't read yet could be read after a shutdown. */
static void abort_connection(int fd)
{
	char bytes[4096];

	shutdown(fd, SHUT_RDWR);
	while (recv(fd, bytes, sizeof(bytes), MSG_DONTWAIT) > 0)
		;
}

/* Connections that the system has accepted and the server hasn't. */
static void abort_waiting(int listener)
{
	int fd;

	while ((fd = accept(listener, NULL, NULL)) >= 0)
		close(fd);
}

void dw_http_server_abort_connections(struct dw_http_server *server)
{
	struct connection *connection;
	uv_os_fd_t fd;

	/* First, as callers whose connections end open new ones, which are accepted. */
	if (uv_fileno((uv_handle_t *)&server->listener, &fd) == 0)
		abort_waiting(fd);
	for (connection = server->connections; connection; connection = connection->next) {
		if (uv_fileno((uv_handle_t *)&connection->tcp, &fd) == 0)
			abort_connection(fd);
	}
}

static bool has_exchange(const struct dw_http_server *server, const h2o_req_t *req)
{
	const struct dw_http_exchange *exchange = server->exchanges;

	while (exchange && exchange->req != req)
		exchange = exchange->next;
	return exchange != NULL;
}

static void send_too_large_body(h2o_ostream_t *self, h2o_req_t *req, h2o_iovec_t *bufs,
				size_t count, h2o_send_state_t state)
{
	h2o_iovec_t body = h2o_iovec_init(TOO_LARGE_BODY, strlen(TOO_LARGE_BODY));

	h2o_ostream_send_next(self, req, &body, 1, H2O_SEND_STATE_FINAL);
}

/* h2o rejects an oversized request itself, with a plain-text body. This replaces the body by the
 * JSON error that clients expect. */
static void on_setup_ostream(h2o_filter_t *self, h2o_req_t *req, h2o_ostream_t **slot)
{
	struct dw_http_server *server = ((struct filter *)self)->server;

	if (req->res.status == STATUS_TOO_LARGE && !has_exchange(server, req)) {
		h2o_ostream_t *stream = h2o_add_ostream(req, sizeof(*stream), slot);

		stream->do_send = send_too_large_body;
		req->res.content_length = strlen(TOO_LARGE_BODY);
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
					H2O_DEFAULT_PORT);
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

/* On failure the server is freed, after its listener has been closed if it was opened. */
static enum dw_status listen_on(struct dw_http_server *server)
{
	const struct dw_http_options *options = &server->options;
	struct sockaddr_in address;
	int rc = uv_ip4_addr(options->ip, options->port, &address);

	if (rc != 0) {
		dw_fail(DW_INVALID_ARGUMENT, "not a numeric IPv4 address: %s", options->ip);
		free(server);
		return DW_INVALID_ARGUMENT;
	}
	uv_tcp_init(server->loop, &server->listener);
	server->listener.data = server;
	rc = uv_tcp_bind(&server->listener, (const struct sockaddr *)&address, 0);
	if (rc == 0)
		rc = uv_listen((uv_stream_t *)&server->listener, LISTEN_BACKLOG, on_connection);
	if (rc != 0) {
		dw_fail(DW_UNAVAILABLE, "cannot listen on %s:%u: %s", options->ip, options->port,
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
	/* Writing to a closed connection must fail with EPIPE instead of killing the process. */
	signal(SIGPIPE, SIG_IGN);
	configure(server);
	uv_timer_init(loop, &server->disconnect_timer);
	server->disconnect_timer.data = server;
	uv_timer_start(&server->disconnect_timer, on_disconnect_timer, DISCONNECT_CHECK_MS,
		       DISCONNECT_CHECK_MS);
	uv_unref((uv_handle_t *)&server->disconnect_timer);
	if (options->has_caller_limits) {
		dw_caller_budget_set_limits(&server->budget, &options->caller_limits);
		uv_check_init(loop, &server->room_check);
		server->room_check.data = server;
		uv_check_start(&server->room_check, on_room_check);
		uv_unref((uv_handle_t *)&server->room_check);
	}
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

void dw_http_server_disable_keep_alive(struct dw_http_server *server)
{
	if (server->keep_alive_disabled)
		return;
	server->keep_alive_disabled = true;
	h2o_context_request_shutdown(&server->context);
}

void dw_http_server_stop_accepting(struct dw_http_server *server)
{
	dw_http_server_disable_keep_alive(server);
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
		return copy_string(exchange->req, exchange->req->authority.base,
				   exchange->req->authority.len);
	for (size_t i = 0; i < headers->size && at < 0; i++) {
		h2o_iovec_t *found = headers->entries[i].name;

		if (found->len == strlen(name) && strncasecmp(found->base, name, found->len) == 0)
			at = (ssize_t)i;
	}
	if (at < 0)
		return NULL;
	return copy_string(exchange->req, headers->entries[at].value.base,
			   headers->entries[at].value.len);
}

const char *dw_http_body(const struct dw_http_exchange *exchange, size_t *len)
{
	*len = exchange->req->entity.base ? exchange->req->entity.len : 0;
	return *len ? exchange->req->entity.base : "";
}

void dw_http_on_disconnect(struct dw_http_exchange *exchange,
			   dw_http_exchange_callback on_disconnect, void *data)
{
	exchange->on_disconnect = on_disconnect;
	exchange->on_disconnect_data = data;
}

void dw_http_on_drained(struct dw_http_exchange *exchange, dw_http_exchange_callback on_drained,
			void *data)
{
	exchange->on_drained = on_drained;
	exchange->on_drained_data = data;
}

void dw_http_add_header(struct dw_http_exchange *exchange, const char *name, const char *value)
{
	h2o_req_t *req = exchange->req;
	h2o_iovec_t name_copy = h2o_strdup(&req->pool, name, SIZE_MAX);
	h2o_iovec_t value_copy = h2o_strdup(&req->pool, value, SIZE_MAX);

	h2o_add_header_by_str(&req->pool, &req->res.headers, name_copy.base, name_copy.len, 1, NULL,
			      value_copy.base, value_copy.len);
}

static const char *reason_phrase(int status)
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
	req->res.reason = reason_phrase(status);
	h2o_add_header(&req->pool, &req->res.headers, H2O_TOKEN_CONTENT_TYPE, NULL, type.base,
		       type.len);
	if (exchange->server->keep_alive_disabled)
		req->http1_is_persistent = 0;
}

void dw_http_respond(struct dw_http_exchange *exchange, int status, const char *content_type,
		     const char *body, size_t len)
{
	set_status(exchange, status, content_type);
	exchange->end_requested = true;
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
	buffer_append(&exchange->pending, bytes, len);
	exchange_send(exchange);
}

size_t dw_http_stream_queued(const struct dw_http_exchange *exchange)
{
	return exchange->pending.len + exchange->in_flight.len;
}

void dw_http_stream_end(struct dw_http_exchange *exchange, bool complete)
{
	exchange->end_requested = true;
	exchange->end_complete = complete;
	exchange_send(exchange);
}
