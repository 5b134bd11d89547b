#include "dragonflywharfd/dispatcher.h"

#include <stdlib.h>
#include <string.h>

#include <xxhash.h>

#include "dragonflywharfd/upstream_table.h"

/** Waiting time that is accepted to avoid a request to another failure domain. */
#define CROSS_DOMAIN_COST_US 10000U
#define POOL_ID_UNUSED 0
#define POOL_UPDATE_PERIOD_US (100 * DW_US_PER_MS)
#define ORGANISATION_PREFIX "organisation/"
/** Maximum number of permits requested from peers at once, for each upstream of a pool. */
#define PERMIT_REQUEST_MAX 16U

struct pool {
	uint64_t id; /* POOL_ID_UNUSED if the entry is free */
	char model[DW_NAME_MAX_BYTES + 1];
	char version[DW_NAME_MAX_BYTES + 1];
	bool is_service;
	uint32_t waiting;
};

struct dispatcher {
	struct daemon *daemon;
	struct dw_admission *admission;
	struct pool pools[DW_ADMISSION_POOLS_MAX];
	char domains[DW_ROUTE_DOMAINS_MAX][DW_NAME_MAX_BYTES + 1];
	uint32_t domain_count;
	uint32_t *link_cost_us;
	uint64_t next_pool_update_us; /* next periodic update of the pools */
	bool pumping;
	bool pump_requested;
};

struct candidates {
	struct dw_route_candidate items[DW_ROUTE_CANDIDATES_MAX];
	struct upstream *upstreams[DW_ROUTE_CANDIDATES_MAX];
	size_t count;
};

struct dispatcher *dispatcher_new(struct daemon *daemon)
{
	struct dispatcher *dispatcher = calloc(1, sizeof(*dispatcher));
	size_t matrix_size = (size_t)DW_ROUTE_DOMAINS_MAX * DW_ROUTE_DOMAINS_MAX;

	if (!dispatcher)
		abort();
	dispatcher->daemon = daemon;
	dispatcher->admission = dw_admission_new(daemon->settings.queue_capacity);
	dispatcher->link_cost_us = calloc(matrix_size, sizeof(*dispatcher->link_cost_us));
	if (!dispatcher->admission || !dispatcher->link_cost_us)
		abort();
	for (size_t i = 0; i < matrix_size; i++) {
		if (i / DW_ROUTE_DOMAINS_MAX != i % DW_ROUTE_DOMAINS_MAX)
			dispatcher->link_cost_us[i] = CROSS_DOMAIN_COST_US;
	}
	return dispatcher;
}

/* Returns a failure domain's index; all domains that don't fit share the last one. */
static uint32_t domain_index(struct dispatcher *dispatcher, const char *name)
{
	for (uint32_t i = 0; i < dispatcher->domain_count; i++) {
		if (strcmp(dispatcher->domains[i], name) == 0)
			return i;
	}
	if (dispatcher->domain_count == DW_ROUTE_DOMAINS_MAX)
		return DW_ROUTE_DOMAINS_MAX - 1;
	snprintf(dispatcher->domains[dispatcher->domain_count], DW_NAME_MAX_BYTES + 1, "%s", name);
	return dispatcher->domain_count++;
}

static void add_candidate(struct dispatcher *dispatcher, const struct dw_upstream *config,
			  struct candidates *out)
{
	struct daemon *daemon = dispatcher->daemon;
	struct upstream *upstream = upstream_table_by_name(daemon->upstreams, config->name);
	struct dw_route_candidate *item;

	if (!upstream || !upstream->usable || out->count == DW_ROUTE_CANDIDATES_MAX)
		return;
	item = &out->items[out->count];
	memset(item, 0, sizeof(*item));
	item->upstream_id = upstream->id;
	item->failure_domain = domain_index(dispatcher, upstream->failure_domain);
	item->permits = dw_limiter_available_permits(daemon->limiter, upstream->id, &item->limit);
	item->cold = upstream->reported_cold && !upstream->is_service;
	item->suspect = upstream->consecutive_failures > 0;
	item->load = &upstream->load;
	item->slow_start = upstream->slow_start;
	out->upstreams[out->count++] = upstream;
}

