#include <dragonflywharf/catalog.h>

#include <stddef.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>

#include <uthash.h>

/* A string or list that the catalogue owns. */
struct block {
	struct block *next;
	max_align_t bytes[];
};

/* In organisation, key and service the public part is the first member, so that a pointer to it is
 * also one to its structure; the iteration relies on this. */
struct organisation {
	struct dw_organisation_rule rule;
	struct organisation *next;
};

struct key {
	struct dw_catalog_key public;
	UT_hash_handle hh;
};

struct service {
	struct dw_service_rule rule;
	struct service *next;
};

struct route {
	struct dw_route_rule rule;
	size_t index; /**< in the order of addition */
};

struct dw_catalog {
	uint32_t references;
	uint64_t version;
	struct dw_caller_limits limits;
	struct route *routes; /**< longest prefix first */
	size_t route_count;
	struct service *services;
	struct organisation *organisations;
	struct key *keys;
	bool needs_keys;
	bool are_routes_incomplete;
	bool are_keys_incomplete;
	const char *defects[DW_CATALOG_DEFECTS_KEPT];
	size_t defect_count;
	struct block *blocks;
};

/* Used until dw_catalog_set_limits() is called. */
static const struct dw_caller_limits default_limits = {
	.max_header_bytes = 16384,
	.max_body_bytes = 4194304,
	.header_timeout_ms = 5000,
	.idle_timeout_ms = 15000,
};

static void *allocate(size_t size)
{
	void *memory = calloc(1, size);

	if (!memory)
		abort();
	return memory;
}

/* Copies bytes, of which the catalogue then owns the copy. */
static void *copy_block(struct dw_catalog *catalog, const void *bytes, size_t len)
{
	struct block *copy = allocate(sizeof(*copy) + len);

	if (len > 0)
		memcpy(copy->bytes, bytes, len);
	copy->next = catalog->blocks;
	catalog->blocks = copy;
	return copy->bytes;
}

static const char *copy_string(struct dw_catalog *catalog, const char *text)
{
	return text ? copy_block(catalog, text, strlen(text) + 1) : NULL;
}

enum dw_status dw_catalog_new(struct dw_catalog **out, uint64_t version)
{
	struct dw_catalog *catalog = allocate(sizeof(*catalog));

	catalog->references = 1;
	catalog->version = version;
	catalog->limits = default_limits;
	*out = catalog;
	return DW_OK;
}

struct dw_catalog *dw_catalog_retain(struct dw_catalog *catalog)
{
	if (catalog)
		catalog->references++;
	return catalog;
}

static void free_keys(struct dw_catalog *catalog)
{
	struct key *key = catalog->keys;
	struct key *next;

	HASH_CLEAR(hh, catalog->keys);
	for (; key; key = next) {
		next = key->hh.next;
		free(key);
	}
}

static void free_lists(struct dw_catalog *catalog)
{
	for (struct service *next, *service = catalog->services; service; service = next) {
		next = service->next;
		free(service);
	}
	for (struct organisation *next, *owner = catalog->organisations; owner; owner = next) {
		next = owner->next;
		free(owner);
	}
	for (struct block *next, *block = catalog->blocks; block; block = next) {
		next = block->next;
		free(block);
	}
}

void dw_catalog_release(struct dw_catalog *catalog)
{
	if (!catalog || --catalog->references > 0)
		return;
	free_keys(catalog);
	free_lists(catalog);
	free(catalog->routes);
	free(catalog);
}

static bool is_prefix_valid(const char *prefix)
{
	size_t len = prefix ? strlen(prefix) : 0;

	return len > 0 && prefix[0] == '/' && prefix[len - 1] == '/';
}

static const struct dw_route_share *copy_shares(struct dw_catalog *catalog,
						const struct dw_route_share *shares, uint32_t count)
{
	struct dw_route_share *copy = copy_block(catalog, shares, count * sizeof(*shares));

	for (uint32_t i = 0; i < count; i++)
		copy[i].service = copy_string(catalog, shares[i].service);
	return copy;
}

static const char *const *copy_names(struct dw_catalog *catalog, const char *const *names,
				     uint32_t count)
{
	const char **copy = copy_block(catalog, names, count * sizeof(*names));

	for (uint32_t i = 0; i < count; i++)
		copy[i] = copy_string(catalog, names[i]);
	return copy;
}

