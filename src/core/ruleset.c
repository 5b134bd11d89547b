#include "core/ruleset_state.h"

#include <stdlib.h>
#include <string.h>

/* The entries of one apply before they come into force. */
struct staged_entries {
	struct dw_ruleset_entry **entries;
	size_t count;
};

struct dw_ruleset *dw_ruleset_new(void)
{
	return calloc(1, sizeof(struct dw_ruleset));
}

static void drop_entry(struct dw_ruleset *ruleset, struct dw_ruleset_entry *entry)
{
	HASH_DEL(ruleset->entries, entry);
	dw_ruleset_entry_free(entry);
}

void dw_ruleset_free(struct dw_ruleset *ruleset)
{
	struct dw_ruleset_entry *entry, *next;

	if (!ruleset)
		return;
	dw_ruleset_free_index(ruleset);
	HASH_ITER(hh, ruleset->entries, entry, next)
		drop_entry(ruleset, entry);
	free(ruleset);
}

void dw_ruleset_set_observer(struct dw_ruleset *ruleset, const struct dw_ruleset_observer *observer)
{
	ruleset->observer = *observer;
}

struct dw_ruleset_entry *dw_ruleset_find(const struct dw_ruleset *ruleset, const char *key,
					 size_t len)
{
	struct dw_ruleset_entry *entry;

	HASH_FIND(hh, ruleset->entries, key, len, entry);
	return entry;
}

/* A tombstone may be forgotten, so a key that isn't known and is as old as that stays deleted. */
static bool is_news(const struct dw_ruleset *ruleset, const char *key, uint64_t mod_revision)
{
	const struct dw_ruleset_entry *entry = dw_ruleset_find(ruleset, key, strlen(key));

	return mod_revision > (entry ? entry->mod_revision : ruleset->tombstone_floor);
}

static void tell_refused(struct dw_ruleset *ruleset, const struct dw_ruleset_item *item,
			 enum dw_status status)
{
	const struct dw_ruleset_observer *observer = &ruleset->observer;

	if (observer->refused)
		observer->refused(item->key, item->mod_revision, status, dw_last_message(),
				  observer->data);
}

static void drop_staged(struct staged_entries *staged)
{
	size_t i;

	for (i = 0; i < staged->count; i++)
		dw_ruleset_entry_free(staged->entries[i]);
	free(staged->entries);
}

static enum dw_status stage_item(struct dw_ruleset *ruleset, const struct dw_ruleset_item *item,
				 struct staged_entries *staged, struct dw_ruleset_result *result)
{
	struct dw_ruleset_entry *fresh = NULL;
	enum dw_status status;

	if (!is_news(ruleset, item->key, item->mod_revision)) {
		result->unchanged++;
		return DW_OK;
	}
	status = dw_ruleset_entry_new(&fresh, item);
	if (status == DW_NO_MEMORY)
		return status;
	if (status) {
		result->refused++;
		tell_refused(ruleset, item, status);
		return DW_OK;
	}
	staged->entries[staged->count++] = fresh;
	return DW_OK;
}

static enum dw_status stage(struct dw_ruleset *ruleset, const struct dw_ruleset_item *items,
			    size_t count, struct staged_entries *staged,
			    struct dw_ruleset_result *result)
{
	size_t i;

	*staged = (struct staged_entries){ .entries = calloc(count + 1, sizeof(void *)) };
	if (!staged->entries)
		return dw_fail(DW_NO_MEMORY, "no memory for %zu items", count);
	for (i = 0; i < count; i++) {
		enum dw_status status = stage_item(ruleset, &items[i], staged, result);

		if (status) {
			drop_staged(staged);
			return status;
		}
	}
	return DW_OK;
}

static uint64_t entry_digest(const struct dw_ruleset_entry *entry)
{
	return XXH3_64bits_withSeed(entry->key, strlen(entry->key), entry->mod_revision);
}

static size_t entry_size_bytes(const struct dw_ruleset_entry *entry)
{
	return strlen(entry->key) + entry->len;
}

/* Takes the entry out of the sums before a change, and in again after it. */
static void account(struct dw_ruleset *ruleset, const struct dw_ruleset_entry *entry, bool add)
{
	size_t one = add ? 1 : (size_t)-1;

	if (entry->deleted) {
		ruleset->tombstone_count += one;
		return;
	}
	ruleset->live_count += one;
	ruleset->size_bytes += one * entry_size_bytes(entry);
	ruleset->digest += (uint64_t)one * entry_digest(entry);
}

