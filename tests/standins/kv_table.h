/**
 * @file kv_table.h
 * In-memory key-value table with a revision counter and a history of changes, as etcd has them.
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

/** The state of a key after one change. The value is kept as the base64 string of the request. */
struct kv_entry {
	struct kv_bytes key;
	char *value;
	uint64_t create_revision;
	uint64_t mod_revision;
	uint64_t version; /**< number of writes since the key was created */
	uint64_t lease_id;
	bool deleted; /**< deletion; only in the history */
};

/**
 * A single key (end.len is 0), or the keys from key, inclusive, to end, exclusive. An end of one
 * zero byte means no upper bound.
 */
struct kv_range {
	struct kv_bytes key;
	struct kv_bytes end;
};

struct kv_table {
	uint64_t revision;
	struct kv_entry *entries; /**< sorted by key */
	size_t count;
	struct kv_entry *history; /**< changes in revision order */
	size_t history_count;
	size_t history_bytes; /**< total length of the values in the history */
	uint64_t compact_revision; /**< the history up to this revision was removed */
};

struct kv_table *kv_table_new(void);

/** Returns a copy without the history. */
struct kv_table *kv_table_backup(const struct kv_table *table);
void kv_table_free(struct kv_table *table);

bool kv_range_contains(const struct kv_range *range, const struct kv_bytes *key);

/** Returns the entry of a key; NULL if there is none. */
const struct kv_entry *kv_table_find(const struct kv_table *table, const struct kv_bytes *key);

/** Writes one key at @p revision. The caller increments the table's revision. */
void kv_table_put(struct kv_table *table, const struct kv_bytes *key, const char *value,
		  uint64_t lease_id, uint64_t revision);

/** Deletes the keys of a range at @p revision. Returns the number of deleted keys. */
size_t kv_table_delete(struct kv_table *table, const struct kv_range *range, uint64_t revision);

/** Deletes the keys of a lease, each at a new revision. */
void kv_table_delete_by_lease(struct kv_table *table, uint64_t lease_id);

/** Returns the index of the first change in the history at or after @p revision. */
size_t kv_table_history_from(const struct kv_table *table, uint64_t revision);

/** Removes the history up to and including @p revision. */
void kv_table_compact(struct kv_table *table, uint64_t revision);

#endif
