/**
 * @file metrics.h
 * The text of /metrics: counters of requests, of the control traffic and of the process itself.
 */
#ifndef DAEMON_METRICS_H
#define DAEMON_METRICS_H

#include "dragonflywharfd/daemon.h"

/** In the Prometheus text format; freed by the caller, NULL without memory. */
char *metrics_text(struct daemon *daemon, size_t *len);

#endif
