/**
 * @file ledger_sync.h
 * Sends the ledger's peer messages, writes its batches to the store, and reports when the usage
 * record of an answer is safe: replicated to a peer or written. An answer isn't delayed without
 * limit: after max_protection_wait_us it is completed without that, and counted as exposed.
 */
#ifndef DAEMON_LEDGER_SYNC_H
#define DAEMON_LEDGER_SYNC_H

#include <msgpack.h>

#include "dragonflywharfd/daemon.h"

/** Prefix of the keys of usage batches in the store. */
#define USAGE_PREFIX "usage/"

/** Called when a usage record is safe or counted as exposed: the answer may be completed. */
typedef void (*ledger_safe_callback)(void *owner);

struct ledger_sync *ledger_sync_start(struct daemon *daemon);

/**
 * Reserves space for the usage record of one request. On DW_OVERLOADED the caller must refuse the
 * request as not run.
 */
enum dw_status ledger_sync_reserve(struct ledger_sync *sync);
void ledger_sync_unreserve(struct ledger_sync *sync);

/** Appends a record for reserved space. @p safe is called once, possibly before this returns. */
void ledger_sync_append(struct ledger_sync *sync, const struct dw_usage_record *record,
			ledger_safe_callback safe, void *owner);

void ledger_sync_receive(struct ledger_sync *sync, const struct dw_peer_identity *from,
			 const struct dw_peer_payload *payload);

void ledger_sync_handle_dead_member(struct ledger_sync *sync, struct dw_member_key member);

/** The store came back from an older copy, see dw_ledger_store_restored(). */
void ledger_sync_store_restored(struct ledger_sync *sync);

void ledger_sync_tick(struct ledger_sync *sync);

/** Starts writing all unwritten records; for a graceful shutdown. */
void ledger_sync_flush(struct ledger_sync *sync);
size_t ledger_sync_unwritten(const struct ledger_sync *sync);

#endif