static const struct dw_service_model *
copy_models(struct dw_catalog *catalog, const struct dw_service_model *models, uint32_t count)
{
	struct dw_service_model *copy = copy_block(catalog, models, count * sizeof(*models));

	for (uint32_t i = 0; i < count; i++)
		copy[i].name = copy_string(catalog, models[i].name);
	return copy;
}

static void copy_route_parts(struct dw_catalog *catalog, struct dw_route_rule *route)
{
	route->name = copy_string(catalog, route->name);
	route->host = copy_string(catalog, route->host);
	route->path_prefix = copy_string(catalog, route->path_prefix);
	route->shares = copy_shares(catalog, route->shares, route->share_count);
	route->models = copy_names(catalog, route->models, route->model_count);
}

enum dw_status dw_catalog_add_route(struct dw_catalog *catalog, const struct dw_route_rule *route)
{
	struct route *routes;
	size_t index = 0;

	if (!route->name || !route->host || !is_prefix_valid(route->path_prefix) ||
	    (route->share_count == 0 && !route->is_unreadable))
		return dw_fail(DW_INVALID_ARGUMENT,
			       "route %s is incomplete or malformed: needs a host, a path prefix "
			       "that starts and ends with a slash, and a share",
			       route->name ? route->name : "without a name");
	routes = realloc(catalog->routes, (catalog->route_count + 1) * sizeof(*routes));
	if (!routes)
		abort();
	catalog->routes = routes;
	while (index < catalog->route_count &&
	       strlen(routes[index].rule.path_prefix) >= strlen(route->path_prefix))
		index++;
	memmove(&routes[index + 1], &routes[index],
		(catalog->route_count - index) * sizeof(*routes));
	routes[index].rule = *route;
	routes[index].index = catalog->route_count;
	copy_route_parts(catalog, &routes[index].rule);
	catalog->route_count++;
	return DW_OK;
}

enum dw_status dw_catalog_add_service(struct dw_catalog *catalog,
				      const struct dw_service_rule *service)
{
	struct service *added;

	if (!service->name)
		return dw_fail(DW_INVALID_ARGUMENT, "a service has no name");
	added = allocate(sizeof(*added));
	added->rule = *service;
	added->rule.name = copy_string(catalog, service->name);
	added->rule.health_path = copy_string(catalog, service->health_path);
	added->rule.models = copy_models(catalog, service->models, service->model_count);
	added->next = catalog->services;
	catalog->services = added;
	return DW_OK;
}

enum dw_status dw_catalog_add_organisation(struct dw_catalog *catalog,
					   const struct dw_organisation_rule *organisation)
{
	struct organisation *added;

	if (!organisation->name)
		return dw_fail(DW_INVALID_ARGUMENT, "an organisation has no name");
	added = allocate(sizeof(*added));
	added->rule = *organisation;
	added->rule.name = copy_string(catalog, organisation->name);
	added->next = catalog->organisations;
	catalog->organisations = added;
	catalog->needs_keys = true;
	return DW_OK;
}

enum dw_status dw_catalog_add_key(struct dw_catalog *catalog, const char *organisation,
				  const char *key)
{
	struct organisation *owner = catalog->organisations;
	struct key *added;

	while (owner && strcmp(owner->rule.name, organisation) != 0)
		owner = owner->next;
	if (!owner || !key)
		return dw_fail(DW_NOT_FOUND, "no key, or no organisation %s", organisation);
	HASH_FIND_STR(catalog->keys, key, added);
	if (added) {
		if (added->public.owner != &owner->rule)
			added->public.owner = NULL;
		return dw_fail(DW_CONFLICT, "a key of organisation %s was added before",
			       organisation);
	}
	added = allocate(sizeof(*added));
	added->public.value = copy_string(catalog, key);
	added->public.owner = &owner->rule;
	HASH_ADD_KEYPTR(hh, catalog->keys, added->public.value, strlen(added->public.value), added);
	return DW_OK;
}

void dw_catalog_set_limits(struct dw_catalog *catalog, const struct dw_caller_limits *limits)
{
	catalog->limits = *limits;
}

