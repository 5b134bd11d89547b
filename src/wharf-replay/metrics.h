/**
 * @file metrics.h
 * What one replay of a trace came to.
 */
#ifndef WHARF_REPLAY_METRICS_H
#define WHARF_REPLAY_METRICS_H

#include "wharf-replay/trace.h"

#define METRICS_BINS 60

enum outcome {
	OUTCOME_NONE,
	OUTCOME_ANSWERED,
	OUTCOME_FORBIDDEN, /* the organisation may not use the model */
	OUTCOME_REFUSED_LATE, /* couldn't finish by its deadline; not run */
	OUTCOME_REFUSED_FULL, /* the queue was full; not run */
	OUTCOME_EXPIRED, /* became hopeless in the queue; not run */
	OUTCOME_TIMED_OUT, /* a later step or attempt couldn't finish by the deadline */
	OUTCOME_FAILED, /* every attempt failed */
	OUTCOME_COUNT
};

/* What became of one request. */
struct result {
	enum outcome outcome;
	bool met; /* at or above the quality target and in time */
	bool exposed; /* a bad answer of a version that had turned bad was released */
	bool was_run_again; /* on another version, as the first one's answer was bad */
	uint32_t version; /* of the released answer */
	uint64_t latency_us;
	uint64_t ended_us;
	uint64_t cost_micros;
};

struct percentiles {
	uint32_t count;
	uint64_t p50_us;
	uint64_t p95_us;
	uint64_t p99_us;
};

struct metrics {
	uint32_t outcomes[OUTCOME_COUNT];
	uint32_t met;
	uint32_t late; /* answered after the deadline */
	uint32_t exposed;
	uint32_t falls; /* engines that fell over */
	uint32_t retries;
	uint64_t held_at_us; /* first instance; 0 for never */
	uint64_t cost_micros;
	double cost_per_met_micros;
	double met_share; /* of the requests that were permitted */
	double small_met_share; /* of those of organisations with the least weight */
	struct percentiles all; /* of model requests; services are a class of their own */
	struct percentiles classes[TRACE_CLASSES_MAX];
	/* For the picture: by time of arrival. */
	struct {
		uint64_t latency_us; /* mean */
		uint64_t cost_micros;
		uint32_t answered;
		uint32_t exposed;
		uint32_t refused;
	} bins[METRICS_BINS];
};

/* Sums up the results of all requests of the trace, one each. */
void metrics_sum(struct metrics *metrics, const struct trace *trace, const struct result *results);

/*
 * One run against another over the requests that both served, so that a run that lost its long
 * requests doesn't look quick or cheap by it: p95 over what both answered (of one class, or all
 * model requests for class -1; 1 if there are none), cost over what both met the target with.
 */
double metrics_p95_ratio(const struct trace *trace, const struct result *a, const struct result *b,
			 int class);
double metrics_cost_ratio(const struct trace *trace, const struct result *a,
			  const struct result *b);

const char *outcome_name(enum outcome outcome);

#endif
