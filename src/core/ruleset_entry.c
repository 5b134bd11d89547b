#include "core/ruleset_entry.h"

#include <stdlib.h>
#include <string.h>

static int compare_strings(const void *a, const void *b)
{
	const char *const *left = a;
	const char *const *right = b;

	return strcmp(*left, *right);
}

static const char *const *sort_strings(char **strings, size_t count)
{
	if (count > 1)
		qsort(strings, count, sizeof(*strings), compare_strings);
	return (const char *const *)strings;
}

static void fill_organisation(struct dw_ruleset_entry *entry)
{
	Dragonflywharf__Organisation *from = entry->entity->organisation;

	entry->organisation = (struct dw_organisation){
		.name = from->name,
		.allowed = sort_strings(from->allowed, from->n_allowed),
		.allowed_count = from->n_allowed,
		.allowed_services = sort_strings(from->allowed_services, from->n_allowed_services),
		.allowed_service_count = from->n_allowed_services,
		.max_in_flight = from->max_in_flight,
		.weight = from->weight > 0 ? from->weight : 1,
		.revision = entry->mod_revision,
	};
}

static void fill_model(struct dw_ruleset_entry *entry)
{
	Dragonflywharf__Model *from = entry->entity->model;

	entry->model = (struct dw_model){
		.name = from->name,
		.cascade = (const char *const *)from->cascade,
		.cascade_count = from->n_cascade,
		.quality_target_permille = from->quality_target_permille,
		.revision = entry->mod_revision,
	};
}

static void fill_version(struct dw_ruleset_entry *entry)
{
	Dragonflywharf__Version *from = entry->entity->version;

	entry->version = (struct dw_version){
		.model = from->model,
		.name = from->name,
		.live = from->state == DRAGONFLYWHARF__VERSION_STATE__VERSION_LIVE,
		.rollout_weight = from->rollout_weight,
		.cost_micros_per_1k_tokens = from->cost_micros_per_1k_tokens,
		.release_order = from->release_order,
		.revision = entry->mod_revision,
	};
}

static void fill_upstream(struct dw_ruleset_entry *entry)
{
	Dragonflywharf__Upstream *from = entry->entity->upstream;

	entry->upstream = (struct dw_upstream){
		.name = from->name,
		.is_service = from->kind == DRAGONFLYWHARF__UPSTREAM_KIND__UPSTREAM_SERVICE,
		.ip = from->ip,
		.port = (uint16_t)from->port,
		.failure_domain_name = from->failure_domain,
		.serves = (const char *const *)from->serves,
		.serves_count = from->n_serves,
		.service = from->service,
		.limit = from->limit,
		.cold_limit = from->cold_limit,
		.cold_period_ms = from->cold_period_ms,
		.in_service = from->state == DRAGONFLYWHARF__UPSTREAM_STATE__UPSTREAM_IN_SERVICE,
		.checks_fencing = from->checks_fencing,
		.revision = entry->mod_revision,
	};
}

static void fill_service(struct dw_ruleset_entry *entry)
{
	Dragonflywharf__Service *from = entry->entity->service;

	entry->service = (struct dw_service){
		.name = from->name,
		.idempotent_paths = sort_strings(from->idempotent_paths, from->n_idempotent_paths),
		.idempotent_path_count = from->n_idempotent_paths,
		.revision = entry->mod_revision,
	};
}

static void fill_failure_domain(struct dw_ruleset_entry *entry)
{
	Dragonflywharf__FailureDomain *from = entry->entity->failure_domain;

	entry->failure_domain = (struct dw_failure_domain){
		.name = from->name,
		.in_service = from->state == DRAGONFLYWHARF__DOMAIN_STATE__DOMAIN_IN_SERVICE,
		.revision = entry->mod_revision,
	};
}

/* By kind: fills the struct that the request path reads, from the unpacked entity. */
static void (*const fill_view[DW_ENTITY_KIND_COUNT])(struct dw_ruleset_entry *entry) = {
	[DW_ENTITY_ORGANISATION] = fill_organisation,
	[DW_ENTITY_MODEL] = fill_model,
	[DW_ENTITY_VERSION] = fill_version,
	[DW_ENTITY_UPSTREAM] = fill_upstream,
	[DW_ENTITY_SERVICE] = fill_service,
	[DW_ENTITY_FAILURE_DOMAIN] = fill_failure_domain,
};

