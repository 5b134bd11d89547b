/**
 * @file world.h
 * The state of a replay: engines, instances, jobs and the events to come.
 */
#ifndef WHARF_REPLAY_WORLD_H
#define WHARF_REPLAY_WORLD_H

#include <dragonflywharf/slow_start.h>
#include <dragonflywharf/route.h>

#include "wharf-replay/engine.h"
#include "wharf-replay/event_queue.h"
#include "wharf-replay/instance.h"
#include "wharf-replay/metrics.h"
#include "wharf-replay/random.h"

#define WORLD_ATTEMPTS_MAX 3

/* One request on its way; its index is that of the request. */
struct job {
	uint32_t instance;
	uint8_t steps[TRACE_MODELS_MAX]; /* models to run, in order */
	uint8_t step_count;
	uint8_t position;
	uint32_t version;
	uint32_t engine;
	uint32_t load; /* of the engine, as estimated at dispatch */
	uint64_t sent_us;
	uint64_t tried[WORLD_ATTEMPTS_MAX];
	uint32_t tried_count;
	struct engine_task task; /* as it ended */
	uint32_t avoided; /* version whose bad answer is run again; TRACE_VERSIONS_MAX for none */
	bool popped; /* counts in the admission queue as in flight */
	bool spoilt; /* the answer at hand is a bad one of a version turned bad */
};

struct world {
	const struct trace *trace;
	const struct strategy *strategy;
	struct metrics *metrics;
	struct result *results;
	struct event_queue events;
	struct random_source random;
	uint64_t now_us;
	struct engine engines[TRACE_ENGINES_MAX];
	struct dw_slow_start ramps[TRACE_ENGINES_MAX];
	uint64_t suspect_until_us[TRACE_ENGINES_MAX];
	bool domain_is_out[TRACE_DOMAINS_MAX];
	uint32_t bad_permille[TRACE_VERSIONS_MAX];
	uint32_t link_cost_us[DW_ROUTE_DOMAINS_MAX * DW_ROUTE_DOMAINS_MAX];
	struct instance instances[INSTANCES_MAX];
	struct job *jobs;
	size_t open; /* requests without an outcome yet, those to come included */
};

/* The engine's failure domain takes new work. */
bool world_in_service(const struct world *world, uint32_t engine);

/* Requests that may still start there; the sharing of permits between instances is taken as
 * exact. */
uint32_t world_permits(const struct world *world, uint32_t engine);

/* The engine for a job's step by the strategy; TRACE_ENGINES_MAX if there is none. */
uint32_t world_choose_engine(struct world *world, uint32_t job);

/* The steps of a job by the strategy. */
void world_plan(struct world *world, uint32_t index);

/* Tells a job's door what its model's engines run at once for this instance: an even part, or what
 * it has in flight and could still start, if that is more. */
void world_refresh_pool(struct world *world, uint32_t index);

/* Applies one of the trace's faults; engines that come back are told by EVENT_WARM when warm. */
void world_apply_fault(struct world *world, const struct trace_fault *fault);

/* An instance tells all others of its evidence at once, if the strategy shares it. */
void world_tell_evidence(struct world *world, uint32_t instance);

/* Reports reach the instances; evidence is exchanged if the strategy shares it. */
void world_tick(struct world *world);

#endif
