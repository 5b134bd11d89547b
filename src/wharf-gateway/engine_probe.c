#include "wharf-gateway/engine_probe.h"

#include <stdlib.h>
#include <string.h>

#include "base/clock.h"

#define TIMEOUT_MS 500
#define CONNECTIONS_MAX 3

struct engine_probe {
	engine_probe_done done;
	void *owner;
	char engine_id[DW_ENGINE_TEXT_BYTES];
	struct sockaddr_in address;
	uint64_t started_at_us; /* of the connection */
	uint32_t connections; /* made so far */
	uint32_t hold_ms; /* of this connection */
	uv_tcp_t tcp;
	uv_connect_t connect;
	uv_timer_t timer;
	bool is_finished;
	char byte; /* nothing is expected from the engine */
};

static void open_connection(struct engine_probe *probe);

static void on_timer_closed(uv_handle_t *handle)
{
	free(handle->data);
}

/* The connection has closed: the probe ends, or makes the next one. */
static void on_connection_closed(uv_handle_t *handle)
{
	struct engine_probe *probe = handle->data;

	if (probe->is_finished)
		uv_close((uv_handle_t *)&probe->timer, on_timer_closed);
	else
		open_connection(probe);
}

static void close_connection(struct engine_probe *probe)
{
	uv_timer_stop(&probe->timer);
	if (!uv_is_closing((uv_handle_t *)&probe->tcp))
		uv_close((uv_handle_t *)&probe->tcp, on_connection_closed);
}

static void finish(struct engine_probe *probe, enum engine_probe_result result)
{
	if (probe->is_finished)
		return;
	probe->is_finished = true;
	probe->done(probe->owner, probe->engine_id, result, probe->started_at_us);
	close_connection(probe);
}

static void on_timeout(uv_timer_t *timer)
{
	finish(timer->data, ENGINE_PROBE_UNDECIDED);
}

static void on_held(uv_timer_t *timer)
{
	finish(timer->data, ENGINE_PROBE_CONNECTED);
}

static void on_alloc(uv_handle_t *handle, size_t suggested, uv_buf_t *buffer)
{
	struct engine_probe *probe = handle->data;

	*buffer = uv_buf_init(&probe->byte, sizeof(probe->byte));
}

/* The engine has accepted the connection and closed it. */
static void on_broken(struct engine_probe *probe)
{
	probe->hold_ms = ENGINE_PROBE_HOLD_MS;
	if (probe->connections < CONNECTIONS_MAX)
		close_connection(probe);
	else
		finish(probe, ENGINE_PROBE_CLOSED);
}

static void on_read(uv_stream_t *stream, ssize_t len, const uv_buf_t *buffer)
{
	if (len < 0)
		on_broken(stream->data);
}

static void on_connected(uv_connect_t *request, int status)
{
	struct engine_probe *probe = request->data;

	if (status == UV_ECANCELED || probe->is_finished)
		return;
	if (status == UV_ECONNREFUSED) {
		finish(probe, ENGINE_PROBE_REFUSED);
	} else if (status == UV_ECONNRESET) {
		/* It was accepted and reset before this was called. */
		on_broken(probe);
	} else if (status != 0) {
		finish(probe, ENGINE_PROBE_UNDECIDED);
	} else {
		uv_timer_start(&probe->timer, on_held, probe->hold_ms, 0);
		uv_read_start((uv_stream_t *)&probe->tcp, on_alloc, on_read);
	}
}

static void open_connection(struct engine_probe *probe)
{
	probe->connections++;
	/* What made the probe necessary happened before, at the latest in this microsecond. */
	probe->started_at_us = dw_clock_now_us() + 1;
	uv_tcp_init(probe->timer.loop, &probe->tcp);
	uv_timer_start(&probe->timer, on_timeout, TIMEOUT_MS, 0);
	if (uv_tcp_connect(&probe->connect, &probe->tcp, (const struct sockaddr *)&probe->address,
			   on_connected) != 0)
		finish(probe, ENGINE_PROBE_UNDECIDED);
}

void engine_probe_start(uv_loop_t *loop, const struct dw_engine *engine, uint32_t hold_ms,
			engine_probe_done done, void *owner)
{
	struct engine_probe *probe = calloc(1, sizeof(*probe));

	if (!probe)
		abort();
	probe->done = done;
	probe->owner = owner;
	probe->hold_ms = hold_ms;
	memcpy(probe->engine_id, engine->entry.id, sizeof(probe->engine_id));
	uv_ip4_addr(engine->entry.ip, engine->entry.port, &probe->address);
	probe->tcp.data = probe;
	probe->timer.data = probe;
	probe->connect.data = probe;
	uv_timer_init(loop, &probe->timer);
	open_connection(probe);
}
