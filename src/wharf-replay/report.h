/**
 * @file report.h
 * The strategies' figures side by side: a table, JSON, and a picture.
 */
#ifndef WHARF_REPLAY_REPORT_H
#define WHARF_REPLAY_REPORT_H

#include <json-c/json.h>

#include "wharf-replay/metrics.h"
#include "wharf-replay/strategy.h"

/* What all strategies came to on one trace. */
struct replay {
	const struct trace *trace;
	struct metrics metrics[STRATEGY_COUNT];
	struct result *results[STRATEGY_COUNT]; /* a row for each request */
	size_t differences; /* of the policy from the naive version */
};

/* The figures by name, each strategy's below its own name, and "ratios" between them. */
struct json_object *report_json(const struct replay *replay);

void report_table(const struct replay *replay, FILE *file);

/* Latency, cost, refusals and bad answers over time, one line a strategy, as an SVG image. */
void report_plot(const struct replay *replay, FILE *file);

#endif
