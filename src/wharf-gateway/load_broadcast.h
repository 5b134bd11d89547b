/**
 * @file load_broadcast.h
 * Exchanges the loads reported by engines with the other instances: broadcasts a digest to each peer
 * over UDP at a fixed period, and applies the digests that arrive.
 */
#ifndef GATEWAY_LOAD_BROADCAST_H
#define GATEWAY_LOAD_BROADCAST_H

#include "wharf-gateway/view.h"

struct load_broadcast {
	struct view *view;
	uv_udp_t socket;
	uv_timer_t timer;
	char receive_buffer[2048]; /**< for one datagram */
};

/** Binds the peer address and starts sending; does nothing if the settings have no peer address. */
enum dw_status load_broadcast_start(struct load_broadcast *broadcast, uv_loop_t *loop,
				    struct view *view);

#endif
