/**
 * @file store.h
 * Port to the platform's key-value service: asynchronous calls on the loop with typed results.
 *
 * An adapter fills a struct dw_store_ops (see store_etcd.h). Exactly one callback follows each
 * call, later from the loop; pointers in a result are valid within it. Revisions count the
 * changes of the whole service and never go back, unless it was restored from a backup: every
 * result tells the service's revision so that the caller can see that.
 */
#ifndef WHARF_PORT_STORE_H
#define WHARF_PORT_STORE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <dragonflywharf/status.h>

#ifdef __cplusplus
extern "C" {
#endif

/** Largest value that the service holds. */
#define DW_STORE_MAX_VALUE_BYTES (UINT64_C(1) << 20)

struct dw_store;
struct dw_store_watch;

struct dw_store_entry {
	const char *key; /**< NUL-terminated */
	const uint8_t *value;
	size_t value_len;
	uint64_t mod_revision; /**< of the key's last change */
	uint64_t create_revision;
	uint64_t lease_id; /**< 0 if bound to none */
};

struct dw_store_range_result {
	/** DW_OK, DW_NOT_FOUND (get only), DW_UNAVAILABLE, DW_TIMEOUT or DW_UPSTREAM_FAILED. */
	enum dw_status status;
	uint64_t revision; /**< the service's revision at the read */
	const struct dw_store_entry *entries; /**< in the order of keys */
	size_t count;
};

enum dw_store_outcome {
	DW_STORE_DONE,
	DW_STORE_CONFLICT, /**< the key's revision was another one; not applied */
	DW_STORE_UNKNOWN, /**< the answer was lost: the write may have taken effect */
	DW_STORE_UNAVAILABLE, /**< provably not applied; may be tried again */
	DW_STORE_REFUSED, /**< provably not applied; the request itself is at fault */
	DW_STORE_OUTCOME_COUNT
};

struct dw_store_put_result {
	enum dw_store_outcome outcome;
	/** DONE: the key's new revision. CONFLICT: its current one, 0 if the key doesn't exist. */
	uint64_t revision;
};

struct dw_store_lease_result {
	/** DW_OK, DW_NOT_FOUND (expired), DW_UNAVAILABLE, DW_TIMEOUT or DW_UPSTREAM_FAILED. */
	enum dw_status status;
	uint64_t lease_id;
	/** The lease holds at least until then, counted from before the call was sent. */
	uint64_t expiry_us;
};

struct dw_store_event {
	bool deleted; /**< the entry then has a key and a mod_revision only */
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
	uint64_t expected_revision; /**< the key's mod_revision; 0: it must not exist */
	uint64_t lease_id; /**< the key goes when this lease expires; 0 for none */
	uint64_t deadline_us;
};

struct dw_store_range {
	const char *prefix; /**< or the whole key, see dw_store_get() */
	bool exact;
	uint64_t from_revision; /**< only entries changed at or after it; 0 for all */
	uint64_t deadline_us;
};

struct dw_store_watch_options {
	const char *prefix;
	uint64_t from_revision; /**< first revision wanted; 0 for changes from now on */
	/** The watch ends then with DW_TIMEOUT. It bounds how long a silent service goes unnoticed:
	 * watch again from next_revision. */
	uint64_t deadline_us;
	/** Events in the order of their revisions, none twice and none left out. */
	void (*on_events)(struct dw_store_watch *watch, const struct dw_store_event *events,
			  size_t count, void *data);
	/**
	 * Optional. All changes made until @p confirmed_at_us, on this process's clock, have been
	 * delivered: what was learnt from this watch was the newest then.
	 */
	void (*on_current)(struct dw_store_watch *watch, uint64_t confirmed_at_us, void *data);
	/** Least time between two calls of an adapter that polls: changes gather meanwhile. */
	uint64_t gather_us;
	/**
	 * The watch has ended by itself and is freed after this call. Watching again from
	 * @p next_revision leaves no gap. DW_STALE: the service no longer has the history from
	 * there, or its revision went back; read the range again.
	 */
	void (*on_broken)(struct dw_store_watch *watch, enum dw_status status,
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

/** What an adapter supplies. */
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

/** Head of each adapter's own structure. */
struct dw_store {
	const struct dw_store_ops *ops;
	/** Calls sent to the service by verb, those to further endpoints included; a waiting watch
	 * counts as one. */
	uint64_t calls[DW_STORE_VERB_COUNT];
};

/** Reads one key. */
void dw_store_get(struct dw_store *store, const char *key, uint64_t deadline_us,
		  dw_store_range_done done, void *data);

/** Reads the keys with a prefix that changed at or after @p from_revision (0 for all). */
void dw_store_range(struct dw_store *store, const char *prefix, uint64_t from_revision,
		    uint64_t deadline_us, dw_store_range_done done, void *data);

/** Writes one key if its revision is still the expected one. */
void dw_store_put(struct dw_store *store, const struct dw_store_put *put, dw_store_put_done done,
		  void *data);

/** Asks for a lease of @p ttl_s seconds. */
void dw_store_lease_grant(struct dw_store *store, uint64_t ttl_s, uint64_t deadline_us,
			  dw_store_lease_done done, void *data);

/** Renews a lease for its granted time. */
void dw_store_lease_keep_alive(struct dw_store *store, uint64_t lease_id, uint64_t deadline_us,
			       dw_store_lease_done done, void *data);

/** Watches the keys with a prefix. */
struct dw_store_watch *dw_store_watch(struct dw_store *store,
				      const struct dw_store_watch_options *options);

/** Ends a watch and frees it; no callback follows. Not for a watch that has broken. */
void dw_store_watch_cancel(struct dw_store *store, struct dw_store_watch *watch);

/** Calls sent by this process since its start, all verbs. */
uint64_t dw_store_calls(const struct dw_store *store);

/** Stable lower-case name of an outcome; "unknown" outside the range. */
const char *dw_store_outcome_name(enum dw_store_outcome outcome);

#ifdef __cplusplus
}
#endif

#endif
