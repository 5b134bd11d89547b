#include "wharf-replay/world.h"

#include <string.h>

#define RATING_US 80000
#define GOSSIP_FANOUT 2
#define HELD_MAX 8

bool world_in_service(const struct world *world, uint32_t engine)
{
	return !world->domain_is_out[world->trace->engines[engine].failure_domain];
}

uint32_t world_permits(const struct world *world, uint32_t engine)
{
	const struct engine *state = &world->engines[engine];
	uint32_t slots = engine_slots(state, world->now_us);
	uint32_t in_flight = engine_in_flight(state);

	if (!world_in_service(world, engine) || in_flight >= slots)
		return 0;
	return slots - in_flight;
}

void world_refresh_pool(struct world *world, uint32_t index)
{
	const struct job *job = &world->jobs[index];
	uint32_t model = job->steps[job->position];
	struct instance *instance = &world->instances[job->instance];
	uint32_t slots = 0;
	uint32_t usable = 0;

	for (uint32_t i = 0; i < world->trace->engine_count; i++) {
		if (world->trace->engines[i].model != model || !world_in_service(world, i))
			continue;
		slots += engine_slots(&world->engines[i], world->now_us);
		usable += instance->loads[i].in_flight + world_permits(world, i);
	}
	slots = (slots + world->trace->instances - 1) / world->trace->instances;
	dw_admission_set_pool(instance->admission, model, slots > usable ? slots : usable);
}

static uint32_t round_robin(struct world *world, struct job *job)
{
	struct instance *instance = &world->instances[job->instance];
	uint32_t model = job->steps[job->position];
	uint32_t count = world->trace->engine_count;

	for (uint32_t i = 0; i < count; i++) {
		uint32_t engine = instance->next_engine[model]++ % count;

		if (world->trace->engines[engine].model == model &&
		    world_in_service(world, engine) && !world->engines[engine].is_down)
			return engine;
	}
	return TRACE_ENGINES_MAX;
}

static size_t candidates_of(const struct world *world, const struct job *job,
			    struct dw_route_candidate *out)
{
	const struct instance *instance = &world->instances[job->instance];
	size_t count = 0;

	for (uint32_t i = 0; i < world->trace->engine_count; i++) {
		const struct trace_engine *spec = &world->trace->engines[i];

		if (spec->model != job->steps[job->position] || !world_in_service(world, i))
			continue;
		out[count++] = (struct dw_route_candidate){
			.upstream_id = 1 + i,
			.failure_domain = spec->failure_domain,
			.limit = engine_slots(&world->engines[i], world->now_us),
			.permits = world_permits(world, i),
			.cold = engine_is_cold(&world->engines[i], world->now_us),
			.suspect = world->now_us < world->suspect_until_us[i],
			.load = &instance->loads[i],
			.slow_start = world->ramps[i],
		};
	}
	return count;
}

static uint32_t routed(struct world *world, uint32_t index)
{
	const struct trace_request *request = &world->trace->requests[index];
	struct job *job = &world->jobs[index];
	const struct instance *instance = &world->instances[job->instance];
	struct dw_route_policy policy = dw_route_policy_default();
	struct dw_route_candidate candidates[TRACE_ENGINES_MAX];
	struct dw_route_choice choice;
	struct dw_route_request asked = {
		.now_us = world->now_us,
		.deadline_us = request->deadline_us,
		.affinity = request->prefix,
		.random = random_next(&world->random),
		.failure_domain = instance->failure_domain,
		.prompt_tokens = request->prompt_tokens,
		.cached_tokens = request->prefix_tokens,
		.output_tokens = instance_expected_tokens(instance, world->trace, request),
		.tried = job->tried,
		.tried_count = job->tried_count,
	};
	size_t count = candidates_of(world, job, candidates);

	policy.instances = world->trace->instances;
	policy.link_cost_us = world->link_cost_us;
	if (dw_route_choose(&policy, &asked, candidates, count, &choice))
		return TRACE_ENGINES_MAX;
	job->load = choice.load;
	return (uint32_t)candidates[choice.index].upstream_id - 1;
}

uint32_t world_choose_engine(struct world *world, uint32_t job)
{
	if (world->strategy->decides)
		return routed(world, job);
	return round_robin(world, &world->jobs[job]);
}

/* Expected wait at the door; a cascade's later steps have high priority. */
static uint64_t door_wait_us(const struct world *world, const struct job *job, uint32_t model,
			     const struct trace_request *request)
{
	const struct instance *instance = &world->instances[job->instance];
	struct dw_admission_entry entry = {
		.organisation_id = request->organisation,
		.priority =
			model ? DW_ADMISSION_HIGH : (enum dw_admission_priority)request->priority,
		.pool = model,
		.deadline_us = request->deadline_us,
		.service_us = (uint64_t)world->trace->models[model].us_per_token *
			      instance_expected_tokens(instance, world->trace, request),
	};

	return dw_admission_expected_wait_us(instance->admission, &entry);
}

/* Mean over the engines in service, as the instance sees them. */
static uint64_t expected_us(const struct world *world, const struct job *job, uint32_t model,
			    const struct trace_request *request)
{
	const struct instance *instance = &world->instances[job->instance];
	uint32_t tokens = instance_expected_tokens(instance, world->trace, request);
	uint64_t sum_us = 0;
	uint32_t count = 0;

	for (uint32_t i = 0; i < world->trace->engine_count; i++) {
		const struct dw_upstream_load *load = &instance->loads[i];

		if (world->trace->engines[i].model != model || !world_in_service(world, i))
			continue;
		sum_us += dw_upstream_load_expected_us(
			load,
			dw_upstream_load_estimate(load, world->now_us, world->trace->instances),
			request->prompt_tokens - request->prefix_tokens, tokens);
		count++;
	}
	return count ? sum_us / count + RATING_US + door_wait_us(world, job, model, request) : 0;
}

