/**
 * @file gateway_metrics.h
 * The text of the gateway's metrics address: counters, latencies, and what it believes now.
 */
#ifndef GATEWAY_GATEWAY_METRICS_H
#define GATEWAY_GATEWAY_METRICS_H

#include "wharf-gateway/router.h"

/** In the Prometheus text format; freed by the caller, NULL without memory. */
char *gateway_metrics_text(const struct router *router, const struct dw_store *store, size_t *len);

#endif
