/**
 * @file presence.h
 * How many instances there are: each keeps a key of its own in the store under a lease, and counts
 * the others' keys. Limits that hold for all instances together are divided by this count.
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
	const struct dw_endpoint *peer_address; /**< this instance's, told to the others */
	struct presence_peer *peers; /**< the others */
	struct dw_store *store; /**< set by presence_start() */
	uv_timer_t timer;
	uint64_t lease_id; /**< 0: none */
	uint64_t key_revision; /**< of the own key as last seen; 0: it isn't there */
	uint32_t instances; /**< keys seen, the own one included */
	uint64_t counted_at_us; /**< when the first full count was made; 0: not yet */
	bool is_busy; /**< a call is in progress */
};

void presence_init(struct presence *presence, struct dw_log *log, const char *instance,
		   const struct dw_endpoint *peer_address);
void presence_close(struct presence *presence);
void presence_start(struct presence *presence, uv_loop_t *loop, struct dw_store *store);

/** A key of the store came or went; keys of other kinds are ignored. */
void presence_apply_record(struct presence *presence, const struct dw_store_event *event,
			   bool was_there);
/** All keys have been read. */
void presence_mark_counted(struct presence *presence, uint64_t now_us);

/** Whether an instance has told this address. */
bool presence_has_peer_ip(const struct presence *presence, const char *ip);
/** Calls @p each for every other instance that has told an address. */
void presence_for_each_peer(const struct presence *presence,
			    void (*each)(const struct dw_endpoint *peer, void *data), void *data);

/** Instances to reckon with, unseen and starting ones included. */
uint32_t presence_estimated_instances(const struct presence *presence, uint64_t now_us);

#endif
