/**
 * @file ruleset.h
 * One instance's in-memory replica of the configuration.
 *
 * Every key carries the modification revision that the store assigned to it; the ruleset as a whole
 * carries the store revision up to which it is complete. A value is replaced only by one with a
 * higher modification revision. Late, repeated or reordered deltas, lagging peers and stores that
 * were restored from a backup therefore never revert a key. The ruleset reads no clock and does no
 * I/O.
 */
#ifndef DRAGONFLYWHARF_RULESET_H
#define DRAGONFLYWHARF_RULESET_H

#include <dragonflywharf/entity.h>

#ifdef __cplusplus
extern "C" {
#endif

#define DW_RULESET_TOMBSTONES_MAX 8192 /**< deletions kept to be sent to peers */

struct dw_ruleset;

/** A change of one key, received from the store or a peer. The ruleset copies the bytes. */
struct dw_ruleset_item {
	const char *key;
	uint64_t mod_revision;
	bool deleted;
	const uint8_t *bytes; /**< packed Dragonflywharf__Entity; unused if deleted */
	size_t len;
};

/** Result of applying a delta or snapshot. */
struct dw_ruleset_result {
	size_t applied; /**< keys that changed */
	size_t unchanged; /**< items already known, or older than the known value */
	size_t refused; /**< items that failed validation; reported to the observer */
	/** A key in the snapshot is older than known here: the store was restored from a backup. */
	bool diverged;
};

/** Callbacks of a ruleset. They must not call its apply functions. */
struct dw_ruleset_observer {
	/** A key changed. Called at the end of the apply, once lookups return the new value. May be
	 * NULL. */
	void (*changed)(const char *key, uint64_t mod_revision, bool deleted, void *data);
	/** A value failed validation; the key keeps its previous value. Called while the items are
	 * validated, before any of them is applied. May be NULL. */
	void (*refused)(const char *key, uint64_t mod_revision, enum dw_status status,
			const char *message, void *data);
	void *data;
};

typedef void (*dw_ruleset_visit)(const struct dw_ruleset_item *item, void *data);

/** Returns NULL if out of memory. */
struct dw_ruleset *dw_ruleset_new(void);
void dw_ruleset_free(struct dw_ruleset *ruleset);
void dw_ruleset_set_observer(struct dw_ruleset *ruleset,
			     const struct dw_ruleset_observer *observer);

/**
 * Applies the changes made at the store revisions in (from_revision, to_revision]. Only the latest
 * change of each key is needed. An item that fails validation is skipped and reported to the
 * observer; the others are applied (docs/design/configuration.md says why).
 *
 * A delta up to the current revision is applied too, if it has newer values of some keys: this
 * repairs instances whose digests differ.
 *
 * Errors, each leaving the revision unchanged: DW_UNAVAILABLE (changes are missing before
 * from_revision; pull those since dw_ruleset_revision()), DW_STALE (to_revision is older, or equal
 * and nothing is new), DW_TOO_LARGE (a key is too long), DW_INVALID_ARGUMENT (an item's revision is
 * 0 or above to_revision), DW_NO_MEMORY (the same delta can be applied again).
 */
enum dw_status dw_ruleset_apply_delta(struct dw_ruleset *ruleset, uint64_t from_revision,
				      uint64_t to_revision, const struct dw_ruleset_item *items,
				      size_t count, struct dw_ruleset_result *result);

/**
 * Applies a snapshot of all keys as of @p to_revision. Known keys that it lacks are deleted, unless
 * the snapshot has diverged (see dw_ruleset_result) or its revision isn't newer.
 * Errors: as dw_ruleset_apply_delta(), except DW_UNAVAILABLE.
 */
enum dw_status dw_ruleset_apply_snapshot(struct dw_ruleset *ruleset, uint64_t to_revision,
					 const struct dw_ruleset_item *items, size_t count,
					 struct dw_ruleset_result *result);

/**
 * While set, a snapshot deletes no key that it lacks: the store may have lost it. Deletions in deltas are applied as
 * ever.
 */
void dw_ruleset_keep_absent(struct dw_ruleset *ruleset, bool keep);

/**
 * Advances the revision without transferring keys. A peer that is complete up to @p to_revision
 * sends its digest; if the own digest is equal, the live keys are the same. Instances often differ
 * only in their revision, as writes that aren't configuration also advance the store's revision.
 * Errors: DW_STALE (not newer), DW_UNAVAILABLE (the digests differ, or there is no configuration
 * yet: pull).
 */
enum dw_status dw_ruleset_confirm_revision(struct dw_ruleset *ruleset, uint64_t to_revision,
					   uint64_t digest);

/** Store revision up to which the ruleset is complete; 0 if there is no configuration yet. */
uint64_t dw_ruleset_revision(const struct dw_ruleset *ruleset);

/** Number of applies that changed a key. Pointers from lookups are valid until it increases. */
uint64_t dw_ruleset_generation(const struct dw_ruleset *ruleset);

/** Order-independent digest (XXH3) of the live keys and their modification revisions. */
uint64_t dw_ruleset_digest(const struct dw_ruleset *ruleset);

/** Number of live keys. */
size_t dw_ruleset_count(const struct dw_ruleset *ruleset);

/** Total size of the live keys and their packed values. */
size_t dw_ruleset_size_bytes(const struct dw_ruleset *ruleset);

/**
 * Visits the changes that a peer lacks which is complete up to @p since. Sets @p snapshot if the
 * tombstones of some deletions since then may be missing; the visited items are then all live keys
 * and have to be applied as a snapshot.
 */
void dw_ruleset_items_since(const struct dw_ruleset *ruleset, uint64_t since,
			    dw_ruleset_visit visit, void *data, bool *snapshot);

/** Visits the live keys that start with @p prefix, in no particular order. */
void dw_ruleset_visit_prefix(const struct dw_ruleset *ruleset, const char *prefix,
			     dw_ruleset_visit visit, void *data);

/** Gets the live item of @p key; returns false if there is none. */
bool dw_ruleset_get(const struct dw_ruleset *ruleset, const char *key,
		    struct dw_ruleset_item *item);

/**
 * Returns the organisation whose bearer key has this SHA-256 hash; NULL if there is none. A hash
 * that is configured for two organisations authenticates neither.
 */
const struct dw_organisation *dw_ruleset_authenticate(const struct dw_ruleset *ruleset,
						      const uint8_t key_hash[DW_KEY_HASH_BYTES]);

/** Lookups by name. They return NULL if the entity isn't configured, and allocate nothing. */
const struct dw_organisation *dw_ruleset_organisation(const struct dw_ruleset *ruleset,
						      const char *name);
const struct dw_model *dw_ruleset_model(const struct dw_ruleset *ruleset, const char *name);
const struct dw_version *dw_ruleset_version(const struct dw_ruleset *ruleset, const char *model,
					    const char *name);
const struct dw_upstream *dw_ruleset_upstream(const struct dw_ruleset *ruleset, const char *name);
const struct dw_service *dw_ruleset_service(const struct dw_ruleset *ruleset, const char *name);
const struct dw_failure_domain *dw_ruleset_failure_domain(const struct dw_ruleset *ruleset,
							  const char *name);

/** Visits every configured upstream, in no particular order. */
void dw_ruleset_visit_upstreams(const struct dw_ruleset *ruleset,
				void (*visit)(const struct dw_upstream *upstream, void *data),
				void *data);

/** True if the organisation may use the model or at least one of its versions. */
bool dw_organisation_allows_model(const struct dw_organisation *organisation,
				  const struct dw_model *model);

/** True if the organisation may use the version, even if it is withdrawn. */
bool dw_organisation_allows_version(const struct dw_organisation *organisation,
				    const struct dw_version *version);

/**
 * Returns DW_OK if the organisation may use the version and it is live, else DW_FORBIDDEN,
 * DW_WITHDRAWN or DW_NOT_FOUND. Checked when a request arrives and again at each dispatch.
 */
enum dw_status dw_ruleset_version_permitted(const struct dw_ruleset *ruleset,
					    const char *organisation, const char *model,
					    const char *version);

/** Returns DW_OK, DW_FORBIDDEN or DW_NOT_FOUND. */
enum dw_status dw_ruleset_service_permitted(const struct dw_ruleset *ruleset,
					    const char *organisation, const char *service);

/** True if a call to @p path, which is relative to the service, may be repeated. */
bool dw_service_path_idempotent(const struct dw_service *service, const char *path);

/**
 * True if the upstream may get new requests: the configuration has it in service, its failure
 * domain isn't drained, and the platform's instance list doesn't mark it as leaving
 * (@p listed_leaving).
 */
bool dw_upstream_is_usable(const struct dw_upstream *upstream, bool listed_leaving);

/** As dw_upstream_is_usable(), by name; false for an upstream that isn't configured. */
bool dw_ruleset_upstream_is_usable(const struct dw_ruleset *ruleset, const char *upstream,
				   bool listed_leaving);

#ifdef __cplusplus
}
#endif

#endif
