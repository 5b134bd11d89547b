/**
 * @file graceful_shutdown.h
 * Decides which requests an instance accepts during a graceful shutdown.
 *
 * It first accepts all requests, since the load balancer needs time to notice the shutdown, and
 * then only those expected to complete before the process exits. A refused request has not been
 * executed, so it can be retried on another instance. One that may run only once is accepted only if
 * all of its time is left: its caller can't repeat it if it is cut.
 */
#ifndef DRAGONFLYWHARF_GRACEFUL_SHUTDOWN_H
#define DRAGONFLYWHARF_GRACEFUL_SHUTDOWN_H

#include <dragonflywharf/catalog.h>

#ifdef __cplusplus
extern "C" {
#endif

struct dw_graceful_shutdown {
	uint64_t started_at_us; /**< when the shutdown started; 0: not shutting down */
	uint64_t end_at_us; /**< requests still in progress then are aborted */
};

/** True if a request that ends at @p deadline_us at the latest is accepted at @p now_us. */
bool dw_graceful_shutdown_accepts(const struct dw_graceful_shutdown *state, enum dw_route_kind kind,
				  uint64_t deadline_us, uint64_t now_us);

/** The deadline of an accepted request: not after the end of the shutdown, so that it is answered before. */
uint64_t dw_graceful_shutdown_deadline_us(const struct dw_graceful_shutdown *state,
					  uint64_t deadline_us);

#ifdef __cplusplus
}
#endif

#endif
