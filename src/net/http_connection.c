#include "net/http_connection.h"

#include <stdlib.h>
#include <string.h>
#include <strings.h>

#include <utlist.h>

#include "net/tcp_socket.h"

#define READ_BYTES 16384
/* Interim responses before the final one; more are no answer. */
#define INTERIM_MAX 16
/* Idle connections are closed this long before the server's own Keep-Alive timeout, so that no
 * request is sent while the server is closing the connection. */
#define IDLE_MARGIN_MS 400

enum connection_state {
	CONNECTION_CONNECTING,
	CONNECTION_BUSY,
	/** Released within connection_feed(), which still checks the remaining data. */
	CONNECTION_RELEASED,
	CONNECTION_IDLE,
	CONNECTION_CLOSING
};

struct http_connection {
	uv_tcp_t tcp;
	uv_connect_t connect;
	uv_timer_t idle_timer;
	struct http_pool *pool;
	struct dw_endpoint server;
	enum connection_state state;
	struct http_reader reader;
	const struct http_connection_callbacks *callbacks;
	void *owner;
	uint64_t requests; /**< sent on this connection */
	uint64_t avoided_keys; /**< a set of bits, see key_bit() */
	uint32_t writes_pending;
	uint32_t handles_open;
	uint32_t server_keep_alive_ms; /**< from the server's Keep-Alive field; 0 if absent */
	uint32_t interim_count; /**< interim responses to the request in progress */
	bool head_seen;
	bool keep_alive;
	bool is_rejected; /**< a callback returned false */
	bool is_feeding; /**< within connection_feed() */
	int error; /**< of libuv, when the connection failed */
	char *unsent; /**< the request, until the connection is established */
	size_t unsent_len;
	struct http_connection *prev;
	struct http_connection *next;
};

struct http_pool {
	struct http_pool_options options;
	struct http_connection *idle; /**< most recently used first */
	uint64_t connections_opened;
	/** Shared by all connections: they run on one loop, so each read is processed before the
	 * next one. */
	char buffer[READ_BYTES];
};

struct connection_write {
	uv_write_t request;
	struct http_connection *connection;
	char bytes[];
};

static const char *const failure_names[HTTP_CONNECTION_FAILURE_COUNT] = {
	[HTTP_CONNECTION_NOT_ESTABLISHED] = "not_connected",
	[HTTP_CONNECTION_NO_RESPONSE] = "no_answer",
	[HTTP_CONNECTION_TRUNCATED_RESPONSE] = "cut",
	[HTTP_CONNECTION_MALFORMED_RESPONSE] = "malformed",
};

const char *http_connection_failure_name(enum http_connection_failure failure)
{
	return failure < HTTP_CONNECTION_FAILURE_COUNT ? failure_names[failure] : "unknown";
}

struct http_pool *http_pool_new(const struct http_pool_options *options)
{
	struct http_pool *pool = calloc(1, sizeof(*pool));

	if (!pool)
		abort();
	pool->options = *options;
	return pool;
}

static void on_handle_closed(uv_handle_t *handle)
{
	struct http_connection *connection = handle->data;

	if (--connection->handles_open > 0)
		return;
	http_reader_close(&connection->reader);
	free(connection->unsent);
	free(connection);
}

static void connection_close(struct http_connection *connection)
{
	if (connection->state == CONNECTION_CLOSING)
		return;
	if (connection->state == CONNECTION_IDLE)
		DL_DELETE(connection->pool->idle, connection);
	connection->state = CONNECTION_CLOSING;
	connection->callbacks = NULL;
	uv_close((uv_handle_t *)&connection->idle_timer, on_handle_closed);
	uv_close((uv_handle_t *)&connection->tcp, on_handle_closed);
}

void http_connection_abort(struct http_connection *connection)
{
	connection_close(connection);
}

static void connection_fail(struct http_connection *connection,
			    enum http_connection_failure failure)
{
	const struct http_connection_callbacks *callbacks = connection->callbacks;
	void *owner = connection->owner;

	connection_close(connection);
	if (callbacks)
		callbacks->on_failed(owner, failure);
}

