#include "wharf-replay/metrics.h"

#include <stdlib.h>

const char *outcome_name(enum outcome outcome)
{
	static const char *const names[OUTCOME_COUNT] = {
		[OUTCOME_NONE] = "none",
		[OUTCOME_ANSWERED] = "answered",
		[OUTCOME_FORBIDDEN] = "forbidden",
		[OUTCOME_REFUSED_LATE] = "refused_late",
		[OUTCOME_REFUSED_FULL] = "refused_full",
		[OUTCOME_EXPIRED] = "expired",
		[OUTCOME_TIMED_OUT] = "timed_out",
		[OUTCOME_FAILED] = "failed",
	};

	return names[outcome];
}

static int compare(const void *a, const void *b)
{
	uint64_t x = *(const uint64_t *)a;
	uint64_t y = *(const uint64_t *)b;

	return x < y ? -1 : x > y;
}

static struct percentiles percentiles_of(uint64_t *latencies, uint32_t count)
{
	struct percentiles out = { .count = count };

	if (!count)
		return out;
	qsort(latencies, count, sizeof(*latencies), compare);
	out.p50_us = latencies[(count - 1) * 50 / 100];
	out.p95_us = latencies[(count - 1) * 95 / 100];
	out.p99_us = latencies[(count - 1) * 99 / 100];
	return out;
}

static bool is_of_class(const struct trace *trace, size_t request, int class)
{
	if (class < 0)
		return !trace->models[trace->requests[request].model].service;
	return trace->requests[request].class == (uint32_t) class;
}

/* Latency percentiles of @p results over the requests that @p other answered too, for one class, or
 * for all model requests if @p class is -1. */
static struct percentiles latencies_of(const struct trace *trace, const struct result *results,
				       const struct result *other, int class, uint64_t *scratch)
{
	uint32_t count = 0;

	for (size_t i = 0; i < trace->request_count; i++) {
		if (is_of_class(trace, i, class) && results[i].outcome == OUTCOME_ANSWERED &&
		    other[i].outcome == OUTCOME_ANSWERED)
			scratch[count++] = results[i].latency_us;
	}
	return percentiles_of(scratch, count);
}

static uint64_t *scratch_new(const struct trace *trace)
{
	uint64_t *scratch = malloc((trace->request_count + 1) * sizeof(*scratch));

	if (!scratch)
		abort();
	return scratch;
}

double metrics_p95_ratio(const struct trace *trace, const struct result *a, const struct result *b,
			 int class)
{
	uint64_t *scratch = scratch_new(trace);
	struct percentiles of_a = latencies_of(trace, a, b, class, scratch);
	struct percentiles of_b = latencies_of(trace, b, a, class, scratch);

	free(scratch);
	return of_b.p95_us ? (double)of_a.p95_us / (double)of_b.p95_us : 1.0;
}

double metrics_cost_ratio(const struct trace *trace, const struct result *a, const struct result *b)
{
	double cost_a = 0.0;
	double cost_b = 0.0;

	for (size_t i = 0; i < trace->request_count; i++) {
		if (!a[i].met || !b[i].met)
			continue;
		cost_a += (double)a[i].cost_micros;
		cost_b += (double)b[i].cost_micros;
	}
	return cost_b > 0.0 ? cost_a / cost_b : 1.0;
}

static void add_to_bin(struct metrics *metrics, const struct trace *trace,
		       const struct trace_request *request, const struct result *result)
{
	uint64_t span_us = trace->requests[trace->request_count - 1].at_us + 1;
	size_t bin = (size_t)(request->at_us * METRICS_BINS / span_us);

	metrics->bins[bin].cost_micros += result->cost_micros;
	metrics->bins[bin].exposed += result->exposed;
	if (result->outcome == OUTCOME_ANSWERED) {
		metrics->bins[bin].answered++;
		metrics->bins[bin].latency_us += result->latency_us;
	} else if (result->outcome != OUTCOME_FORBIDDEN) {
		metrics->bins[bin].refused++;
	}
}

/* met_share over the organisations with weight 1. */
static double small_met_share(const struct trace *trace, const struct result *results)
{
	uint32_t permitted = 0;
	uint32_t met = 0;

	for (size_t i = 0; i < trace->request_count; i++) {
		uint32_t organisation = trace->requests[i].organisation;

		if (trace->organisations[organisation].weight > 1 ||
		    results[i].outcome == OUTCOME_FORBIDDEN)
			continue;
		permitted++;
		met += results[i].met;
	}
	return permitted ? (double)met / permitted : 1.0;
}

void metrics_aggregate(struct metrics *metrics, const struct trace *trace,
		       const struct result *results)
{
	uint64_t *scratch = scratch_new(trace);
	size_t permitted;

	for (size_t i = 0; i < trace->request_count; i++) {
		const struct result *result = &results[i];

		metrics->outcomes[result->outcome]++;
		metrics->met += result->met;
		metrics->late += result->outcome == OUTCOME_ANSWERED &&
				 result->ended_us > trace->requests[i].deadline_us;
		metrics->exposed += result->exposed;
		metrics->cost_micros += result->cost_micros;
		add_to_bin(metrics, trace, &trace->requests[i], result);
	}
	for (size_t i = 0; i < METRICS_BINS; i++) {
		if (metrics->bins[i].answered)
			metrics->bins[i].latency_us /= metrics->bins[i].answered;
	}
	permitted = trace->request_count - metrics->outcomes[OUTCOME_FORBIDDEN];
	if (metrics->met)
		metrics->cost_per_met_micros = (double)metrics->cost_micros / metrics->met;
	if (permitted)
		metrics->met_share = (double)metrics->met / (double)permitted;
	metrics->small_met_share = small_met_share(trace, results);
	metrics->all = latencies_of(trace, results, results, -1, scratch);
	for (uint32_t class = 0; class < trace->class_count; class ++)
		metrics->classes[class] =
			latencies_of(trace, results, results, (int)class, scratch);
	free(scratch);
}
