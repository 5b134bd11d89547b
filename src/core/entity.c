#include <dragonflywharf/entity.h>

#include <stdio.h>
#include <string.h>

#define PORT_MAX 65535
#define IPV4_PARTS 4
#define IPV4_PART_MAX 255
#define IPV4_PART_DIGITS 3

struct entity_rule {
	const char *prefix;
	enum dw_status (*check)(const Dragonflywharf__Entity *entity);
	const char *(*name)(const Dragonflywharf__Entity *entity);
};

static bool is_name_char(char c)
{
	return (c >= 'a' && c <= 'z') || (c >= '0' && c <= '9') || c == '.' || c == '_' || c == '-';
}

static bool is_name(const char *name, size_t len)
{
	size_t i;

	if (len == 0 || len > DW_NAME_MAX_BYTES)
		return false;
	for (i = 0; i < len; i++)
		if (!is_name_char(name[i]))
			return false;
	return true;
}

bool dw_name_valid(const char *name)
{
	return name && is_name(name, strlen(name));
}

/* Checks for the form "MODEL/NAME". */
static bool version_reference_valid(const char *text)
{
	const char *slash = text ? strchr(text, '/') : NULL;

	return slash && is_name(text, (size_t)(slash - text)) && dw_name_valid(slash + 1);
}

/* Returns the end of the number at @p cursor; NULL if it isn't 0 to 255 or has a leading zero. */
static const char *skip_ipv4_part(const char *cursor)
{
	uint32_t value = 0;
	int digits = 0;

	if (cursor[0] == '0' && cursor[1] >= '0' && cursor[1] <= '9')
		return NULL;
	for (; *cursor >= '0' && *cursor <= '9' && digits < IPV4_PART_DIGITS; cursor++, digits++)
		value = value * 10 + (uint32_t)(*cursor - '0');
	return digits > 0 && value <= IPV4_PART_MAX ? cursor : NULL;
}

bool dw_ipv4_valid(const char *ip)
{
	int part;

	for (part = 0; ip && part < IPV4_PARTS; part++) {
		if (part > 0 && *ip++ != '.')
			return false;
		ip = skip_ipv4_part(ip);
	}
	return ip && *ip == '\0';
}

static bool has_duplicates(char *const *strings, size_t count)
{
	size_t i, j;

	for (i = 1; i < count; i++)
		for (j = 0; j < i; j++)
			if (strcmp(strings[i], strings[j]) == 0)
				return true;
	return false;
}

static bool path_valid(const char *path)
{
	size_t len = path ? strlen(path) : 0;
	size_t i;

	if (len == 0 || len > DW_PATH_MAX_BYTES || path[0] != '/')
		return false;
	for (i = 0; i < len; i++)
		if ((unsigned char)path[i] <= ' ' || path[i] == 0x7f)
			return false;
	return true;
}

static enum dw_status check_key_hashes(const Dragonflywharf__Organisation *organisation)
{
	size_t i;

	if (organisation->n_key_hashes > DW_KEY_HASHES_MAX)
		return dw_fail(DW_TOO_LARGE, "key_hashes: has %zu, more than %d",
			       organisation->n_key_hashes, DW_KEY_HASHES_MAX);
	for (i = 0; i < organisation->n_key_hashes; i++)
		if (organisation->key_hashes[i].len != DW_KEY_HASH_BYTES)
			return dw_fail(DW_INVALID_ARGUMENT,
				       "key_hashes[%zu]: must have %d bytes, has %zu", i,
				       DW_KEY_HASH_BYTES, organisation->key_hashes[i].len);
	return DW_OK;
}

static enum dw_status check_organisation(const Dragonflywharf__Entity *entity)
{
	const Dragonflywharf__Organisation *organisation = entity->organisation;
	size_t i;

