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

static bool name_char(char c)
{
	return (c >= 'a' && c <= 'z') || (c >= '0' && c <= '9') || c == '.' || c == '_' || c == '-';
}

static bool name_span_valid(const char *name, size_t len)
{
	size_t i;

	if (len == 0 || len > DW_NAME_MAX_BYTES)
		return false;
	for (i = 0; i < len; i++)
		if (!name_char(name[i]))
			return false;
	return true;
}

bool dw_name_valid(const char *name)
{
	return name && name_span_valid(name, strlen(name));
}

/* "MODEL/NAME" */
static bool version_reference_valid(const char *text)
{
	const char *slash = text ? strchr(text, '/') : NULL;

	return slash && name_span_valid(text, (size_t)(slash - text)) && dw_name_valid(slash + 1);
}

static const char *ipv4_part(const char *at)
{
	uint32_t value = 0;
	int digits = 0;

	if (at[0] == '0' && at[1] >= '0' && at[1] <= '9')
		return NULL;
	for (; *at >= '0' && *at <= '9' && digits < IPV4_PART_DIGITS; at++, digits++)
		value = value * 10 + (uint32_t)(*at - '0');
	return digits > 0 && value <= IPV4_PART_MAX ? at : NULL;
}

bool dw_ipv4_valid(const char *ip)
{
	int part;

	for (part = 0; ip && part < IPV4_PARTS; part++) {
		if (part > 0 && *ip++ != '.')
			return false;
		ip = ipv4_part(ip);
	}
	return ip && *ip == '\0';
}

static bool has_duplicate(char *const *texts, size_t count)
{
	size_t i, j;

	for (i = 1; i < count; i++)
		for (j = 0; j < i; j++)
			if (strcmp(texts[i], texts[j]) == 0)
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
		return dw_fail(DW_TOO_LARGE, "key_hashes: at most %d", DW_KEY_HASHES_MAX);
	for (i = 0; i < organisation->n_key_hashes; i++)
		if (organisation->key_hashes[i].len != DW_KEY_HASH_BYTES)
			return dw_fail(DW_INVALID_ARGUMENT, "key_hashes[%zu]: not %d bytes", i,
				       DW_KEY_HASH_BYTES);
	return DW_OK;
}

static enum dw_status check_organisation(const Dragonflywharf__Entity *entity)
{
	const Dragonflywharf__Organisation *organisation = entity->organisation;
	size_t i;

	if (organisation->n_allowed > DW_ALLOWED_ENTRIES_MAX ||
	    organisation->n_allowed_services > DW_ALLOWED_ENTRIES_MAX)
		return dw_fail(DW_TOO_LARGE, "allowed: at most %d", DW_ALLOWED_ENTRIES_MAX);
	for (i = 0; i < organisation->n_allowed; i++) {
		const char *allowed = organisation->allowed[i];

		if (strcmp(allowed, "*") != 0 && !dw_name_valid(allowed) &&
		    !version_reference_valid(allowed))
			return dw_fail(DW_INVALID_ARGUMENT,
				       "allowed[%zu]: not *, model or model/version", i);
	}
	for (i = 0; i < organisation->n_allowed_services; i++)
		if (strcmp(organisation->allowed_services[i], "*") != 0 &&
		    !dw_name_valid(organisation->allowed_services[i]))
			return dw_fail(DW_INVALID_ARGUMENT,
				       "allowed_services[%zu]: not * or a name", i);
	if (organisation->weight > DW_WEIGHT_MAX)
		return dw_fail(DW_INVALID_ARGUMENT, "weight: over %d", DW_WEIGHT_MAX);
	return check_key_hashes(organisation);
}

static enum dw_status check_model(const Dragonflywharf__Entity *entity)
{
	const Dragonflywharf__Model *model = entity->model;
	size_t i;

