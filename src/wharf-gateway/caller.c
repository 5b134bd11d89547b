#include "wharf-gateway/caller_state.h"

#include <stdlib.h>
#include <string.h>
#include <strings.h>

#include <utlist.h>

#include "base/clock.h"
#include "base/error_json.h"
#include "net/tcp_socket.h"
#include "platform/response_fields.h"

#define READ_BUFFER_BYTES 65536
/* Pipelined input that is buffered while a request is being answered; beyond it, reading stops. */
#define MAX_PIPELINED_BYTES 65536
/* The same while over half of the memory for callers is held. */
#define TIGHT_PIPELINED_BYTES 4096
/* A connection that waits for its next request keeps no larger buffer for heads. */
#define IDLE_HEAD_BYTES 4096
/* How often it is checked whether a caller still reads the end of its answer after the idle timeout. */
#define UNREAD_CHECK_MS 1000
#define UNACKNOWLEDGED_TIMEOUT_MS 4000
/* Added to the idle timeout, so that a request sent just before its end still finds the connection
 * open. */
#define IDLE_MARGIN_MS 500

static char read_buffer[READ_BUFFER_BYTES]; /* shared: one loop, one read at a time */

static void caller_feed(struct caller *caller, const char *bytes, size_t len);

static void on_handle_closed(uv_handle_t *handle)
{
	struct caller *caller = handle->data;

	if (--caller->handles_open > 0)
		return;
	http_reader_close(&caller->reader);
	bytes_free(&caller->body);
	bytes_free(&caller->pipelined);
	free(caller);
}

void caller_close(struct caller *caller)
{
	void *request = caller->state == CALLER_ANSWERING ? caller->request : NULL;

	if (caller->state == CALLER_CLOSING)
		return;
	caller->state = CALLER_CLOSING;
	caller->request = NULL;
	DL_DELETE(caller->list->first, caller);
	caller->list->count--;
	caller_room_close(caller);
	uv_close((uv_handle_t *)&caller->timer, on_handle_closed);
	uv_close((uv_handle_t *)&caller->tcp, on_handle_closed);
	if (request)
		caller->callbacks->on_disconnect(request);
}

static void on_idle_timeout(uv_timer_t *timer)
{
	struct caller *caller = timer->data;

	if (caller_still_reads(caller))
		uv_timer_start(timer, on_idle_timeout, UNREAD_CHECK_MS, 0);
	else
		caller_close(caller);
}

static void on_alloc(uv_handle_t *handle, size_t suggested, uv_buf_t *buffer)
{
	*buffer = uv_buf_init(read_buffer, sizeof(read_buffer));
}

static void on_read(uv_stream_t *stream, ssize_t len, const uv_buf_t *buffer);

/* Whether input can be parsed now: no request is being answered, and the caller reads its answers, so that
 * those to pipelined requests don't pile up. */
static bool can_parse(const struct caller *caller)
{
	return caller->state == CALLER_READING ||
	       (caller->state == CALLER_IDLE && !caller_output_is_full(caller));
}

/* Processes pipelined input, unless caller_feed() is already running further up the stack. */
static void resume_pipelined(struct caller *caller)
{
	struct bytes pipelined = caller->pipelined;

	if (caller->is_feeding || !can_parse(caller) || pipelined.len == 0)
		return;
	memset(&caller->pipelined, 0, sizeof(caller->pipelined));
	caller_feed(caller, pipelined.data, pipelined.len);
	bytes_free(&pipelined);
}

void caller_resume_input(struct caller *caller)
{
	if (caller->state == CALLER_CLOSING || caller->state == CALLER_ANSWERING)
		return;
	if (caller->is_paused && (caller->state == CALLER_LINGERING || can_parse(caller))) {
		caller->is_paused = false;
		uv_read_start((uv_stream_t *)&caller->tcp, on_alloc, on_read);
	}
	if (caller->state == CALLER_IDLE)
		resume_pipelined(caller);
}

void caller_wait_for_request(struct caller *caller)
{
	const struct dw_caller_limits *limits = caller->callbacks->limits(caller->owner);

	caller->state = CALLER_IDLE;
	caller->request = NULL;
	caller->is_refused = false;
	caller->has_input = false;
	caller->method_len = 0;
	caller->buffered_bytes = 0;
	bytes_free(&caller->body);
	if (caller->reader.text_size > IDLE_HEAD_BYTES)
		http_reader_close(&caller->reader);
	http_reader_next(&caller->reader);
	caller->reader.max_head_bytes = limits->max_header_bytes;
	caller_expect_reading(caller);
	caller_room_update(caller);
	uv_timer_start(&caller->timer, on_idle_timeout, limits->idle_timeout_ms + IDLE_MARGIN_MS,
		       0);
	caller_resume_input(caller);
}

