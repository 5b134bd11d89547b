/**
 * @file load_share.h
 * Tells the other instances, by datagrams, what this one hears of engines' loads, and hears theirs.
 */
#ifndef GATEWAY_LOAD_SHARE_H
#define GATEWAY_LOAD_SHARE_H

#include "wharf-gateway/view.h"

struct load_share {
	struct view *view;
	uv_udp_t socket;
	uv_timer_t timer;
	char buffer[2048]; /**< of a datagram that comes */
};

/** Does nothing where the settings name no peer address. */
enum dw_status load_share_start(struct load_share *share, uv_loop_t *loop, struct view *view);

#endif
