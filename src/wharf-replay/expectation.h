/**
 * @file expectation.h
 * Expected results of a replay, as bounds on the numbers of its report. docs/TRACES.md describes
 * the file format.
 */
#ifndef WHARF_REPLAY_EXPECTATION_H
#define WHARF_REPLAY_EXPECTATION_H

#include <json-c/json.h>

#include "wharf-replay/workload.h"

struct expectation {
	struct json_object *file;
	char workload[TRACE_NAME_BYTES];
	struct workload_options options;
	uint64_t replay_seed;
};

/* Reads the file: the options that generate its trace, and the bounds. */
enum dw_status expectation_read(struct expectation *expectation, const char *path);

/* Prints each bound with the measured value and returns the number of bounds that are not kept. */
int expectation_check(const struct expectation *expectation, struct json_object *report, FILE *out);

void expectation_free(struct expectation *expectation);

#endif
