/**
 * @file config_sync.h
 * Replicates the configuration into the ruleset: from the store if this daemon watches it, else
 * from peers.
 */
#ifndef DAEMON_CONFIG_SYNC_H
#define DAEMON_CONFIG_SYNC_H

#include <msgpack.h>

#include "dragonflywharfd/daemon.h"

/** A configuration key in the store is this prefix followed by the entity's key. */
#define CONFIG_PREFIX "wharf/config/"

struct config_sync *config_sync_start(struct daemon *daemon);

/** Starts the reads, watches and pulls that are due. */
/** Reads all keys once more: changes may have revisions that this instance has passed. */
void config_sync_read_again(struct config_sync *sync);

/** True if this instance is one of those that watch the store. */
bool config_sync_is_watcher(const struct config_sync *sync);

void config_sync_tick(struct config_sync *sync);

/** True once a configuration has been applied. */
bool config_sync_is_ready(const struct config_sync *sync);

/** True if the store answered the last call. */
bool config_sync_is_store_reachable(const struct config_sync *sync);

/** Applies a delta or snapshot sent by a peer. */
enum dw_status config_sync_receive_delta(struct config_sync *sync, const msgpack_object *value);

/** Answers a peer that asks for the changes after its revision. */
enum dw_status config_sync_receive_pull(struct config_sync *sync, uint64_t instance_id,
					const msgpack_object *value);

/** Raises the revision to the peer's if the digest shows that both have the same live keys. */
enum dw_status config_sync_receive_confirm(struct config_sync *sync, const msgpack_object *value);

/**
 * Reports that this daemon wrote a change at @p revision. A daemon without a watch reads the store
 * itself if the watchers haven't delivered the change within a second.
 */
void config_sync_expect_revision(struct config_sync *sync, uint64_t revision);

/**
 * Logs that the store's @p revision isn't above the applied one, e.g. after a restore from a
 * backup. Does nothing if it is above.
 */
void config_sync_report_stale(struct config_sync *sync, uint64_t revision);

#endif
