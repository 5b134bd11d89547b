/**
 * @file load_broadcast.h
 * Tells the other instances, by datagrams, what this one hears of engines' loads, and hears theirs.
 */
#ifndef GATEWAY_LOAD_BROADCAST_H
#define GATEWAY_LOAD_BROADCAST_H

#include "wharf-gateway/view.h"

struct load_broadcast {
	struct view *view;
	uv_udp_t socket;
	uv_timer_t timer;
	char buffer[2048]; /**< of a datagram that comes */
};

/** Does nothing where the settings name no peer address. */
enum dw_status load_broadcast_start(struct load_broadcast *share, uv_loop_t *loop,
				    struct view *view);

#endif
