#include "standins/kv_table.h"

#include <stdlib.h>
#include <string.h>

static struct kv_bytes bytes_copy(const struct kv_bytes *bytes)
{
	struct kv_bytes copy = { .base = malloc(bytes->len + 1), .len = bytes->len };

	memcpy(copy.base, bytes->base, bytes->len);
	copy.base[copy.len] = '\0';
	return copy;
}

static int bytes_compare(const struct kv_bytes *a, const struct kv_bytes *b)
{
	int order = memcmp(a->base, b->base, a->len < b->len ? a->len : b->len);

	if (order != 0)
		return order;
	return (a->len > b->len) - (a->len < b->len);
}

static struct kv_entry entry_copy(const struct kv_entry *entry)
{
	struct kv_entry copy = *entry;

	copy.key = bytes_copy(&entry->key);
	copy.value = strdup(entry->value);
	return copy;
}

static void entry_clear(struct kv_entry *entry)
{
	free(entry->key.base);
	free(entry->value);
}

struct kv_table *kv_table_new(void)
{
	struct kv_table *table = calloc(1, sizeof(*table));

	table->revision = 1;
	return table;
}

struct kv_table *kv_table_backup(const struct kv_table *table)
{
	struct kv_table *copy = calloc(1, sizeof(*copy));

	copy->revision = table->revision;
	copy->compact_revision = table->revision;
	copy->count = table->count;
	copy->entries = calloc(table->count + 1, sizeof(*copy->entries));
	for (size_t i = 0; i < table->count; i++)
		copy->entries[i] = entry_copy(&table->entries[i]);
	return copy;
}

void kv_table_free(struct kv_table *table)
{
	if (!table)
		return;
	for (size_t i = 0; i < table->count; i++)
		entry_clear(&table->entries[i]);
	for (size_t i = 0; i < table->history_count; i++)
		entry_clear(&table->history[i]);
	free(table->entries);
	free(table->history);
	free(table);
}

bool kv_range_contains(const struct kv_range *range, const struct kv_bytes *key)
{
	if (range->end.len == 0)
		return bytes_compare(&range->key, key) == 0;
	if (bytes_compare(key, &range->key) < 0)
		return false;
	if (range->end.len == 1 && range->end.base[0] == 0)
		return true;
	return bytes_compare(key, &range->end) < 0;
}

/* Binary search. Returns the index of the key, or where to insert it. */
static size_t find_position(const struct kv_table *table, const struct kv_bytes *key, bool *found)
{
	size_t low = 0;
	size_t high = table->count;

	*found = false;
	while (low < high) {
		size_t middle = (low + high) / 2;
		int order = bytes_compare(&table->entries[middle].key, key);

		if (order == 0) {
			*found = true;
			return middle;
		}
		if (order < 0)
			low = middle + 1;
		else
			high = middle;
	}
	return low;
}

const struct kv_entry *kv_table_find(const struct kv_table *table, const struct kv_bytes *key)
{
	bool found;
	size_t index = find_position(table, key, &found);

	return found ? &table->entries[index] : NULL;
}

/* Makes space for one more entry. Doubles the allocation when the count is a power of two. */
static struct kv_entry *grow(struct kv_entry *entries, size_t count)
{
	if ((count & (count - 1)) != 0)
		return entries;
	return realloc(entries, (count ? count * 2 : 1) * sizeof(*entries));
}

static void append_history(struct kv_table *table, struct kv_entry change)
{
	table->history = grow(table->history, table->history_count);
	table->history[table->history_count++] = change;
	table->history_bytes += strlen(change.value);
}

void kv_table_put(struct kv_table *table, const struct kv_bytes *key, const char *value,
		  uint64_t lease_id, uint64_t revision)
{
	bool found;
	size_t index = find_position(table, key, &found);
	struct kv_entry *entry;

	if (!found) {
		/* grow() can't be used: kv_table_backup() allocates without spare capacity. */
		table->entries =
			realloc(table->entries, (table->count + 1) * sizeof(*table->entries));
		memmove(&table->entries[index + 1], &table->entries[index],
			(table->count - index) * sizeof(*table->entries));
		table->count++;
		table->entries[index] = (struct kv_entry){
			.key = bytes_copy(key),
			.create_revision = revision,
		};
	}
	entry = &table->entries[index];
	free(entry->value);
	entry->value = strdup(value);
	entry->mod_revision = revision;
	entry->version++;
	entry->lease_id = lease_id;
	append_history(table, entry_copy(entry));
}

static void delete_at(struct kv_table *table, size_t index, uint64_t revision)
{
	struct kv_entry tombstone = table->entries[index];

	memmove(&table->entries[index], &table->entries[index + 1],
		(table->count - index - 1) * sizeof(*table->entries));
	table->count--;
	tombstone.deleted = true;
	tombstone.mod_revision = revision;
	append_history(table, tombstone);
}

size_t kv_table_delete(struct kv_table *table, const struct kv_range *range, uint64_t revision)
{
	size_t deleted = 0;

	for (size_t i = table->count; i-- > 0;) {
		if (kv_range_contains(range, &table->entries[i].key)) {
			delete_at(table, i, revision);
			deleted++;
		}
	}
	return deleted;
}

void kv_table_delete_by_lease(struct kv_table *table, uint64_t lease_id)
{
	for (size_t i = table->count; i-- > 0;) {
		if (table->entries[i].lease_id == lease_id)
			delete_at(table, i, ++table->revision);
	}
}

size_t kv_table_history_from(const struct kv_table *table, uint64_t revision)
{
	size_t low = 0;
	size_t high = table->history_count;

	while (low < high) {
		size_t middle = (low + high) / 2;

		if (table->history[middle].mod_revision < revision)
			low = middle + 1;
		else
			high = middle;
	}
	return low;
}

void kv_table_compact(struct kv_table *table, uint64_t revision)
{
	size_t dropped = 0;

	while (dropped < table->history_count && table->history[dropped].mod_revision <= revision) {
		table->history_bytes -= strlen(table->history[dropped].value);
		entry_clear(&table->history[dropped++]);
	}
	table->history_count -= dropped;
	memmove(table->history, table->history + dropped,
		table->history_count * sizeof(*table->history));
	table->compact_revision = revision;
}
