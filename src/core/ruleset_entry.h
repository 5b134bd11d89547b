/**
 * @file ruleset_entry.h
 * One key of a ruleset: its revision, packed value and the view that the request path reads.
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
	Dragonflywharf__Entity *entity; /**< owns the texts of the view; NULL if deleted */
	enum dw_entity_kind kind;
	uint64_t snapshot_mark; /**< the apply that last saw the key in a snapshot */
	uint64_t changed_mark; /**< the apply that last changed the key */
	size_t link_count; /**< scratch of dw_ruleset_relink() */
	union {
		struct dw_organisation organisation;
		struct dw_model model;
		struct dw_version version;
		struct dw_upstream upstream;
		struct dw_service service;
		struct dw_failure_domain failure_domain;
	};
};

/** Unpacks and checks @p item. Errors: those of dw_entity_check(), DW_NO_MEMORY. */
enum dw_status dw_ruleset_entry_new(struct dw_ruleset_entry **out,
				    const struct dw_ruleset_item *item);

/** True if @p fresh can replace the live @p entry with all indexes left as they are. */
bool dw_ruleset_entry_has_same_index(const struct dw_ruleset_entry *entry,
				     const struct dw_ruleset_entry *fresh);

/** Gives @p entry the content of @p fresh, but keeps its key, place in the hash and links; frees
 * @p fresh. */
void dw_ruleset_entry_replace(struct dw_ruleset_entry *entry, struct dw_ruleset_entry *fresh);

/** Turns the entry into a tombstone. */
void dw_ruleset_entry_delete(struct dw_ruleset_entry *entry, uint64_t mod_revision);

void dw_ruleset_entry_free(struct dw_ruleset_entry *entry);

struct dw_ruleset_item dw_ruleset_entry_item(const struct dw_ruleset_entry *entry);

#endif