	if (organisation->n_allowed > DW_ALLOWED_ENTRIES_MAX ||
	    organisation->n_allowed_services > DW_ALLOWED_ENTRIES_MAX)
		return dw_fail(
			DW_TOO_LARGE,
			"allowed has %zu entries, allowed_services %zu: must be at most %d each",
			organisation->n_allowed, organisation->n_allowed_services,
			DW_ALLOWED_ENTRIES_MAX);
	for (i = 0; i < organisation->n_allowed; i++) {
		const char *allowed = organisation->allowed[i];

		if (strcmp(allowed, "*") != 0 && !dw_name_valid(allowed) &&
		    !version_reference_valid(allowed))
			return dw_fail(DW_INVALID_ARGUMENT,
				       "allowed[%zu]: must be *, MODEL or MODEL/VERSION", i);
	}
	for (i = 0; i < organisation->n_allowed_services; i++)
		if (strcmp(organisation->allowed_services[i], "*") != 0 &&
		    !dw_name_valid(organisation->allowed_services[i]))
			return dw_fail(DW_INVALID_ARGUMENT,
				       "allowed_services[%zu]: must be * or the name of a service",
				       i);
	if (organisation->weight > DW_WEIGHT_MAX)
		return dw_fail(DW_INVALID_ARGUMENT, "weight: must be 0 to %d, is %u", DW_WEIGHT_MAX,
			       organisation->weight);
	return check_key_hashes(organisation);
}

static enum dw_status check_model(const Dragonflywharf__Entity *entity)
{
	const Dragonflywharf__Model *model = entity->model;
	size_t i;

	if (model->n_cascade > DW_CASCADE_MODELS_MAX)
		return dw_fail(DW_TOO_LARGE, "cascade: has %zu models, more than %d",
			       model->n_cascade, DW_CASCADE_MODELS_MAX);
	for (i = 0; i < model->n_cascade; i++)
		if (!dw_name_valid(model->cascade[i]) ||
		    strcmp(model->cascade[i], model->name) == 0)
			return dw_fail(DW_INVALID_ARGUMENT,
				       "cascade[%zu]: must be the name of another model", i);
	if (has_duplicates(model->cascade, model->n_cascade))
		return dw_fail(DW_INVALID_ARGUMENT, "cascade: a model is listed twice");
	if (model->quality_target_permille > DW_PERMILLE)
		return dw_fail(DW_INVALID_ARGUMENT,
			       "quality_target_permille: must be 0 to %d, is %u", DW_PERMILLE,
			       model->quality_target_permille);
	return DW_OK;
}

static enum dw_status check_version(const Dragonflywharf__Entity *entity)
{
	const Dragonflywharf__Version *version = entity->version;

	if (!dw_name_valid(version->model))
		return dw_fail(DW_INVALID_ARGUMENT, "model: not a valid name");
	if (version->state != DRAGONFLYWHARF__VERSION_STATE__VERSION_LIVE &&
	    version->state != DRAGONFLYWHARF__VERSION_STATE__VERSION_WITHDRAWN)
		return dw_fail(DW_INVALID_ARGUMENT, "state: unknown value %d", (int)version->state);
	if (version->rollout_weight > DW_WEIGHT_MAX)
		return dw_fail(DW_INVALID_ARGUMENT, "rollout_weight: must be 0 to %d, is %u",
			       DW_WEIGHT_MAX, version->rollout_weight);
	return DW_OK;
}

static enum dw_status check_limits(const Dragonflywharf__Upstream *upstream)
{
	bool is_engine = upstream->kind == DRAGONFLYWHARF__UPSTREAM_KIND__UPSTREAM_MODEL_ENGINE;

	if (upstream->limit < 1 || upstream->limit > DW_UPSTREAM_LIMIT_MAX)
		return dw_fail(DW_INVALID_ARGUMENT, "limit: must be 1 to %d, is %u",
			       DW_UPSTREAM_LIMIT_MAX, upstream->limit);
	if (upstream->cold_limit > upstream->limit)
		return dw_fail(DW_INVALID_ARGUMENT, "cold_limit: must be at most limit (%u), is %u",
			       upstream->limit, upstream->cold_limit);
	if (is_engine && upstream->cold_limit < 1)
		return dw_fail(DW_INVALID_ARGUMENT,
			       "cold_limit: must be at least 1 for a model engine, is 0");
	if (upstream->cold_period_ms > DW_COLD_PERIOD_MAX_MS)
		return dw_fail(DW_INVALID_ARGUMENT, "cold_period_ms: must be 0 to %d, is %u",
			       DW_COLD_PERIOD_MAX_MS, upstream->cold_period_ms);
	return DW_OK;
}

static enum dw_status check_engine(const Dragonflywharf__Upstream *upstream)
{
	size_t i;

