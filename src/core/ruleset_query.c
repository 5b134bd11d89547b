#include "core/ruleset_state.h"

#include <string.h>

/* Appends "/" and @text; NULL if it is too long for any key. */
static char *append(char *end, const char *text)
{
	if (!end || strnlen(text, DW_NAME_MAX_BYTES + 1) > DW_NAME_MAX_BYTES)
		return NULL;
	*end = '/';
	return stpcpy(end + 1, text);
}

struct dw_ruleset_entry *dw_ruleset_find_live(const struct dw_ruleset *ruleset, const char *prefix,
					      const char *name, const char *second)
{
	char key[DW_ENTITY_KEY_BYTES];
	struct dw_ruleset_entry *entry;
	char *end = append(stpcpy(key, prefix), name);

	if (second)
		end = append(end, second);
	if (!end)
		return NULL;
	entry = dw_ruleset_find(ruleset, key, (size_t)(end - key));
	return entry && !entry->deleted ? entry : NULL;
}

uint64_t dw_ruleset_revision(const struct dw_ruleset *ruleset)
{
	return ruleset->revision;
}

uint64_t dw_ruleset_generation(const struct dw_ruleset *ruleset)
{
	return ruleset->generation;
}

uint64_t dw_ruleset_digest(const struct dw_ruleset *ruleset)
{
	return ruleset->digest;
}

size_t dw_ruleset_count(const struct dw_ruleset *ruleset)
{
	return ruleset->live_count;
}

size_t dw_ruleset_size_bytes(const struct dw_ruleset *ruleset)
{
	return ruleset->size_bytes;
}

void dw_ruleset_items_since(const struct dw_ruleset *ruleset, uint64_t since,
			    dw_ruleset_visit visit, void *data, bool *snapshot)
{
	const struct dw_ruleset_entry *entry;

	*snapshot = since < ruleset->tombstone_floor;
	for (entry = ruleset->entries; entry; entry = entry->hh.next) {
		struct dw_ruleset_item item = dw_ruleset_entry_item(entry);

		if (*snapshot ? !entry->deleted : entry->mod_revision > since)
			visit(&item, data);
	}
}

void dw_ruleset_visit_prefix(const struct dw_ruleset *ruleset, const char *prefix,
			     dw_ruleset_visit visit, void *data)
{
	const struct dw_ruleset_entry *entry;
	size_t len = strlen(prefix);

	for (entry = ruleset->entries; entry; entry = entry->hh.next) {
		struct dw_ruleset_item item = dw_ruleset_entry_item(entry);

		if (!entry->deleted && !strncmp(entry->key, prefix, len))
			visit(&item, data);
	}
}

bool dw_ruleset_get(const struct dw_ruleset *ruleset, const char *key, struct dw_ruleset_item *item)
{
	const struct dw_ruleset_entry *entry = dw_ruleset_find(ruleset, key, strlen(key));

	if (!entry || entry->deleted)
		return false;
	*item = dw_ruleset_entry_item(entry);
	return true;
}

const struct dw_organisation *dw_ruleset_authenticate(const struct dw_ruleset *ruleset,
						      const uint8_t key_hash[DW_KEY_HASH_BYTES])
{
	const struct dw_ruleset_credential *bearer;

	HASH_FIND(hh, ruleset->bearers, key_hash, DW_KEY_HASH_BYTES, bearer);
	return bearer ? bearer->organisation : NULL;
}

const struct dw_organisation *dw_ruleset_organisation(const struct dw_ruleset *ruleset,
						      const char *name)
{
	const struct dw_ruleset_entry *entry =
		dw_ruleset_find_live(ruleset, "organisation", name, NULL);

	return entry ? &entry->organisation : NULL;
}

const struct dw_model *dw_ruleset_model(const struct dw_ruleset *ruleset, const char *name)
{
	const struct dw_ruleset_entry *entry = dw_ruleset_find_live(ruleset, "model", name, NULL);

	return entry ? &entry->model : NULL;
}

const struct dw_version *dw_ruleset_version(const struct dw_ruleset *ruleset, const char *model,
					    const char *name)
{
	const struct dw_ruleset_entry *entry =
		dw_ruleset_find_live(ruleset, "version", model, name);

	return entry ? &entry->version : NULL;
}

const struct dw_upstream *dw_ruleset_upstream(const struct dw_ruleset *ruleset, const char *name)
{
	const struct dw_ruleset_entry *entry =
		dw_ruleset_find_live(ruleset, "upstream", name, NULL);

	return entry ? &entry->upstream : NULL;
}

const struct dw_service *dw_ruleset_service(const struct dw_ruleset *ruleset, const char *name)
{
	const struct dw_ruleset_entry *entry = dw_ruleset_find_live(ruleset, "service", name, NULL);

	return entry ? &entry->service : NULL;
}

const struct dw_failure_domain *dw_ruleset_failure_domain(const struct dw_ruleset *ruleset,
							  const char *name)
{
	const struct dw_ruleset_entry *entry =
		dw_ruleset_find_live(ruleset, "failure_domain", name, NULL);

	return entry ? &entry->failure_domain : NULL;
}

void dw_ruleset_visit_upstreams(const struct dw_ruleset *ruleset,
				void (*visit)(const struct dw_upstream *upstream, void *data),
				void *data)
{
	const struct dw_ruleset_entry *entry;

	for (entry = ruleset->entries; entry; entry = entry->hh.next)
		if (!entry->deleted && entry->kind == DW_ENTITY_UPSTREAM)
			visit(&entry->upstream, data);
}

bool dw_upstream_is_usable(const struct dw_upstream *upstream, bool listed_leaving)
{
	if (listed_leaving || !upstream->in_service)
		return false;
	return !upstream->failure_domain || upstream->failure_domain->in_service;
}

bool dw_ruleset_upstream_is_usable(const struct dw_ruleset *ruleset, const char *upstream,
				   bool listed_leaving)
{
	const struct dw_upstream *found = dw_ruleset_upstream(ruleset, upstream);

	return found && dw_upstream_is_usable(found, listed_leaving);
}