void caller_refuse(struct caller *caller, int status, const char *reason, enum dw_status error,
		   const char *message, uint32_t retry_after_ms)
{
	char *text = error_json(error, NOT_RUN_PROVEN, message);
	struct bytes fields = { 0 };

	caller->state = CALLER_ANSWERING;
	caller->request = NULL;
	caller->close_after = true;
	caller->is_refused = true;
	bytes_put_text(&fields, "Content-Type: application/json\r\n");
	if (retry_after_ms > 0)
		retry_after_write(&fields, retry_after_ms);
	caller_begin(caller, status, reason, &fields, strlen(text));
	caller_write(caller, text, strlen(text));
	caller_end(caller);
	bytes_free(&fields);
	free(text);
}

static bool on_head(void *data, const struct http_head *head)
{
	struct caller *caller = data;
	const struct dw_caller_limits *limits = caller->callbacks->limits(caller->owner);
	const char *expect = http_head_get(head, "Expect");
	struct bytes interim = { 0 };

	if (head->has_content_length && head->content_length > limits->max_body_bytes) {
		caller_refuse(caller, 413, "Content Too Large", DW_TOO_LARGE,
			      "the body is too long: over the configured maximum", 0);
		return false;
	}
	if (!caller_room_make(caller, head->content_length)) {
		caller_room_reject(caller);
		return false;
	}
	if (head->has_content_length)
		bytes_reserve(&caller->body, head->content_length);
	caller_room_update(caller);
	caller->transfer_began_at_us = dw_clock_now_us();
	caller->transferred_bytes = 0;
	if (!head->keep_alive)
		caller->close_after = true;
	if (expect && strcasecmp(expect, "100-continue") == 0) {
		bytes_put_text(&interim, "HTTP/1.1 100 Continue\r\n\r\n");
		caller_send(caller, &interim);
		bytes_free(&interim);
	}
	return true;
}

static bool on_body(void *data, const char *bytes, size_t len)
{
	struct caller *caller = data;
	size_t growth;

	if (caller->body.len + len > caller->callbacks->limits(caller->owner)->max_body_bytes) {
		caller_refuse(caller, 413, "Content Too Large", DW_TOO_LARGE,
			      "the body is too long: over the configured maximum", 0);
		return false;
	}
	growth = bytes_growth(&caller->body, len);
	if (growth > 0 && !caller_room_make(caller, growth)) {
		caller_room_reject(caller);
		return false;
	}
	bytes_put(&caller->body, bytes, len);
	if (growth > 0)
		caller_room_update(caller);
	caller->transferred_bytes += len;
	return true;
}

static void on_end(void *data)
{
	struct caller *caller = data;

	/* feed_request() dispatches the request once the reader has returned. */
	caller->state = CALLER_ANSWERING;
	uv_timer_stop(&caller->timer);
}

static const struct http_reader_callbacks reader_callbacks = { on_head, on_body, on_end };

static void on_reading_timeout(uv_timer_t *timer)
{
	struct caller *caller = timer->data;

	caller_refuse(caller, 408, "Request Timeout", DW_TIMEOUT,
		      "the request was not received completely within the time limit", 0);
}

/* A body has to go on within the idle timeout, and to come at the least rate, so that a trickle of bytes
 * doesn't extend it for ever. */
static void restart_body_timeout(struct caller *caller)
{
	uint64_t timeout_ms = caller->callbacks->limits(caller->owner)->idle_timeout_ms;
	uint64_t now_us = dw_clock_now_us();
	uint64_t end_us = dw_caller_transfer_deadline_us(caller->transfer_began_at_us,
							 caller->transferred_bytes);
	uint64_t left_ms = end_us > now_us ? (end_us - now_us) / DW_US_PER_MS : 0;

	uv_timer_start(&caller->timer, on_reading_timeout,
		       left_ms < timeout_ms ? left_ms : timeout_ms, 0);
}

static void dispatch_request(struct caller *caller)
{
	struct caller_request request = {
		.head = &caller->reader.head,
		.body = caller->body.data ? caller->body.data : "",
		.body_len = caller->body.len,
		.arrived_at_us = dw_clock_now_us(),
	};
	void *handle = caller->callbacks->on_request(caller->owner, caller, &request);

	/* The answer may already have ended within the call. */
	if (caller->state == CALLER_ANSWERING)
		caller->request = handle;
}

static void refuse_malformed(struct caller *caller, enum dw_status status)
{
	if (status == DW_TOO_LARGE)
		caller_refuse(caller, 431, "Request Header Fields Too Large", status,
			      "the header is too long: over the configured maximum", 0);
	else
		caller_refuse(caller, 400, "Bad Request", status, "the request is malformed", 0);
}

static void buffer_pipelined(struct caller *caller, const char *bytes, size_t len)
{
	size_t limit = caller_room_is_tight(caller) ? TIGHT_PIPELINED_BYTES : MAX_PIPELINED_BYTES;

	bytes_put(&caller->pipelined, bytes, len);
	caller_room_update(caller);
	if (caller->pipelined.len <= limit)
		return;
	caller->is_paused = true;
	uv_read_stop((uv_stream_t *)&caller->tcp);
}

/* Keeps the first bytes of the request line, which may come one by one. */
static void note_method(struct caller *caller, const char *bytes, size_t len)
{
	for (size_t i = 0; i < len && caller->method_len < sizeof(caller->method); i++) {
		if (caller->method_len > 0 || (bytes[i] != '\r' && bytes[i] != '\n'))
			caller->method[caller->method_len++] = bytes[i];
	}
}

