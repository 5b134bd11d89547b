/**
 * @file ruleset_state.h
 * What a ruleset holds; shared by the parts of its implementation.
 */
#ifndef WHARF_CORE_RULESET_STATE_H
#define WHARF_CORE_RULESET_STATE_H

#include "core/ruleset_entry.h"

/** Key hash of an organisation. */
struct dw_ruleset_credential {
	UT_hash_handle hh;
	uint8_t key_hash[DW_KEY_HASH_BYTES];
	const struct dw_organisation *organisation; /**< NULL if two carry the hash */
};

struct dw_ruleset {
	struct dw_ruleset_entry *entries; /**< by key, tombstones included */
	struct dw_ruleset_credential *bearers;
	const struct dw_version **version_links; /**< slices belong to models */
	const struct dw_upstream **upstream_links; /**< slices belong to versions and services */
	uint64_t revision;
	uint64_t generation;
	uint64_t apply_count;
	uint64_t tombstone_floor; /**< deletions up to it may be forgotten */
	uint64_t digest;
	size_t live_count;
	size_t tombstone_count;
	size_t size_bytes;
	bool bearers_dirty;
	bool links_dirty;
	struct dw_ruleset_observer observer;
};

struct dw_ruleset_entry *dw_ruleset_find(const struct dw_ruleset *ruleset, const char *key,
					 size_t len);

/** The live entry "PREFIX/NAME" or, with @p second, "PREFIX/NAME/SECOND"; NULL if none. */
struct dw_ruleset_entry *dw_ruleset_find_live(const struct dw_ruleset *ruleset, const char *prefix,
					      const char *name, const char *second);

/** Rebuilds what is dirty of the indexes. Errors: DW_NO_MEMORY, with the links cut. */
enum dw_status dw_ruleset_reindex(struct dw_ruleset *ruleset);

void dw_ruleset_free_index(struct dw_ruleset *ruleset);

#endif