	if (upstream->n_serves > DW_SERVED_VERSIONS_MAX)
		return dw_fail(DW_TOO_LARGE, "serves: has %zu versions, more than %d",
			       upstream->n_serves, DW_SERVED_VERSIONS_MAX);
	for (i = 0; i < upstream->n_serves; i++)
		if (!version_reference_valid(upstream->serves[i]))
			return dw_fail(DW_INVALID_ARGUMENT, "serves[%zu]: must be MODEL/VERSION",
				       i);
	if (has_duplicates(upstream->serves, upstream->n_serves))
		return dw_fail(DW_INVALID_ARGUMENT, "serves: a version is listed twice");
	if (upstream->service[0] != '\0')
		return dw_fail(DW_INVALID_ARGUMENT, "service: must be empty for a model engine");
	return DW_OK;
}

static enum dw_status check_upstream(const Dragonflywharf__Entity *entity)
{
	const Dragonflywharf__Upstream *upstream = entity->upstream;
	enum dw_status status;

	if (!dw_ipv4_valid(upstream->ip))
		return dw_fail(DW_INVALID_ARGUMENT, "ip: not an IPv4 address in dotted decimal");
	if (upstream->port < 1 || upstream->port > PORT_MAX)
		return dw_fail(DW_INVALID_ARGUMENT, "port: must be 1 to %d, is %u", PORT_MAX,
			       upstream->port);
	if (!dw_name_valid(upstream->failure_domain))
		return dw_fail(DW_INVALID_ARGUMENT, "failure_domain: not a valid name");
	if (upstream->state != DRAGONFLYWHARF__UPSTREAM_STATE__UPSTREAM_IN_SERVICE &&
	    upstream->state != DRAGONFLYWHARF__UPSTREAM_STATE__UPSTREAM_LEAVING)
		return dw_fail(DW_INVALID_ARGUMENT, "state: unknown value %d",
			       (int)upstream->state);
	status = check_limits(upstream);
	if (status)
		return status;
	switch (upstream->kind) {
	case DRAGONFLYWHARF__UPSTREAM_KIND__UPSTREAM_MODEL_ENGINE:
		return check_engine(upstream);
	case DRAGONFLYWHARF__UPSTREAM_KIND__UPSTREAM_SERVICE:
		if (upstream->n_serves > 0)
			return dw_fail(
				DW_INVALID_ARGUMENT,
				"serves: must be empty for a plain service, has %zu versions",
				upstream->n_serves);
		if (!dw_name_valid(upstream->service))
			return dw_fail(DW_INVALID_ARGUMENT, "service: not a valid name");
		return DW_OK;
	default:
		return dw_fail(DW_INVALID_ARGUMENT, "kind: unknown value %d", (int)upstream->kind);
	}
}

static enum dw_status check_service(const Dragonflywharf__Entity *entity)
{
	const Dragonflywharf__Service *service = entity->service;
	size_t i;

	if (service->n_idempotent_paths > DW_IDEMPOTENT_PATHS_MAX)
		return dw_fail(DW_TOO_LARGE, "idempotent_paths: has %zu, more than %d",
			       service->n_idempotent_paths, DW_IDEMPOTENT_PATHS_MAX);
	for (i = 0; i < service->n_idempotent_paths; i++)
		if (!path_valid(service->idempotent_paths[i]))
			return dw_fail(DW_INVALID_ARGUMENT,
				       "idempotent_paths[%zu]: not a valid path, must start with a "
				       "slash and have at most %d bytes, none of them a space or "
				       "control character",
				       i, DW_PATH_MAX_BYTES);
	return DW_OK;
}

static enum dw_status check_failure_domain(const Dragonflywharf__Entity *entity)
{
	Dragonflywharf__DomainState state = entity->failure_domain->state;

	if (state != DRAGONFLYWHARF__DOMAIN_STATE__DOMAIN_IN_SERVICE &&
	    state != DRAGONFLYWHARF__DOMAIN_STATE__DOMAIN_DRAINED)
		return dw_fail(DW_INVALID_ARGUMENT, "state: unknown value %d", (int)state);
	return DW_OK;
}

static const char *organisation_name(const Dragonflywharf__Entity *entity)
{
	return entity->organisation->name;
}

static const char *model_name(const Dragonflywharf__Entity *entity)
{
	return entity->model->name;
}

static const char *version_name(const Dragonflywharf__Entity *entity)
{
	return entity->version->name;
}

static const char *upstream_name(const Dragonflywharf__Entity *entity)
{
	return entity->upstream->name;
}

