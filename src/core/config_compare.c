#include <dragonflywharf/config_check.h>

#include <math.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>

/* What a number of 0 stands for, and whether a lower one takes something away. */
enum number_rule {
	NUMBER_LIMIT, /**< lower takes away */
	NUMBER_LIMIT_OR_DEFAULT, /**< 0 is a default that isn't known here */
	NUMBER_LIMIT_OR_NONE, /**< 0 is no limit */
	NUMBER_NEUTRAL,
};

struct comparison {
	const struct dw_check_index *next;
	const struct dw_check_index *current;
	struct dw_check_report *report;
};

static struct dw_check_path path_of(enum dw_check_section section, size_t index, const char *name)
{
	struct dw_check_path path = { .section = section, .index = index, .name = name };

	return path;
}

static struct dw_check_path path_in_force(enum dw_check_section section, size_t index,
					  const char *name)
{
	struct dw_check_path path = path_of(section, index, name);

	path.is_in_force = true;
	return path;
}

static void compare_number(const struct comparison *comparison, struct dw_check_path path,
			   enum dw_check_field field, enum number_rule rule, double next,
			   double current)
{
	double next_limit = rule == NUMBER_LIMIT_OR_NONE && next == 0 ? INFINITY : next;
	double current_limit = rule == NUMBER_LIMIT_OR_NONE && current == 0 ? INFINITY : current;
	enum dw_finding_kind kind =
		next_limit < current_limit ? DW_FINDING_LOWERED : DW_FINDING_RAISED;

	if (next == current)
		return;
	if (rule == NUMBER_NEUTRAL ||
	    (rule == NUMBER_LIMIT_OR_DEFAULT && (next == 0 || current == 0)))
		kind = DW_FINDING_CHANGED;
	path.field = field;
	dw_check_report_add_numbers(comparison->report, kind, path, next, current);
}

static size_t find_route(const struct dw_check_index *index, const struct dw_route_rule *route)
{
	size_t place = 0;

	while (place < index->route_count &&
	       (strcmp(index->routes[place]->path_prefix, route->path_prefix) != 0 ||
		strcasecmp(index->routes[place]->host, route->host) != 0))
		place++;
	return place;
}

static size_t find_organisation(const struct dw_check_index *index, const char *name)
{
	size_t place = 0;

	while (place < index->organisation_count &&
	       strcmp(index->organisations[place]->name, name) != 0)
		place++;
	return place;
}

/* The last service of a name is the one in use. */
static size_t find_service(const struct dw_check_index *index, const char *name)
{
	size_t place = index->service_count;

	while (place > 0 && strcmp(index->services[place - 1]->name, name) != 0)
		place--;
	return place > 0 ? place - 1 : index->service_count;
}

/* Part of the route's requests that the service gets, in 100. */
static double share_of(const struct dw_route_rule *route, const char *service)
{
	double total = 0;
	double own = 0;

	for (uint32_t i = 0; i < route->share_count; i++) {
		total += route->shares[i].weight;
		if (strcmp(route->shares[i].service, service) == 0)
			own += route->shares[i].weight;
	}
	if (total == 0)
		return dw_check_route_uses(route, service) ? 100 : 0;
	return 100 * own / total;
}

/* The first service that gets requests of the route. */
static const char *first_service(const struct dw_route_rule *route)
{
	uint32_t i = 0;

	while (!dw_check_route_uses(route, route->shares[i].service))
		i++;
	return route->shares[i].service;
}

/* Whether the share names a service that an earlier share of the route has named. */
static bool is_repeated_share(const struct dw_route_rule *route, uint32_t share)
{
	for (uint32_t i = 0; i < share; i++) {
		if (strcmp(route->shares[i].service, route->shares[share].service) == 0)
			return true;
	}
	return false;
}

