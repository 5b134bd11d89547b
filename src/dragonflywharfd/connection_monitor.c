#include "dragonflywharfd/connection_monitor.h"

#include <errno.h>
#include <stdlib.h>
#include <sys/socket.h>

/**
 * Delay after a failed attempt to connect. After the end of an open connection it is 0, as a
 * healthy upstream may close idle connections.
 */
#define RECONNECT_DELAY_MS 50U

struct connection_monitor {
	uv_tcp_t tcp;
	uv_timer_t timer;
	uv_connect_t connect;
	struct sockaddr_in address;
	connection_monitor_callback changed;
	void *data;
	bool open;
	bool was_open; /* the connection was open; reset when its end was handled */
	bool tcp_active; /* the handle is initialised and not closing */
	bool closing;
};

static void start_connect(struct connection_monitor *monitor);

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
	struct connection_monitor *monitor = handle->data;

	if (monitor->closing)
		uv_close((uv_handle_t *)&monitor->timer, on_timer_closed);
	else
		uv_timer_start(&monitor->timer, on_retry,
			       monitor->was_open ? 0 : RECONNECT_DELAY_MS, 0);
	monitor->was_open = false;
}

static void drop_connection(struct connection_monitor *monitor)
{
	bool was_open = monitor->open;

	if (!monitor->tcp_active)
		return;
	monitor->tcp_active = false;
	monitor->open = false;
	uv_close((uv_handle_t *)&monitor->tcp, on_tcp_closed);
	if (was_open && !monitor->closing)
		monitor->changed(false, monitor->data);
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
	struct connection_monitor *monitor = request->data;

	if (status == UV_ECANCELED)
		return;
	if (status != 0 || uv_read_start((uv_stream_t *)&monitor->tcp, on_alloc, on_read) != 0) {
		drop_connection(monitor);
		return;
	}
	monitor->open = true;
	monitor->was_open = true;
	monitor->changed(true, monitor->data);
}

static void start_connect(struct connection_monitor *monitor)
{
	uv_loop_t *loop = monitor->timer.loop;

	uv_tcp_init(loop, &monitor->tcp);
	monitor->tcp.data = monitor;
	monitor->connect.data = monitor;
	monitor->tcp_active = true;
	if (uv_tcp_connect(&monitor->connect, &monitor->tcp,
			   (const struct sockaddr *)&monitor->address, on_connected) != 0)
		drop_connection(monitor);
}

struct connection_monitor *connection_monitor_start(uv_loop_t *loop, const char *ip, uint16_t port,
						    connection_monitor_callback changed, void *data)
{
	struct connection_monitor *monitor = calloc(1, sizeof(*monitor));

	if (!monitor)
		abort();
	monitor->changed = changed;
	monitor->data = data;
	uv_ip4_addr(ip, port, &monitor->address);
	uv_timer_init(loop, &monitor->timer);
	monitor->timer.data = monitor;
	start_connect(monitor);
	return monitor;
}

bool connection_monitor_check(struct connection_monitor *monitor)
{
	uv_os_fd_t fd;
	char byte;
	ssize_t n;

	if (!monitor->open || uv_fileno((uv_handle_t *)&monitor->tcp, &fd) != 0)
		return false;
	n = recv(fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
	if (n == 0 || (n < 0 && errno != EAGAIN && errno != EINTR))
		drop_connection(monitor);
	return monitor->open;
}

bool connection_monitor_is_connected(const struct connection_monitor *monitor)
{
	return monitor->open;
}

void connection_monitor_stop(struct connection_monitor *monitor)
{
	monitor->closing = true;
	if (monitor->tcp_active) {
		drop_connection(monitor);
		return;
	}
	/* Between two connections: either on_tcp_closed() is pending, or the timer runs. */
	if (uv_is_active((uv_handle_t *)&monitor->timer)) {
		uv_timer_stop(&monitor->timer);
		uv_close((uv_handle_t *)&monitor->timer, on_timer_closed);
	}
}
