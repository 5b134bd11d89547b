/**
 * @file expectation.h
 * Stated outcomes of a replay: docs/TRACES.md has the format of the file.
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

/* Reads the file: the trace that it speaks of and the bounds. */
enum dw_status expectation_read(struct expectation *expectation, const char *path);

/* Prints each bound with the figure found; how many aren't kept. */
int expectation_check(const struct expectation *expectation, struct json_object *report,
		      FILE *file);

void expectation_free(struct expectation *expectation);

#endif
