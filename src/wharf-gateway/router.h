/**
 * @file router.h
 * State that all requests of this instance share for routing: the view of the platform, the connection
 * pool, the retry budgets, the learnt speeds of models, and latency histograms.
 */
#ifndef GATEWAY_ROUTER_H
#define GATEWAY_ROUTER_H

#include <dragonflywharf/model_escalation.h>
#include <dragonflywharf/graceful_shutdown.h>
#include <dragonflywharf/retry_window.h>

#include "base/histogram.h"
#include "net/http_connection.h"
#include "wharf-gateway/view.h"

struct admission_gate;
struct service_budget;
struct escalation_record;
struct work_record;

/** Models whose speed is remembered. */
#define ROUTER_MODELS_MAX 64

struct router_model {
	uint64_t hash; /**< of its name */
	uint64_t used; /**< number of the last use; 0: free place */
	struct dw_model_speed speed;
};

struct router {
	uv_loop_t *loop;
	const struct gateway_settings *settings;
	struct dw_log *log;
	struct dw_counters *counters;
	struct view *view;
	struct http_pool *pool;
	struct admission_gate
		*admission; /**< where requests wait for the configuration or engines */
	struct service_budget *budgets; /**< keyed by service */
	struct router_model models[ROUTER_MODELS_MAX];
	uint64_t models_used; /**< how often one was looked up */
	struct escalation_record *escalations; /**< keyed by route */
	struct work_record *work; /**< keyed by service */
	uint64_t random;
	struct dw_graceful_shutdown stop;
	struct histogram first_byte; /**< time from a request to the first byte of its answer */
	struct histogram whole_answer;
	struct histogram refusal;
	uint32_t in_progress; /**< number of requests being answered */
	uint64_t pause_waits; /**< requests that waited as all engines had asked for a pause */
	uint64_t pause_refusals; /**< requests refused for that */
};

void router_init(struct router *router, uv_loop_t *loop, struct view *view);
void router_close(struct router *router);

uint64_t router_random(struct router *router);

/** Counts a caller's request, which adds to the retry budget of its service. */
void router_count_request(struct router *router, const char *service, uint64_t now_us);
/** Number of retries left in the budget of the service. */
uint32_t router_retries_left(struct router *router, const char *service, uint64_t now_us);
/** Takes one retry from the budget of the service. */
void router_take_retry(struct router *router, const char *service, uint64_t now_us);

/** What was learnt about the models of a route; valid until the router closes. */
struct dw_escalation_stats *router_escalation_stats(struct router *router, const char *route);

/** The learnt speed of a model; valid until the router closes. */
struct dw_model_speed *router_speed(struct router *router, const char *name);

/** What was learnt about the work of a service's requests; valid until the router closes. */
struct dw_work_stats *router_work_stats(struct router *router, const char *service);

/** The rate limit for cold engines of the service, and what divides it among the instances. */
struct dw_cold_rate_limit router_cold_rate_limit(const struct router *router,
						 const struct dw_service_rule *service,
						 uint64_t now_us);

#endif