/* Parses input of one request; @return the number of bytes consumed. */
static size_t feed_request(struct caller *caller, const char *bytes, size_t len)
{
	const struct dw_caller_limits *limits = caller->callbacks->limits(caller->owner);
	enum dw_status status;
	size_t used = 0;

	if (caller->state == CALLER_IDLE) {
		caller->state = CALLER_READING;
		/* Empty lines before a request don't extend the time for its head. */
		if (!caller->has_input)
			uv_timer_start(&caller->timer, on_reading_timeout,
				       limits->header_timeout_ms, 0);
		caller->has_input = true;
	}
	note_method(caller, bytes, len);
	status = http_reader_feed(&caller->reader, bytes, len, &used);
	if (caller->state == CALLER_CLOSING || caller->state == CALLER_LINGERING)
		return len;
	if (status != DW_OK) {
		refuse_malformed(caller, status);
		return len;
	}
	if (!caller->reader.started)
		caller->state = CALLER_IDLE; /* only empty lines so far */
	else if (!caller->reader.in_head && caller->state == CALLER_READING)
		restart_body_timeout(caller);
	caller_room_moved(caller, used);
	caller_room_update(caller);
	if (caller->state == CALLER_ANSWERING) {
		dispatch_request(caller);
	} else if (!caller_room_make(caller, 0)) {
		caller_room_reject(caller);
		return len;
	}
	return used;
}

static void caller_feed(struct caller *caller, const char *bytes, size_t len)
{
	caller->is_feeding = true;
	while (len > 0 && can_parse(caller)) {
		size_t used = feed_request(caller, bytes, len);

		bytes += used;
		len -= used;
	}
	caller->is_feeding = false;
	if (len > 0 && (caller->state == CALLER_ANSWERING || caller->state == CALLER_IDLE))
		buffer_pipelined(caller, bytes, len);
}

static void on_read(uv_stream_t *stream, ssize_t len, const uv_buf_t *buffer)
{
	struct caller *caller = stream->data;

	if (len == 0)
		return;
	if (len < 0) {
		caller_close(caller);
		return;
	}
	switch (caller->state) {
	case CALLER_IDLE:
	case CALLER_READING:
		/* Input that waits because answers are unread comes first. */
		if (caller->pipelined.len > 0) {
			buffer_pipelined(caller, buffer->base, (size_t)len);
			caller_resume_input(caller);
		} else {
			caller_feed(caller, buffer->base, (size_t)len);
		}
		break;
	case CALLER_ANSWERING:
		buffer_pipelined(caller, buffer->base, (size_t)len);
		break;
	case CALLER_LINGERING:
	case CALLER_CLOSING:
	case CALLER_STATE_COUNT:
		break;
	}
}

void caller_accept(uv_stream_t *listener, struct caller_list *list,
		   const struct caller_callbacks *callbacks, void *owner)
{
	struct caller *caller = calloc(1, sizeof(*caller));

	if (!caller)
		abort();
	caller->callbacks = callbacks;
	caller->owner = owner;
	caller->list = list;
	DL_PREPEND(list->first, caller);
	list->count++;
	uv_tcp_init(listener->loop, &caller->tcp);
	uv_timer_init(listener->loop, &caller->timer);
	caller->handles_open = 2;
	caller->tcp.data = caller;
	caller->timer.data = caller;
	http_reader_init(&caller->reader, HTTP_READER_REQUEST,
			 callbacks->limits(owner)->max_header_bytes, &reader_callbacks, caller);
	if (uv_accept(listener, (uv_stream_t *)&caller->tcp) != 0) {
		caller_close(caller);
		return;
	}
	tcp_socket_set_options(&caller->tcp, UNACKNOWLEDGED_TIMEOUT_MS);
	switch (caller_room_open(caller)) {
	case DW_CALLER_ACCEPT:
	case DW_CALLER_ADMISSION_COUNT:
		caller_wait_for_request(caller);
		break;
	case DW_CALLER_REJECT:
		caller_refuse(caller, 503, "Service Unavailable", DW_OVERLOADED,
			      "too many connections of callers", CALLER_RETRY_AFTER_MS);
		break;
	case DW_CALLER_DROP:
		caller_close(caller);
		return;
	}
	if (caller->state != CALLER_CLOSING)
		uv_read_start((uv_stream_t *)&caller->tcp, on_alloc, on_read);
}

void caller_list_close_idle(struct caller_list *list)
{
	struct caller *caller;
	struct caller *next;

	DL_FOREACH_SAFE(list->first, caller, next) {
		/* Its last answer may still be on the way. */
		if (caller->state == CALLER_IDLE && !caller_still_reads(caller))
			caller_close(caller);
	}
}

void caller_list_stop_requests(struct caller_list *list)
{
	struct caller *caller;
	struct caller *next;

	DL_FOREACH_SAFE(list->first, caller, next) {
		if (caller->state == CALLER_ANSWERING && caller->request &&
		    caller->callbacks->on_stop)
			caller->callbacks->on_stop(caller->request);
	}
}