static void compare_shares(const struct comparison *comparison, struct dw_check_path path,
			   const struct dw_route_rule *next, const struct dw_route_rule *current)
{
	struct dw_finding *finding;

	path.field = DW_CHECK_TRAFFIC_SPLIT;
	for (uint32_t i = 0; i < current->share_count; i++) {
		const char *service = current->shares[i].service;

		if (is_repeated_share(current, i) || !dw_check_route_uses(current, service) ||
		    dw_check_route_uses(next, service))
			continue;
		finding = dw_check_report_add(comparison->report, DW_FINDING_ROUTE_LEAVES_SERVICE,
					      path);
		finding->subject = service;
		finding->other = first_service(next);
	}
	for (uint32_t i = 0; i < next->share_count; i++) {
		const char *service = next->shares[i].service;
		double share = share_of(next, service);
		double old_share = share_of(current, service);

		if (is_repeated_share(next, i) || share == 0 || share == old_share)
			continue;
		finding = dw_check_report_add_numbers(
			comparison->report,
			old_share > 0 ? DW_FINDING_SHARE_CHANGED : DW_FINDING_ROUTE_JOINS_SERVICE,
			path, share, old_share);
		finding->subject = service;
	}
}

static bool has_model(const struct dw_route_rule *route, const char *model)
{
	for (uint32_t i = 0; i < route->model_count; i++) {
		if (strcmp(route->models[i], model) == 0)
			return true;
	}
	return false;
}

static void compare_route_models(const struct comparison *comparison, struct dw_check_path path,
				 const struct dw_route_rule *next,
				 const struct dw_route_rule *current)
{
	size_t count = comparison->report->count;
	bool is_reordered = false;

	path.field = DW_CHECK_SIZES;
	for (uint32_t i = 0; i < current->model_count; i++) {
		if (!has_model(next, current->models[i]))
			dw_check_report_add(comparison->report, DW_FINDING_MODEL_REMOVED, path)
				->subject = current->models[i];
	}
	for (uint32_t i = 0; i < next->model_count; i++) {
		if (!has_model(current, next->models[i]))
			dw_check_report_add(comparison->report, DW_FINDING_MODEL_ADDED, path)
				->subject = next->models[i];
		is_reordered |= i >= current->model_count ||
				strcmp(next->models[i], current->models[i]) != 0;
	}
	is_reordered |= next->model_count != current->model_count;
	if (is_reordered && comparison->report->count == count)
		dw_check_report_add(comparison->report, DW_FINDING_CHANGED, path);
}

static void compare_route_kind(const struct comparison *comparison, struct dw_check_path path,
			       const struct dw_route_rule *next,
			       const struct dw_route_rule *current)
{
	static const char *const names[DW_ROUTE_KIND_COUNT] = {
		[DW_ROUTE_SAFE] = "safe",
		[DW_ROUTE_UNSAFE] = "unsafe",
		[DW_ROUTE_STREAM] = "stream",
	};
	struct dw_finding *finding;

	if (next->kind != current->kind) {
		path.field = DW_CHECK_KIND;
		finding = dw_check_report_add(comparison->report, DW_FINDING_KIND_CHANGED, path);
		finding->subject = names[next->kind];
		finding->other = names[current->kind];
	}
	path.field = DW_CHECK_PUBLIC;
	if (next->is_public != current->is_public)
		dw_check_report_add(comparison->report,
				    next->is_public ? DW_FINDING_MADE_PUBLIC
						    : DW_FINDING_NO_LONGER_PUBLIC,
				    path);
	path.field = DW_CHECK_RESUMABLE;
	if (next->is_resumable != current->is_resumable)
		dw_check_report_add(comparison->report,
				    next->is_resumable ? DW_FINDING_CHANGED
						       : DW_FINDING_NO_LONGER_RESUMABLE,
				    path);
}

static void compare_route(const struct comparison *comparison, size_t place,
			  const struct dw_route_rule *current)
{
	const struct dw_route_rule *next = comparison->next->routes[place];
	struct dw_check_path path = path_of(DW_CHECK_ROUTES, place, next->name);

	if (strcmp(next->name, current->name) != 0)
		dw_check_report_add(comparison->report, DW_FINDING_CHANGED, path);
	compare_route_kind(comparison, path, next, current);
	compare_shares(comparison, path, next, current);
	compare_route_models(comparison, path, next, current);
	compare_number(comparison, path, DW_CHECK_TIMEOUT, NUMBER_LIMIT_OR_DEFAULT,
		       next->timeout_ms, current->timeout_ms);
	compare_number(comparison, path, DW_CHECK_TARGET_LATENCY, NUMBER_NEUTRAL,
		       next->target_latency_ms, current->target_latency_ms);
	compare_number(comparison, path, DW_CHECK_TARGET_GAP, NUMBER_NEUTRAL, next->target_gap_ms,
		       current->target_gap_ms);
	compare_number(comparison, path, DW_CHECK_MAX_ATTEMPTS, NUMBER_LIMIT, next->max_attempts,
		       current->max_attempts);
	compare_number(comparison, path, DW_CHECK_PRIORITY, NUMBER_NEUTRAL, next->priority,
		       current->priority);
}