static void mark_dirty(struct dw_ruleset *ruleset, enum dw_entity_kind kind)
{
	if (kind == DW_ENTITY_ORGANISATION)
		ruleset->bearers_dirty = true;
	else
		ruleset->links_dirty = true;
}

/* Whether the indexes change as @p fresh comes in; @p entry is the one held, or NULL. */
static bool changes_index(const struct dw_ruleset_entry *entry,
			  const struct dw_ruleset_entry *fresh)
{
	bool was_live = entry && !entry->deleted;

	if (!was_live || fresh->deleted)
		return was_live || !fresh->deleted;
	return !dw_ruleset_entry_has_same_index(entry, fresh);
}

static void put(struct dw_ruleset *ruleset, struct dw_ruleset_entry *fresh,
		struct dw_ruleset_result *result)
{
	struct dw_ruleset_entry *entry = dw_ruleset_find(ruleset, fresh->key, strlen(fresh->key));

	if (!is_news(ruleset, fresh->key, fresh->mod_revision)) {
		result->unchanged++;
		dw_ruleset_entry_free(fresh);
		return;
	}
	if (changes_index(entry, fresh))
		mark_dirty(ruleset, fresh->deleted ? entry->kind : fresh->kind);
	if (entry) {
		account(ruleset, entry, false);
		dw_ruleset_entry_replace(entry, fresh);
	} else {
		entry = fresh;
		HASH_ADD_KEYPTR(hh, ruleset->entries, entry->key, strlen(entry->key), entry);
	}
	account(ruleset, entry, true);
	entry->changed_mark = ruleset->apply_count;
	result->applied++;
}

static void commit(struct dw_ruleset *ruleset, struct staged_entries *staged,
		   struct dw_ruleset_result *result)
{
	size_t i;

	for (i = 0; i < staged->count; i++)
		put(ruleset, staged->entries[i], result);
	free(staged->entries);
}

static int compare_revisions(const void *a, const void *b)
{
	const struct dw_ruleset_entry *const *left = a;
	const struct dw_ruleset_entry *const *right = b;

	if ((*left)->mod_revision == (*right)->mod_revision)
		return 0;
	return (*left)->mod_revision < (*right)->mod_revision ? -1 : 1;
}

/* Forgets the older half of the tombstones once there are too many. */
static void trim_tombstones(struct dw_ruleset *ruleset)
{
	struct dw_ruleset_entry **tombstones, *entry;
	size_t count = 0, i;

	if (ruleset->tombstone_count <= DW_RULESET_TOMBSTONES_MAX)
		return;
	tombstones = calloc(ruleset->tombstone_count, sizeof(struct dw_ruleset_entry *));
	if (!tombstones)
		return;
	for (entry = ruleset->entries; entry; entry = entry->hh.next)
		if (entry->deleted)
			tombstones[count++] = entry;
	qsort(tombstones, count, sizeof(struct dw_ruleset_entry *), compare_revisions);
	for (i = 0; i < count / 2; i++) {
		if (tombstones[i]->mod_revision > ruleset->tombstone_floor)
			ruleset->tombstone_floor = tombstones[i]->mod_revision;
		drop_entry(ruleset, tombstones[i]);
	}
	ruleset->tombstone_count -= count / 2;
	free(tombstones);
}

static void tell_changed(const struct dw_ruleset *ruleset)
{
	const struct dw_ruleset_observer *observer = &ruleset->observer;
	const struct dw_ruleset_entry *entry;

	if (!observer->changed)
		return;
	for (entry = ruleset->entries; entry; entry = entry->hh.next)
		if (entry->changed_mark == ruleset->apply_count)
			observer->changed(entry->key, entry->mod_revision, entry->deleted,
					  observer->data);
}

/* The revision rises last: after a failure the same delta can be applied again. */
static enum dw_status finish(struct dw_ruleset *ruleset, uint64_t to_revision,
			     const struct dw_ruleset_result *result)
{
	enum dw_status status = dw_ruleset_reindex(ruleset);

	if (result->applied > 0)
		ruleset->generation++;
	if (status)
		return status;
	if (result->applied == 0 && to_revision == ruleset->revision)
		return dw_fail(DW_STALE, "nothing new up to revision %llu",
			       (unsigned long long)to_revision);
	ruleset->revision = to_revision;
	if (result->applied > 0)
		tell_changed(ruleset);
	trim_tombstones(ruleset);
	return DW_OK;
}

