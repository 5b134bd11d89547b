/**
 * @file session_sync.h
 * Assigns model versions to sessions whose callers send only a session id.
 *
 * Two owners in different failure domains, chosen by the hash of the id, store the version of a
 * session. The instance that serves a request queries both at once and uses the merged assignment,
 * so the loss of one owner loses no session.
 */
#ifndef DAEMON_SESSION_SYNC_H
#define DAEMON_SESSION_SYNC_H

#include "dragonflywharfd/daemon.h"

struct session_sync;

/** Called with the merged assignment, which may be the proposed one. */
typedef void (*session_resolved_callback)(const struct dw_session_entry *entry, void *owner);

struct session_sync *session_sync_new(struct daemon *daemon);

/**
 * Finds the assignment of a session, or makes the proposed one. @p resolved is called once,
 * possibly before this returns.
 */
void session_sync_resolve(struct session_sync *sync, const struct dw_session_entry *proposed,
			  session_resolved_callback resolved, void *owner);

/** Sends an assignment to the owners, for example after the session moved to another version. */
void session_sync_put(struct session_sync *sync, const struct dw_session_entry *entry);

/** Merges a peer's assignment and replies with the result, unless the message's query id is 0. */
enum dw_status session_sync_receive_query(struct session_sync *sync, uint64_t instance_id,
					  const msgpack_object *value);

/** Handles the reply of an owner. */
enum dw_status session_sync_receive_reply(struct session_sync *sync, const msgpack_object *value);

/** Resolves queries whose deadline has passed and removes expired entries. */
void session_sync_tick(struct session_sync *sync);

#endif
