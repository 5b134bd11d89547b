/**
 * @file ruleset.h
 * The configuration as one instance knows it.
 *
 * Each key keeps the modification revision that the store gave it, and the ruleset the store
 * revision up to which it is complete. A value is replaced only by one of a higher modification
 * revision, so late, repeated or reordered deltas, lagging peers and restored stores never make a
 * key revert. Pure: it has no clock and does no I/O.
 */
#ifndef DRAGONFLYWHARF_RULESET_H
#define DRAGONFLYWHARF_RULESET_H

#include <dragonflywharf/entity.h>

#ifdef __cplusplus
extern "C" {
#endif

#define DW_RULESET_TOMBSTONES_MAX 8192 /**< deletions remembered for peers that pull */

struct dw_ruleset;

/** One key's change, as the store or a peer gives it. The bytes are copied. */
struct dw_ruleset_item {
	const char *key;
	uint64_t mod_revision;
	bool deleted;
	const uint8_t *bytes; /**< a packed Entity; unused if deleted */
	size_t len;
};

/** What an accepted delta or snapshot did. */
struct dw_ruleset_result {
	size_t applied; /**< items now in force */
	size_t unchanged; /**< items that were known or older */
	size_t refused; /**< items that failed their check; told to the observer */
	bool diverged; /**< a snapshot contradicts the known history: a restored store */
};

/** Told at the end of an apply, once the new values can be read; must not call back into the ruleset's apply functions. */
struct dw_ruleset_observer {
	/** A key has changed. May be NULL. */
	void (*changed)(const char *key, uint64_t mod_revision, bool deleted, void *data);
	/** A value was refused and the key's previous value stays in force. May be NULL. */
	void (*refused)(const char *key, uint64_t mod_revision, enum dw_status status,
			const char *message, void *data);
	void *data;
};

typedef void (*dw_ruleset_visit)(const struct dw_ruleset_item *item, void *data);

/** NULL without memory. */
struct dw_ruleset *dw_ruleset_new(void);
void dw_ruleset_free(struct dw_ruleset *ruleset);
void dw_ruleset_set_observer(struct dw_ruleset *ruleset,
			     const struct dw_ruleset_observer *observer);

/**
 * Applies the changes of the store revisions in (from_revision, to_revision]: the latest of each
 * changed key is enough. An item that fails its check is skipped and told to the observer; the
 * others come into force (docs/design/configuration.md says why). At an equal revision the higher
 * modification revision of each key wins, which mends instances whose digests differ.
 * Errors, all without effect: DW_UNAVAILABLE (gap: pull since dw_ruleset_revision()), DW_STALE
 * (to_revision is older, or equal and nothing is new), DW_INVALID_ARGUMENT (an item after to_revision), DW_NO_MEMORY.
 */
enum dw_status dw_ruleset_apply_delta(struct dw_ruleset *ruleset, uint64_t from_revision,
				      uint64_t to_revision, const struct dw_ruleset_item *items,
				      size_t count, struct dw_ruleset_result *result);

/**
 * Applies all keys as of @p to_revision; a known key that is absent has been deleted, unless the
 * snapshot contradicts the known history or its revision isn't newer.
 * Errors as above, but for the gap.
 */
enum dw_status dw_ruleset_apply_snapshot(struct dw_ruleset *ruleset, uint64_t to_revision,
					 const struct dw_ruleset_item *items, size_t count,
					 struct dw_ruleset_result *result);

/**
 * Takes a peer's word that the live keys of @p digest are complete up to @p to_revision: if the own
 * digest is the same, nothing has to be sent. The store's revision rises with writes that aren't
 * configuration, so instances often differ in nothing else.
 * Errors: DW_STALE (not newer), DW_UNAVAILABLE (the digests differ: pull).
 */
enum dw_status dw_ruleset_confirm_revision(struct dw_ruleset *ruleset, uint64_t to_revision,
					   uint64_t digest);

/** The store revision up to which the ruleset is complete; 0: no configuration yet. */
uint64_t dw_ruleset_revision(const struct dw_ruleset *ruleset);

/** Counts the applies that changed something; borrowed pointers live until it rises. */
uint64_t dw_ruleset_generation(const struct dw_ruleset *ruleset);

/** Order-independent digest (XXH3) of the live keys with their modification revisions. */
uint64_t dw_ruleset_digest(const struct dw_ruleset *ruleset);

/** Live keys, and the bytes of their keys and packed values. */
size_t dw_ruleset_count(const struct dw_ruleset *ruleset);
size_t dw_ruleset_size_bytes(const struct dw_ruleset *ruleset);

/**
 * Visits what a peer complete up to @p since lacks. @p snapshot is set if deletions since then
 * are no longer remembered: the visited items are then all live keys, to be applied as a snapshot.
 */
void dw_ruleset_items_since(const struct dw_ruleset *ruleset, uint64_t since,
			    dw_ruleset_visit visit, void *data, bool *snapshot);

/** Visits live keys that begin with @p prefix, in no order. */
void dw_ruleset_visit_prefix(const struct dw_ruleset *ruleset, const char *prefix,
			     dw_ruleset_visit visit, void *data);

/** The live item of @p key; false if there is none. */
bool dw_ruleset_get(const struct dw_ruleset *ruleset, const char *key,
		    struct dw_ruleset_item *item);

/**
 * The organisation of a bearer key's SHA-256; NULL if unknown. A hash that two organisations
 * carry belongs to neither.
 */
const struct dw_organisation *dw_ruleset_authenticate(const struct dw_ruleset *ruleset,
						      const uint8_t key_hash[DW_KEY_HASH_BYTES]);

/** Lookups by name; NULL if not declared. They allocate nothing. */
const struct dw_organisation *dw_ruleset_organisation(const struct dw_ruleset *ruleset,
						      const char *name);
const struct dw_model *dw_ruleset_model(const struct dw_ruleset *ruleset, const char *name);
const struct dw_version *dw_ruleset_version(const struct dw_ruleset *ruleset, const char *model,
					    const char *name);
const struct dw_upstream *dw_ruleset_upstream(const struct dw_ruleset *ruleset, const char *name);
const struct dw_service *dw_ruleset_service(const struct dw_ruleset *ruleset, const char *name);
const struct dw_failure_domain *dw_ruleset_failure_domain(const struct dw_ruleset *ruleset,
							  const char *name);

/** Visits every declared upstream, in no order. */
void dw_ruleset_visit_upstreams(const struct dw_ruleset *ruleset,
				void (*visit)(const struct dw_upstream *upstream, void *data),
				void *data);

/** True if the organisation may use some version of the model. */
bool dw_organisation_allows_model(const struct dw_organisation *organisation,
				  const struct dw_model *model);

/** True if the organisation may use the version, live or not. */
bool dw_organisation_allows_version(const struct dw_organisation *organisation,
				    const struct dw_version *version);

/**
 * DW_OK if the organisation may use the version and it is live; DW_FORBIDDEN, DW_WITHDRAWN or
 * DW_NOT_FOUND else. Asked when a request comes and again at each dispatch.
 */
enum dw_status dw_ruleset_version_permitted(const struct dw_ruleset *ruleset,
					    const char *organisation, const char *model,
					    const char *version);

/** DW_OK, DW_FORBIDDEN or DW_NOT_FOUND. */
enum dw_status dw_ruleset_service_permitted(const struct dw_ruleset *ruleset,
					    const char *organisation, const char *service);

/** True if a call of @p path (below the service) may be repeated. */
bool dw_service_path_idempotent(const struct dw_service *service, const char *path);

/**
 * True if the upstream may get new work: in service by the operators' word, its failure domain not
 * drained, and not leaving by the platform's instance list (@p listed_leaving).
 */
bool dw_upstream_is_usable(const struct dw_upstream *upstream, bool listed_leaving);

/** The same, looked up now: false for an upstream that is no longer declared. */
bool dw_ruleset_upstream_is_usable(const struct dw_ruleset *ruleset, const char *upstream,
				   bool listed_leaving);

#ifdef __cplusplus
}
#endif

#endif
