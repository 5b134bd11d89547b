/**
 * @file digest_exchange.h
 * Exchanges news with the other instances: loads reported by engines, versions of sessions that
 * the others couldn't guess, and evidence of requests that crash engines. Sends digests at fixed periods to where the library says (spread.h), and
 * applies the digests that arrive.
 */
#ifndef GATEWAY_DIGEST_EXCHANGE_H
#define GATEWAY_DIGEST_EXCHANGE_H

#include <dragonflywharf/spread.h>

#include "wharf-gateway/view.h"

struct digest_exchange {
	struct view *view;
	struct dw_spread *spread;
	uv_timer_t load_timer;
	uv_timer_t pin_timer;
	uv_timer_t crash_timer;
};

/** Starts sending; does nothing if the settings have no peer address. */
void digest_exchange_start(struct digest_exchange *exchange, uv_loop_t *loop, struct view *view);

/** The members have changed. */
void digest_exchange_place(struct digest_exchange *exchange, const struct dw_view_member *members,
			   uint32_t count);

/** Applies a digest from another instance. */
void digest_exchange_receive(struct digest_exchange *exchange, const struct dw_member *from,
			     enum peers_digest kind, const uint8_t *bytes, size_t len);

#endif