	if (model->n_cascade > DW_CASCADE_MODELS_MAX)
		return dw_fail(DW_TOO_LARGE, "cascade: at most %d models", DW_CASCADE_MODELS_MAX);
	for (i = 0; i < model->n_cascade; i++)
		if (!dw_name_valid(model->cascade[i]) ||
		    strcmp(model->cascade[i], model->name) == 0)
			return dw_fail(DW_INVALID_ARGUMENT,
				       "cascade[%zu]: not another model's name", i);
	if (has_duplicate(model->cascade, model->n_cascade))
		return dw_fail(DW_INVALID_ARGUMENT, "cascade: a model stands twice");
	if (model->quality_target_permille > DW_PERMILLE)
		return dw_fail(DW_INVALID_ARGUMENT, "quality_target_permille: over %d",
			       DW_PERMILLE);
	return DW_OK;
}

static enum dw_status check_version(const Dragonflywharf__Entity *entity)
{
	const Dragonflywharf__Version *version = entity->version;

	if (!dw_name_valid(version->model))
		return dw_fail(DW_INVALID_ARGUMENT, "model: not a name");
	if (version->state != DRAGONFLYWHARF__VERSION_STATE__VERSION_LIVE &&
	    version->state != DRAGONFLYWHARF__VERSION_STATE__VERSION_WITHDRAWN)
		return dw_fail(DW_INVALID_ARGUMENT, "state: unknown");
	if (version->rollout_weight > DW_WEIGHT_MAX)
		return dw_fail(DW_INVALID_ARGUMENT, "rollout_weight: over %d", DW_WEIGHT_MAX);
	return DW_OK;
}

static enum dw_status check_limits(const Dragonflywharf__Upstream *upstream)
{
	bool engine = upstream->kind == DRAGONFLYWHARF__UPSTREAM_KIND__UPSTREAM_MODEL_ENGINE;

	if (upstream->limit < 1 || upstream->limit > DW_UPSTREAM_LIMIT_MAX)
		return dw_fail(DW_INVALID_ARGUMENT, "limit: not 1 to %d", DW_UPSTREAM_LIMIT_MAX);
	if (upstream->cold_limit > upstream->limit)
		return dw_fail(DW_INVALID_ARGUMENT, "cold_limit: over limit");
	if (engine && upstream->cold_limit < 1)
		return dw_fail(DW_INVALID_ARGUMENT, "cold_limit: under 1");
	if (upstream->cold_period_ms > DW_COLD_PERIOD_MAX_MS)
		return dw_fail(DW_INVALID_ARGUMENT, "cold_period_ms: over %d",
			       DW_COLD_PERIOD_MAX_MS);
	return DW_OK;
}

static enum dw_status check_engine(const Dragonflywharf__Upstream *upstream)
{
	size_t i;

	if (upstream->n_serves > DW_SERVED_VERSIONS_MAX)
		return dw_fail(DW_TOO_LARGE, "serves: at most %d versions", DW_SERVED_VERSIONS_MAX);
	for (i = 0; i < upstream->n_serves; i++)
		if (!version_reference_valid(upstream->serves[i]))
			return dw_fail(DW_INVALID_ARGUMENT, "serves[%zu]: not model/version", i);
	if (has_duplicate(upstream->serves, upstream->n_serves))
		return dw_fail(DW_INVALID_ARGUMENT, "serves: a version stands twice");
	if (upstream->service[0] != '\0')
		return dw_fail(DW_INVALID_ARGUMENT, "service: set on a model engine");
	return DW_OK;
}

static enum dw_status check_upstream(const Dragonflywharf__Entity *entity)
{
	const Dragonflywharf__Upstream *upstream = entity->upstream;
	enum dw_status status;