/* The failure to report if the connection ends now. */
static enum http_connection_failure disconnect_failure(const struct http_connection *connection)
{
	if (connection->state == CONNECTION_CONNECTING)
		return HTTP_CONNECTION_NOT_ESTABLISHED;
	return connection->head_seen ? HTTP_CONNECTION_TRUNCATED_RESPONSE
				     : HTTP_CONNECTION_NO_RESPONSE;
}

/* Timeout in the Keep-Alive field of a response; 0 if there is none. */
static uint32_t parse_keep_alive_ms(const struct http_head *head)
{
	const char *value = http_head_get(head, "Keep-Alive");
	const char *at = value ? strstr(value, "timeout=") : NULL;

	return at ? (uint32_t)strtoul(at + strlen("timeout="), NULL, 10) * 1000 : 0;
}

/* A response to HEAD that would have a body if the request had another method. A second copy of it that
 * comes late would be read with that body, so its connection isn't reused. */
static bool has_body_for_other_methods(const struct http_connection *connection,
				       const struct http_head *head)
{
	return connection->reader.skip_body && head->status != 204 && head->status != 304 &&
	       !(head->has_content_length && head->content_length == 0);
}

static bool on_head(void *data, const struct http_head *head)
{
	struct http_connection *connection = data;

	/* After an interim response the final one follows. */
	if (head->status < 200)
		return ++connection->interim_count <= INTERIM_MAX;
	connection->head_seen = true;
	connection->keep_alive = head->keep_alive && !head->ends_at_close &&
				 !has_body_for_other_methods(connection, head);
	connection->server_keep_alive_ms = parse_keep_alive_ms(head);
	if (connection->state == CONNECTION_BUSY &&
	    connection->callbacks->on_head(connection->owner, head))
		return true;
	connection->is_rejected = true;
	return false;
}

static bool on_body(void *data, const char *bytes, size_t len)
{
	struct http_connection *connection = data;

	if (connection->state == CONNECTION_BUSY &&
	    connection->callbacks->on_body(connection->owner, bytes, len))
		return true;
	connection->is_rejected = true;
	return false;
}

static void on_end(void *data)
{
	struct http_connection *connection = data;

	if (connection->reader.head.status < 200)
		return;
	if (connection->state == CONNECTION_BUSY)
		connection->callbacks->on_end(connection->owner);
}

static const struct http_reader_callbacks reader_callbacks = { on_head, on_body, on_end };

static uint32_t idle_timeout_ms_of(const struct http_connection *connection)
{
	uint32_t pool_timeout_ms = connection->pool->options.idle_timeout_ms;

	if (connection->server_keep_alive_ms == 0 ||
	    connection->server_keep_alive_ms >= pool_timeout_ms + IDLE_MARGIN_MS)
		return pool_timeout_ms;
	return connection->server_keep_alive_ms > IDLE_MARGIN_MS
		       ? connection->server_keep_alive_ms - IDLE_MARGIN_MS
		       : 0;
}

static void on_idle_timeout(uv_timer_t *timer)
{
	connection_close(timer->data);
}

static void on_alloc(uv_handle_t *handle, size_t suggested, uv_buf_t *buffer)
{
	struct http_connection *connection = handle->data;

	*buffer = uv_buf_init(connection->pool->buffer, sizeof(connection->pool->buffer));
}

static void on_read(uv_stream_t *stream, ssize_t len, const uv_buf_t *buffer);

static void connection_make_idle(struct http_connection *connection)
{
	connection->state = CONNECTION_IDLE;
	DL_PREPEND(connection->pool->idle, connection);
	uv_read_start((uv_stream_t *)&connection->tcp, on_alloc, on_read);
	uv_timer_start(&connection->idle_timer, on_idle_timeout, idle_timeout_ms_of(connection), 0);
}

