#include "wharf-gateway/load_broadcast.h"

#include <string.h>

#include <dragonflywharf/load_digest.h>

#include "base/clock.h"

#define TELL_PERIOD_MS 300

static void on_alloc(uv_handle_t *handle, size_t suggested, uv_buf_t *buffer)
{
	struct load_broadcast *share = handle->data;

	*buffer = uv_buf_init(share->buffer, sizeof(share->buffer));
}

static void on_datagram(uv_udp_t *socket, ssize_t len, const uv_buf_t *buffer,
			const struct sockaddr *from, unsigned int flags)
{
	struct load_broadcast *share = socket->data;
	struct view *view = share->view;
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

static void tell(const struct dw_endpoint *peer, void *data)
{
	struct load_broadcast *share = ((void **)data)[0];
	uv_buf_t *digest = ((void **)data)[1];
	struct sockaddr_in address;

	uv_ip4_addr(peer->ip, peer->port, &address);
	/* A digest that the socket has no room for is as good as lost. */
	uv_udp_try_send(&share->socket, digest, 1, (const struct sockaddr *)&address);
}

static void on_tell(uv_timer_t *timer)
{
	struct load_broadcast *share = timer->data;
	uint8_t bytes[DW_LOAD_DIGEST_BYTES];
	size_t len =
		dw_load_digest_write(share->view->engines, dw_clock_now_us(), bytes, sizeof(bytes));
	uv_buf_t digest = uv_buf_init((char *)bytes, (unsigned int)len);
	void *data[] = { share, &digest };

	if (len > 0)
		presence_for_each_peer(&share->view->presence, tell, data);
}

enum dw_status load_broadcast_start(struct load_broadcast *share, uv_loop_t *loop,
				    struct view *view)
{
	const struct dw_endpoint *own = &view->settings->peer_address;
	struct sockaddr_in address;
	int error;

	share->view = view;
	if (own->port == 0)
		return DW_OK;
	uv_udp_init(loop, &share->socket);
	share->socket.data = share;
	uv_ip4_addr(own->ip, own->port, &address);
	error = uv_udp_bind(&share->socket, (const struct sockaddr *)&address, 0);
	if (error == 0)
		error = uv_udp_recv_start(&share->socket, on_alloc, on_datagram);
	if (error != 0)
		return dw_fail(DW_UNAVAILABLE, "can't bind %s:%u: %s", own->ip, own->port,
			       uv_strerror(error));
	uv_timer_init(loop, &share->timer);
	share->timer.data = share;
	uv_timer_start(&share->timer, on_tell, TELL_PERIOD_MS, TELL_PERIOD_MS);
	return DW_OK;
}
