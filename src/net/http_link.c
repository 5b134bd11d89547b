#include "net/http_link.h"

#include <stdlib.h>
#include <string.h>
#include <strings.h>

#include <utlist.h>

#include "net/tcp_socket.h"

#define READ_BYTES 16384
/* A server closes an idle connection at its own timeout; ours is this much sooner, so that no
 * request crosses that close. */
#define IDLE_MARGIN_MS 400

enum link_state {
	LINK_CONNECTING,
	LINK_BUSY,
	LINK_RELEASED, /**< by its owner while bytes were being read: they may hold more than the answer */
	LINK_IDLE,
	LINK_CLOSING
};

struct http_link {
	uv_tcp_t tcp;
	uv_connect_t connect;
	uv_timer_t idle_timer;
	struct http_pool *pool;
	struct dw_endpoint server;
	enum link_state state;
	struct http_reader reader;
	const struct http_link_calls *calls;
	void *owner;
	uint64_t requests; /**< sent on this connection */
	uint32_t writes_pending;
	uint32_t handles_open;
	uint32_t keep_alive_ms; /**< the server's own idle timeout; 0: not told */
	bool head_seen;
	bool keep_alive;
	bool is_dropped; /**< a callback refused the answer */
	bool is_feeding; /**< within link_feed() */
	char *unsent; /**< the request, until the connection stands */
	size_t unsent_len;
	struct http_link *prev;
	struct http_link *next;
};

struct http_pool {
	struct http_pool_options options;
	struct http_link *idle; /**< most recently used first */
	uint64_t connections;
	char buffer[READ_BYTES]; /**< one read at a time: a process has one loop */
};

struct link_write {
	uv_write_t request;
	struct http_link *link;
	char bytes[];
};

static const char *const failure_names[HTTP_LINK_FAILURE_COUNT] = {
	[HTTP_LINK_NOT_CONNECTED] = "not_connected",
	[HTTP_LINK_NO_ANSWER] = "no_answer",
	[HTTP_LINK_CUT] = "cut",
	[HTTP_LINK_MALFORMED] = "malformed",
};

const char *http_link_failure_name(enum http_link_failure failure)
{
	return failure < HTTP_LINK_FAILURE_COUNT ? failure_names[failure] : "unknown";
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
	struct http_link *link = handle->data;

	if (--link->handles_open > 0)
		return;
	http_reader_close(&link->reader);
	free(link->unsent);
	free(link);
}

static void link_close(struct http_link *link)
{
	if (link->state == LINK_CLOSING)
		return;
	if (link->state == LINK_IDLE)
		DL_DELETE(link->pool->idle, link);
	link->state = LINK_CLOSING;
	link->calls = NULL;
	uv_close((uv_handle_t *)&link->idle_timer, on_handle_closed);
	uv_close((uv_handle_t *)&link->tcp, on_handle_closed);
}

void http_link_abort(struct http_link *link)
{
	link_close(link);
}

static void link_fail(struct http_link *link, enum http_link_failure failure)
{
	const struct http_link_calls *calls = link->calls;
	void *owner = link->owner;

	link_close(link);
	if (calls)
		calls->on_failed(owner, failure);
}

static enum http_link_failure failure_now(const struct http_link *link)
{
	if (link->state == LINK_CONNECTING)
		return HTTP_LINK_NOT_CONNECTED;
	return link->head_seen ? HTTP_LINK_CUT : HTTP_LINK_NO_ANSWER;
}

static uint32_t keep_alive_ms(const struct http_head *head)
{
	const char *value = http_head_get(head, "Keep-Alive");
	const char *at = value ? strstr(value, "timeout=") : NULL;

	return at ? (uint32_t)strtoul(at + strlen("timeout="), NULL, 10) * 1000 : 0;
}

static bool on_head(void *data, const struct http_head *head)
{
	struct http_link *link = data;

	if (head->status < 200)
		return true; /* an interim answer: the real one follows */
	link->head_seen = true;
	link->keep_alive = head->keep_alive && !head->ends_with_connection;
	link->keep_alive_ms = keep_alive_ms(head);
	if (link->state == LINK_BUSY && link->calls->on_head(link->owner, head))
		return true;
	link->is_dropped = true;
	return false;
}

