/**
 * @file gateway_metrics.h
 * The text served at the metrics address: counters, latency histograms and gauges.
 */
#ifndef GATEWAY_GATEWAY_METRICS_H
#define GATEWAY_GATEWAY_METRICS_H

#include <dragonflywharf/caller_budget.h>

#include "wharf-gateway/router.h"
#include "wharf-gateway/view_server.h"
#include "wharf-gateway/view_sync.h"

/** What the metrics are read from. */
struct gateway_metrics {
	const struct router *router;
	const struct dw_store *store;
	const struct view_sync *view_sync;
	const struct view_server *view_server;
	const struct dw_caller_budget *caller_budget;
};

/** Metrics in the Prometheus text format; freed by the caller, NULL if out of memory. */
char *gateway_metrics_text(const struct gateway_metrics *metrics, size_t *len);

#endif
