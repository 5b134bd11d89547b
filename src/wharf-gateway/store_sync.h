/**
 * @file store_sync.h
 * Keeps the view in step with the store: reads all keys once, then watches; reads again when the
 * history is lost, and tries again with growing pauses while the store is away.
 */
#ifndef GATEWAY_STORE_SYNC_H
#define GATEWAY_STORE_SYNC_H

#include <uv.h>

#include "wharf-gateway/view.h"

struct store_sync {
	uv_loop_t *loop;
	struct dw_store *store;
	struct view *view;
	uv_timer_t retry;
	struct dw_store_watch *watch;
	uint64_t next_revision; /**< to watch from; 0: all keys must be read first */
	uint64_t asked_at_us; /**< when the reading of all keys began */
	uint32_t failures; /**< in a row */
	uint64_t gather_us; /**< changes gather this long between two calls of the watch */
	uint64_t random;
	bool is_stopped;
};

void store_sync_start(struct store_sync *sync, uv_loop_t *loop, struct dw_store *store,
		      struct view *view, uint64_t gather_us, uint64_t seed);
void store_sync_stop(struct store_sync *sync);

#endif
