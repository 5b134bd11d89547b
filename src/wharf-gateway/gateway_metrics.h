/**
 * @file gateway_metrics.h
 * The text served at the metrics address: counters, latency histograms and gauges.
 */
#ifndef GATEWAY_GATEWAY_METRICS_H
#define GATEWAY_GATEWAY_METRICS_H

#include "wharf-gateway/router.h"

/** Metrics in the Prometheus text format; freed by the caller, NULL if out of memory. */
char *gateway_metrics_text(const struct router *router, const struct dw_store *store, size_t *len);

#endif
