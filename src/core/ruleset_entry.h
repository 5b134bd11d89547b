/**
 * @file ruleset_entry.h
 * One key of a ruleset: its revision, its packed value and the struct that the request path reads.
 */
#ifndef WHARF_CORE_RULESET_ENTRY_H
#define WHARF_CORE_RULESET_ENTRY_H

#include <dragonflywharf/ruleset.h>

#include <xxhash.h>

#define HASH_FUNCTION(keyptr, keylen, hashv) ((hashv) = (unsigned int)XXH3_64bits(keyptr, keylen))
#include <uthash.h>

struct dw_ruleset_entry {
	UT_hash_handle hh;
	char *key;
	uint64_t mod_revision;
	bool deleted;
	uint8_t *bytes;
	size_t len;
	Dragonflywharf__Entity *entity; /**< owns the strings of the union below; NULL if deleted */
	enum dw_entity_kind kind;
	uint64_t last_seen_apply; /**< number of the last snapshot that contained the key */
	uint64_t last_changed_apply; /**< number of the last apply that changed the key */
	size_t link_count; /**< used while dw_ruleset_reindex() runs; see allocate_slices() */
	union { /* which one is set depends on the kind */
		struct dw_organisation organisation;
		struct dw_model model;
		struct dw_version version;
		struct dw_upstream upstream;
		struct dw_service service;
		struct dw_failure_domain failure_domain;
	};
};

/** Creates an entry from @p item, whose value is unpacked and validated. Errors: those of
 * dw_entity_check(), DW_INVALID_ARGUMENT (the value isn't an entity or has another key),
 * DW_NO_MEMORY.
 */
enum dw_status dw_ruleset_entry_new(struct dw_ruleset_entry **out,
				    const struct dw_ruleset_item *item);

/** Creates an entry for an organisation whose value can't be unpacked: it has no keys and may use nothing. The
 * value is kept as it is, for peers that can read it. Errors: DW_NO_MEMORY. */
enum dw_status dw_ruleset_entry_new_closed(struct dw_ruleset_entry **out,
					   const struct dw_ruleset_item *item, const char *name);

/** True if @p new_entry can replace the live @p entry without any change to the indexes. */
bool dw_ruleset_entry_has_same_index(const struct dw_ruleset_entry *entry,
				     const struct dw_ruleset_entry *new_entry);

/** Moves the value of @p new_entry into @p entry, which keeps its key, its place in the hash table
 * and its links. Frees @p new_entry. */
void dw_ruleset_entry_replace(struct dw_ruleset_entry *entry, struct dw_ruleset_entry *new_entry);

/** Turns the entry into a tombstone. */
void dw_ruleset_entry_delete(struct dw_ruleset_entry *entry, uint64_t mod_revision);

void dw_ruleset_entry_free(struct dw_ruleset_entry *entry);

struct dw_ruleset_item dw_ruleset_entry_item(const struct dw_ruleset_entry *entry);

#endif