static void collect_candidates(struct dispatcher *dispatcher, const char *model,
			       const char *version, struct candidates *out)
{
	const struct dw_ruleset *ruleset = dispatcher->daemon->ruleset;
	const struct dw_upstream *const *upstreams = NULL;
	size_t count = 0;

	out->count = 0;
	if (version) {
		const struct dw_version *found = dw_ruleset_version(ruleset, model, version);

		upstreams = found ? found->upstreams : NULL;
		count = found ? found->upstream_count : 0;
	} else {
		const struct dw_service *found = dw_ruleset_service(ruleset, model);

		upstreams = found ? found->upstreams : NULL;
		count = found ? found->upstream_count : 0;
	}
	for (size_t i = 0; i < count; i++)
		add_candidate(dispatcher, upstreams[i], out);
}

static void collect_pool_candidates(struct dispatcher *dispatcher, const struct pool *pool,
				    struct candidates *out)
{
	collect_candidates(dispatcher, pool->model, pool->is_service ? NULL : pool->version, out);
}

static uint32_t live_instances(const struct dispatcher *dispatcher)
{
	size_t count = dw_membership_live_count(dispatcher->daemon->membership);

	return count ? (uint32_t)count : 1;
}

/*
 * How many requests the pool runs at once for this instance: an even share of the upstreams'
 * limits, or what is in flight plus the free permits if that is more, as other instances may not
 * use their shares.
 */
static uint32_t pool_parallelism(struct dispatcher *dispatcher, const struct pool *pool)
{
	struct candidates candidates;
	uint64_t parallelism = 0;
	uint64_t own_capacity = 0;

	collect_pool_candidates(dispatcher, pool, &candidates);
	for (size_t i = 0; i < candidates.count; i++) {
		parallelism += candidates.items[i].limit;
		own_capacity += candidates.items[i].load->in_flight + candidates.items[i].permits;
	}
	parallelism /= live_instances(dispatcher);
	if (own_capacity > parallelism)
		parallelism = own_capacity;
	return parallelism ? (uint32_t)parallelism : 1;
}

static void update_pool(struct dispatcher *dispatcher, size_t index)
{
	dw_admission_set_pool(dispatcher->admission, (uint32_t)index,
			      pool_parallelism(dispatcher, &dispatcher->pools[index]));
}

static uint64_t pool_id(const char *model, const char *version)
{
	uint64_t id = XXH64(model, strlen(model), version ? 1 : 2);

	if (version)
		id = XXH64(version, strlen(version), id);
	return id | 1;
}

/* Returns the index of a version's or service's pool, -1 if it has none yet. */
static int32_t find_pool(const struct dispatcher *dispatcher, const char *model,
			 const char *version)
{
	uint64_t id = pool_id(model, version);

	for (int32_t i = 0; i < DW_ADMISSION_POOLS_MAX; i++) {
		if (dispatcher->pools[i].id == id)
			return i;
	}
	return -1;
}

/* Like find_pool(), but creates a missing pool; -1 if all pools are in use. */
static int32_t find_or_add_pool(struct dispatcher *dispatcher, const char *model,
				const char *version)
{
	uint64_t id = pool_id(model, version);
	int32_t unused = -1;

	for (int32_t i = 0; i < DW_ADMISSION_POOLS_MAX; i++) {
		struct pool *pool = &dispatcher->pools[i];

		if (pool->id == id)
			return i;
		if (unused < 0 && pool->id == POOL_ID_UNUSED)
			unused = i;
	}
	if (unused >= 0) {
		struct pool *pool = &dispatcher->pools[unused];

		pool->id = id;
		pool->is_service = !version;
		snprintf(pool->model, sizeof(pool->model), "%s", model);
		snprintf(pool->version, sizeof(pool->version), "%s", version ? version : "");
		update_pool(dispatcher, (size_t)unused);
	}
	return unused;
}