	if (!dw_ipv4_valid(upstream->ip))
		return dw_fail(DW_INVALID_ARGUMENT, "ip: not a numeric IPv4 address");
	if (upstream->port < 1 || upstream->port > PORT_MAX)
		return dw_fail(DW_INVALID_ARGUMENT, "port: not 1 to %d", PORT_MAX);
	if (!dw_name_valid(upstream->failure_domain))
		return dw_fail(DW_INVALID_ARGUMENT, "failure_domain: not a name");
	if (upstream->state != DRAGONFLYWHARF__UPSTREAM_STATE__UPSTREAM_IN_SERVICE &&
	    upstream->state != DRAGONFLYWHARF__UPSTREAM_STATE__UPSTREAM_LEAVING)
		return dw_fail(DW_INVALID_ARGUMENT, "state: unknown");
	status = check_limits(upstream);
	if (status)
		return status;
	switch (upstream->kind) {
	case DRAGONFLYWHARF__UPSTREAM_KIND__UPSTREAM_MODEL_ENGINE:
		return check_engine(upstream);
	case DRAGONFLYWHARF__UPSTREAM_KIND__UPSTREAM_SERVICE:
		if (upstream->n_serves > 0)
			return dw_fail(DW_INVALID_ARGUMENT, "serves: set on a plain service");
		if (!dw_name_valid(upstream->service))
			return dw_fail(DW_INVALID_ARGUMENT, "service: not a name");
		return DW_OK;
	default:
		return dw_fail(DW_INVALID_ARGUMENT, "kind: unknown");
	}
}

static enum dw_status check_service(const Dragonflywharf__Entity *entity)
{
	const Dragonflywharf__Service *service = entity->service;
	size_t i;

	if (service->n_idempotent_paths > DW_IDEMPOTENT_PATHS_MAX)
		return dw_fail(DW_TOO_LARGE, "idempotent_paths: at most %d",
			       DW_IDEMPOTENT_PATHS_MAX);
	for (i = 0; i < service->n_idempotent_paths; i++)
		if (!path_valid(service->idempotent_paths[i]))
			return dw_fail(DW_INVALID_ARGUMENT, "idempotent_paths[%zu]: not a path", i);
	return DW_OK;
}

static enum dw_status check_failure_domain(const Dragonflywharf__Entity *entity)
{
	Dragonflywharf__DomainState state = entity->failure_domain->state;

	if (state != DRAGONFLYWHARF__DOMAIN_STATE__DOMAIN_IN_SERVICE &&
	    state != DRAGONFLYWHARF__DOMAIN_STATE__DOMAIN_DRAINED)
		return dw_fail(DW_INVALID_ARGUMENT, "state: unknown");
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
		return dw_fail(DW_INVALID_ARGUMENT, "entity: no known kind is set");
	}
}

enum dw_status dw_entity_check(const Dragonflywharf__Entity *entity)
{
	enum dw_entity_kind kind = DW_ENTITY_ORGANISATION;
	enum dw_status status = dw_entity_kind(entity, &kind);

	if (status)
		return status;
	if (!dw_name_valid(rules[kind].name(entity)))
		return dw_fail(DW_INVALID_ARGUMENT, "name: not 1 to %d of [a-z0-9._-]",
			       DW_NAME_MAX_BYTES);
	if (strlen(entity->change_id) > DW_CHANGE_ID_MAX_BYTES)
		return dw_fail(DW_TOO_LARGE, "change_id: over %d bytes", DW_CHANGE_ID_MAX_BYTES);
	status = rules[kind].check(entity);
	if (status)
		return status;
	if (dragonflywharf__entity__get_packed_size(entity) > DW_ENTITY_MAX_BYTES)
		return dw_fail(DW_TOO_LARGE, "entity: over %d bytes", DW_ENTITY_MAX_BYTES);
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
		return dw_fail(DW_INVALID_ARGUMENT, "name: not a name");
	if (kind != DW_ENTITY_VERSION) {
		snprintf(out, DW_ENTITY_KEY_BYTES, "%s/%s", rules[kind].prefix, name);
		return DW_OK;
	}
	if (!dw_name_valid(entity->version->model))
		return dw_fail(DW_INVALID_ARGUMENT, "model: not a name");
	snprintf(out, DW_ENTITY_KEY_BYTES, "%s/%s/%s", rules[kind].prefix, entity->version->model,
		 name);
	return DW_OK;
}
