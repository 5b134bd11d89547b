/**
 * @file load_exchange.h
 * Exchanges the loads reported by engines with the other instances: sends digests at a fixed period
 * to where the library says (load_spread.h), and applies the digests that arrive.
 */
#ifndef GATEWAY_LOAD_EXCHANGE_H
#define GATEWAY_LOAD_EXCHANGE_H

#include <dragonflywharf/load_spread.h>

#include "wharf-gateway/view.h"

struct load_exchange {
	struct view *view;
	struct dw_load_spread *spread;
	uv_timer_t timer;
};

/** Starts sending; does nothing if the settings have no peer address. */
void load_exchange_start(struct load_exchange *exchange, uv_loop_t *loop, struct view *view);

/** The members have changed. */
void load_exchange_place(struct load_exchange *exchange, const struct dw_view_member *members,
			 uint32_t count);

/** Applies a digest from another instance. */
void load_exchange_receive(struct load_exchange *exchange, const struct dw_member *from,
			   const uint8_t *bytes, size_t len);

#endif