static void compare_routes(const struct comparison *comparison)
{
	const struct dw_check_index *next = comparison->next;
	const struct dw_check_index *current = comparison->current;

	for (size_t i = 0; i < current->route_count; i++) {
		const struct dw_route_rule *route = current->routes[i];
		const struct dw_route_rule *successor;
		size_t place = find_route(next, route);

		if (current->shadowed_by[i] != SIZE_MAX)
			continue;
		if (place < next->route_count) {
			compare_route(comparison, place, route);
			continue;
		}
		successor = dw_catalog_match(next->catalog, route->host, route->path_prefix);
		dw_check_report_add(comparison->report, DW_FINDING_ROUTE_REMOVED,
				    path_in_force(DW_CHECK_ROUTES, i, route->name))
			->other = successor ? successor->name : NULL;
	}
	for (size_t i = 0; i < next->route_count; i++) {
		if (next->shadowed_by[i] == SIZE_MAX &&
		    find_route(current, next->routes[i]) == current->route_count)
			dw_check_report_add(comparison->report, DW_FINDING_ADDED,
					    path_of(DW_CHECK_ROUTES, i, next->routes[i]->name));
	}
}

static bool is_service_used(const struct dw_check_index *index, const char *service)
{
	for (size_t i = 0; i < index->route_count; i++) {
		if (index->shadowed_by[i] == SIZE_MAX &&
		    dw_check_route_uses(index->routes[i], service))
			return true;
	}
	return false;
}

static const struct dw_service_model *find_model(const struct dw_service_rule *service,
						 const char *name)
{
	for (uint32_t i = 0; i < service->model_count; i++) {
		if (strcmp(service->models[i].name, name) == 0)
			return &service->models[i];
	}
	return NULL;
}

static void compare_service_models(const struct comparison *comparison, struct dw_check_path path,
				   const struct dw_service_rule *next,
				   const struct dw_service_rule *current)
{
	path.field = DW_CHECK_MODELS;
	for (uint32_t i = 0; i < current->model_count; i++) {
		if (!find_model(next, current->models[i].name))
			dw_check_report_add(comparison->report, DW_FINDING_MODEL_REMOVED, path)
				->subject = current->models[i].name;
	}
	for (uint32_t i = 0; i < next->model_count; i++) {
		const struct dw_service_model *old = find_model(current, next->models[i].name);

		/* Of a model that is listed twice the first entry counts. */
		if (find_model(next, next->models[i].name) != &next->models[i])
			continue;
		if (!old)
			dw_check_report_add(comparison->report, DW_FINDING_MODEL_ADDED, path)
				->subject = next->models[i].name;
		else
			compare_number(comparison, path, DW_CHECK_COST, NUMBER_NEUTRAL,
				       next->models[i].cost, old->cost);
	}
}

static bool is_same_text(const char *left, const char *right)
{
	return left == right || (left && right && strcmp(left, right) == 0);
}

static void compare_service(const struct comparison *comparison, struct dw_check_path path,
			    const struct dw_service_rule *next,
			    const struct dw_service_rule *current)
{
	struct dw_check_path field_path = path;

	field_path.field = DW_CHECK_HEALTH_PATH;
	if (!is_same_text(next->health_path, current->health_path))
		dw_check_report_add(comparison->report, DW_FINDING_CHANGED, field_path);
	compare_number(comparison, path, DW_CHECK_MAX_CONNECTIONS, NUMBER_LIMIT_OR_DEFAULT,
		       next->max_connections, current->max_connections);
	compare_number(comparison, path, DW_CHECK_COLD_START, NUMBER_NEUTRAL, next->cold_start_ms,
		       current->cold_start_ms);
	compare_number(comparison, path, DW_CHECK_COLD_RATE, NUMBER_LIMIT_OR_NONE,
		       next->cold_requests_per_s, current->cold_requests_per_s);
	compare_number(comparison, path, DW_CHECK_SLOTS, NUMBER_LIMIT, next->batch_slots,
		       current->batch_slots);
	compare_number(comparison, path, DW_CHECK_KV_CAPACITY, NUMBER_LIMIT,
		       (double)next->kv_cache_tokens, (double)current->kv_cache_tokens);
	compare_number(comparison, path, DW_CHECK_TOKENS_PER_EVENT, NUMBER_NEUTRAL,
		       next->tokens_per_event, current->tokens_per_event);
	compare_service_models(comparison, path, next, current);
}

