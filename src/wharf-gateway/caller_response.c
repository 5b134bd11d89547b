#include "wharf-gateway/caller_state.h"

#include <inttypes.h>
#include <linux/sockios.h>
#include <stdlib.h>
#include <string.h>
#include <sys/ioctl.h>

#include "base/clock.h"

#define CONGESTED_BYTES (256U * 1024)
/* The same while over half of the memory for callers is held. */
#define TIGHT_CONGESTED_BYTES (16U * 1024)
/* While memory is short, an answer isn't buffered to its end beyond this, at the cost of a retry. */
#define TIGHT_BUFFERED_BYTES (64U * 1024)
/* How long a connection lingers once its caller has read the last answer, and how often it is checked
 * whether it has. */
#define LINGER_MS 1000
/* A caller that reads nothing for this long has stopped; its machine's window probes are answered sooner. */
#define UNREAD_TIMEOUT_US (4 * DW_US_PER_S)
#define STATUS_OK 200
#define STATUS_NO_CONTENT 204
#define STATUS_NOT_MODIFIED 304

struct caller_write_request {
	uv_write_t request;
	struct caller *caller;
	size_t len;
	char bytes[];
};

static void on_written(uv_write_t *request, int status)
{
	struct caller_write_request *write = (struct caller_write_request *)request;
	struct caller *caller = write->caller;
	size_t len = write->len;

	free(write);
	if (status != 0) {
		caller_close(caller);
		return;
	}
	caller_room_moved(caller, len);
	caller_room_update(caller);
	if (caller->is_awaiting_drain && !caller_output_is_full(caller)) {
		caller->is_awaiting_drain = false;
		if (caller->request)
			caller->callbacks->on_drained(caller->request);
	}
	if (caller->state == CALLER_IDLE)
		caller_resume_input(caller);
}

void caller_send(struct caller *caller, const struct bytes *bytes)
{
	struct caller_write_request *write;
	uv_buf_t buffer;

	if (caller->state == CALLER_CLOSING || bytes->len == 0)
		return;
	write = malloc(sizeof(*write) + bytes->len);
	if (!write)
		abort();
	memcpy(write->bytes, bytes->data, bytes->len);
	write->caller = caller;
	write->len = bytes->len;
	buffer = uv_buf_init(write->bytes, (unsigned int)bytes->len);
	if (uv_write(&write->request, (uv_stream_t *)&caller->tcp, &buffer, 1, on_written) != 0)
		free(write); /* on_read() will report the broken connection */
	caller_room_update(caller);
}

bool caller_output_is_full(const struct caller *caller)
{
	size_t limit = caller_room_is_tight(caller) ? TIGHT_CONGESTED_BYTES : CONGESTED_BYTES;

	return uv_stream_get_write_queue_size((const uv_stream_t *)&caller->tcp) > limit;
}

bool caller_is_congested(struct caller *caller)
{
	/* The limit changes with the memory of all callers: on_drained is due to whoever was told so. */
	if (caller_output_is_full(caller))
		caller->is_awaiting_drain = true;
	return caller->is_awaiting_drain;
}

bool caller_must_flush(struct caller *caller, size_t buffered_bytes)
{
	caller->buffered_bytes = buffered_bytes;
	caller_room_update(caller);
	return buffered_bytes > TIGHT_BUFFERED_BYTES && caller_room_is_tight(caller);
}

void caller_set_answer_length(struct caller *caller, bool has_length, uint64_t length)
{
	caller->has_answer_length = has_length;
	caller->answer_length = length;
}

/* The line is compared as received: a head that is refused may not have been parsed. */
static bool is_head_request(const struct caller *caller)
{
	return caller->method_len == sizeof(caller->method) &&
	       memcmp(caller->method, CALLER_HEAD_METHOD, sizeof(caller->method)) == 0;
}

static void put_length(const struct caller *caller, struct bytes *head, size_t length)
{
	if (caller->is_chunked)
		bytes_put_text(head, "Transfer-Encoding: chunked\r\n");
	else if (!caller->has_no_body || (length > 0 && length != CALLER_CHUNKED))
		bytes_printf(head, "Content-Length: %zu\r\n", length);
	else if (caller->has_answer_length)
		bytes_printf(head, "Content-Length: %" PRIu64 "\r\n", caller->answer_length);
}