static bool on_body(void *data, const char *bytes, size_t len)
{
	struct http_link *link = data;

	if (link->state == LINK_BUSY && link->calls->on_body(link->owner, bytes, len))
		return true;
	link->is_dropped = true;
	return false;
}

static void on_end(void *data)
{
	struct http_link *link = data;

	if (link->reader.head.status < 200)
		return;
	if (link->state == LINK_BUSY)
		link->calls->on_end(link->owner);
}

static const struct http_reader_calls reader_calls = { on_head, on_body, on_end };

static uint32_t idle_ms(const struct http_link *link)
{
	uint32_t own_ms = link->pool->options.idle_timeout_ms;

	if (link->keep_alive_ms == 0 || link->keep_alive_ms >= own_ms + IDLE_MARGIN_MS)
		return own_ms;
	return link->keep_alive_ms > IDLE_MARGIN_MS ? link->keep_alive_ms - IDLE_MARGIN_MS : 0;
}

static void on_idle_timeout(uv_timer_t *timer)
{
	link_close(timer->data);
}

static void on_alloc(uv_handle_t *handle, size_t suggested, uv_buf_t *buffer)
{
	struct http_link *link = handle->data;

	*buffer = uv_buf_init(link->pool->buffer, sizeof(link->pool->buffer));
}

static void on_read(uv_stream_t *stream, ssize_t len, const uv_buf_t *buffer);

static void link_rest(struct http_link *link)
{
	link->state = LINK_IDLE;
	DL_PREPEND(link->pool->idle, link);
	uv_read_start((uv_stream_t *)&link->tcp, on_alloc, on_read);
	uv_timer_start(&link->idle_timer, on_idle_timeout, idle_ms(link), 0);
}

static void link_feed(struct http_link *link, const char *bytes, size_t len)
{
	link->is_feeding = true;
	while (len > 0 && link->state == LINK_BUSY) {
		size_t used = 0;
		enum dw_status status;

		if (link->reader.ended)
			http_reader_next(&link->reader);
		status = http_reader_feed(&link->reader, bytes, len, &used);
		if (link->state == LINK_CLOSING)
			return;
		if (status != DW_OK) {
			link_fail(link, link->is_dropped || link->head_seen ? HTTP_LINK_CUT
									    : HTTP_LINK_MALFORMED);
			return;
		}
		bytes += used;
		len -= used;
	}
	link->is_feeding = false;
	if (link->state == LINK_RELEASED && len == 0)
		link_rest(link);
	else if (link->state == LINK_RELEASED || (len > 0 && link->state == LINK_IDLE))
		link_close(link); /* bytes after a complete answer belong to no request */
}

static void on_read(uv_stream_t *stream, ssize_t len, const uv_buf_t *buffer)
{
	struct http_link *link = stream->data;

	if (len > 0) {
		link_feed(link, buffer->base, (size_t)len);
		return;
	}
	if (len == 0)
		return;
	if (link->state == LINK_IDLE) {
		link_close(link);
		return;
	}
	link->keep_alive = false;
	if (len == UV_EOF && link->state == LINK_BUSY && link->head_seen && !link->reader.ended &&
	    !tcp_socket_was_reset(&link->tcp) && http_reader_eof(&link->reader) == DW_OK)
		return;
	if (link->state != LINK_CLOSING)
		link_fail(link, failure_now(link));
}

static void on_written(uv_write_t *request, int status)
{
	struct link_write *write = (struct link_write *)request;
	struct http_link *link = write->link;

	link->writes_pending--;
	free(write);
	if (status != 0 && status != UV_ECANCELED && link->state == LINK_BUSY)
		link_fail(link, failure_now(link));
}

static void link_write(struct http_link *link, const char *bytes, size_t len)
{
	struct link_write *write = malloc(sizeof(*write) + len);
	uv_buf_t buffer;

	if (!write)
		abort();
	memcpy(write->bytes, bytes, len);
	write->link = link;
	buffer = uv_buf_init(write->bytes, (unsigned int)len);
	link->writes_pending++;
	if (uv_write(&write->request, (uv_stream_t *)&link->tcp, &buffer, 1, on_written) != 0) {
		link->writes_pending--;
		free(write);
		/* The read side reports the broken connection. */
	}
}

