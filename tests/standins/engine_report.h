/**
 * @file engine_report.h
 * The engine stand-in's load reports, which tell what was true some time ago.
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
	struct engine_load samples[ENGINE_REPORT_SAMPLES]; /**< a ring */
	uint64_t count; /**< samples ever taken */
};

void engine_report_add(struct engine_report *report, const struct engine_load *load);

/** The latest sample taken at or before @p at_us; the oldest kept if there is none. */
const struct engine_load *engine_report_at(const struct engine_report *report, uint64_t at_us);

#endif
