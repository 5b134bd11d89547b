/**
 * @file ruleset_state.h
 * State of a ruleset, shared by the files that implement it.
 */
#ifndef WHARF_CORE_RULESET_STATE_H
#define WHARF_CORE_RULESET_STATE_H

#include "core/ruleset_entry.h"

/** Index entry: hash of a bearer key and the organisation that it authenticates. */
struct dw_ruleset_credential {
	UT_hash_handle hh;
	uint8_t key_hash[DW_KEY_HASH_BYTES];
	const struct dw_organisation *organisation; /**< NULL if several have this hash */
};

struct dw_ruleset {
	struct dw_ruleset_entry *entries; /**< hash table by key, including tombstones */
	struct dw_ruleset_credential *credentials; /**< hash table by key hash */
	const struct dw_version **version_links; /**< divided into one slice per model */
	/** Divided into one slice per version and per plain service. */
	const struct dw_upstream **upstream_links;
	uint64_t revision;
	uint64_t generation; /**< number of applies that changed a key */
	uint64_t apply_count; /**< number of applies, for the last_*_apply fields of the entries */
	bool keep_absent; /**< see dw_ruleset_keep_absent() */
	uint64_t tombstone_floor; /**< deletions up to this revision may have no tombstone */
	uint64_t digest;
	size_t live_count;
	size_t tombstone_count;
	size_t size_bytes;
	bool credentials_dirty;
	bool links_dirty;
	struct dw_ruleset_observer observer;
};

/** The entry of @p key, which may be a tombstone; NULL if there is none. */
struct dw_ruleset_entry *dw_ruleset_find(const struct dw_ruleset *ruleset, const char *key,
					 size_t len);

/** The live entry of the key "PREFIX/NAME" or, with @p subname, "PREFIX/NAME/SUBNAME"; NULL if
 * there is none. */
struct dw_ruleset_entry *dw_ruleset_find_live(const struct dw_ruleset *ruleset, const char *prefix,
					      const char *name, const char *subname);

/** Rebuilds the indexes that are marked dirty. Errors: DW_NO_MEMORY; an index that failed is
 * incomplete or empty and stays dirty. */
enum dw_status dw_ruleset_reindex(struct dw_ruleset *ruleset);

void dw_ruleset_free_index(struct dw_ruleset *ruleset);

#endif