static void on_connected(uv_connect_t *request, int status)
{
	struct http_link *link = request->data;

	if (link->state != LINK_CONNECTING)
		return;
	if (status != 0) {
		link_fail(link, HTTP_LINK_NOT_CONNECTED);
		return;
	}
	tcp_socket_set_options(&link->tcp, link->pool->options.unanswered_timeout_ms);
	link->state = LINK_BUSY;
	uv_read_start((uv_stream_t *)&link->tcp, on_alloc, on_read);
	link_write(link, link->unsent, link->unsent_len);
	free(link->unsent);
	link->unsent = NULL;
}

static struct http_link *link_open(struct http_pool *pool, const struct dw_endpoint *server)
{
	struct http_link *link = calloc(1, sizeof(*link));
	struct sockaddr_in address;

	if (!link)
		abort();
	link->pool = pool;
	link->server = *server;
	link->state = LINK_CONNECTING;
	uv_tcp_init(pool->options.loop, &link->tcp);
	uv_timer_init(pool->options.loop, &link->idle_timer);
	link->handles_open = 2;
	link->tcp.data = link;
	link->idle_timer.data = link;
	link->connect.data = link;
	http_reader_init(&link->reader, HTTP_READER_RESPONSE, pool->options.max_head_bytes,
			 &reader_calls, link);
	uv_ip4_addr(server->ip, server->port, &address);
	pool->connections++;
	if (uv_tcp_connect(&link->connect, &link->tcp, (const struct sockaddr *)&address,
			   on_connected) == 0)
		return link;
	link_close(link);
	return NULL;
}

static struct http_link *take_idle(struct http_pool *pool, const struct dw_endpoint *server)
{
	struct http_link *link;

	DL_FOREACH(pool->idle, link) {
		if (link->server.port == server->port && strcmp(link->server.ip, server->ip) == 0)
			break;
	}
	if (!link)
		return NULL;
	DL_DELETE(pool->idle, link);
	uv_timer_stop(&link->idle_timer);
	return link;
}

struct http_link *http_pool_send(struct http_pool *pool, const struct dw_endpoint *server,
				 bool fresh, const void *request, size_t len,
				 const struct http_link_calls *calls, void *owner)
{
	struct http_link *link = fresh ? NULL : take_idle(pool, server);

	if (link) {
		link->state = LINK_BUSY;
		http_reader_next(&link->reader);
	} else {
		link = link_open(pool, server);
		if (!link)
			return NULL;
		link->unsent = malloc(len);
		if (!link->unsent)
			abort();
		memcpy(link->unsent, request, len);
		link->unsent_len = len;
	}
	link->calls = calls;
	link->owner = owner;
	link->head_seen = false;
	link->is_dropped = false;
	link->requests++;
	if (link->state == LINK_BUSY)
		link_write(link, request, len);
	return link;
}

bool http_link_is_connected(const struct http_link *link)
{
	return link->state == LINK_BUSY;
}

static uint32_t count_idle(const struct http_pool *pool, const struct dw_endpoint *server)
{
	const struct http_link *link;
	uint32_t count = 0;

	DL_FOREACH(pool->idle, link)
		count += link->server.port == server->port &&
			 strcmp(link->server.ip, server->ip) == 0;
	return count;
}

void http_link_release(struct http_link *link)
{
	struct http_pool *pool = link->pool;

	link->calls = NULL;
	/* A server that answered before it read the whole request still waits for the rest. */
	if (link->state != LINK_BUSY || !link->keep_alive || !link->reader.ended ||
	    link->writes_pending > 0 || idle_ms(link) == 0 ||
	    count_idle(pool, &link->server) >= pool->options.max_idle) {
		link_close(link);
		return;
	}
	if (link->is_feeding)
		link->state = LINK_RELEASED;
	else
		link_rest(link);
}

void http_link_pause(struct http_link *link, bool paused)
{
	if (link->state != LINK_BUSY)
		return;
	if (paused)
		uv_read_stop((uv_stream_t *)&link->tcp);
	else
		uv_read_start((uv_stream_t *)&link->tcp, on_alloc, on_read);
}

uint64_t http_pool_connections(const struct http_pool *pool)
{
	return pool->connections;
}

void http_pool_free(struct http_pool *pool)
{
	struct http_link *link;
	struct http_link *next;

	DL_FOREACH_SAFE(pool->idle, link, next)
		link_close(link);
	free(pool);
}
