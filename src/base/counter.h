/**
 * @file counter.h
 * Metric counters of one process, exported in the Prometheus text format.
 */
#ifndef WHARF_BASE_COUNTER_H
#define WHARF_BASE_COUNTER_H

#include <stddef.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

enum dw_counter {
	DW_COUNTER_REQUESTS,
	DW_COUNTER_REQUESTS_DONE,
	DW_COUNTER_REQUESTS_REFUSED,
	DW_COUNTER_REQUESTS_FAILED,
	DW_COUNTER_CALLERS_GONE,
	DW_COUNTER_ATTEMPTS,
	DW_COUNTER_ATTEMPTS_FAILED,
	DW_COUNTER_ATTEMPTS_ABANDONED,
	DW_COUNTER_RETRIES,
	DW_COUNTER_RETRIES_DENIED,
	DW_COUNTER_CASCADE_STEPS,
	DW_COUNTER_CASCADE_RELEASED,
	DW_COUNTER_CROSSED_ANSWERS,
	DW_COUNTER_CONFIG_APPLIED,
	DW_COUNTER_CONFIG_REFUSED,
	DW_COUNTER_USAGE_RECORDS,
	DW_COUNTER_USAGE_EXPOSED,
	DW_COUNTER_BAD_INPUTS,
	DW_COUNTER_STORE_FAILURES,
	DW_COUNTER_COUNT
};

struct dw_counters {
	uint64_t values[DW_COUNTER_COUNT];
};

static inline void dw_counters_add(struct dw_counters *counters, enum dw_counter counter,
				   uint64_t n)
{
	counters->values[counter] += n;
}

/** Formats all counters. The caller frees the string; NULL if out of memory. */
char *dw_counters_format(const struct dw_counters *counters, size_t *len);

#ifdef __cplusplus
}
#endif

#endif
