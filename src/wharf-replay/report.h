/**
 * @file report.h
 * Reports the metrics of all strategies: as a table, as JSON and as an SVG image.
 */
#ifndef WHARF_REPLAY_REPORT_H
#define WHARF_REPLAY_REPORT_H

#include <json-c/json.h>

#include "wharf-replay/metrics.h"
#include "wharf-replay/strategy.h"

/* The results of all strategies on one trace. */
struct replay {
	const struct trace *trace;
	struct metrics metrics[STRATEGY_COUNT];
	struct result *results[STRATEGY_COUNT]; /* one for each request */
	size_t differences; /* requests that differ from the naive reference */
};

/* The metrics of each strategy below its name, and "ratios" between strategies. */
struct json_object *report_json(const struct replay *replay);

void report_table(const struct replay *replay, FILE *file);

/* Plots latency, cost, refusals and bad answers over time as an SVG image, a line for each
 * strategy. */
void report_plot(const struct replay *replay, FILE *file);

#endif
