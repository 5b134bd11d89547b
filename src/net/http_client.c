#include "net/http_client.h"

#include <inttypes.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>

#include <h2o.h>
#include <uthash.h>
#include <utlist.h>

#include "base/clock.h"

/* Inactivity timeout of h2o's connections, far above any request's own deadline. */
#define IO_TIMEOUT_MS UINT64_C(600000)
#define POOL_CAPACITY 4096
#define POOL_IDLE_MS UINT64_C(5000)
/* A longer head of a response is none: h2o itself keeps reading one that doesn't end. */
#define HEAD_MAX_BYTES (64U << 10)
/* Final status codes (RFC 9110, section 15). */
#define STATUS_FINAL_MIN 200
#define STATUS_MAX 599

struct pool {
	uint64_t key; /* address and port */
	h2o_socketpool_t sockets;
	UT_hash_handle hh;
};

struct dw_http_client {
	uv_loop_t *loop;
	h2o_timeout_t io_timeout;
	h2o_http1client_ctx_t context;
	struct pool *pools;
	uv_check_t check; /* after each round of reads: heads that have become too long */
	struct dw_http_call *awaiting_head;
};

struct dw_http_call {
	struct dw_http_client *client;
	h2o_http1client_t *h2o; /* NULL once h2o is done with it */
	uv_timer_t timer; /* deadline; on_done is called from this handle's close callback */
	struct dw_http_call_options options;
	h2o_iovec_t request;
	struct dw_http_result result;
	h2o_header_t *headers; /* valid only within on_head */
	size_t header_count;
	h2o_socket_cb paused_read; /* restored by dw_http_resume(); NULL unless paused */
	struct dw_http_call *prev; /* in client->awaiting_head, while is_awaiting_head */
	struct dw_http_call *next;
	bool is_awaiting_head;
	bool has_length;
	bool may_be_reused; /* the connection may have carried another call */
	bool is_chunked;
	bool closes_after; /* the server said that it closes the connection after the response */
	bool in_callback;
	bool cancelled;
	bool finished;
};

struct dw_http_client *dw_http_client_new(uv_loop_t *loop)
{
	struct dw_http_client *client = h2o_mem_alloc(sizeof(*client));

	memset(client, 0, sizeof(*client));
	client->loop = loop;
	h2o_timeout_init(loop, &client->io_timeout, IO_TIMEOUT_MS);
	client->context.loop = loop;
	client->context.io_timeout = &client->io_timeout;
	uv_check_init(loop, &client->check);
	uv_unref((uv_handle_t *)&client->check);
	client->check.data = client;
	return client;
}

static struct pool *get_pool(struct dw_http_client *client, const struct sockaddr_in *address)
{
	uint64_t key = (uint64_t)address->sin_addr.s_addr << 16 | address->sin_port;
	struct pool *pool;

	HASH_FIND(hh, client->pools, &key, sizeof(key), pool);
	if (pool)
		return pool;
	pool = h2o_mem_alloc(sizeof(*pool));
	memset(pool, 0, sizeof(*pool));
	pool->key = key;
	h2o_socketpool_init_by_address(&pool->sockets, (struct sockaddr *)address, sizeof(*address),
				       0, POOL_CAPACITY);
	h2o_socketpool_set_timeout(&pool->sockets, client->loop, POOL_IDLE_MS);
	HASH_ADD(hh, client->pools, key, sizeof(key), pool);
	return pool;
}

static void on_timer_closed(uv_handle_t *handle)
{
	struct dw_http_call *call = handle->data;

	call->options.on_done(call, &call->result, call->options.data);
	free(call->request.base);
	free(call);
}

static void stop_awaiting_head(struct dw_http_call *call)
{
	struct dw_http_client *client = call->client;

	if (!call->is_awaiting_head)
		return;
	call->is_awaiting_head = false;
	DL_DELETE(client->awaiting_head, call);
	if (!client->awaiting_head)
		uv_check_stop(&client->check);
}

static void call_finish(struct dw_http_call *call, enum dw_status status)
{
	if (call->finished)
		return;
	call->finished = true;
	stop_awaiting_head(call);
	call->h2o = NULL;
	call->result.status = call->cancelled ? DW_CANCELLED : status;
	uv_close((uv_handle_t *)&call->timer, on_timer_closed);
}

static void call_abort(struct dw_http_call *call, enum dw_status status)
{
	if (call->h2o)
		h2o_http1client_cancel(call->h2o);
	call_finish(call, status);
}

static void on_check(uv_check_t *check)
{
	struct dw_http_client *client = check->data;
	struct dw_http_call *call;
	struct dw_http_call *next;

	DL_FOREACH_SAFE(client->awaiting_head, call, next) {
		if (call->h2o && call->h2o->sock && call->h2o->sock->input &&
		    call->h2o->sock->input->size > HEAD_MAX_BYTES)
			call_abort(call, DW_UPSTREAM_FAILED);
	}
}

