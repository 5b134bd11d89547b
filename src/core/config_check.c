#include <dragonflywharf/config_check.h>

#include <stdlib.h>
#include <string.h>
#include <strings.h>

/* The gateway compares a request's path up to its query and up to this length. */
#define PATH_MAX_BYTES 2047
/* "GET " and " HTTP/1.1\r\nHost: " and "\r\n\r\n" around the path and the host. */
#define HEADER_FIXED_BYTES 25

static void *allocate(size_t count, size_t size)
{
	void *memory = calloc(count ? count : 1, size);

	if (!memory)
		abort();
	return memory;
}

static bool matches_same(const struct dw_route_rule *left, const struct dw_route_rule *right)
{
	return strcmp(left->path_prefix, right->path_prefix) == 0 &&
	       strcasecmp(left->host, right->host) == 0;
}

static void index_routes(struct dw_check_index *index, const struct dw_catalog *catalog)
{
	const struct dw_route_rule *route;
	size_t place = 0;

	index->route_count = dw_catalog_route_count(catalog);
	index->routes = allocate(index->route_count, sizeof(const struct dw_route_rule *));
	index->shadowed_by = allocate(index->route_count, sizeof(*index->shadowed_by));
	for (size_t i = 0; (route = dw_catalog_route_at(catalog, i, &place)); i++) {
		index->routes[place] = route;
		index->shadowed_by[place] = SIZE_MAX;
	}
	for (size_t i = 1; i < index->route_count; i++) {
		for (size_t earlier = 0; earlier < i && index->shadowed_by[i] == SIZE_MAX;
		     earlier++) {
			if (matches_same(index->routes[i], index->routes[earlier]))
				index->shadowed_by[i] = earlier;
		}
	}
}

/* The catalogue's lists are in the reverse order of the file. */
static void index_services(struct dw_check_index *index, const struct dw_catalog *catalog)
{
	const struct dw_service_rule *service = NULL;
	size_t place;

	while ((service = dw_catalog_next_service(catalog, service)))
		index->service_count++;
	index->services = allocate(index->service_count, sizeof(const struct dw_service_rule *));
	place = index->service_count;
	while ((service = dw_catalog_next_service(catalog, service)))
		index->services[--place] = service;
}

static void index_organisations(struct dw_check_index *index, const struct dw_catalog *catalog)
{
	const struct dw_organisation_rule *organisation = NULL;
	const struct dw_catalog_key *key = NULL;
	size_t place;

	while ((organisation = dw_catalog_next_organisation(catalog, organisation)))
		index->organisation_count++;
	index->organisations =
		allocate(index->organisation_count, sizeof(const struct dw_organisation_rule *));
	index->key_counts = allocate(index->organisation_count, sizeof(*index->key_counts));
	place = index->organisation_count;
	while ((organisation = dw_catalog_next_organisation(catalog, organisation)))
		index->organisations[--place] = organisation;
	while ((key = dw_catalog_next_key(catalog, key)))
		index->key_counts[dw_check_index_organisation(index, key->owner)]++;
}

void dw_check_index_init(struct dw_check_index *index, const struct dw_catalog *catalog)
{
	memset(index, 0, sizeof(*index));
	index->catalog = catalog;
	index_routes(index, catalog);
	index_services(index, catalog);
	index_organisations(index, catalog);
}

void dw_check_index_free(struct dw_check_index *index)
{
	free(index->routes);
	free(index->shadowed_by);
	free(index->services);
	free(index->organisations);
	free(index->key_counts);
	memset(index, 0, sizeof(*index));
}

size_t dw_check_index_organisation(const struct dw_check_index *index,
				   const struct dw_organisation_rule *organisation)
{
	size_t place = 0;

	while (index->organisations[place] != organisation)
		place++;
	return place;
}

bool dw_check_route_uses(const struct dw_route_rule *route, const char *service)
{
	uint64_t total = 0;

	for (uint32_t i = 0; i < route->share_count; i++) {
		total += route->shares[i].weight;
		if (route->shares[i].weight > 0 && strcmp(route->shares[i].service, service) == 0)
			return true;
	}
	return total == 0 && strcmp(route->shares[0].service, service) == 0;
}

static struct dw_check_path path_of(enum dw_check_section section, size_t index, const char *name,
				    enum dw_check_field field)
{
	struct dw_check_path path = {
		.section = section, .index = index, .name = name, .field = field
	};

	return path;
}

static bool lists_model(const struct dw_service_rule *service, const char *model, double *cost)
{
	for (uint32_t i = 0; i < service->model_count; i++) {
		if (strcmp(service->models[i].name, model) == 0) {
			*cost = service->models[i].cost;
			return true;
		}
	}
	return false;
}

static void check_route_models(const struct dw_route_rule *route,
			       const struct dw_service_rule *service, struct dw_check_path path,
			       struct dw_check_report *report)
{
	const char *smaller = NULL;
	double smaller_cost = 0;
	struct dw_finding *finding;

