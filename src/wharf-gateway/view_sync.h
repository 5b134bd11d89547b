/**
 * @file view_sync.h
 * Keeps the view up to date from the source that the library chooses: asks other instances for their
 * records, and starts and stops the reading of the store.
 */
#ifndef GATEWAY_VIEW_SYNC_H
#define GATEWAY_VIEW_SYNC_H

#include <uv.h>

#include <dragonflywharf/transfer.h>

#include "base/bytes.h"
#include "net/http_connection.h"
#include "wharf-gateway/store_sync.h"

struct view_sync {
	struct view *view;
	struct store_sync *store;
	struct http_pool *pool;
	uv_timer_t check_timer;
	uv_timer_t request_timer;
	struct http_connection *connection; /**< of the request in progress, NULL: none */
	struct bytes body; /**< of its answer */
	uint16_t status;
	uint64_t asked; /**< the instance asked last; 0: a seed */
	uint32_t oldest_asked; /**< for what they know of the past */
	uint32_t next_seed; /**< a number; the seeds are asked in turn */
	bool is_sent; /**< the request's connection is established */
	uint64_t started_at_us;
	uint64_t requested_at_us;
	struct dw_transfer transfer; /**< of the answer */
	uint64_t logged_source; /**< as logged; 0: the store */
	uint64_t requests; /**< since the start */
	uint64_t failures;
};

void view_sync_start(struct view_sync *sync, uv_loop_t *loop, struct view *view,
		     struct store_sync *store);

#endif
