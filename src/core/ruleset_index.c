#include "core/ruleset_state.h"

#include <stdlib.h>
#include <string.h>

typedef void (*link_visit)(struct dw_ruleset *ruleset, struct dw_ruleset_entry *owner,
			   struct dw_ruleset_entry *child);

static void drop_bearers(struct dw_ruleset *ruleset)
{
	struct dw_ruleset_credential *bearer = ruleset->bearers, *next;

	HASH_CLEAR(hh, ruleset->bearers);
	for (; bearer; bearer = next) {
		next = bearer->hh.next;
		free(bearer);
	}
}

static enum dw_status add_bearer(struct dw_ruleset *ruleset, const uint8_t *key_hash,
				 const struct dw_organisation *organisation)
{
	struct dw_ruleset_credential *bearer;

	HASH_FIND(hh, ruleset->bearers, key_hash, DW_KEY_HASH_BYTES, bearer);
	if (bearer) {
		if (bearer->organisation != organisation)
			bearer->organisation = NULL;
		return DW_OK;
	}
	bearer = calloc(1, sizeof(*bearer));
	if (!bearer)
		return dw_fail(DW_NO_MEMORY, "no memory for a key hash");
	memcpy(bearer->key_hash, key_hash, DW_KEY_HASH_BYTES);
	bearer->organisation = organisation;
	HASH_ADD(hh, ruleset->bearers, key_hash, DW_KEY_HASH_BYTES, bearer);
	return DW_OK;
}

static enum dw_status rebuild_bearers(struct dw_ruleset *ruleset)
{
	struct dw_ruleset_entry *entry;

	drop_bearers(ruleset);
	for (entry = ruleset->entries; entry; entry = entry->hh.next) {
		size_t i;

		if (entry->deleted || entry->kind != DW_ENTITY_ORGANISATION)
			continue;
		for (i = 0; i < entry->entity->organisation->n_key_hashes; i++) {
			enum dw_status status =
				add_bearer(ruleset, entry->entity->organisation->key_hashes[i].data,
					   &entry->organisation);

			if (status)
				return status;
		}
	}
	return DW_OK;
}

static void clear_links(struct dw_ruleset *ruleset)
{
	struct dw_ruleset_entry *entry;

	free(ruleset->version_links);
	free(ruleset->upstream_links);
	ruleset->version_links = NULL;
	ruleset->upstream_links = NULL;
	for (entry = ruleset->entries; entry; entry = entry->hh.next) {
		entry->link_count = 0;
		if (entry->deleted)
			continue;
		if (entry->kind == DW_ENTITY_MODEL)
			entry->model.version_count = 0;
		else if (entry->kind == DW_ENTITY_VERSION)
			entry->version.upstream_count = 0;
		else if (entry->kind == DW_ENTITY_SERVICE)
			entry->service.upstream_count = 0;
	}
}

static struct dw_ruleset_entry *served_version(const struct dw_ruleset *ruleset,
					       const char *reference)
{
	char key[DW_ENTITY_KEY_BYTES];
	struct dw_ruleset_entry *entry;
	char *end = stpcpy(stpcpy(key, "version/"), reference);

	entry = dw_ruleset_find(ruleset, key, (size_t)(end - key));
	return entry && !entry->deleted ? entry : NULL;
}

static void visit_upstream(struct dw_ruleset *ruleset, struct dw_ruleset_entry *child,
			   link_visit visit)
{
	const struct dw_upstream *upstream = &child->upstream;
	struct dw_ruleset_entry *owner;
	size_t i;

	if (upstream->is_service) {
		owner = dw_ruleset_find_live(ruleset, "service", upstream->service, NULL);
		if (owner)
			visit(ruleset, owner, child);
		return;
	}
	for (i = 0; i < upstream->serves_count; i++) {
		owner = served_version(ruleset, upstream->serves[i]);
		if (owner)
			visit(ruleset, owner, child);
	}
}

