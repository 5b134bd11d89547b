/**
 * @file histogram.h
 * A latency histogram with fixed bucket bounds, exported in the Prometheus text format.
 */
#ifndef WHARF_BASE_HISTOGRAM_H
#define WHARF_BASE_HISTOGRAM_H

#include <stdint.h>
#include <stdio.h>

#ifdef __cplusplus
extern "C" {
#endif

#define HISTOGRAM_BUCKETS 14

/** Zero-initialise before first use. */
struct histogram {
	uint64_t counts[HISTOGRAM_BUCKETS + 1]; /**< not cumulative; the last is the +Inf bucket */
	uint64_t sum_us;
};

void histogram_add(struct histogram *histogram, uint64_t value_us);

/** Writes the histogram under the metric name "dragonflywharf_NAME_seconds". */
void histogram_write(const struct histogram *histogram, const char *name, const char *help,
		     FILE *out);

#ifdef __cplusplus
}
#endif

#endif
