#include "core/ruleset_state.h"

#include <stdlib.h>
#include <string.h>

/* Validated entries of one delta or snapshot that haven't been applied yet. */
struct staged_entries {
	struct dw_ruleset_entry **entries;
	size_t count;
};

struct dw_ruleset *dw_ruleset_new(void)
{
	return calloc(1, sizeof(struct dw_ruleset));
}

static void remove_entry(struct dw_ruleset *ruleset, struct dw_ruleset_entry *entry)
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
		remove_entry(ruleset, entry);
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

/* An unknown key may have been deleted and its tombstone dropped. A change that isn't newer than
 * the dropped tombstones is therefore ignored, so that the key stays deleted. */
static bool is_newer_than_known(const struct dw_ruleset *ruleset, const char *key,
				uint64_t mod_revision)
{
	const struct dw_ruleset_entry *entry = dw_ruleset_find(ruleset, key, strlen(key));

	return mod_revision > (entry ? entry->mod_revision : ruleset->tombstone_floor);
}

static void report_refused(struct dw_ruleset *ruleset, const struct dw_ruleset_item *item,
			   enum dw_status status)
{
	const struct dw_ruleset_observer *observer = &ruleset->observer;

	if (observer->refused)
		observer->refused(item->key, item->mod_revision, status, dw_last_message(),
				  observer->data);
}

static void free_staged(struct staged_entries *staged)
{
	size_t i;

	for (i = 0; i < staged->count; i++)
		dw_ruleset_entry_free(staged->entries[i]);
	free(staged->entries);
}

/* A refused value keeps the previous one in force, but not the keys and permissions of an organisation: the
 * value may take them away. */
static enum dw_status close_organisation(struct dw_ruleset *ruleset,
					 const struct dw_ruleset_item *item,
					 struct staged_entries *staged)
{
	const struct dw_ruleset_entry *known =
		dw_ruleset_find(ruleset, item->key, strlen(item->key));
	struct dw_ruleset_entry *closed = NULL;
	enum dw_status status;

	if (!known || known->deleted || known->kind != DW_ENTITY_ORGANISATION)
		return DW_OK;
	status = dw_ruleset_entry_new_closed(&closed, item, known->organisation.name);
	if (status == DW_OK)
		staged->entries[staged->count++] = closed;
	return status;
}

static enum dw_status validate_item(struct dw_ruleset *ruleset, const struct dw_ruleset_item *item,
				    struct staged_entries *staged, struct dw_ruleset_result *result)
{
	struct dw_ruleset_entry *new_entry = NULL;
	enum dw_status status;

	if (!is_newer_than_known(ruleset, item->key, item->mod_revision)) {
		result->unchanged++;
		return DW_OK;
	}
	status = dw_ruleset_entry_new(&new_entry, item);
	if (status == DW_NO_MEMORY)
		return status;
	if (status) {
		result->refused++;
		report_refused(ruleset, item, status);
		return close_organisation(ruleset, item, staged);
	}
	staged->entries[staged->count++] = new_entry;
	return DW_OK;
}

static enum dw_status validate_items(struct dw_ruleset *ruleset,
				     const struct dw_ruleset_item *items, size_t count,
				     struct staged_entries *staged,
				     struct dw_ruleset_result *result)
{
	size_t i;

