/**
 * @file presence.h
 * Counts the running instances: each registers a key in the store under a lease and counts the keys of
 * all. Limits that apply to all instances together are divided by the estimate that
 * presence_estimated_instances() derives from this count.
 */
#ifndef GATEWAY_PRESENCE_H
#define GATEWAY_PRESENCE_H

#include <uv.h>

#include "base/log.h"
#include "base/settings.h"
#include "port/store.h"

struct presence_peer;

struct presence {
	struct dw_log *log;
	const char *instance;
	const struct dw_endpoint *peer_address; /**< of this instance; the value of its key */
	struct presence_peer *peers; /**< the other instances */
	struct dw_store *store; /**< set by presence_start() */
	uv_timer_t timer;
	uint64_t lease_id; /**< 0: none */
	uint64_t key_revision; /**< of this instance's key; 0: it doesn't exist */
	uint32_t instances; /**< number of keys, including this instance's */
	uint64_t counted_at_us; /**< when all keys were first read; 0: not yet */
	bool is_call_pending; /**< a call to the store is in progress */
};

void presence_init(struct presence *presence, struct dw_log *log, const char *instance,
		   const struct dw_endpoint *peer_address);
void presence_close(struct presence *presence);
/** Registers this instance and keeps its lease alive. */
void presence_start(struct presence *presence, uv_loop_t *loop, struct dw_store *store);

/** A key was written or deleted; keys that don't belong to instances are ignored. @p was_there tells
 * whether the key existed before. */
void presence_apply_record(struct presence *presence, const struct dw_store_event *event,
			   bool was_there);
/** Notes that all keys have been read, so that the count is complete. */
void presence_mark_counted(struct presence *presence, uint64_t now_us);

/** Whether another instance has registered a peer address with this IP. */
bool presence_has_peer_ip(const struct presence *presence, const char *ip);
/** Calls @p each for every other instance that has registered a peer address. */
void presence_for_each_peer(const struct presence *presence,
			    void (*each)(const struct dw_endpoint *peer, void *data), void *data);

/** Estimated number of instances, including starting ones and ones whose lease has lapsed. */
uint32_t presence_estimated_instances(const struct presence *presence, uint64_t now_us);

#endif