	for (uint32_t i = 0; i < route->model_count; i++) {
		double cost = 0;

		if (!lists_model(service, route->models[i], &cost)) {
			finding = dw_check_report_add(report, DW_FINDING_MODEL_UNKNOWN, path);
			finding->subject = route->models[i];
			finding->other = service->name;
			continue;
		}
		if (smaller && cost < smaller_cost) {
			finding = dw_check_report_add_numbers(report, DW_FINDING_COST_FALLS, path,
							      smaller_cost, cost);
			finding->subject = smaller;
			finding->other = route->models[i];
		}
		smaller = route->models[i];
		smaller_cost = cost;
	}
}

static void check_route_services(const struct dw_check_index *index, size_t place,
				 struct dw_check_report *report)
{
	const struct dw_route_rule *route = index->routes[place];
	struct dw_check_path path =
		path_of(DW_CHECK_ROUTES, place, route->name, DW_CHECK_TRAFFIC_SPLIT);
	uint64_t total = 0;

	for (uint32_t i = 0; i < route->share_count; i++) {
		const char *name = route->shares[i].service;
		const struct dw_service_rule *service = dw_catalog_service(index->catalog, name);

		total += route->shares[i].weight;
		path.field = DW_CHECK_TRAFFIC_SPLIT;
		if (!service) {
			dw_check_report_add(report, DW_FINDING_SERVICE_UNKNOWN, path)->subject =
				name;
			continue;
		}
		path.field = DW_CHECK_SIZES;
		if (route->model_count == 0 && service->batch_slots > 0 &&
		    service->model_count == 0)
			dw_check_report_add(report, DW_FINDING_SERVICE_WITHOUT_MODELS, path)
				->subject = name;
		check_route_models(route, service, path, report);
	}
	path.field = DW_CHECK_TRAFFIC_SPLIT;
	if (total == 0 && route->share_count > 1)
		dw_check_report_add(report, DW_FINDING_WEIGHTS_ZERO, path)->subject =
			route->shares[0].service;
}

static void check_route_limits(const struct dw_route_rule *route, struct dw_check_path path,
			       struct dw_check_report *report)
{
	bool is_idempotent = route->kind == DW_ROUTE_SAFE ||
			     (route->kind == DW_ROUTE_STREAM && route->is_resumable);

	/* A timeout of 0 stands for the default. */
	path.field = DW_CHECK_TIMEOUT;
	if (route->timeout_ms > 0 && route->timeout_ms < route->target_latency_ms)
		dw_check_report_add_numbers(report, DW_FINDING_TIMEOUT_UNDER_TARGET, path,
					    route->timeout_ms, route->target_latency_ms);
	if (route->timeout_ms > 0 && route->timeout_ms < route->target_gap_ms)
		dw_check_report_add_numbers(report, DW_FINDING_TIMEOUT_UNDER_GAP, path,
					    route->timeout_ms, route->target_gap_ms);
	path.field = DW_CHECK_MAX_ATTEMPTS;
	if (!is_idempotent && route->max_attempts > 1)
		dw_check_report_add_numbers(report, DW_FINDING_ATTEMPTS_NOT_IDEMPOTENT, path,
					    route->max_attempts, 1);
}

static void check_route(const struct dw_check_index *index, size_t place,
			struct dw_check_report *report)
{
	const struct dw_route_rule *route = index->routes[place];
	struct dw_check_path path = path_of(DW_CHECK_ROUTES, place, route->name, DW_CHECK_NO_FIELD);
	size_t earlier = index->shadowed_by[place];
	const char *prefix = route->path_prefix;

	if (earlier != SIZE_MAX)
		dw_check_report_add_numbers(report, DW_FINDING_ROUTE_SHADOWED, path,
					    (double)earlier, 0)
			->subject = index->routes[earlier]->name;
	for (earlier = 0; strcmp(index->routes[earlier]->name, route->name) != 0;)
		earlier++;
	if (earlier < place)
		dw_check_report_add_numbers(report, DW_FINDING_NAME_REPEATED, path, (double)earlier,
					    0);
	path.field = DW_CHECK_PATH_PREFIX;
	if (strpbrk(prefix, "? \t\r\n") || strlen(prefix) > PATH_MAX_BYTES)
		dw_check_report_add(report, DW_FINDING_PREFIX_NEVER_MATCHES, path)->subject =
			prefix;
	check_route_services(index, place, report);
	check_route_limits(route, path, report);
}

static void check_service_limits(const struct dw_service_rule *service, struct dw_check_path path,
				 struct dw_check_report *report)
{
	path.field = DW_CHECK_COLD_RATE;
	if (service->cold_start_ms > 0 && service->cold_requests_per_s <= 0)
		dw_check_report_add_numbers(report, DW_FINDING_COLD_RATE_ZERO, path,
					    service->cold_start_ms, 0);
	path.field = DW_CHECK_MAX_CONNECTIONS;
	if (service->max_connections > 0 && service->max_connections < service->batch_slots)
		dw_check_report_add_numbers(report, DW_FINDING_CONNECTIONS_UNDER_SLOTS, path,
					    service->max_connections, service->batch_slots);
	path.field = DW_CHECK_KV_CAPACITY;
	if (service->kv_cache_tokens > 0 && service->kv_cache_tokens < service->tokens_per_event)
		dw_check_report_add_numbers(report, DW_FINDING_CACHE_UNDER_EVENT, path,
					    (double)service->kv_cache_tokens,
					    service->tokens_per_event);
}

