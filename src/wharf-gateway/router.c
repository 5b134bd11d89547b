#include "wharf-gateway/router.h"

#include <stdlib.h>
#include <string.h>

#include <uthash.h>

#include <dragonflywharf/rendezvous.h>

#include "base/clock.h"
#include "base/random.h"
#include "wharf-gateway/admission_gate.h"

#define MAX_HEAD_BYTES 32768
#define MAX_IDLE_LINKS 4
#define IDLE_TIMEOUT_MS 4000
#define UNACKNOWLEDGED_TIMEOUT_MS 1500

struct service_budget {
	char *service;
	struct dw_retry_window window;
	UT_hash_handle hh;
};

struct escalation_record {
	char *route;
	struct dw_escalation_stats stats;
	UT_hash_handle hh;
};

struct work_record {
	char *service;
	struct dw_work_stats stats;
	UT_hash_handle hh;
};

void router_init(struct router *router, uv_loop_t *loop, struct view *view)
{
	struct http_pool_options options = {
		.loop = loop,
		.max_idle = MAX_IDLE_LINKS,
		.idle_timeout_ms = IDLE_TIMEOUT_MS,
		.unacknowledged_timeout_ms = UNACKNOWLEDGED_TIMEOUT_MS,
		.max_head_bytes = MAX_HEAD_BYTES,
	};

	memset(router, 0, sizeof(*router));
	router->loop = loop;
	router->settings = view->settings;
	router->log = view->log;
	router->counters = view->counters;
	router->view = view;
	router->pool = http_pool_new(&options);
	router->admission = admission_gate_new(router, loop);
	uv_random(NULL, NULL, &router->random, sizeof(router->random), 0, NULL);
}

/* Frees a hash table of named records. HASH_CLEAR frees only the table: the records stay linked by
 * hh.next and are freed one by one. */
#define FREE_RECORDS(type, table, name)                                                            \
	do {                                                                                       \
		struct type *record = (table);                                                     \
		struct type *next;                                                                 \
		HASH_CLEAR(hh, table);                                                             \
		for (; record; record = next) {                                                    \
			next = record->hh.next;                                                    \
			free(record->name);                                                        \
			free(record);                                                              \
		}                                                                                  \
	} while (0)

void router_close(struct router *router)
{
	FREE_RECORDS(service_budget, router->budgets, service);
	FREE_RECORDS(escalation_record, router->escalations, route);
	FREE_RECORDS(work_record, router->work, service);
	admission_gate_free(router->admission);
	http_pool_free(router->pool);
}

uint64_t router_random(struct router *router)
{
	return dw_random_next(&router->random);
}

static struct dw_retry_window_options budget_options(const struct router *router, uint64_t now_us)
{
	uint32_t instances = peers_estimated_instances(&router->view->peers, now_us);
	uint32_t rank = peers_slack_rank(&router->view->peers);

	return (struct dw_retry_window_options){
		.window_us = router->settings->retry_window_ms * DW_US_PER_MS,
		.ratio_permille = (uint32_t)router->settings->retry_ratio_permille,
		.slack = dw_retry_slack_part(router->settings->retry_slack, instances, rank),
	};
}

static struct dw_retry_window *service_retry_window(struct router *router, const char *service)
{
	struct service_budget *budget;

	HASH_FIND_STR(router->budgets, service, budget);
	if (!budget) {
		budget = calloc(1, sizeof(*budget));
		if (!budget)
			abort();
		budget->service = strdup(service);
		HASH_ADD_KEYPTR(hh, router->budgets, budget->service, strlen(budget->service),
				budget);
	}
	return &budget->window;
}

void router_count_request(struct router *router, const char *service, uint64_t now_us)
{
	struct dw_retry_window_options options = budget_options(router, now_us);

	dw_retry_window_request(service_retry_window(router, service), &options, now_us);
}

uint32_t router_retries_left(struct router *router, const char *service, uint64_t now_us)
{
	struct dw_retry_window_options options = budget_options(router, now_us);

	return dw_retry_window_remaining(service_retry_window(router, service), &options, now_us);
}

void router_take_retry(struct router *router, const char *service, uint64_t now_us)
{
	struct dw_retry_window_options options = budget_options(router, now_us);

	dw_counters_add(router->counters, DW_COUNTER_RETRIES, 1);
	dw_retry_window_take(service_retry_window(router, service), &options, now_us);
}

struct dw_escalation_stats *router_escalation_stats(struct router *router, const char *route)
{
	struct escalation_record *record;

	HASH_FIND_STR(router->escalations, route, record);
	if (!record) {
		record = calloc(1, sizeof(*record));
		if (!record)
			abort();
		record->route = strdup(route);
		HASH_ADD_KEYPTR(hh, router->escalations, record->route, strlen(record->route),
				record);
	}
	return &record->stats;
}

/* Callers name models, so their number isn't known: the one that was asked for longest ago makes room. An attempt
 * that still learns from it then learns for the next one, which does little harm. */
struct dw_model_speed *router_speed(struct router *router, const char *name)
{
	uint64_t hash = dw_model_hash(name);
	struct router_model *oldest = &router->models[0];
	struct router_model *model;

	for (uint32_t i = 0; i < ROUTER_MODELS_MAX; i++) {
		model = &router->models[i];
		if (model->used > 0 && model->hash == hash) {
			model->used = ++router->models_used;
			return &model->speed;
		}
		if (model->used < oldest->used)
			oldest = model;
	}
	*oldest = (struct router_model){ .hash = hash, .used = ++router->models_used };
	return &oldest->speed;
}

struct dw_work_stats *router_work_stats(struct router *router, const char *service)
{
	struct work_record *record;

	HASH_FIND_STR(router->work, service, record);
	if (!record) {
		record = calloc(1, sizeof(*record));
		if (!record)
			abort();
		record->service = strdup(service);
		HASH_ADD_KEYPTR(hh, router->work, record->service, strlen(record->service), record);
	}
	return &record->stats;
}

struct dw_cold_rate_limit router_cold_rate_limit(const struct router *router,
						 const struct dw_service_rule *service,
						 uint64_t now_us)
{
	const struct gateway_settings *settings = router->settings;
	struct dw_cold_rate_limit limit = { 0 };

	if (!service || service->cold_requests_per_s <= 0)
		return limit;
	limit.is_limited = true;
	limit.total_per_s = (uint32_t)(service->cold_requests_per_s *
				       (double)settings->cold_overshoot_permille / 1000) +
			    (uint32_t)settings->cold_slack;
	limit.instances = peers_estimated_instances(&router->view->peers, now_us);
	limit.instance_hash = dw_rendezvous_key(settings->instance, strlen(settings->instance));
	return limit;
}