static const char *service_name(const Dragonflywharf__Entity *entity)
{
	return entity->service->name;
}

static const char *failure_domain_name(const Dragonflywharf__Entity *entity)
{
	return entity->failure_domain->name;
}

static const struct entity_rule rules[DW_ENTITY_KIND_COUNT] = {
	[DW_ENTITY_ORGANISATION] = { "organisation", check_organisation, organisation_name },
	[DW_ENTITY_MODEL] = { "model", check_model, model_name },
	[DW_ENTITY_VERSION] = { "version", check_version, version_name },
	[DW_ENTITY_UPSTREAM] = { "upstream", check_upstream, upstream_name },
	[DW_ENTITY_SERVICE] = { "service", check_service, service_name },
	[DW_ENTITY_FAILURE_DOMAIN] = { "failure_domain", check_failure_domain,
				       failure_domain_name },
};

enum dw_status dw_entity_kind(const Dragonflywharf__Entity *entity, enum dw_entity_kind *kind)
{
	switch (entity->kind_case) {
	case DRAGONFLYWHARF__ENTITY__KIND_ORGANISATION:
		*kind = DW_ENTITY_ORGANISATION;
		return DW_OK;
	case DRAGONFLYWHARF__ENTITY__KIND_MODEL:
		*kind = DW_ENTITY_MODEL;
		return DW_OK;
	case DRAGONFLYWHARF__ENTITY__KIND_VERSION:
		*kind = DW_ENTITY_VERSION;
		return DW_OK;
	case DRAGONFLYWHARF__ENTITY__KIND_UPSTREAM:
		*kind = DW_ENTITY_UPSTREAM;
		return DW_OK;
	case DRAGONFLYWHARF__ENTITY__KIND_SERVICE:
		*kind = DW_ENTITY_SERVICE;
		return DW_OK;
	case DRAGONFLYWHARF__ENTITY__KIND_FAILURE_DOMAIN:
		*kind = DW_ENTITY_FAILURE_DOMAIN;
		return DW_OK;
	default:
		return dw_fail(DW_INVALID_ARGUMENT, "entity: the kind is not set or unknown");
	}
}

enum dw_status dw_entity_check(const Dragonflywharf__Entity *entity)
{
	enum dw_entity_kind kind = DW_ENTITY_ORGANISATION;
	enum dw_status status = dw_entity_kind(entity, &kind);

	if (status)
		return status;
	if (!dw_name_valid(rules[kind].name(entity)))
		return dw_fail(DW_INVALID_ARGUMENT,
			       "name: must be 1 to %d characters of [a-z0-9._-]",
			       DW_NAME_MAX_BYTES);
	if (strlen(entity->change_id) > DW_CHANGE_ID_MAX_BYTES)
		return dw_fail(DW_TOO_LARGE, "change_id: has %zu bytes, more than %d",
			       strlen(entity->change_id), DW_CHANGE_ID_MAX_BYTES);
	status = rules[kind].check(entity);
	if (status)
		return status;
	if (dragonflywharf__entity__get_packed_size(entity) > DW_ENTITY_MAX_BYTES)
		return dw_fail(DW_TOO_LARGE, "entity: packed size is %zu bytes, more than %d",
			       dragonflywharf__entity__get_packed_size(entity),
			       DW_ENTITY_MAX_BYTES);
	return DW_OK;
}

enum dw_status dw_entity_key(const Dragonflywharf__Entity *entity, char out[DW_ENTITY_KEY_BYTES])
{
	enum dw_entity_kind kind = DW_ENTITY_ORGANISATION;
	enum dw_status status = dw_entity_kind(entity, &kind);
	const char *name;

	out[0] = '\0';
	if (status)
		return status;
	name = rules[kind].name(entity);
	if (!dw_name_valid(name))
		return dw_fail(DW_INVALID_ARGUMENT, "name: not a valid name");
	if (kind != DW_ENTITY_VERSION) {
		snprintf(out, DW_ENTITY_KEY_BYTES, "%s/%s", rules[kind].prefix, name);
		return DW_OK;
	}
	if (!dw_name_valid(entity->version->model))
		return dw_fail(DW_INVALID_ARGUMENT, "model: not a valid name");
	snprintf(out, DW_ENTITY_KEY_BYTES, "%s/%s/%s", rules[kind].prefix, entity->version->model,
		 name);
	return DW_OK;
}
