/**
 * @file simulation.h
 * The state of a simulation: engines, instances, jobs and pending events.
 */
#ifndef WHARF_REPLAY_SIMULATION_H
#define WHARF_REPLAY_SIMULATION_H

#include <dragonflywharf/slow_start.h>
#include <dragonflywharf/route.h>

#include "wharf-replay/engine.h"
#include "wharf-replay/event_queue.h"
#include "wharf-replay/instance.h"
#include "wharf-replay/metrics.h"
#include "wharf-replay/random.h"

#define SIMULATION_ATTEMPTS_MAX 3

/* A request being processed; it has the same index as its request. */
struct job {
	uint32_t instance;
	uint8_t steps[TRACE_MODELS_MAX]; /* models to run, in order */
	uint8_t step_count;
	uint8_t position; /* current step */
	uint32_t version;
	uint32_t engine;
	uint32_t load; /* the engine's load as estimated at dispatch */
	uint64_t sent_us;
	uint64_t tried[SIMULATION_ATTEMPTS_MAX]; /* upstream ids of failed attempts */
	uint32_t tried_count;
	struct engine_task task; /* copy of the finished task */
	uint32_t excluded_version; /* gave a bad answer before; TRACE_VERSIONS_MAX for none */
	bool admitted; /* taken from the admission queue and not reported as finished yet */
	bool from_bad_version; /* the present answer is a bad one caused by a bad version */
};

struct simulation {
	const struct trace *trace;
	const struct strategy *strategy;
	struct metrics *metrics;
	struct result *results;
	struct event_queue events;
	struct random_source random;
	uint64_t now_us;
	struct engine engines[TRACE_ENGINES_MAX];
	struct dw_slow_start ramps[TRACE_ENGINES_MAX];
	uint64_t suspect_until_us[TRACE_ENGINES_MAX]; /* after a crash or a failed attempt */
	bool domain_is_out[TRACE_DOMAINS_MAX];
	uint32_t bad_permille[TRACE_VERSIONS_MAX];
	uint32_t link_cost_us[DW_ROUTE_DOMAINS_MAX * DW_ROUTE_DOMAINS_MAX];
	struct instance instances[INSTANCES_MAX];
	struct job *jobs;
	size_t unfinished_requests; /* requests without an outcome, including future arrivals */
};

/* True if the engine's failure domain takes new requests. */
bool simulation_engine_in_service(const struct simulation *sim, uint32_t engine);

/* Number of requests that may still start at the engine. All instances see the exact number, as if
 * the exchange of permits between instances took no time. */
uint32_t simulation_available_permits(const struct simulation *sim, uint32_t engine);

/* Chooses an engine for the current step of a job; TRACE_ENGINES_MAX if there is none. */
uint32_t simulation_choose_engine(struct simulation *sim, uint32_t index);

/* Chooses the models that a job runs, in order. */
void simulation_plan_steps(struct simulation *sim, uint32_t index);

/* Sets the capacity of a model in the admission queue of the job's instance: an even share of
 * the slots of its engines, or the requests that are in flight and could still start, if that is
 * more. */
void simulation_update_admission_pool(struct simulation *sim, uint32_t index);

/* Applies a fault of the trace. Engines that begin a cold start get EVENT_ENGINE_WARM at its
 * end. */
void simulation_apply_fault(struct simulation *sim, const struct trace_fault *fault);

/* Sends the evidence of an instance to all others at once, if the strategy shares it. */
void simulation_broadcast_evidence(struct simulation *sim, uint32_t instance);

/* Delivers load reports to the instances and, if the strategy shares evidence, gossips it. */
void simulation_tick(struct simulation *sim);

#endif