static void update_organisation(const struct dw_ruleset_item *item, void *data)
{
	struct dispatcher *dispatcher = data;
	const char *name = item->key + strlen(ORGANISATION_PREFIX);
	const struct dw_organisation *organisation =
		dw_ruleset_organisation(dispatcher->daemon->ruleset, name);
	uint32_t limit;

	if (!organisation)
		return;
	limit = organisation->max_in_flight / live_instances(dispatcher);
	if (organisation->max_in_flight > 0 && limit == 0)
		limit = 1;
	dw_admission_set_organisation(dispatcher->admission, XXH64(name, strlen(name), 0),
				      organisation->weight, limit);
}

static void update_all_pools(struct dispatcher *dispatcher)
{
	dispatcher->next_pool_update_us = dw_clock_now_us() + POOL_UPDATE_PERIOD_US;
	for (size_t i = 0; i < DW_ADMISSION_POOLS_MAX; i++) {
		if (dispatcher->pools[i].id != POOL_ID_UNUSED)
			update_pool(dispatcher, i);
	}
}

void dispatcher_refresh(struct dispatcher *dispatcher)
{
	dw_ruleset_visit_prefix(dispatcher->daemon->ruleset, ORGANISATION_PREFIX,
				update_organisation, dispatcher);
	update_all_pools(dispatcher);
}

void dispatcher_tick(struct dispatcher *dispatcher)
{
	if (dw_clock_now_us() >= dispatcher->next_pool_update_us)
		update_all_pools(dispatcher);
}

enum dw_status dispatcher_enqueue(struct dispatcher *dispatcher, struct queue_entry *queue_entry,
				  const char *model, const char *version)
{
	int32_t index = find_or_add_pool(dispatcher, model, version);
	struct dw_admission_entry entry = {
		.organisation_id = queue_entry->organisation_id,
		.priority = queue_entry->priority,
		.pool = (uint32_t)index,
		.deadline_us = queue_entry->deadline_us,
		.service_us = queue_entry->service_us,
		.data = queue_entry,
	};
	enum dw_status status;

	if (index < 0)
		return dw_fail(DW_OVERLOADED, "more than %d versions and services have requests",
			       DW_ADMISSION_POOLS_MAX);
	queue_entry->pool = entry.pool;
	status = dw_admission_push(dispatcher->admission, dw_clock_now_us(), &entry,
				   &queue_entry->handle);
	if (status == DW_OK)
		dispatcher->pools[index].waiting++;
	return status;
}

static void finish_in_flight(struct dispatcher *dispatcher, struct queue_entry *queue_entry,
			     uint64_t service_us)
{
	if (!queue_entry->in_flight)
		return;
	queue_entry->in_flight = false;
	dw_admission_finished(dispatcher->admission, queue_entry->organisation_id,
			      queue_entry->pool, service_us);
}

void dispatcher_finish(struct dispatcher *dispatcher, struct queue_entry *queue_entry)
{
	if (queue_entry->handle != 0 &&
	    dw_admission_cancel(dispatcher->admission, queue_entry->handle) == DW_OK)
		dispatcher->pools[queue_entry->pool].waiting--;
	queue_entry->handle = 0;
	finish_in_flight(dispatcher, queue_entry,
			 dw_clock_now_us() - queue_entry->dispatched_at_us);
}

/* Queues an entry again that found no permit. It keeps its place, as its deadline is unchanged. */
static void requeue(struct dispatcher *dispatcher, struct queue_entry *queue_entry)
{
	struct pool *pool = &dispatcher->pools[queue_entry->pool];

	finish_in_flight(dispatcher, queue_entry, 0);
	if (dispatcher_enqueue(dispatcher, queue_entry, pool->model,
			       pool->is_service ? NULL : pool->version) != DW_OK) {
		queue_entry->handle = 0;
		queue_entry->expired(queue_entry->owner);
	}
}

