/**
 * @file store_sync.h
 * Keeps the view in sync with the store: reads all keys once, then watches for changes. Reads all keys
 * again when the store no longer has the history that the watch needs, and retries with exponential
 * backoff while the store is unreachable.
 */
#ifndef GATEWAY_STORE_SYNC_H
#define GATEWAY_STORE_SYNC_H

#include <uv.h>

#include "wharf-gateway/view.h"

struct store_sync {
	uv_loop_t *loop;
	struct dw_store *store;
	struct view *view;
	uv_timer_t retry_timer;
	struct dw_store_watch *watch;
	uint64_t next_revision; /**< first revision to watch; 0: all keys must be read first */
	uint64_t read_started_at_us; /**< start of the latest read of all keys or watch */
	uint32_t failures; /**< consecutive failures, for the backoff */
	uint64_t min_poll_interval_us; /**< of the watch, to batch changes */
	uint64_t random;
	bool is_stopped;
};

/** @p seed is for the jitter of the backoff. */
void store_sync_start(struct store_sync *sync, uv_loop_t *loop, struct dw_store *store,
		      struct view *view, uint64_t min_poll_interval_us, uint64_t seed);
void store_sync_stop(struct store_sync *sync);

#endif
