#include "wharf-gateway/load_broadcast.h"

#include <string.h>

#include <dragonflywharf/load_digest.h>

#include "base/clock.h"

#define SEND_PERIOD_MS 300

static void on_alloc(uv_handle_t *handle, size_t suggested, uv_buf_t *buffer)
{
	struct load_broadcast *broadcast = handle->data;

	*buffer = uv_buf_init(broadcast->receive_buffer, sizeof(broadcast->receive_buffer));
}

static void on_datagram(uv_udp_t *socket, ssize_t len, const uv_buf_t *buffer,
			const struct sockaddr *from, unsigned int flags)
{
	struct load_broadcast *broadcast = socket->data;
	struct view *view = broadcast->view;
	char ip[16] = "";

	if (len <= 0 || !from)
		return;
	uv_ip4_name((const struct sockaddr_in *)from, ip, sizeof(ip));
	if (presence_has_peer_ip(&view->presence, ip) &&
	    dw_load_digest_read(view->engines, (const uint8_t *)buffer->base, (size_t)len,
				dw_clock_now_us()) == DW_OK)
		return;
	dw_counters_add(view->counters, DW_COUNTER_BAD_INPUTS, 1);
}

static void send_digest(const struct dw_endpoint *peer, void *data)
{
	struct load_broadcast *broadcast = ((void **)data)[0];
	uv_buf_t *digest = ((void **)data)[1];
	struct sockaddr_in address;

	uv_ip4_addr(peer->ip, peer->port, &address);
	/* A digest that doesn't fit into the socket's send buffer is dropped; the next period sends a new
	 * one. */
	uv_udp_try_send(&broadcast->socket, digest, 1, (const struct sockaddr *)&address);
}

static void on_send_timer(uv_timer_t *timer)
{
	struct load_broadcast *broadcast = timer->data;
	uint8_t bytes[DW_LOAD_DIGEST_BYTES];
	size_t len = dw_load_digest_write(broadcast->view->engines, dw_clock_now_us(), bytes,
					  sizeof(bytes));
	uv_buf_t digest = uv_buf_init((char *)bytes, (unsigned int)len);
	void *data[] = { broadcast, &digest };

	if (len > 0)
		presence_for_each_peer(&broadcast->view->presence, send_digest, data);
}

enum dw_status load_broadcast_start(struct load_broadcast *broadcast, uv_loop_t *loop,
				    struct view *view)
{
	const struct dw_endpoint *own = &view->settings->peer_address;
	struct sockaddr_in address;
	int error;

	broadcast->view = view;
	if (own->port == 0)
		return DW_OK;
	uv_udp_init(loop, &broadcast->socket);
	broadcast->socket.data = broadcast;
	uv_ip4_addr(own->ip, own->port, &address);
	error = uv_udp_bind(&broadcast->socket, (const struct sockaddr *)&address, 0);
	if (error == 0)
		error = uv_udp_recv_start(&broadcast->socket, on_alloc, on_datagram);
	if (error != 0)
		return dw_fail(DW_UNAVAILABLE, "cannot bind %s:%u: %s", own->ip, own->port,
			       uv_strerror(error));
	uv_timer_init(loop, &broadcast->timer);
	broadcast->timer.data = broadcast;
	uv_timer_start(&broadcast->timer, on_send_timer, SEND_PERIOD_MS, SEND_PERIOD_MS);
	return DW_OK;
}