static void request_permits(struct dispatcher *dispatcher, const struct candidates *candidates,
			    uint32_t count)
{
	struct daemon *daemon = dispatcher->daemon;
	uint32_t per_upstream;

	if (candidates->count == 0)
		return;
	per_upstream = count / (uint32_t)candidates->count + 1;
	if (per_upstream > PERMIT_REQUEST_MAX)
		per_upstream = PERMIT_REQUEST_MAX;
	for (size_t i = 0; i < candidates->count; i++)
		dw_limiter_request_slots(daemon->limiter, candidates->items[i].upstream_id,
					 per_upstream, dw_clock_now_us());
}

/* Returns the bit mask of the pools that can dispatch an entry; requests permits for the others. */
static uint64_t ready_pools(struct dispatcher *dispatcher)
{
	struct candidates candidates;
	uint64_t mask = 0;

	for (size_t i = 0; i < DW_ADMISSION_POOLS_MAX; i++) {
		struct pool *pool = &dispatcher->pools[i];
		bool ready = false;

		if (pool->id == POOL_ID_UNUSED || pool->waiting == 0)
			continue;
		collect_pool_candidates(dispatcher, pool, &candidates);
		for (size_t j = 0; j < candidates.count && !ready; j++)
			ready = candidates.items[j].permits > 0;
		/* Without any candidate, the owner's dispatch() chooses the error to reply. */
		if (ready || candidates.count == 0)
			mask |= UINT64_C(1) << i;
		else
			request_permits(dispatcher, &candidates, pool->waiting);
	}
	return mask;
}

static void expire_entries(struct dispatcher *dispatcher)
{
	struct dw_admission_entry entry;
	dw_admission_handle handle;

	while (dw_admission_expire(dispatcher->admission, dw_clock_now_us(), &entry, &handle) ==
	       DW_OK) {
		struct queue_entry *queue_entry = entry.data;

		dispatcher->pools[entry.pool].waiting--;
		queue_entry->handle = 0;
		queue_entry->expired(queue_entry->owner);
	}
}

static void dispatch_ready(struct dispatcher *dispatcher)
{
	uint64_t mask = ready_pools(dispatcher);
	struct dw_admission_entry entry;
	dw_admission_handle handle;

	while (mask != 0 &&
	       dw_admission_pop(dispatcher->admission, mask, &entry, &handle) == DW_OK) {
		struct queue_entry *queue_entry = entry.data;

		dispatcher->pools[entry.pool].waiting--;
		queue_entry->handle = 0;
		queue_entry->in_flight = true;
		queue_entry->dispatched_at_us = dw_clock_now_us();
		if (!queue_entry->dispatch(queue_entry->owner)) {
			requeue(dispatcher, queue_entry);
			mask &= ~(UINT64_C(1) << entry.pool);
		} else {
			mask &= ready_pools(dispatcher);
		}
	}
}

void dispatcher_pump(struct dispatcher *dispatcher)
{
	dispatcher->pump_requested = true;
	/* Dispatching an entry may finish another one, which calls this function again. */
	if (dispatcher->pumping)
		return;
	dispatcher->pumping = true;
	while (dispatcher->pump_requested) {
		dispatcher->pump_requested = false;
		expire_entries(dispatcher);
		dispatch_ready(dispatcher);
	}
	dispatcher->pumping = false;
}

size_t dispatcher_waiting(const struct dispatcher *dispatcher)
{
	return dw_admission_waiting(dispatcher->admission);
}

static bool was_tried(const struct dw_route_request *route, uint64_t upstream_id)
{
	for (size_t i = 0; i < route->tried_count; i++) {
		if (route->tried[i] == upstream_id)
			return true;
	}
	return false;
}

/* Removes the candidates on which the quarantine rules forbid this request. Returns true if one of
 * them becomes allowed once the other suspected requests there have ended. */
