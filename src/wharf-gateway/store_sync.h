/**
 * @file store_sync.h
 * Keeps the view in sync with the store while this instance reads it: reads all keys unless the view
 * has a copy, then watches for changes. Reads all keys again when the store no longer has the history
 * that the watch needs, and retries with backoff while the store is unreachable.
 */
#ifndef GATEWAY_STORE_SYNC_H
#define GATEWAY_STORE_SYNC_H

#include <uv.h>

#include "wharf-gateway/view.h"

struct store_sync {
	struct dw_store *store;
	struct view *view;
	uv_timer_t retry_timer;
	struct dw_store_watch *watch;
	uint64_t read_started_at_us; /**< start of the latest read of all keys */
	uint64_t known_before; /**< revision of the copy then */
	uint32_t failures; /**< consecutive failures, for the backoff */
	uint32_t stale_in_a_row; /**< watches that ended with DW_STALE since one was up to date */
	uint64_t random;
	bool is_active;
	bool is_range_pending; /**< a read of all keys is in progress */
	bool is_bad_era_logged;
	bool is_history_lost; /**< all keys must be read again */
};

/** @p seed is for the jitter of the backoff. */
void store_sync_init(struct store_sync *sync, uv_loop_t *loop, struct dw_store *store,
		     struct view *view, uint64_t seed);

/**
 * Reads all keys as they were a moment ago, which costs the store little. An instance that starts
 * then needs only a proof, and the changes since, from another one or from the store.
 */
void store_sync_read_copy(struct store_sync *sync);

/** Starts or stops reading the store. */
void store_sync_set_active(struct store_sync *sync, bool is_active);

#endif