static void await_head(struct dw_http_call *call)
{
	struct dw_http_client *client = call->client;

	if (!client->awaiting_head)
		uv_check_start(&client->check, on_check);
	call->is_awaiting_head = true;
	DL_APPEND(client->awaiting_head, call);
}

static void on_deadline(uv_timer_t *timer)
{
	struct dw_http_call *call = timer->data;

	if (!call->finished)
		call_abort(call, DW_TIMEOUT);
}

/* h2o takes the end of the connection between two chunks for the end of the response. */
static bool is_cut_between_chunks(const struct dw_http_call *call, const h2o_http1client_t *h2o)
{
	char byte;

	return call->is_chunked && !call->closes_after &&
	       recv(h2o_socket_get_fd(h2o->sock), &byte, sizeof(byte), MSG_PEEK | MSG_DONTWAIT) ==
		       0;
}

/* h2o takes any end of the connection for the end of a response without a length, a reset too. */
static bool is_reset_without_length(const struct dw_http_call *call, const h2o_http1client_t *h2o)
{
	struct tcp_info info = { 0 };
	socklen_t len = sizeof(info);

	return !call->has_length && !call->is_chunked &&
	       getsockopt(h2o_socket_get_fd(h2o->sock), IPPROTO_TCP, TCP_INFO, &info, &len) == 0 &&
	       info.tcpi_state == TCP_CLOSE;
}

static enum dw_status end_status(const struct dw_http_call *call, const h2o_http1client_t *h2o,
				 const char *error)
{
	if (error != h2o_http1client_error_is_eos || is_cut_between_chunks(call, h2o) ||
	    is_reset_without_length(call, h2o))
		return DW_UPSTREAM_FAILED;
	return DW_OK;
}

static int on_body(h2o_http1client_t *h2o, const char *error)
{
	struct dw_http_call *call = h2o->data;
	h2o_buffer_t **input = &h2o->sock->input;

	if ((*input)->size > 0) {
		call->in_callback = true;
		if (call->options.on_body)
			call->options.on_body(call, (*input)->bytes, (*input)->size,
					      call->options.data);
		call->in_callback = false;
		h2o_buffer_consume(input, (*input)->size);
	}
	if (error) {
		call_finish(call, end_status(call, h2o, error));
		return 0;
	}
	if (call->cancelled) {
		call_finish(call, DW_CANCELLED);
		return -1;
	}
	return 0;
}

static bool header_has(struct dw_http_call *call, const char *name, const char *word)
{
	const char *value = dw_http_call_header(call, name);

	return value && strcasestr(value, word);
}

static void read_framing(struct dw_http_call *call)
{
	call->is_chunked = header_has(call, "transfer-encoding", "chunked");
	call->has_length = dw_http_call_header(call, "content-length") != NULL;
	call->closes_after = header_has(call, "connection", "close");
}

static h2o_http1client_body_cb on_head(h2o_http1client_t *h2o, const char *error, int minor_version,
				       int status, h2o_iovec_t msg, h2o_header_t *headers,
				       size_t num_headers, int rlen)
{
	struct dw_http_call *call = h2o->data;

	stop_awaiting_head(call);
	if ((error && error != h2o_http1client_error_is_eos) || status < STATUS_FINAL_MIN ||
	    status > STATUS_MAX) {
		call_finish(call, DW_UPSTREAM_FAILED);
		return NULL;
	}
	call->result.progress = DW_HTTP_RESPONSE_STARTED;
	call->result.http_status = status;
	call->headers = headers;
	call->header_count = num_headers;
	read_framing(call);
	call->in_callback = true;
	if (call->options.on_head)
		call->options.on_head(call, status, call->options.data);
	call->in_callback = false;
	call->headers = NULL;
	call->header_count = 0;
	/* An error can only be the end of the stream here: the response has no body. */
	if (error || call->cancelled) {
		call_finish(call, DW_OK);
		return NULL;
	}
	return on_body;
}

static h2o_http1client_head_cb on_connect(h2o_http1client_t *h2o, const char *error,
					  h2o_iovec_t **bufs, size_t *count, int *is_head)
{
	struct dw_http_call *call = h2o->data;

	if (error) {
		call_finish(call, DW_UNAVAILABLE);
		return NULL;
	}
	if (call->options.may_send && !call->options.may_send(call, call->options.data)) {
		call_finish(call, DW_UNAVAILABLE);
		return NULL;
	}
	call->result.progress = DW_HTTP_SENT;
	await_head(call);
	*bufs = &call->request;
	*count = 1;
	*is_head = strcmp(call->options.method, "HEAD") == 0;
	return on_head;
}

static h2o_iovec_t format_request(const struct dw_http_call_options *options)
{
	char *base = NULL;
	size_t len = 0;
	FILE *out = open_memstream(&base, &len);

	fprintf(out, "%s %s HTTP/1.1\r\nhost: %s:%u\r\nconnection: keep-alive\r\n", options->method,
		options->path, options->ip, options->port);
	if (options->body_len > 0 || strcmp(options->method, "GET") != 0)
		fprintf(out, "content-length: %zu\r\n", options->body_len);
	for (size_t i = 0; i < options->header_count; i++)
		fprintf(out, "%s: %s\r\n", options->headers[i].name, options->headers[i].value);
	fputs("\r\n", out);
	if (options->body_len > 0)
		fwrite(options->body, 1, options->body_len, out);
	fclose(out);
	return h2o_iovec_init(base, len);
}