static bool remove_forbidden(struct dispatcher *dispatcher, const struct dispatch_request *request,
			     struct candidates *candidates)
{
	struct dw_quarantine *quarantine = dispatcher->daemon->quarantine;
	struct dw_fingerprint fingerprint = request->fingerprint;
	uint64_t now_us = dw_clock_now_us();
	bool allowed_later = false;
	size_t kept = 0;

	for (size_t i = 0; i < candidates->count; i++) {
		struct upstream *upstream = candidates->upstreams[i];

		if (!dw_quarantine_may_run(quarantine, fingerprint, upstream->id, upstream->running,
					   upstream->running_count, now_us)) {
			allowed_later = allowed_later ||
					(!was_tried(&request->route, upstream->id) &&
					 dw_quarantine_may_run(quarantine, fingerprint,
							       upstream->id, NULL, 0, now_us));
			continue;
		}
		candidates->items[kept] = candidates->items[i];
		candidates->upstreams[kept++] = upstream;
	}
	candidates->count = kept;
	return allowed_later;
}

enum dw_status dispatcher_route(struct dispatcher *dispatcher,
				const struct dispatch_request *request,
				struct dispatch_choice *choice)
{
	struct daemon *daemon = dispatcher->daemon;
	struct dw_route_policy policy = dw_route_policy_default();
	struct dw_route_request route = request->route;
	struct dw_route_choice chosen;
	struct candidates candidates;
	enum dw_status status;
	bool allowed_later;

	collect_candidates(dispatcher, request->model, request->version, &candidates);
	allowed_later = remove_forbidden(dispatcher, request, &candidates);
	policy.instances = (uint32_t)dw_membership_live_count(daemon->membership);
	policy.link_cost_us = dispatcher->link_cost_us;
	route.failure_domain = domain_index(dispatcher, daemon->settings.failure_domain);
	status = dw_route_choose(&policy, &route, candidates.items, candidates.count, &chosen);
	if (status == DW_OVERLOADED && chosen.index != DW_ROUTE_NONE)
		dw_limiter_request_slots(daemon->limiter,
					 candidates.items[chosen.index].upstream_id, 1,
					 dw_clock_now_us());
	choice->retry_later = status == DW_UNAVAILABLE && allowed_later;
	if (status != DW_OK)
		return status;
	choice->upstream = candidates.upstreams[chosen.index];
	choice->load = chosen.load;
	return dw_limiter_acquire(daemon->limiter, choice->upstream->id, dw_clock_now_us(),
				  &choice->permit);
}

static uint64_t min_expected_us(const struct candidates *candidates, uint32_t instances,
				const struct dw_route_request *route)
{
	uint64_t min_us = UINT64_MAX;

	for (size_t i = 0; i < candidates->count; i++) {
		const struct dw_upstream_load *load = candidates->items[i].load;
		uint32_t in_flight = dw_upstream_load_estimate(load, route->now_us, instances);
		uint64_t time_us = dw_upstream_load_expected_us(
			load, in_flight, route->prompt_tokens, route->output_tokens);

		if (time_us < min_us)
			min_us = time_us;
	}
	return min_us;
}

uint64_t dispatcher_expected_us(struct dispatcher *dispatcher,
				const struct queue_entry *queue_entry,
				const struct dispatch_request *request)
{
	size_t instances = dw_membership_live_count(dispatcher->daemon->membership);
	int32_t index = find_pool(dispatcher, request->model, request->version);
	struct candidates candidates;
	struct dw_admission_entry entry = {
		.organisation_id = queue_entry->organisation_id,
		.priority = queue_entry->priority,
		.deadline_us = queue_entry->deadline_us,
	};

	collect_candidates(dispatcher, request->model, request->version, &candidates);
	entry.service_us = min_expected_us(&candidates, (uint32_t)instances, &request->route);
	/* No pool yet means that nothing is queued for this version. */
	if (index < 0 || candidates.count == 0)
		return entry.service_us;
	entry.pool = (uint32_t)index;
	return entry.service_us + dw_admission_expected_wait_us(dispatcher->admission, &entry);
}
