/**
 * @file once_sync.h
 * Executes the store operations of the at-most-once journal and delivers its decisions to requests.
 */
#ifndef DAEMON_ONCE_SYNC_H
#define DAEMON_ONCE_SYNC_H

#include "dragonflywharfd/daemon.h"

/** Prefix of the keys of journal shards in the store. */
#define ONCE_PREFIX "wharf/once/"

/** Called for each decision on a ticket. */
typedef void (*once_decision_callback)(const struct dw_once_decision *decision, void *owner);

struct once_sync *once_sync_start(struct daemon *daemon);

/** Like dw_once_begin(). @p decided is called for each decision until once_sync_detach(). */
enum dw_status once_sync_begin(struct once_sync *sync, const struct dw_once_request *request,
			       once_decision_callback decided, void *owner, uint64_t *ticket);

bool once_sync_may_send(struct once_sync *sync, uint64_t ticket);
void once_sync_finish(struct once_sync *sync, uint64_t ticket, const struct dw_once_answer *answer);
void once_sync_release(struct once_sync *sync, uint64_t ticket);

/** Stops the callbacks to the owner; the ticket itself is still processed to its end. */
void once_sync_detach(struct once_sync *sync, uint64_t ticket);

/** The store answers again after an outage, see dw_once_store_back(). */
void once_sync_store_back(struct once_sync *sync);

/** The store came back from an older copy, see dw_once_store_restored(). */
void once_sync_store_restored(struct once_sync *sync);

void once_sync_tick(struct once_sync *sync);
size_t once_sync_pending(const struct once_sync *sync);

#endif