static enum dw_status check_items(const struct dw_ruleset *ruleset, uint64_t to_revision,
				  const struct dw_ruleset_item *items, size_t count)
{
	size_t i;

	if (to_revision < ruleset->revision)
		return dw_fail(DW_STALE, "revision %llu is older than %llu",
			       (unsigned long long)to_revision,
			       (unsigned long long)ruleset->revision);
	for (i = 0; i < count; i++) {
		if (strlen(items[i].key) >= DW_ENTITY_KEY_BYTES)
			return dw_fail(DW_TOO_LARGE, "key over %d bytes", DW_ENTITY_KEY_BYTES - 1);
		if (items[i].mod_revision < 1 || items[i].mod_revision > to_revision)
			return dw_fail(DW_INVALID_ARGUMENT, "%s: revision outside the range",
				       items[i].key);
	}
	return DW_OK;
}

enum dw_status dw_ruleset_apply_delta(struct dw_ruleset *ruleset, uint64_t from_revision,
				      uint64_t to_revision, const struct dw_ruleset_item *items,
				      size_t count, struct dw_ruleset_result *result)
{
	enum dw_status status = check_items(ruleset, to_revision, items, count);
	struct staged_entries staged;

	*result = (struct dw_ruleset_result){ 0 };
	if (status)
		return status;
	if (from_revision > ruleset->revision)
		return dw_fail(DW_UNAVAILABLE, "gap: known up to %llu, delta from %llu",
			       (unsigned long long)ruleset->revision,
			       (unsigned long long)from_revision);
	status = stage(ruleset, items, count, &staged, result);
	if (status)
		return status;
	ruleset->apply_count++;
	commit(ruleset, &staged, result);
	return finish(ruleset, to_revision, result);
}

/* In one history no key's revision goes back. A key that isn't known may be a refused one. */
static bool contradicts(const struct dw_ruleset *ruleset, const struct dw_ruleset_item *item)
{
	const struct dw_ruleset_entry *entry =
		dw_ruleset_find(ruleset, item->key, strlen(item->key));

	return entry && item->mod_revision < entry->mod_revision;
}

static void mark_seen(struct dw_ruleset *ruleset, const struct dw_ruleset_item *items, size_t count)
{
	size_t i;

	for (i = 0; i < count; i++) {
		struct dw_ruleset_entry *entry =
			dw_ruleset_find(ruleset, items[i].key, strlen(items[i].key));

		if (entry)
			entry->snapshot_mark = ruleset->apply_count;
	}
}

static void delete_unseen(struct dw_ruleset *ruleset, uint64_t to_revision,
			  struct dw_ruleset_result *result)
{
	struct dw_ruleset_entry *entry;

	for (entry = ruleset->entries; entry; entry = entry->hh.next) {
		if (entry->deleted || entry->snapshot_mark == ruleset->apply_count)
			continue;
		mark_dirty(ruleset, entry->kind);
		account(ruleset, entry, false);
		dw_ruleset_entry_delete(entry, to_revision);
		account(ruleset, entry, true);
		entry->changed_mark = ruleset->apply_count;
		result->applied++;
	}
}

enum dw_status dw_ruleset_apply_snapshot(struct dw_ruleset *ruleset, uint64_t to_revision,
					 const struct dw_ruleset_item *items, size_t count,
					 struct dw_ruleset_result *result)
{
	enum dw_status status = check_items(ruleset, to_revision, items, count);
	bool is_newer = to_revision > ruleset->revision;
	struct staged_entries staged;
	size_t i;

	*result = (struct dw_ruleset_result){ 0 };
	if (status)
		return status;
	for (i = 0; i < count; i++)
		if (contradicts(ruleset, &items[i]))
			result->diverged = true;
	status = stage(ruleset, items, count, &staged, result);
	if (status)
		return status;
	ruleset->apply_count++;
	commit(ruleset, &staged, result);
	mark_seen(ruleset, items, count);
	if (is_newer && !result->diverged)
		delete_unseen(ruleset, to_revision, result);
	/* Keys that came and went since the last revision known here left no tombstone. */
	if (is_newer)
		ruleset->tombstone_floor = to_revision;
	return finish(ruleset, to_revision, result);
}

enum dw_status dw_ruleset_confirm_revision(struct dw_ruleset *ruleset, uint64_t to_revision,
					   uint64_t digest)
{
	if (to_revision <= ruleset->revision)
		return dw_fail(DW_STALE, "revision %llu is not newer",
			       (unsigned long long)to_revision);
	if (ruleset->revision == 0 || digest != ruleset->digest)
		return dw_fail(DW_UNAVAILABLE, "digests differ");
	/* As after a snapshot, keys that came and went meanwhile left no tombstone. */
	ruleset->tombstone_floor = to_revision;
	ruleset->revision = to_revision;
	return DW_OK;
}
