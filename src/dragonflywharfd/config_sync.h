/**
 * @file config_sync.h
 * Keeps the ruleset up to date: from the store if this daemon watches it, else from peers.
 */
#ifndef DAEMON_CONFIG_SYNC_H
#define DAEMON_CONFIG_SYNC_H

#include <msgpack.h>

#include "dragonflywharfd/daemon.h"

/** Configuration keys in the store are this prefix and the entity's key. */
#define CONFIG_PREFIX "wharf/config/"

struct config_sync *config_sync_start(struct daemon *daemon);

/** Retries, watches and pulls that are due. */
void config_sync_tick(struct config_sync *sync);

/** True once a configuration is in force. */
bool config_sync_ready(const struct config_sync *sync);

/** True if the last call to the store was answered. */
bool config_sync_store_reachable(const struct config_sync *sync);

/** A peer's delta or snapshot. */
enum dw_status config_sync_delta(struct config_sync *sync, const msgpack_object *value);

/** A peer lacks what came after a revision. */
enum dw_status config_sync_pull(struct config_sync *sync, uint64_t instance_id,
				const msgpack_object *value);

/** A peer says up to which revision the live keys of a digest are complete. */
enum dw_status config_sync_confirm(struct config_sync *sync, const msgpack_object *value);

/** This daemon wrote a change at @p revision: read it now, don't wait for the watch. */
void config_sync_hint(struct config_sync *sync, uint64_t revision);

/** The store told @p revision though a higher one had been in force before: it went back. */
void config_sync_report_stale(struct config_sync *sync, uint64_t revision);

#endif