static void visit_links(struct dw_ruleset *ruleset, link_visit visit)
{
	struct dw_ruleset_entry *child, *owner;

	for (child = ruleset->entries; child; child = child->hh.next) {
		if (child->deleted)
			continue;
		if (child->kind == DW_ENTITY_UPSTREAM) {
			visit_upstream(ruleset, child, visit);
		} else if (child->kind == DW_ENTITY_VERSION) {
			owner = dw_ruleset_find_live(ruleset, "model", child->version.model, NULL);
			if (owner)
				visit(ruleset, owner, child);
		}
	}
}

static void count_link(struct dw_ruleset *ruleset, struct dw_ruleset_entry *owner,
		       struct dw_ruleset_entry *child)
{
	(void)ruleset;
	(void)child;
	owner->link_count++;
}

/* Gives each owner its slice; link_count becomes the place where the slice begins. */
static enum dw_status place_slices(struct dw_ruleset *ruleset)
{
	size_t versions = 0, upstreams = 0;
	struct dw_ruleset_entry *entry;

	for (entry = ruleset->entries; entry; entry = entry->hh.next) {
		size_t *total = entry->kind == DW_ENTITY_MODEL ? &versions : &upstreams;
		size_t count = entry->link_count;

		entry->link_count = *total;
		*total += count;
	}
	ruleset->version_links = calloc(versions + 1, sizeof(const struct dw_version *));
	ruleset->upstream_links = calloc(upstreams + 1, sizeof(const struct dw_upstream *));
	if (!ruleset->version_links || !ruleset->upstream_links)
		return dw_fail(DW_NO_MEMORY, "no memory for the index of upstreams");
	return DW_OK;
}

static void fill_link(struct dw_ruleset *ruleset, struct dw_ruleset_entry *owner,
		      struct dw_ruleset_entry *child)
{
	const struct dw_upstream **upstreams = ruleset->upstream_links + owner->link_count;
	const struct dw_version **versions;

	switch (owner->kind) {
	case DW_ENTITY_MODEL:
		versions = ruleset->version_links + owner->link_count;
		versions[owner->model.version_count++] = &child->version;
		owner->model.versions = versions;
		break;
	case DW_ENTITY_VERSION:
		upstreams[owner->version.upstream_count++] = &child->upstream;
		owner->version.upstreams = upstreams;
		break;
	case DW_ENTITY_SERVICE:
		upstreams[owner->service.upstream_count++] = &child->upstream;
		owner->service.upstreams = upstreams;
		break;
	default:
		break;
	}
}

static void link_failure_domains(struct dw_ruleset *ruleset)
{
	struct dw_ruleset_entry *entry, *domain;

	for (entry = ruleset->entries; entry; entry = entry->hh.next) {
		if (entry->deleted || entry->kind != DW_ENTITY_UPSTREAM)
			continue;
		domain = dw_ruleset_find_live(ruleset, "failure_domain",
					      entry->upstream.failure_domain_name, NULL);
		entry->upstream.failure_domain = domain ? &domain->failure_domain : NULL;
	}
}

static enum dw_status rebuild_links(struct dw_ruleset *ruleset)
{
	enum dw_status status;

	clear_links(ruleset);
	visit_links(ruleset, count_link);
	status = place_slices(ruleset);
	if (status) {
		clear_links(ruleset);
		return status;
	}
	visit_links(ruleset, fill_link);
	link_failure_domains(ruleset);
	return DW_OK;
}

enum dw_status dw_ruleset_reindex(struct dw_ruleset *ruleset)
{
	enum dw_status bearers = DW_OK, links = DW_OK;

	if (ruleset->bearers_dirty)
		bearers = rebuild_bearers(ruleset);
	ruleset->bearers_dirty = bearers != DW_OK;
	if (ruleset->links_dirty)
		links = rebuild_links(ruleset);
	ruleset->links_dirty = links != DW_OK;
	return bearers ? bearers : links;
}

void dw_ruleset_free_index(struct dw_ruleset *ruleset)
{
	drop_bearers(ruleset);
	clear_links(ruleset);
}