void dw_catalog_add_defect(struct dw_catalog *catalog, const char *description)
{
	if (catalog->defect_count < DW_CATALOG_DEFECTS_KEPT)
		catalog->defects[catalog->defect_count] = copy_string(catalog, description);
	catalog->defect_count++;
}

size_t dw_catalog_defect_count(const struct dw_catalog *catalog)
{
	return catalog->defect_count;
}

const char *dw_catalog_defect(const struct dw_catalog *catalog, size_t position)
{
	return position < DW_CATALOG_DEFECTS_KEPT ? catalog->defects[position] : NULL;
}

void dw_catalog_set_routes_incomplete(struct dw_catalog *catalog)
{
	catalog->are_routes_incomplete = true;
}

bool dw_catalog_are_routes_incomplete(const struct dw_catalog *catalog)
{
	return catalog->are_routes_incomplete;
}

void dw_catalog_set_keys_incomplete(struct dw_catalog *catalog)
{
	catalog->needs_keys = true;
	catalog->are_keys_incomplete = true;
}

bool dw_catalog_are_keys_incomplete(const struct dw_catalog *catalog)
{
	return catalog->are_keys_incomplete;
}

uint64_t dw_catalog_version(const struct dw_catalog *catalog)
{
	return catalog->version;
}

const struct dw_caller_limits *dw_catalog_limits(const struct dw_catalog *catalog)
{
	return &catalog->limits;
}

const struct dw_route_rule *dw_catalog_match(const struct dw_catalog *catalog, const char *host,
					     const char *path)
{
	for (size_t i = 0; i < catalog->route_count; i++) {
		const struct dw_route_rule *route = &catalog->routes[i].rule;

		if (strncmp(route->path_prefix, path, strlen(route->path_prefix)) == 0 &&
		    strcasecmp(route->host, host) == 0)
			return route;
	}
	return NULL;
}

const struct dw_service_rule *dw_catalog_service(const struct dw_catalog *catalog, const char *name)
{
	for (const struct service *service = catalog->services; service; service = service->next) {
		if (strcmp(service->rule.name, name) == 0)
			return &service->rule;
	}
	return NULL;
}

const struct dw_organisation_rule *dw_catalog_key_owner(const struct dw_catalog *catalog,
							const char *key)
{
	struct key *found;

	HASH_FIND_STR(catalog->keys, key, found);
	return found ? found->public.owner : NULL;
}

void dw_catalog_require_keys(struct dw_catalog *catalog)
{
	catalog->needs_keys = true;
}

bool dw_catalog_needs_keys(const struct dw_catalog *catalog)
{
	return catalog->needs_keys;
}

size_t dw_catalog_route_count(const struct dw_catalog *catalog)
{
	return catalog->route_count;
}

const struct dw_route_rule *dw_catalog_route_at(const struct dw_catalog *catalog, size_t position,
						size_t *index)
{
	if (position >= catalog->route_count)
		return NULL;
	*index = catalog->routes[position].index;
	return &catalog->routes[position].rule;
}

const struct dw_service_rule *dw_catalog_next_service(const struct dw_catalog *catalog,
						      const struct dw_service_rule *previous)
{
	const struct service *next =
		previous ? ((const struct service *)previous)->next : catalog->services;

	return next ? &next->rule : NULL;
}

const struct dw_organisation_rule *
dw_catalog_next_organisation(const struct dw_catalog *catalog,
			     const struct dw_organisation_rule *previous)
{
	const struct organisation *next =
		previous ? ((const struct organisation *)previous)->next : catalog->organisations;

	return next ? &next->rule : NULL;
}

const struct dw_catalog_key *dw_catalog_next_key(const struct dw_catalog *catalog,
						 const struct dw_catalog_key *previous)
{
	const struct key *next = previous ? ((const struct key *)previous)->hh.next : catalog->keys;

	return next ? &next->public : NULL;
}

const char *dw_route_pick_service(const struct dw_route_rule *route, uint64_t hash)
{
	uint64_t total = 0;
	uint64_t position;

	for (uint32_t i = 0; i < route->share_count; i++)
		total += route->shares[i].weight;
	if (total == 0)
		return route->shares[0].service;
	position = hash % total;
	for (uint32_t i = 0; i < route->share_count; i++) {
		if (position < route->shares[i].weight)
			return route->shares[i].service;
		position -= route->shares[i].weight;
	}
	return route->shares[0].service;
}
