#include "wharf-replay/simulation.h"

#include <string.h>

#define RATING_US 80000 /* same as in run.c, which schedules the ratings */
#define GOSSIP_FANOUT 2
#define HELD_VERSIONS_MAX 8

bool simulation_engine_in_service(const struct simulation *sim, uint32_t engine)
{
	return !sim->domain_is_out[sim->trace->engines[engine].failure_domain];
}

uint32_t simulation_available_permits(const struct simulation *sim, uint32_t engine)
{
	const struct engine *state = &sim->engines[engine];
	uint32_t slots = engine_slots(state, sim->now_us);
	uint32_t in_flight = engine_in_flight(state);

	if (!simulation_engine_in_service(sim, engine) || in_flight >= slots)
		return 0;
	return slots - in_flight;
}

void simulation_update_admission_pool(struct simulation *sim, uint32_t index)
{
	const struct job *job = &sim->jobs[index];
	uint32_t model = job->steps[job->position];
	struct instance *instance = &sim->instances[job->instance];
	uint32_t slots = 0;
	uint32_t usable = 0;

	for (uint32_t i = 0; i < sim->trace->engine_count; i++) {
		if (sim->trace->engines[i].model != model || !simulation_engine_in_service(sim, i))
			continue;
		slots += engine_slots(&sim->engines[i], sim->now_us);
		usable += instance->loads[i].in_flight + simulation_available_permits(sim, i);
	}
	slots = (slots + sim->trace->instances - 1) / sim->trace->instances;
	dw_admission_set_pool(instance->admission, model, slots > usable ? slots : usable);
}

static uint32_t choose_round_robin(struct simulation *sim, struct job *job)
{
	struct instance *instance = &sim->instances[job->instance];
	uint32_t model = job->steps[job->position];
	uint32_t count = sim->trace->engine_count;

	for (uint32_t i = 0; i < count; i++) {
		uint32_t engine = instance->next_engine[model]++ % count;

		if (sim->trace->engines[engine].model == model &&
		    simulation_engine_in_service(sim, engine) && !sim->engines[engine].is_down)
			return engine;
	}
	return TRACE_ENGINES_MAX;
}

static size_t candidates_of(const struct simulation *sim, const struct job *job,
			    struct dw_route_candidate *out)
{
	const struct instance *instance = &sim->instances[job->instance];
	size_t count = 0;

	for (uint32_t i = 0; i < sim->trace->engine_count; i++) {
		const struct trace_engine *spec = &sim->trace->engines[i];

		if (spec->model != job->steps[job->position] ||
		    !simulation_engine_in_service(sim, i))
			continue;
		out[count++] = (struct dw_route_candidate){
			.upstream_id = 1 + i,
			.failure_domain = spec->failure_domain,
			.limit = engine_slots(&sim->engines[i], sim->now_us),
			.permits = simulation_available_permits(sim, i),
			.cold = engine_is_cold(&sim->engines[i], sim->now_us),
			.suspect = sim->now_us < sim->suspect_until_us[i],
			.load = &instance->loads[i],
			.slow_start = sim->ramps[i],
		};
	}
	return count;
}

static uint32_t choose_by_route(struct simulation *sim, uint32_t index)
{
	const struct trace_request *request = &sim->trace->requests[index];
	struct job *job = &sim->jobs[index];
	const struct instance *instance = &sim->instances[job->instance];
	struct dw_route_policy policy = dw_route_policy_default();
	struct dw_route_candidate candidates[TRACE_ENGINES_MAX];
	struct dw_route_choice choice;
	struct dw_route_request route_request = {
		.now_us = sim->now_us,
		.deadline_us = request->deadline_us,
		.affinity = request->prefix,
		.random = random_next(&sim->random),
		.failure_domain = instance->failure_domain,
		.prompt_tokens = request->prompt_tokens,
		.cached_tokens = request->prefix_tokens,
		.output_tokens = instance_expected_tokens(instance, sim->trace, request),
		.tried = job->tried,
		.tried_count = job->tried_count,
	};
	size_t count = candidates_of(sim, job, candidates);

	policy.instances = sim->trace->instances;
	policy.link_cost_us = sim->link_cost_us;
	if (dw_route_choose(&policy, &route_request, candidates, count, &choice))
		return TRACE_ENGINES_MAX;
	job->load = choice.load;
	return (uint32_t)candidates[choice.index].upstream_id - 1;
}

