/**
 * @file workload.h
 * Seeded traces of the two kinds of workload.
 */
#ifndef WHARF_REPLAY_WORKLOAD_H
#define WHARF_REPLAY_WORKLOAD_H

#include "wharf-replay/trace.h"

enum workload_scenario {
	WORKLOAD_STEADY,
	WORKLOAD_BAD_VERSION, /* the newer version of the best model turns bad */
	WORKLOAD_DOMAIN, /* a failure domain is taken out and brought back cold */
	WORKLOAD_COLD, /* engines turn cold without warning */
	WORKLOAD_SCENARIO_COUNT
};

struct workload_options {
	const char *name; /* "haarlemmerland" or "atlas" */
	enum workload_scenario scenario;
	uint64_t seed;
	/* Work of the requests if the best model ran all of them, as a part of what its engines
	 * do with all slots busy. */
	uint32_t load_permille;
	uint32_t seconds;
};

/* The scenario of that name; WORKLOAD_SCENARIO_COUNT if there is none. */
enum workload_scenario workload_scenario_of(const char *name);

/* DW_NOT_FOUND for an unknown name. */
enum dw_status workload_generate(const struct workload_options *options, struct trace *out);

#endif
