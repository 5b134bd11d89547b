/**
 * @file metrics.h
 * Results of replaying a trace under one strategy.
 */
#ifndef WHARF_REPLAY_METRICS_H
#define WHARF_REPLAY_METRICS_H

#include "wharf-replay/trace.h"

#define METRICS_BINS 60

enum outcome {
	OUTCOME_NONE,
	OUTCOME_ANSWERED,
	OUTCOME_FORBIDDEN, /* the organisation may not use the model */
	OUTCOME_REFUSED_LATE, /* could not finish by its deadline; not run */
	OUTCOME_REFUSED_FULL, /* the queue was full; not run */
	OUTCOME_EXPIRED, /* could no longer finish by its deadline while queued; not run */
	OUTCOME_TIMED_OUT, /* a later step or attempt could not finish by the deadline */
	OUTCOME_FAILED, /* every attempt failed */
	OUTCOME_COUNT
};

/* Result of one request. */
struct result {
	enum outcome outcome;
	bool met; /* answered in time, at or above the quality target */
	bool exposed; /* a bad answer caused by a bad version was released */
	bool was_run_again; /* on another version, because the first answer was bad */
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
	uint32_t engine_crashes; /* by overload */
	uint32_t retries;
	uint64_t held_at_us; /* when the first instance held a version; 0 for never */
	uint64_t cost_micros;
	double cost_per_met_micros;
	double met_share; /* of the permitted requests */
	double small_met_share; /* the same for organisations with weight 1 */
	struct percentiles all; /* model requests; services are in a class of their own */
	struct percentiles classes[TRACE_CLASSES_MAX];
	/* By time of arrival, for report_plot(). */
	struct {
		uint64_t latency_us; /* mean */
		uint64_t cost_micros;
		uint32_t answered;
		uint32_t exposed;
		uint32_t refused; /* neither answered nor forbidden */
	} bins[METRICS_BINS];
};

/* Computes the metrics from the results of all requests of the trace. */
void metrics_aggregate(struct metrics *metrics, const struct trace *trace,
		       const struct result *results);

/*
 * Ratios of run @p a to run @p b, over the requests that both served; otherwise a run that lost its
 * long requests would look fast or cheap. The p95 ratio is over the requests that both answered, of
 * one class or, for class -1, all model requests. The cost ratio is over those that both answered
 * in time and at the quality target. Both are 1 if there are no such requests.
 */
double metrics_p95_ratio(const struct trace *trace, const struct result *a, const struct result *b,
			 int class);
double metrics_cost_ratio(const struct trace *trace, const struct result *a,
			  const struct result *b);

const char *outcome_name(enum outcome outcome);

#endif