void caller_begin(struct caller *caller, int status, const char *reason, const struct bytes *fields,
		  size_t length)
{
	struct bytes head = { 0 };

	caller->has_no_body = is_head_request(caller) || status < STATUS_OK ||
			      status == STATUS_NO_CONTENT || status == STATUS_NOT_MODIFIED;
	caller->is_chunked = length == CALLER_CHUNKED && !caller->has_no_body;
	if (caller->callbacks->is_stopping(caller->owner))
		caller->close_after = true;
	bytes_printf(&head, "HTTP/1.1 %d %s\r\n", status, reason);
	if (fields)
		bytes_put(&head, fields->data, fields->len);
	put_length(caller, &head, length);
	if (caller->close_after)
		bytes_put_text(&head, "Connection: close\r\n");
	bytes_put_text(&head, "\r\n");
	caller_send(caller, &head);
	bytes_free(&head);
}

void caller_write(struct caller *caller, const void *data, size_t len)
{
	struct bytes out = { 0 };

	if (len == 0 || caller->has_no_body)
		return;
	if (caller->is_chunked)
		bytes_printf(&out, "%zx\r\n", len);
	bytes_put(&out, data, len);
	if (caller->is_chunked)
		bytes_put_text(&out, "\r\n");
	caller_send(caller, &out);
	bytes_free(&out);
	caller_is_congested(caller);
}

size_t caller_unread_bytes(const struct caller *caller)
{
	size_t queued = uv_stream_get_write_queue_size((const uv_stream_t *)&caller->tcp);
	int in_kernel = 0;
	uv_os_fd_t fd;

	if (uv_fileno((const uv_handle_t *)&caller->tcp, &fd) != 0 ||
	    ioctl(fd, SIOCOUTQ, &in_kernel) != 0)
		return queued;
	return queued + (size_t)in_kernel;
}

void caller_expect_reading(struct caller *caller)
{
	caller->transfer_began_at_us = dw_clock_now_us();
	caller->transferred_bytes = 0;
	caller->unread_at_us = caller->transfer_began_at_us;
	caller->unread_bytes = caller_unread_bytes(caller);
}

bool caller_still_reads(struct caller *caller)
{
	size_t unread = caller_unread_bytes(caller);
	uint64_t now_us = dw_clock_now_us();

	if (unread == 0)
		return false;
	if (unread < caller->unread_bytes) {
		caller->transferred_bytes += caller->unread_bytes - unread;
		caller->unread_bytes = unread;
		caller->unread_at_us = now_us;
	}
	return now_us < caller->unread_at_us + UNREAD_TIMEOUT_US &&
	       now_us < dw_caller_transfer_deadline_us(caller->transfer_began_at_us,
						       caller->transferred_bytes);
}

static void on_linger_timeout(uv_timer_t *timer)
{
	struct caller *caller = timer->data;

	if (caller_still_reads(caller))
		return;
	/* What it has just read was the last: a moment for its own close, so that it isn't reset. */
	if (caller->unread_bytes > 0 && caller_unread_bytes(caller) == 0) {
		caller->unread_bytes = 0;
		return;
	}
	caller_close(caller);
}

static void on_shutdown(uv_shutdown_t *request, int status)
{
	free(request);
}

void caller_linger(struct caller *caller)
{
	uv_shutdown_t *request = malloc(sizeof(*request));

	if (!request)
		abort();
	caller->state = CALLER_LINGERING;
	caller->request = NULL;
	caller->buffered_bytes = 0;
	bytes_free(&caller->body);
	bytes_free(&caller->pipelined);
	/* Unread input would reset the connection when it is closed. */
	caller_resume_input(caller);
	caller_room_update(caller);
	if (uv_shutdown(request, (uv_stream_t *)&caller->tcp, on_shutdown) != 0) {
		free(request);
		caller_close(caller);
		return;
	}
	caller_expect_reading(caller);
	uv_timer_start(&caller->timer, on_linger_timeout, LINGER_MS, LINGER_MS);
}

void caller_end(struct caller *caller)
{
	struct bytes last = { 0 };

	if (caller->state == CALLER_CLOSING)
		return;
	if (caller->is_chunked) {
		bytes_put_text(&last, "0\r\n\r\n");
		caller_send(caller, &last);
		bytes_free(&last);
	}
	caller->has_answer_length = false;
	if (caller->close_after || caller->is_refused) {
		caller_linger(caller);
		return;
	}
	caller_wait_for_request(caller);
}

void caller_break_off(struct caller *caller)
{
	caller->request = NULL;
	caller_close(caller);
}