static void compare_services(const struct comparison *comparison)
{
	const struct dw_check_index *next = comparison->next;
	const struct dw_check_index *current = comparison->current;

	for (size_t i = 0; i < current->service_count; i++) {
		const char *name = current->services[i]->name;
		struct dw_check_path path = path_in_force(DW_CHECK_SERVICES, i, name);
		size_t place = find_service(next, name);

		if (find_service(current, name) != i)
			continue;
		if (place < next->service_count) {
			path = path_of(DW_CHECK_SERVICES, place, name);
			compare_service(comparison, path, next->services[place],
					current->services[i]);
		} else {
			dw_check_report_add(comparison->report, DW_FINDING_REMOVED, path);
		}
		if (is_service_used(current, name) && !is_service_used(next, name))
			dw_check_report_add(comparison->report, DW_FINDING_SERVICE_LOSES_ROUTES,
					    path);
	}
	for (size_t i = 0; i < next->service_count; i++) {
		const char *name = next->services[i]->name;

		if (find_service(next, name) == i &&
		    find_service(current, name) == current->service_count)
			dw_check_report_add(comparison->report, DW_FINDING_ADDED,
					    path_of(DW_CHECK_SERVICES, i, name));
	}
}

/* The path of an organisation in the new file, or, if it isn't there, in the one in force. */
static struct dw_check_path organisation_path(const struct comparison *comparison, const char *name)
{
	size_t place = find_organisation(comparison->next, name);
	struct dw_check_path path;

	if (place < comparison->next->organisation_count)
		path = path_of(DW_CHECK_ORGANISATIONS, place, name);
	else
		path = path_in_force(DW_CHECK_ORGANISATIONS,
				     find_organisation(comparison->current, name), name);
	path.field = DW_CHECK_KEYS;
	return path;
}

/* Counts a key that another organisation has now; one finding for each pair of owners. */
static void add_moved_key(const struct comparison *comparison, const char *from, const char *to)
{
	struct dw_check_report *report = comparison->report;

	for (size_t i = 0; i < report->count; i++) {
		struct dw_finding *finding = &report->findings[i];

		if (finding->kind == DW_FINDING_KEYS_MOVED &&
		    strcmp(finding->path.name, from) == 0 && strcmp(finding->other, to) == 0) {
			finding->value++;
			return;
		}
	}
	dw_check_report_add_numbers(report, DW_FINDING_KEYS_MOVED,
				    organisation_path(comparison, from), 1, 0)
		->other = to;
}

/* Counts for each organisation of @p from its keys that @p to doesn't have. */
static size_t *count_missing_keys(const struct dw_check_index *from,
				  const struct dw_check_index *to)
{
	size_t *counts = calloc(from->organisation_count + 1, sizeof(*counts));
	const struct dw_catalog_key *key = NULL;

	if (!counts)
		abort();
	while ((key = dw_catalog_next_key(from->catalog, key))) {
		if (!dw_catalog_key_owner(to->catalog, key->value))
			counts[find_organisation(from, key->owner->name)]++;
	}
	return counts;
}

static void compare_removed_organisations(const struct comparison *comparison)
{
	const struct dw_check_index *current = comparison->current;
	size_t *missing = count_missing_keys(current, comparison->next);

	for (size_t i = 0; i < current->organisation_count; i++) {
		const char *name = current->organisations[i]->name;
		struct dw_check_path path = organisation_path(comparison, name);

		if (find_organisation(current, name) != i)
			continue;
		if (path.is_in_force) {
			path.field = DW_CHECK_NO_FIELD;
			dw_check_report_add_numbers(comparison->report,
						    DW_FINDING_ORGANISATION_REMOVED, path,
						    (double)missing[i], 0);
		} else if (missing[i] > 0) {
			dw_check_report_add_numbers(comparison->report, DW_FINDING_KEYS_REMOVED,
						    path, (double)missing[i], 0);
		}
	}
	free(missing);
}