static enum dw_status check_key(const Dragonflywharf__Entity *entity, const char *key)
{
	char expected[DW_ENTITY_KEY_BYTES];
	enum dw_status status = dw_entity_key(entity, expected);

	if (!status && strcmp(expected, key) != 0)
		return dw_fail(DW_INVALID_ARGUMENT, "value belongs to the key %s", expected);
	return status;
}

static enum dw_status copy_value(struct dw_ruleset_entry *entry, const struct dw_ruleset_item *item)
{
	entry->bytes = malloc(item->len + 1);
	if (!entry->bytes)
		return dw_fail(DW_NO_MEMORY, "no memory for the value of a key");
	if (item->len > 0)
		memcpy(entry->bytes, item->bytes, item->len);
	entry->len = item->len;
	return DW_OK;
}

static enum dw_status unpack(struct dw_ruleset_entry *entry, const struct dw_ruleset_item *item)
{
	enum dw_status status;

	if (item->len > DW_ENTITY_MAX_BYTES)
		return dw_fail(DW_TOO_LARGE, "value has %zu bytes, more than %d", item->len,
			       DW_ENTITY_MAX_BYTES);
	entry->entity = dragonflywharf__entity__unpack(NULL, item->len, item->bytes);
	if (!entry->entity)
		return dw_fail(DW_INVALID_ARGUMENT, "value is not a packed entity");
	status = dw_entity_check(entry->entity);
	if (!status)
		status = check_key(entry->entity, item->key);
	if (!status)
		status = dw_entity_kind(entry->entity, &entry->kind);
	if (!status)
		status = copy_value(entry, item);
	if (status)
		return status;
	fill_view[entry->kind](entry);
	return DW_OK;
}

static struct dw_ruleset_entry *allocate_entry(const struct dw_ruleset_item *item)
{
	struct dw_ruleset_entry *entry = calloc(1, sizeof(*entry));

	if (entry)
		entry->key = strdup(item->key);
	if (!entry || !entry->key) {
		free(entry);
		return NULL;
	}
	entry->mod_revision = item->mod_revision;
	return entry;
}

/* An organisation with a name only; NULL if out of memory. */
static Dragonflywharf__Entity *new_organisation(const char *name)
{
	Dragonflywharf__Organisation organisation = DRAGONFLYWHARF__ORGANISATION__INIT;
	Dragonflywharf__Entity entity = DRAGONFLYWHARF__ENTITY__INIT;
	Dragonflywharf__Entity *copy = NULL;
	uint8_t *packed;
	size_t len;

	organisation.name = (char *)name;
	entity.kind_case = DRAGONFLYWHARF__ENTITY__KIND_ORGANISATION;
	entity.organisation = &organisation;
	len = dragonflywharf__entity__get_packed_size(&entity);
	packed = malloc(len + 1);
	if (packed) {
		dragonflywharf__entity__pack(&entity, packed);
		copy = dragonflywharf__entity__unpack(NULL, len, packed);
	}
	free(packed);
	return copy;
}

enum dw_status dw_ruleset_entry_new_closed(struct dw_ruleset_entry **out,
					   const struct dw_ruleset_item *item, const char *name)
{
	struct dw_ruleset_entry *entry = allocate_entry(item);

	*out = NULL;
	if (!entry)
		return dw_fail(DW_NO_MEMORY, "no memory for a key");
	entry->kind = DW_ENTITY_ORGANISATION;
	entry->entity = new_organisation(name);
	if (!entry->entity || copy_value(entry, item) != DW_OK) {
		dw_ruleset_entry_free(entry);
		return dw_fail(DW_NO_MEMORY, "no memory for an organisation");
	}
	fill_organisation(entry);
	*out = entry;
	return DW_OK;
}

enum dw_status dw_ruleset_entry_new(struct dw_ruleset_entry **out,
				    const struct dw_ruleset_item *item)
{
	struct dw_ruleset_entry *entry = allocate_entry(item);
	enum dw_status status = DW_OK;

	*out = NULL;
	if (!entry)
		return dw_fail(DW_NO_MEMORY, "no memory for a key");
	entry->deleted = item->deleted;
	if (!item->deleted)
		status = unpack(entry, item);
	if (status) {
		dw_ruleset_entry_free(entry);
		return status;
	}
	*out = entry;
	return DW_OK;
}