static void check_service(const struct dw_check_index *index, size_t place,
			  struct dw_check_report *report)
{
	const struct dw_service_rule *service = index->services[place];
	struct dw_check_path path =
		path_of(DW_CHECK_SERVICES, place, service->name, DW_CHECK_NO_FIELD);
	size_t later = index->service_count - 1;
	size_t user = 0;

	while (strcmp(index->services[later]->name, service->name) != 0)
		later--;
	if (later > place)
		dw_check_report_add_numbers(report, DW_FINDING_SERVICE_SHADOWED, path,
					    (double)later, 0);
	while (user < index->route_count &&
	       (index->shadowed_by[user] != SIZE_MAX ||
		!dw_check_route_uses(index->routes[user], service->name)))
		user++;
	if (user == index->route_count)
		dw_check_report_add(report, DW_FINDING_SERVICE_UNUSED, path);
	check_service_limits(service, path, report);
}

static void check_organisation(const struct dw_check_index *index, size_t place,
			       struct dw_check_report *report)
{
	const char *name = index->organisations[place]->name;
	struct dw_check_path path = path_of(DW_CHECK_ORGANISATIONS, place, name, DW_CHECK_NO_FIELD);
	size_t earlier = 0;

	while (strcmp(index->organisations[earlier]->name, name) != 0)
		earlier++;
	if (earlier < place)
		dw_check_report_add_numbers(report, DW_FINDING_NAME_REPEATED, path, (double)earlier,
					    0);
	path.field = DW_CHECK_KEYS;
	if (index->key_counts[place] == 0)
		dw_check_report_add(report, DW_FINDING_WITHOUT_KEYS, path);
}

static void check_header_limit(const struct dw_check_index *index, struct dw_check_path path,
			       struct dw_check_report *report)
{
	uint64_t limit = dw_catalog_limits(index->catalog)->max_header_bytes;

	path.field = DW_CHECK_MAX_HEADER_BYTES;
	for (size_t i = 0; limit > 0 && i < index->route_count; i++) {
		const struct dw_route_rule *route = index->routes[i];
		size_t smallest =
			HEADER_FIXED_BYTES + strlen(route->path_prefix) + strlen(route->host);

		if (limit < smallest)
			dw_check_report_add_numbers(report, DW_FINDING_HEADER_LIMIT_UNDER_ROUTE,
						    path, (double)limit, (double)smallest)
				->subject = route->name;
	}
}

static void check_limits(const struct dw_check_index *index, struct dw_check_report *report)
{
	const struct dw_caller_limits *limits = dw_catalog_limits(index->catalog);
	struct dw_check_path path = path_of(DW_CHECK_LIMITS, 0, NULL, DW_CHECK_NO_FIELD);
	const struct {
		enum dw_check_field field;
		uint64_t value;
	} rows[] = {
		{ DW_CHECK_MAX_HEADER_BYTES, limits->max_header_bytes },
		{ DW_CHECK_MAX_BODY_BYTES, limits->max_body_bytes },
		{ DW_CHECK_HEADER_TIMEOUT, limits->header_timeout_ms },
		{ DW_CHECK_IDLE_TIMEOUT, limits->idle_timeout_ms },
	};

	for (size_t i = 0; i < sizeof(rows) / sizeof(rows[0]); i++) {
		path.field = rows[i].field;
		if (rows[i].value == 0)
			dw_check_report_add(report, DW_FINDING_LIMIT_ZERO, path);
	}
	path.field = DW_CHECK_MAX_BODY_BYTES;
	if (limits->max_body_bytes > 0 && limits->max_body_bytes < limits->max_header_bytes)
		dw_check_report_add_numbers(report, DW_FINDING_BODY_LIMIT_UNDER_HEADER, path,
					    (double)limits->max_body_bytes,
					    (double)limits->max_header_bytes);
	path.field = DW_CHECK_IDLE_TIMEOUT;
	if (limits->idle_timeout_ms > 0 && limits->idle_timeout_ms < limits->header_timeout_ms)
		dw_check_report_add_numbers(report, DW_FINDING_IDLE_UNDER_HEADER_TIMEOUT, path,
					    limits->idle_timeout_ms, limits->header_timeout_ms);
	check_header_limit(index, path, report);
}

void dw_config_check(const struct dw_check_index *index, struct dw_check_report *report)
{
	if (index->route_count == 0)
		dw_check_report_add(report, DW_FINDING_NO_ROUTES,
				    path_of(DW_CHECK_FILE, 0, NULL, DW_CHECK_NO_FIELD));
	for (size_t i = 0; i < index->route_count; i++)
		check_route(index, i, report);
	for (size_t i = 0; i < index->service_count; i++)
		check_service(index, i, report);
	for (size_t i = 0; i < index->organisation_count; i++)
		check_organisation(index, i, report);
	check_limits(index, report);
}
