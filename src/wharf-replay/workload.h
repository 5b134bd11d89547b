/**
 * @file workload.h
 * Generates traces of two synthetic workloads from a seed.
 */
#ifndef WHARF_REPLAY_WORKLOAD_H
#define WHARF_REPLAY_WORKLOAD_H

#include "wharf-replay/trace.h"

enum workload_scenario {
	WORKLOAD_STEADY,
	WORKLOAD_BAD_VERSION, /* the newer version of the large model begins to give bad answers */
	WORKLOAD_DOMAIN, /* a failure domain is taken out of service and comes back cold */
	WORKLOAD_COLD, /* engines begin cold starts unannounced */
	WORKLOAD_SCENARIO_COUNT
};

struct workload_options {
	const char *name; /* "haarlemmerland" or "atlas" */
	enum workload_scenario scenario;
	uint64_t seed;
	/* Load on the engines of the large model if it ran all model requests; 1000 keeps all slots
	 * busy. */
	uint32_t load_permille;
	uint32_t seconds;
};

/* Returns the scenario of that name; WORKLOAD_SCENARIO_COUNT if there is none. */
enum workload_scenario workload_scenario_of(const char *name);

/* Returns DW_NOT_FOUND if options->name is unknown. */
enum dw_status workload_generate(const struct workload_options *options, struct trace *out);

#endif
