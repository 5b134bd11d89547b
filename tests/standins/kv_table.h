/**
 * @file kv_table.h
 * The data of the key-value stand-in: sorted keys, one revision counter, the history of changes.
 */
#ifndef TESTS_STANDINS_KV_TABLE_H
#define TESTS_STANDINS_KV_TABLE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

struct kv_bytes {
	uint8_t *base;
	size_t len;
};

/** One key's state after one change; the value stays in base64. */
struct kv_entry {
	struct kv_bytes key;
	char *value;
	uint64_t create_revision;
	uint64_t mod_revision;
	uint64_t version;
	uint64_t lease_id;
	bool deleted; /**< in the history only */
};

/** A key (end.len is 0), or all keys from key up to end; an end of one zero byte has no bound. */
struct kv_range {
	struct kv_bytes key;
	struct kv_bytes end;
};

struct kv_table {
	uint64_t revision;
	struct kv_entry *entries; /**< sorted by key */
	size_t count;
	struct kv_entry *history; /**< in the order of revisions */
	size_t history_count;
	size_t history_bytes; /**< of its values */
	uint64_t compact_revision; /**< the history up to it is gone */
};

struct kv_table *kv_table_new(void);

/** A copy without the history, as a backup keeps it. */
struct kv_table *kv_table_backup(const struct kv_table *table);
void kv_table_free(struct kv_table *table);

bool kv_range_contains(const struct kv_range *range, const struct kv_bytes *key);

/** The entry of a key; NULL if there is none. */
const struct kv_entry *kv_table_find(const struct kv_table *table, const struct kv_bytes *key);

/** Writes one key at @p revision, which the caller has counted up. */
void kv_table_put(struct kv_table *table, const struct kv_bytes *key, const char *value,
		  uint64_t lease_id, uint64_t revision);

/** Deletes the keys of a range at @p revision; how many there were. */
size_t kv_table_delete(struct kv_table *table, const struct kv_range *range, uint64_t revision);

/** Deletes the keys that are bound to a lease, each at a revision of its own. */
void kv_table_expire(struct kv_table *table, uint64_t lease_id);

/** Index of the first change in the history at or after @p revision. */
size_t kv_table_history_from(const struct kv_table *table, uint64_t revision);

/** Drops the history up to @p revision. */
void kv_table_compact(struct kv_table *table, uint64_t revision);

#endif