static void connection_feed(struct http_connection *connection, const char *bytes, size_t len)
{
	connection->is_feeding = true;
	while (len > 0 && connection->state == CONNECTION_BUSY) {
		size_t used = 0;
		enum dw_status status;

		if (connection->reader.is_complete)
			http_reader_next(&connection->reader);
		status = http_reader_feed(&connection->reader, bytes, len, &used);
		if (connection->state == CONNECTION_CLOSING)
			return;
		if (status != DW_OK) {
			connection_fail(connection, connection->is_rejected || connection->head_seen
							    ? HTTP_CONNECTION_TRUNCATED_RESPONSE
							    : HTTP_CONNECTION_MALFORMED_RESPONSE);
			return;
		}
		bytes += used;
		len -= used;
	}
	connection->is_feeding = false;
	/* Data after a complete response belongs to no request, so it closes the connection. */
	if (connection->state == CONNECTION_RELEASED && len == 0)
		connection_make_idle(connection);
	else if (connection->state == CONNECTION_RELEASED ||
		 (len > 0 && connection->state == CONNECTION_IDLE))
		connection_close(connection);
}

static void on_read(uv_stream_t *stream, ssize_t len, const uv_buf_t *buffer)
{
	struct http_connection *connection = stream->data;

	if (len > 0) {
		connection_feed(connection, buffer->base, (size_t)len);
		return;
	}
	if (len == 0)
		return;
	if (connection->state == CONNECTION_IDLE) {
		connection_close(connection);
		return;
	}
	connection->keep_alive = false;
	connection->error = (int)len;
	/* An orderly close completes a response without a length: http_reader_eof() calls
	 * on_end(). */
	if (len == UV_EOF && connection->state == CONNECTION_BUSY && connection->head_seen &&
	    !connection->reader.is_complete && !tcp_socket_was_reset(&connection->tcp) &&
	    http_reader_eof(&connection->reader) == DW_OK) {
		/* It was another request's answer; no other one can come. */
		if (connection->state == CONNECTION_BUSY)
			connection_fail(connection, HTTP_CONNECTION_NO_RESPONSE);
		return;
	}
	if (connection->state != CONNECTION_CLOSING)
		connection_fail(connection, disconnect_failure(connection));
}

static void on_written(uv_write_t *request, int status)
{
	struct connection_write *write = (struct connection_write *)request;
	struct http_connection *connection = write->connection;

	connection->writes_pending--;
	free(write);
	if (status == 0 || status == UV_ECANCELED || connection->state != CONNECTION_BUSY)
		return;
	connection->error = status;
	connection_fail(connection, disconnect_failure(connection));
}

static void connection_write(struct http_connection *connection, const char *bytes, size_t len)
{
	struct connection_write *write = malloc(sizeof(*write) + len);
	uv_buf_t buffer;

	if (!write)
		abort();
	memcpy(write->bytes, bytes, len);
	write->connection = connection;
	buffer = uv_buf_init(write->bytes, (unsigned int)len);
	connection->writes_pending++;
	if (uv_write(&write->request, (uv_stream_t *)&connection->tcp, &buffer, 1, on_written) !=
	    0) {
		connection->writes_pending--;
		free(write);
		/* on_read() reports the broken connection. */
	}
}

static void on_connected(uv_connect_t *request, int status)
{
	struct http_connection *connection = request->data;

	if (connection->state != CONNECTION_CONNECTING)
		return;
	if (status != 0) {
		connection->error = status;
		connection_fail(connection, HTTP_CONNECTION_NOT_ESTABLISHED);
		return;
	}
	tcp_socket_set_options(&connection->tcp,
			       connection->pool->options.unacknowledged_timeout_ms);
	connection->state = CONNECTION_BUSY;
	uv_read_start((uv_stream_t *)&connection->tcp, on_alloc, on_read);
	connection_write(connection, connection->unsent, connection->unsent_len);
	free(connection->unsent);
	connection->unsent = NULL;
}

static struct http_connection *connection_open(struct http_pool *pool,
					       const struct dw_endpoint *server)
{
	struct http_connection *connection = calloc(1, sizeof(*connection));
	struct sockaddr_in address;

	if (!connection)
		abort();
	connection->pool = pool;
	connection->server = *server;
	connection->state = CONNECTION_CONNECTING;
	uv_tcp_init(pool->options.loop, &connection->tcp);
	uv_timer_init(pool->options.loop, &connection->idle_timer);
	connection->handles_open = 2;
	connection->tcp.data = connection;
	connection->idle_timer.data = connection;
	connection->connect.data = connection;
	http_reader_init(&connection->reader, HTTP_READER_RESPONSE, pool->options.max_head_bytes,
			 &reader_callbacks, connection);
	uv_ip4_addr(server->ip, server->port, &address);
	pool->connections_opened++;
	if (uv_tcp_connect(&connection->connect, &connection->tcp,
			   (const struct sockaddr *)&address, on_connected) == 0)
		return connection;
	connection_close(connection);
	return NULL;
}

