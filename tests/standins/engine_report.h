/**
 * @file engine_report.h
 * A history of the engine stand-in's load, from which it reports values of some time ago.
 */
#ifndef TESTS_STANDINS_ENGINE_REPORT_H
#define TESTS_STANDINS_ENGINE_REPORT_H

#include <stdint.h>

#define ENGINE_REPORT_SAMPLES 1024
#define ENGINE_REPORT_PERIOD_MS 10

struct engine_load {
	uint64_t at_us;
	uint64_t incarnation;
	uint64_t running;
	uint64_t queued;
	uint64_t tokens_per_s;
};

struct engine_report {
	struct engine_load samples[ENGINE_REPORT_SAMPLES]; /**< ring buffer */
	uint64_t count; /**< samples ever added */
};

void engine_report_add(struct engine_report *report, const struct engine_load *load);

/** Returns the latest sample at or before @p at_us, or else the oldest one; NULL if empty. */
const struct engine_load *engine_report_at(const struct engine_report *report, uint64_t at_us);

#endif