static bool may_use(const struct world *world, const struct trace_request *request, uint32_t model)
{
	return world->trace->organisations[request->organisation].allowed_models >> model & 1;
}

static void plan_learned(struct world *world, uint32_t index)
{
	const struct trace_request *request = &world->trace->requests[index];
	struct job *job = &world->jobs[index];
	const struct instance *instance = &world->instances[job->instance];
	uint32_t tokens = instance_expected_tokens(instance, world->trace, request);
	struct dw_cascade_step steps[DW_CASCADE_STEPS_MAX];
	struct dw_cascade_plan plan;
	struct dw_cascade_request asked = { .now_us = world->now_us,
					    .deadline_us = request->deadline_us,
					    .random = random_next(&world->random),
					    .latency_cost_micros_per_s =
						    DW_CASCADE_DEFAULT_MICROS_PER_SECOND };

	for (uint32_t model = 0; model <= request->model; model++) {
		uint64_t cost = world->trace->models[model].cost_micros_per_1k_tokens;

		steps[model] = (struct dw_cascade_step){
			.model_id = model,
			.cost_micros = cost * tokens / 1000,
			.latency_us = expected_us(world, job, model, request),
			.pass_rate = dw_cascade_rates_lookup(
				instance->rates, request->organisation, model,
				instance_work_of(world->trace, request), world->now_us),
			.available = may_use(world, request, model),
		};
	}
	job->step_count = 0;
	if (dw_cascade_choose(&asked, steps, request->model + 1, &plan))
		return;
	for (size_t i = 0; i < plan.count; i++)
		job->steps[job->step_count++] = plan.steps[i];
}

void world_plan(struct world *world, uint32_t index)
{
	const struct trace_request *request = &world->trace->requests[index];
	struct job *job = &world->jobs[index];
	bool is_service = world->trace->models[request->model].service;

	if (world->strategy->cascade == STRATEGY_LEARNED && !is_service) {
		plan_learned(world, index);
		return;
	}
	if (world->strategy->cascade == STRATEGY_CHEAPEST_FIRST && !is_service) {
		for (uint32_t model = 0; model < request->model; model++) {
			if (may_use(world, request, model))
				job->steps[job->step_count++] = (uint8_t)model;
		}
	}
	job->steps[job->step_count++] = (uint8_t)request->model;
}

static void turn_cold(struct world *world, uint32_t engine)
{
	engine_turn_cold(&world->engines[engine], world->now_us);
	event_queue_push(&world->events, (struct event){ .at_us = world->now_us + ENGINE_COLD_US,
							 .kind = EVENT_WARM,
							 .subject = engine });
}

void world_apply_fault(struct world *world, const struct trace_fault *fault)
{
	switch (fault->kind) {
	case TRACE_DOMAIN_OUT:
		world->domain_is_out[fault->target] = true;
		break;
	case TRACE_DOMAIN_BACK:
		world->domain_is_out[fault->target] = false;
		for (uint32_t i = 0; i < world->trace->engine_count; i++) {
			if (world->trace->engines[i].failure_domain != fault->target)
				continue;
			turn_cold(world, i);
			dw_slow_start_begin(&world->ramps[i], world->now_us,
					    world->now_us + DW_SLOW_START_DEFAULT_US);
		}
		break;
	case TRACE_VERSION_BAD:
		world->bad_permille[fault->target] = fault->bad_permille;
		break;
	case TRACE_ENGINE_COLD:
		turn_cold(world, fault->target);
		break;
	case TRACE_FAULT_KIND_COUNT:
		break;
	}
}

static void deliver_reports(struct world *world)
{
	for (uint32_t i = 0; i < world->trace->engine_count; i++) {
		const struct engine_report *report =
			engine_report(&world->engines[i], world->now_us);

		for (uint32_t j = 0; report && j < world->trace->instances; j++)
			dw_upstream_load_report(&world->instances[j].loads[i], report->taken_us,
						report->running, report->queued);
	}
}

static void give(struct world *world, uint32_t peer, const struct dw_rollout_message *message)
{
	uint64_t held[HELD_MAX];

	if (dw_rollout_merge(world->instances[peer].rollout, message, held, HELD_MAX) &&
	    !world->metrics->held_at_us)
		world->metrics->held_at_us = world->now_us;
}

static void exchange_evidence(struct world *world, struct instance *instance)
{
	struct dw_rollout_message message;

	while (dw_rollout_collect(instance->rollout, &message)) {
		for (int i = 0; i < GOSSIP_FANOUT; i++)
			give(world, random_below(&world->random, world->trace->instances),
			     &message);
	}
}

void world_tell_evidence(struct world *world, uint32_t instance)
{
	struct dw_rollout_message message;

	if (!world->strategy->shares_evidence)
		return;
	while (dw_rollout_collect(world->instances[instance].rollout, &message)) {
		for (uint32_t peer = 0; peer < world->trace->instances; peer++)
			give(world, peer, &message);
	}
}

void world_tick(struct world *world)
{
	deliver_reports(world);
	if (!world->strategy->shares_evidence)
		return;
	for (uint32_t i = 0; i < world->trace->instances; i++)
		exchange_evidence(world, &world->instances[i]);
}