uint32_t simulation_choose_engine(struct simulation *sim, uint32_t index)
{
	if (sim->strategy->uses_library)
		return choose_by_route(sim, index);
	return choose_round_robin(sim, &sim->jobs[index]);
}

/* Expected wait in the admission queue. Later steps of a cascade have high priority, because they
 * have cost work already. */
static uint64_t expected_admission_wait_us(const struct simulation *sim, const struct job *job,
					   uint32_t model, const struct trace_request *request)
{
	const struct instance *instance = &sim->instances[job->instance];
	struct dw_admission_entry entry = {
		.organisation_id = request->organisation,
		.priority =
			model ? DW_ADMISSION_HIGH : (enum dw_admission_priority)request->priority,
		.pool = model,
		.deadline_us = request->deadline_us,
		.service_us = (uint64_t)sim->trace->models[model].us_per_token *
			      instance_expected_tokens(instance, sim->trace, request),
	};

	return dw_admission_expected_wait_us(instance->admission, &entry);
}

/* Mean latency over the engines in service, as the instance estimates it, with rating and queueing;
 * 0 if there are none. */
static uint64_t expected_latency_us(const struct simulation *sim, const struct job *job,
				    uint32_t model, const struct trace_request *request)
{
	const struct instance *instance = &sim->instances[job->instance];
	uint32_t tokens = instance_expected_tokens(instance, sim->trace, request);
	uint64_t sum_us = 0;
	uint32_t count = 0;

	for (uint32_t i = 0; i < sim->trace->engine_count; i++) {
		const struct dw_upstream_load *load = &instance->loads[i];

		if (sim->trace->engines[i].model != model || !simulation_engine_in_service(sim, i))
			continue;
		sum_us += dw_upstream_load_expected_us(
			load, dw_upstream_load_estimate(load, sim->now_us, sim->trace->instances),
			request->prompt_tokens - request->prefix_tokens, tokens);
		count++;
	}
	return count ? sum_us / count + RATING_US +
			       expected_admission_wait_us(sim, job, model, request)
		     : 0;
}

static bool is_model_allowed(const struct simulation *sim, const struct trace_request *request,
			     uint32_t model)
{
	return sim->trace->organisations[request->organisation].allowed_models >> model & 1;
}

static void plan_cascade(struct simulation *sim, uint32_t index)
{
	const struct trace_request *request = &sim->trace->requests[index];
	struct job *job = &sim->jobs[index];
	const struct instance *instance = &sim->instances[job->instance];
	uint32_t tokens = instance_expected_tokens(instance, sim->trace, request);
	struct dw_cascade_step steps[DW_CASCADE_STEPS_MAX];
	struct dw_cascade_plan plan;
	struct dw_cascade_request cascade_request = {
		.now_us = sim->now_us,
		.deadline_us = request->deadline_us,
		.random = random_next(&sim->random),
		.latency_cost_micros_per_s = DW_CASCADE_DEFAULT_LATENCY_COST_MICROS_PER_S
	};

	for (uint32_t model = 0; model <= request->model; model++) {
		uint64_t cost = sim->trace->models[model].cost_micros_per_1k_tokens;

		steps[model] = (struct dw_cascade_step){
			.model_id = model,
			.cost_micros = cost * tokens / 1000,
			.latency_us = expected_latency_us(sim, job, model, request),
			.pass_rate = dw_cascade_rates_lookup(
				instance->rates, request->organisation, model,
				instance_work_class_of(sim->trace, request), sim->now_us),
			.available = is_model_allowed(sim, request, model),
		};
	}
	job->step_count = 0;
	if (dw_cascade_choose(&cascade_request, steps, request->model + 1, &plan))
		return;
	for (size_t i = 0; i < plan.count; i++)
		job->steps[job->step_count++] = plan.steps[i];
}

