/**
 * @file router.h
 * What all requests of this instance share when they look for an engine: the view, the connections
 * to engines, the retry budgets and the speeds learnt of models.
 */
#ifndef GATEWAY_ROUTER_H
#define GATEWAY_ROUTER_H

#include <dragonflywharf/model_escalation.h>
#include <dragonflywharf/graceful_shutdown.h>
#include <dragonflywharf/retry_window.h>

#include "base/histogram.h"
#include "net/http_link.h"
#include "wharf-gateway/view.h"

struct service_budget;
struct model_record;
struct escalation_record;

struct router {
	uv_loop_t *loop;
	const struct gateway_settings *settings;
	struct dw_log *log;
	struct dw_counters *counters;
	struct view *view;
	struct http_pool *pool;
	struct service_budget *budgets; /**< by service */
	struct model_record *models; /**< by name */
	struct escalation_record *ladders; /**< by route */
	uint64_t random;
	struct dw_graceful_shutdown stop;
	struct histogram first_byte; /**< of answers passed on */
	struct histogram whole_answer;
	struct histogram refusal;
	uint32_t in_progress; /**< requests */
};

void router_init(struct router *router, uv_loop_t *loop, struct view *view);
void router_close(struct router *router);

uint64_t router_random(struct router *router);

/** A caller's request for a service, for its retry budget. */
void router_count_request(struct router *router, const char *service, uint64_t now_us);
/** Repeated sends that the budget of the service has room for. */
uint32_t router_retries_left(struct router *router, const char *service, uint64_t now_us);
void router_take_retry(struct router *router, const char *service, uint64_t now_us);

/** What was learnt of a route's models; valid until the router closes. */
struct dw_escalation_stats *router_escalation_stats(struct router *router, const char *route);

/** Speed learnt of a model; valid until the router closes. */
struct dw_model_speed *router_speed(struct router *router, const char *name);

/** This instance's part of what cold engines of the service bear. */
struct dw_cold_rate_limit router_cold_share(const struct router *router,
					    const struct dw_service_rule *service, uint64_t now_us);

#endif
