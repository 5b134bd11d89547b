#include "dragonflywharfd/sentinel.h"

#include <errno.h>
#include <stdlib.h>
#include <sys/socket.h>

/** After a failed try; a connection that was open is made again at once, as an idle one may have
 * been closed by an upstream that is well. */
#define RECONNECT_MS 50U

struct sentinel {
	uv_tcp_t tcp;
	uv_timer_t timer;
	uv_connect_t connect;
	struct sockaddr_in address;
	sentinel_changed changed;
	void *data;
	bool open;
	bool was_open; /* until its end has been dealt with */
	bool tcp_live; /* the handle is initialised and not closing */
	bool closing;
};

static void start_connect(struct sentinel *sentinel);

static void on_timer_closed(uv_handle_t *handle)
{
	free(handle->data);
}

static void on_retry(uv_timer_t *timer)
{
	start_connect(timer->data);
}

static void on_tcp_closed(uv_handle_t *handle)
{
	struct sentinel *sentinel = handle->data;

	if (sentinel->closing)
		uv_close((uv_handle_t *)&sentinel->timer, on_timer_closed);
	else
		uv_timer_start(&sentinel->timer, on_retry, sentinel->was_open ? 0 : RECONNECT_MS,
			       0);
	sentinel->was_open = false;
}

static void drop_connection(struct sentinel *sentinel)
{
	bool was_open = sentinel->open;

	if (!sentinel->tcp_live)
		return;
	sentinel->tcp_live = false;
	sentinel->open = false;
	uv_close((uv_handle_t *)&sentinel->tcp, on_tcp_closed);
	if (was_open && !sentinel->closing)
		sentinel->changed(false, sentinel->data);
}

static void on_alloc(uv_handle_t *handle, size_t suggested, uv_buf_t *buf)
{
	static char bytes[256];

	*buf = uv_buf_init(bytes, sizeof(bytes));
}

static void on_read(uv_stream_t *stream, ssize_t n, const uv_buf_t *buf)
{
	if (n < 0)
		drop_connection(stream->data);
}

static void on_connected(uv_connect_t *request, int status)
{
	struct sentinel *sentinel = request->data;

	if (status == UV_ECANCELED)
		return;
	if (status != 0 || uv_read_start((uv_stream_t *)&sentinel->tcp, on_alloc, on_read) != 0) {
		drop_connection(sentinel);
		return;
	}
	sentinel->open = true;
	sentinel->was_open = true;
	sentinel->changed(true, sentinel->data);
}

static void start_connect(struct sentinel *sentinel)
{
	uv_loop_t *loop = sentinel->timer.loop;

	uv_tcp_init(loop, &sentinel->tcp);
	sentinel->tcp.data = sentinel;
	sentinel->connect.data = sentinel;
	sentinel->tcp_live = true;
	if (uv_tcp_connect(&sentinel->connect, &sentinel->tcp,
			   (const struct sockaddr *)&sentinel->address, on_connected) != 0)
		drop_connection(sentinel);
}

struct sentinel *sentinel_open(uv_loop_t *loop, const char *ip, uint16_t port,
			       sentinel_changed changed, void *data)
{
	struct sentinel *sentinel = calloc(1, sizeof(*sentinel));

	if (!sentinel)
		abort();
	sentinel->changed = changed;
	sentinel->data = data;
	uv_ip4_addr(ip, port, &sentinel->address);
	uv_timer_init(loop, &sentinel->timer);
	sentinel->timer.data = sentinel;
	start_connect(sentinel);
	return sentinel;
}

bool sentinel_look(struct sentinel *sentinel)
{
	uv_os_fd_t fd;
	char byte;
	ssize_t n;

	if (!sentinel->open || uv_fileno((uv_handle_t *)&sentinel->tcp, &fd) != 0)
		return false;
	n = recv(fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
	if (n == 0 || (n < 0 && errno != EAGAIN && errno != EINTR))
		drop_connection(sentinel);
	return sentinel->open;
}

bool sentinel_is_open(const struct sentinel *sentinel)
{
	return sentinel->open;
}

void sentinel_close(struct sentinel *sentinel)
{
	sentinel->closing = true;
	if (sentinel->tcp_live) {
		drop_connection(sentinel);
		return;
	}
	/* Between two connections: the closing one's callback goes on, or the timer waits. */
	if (uv_is_active((uv_handle_t *)&sentinel->timer)) {
		uv_timer_stop(&sentinel->timer);
		uv_close((uv_handle_t *)&sentinel->timer, on_timer_closed);
	}
}
