/**
 * @file ledger_sync.h
 * Carries the ledger's messages and writes, and tells when an answer's usage record is safe.
 */
#ifndef DAEMON_LEDGER_SYNC_H
#define DAEMON_LEDGER_SYNC_H

#include <msgpack.h>

#include "dragonflywharfd/daemon.h"

/** Usage batches in the store are below this prefix. */
#define USAGE_PREFIX "usage/"

typedef void (*ledger_safe)(void *owner);

struct ledger_sync *ledger_sync_start(struct daemon *daemon);

/** Room for the usage record of one request. DW_OVERLOADED: refuse it, not run. */
enum dw_status ledger_sync_reserve(struct ledger_sync *sync);
void ledger_sync_unreserve(struct ledger_sync *sync);

/** Appends a reserved record; @p safe runs once, maybe at once, when the answer may end. */
void ledger_sync_append(struct ledger_sync *sync, const struct dw_usage_record *record,
			ledger_safe safe, void *owner);

void ledger_sync_receive(struct ledger_sync *sync, const struct dw_peer_identity *from,
			 const struct dw_peer_payload *payload);

void ledger_sync_member_dead(struct ledger_sync *sync, struct dw_member_key member);

void ledger_sync_tick(struct ledger_sync *sync);

/** Graceful stop: writes what is left. */
void ledger_sync_flush(struct ledger_sync *sync);
size_t ledger_sync_unwritten(const struct ledger_sync *sync);

#endif
