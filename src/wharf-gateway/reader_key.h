/**
 * @file reader_key.h
 * Each reader's key in the store, under a lease, with its peer address. An instance that starts and
 * reaches none of its seeds reads the store, and finds other instances there.
 */
#ifndef GATEWAY_READER_KEY_H
#define GATEWAY_READER_KEY_H

#include <uv.h>

#include "base/settings.h"
#include "port/store.h"
#include "wharf-gateway/era_guard.h"

struct reader_key {
	const char *instance;
	const struct dw_endpoint *peer_address; /**< the value of the key */
	struct era_guard *era_guard;
	struct dw_store *store; /**< set by reader_key_start() */
	bool (*is_reader)(void *owner);
	void *owner;
	uv_timer_t timer;
	uint64_t lease_id; /**< 0: none */
	uint64_t key_revision; /**< of this instance's key; 0: it doesn't exist */
	uint64_t renew_at_us;
	bool is_rewrite; /**< the key, or its lease, was lost in a restore */
	bool is_call_pending; /**< a call to the store is in progress */
};

void reader_key_init(struct reader_key *key, const char *instance,
		     const struct dw_endpoint *peer_address, struct era_guard *era_guard);
/** Keeps the key in the store while @p is_reader returns true; the lease ends afterwards. */
void reader_key_start(struct reader_key *key, uv_loop_t *loop, struct dw_store *store,
		      bool (*is_reader)(void *owner), void *owner);

/** The store came back from an older copy: the lease has ended, and its id may have been given out again. */
void reader_key_store_restored(struct reader_key *key);

/**
 * Handles a change of a key in the store; keys that don't belong to readers are ignored.
 * @return true if it is the key of another reader, whose address is then in @p address.
 */
bool reader_key_apply(struct reader_key *key, const struct dw_store_event *event,
		      struct dw_endpoint *address);

#endif
