/**
 * @file store.h
 * Interface to the platform's key-value service: asynchronous calls with typed results.
 *
 * An adapter implements struct dw_store_ops (see store_etcd.h). The callback of a call is called
 * exactly once, from a later event loop iteration; pointers in a result are valid within it.
 * A revision counts the changes to the whole store, and holds the store's era (store_revision.h), which rises
 * each time the store comes back from an older copy. So it never decreases. Leases of an earlier era have ended, also
 * where an id was given out again: their holders drop them. An answer that was given in an earlier era than the
 * newest known one is dropped by the adapter: the call ends with DW_UNAVAILABLE, a write with DW_STORE_UNKNOWN.
 */
#ifndef WHARF_PORT_STORE_H
#define WHARF_PORT_STORE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <dragonflywharf/freshness.h>
#include <dragonflywharf/status.h>
#include <dragonflywharf/store_era.h>
#include <dragonflywharf/store_revision.h>

#ifdef __cplusplus
extern "C" {
#endif

/** Size limit of a value. */
#define DW_STORE_MAX_VALUE_BYTES (UINT64_C(1) << 20)

struct dw_store;
struct dw_store_watch;

struct dw_store_entry {
	const char *key; /**< NUL-terminated */
	const uint8_t *value;
	size_t value_len;
	uint64_t mod_revision; /**< revision of the key's last change */
	uint64_t create_revision;
	uint64_t lease_id; /**< 0 if no lease is attached */
};

struct dw_store_range_result {
	/**
	 * DW_OK, DW_NOT_FOUND (get: no such key; get and range: the service rejected the request),
	 * DW_UNAVAILABLE, DW_TIMEOUT or DW_UPSTREAM_FAILED.
	 */
	enum dw_status status;
	uint64_t revision; /**< store revision at the time of the read */
	const struct dw_store_entry *entries; /**< sorted by key */
	size_t count;
};

enum dw_store_outcome {
	DW_STORE_DONE, /**< applied */
	DW_STORE_CONFLICT, /**< not applied: the key's revision differs from the expected one */
	DW_STORE_UNKNOWN, /**< no usable response: the write may have been applied */
	DW_STORE_UNAVAILABLE, /**< certainly not applied; can be retried */
	DW_STORE_REFUSED, /**< certainly not applied; the request is invalid, don't retry it */
	DW_STORE_OUTCOME_COUNT
};

struct dw_store_put_result {
	enum dw_store_outcome outcome;
	/** DONE: the key's new revision. CONFLICT: its current revision, 0 if it doesn't exist. */
	uint64_t revision;
};

struct dw_store_lease_result {
	/**
	 * DW_OK, DW_NOT_FOUND (the lease expired, or the service rejected the request),
	 * DW_UNAVAILABLE, DW_TIMEOUT or DW_UPSTREAM_FAILED.
	 */
	enum dw_status status;
	uint64_t lease_id;
	/** The lease is valid at least until then: the TTL is added to the time before sending. */
	uint64_t expiry_us;
};

struct dw_store_event {
	bool deleted; /**< if set, only key and mod_revision of the entry are valid */
	struct dw_store_entry entry;
};

typedef void (*dw_store_range_done)(const struct dw_store_range_result *result, void *data);
typedef void (*dw_store_put_done)(const struct dw_store_put_result *result, void *data);
typedef void (*dw_store_lease_done)(const struct dw_store_lease_result *result, void *data);

/** A compare-and-swap of one key. */
struct dw_store_put {
	const char *key;
	const uint8_t *value;
	size_t value_len;
	uint64_t expected_revision; /**< the key's mod_revision; 0: the key must not exist */
	uint64_t lease_id; /**< the key is deleted when this lease expires; 0 for none */
	/**
	 * Optional. The write is applied only while this other key has this revision. Each era changes the key
	 * before anything else is written in it (era_guard.h), so a write that was prepared in an earlier
	 * era isn't applied because its expected revision was given out again.
	 */
	const char *guard_key;
	uint64_t guard_revision;
	/** The era that all this was prepared in: the write isn't sent once a later one is known. It may be later than
	 * those of the answers so far, as other instances pass it on. 0: not checked. */
	uint64_t era;
	uint64_t deadline_us;
};

struct dw_store_range {
	const char *prefix; /**< the complete key if @c exact is set */
	bool exact; /**< read one key, see dw_store_get() */
	uint64_t from_revision; /**< only entries changed at or after it; 0 for all */
	/** The result may be seconds old, and cheaper: it proves nothing about later changes. */
	bool may_be_stale;
	uint64_t deadline_us;
};

struct dw_store_watch_options {
	const char *prefix;
	uint64_t from_revision; /**< first revision to deliver; 0 for changes from now on */
	/**
	 * The watch ends at this time with DW_TIMEOUT; start it again from next_revision. The limit
	 * is there because a service that stopped responding looks like one without changes.
	 */
	uint64_t deadline_us;
	/** Called with events in revision order; each event is delivered exactly once. */
	void (*on_events)(struct dw_store_watch *watch, const struct dw_store_event *events,
			  size_t count, void *data);
	/**
	 * Optional. Called when all changes made before @p confirmed_at_us, on this process's
	 * clock, and all up to @p revision have been delivered: data from this watch was up to
	 * date at that time.
	 */
	void (*on_up_to_date)(struct dw_store_watch *watch, uint64_t revision,
			      uint64_t confirmed_at_us, void *data);
	/** Minimum time between two calls of an adapter that polls, to batch changes. */
	uint64_t min_poll_interval_us;
	/**
	 * Called when the watch ended without dw_store_watch_cancel(); it is freed afterwards. A
	 * new watch from @p next_revision misses no event. DW_STALE: the store no longer has the
	 * history from that revision, or it is in another era; read the range again.
	 */
	void (*on_ended)(struct dw_store_watch *watch, enum dw_status status,
			 uint64_t next_revision, void *data);
	void *data;
};

enum dw_store_verb {
	DW_STORE_RANGE,
	DW_STORE_PUT,
	DW_STORE_LEASE_GRANT,
	DW_STORE_LEASE_KEEP_ALIVE,
	DW_STORE_WATCH,
	DW_STORE_VERB_COUNT
};

/** Operations that an adapter implements. */
struct dw_store_ops {
	void (*range)(struct dw_store *store, const struct dw_store_range *range,
		      dw_store_range_done done, void *data);
	void (*put)(struct dw_store *store, const struct dw_store_put *put, dw_store_put_done done,
		    void *data);
	void (*lease_grant)(struct dw_store *store, uint64_t ttl_s, uint64_t deadline_us,
			    dw_store_lease_done done, void *data);
	void (*lease_keep_alive)(struct dw_store *store, uint64_t lease_id, uint64_t deadline_us,
				 dw_store_lease_done done, void *data);
	struct dw_store_watch *(*watch)(struct dw_store *store,
					const struct dw_store_watch_options *options);
	void (*watch_cancel)(struct dw_store_watch *watch);
};

/** Base structure; each adapter embeds it as the first member of its own. */
struct dw_store {
	const struct dw_store_ops *ops;
	/** Requests sent, by verb. Each endpoint that is tried counts; a watch counts once. */
	uint64_t calls[DW_STORE_VERB_COUNT];
	/** Bytes of answers that were given up before their end, because of a timeout or a fault. */
	uint64_t abandoned_bytes;
	/**
	 * Of an adapter whose store has no eras: how often an answer has shown that the store came back from an
	 * older copy. Answers to calls that were sent before may belong to the lost history.
	 */
	uint64_t restores;
	/** Of such a store: the highest one in answers since then; 0: none since then, see dw_store_forget_history(). */
	uint64_t revision;
	/** Optional; called at each, before the call that showed it ends. */
	void (*on_restored)(uint64_t revision_before, uint64_t revision, void *data);
	/** Optional; called at the first answer after a call that no endpoint answered: it may be of an older copy. */
	void (*on_back)(void *data);
	void *history_data;
	struct dw_store_era era; /**< as an adapter whose store has eras keeps it */
	/** Before a watch was last cut: proofs from then may lack changes. Set before on_ended is called. */
	struct dw_freshness_gap unheard;
};

/** Reads one key. */
void dw_store_get(struct dw_store *store, const char *key, uint64_t deadline_us,
		  dw_store_range_done done, void *data);

/** Reads the entries with a prefix that changed at or after @p from_revision (0 for all). */
void dw_store_range(struct dw_store *store, const char *prefix, uint64_t from_revision,
		    uint64_t deadline_us, dw_store_range_done done, void *data);

/** Reads all entries with a prefix as they were a moment ago, see dw_store_range.may_be_stale. */
void dw_store_read_copy(struct dw_store *store, const char *prefix, uint64_t deadline_us,
			dw_store_range_done done, void *data);

/** Writes one key if its revision equals the expected one (compare-and-swap). */
void dw_store_put(struct dw_store *store, const struct dw_store_put *put, dw_store_put_done done,
		  void *data);

/**
 * Another instance has seen that the store, which has no eras, came back from an older copy: the next answer to a call
 * that is sent from now on begins the new history, whatever its revision, and answers to earlier calls say nothing
 * of it. on_restored isn't called.
 */
void dw_store_forget_history(struct dw_store *store);

/** Creates a lease of @p ttl_s seconds. */
void dw_store_lease_grant(struct dw_store *store, uint64_t ttl_s, uint64_t deadline_us,
			  dw_store_lease_done done, void *data);

/** Renews a lease for its original TTL. */
void dw_store_lease_keep_alive(struct dw_store *store, uint64_t lease_id, uint64_t deadline_us,
			       dw_store_lease_done done, void *data);

/** Starts a watch on the keys with a prefix. */
struct dw_store_watch *dw_store_watch(struct dw_store *store,
				      const struct dw_store_watch_options *options);

/** Ends a watch and frees it; no callback is called. Not allowed once on_ended was called. */
void dw_store_watch_cancel(struct dw_store *store, struct dw_store_watch *watch);

/** Returns the number of requests sent, over all verbs. */
uint64_t dw_store_calls(const struct dw_store *store);

/** Returns the stable lower-case name of an outcome; "unknown" for an invalid value. */
const char *dw_store_outcome_name(enum dw_store_outcome outcome);

#ifdef __cplusplus
}
#endif

#endif
