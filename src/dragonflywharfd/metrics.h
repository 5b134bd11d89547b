/**
 * @file metrics.h
 * Metrics in the Prometheus text format: requests, peer traffic, store calls, CPU and memory.
 */
#ifndef DAEMON_METRICS_H
#define DAEMON_METRICS_H

#include "dragonflywharfd/daemon.h"

/** Formats all metrics; the caller frees the text. @return NULL if out of memory */
char *metrics_text(struct daemon *daemon, size_t *len);

#endif