static void start_deadline(struct dw_http_call *call)
{
	uint64_t now_us = dw_clock_now_us();
	uint64_t remaining_us = 0;

	if (call->options.deadline_us == 0)
		return;
	if (call->options.deadline_us > now_us)
		remaining_us = call->options.deadline_us - now_us;
	uv_update_time(call->client->loop);
	uv_timer_start(&call->timer, on_deadline, (remaining_us + DW_US_PER_MS - 1) / DW_US_PER_MS,
		       0);
}

struct dw_http_call *dw_http_call(struct dw_http_client *client,
				  const struct dw_http_call_options *options)
{
	struct dw_http_call *call = h2o_mem_alloc(sizeof(*call));
	struct sockaddr_in address;
	h2o_socketpool_t *pool;

	memset(call, 0, sizeof(*call));
	call->client = client;
	call->options = *options;
	call->request = format_request(options);
	uv_timer_init(client->loop, &call->timer);
	call->timer.data = call;
	if (uv_ip4_addr(options->ip, options->port, &address) != 0) {
		call_finish(call, DW_INVALID_ARGUMENT);
		return call;
	}
	start_deadline(call);
	pool = &get_pool(client, &address)->sockets;
	call->may_be_reused = !h2o_linklist_is_empty(&pool->_shared.sockets);
	h2o_http1client_connect_with_pool(&call->h2o, call, &client->context, pool, on_connect);
	return call;
}

const char *dw_http_call_header(struct dw_http_call *call, const char *name)
{
	static _Thread_local char value[1024];

	for (size_t i = 0; i < call->header_count; i++) {
		const h2o_header_t *header = &call->headers[i];

		if (header->name->len == strlen(name) &&
		    strncasecmp(header->name->base, name, header->name->len) == 0) {
			snprintf(value, sizeof(value), "%.*s", (int)header->value.len,
				 header->value.base);
			return value;
		}
	}
	return NULL;
}

bool dw_http_call_may_be_reused(const struct dw_http_call *call)
{
	return call->may_be_reused;
}

void dw_http_cancel(struct dw_http_call *call)
{
	if (call->finished || call->cancelled)
		return;
	call->cancelled = true;
	if (!call->in_callback)
		call_abort(call, DW_CANCELLED);
}

void dw_http_pause(struct dw_http_call *call)
{
	if (!call->h2o || !call->h2o->sock || call->paused_read || !call->h2o->sock->_cb.read)
		return;
	call->paused_read = call->h2o->sock->_cb.read;
	h2o_socket_read_stop(call->h2o->sock);
}

void dw_http_resume(struct dw_http_call *call)
{
	h2o_socket_cb read = call->paused_read;

	if (!read || !call->h2o)
		return;
	call->paused_read = NULL;
	h2o_socket_read_start(call->h2o->sock, read);
}

struct fetch {
	char *body;
	size_t len;
	size_t max_bytes;
	bool too_large;
	dw_http_fetch_callback callback;
	void *data;
};

static void fetch_on_body(struct dw_http_call *call, const char *bytes, size_t len, void *data)
{
	struct fetch *fetch = data;

	if (fetch->too_large || fetch->len + len > fetch->max_bytes) {
		fetch->too_large = true;
		dw_http_cancel(call);
		return;
	}
	fetch->body = h2o_mem_realloc(fetch->body, fetch->len + len + 1);
	memcpy(fetch->body + fetch->len, bytes, len);
	fetch->len += len;
	fetch->body[fetch->len] = '\0';
}

static void fetch_on_done(struct dw_http_call *call, const struct dw_http_result *result,
			  void *data)
{
	struct fetch *fetch = data;
	struct dw_http_fetch_result out = { .result = *result, .body = "", .body_len = fetch->len };

	if (fetch->body)
		out.body = fetch->body;
	if (fetch->too_large)
		out.result.status = DW_TOO_LARGE;
	fetch->callback(&out, fetch->data);
	free(fetch->body);
	free(fetch);
}

void dw_http_fetch(struct dw_http_client *client, const struct dw_http_call_options *options,
		   size_t max_body_bytes, dw_http_fetch_callback callback, void *data)
{
	struct dw_http_call_options call_options = *options;
	struct fetch *fetch = h2o_mem_alloc(sizeof(*fetch));

	memset(fetch, 0, sizeof(*fetch));
	fetch->max_bytes = max_body_bytes;
	fetch->callback = callback;
	fetch->data = data;
	call_options.on_head = NULL;
	call_options.on_body = fetch_on_body;
	call_options.on_done = fetch_on_done;
	call_options.data = fetch;
	dw_http_call(client, &call_options);
}