static void compare_added_organisations(const struct comparison *comparison)
{
	const struct dw_check_index *next = comparison->next;
	const struct dw_check_index *current = comparison->current;
	size_t *added = count_missing_keys(next, current);

	for (size_t i = 0; i < next->organisation_count; i++) {
		const struct dw_organisation_rule *owner = next->organisations[i];
		struct dw_check_path path = path_of(DW_CHECK_ORGANISATIONS, i, owner->name);
		size_t place = find_organisation(current, owner->name);
		const struct dw_organisation_rule *old;

		if (find_organisation(next, owner->name) != i)
			continue;
		if (place == current->organisation_count) {
			dw_check_report_add(comparison->report, DW_FINDING_ADDED, path);
			continue;
		}
		old = current->organisations[place];
		path.field = DW_CHECK_KEYS;
		if (added[i] > 0)
			dw_check_report_add_numbers(comparison->report, DW_FINDING_KEYS_ADDED, path,
						    (double)added[i], 0);
		path.field = DW_CHECK_PRIORITY;
		if (owner->has_priority != old->has_priority)
			dw_check_report_add(comparison->report, DW_FINDING_CHANGED, path);
		else
			compare_number(comparison, path, DW_CHECK_PRIORITY, NUMBER_NEUTRAL,
				       owner->priority, old->priority);
	}
	free(added);
}

static void compare_organisations(const struct comparison *comparison)
{
	const struct dw_catalog *next = comparison->next->catalog;
	const struct dw_catalog_key *key = NULL;

	compare_removed_organisations(comparison);
	while ((key = dw_catalog_next_key(comparison->current->catalog, key))) {
		const struct dw_organisation_rule *owner = dw_catalog_key_owner(next, key->value);

		if (owner && strcmp(owner->name, key->owner->name) != 0)
			add_moved_key(comparison, key->owner->name, owner->name);
	}
	compare_added_organisations(comparison);
	if (dw_catalog_needs_keys(next) && comparison->next->organisation_count == 0 &&
	    comparison->current->organisation_count > 0)
		dw_check_report_add(comparison->report, DW_FINDING_NO_KEYS_LEFT,
				    path_of(DW_CHECK_FILE, 0, NULL));
	if (dw_catalog_needs_keys(comparison->current->catalog) && !dw_catalog_needs_keys(next))
		dw_check_report_add(comparison->report, DW_FINDING_KEYS_NOT_NEEDED,
				    path_of(DW_CHECK_FILE, 0, NULL));
}

static void compare_limits(const struct comparison *comparison)
{
	const struct dw_caller_limits *next = dw_catalog_limits(comparison->next->catalog);
	const struct dw_caller_limits *current = dw_catalog_limits(comparison->current->catalog);
	struct dw_check_path path = path_of(DW_CHECK_LIMITS, 0, NULL);

	compare_number(comparison, path, DW_CHECK_MAX_HEADER_BYTES, NUMBER_LIMIT,
		       (double)next->max_header_bytes, (double)current->max_header_bytes);
	compare_number(comparison, path, DW_CHECK_MAX_BODY_BYTES, NUMBER_LIMIT,
		       (double)next->max_body_bytes, (double)current->max_body_bytes);
	compare_number(comparison, path, DW_CHECK_HEADER_TIMEOUT, NUMBER_LIMIT,
		       next->header_timeout_ms, current->header_timeout_ms);
	compare_number(comparison, path, DW_CHECK_IDLE_TIMEOUT, NUMBER_LIMIT, next->idle_timeout_ms,
		       current->idle_timeout_ms);
}

void dw_config_compare(const struct dw_check_index *next, const struct dw_check_index *current,
		       struct dw_check_report *report)
{
	const struct comparison comparison = { next, current, report };
	uint64_t version = dw_catalog_version(next->catalog);
	uint64_t version_in_force = dw_catalog_version(current->catalog);
	struct dw_check_path path = path_of(DW_CHECK_FILE, 0, NULL);
	size_t count = report->count;

	compare_routes(&comparison);
	compare_services(&comparison);
	compare_organisations(&comparison);
	compare_limits(&comparison);
	path.field = DW_CHECK_VERSION;
	/* The version in force with nothing else changed is the configuration in force itself. */
	if (version < version_in_force || (version == version_in_force && report->count > count))
		dw_check_report_add_numbers(report, DW_FINDING_VERSION_NOT_NEWER, path,
					    (double)version, (double)version_in_force);
}