void simulation_plan_steps(struct simulation *sim, uint32_t index)
{
	const struct trace_request *request = &sim->trace->requests[index];
	struct job *job = &sim->jobs[index];
	bool is_service = sim->trace->models[request->model].service;

	if (sim->strategy->cascade == CASCADE_LEARNED && !is_service) {
		plan_cascade(sim, index);
		return;
	}
	if (sim->strategy->cascade == CASCADE_CHEAPEST_FIRST && !is_service) {
		for (uint32_t model = 0; model < request->model; model++) {
			if (is_model_allowed(sim, request, model))
				job->steps[job->step_count++] = (uint8_t)model;
		}
	}
	job->steps[job->step_count++] = (uint8_t)request->model;
}

static void begin_cold_start(struct simulation *sim, uint32_t engine)
{
	engine_begin_cold_start(&sim->engines[engine], sim->now_us);
	event_queue_push(&sim->events, (struct event){ .at_us = sim->now_us + ENGINE_COLD_US,
						       .kind = EVENT_ENGINE_WARM,
						       .subject = engine });
}

void simulation_apply_fault(struct simulation *sim, const struct trace_fault *fault)
{
	switch (fault->kind) {
	case TRACE_DOMAIN_OUT:
		sim->domain_is_out[fault->target] = true;
		break;
	case TRACE_DOMAIN_BACK:
		sim->domain_is_out[fault->target] = false;
		for (uint32_t i = 0; i < sim->trace->engine_count; i++) {
			if (sim->trace->engines[i].failure_domain != fault->target)
				continue;
			begin_cold_start(sim, i);
			dw_slow_start_begin(&sim->ramps[i], sim->now_us,
					    sim->now_us + DW_SLOW_START_DEFAULT_US);
		}
		break;
	case TRACE_VERSION_BAD:
		sim->bad_permille[fault->target] = fault->bad_permille;
		break;
	case TRACE_ENGINE_COLD:
		begin_cold_start(sim, fault->target);
		break;
	case TRACE_FAULT_KIND_COUNT:
		break;
	}
}

static void deliver_reports(struct simulation *sim)
{
	for (uint32_t i = 0; i < sim->trace->engine_count; i++) {
		const struct engine_report *report =
			engine_record_report(&sim->engines[i], sim->now_us);

		for (uint32_t j = 0; report && j < sim->trace->instances; j++)
			dw_upstream_load_report(&sim->instances[j].loads[i], report->taken_us,
						report->running, report->queued);
	}
}

static void deliver_evidence(struct simulation *sim, uint32_t peer,
			     const struct dw_rollout_message *message)
{
	uint64_t held[HELD_VERSIONS_MAX];

	if (dw_rollout_merge(sim->instances[peer].rollout, message, held, HELD_VERSIONS_MAX) &&
	    !sim->metrics->held_at_us)
		sim->metrics->held_at_us = sim->now_us;
}

static void gossip_evidence(struct simulation *sim, struct instance *instance)
{
	struct dw_rollout_message message;

	while (dw_rollout_collect(instance->rollout, &message)) {
		for (int i = 0; i < GOSSIP_FANOUT; i++)
			deliver_evidence(sim, random_below(&sim->random, sim->trace->instances),
					 &message);
	}
}

void simulation_broadcast_evidence(struct simulation *sim, uint32_t instance)
{
	struct dw_rollout_message message;

	if (!sim->strategy->shares_evidence)
		return;
	while (dw_rollout_collect(sim->instances[instance].rollout, &message)) {
		for (uint32_t peer = 0; peer < sim->trace->instances; peer++)
			deliver_evidence(sim, peer, &message);
	}
}

void simulation_tick(struct simulation *sim)
{
	deliver_reports(sim);
	if (!sim->strategy->shares_evidence)
		return;
	for (uint32_t i = 0; i < sim->trace->instances; i++)
		gossip_evidence(sim, &sim->instances[i]);
}