static uint64_t key_bit(uint64_t key)
{
	return UINT64_C(1) << (key % 64);
}

static struct http_connection *take_idle_connection(struct http_pool *pool,
						    const struct dw_endpoint *server, uint64_t key)
{
	struct http_connection *connection;

	DL_FOREACH(pool->idle, connection) {
		if (connection->server.port == server->port &&
		    strcmp(connection->server.ip, server->ip) == 0 &&
		    !(connection->avoided_keys & key_bit(key)))
			break;
	}
	if (!connection)
		return NULL;
	DL_DELETE(pool->idle, connection);
	uv_timer_stop(&connection->idle_timer);
	return connection;
}

static bool is_head_request(const char *request, size_t len)
{
	static const char method[] = "HEAD ";

	return len >= strlen(method) && memcmp(request, method, strlen(method)) == 0;
}

struct http_connection *http_pool_send(struct http_pool *pool, const struct dw_endpoint *server,
				       uint64_t key, const void *request, size_t len,
				       const struct http_connection_callbacks *callbacks,
				       void *owner)
{
	struct http_connection *connection = take_idle_connection(pool, server, key);

	if (connection) {
		connection->state = CONNECTION_BUSY;
		http_reader_next(&connection->reader);
	} else {
		connection = connection_open(pool, server);
		if (!connection)
			return NULL;
		connection->unsent = malloc(len);
		if (!connection->unsent)
			abort();
		memcpy(connection->unsent, request, len);
		connection->unsent_len = len;
	}
	connection->reader.skip_body = is_head_request(request, len);
	connection->callbacks = callbacks;
	connection->owner = owner;
	connection->head_seen = false;
	connection->interim_count = 0;
	connection->is_rejected = false;
	connection->requests++;
	if (connection->state == CONNECTION_BUSY)
		connection_write(connection, request, len);
	return connection;
}

bool http_connection_is_reused(const struct http_connection *connection)
{
	return connection->requests > 1;
}

void http_connection_avoid(struct http_connection *connection, uint64_t key)
{
	connection->avoided_keys |= key_bit(key);
}

bool http_connection_is_established(const struct http_connection *connection)
{
	return connection->state == CONNECTION_BUSY;
}

int http_connection_error(const struct http_connection *connection)
{
	return connection->error;
}

static uint32_t count_idle(const struct http_pool *pool, const struct dw_endpoint *server)
{
	const struct http_connection *connection;
	uint32_t count = 0;

	DL_FOREACH(pool->idle, connection)
		count += connection->server.port == server->port &&
			 strcmp(connection->server.ip, server->ip) == 0;
	return count;
}

void http_connection_release(struct http_connection *connection)
{
	struct http_pool *pool = connection->pool;

	connection->callbacks = NULL;
	/* With writes pending, the server responded before it read the complete request and still
	 * expects the rest, so the connection cannot be reused. */
	if (connection->state != CONNECTION_BUSY || !connection->keep_alive ||
	    !connection->reader.is_complete || connection->writes_pending > 0 ||
	    idle_timeout_ms_of(connection) == 0 ||
	    count_idle(pool, &connection->server) >= pool->options.max_idle) {
		connection_close(connection);
		return;
	}
	if (connection->is_feeding)
		connection->state = CONNECTION_RELEASED;
	else
		connection_make_idle(connection);
}

void http_connection_set_paused(struct http_connection *connection, bool paused)
{
	if (connection->state != CONNECTION_BUSY)
		return;
	if (paused)
		uv_read_stop((uv_stream_t *)&connection->tcp);
	else
		uv_read_start((uv_stream_t *)&connection->tcp, on_alloc, on_read);
}

uint64_t http_pool_connections_opened(const struct http_pool *pool)
{
	return pool->connections_opened;
}

void http_pool_free(struct http_pool *pool)
{
	struct http_connection *connection;
	struct http_connection *next;

	DL_FOREACH_SAFE(pool->idle, connection, next)
		connection_close(connection);
	free(pool);
}