	*staged = (struct staged_entries){ .entries = calloc(count + 1, sizeof(void *)) };
	if (!staged->entries)
		return dw_fail(DW_NO_MEMORY, "no memory for %zu items", count);
	for (i = 0; i < count; i++) {
		enum dw_status status = validate_item(ruleset, &items[i], staged, result);

		if (status) {
			free_staged(staged);
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

/* Adds an entry to the totals or subtracts it from them. Around a change of an entry, it is first
 * subtracted and then added again. */
static void update_totals(struct dw_ruleset *ruleset, const struct dw_ruleset_entry *entry,
			  bool add)
{
	size_t step = add ? 1 : (size_t)-1;

	if (entry->deleted) {
		ruleset->tombstone_count += step;
		return;
	}
	ruleset->live_count += step;
	ruleset->size_bytes += step * entry_size_bytes(entry);
	ruleset->digest += (uint64_t)step * entry_digest(entry);
}

static void mark_dirty(struct dw_ruleset *ruleset, enum dw_entity_kind kind)
{
	if (kind == DW_ENTITY_ORGANISATION)
		ruleset->credentials_dirty = true;
	else
		ruleset->links_dirty = true;
}

/* True if the indexes change when @p new_entry replaces @p entry, which is NULL for a new key. */
static bool changes_index(const struct dw_ruleset_entry *entry,
			  const struct dw_ruleset_entry *new_entry)
{
	bool was_live = entry && !entry->deleted;

	if (!was_live || new_entry->deleted)
		return was_live || !new_entry->deleted;
	return !dw_ruleset_entry_has_same_index(entry, new_entry);
}

static void apply_entry(struct dw_ruleset *ruleset, struct dw_ruleset_entry *new_entry,
			struct dw_ruleset_result *result)
{
	struct dw_ruleset_entry *entry =
		dw_ruleset_find(ruleset, new_entry->key, strlen(new_entry->key));

	if (!is_newer_than_known(ruleset, new_entry->key, new_entry->mod_revision)) {
		result->unchanged++;
		dw_ruleset_entry_free(new_entry);
		return;
	}
	if (changes_index(entry, new_entry))
		mark_dirty(ruleset, new_entry->deleted ? entry->kind : new_entry->kind);
	if (entry) {
		update_totals(ruleset, entry, false);
		dw_ruleset_entry_replace(entry, new_entry);
	} else {
		entry = new_entry;
		HASH_ADD_KEYPTR(hh, ruleset->entries, entry->key, strlen(entry->key), entry);
	}
	update_totals(ruleset, entry, true);
	entry->last_changed_apply = ruleset->apply_count;
	result->applied++;
}

static void apply_staged(struct dw_ruleset *ruleset, struct staged_entries *staged,
			 struct dw_ruleset_result *result)
{
	size_t i;

	for (i = 0; i < staged->count; i++)
		apply_entry(ruleset, staged->entries[i], result);
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

/* Drops the older half of the tombstones when there are too many. */
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
		remove_entry(ruleset, tombstones[i]);
	}
	ruleset->tombstone_count -= count / 2;
	free(tombstones);
}

static void report_changed(const struct dw_ruleset *ruleset)
{
	const struct dw_ruleset_observer *observer = &ruleset->observer;
	const struct dw_ruleset_entry *entry;

	if (!observer->changed)
		return;
	for (entry = ruleset->entries; entry; entry = entry->hh.next)
		if (entry->last_changed_apply == ruleset->apply_count)
			observer->changed(entry->key, entry->mod_revision, entry->deleted,
					  observer->data);
}

/* The revision is advanced last, so that after a failure the same delta can be applied again. */
static enum dw_status finish_apply(struct dw_ruleset *ruleset, uint64_t to_revision,
				   const struct dw_ruleset_result *result)
{
	enum dw_status status = dw_ruleset_reindex(ruleset);

	if (result->applied > 0)
		ruleset->generation++;
	if (status)
		return status;
	if (result->applied == 0 && to_revision == ruleset->revision)
		return dw_fail(DW_STALE, "no new changes up to revision %llu",
			       (unsigned long long)to_revision);
	ruleset->revision = to_revision;
	if (result->applied > 0)
		report_changed(ruleset);
	trim_tombstones(ruleset);
	return DW_OK;
}

static enum dw_status check_items(const struct dw_ruleset *ruleset, uint64_t to_revision,
				  const struct dw_ruleset_item *items, size_t count)
{
	size_t i;

	if (to_revision < ruleset->revision)
		return dw_fail(DW_STALE, "revision %llu is older than the known revision %llu",
			       (unsigned long long)to_revision,
			       (unsigned long long)ruleset->revision);
	for (i = 0; i < count; i++) {
		if (strlen(items[i].key) >= DW_ENTITY_KEY_BYTES)
			return dw_fail(DW_TOO_LARGE, "key has %zu bytes, more than %d",
				       strlen(items[i].key), DW_ENTITY_KEY_BYTES - 1);
		if (items[i].mod_revision < 1 || items[i].mod_revision > to_revision)
			return dw_fail(DW_INVALID_ARGUMENT, "%s: revision %llu is not in 1 to %llu",
				       items[i].key, (unsigned long long)items[i].mod_revision,
				       (unsigned long long)to_revision);
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
		return dw_fail(
			DW_UNAVAILABLE,
			"changes are missing: known up to revision %llu, delta starts at %llu",
			(unsigned long long)ruleset->revision, (unsigned long long)from_revision);
	status = validate_items(ruleset, items, count, &staged, result);
	if (status)
		return status;
	ruleset->apply_count++;
	apply_staged(ruleset, &staged, result);
	return finish_apply(ruleset, to_revision, result);
}

/* A key's revision never decreases unless the store was restored from a backup. An unknown key
 * proves nothing, as its value may have been refused. */
static bool is_older_than_known(const struct dw_ruleset *ruleset,
				const struct dw_ruleset_item *item)
{
	const struct dw_ruleset_entry *entry =
		dw_ruleset_find(ruleset, item->key, strlen(item->key));

	return entry && item->mod_revision < entry->mod_revision;
}

static void mark_seen_keys(struct dw_ruleset *ruleset, const struct dw_ruleset_item *items,
			   size_t count)
{
	size_t i;

	for (i = 0; i < count; i++) {
		struct dw_ruleset_entry *entry =
			dw_ruleset_find(ruleset, items[i].key, strlen(items[i].key));

		if (entry)
			entry->last_seen_apply = ruleset->apply_count;
	}
}

static void delete_absent_keys(struct dw_ruleset *ruleset, uint64_t to_revision,
			       struct dw_ruleset_result *result)
{
	struct dw_ruleset_entry *entry;

	for (entry = ruleset->entries; entry; entry = entry->hh.next) {
		if (entry->deleted || entry->last_seen_apply == ruleset->apply_count)
			continue;
		mark_dirty(ruleset, entry->kind);
		update_totals(ruleset, entry, false);
		dw_ruleset_entry_delete(entry, to_revision);
		update_totals(ruleset, entry, true);
		entry->last_changed_apply = ruleset->apply_count;
		result->applied++;
	}
}

void dw_ruleset_keep_absent(struct dw_ruleset *ruleset, bool keep)
{
	ruleset->keep_absent = keep;
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
		if (is_older_than_known(ruleset, &items[i]))
			result->diverged = true;
	status = validate_items(ruleset, items, count, &staged, result);
	if (status)
		return status;
	ruleset->apply_count++;
	apply_staged(ruleset, &staged, result);
	mark_seen_keys(ruleset, items, count);
	if (is_newer && !result->diverged && !ruleset->keep_absent)
		delete_absent_keys(ruleset, to_revision, result);
	/* There are no tombstones of keys that were both created and deleted since the last known
	 * revision. */
	if (is_newer)
		ruleset->tombstone_floor = to_revision;
	return finish_apply(ruleset, to_revision, result);
}

enum dw_status dw_ruleset_confirm_revision(struct dw_ruleset *ruleset, uint64_t to_revision,
					   uint64_t digest)
{
	if (to_revision <= ruleset->revision)
		return dw_fail(DW_STALE, "revision %llu is not newer than the known revision %llu",
			       (unsigned long long)to_revision,
			       (unsigned long long)ruleset->revision);
	if (ruleset->revision == 0 || digest != ruleset->digest)
		return dw_fail(DW_UNAVAILABLE,
			       "no configuration yet, or the peer's digest of it differs");
	/* As after a snapshot, there are no tombstones of keys that were created and deleted
	 * meanwhile. */
	ruleset->tombstone_floor = to_revision;
	ruleset->revision = to_revision;
	return DW_OK;
}