static void free_value(struct dw_ruleset_entry *entry)
{
	if (entry->entity)
		dragonflywharf__entity__free_unpacked(entry->entity, NULL);
	free(entry->bytes);
	entry->entity = NULL;
	entry->bytes = NULL;
	entry->len = 0;
}

static bool same_strings(const char *const *a, const char *const *b, size_t count)
{
	size_t i;

	for (i = 0; i < count; i++)
		if (strcmp(a[i], b[i]) != 0)
			return false;
	return true;
}

static bool same_upstream_links(const struct dw_upstream *a, const struct dw_upstream *b)
{
	return a->is_service == b->is_service && strcmp(a->service, b->service) == 0 &&
	       strcmp(a->failure_domain_name, b->failure_domain_name) == 0 &&
	       a->serves_count == b->serves_count &&
	       same_strings(a->serves, b->serves, a->serves_count);
}

static bool same_key_hashes(const Dragonflywharf__Organisation *a,
			    const Dragonflywharf__Organisation *b)
{
	size_t i;

	if (a->n_key_hashes != b->n_key_hashes)
		return false;
	for (i = 0; i < a->n_key_hashes; i++)
		if (memcmp(a->key_hashes[i].data, b->key_hashes[i].data, DW_KEY_HASH_BYTES) != 0)
			return false;
	return true;
}

bool dw_ruleset_entry_has_same_index(const struct dw_ruleset_entry *entry,
				     const struct dw_ruleset_entry *new_entry)
{
	switch (entry->kind) {
	case DW_ENTITY_ORGANISATION:
		return same_key_hashes(entry->entity->organisation,
				       new_entry->entity->organisation);
	case DW_ENTITY_UPSTREAM:
		return same_upstream_links(&entry->upstream, &new_entry->upstream);
	default:
		return true;
	}
}

/* Keeps the links that dw_ruleset_reindex() set. It sets them again if they have to change. */
static void keep_links(struct dw_ruleset_entry *entry, const struct dw_ruleset_entry *before)
{
	switch (entry->kind) {
	case DW_ENTITY_MODEL:
		entry->model.versions = before->model.versions;
		entry->model.version_count = before->model.version_count;
		break;
	case DW_ENTITY_VERSION:
		entry->version.upstreams = before->version.upstreams;
		entry->version.upstream_count = before->version.upstream_count;
		break;
	case DW_ENTITY_UPSTREAM:
		entry->upstream.failure_domain = before->upstream.failure_domain;
		break;
	case DW_ENTITY_SERVICE:
		entry->service.upstreams = before->service.upstreams;
		entry->service.upstream_count = before->service.upstream_count;
		break;
	default:
		break;
	}
}

void dw_ruleset_entry_replace(struct dw_ruleset_entry *entry, struct dw_ruleset_entry *new_entry)
{
	const struct dw_ruleset_entry before = *entry;

	free_value(entry);
	entry->mod_revision = new_entry->mod_revision;
	entry->deleted = new_entry->deleted;
	entry->bytes = new_entry->bytes;
	entry->len = new_entry->len;
	entry->entity = new_entry->entity;
	entry->kind = new_entry->kind;
	if (!entry->deleted)
		fill_view[entry->kind](entry);
	if (!entry->deleted && !before.deleted)
		keep_links(entry, &before);
	new_entry->bytes = NULL;
	new_entry->entity = NULL;
	dw_ruleset_entry_free(new_entry);
}

void dw_ruleset_entry_delete(struct dw_ruleset_entry *entry, uint64_t mod_revision)
{
	free_value(entry);
	entry->deleted = true;
	entry->mod_revision = mod_revision;
}

void dw_ruleset_entry_free(struct dw_ruleset_entry *entry)
{
	free_value(entry);
	free(entry->key);
	free(entry);
}

struct dw_ruleset_item dw_ruleset_entry_item(const struct dw_ruleset_entry *entry)
{
	return (struct dw_ruleset_item){
		.key = entry->key,
		.mod_revision = entry->mod_revision,
		.deleted = entry->deleted,
		.bytes = entry->bytes,
		.len = entry->len,
	};
}
