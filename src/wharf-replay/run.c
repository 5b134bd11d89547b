#include "wharf-replay/run.h"

#include <stdlib.h>
#include <string.h>

#include "wharf-replay/world.h"

#define RATING_US 80000
#define RATING_COST_MICROS 20
#define SUSPECT_US 3000000
#define TICK_US ENGINE_REPORT_EVERY_US
#define SPOILT_SCORE 200

static void start_step(struct world *world, uint32_t index);

static void schedule(struct world *world, uint64_t at_us, enum event_kind kind, uint32_t subject)
{
	event_queue_push(&world->events,
			 (struct event){ .at_us = at_us, .kind = kind, .subject = subject });
}

static const struct trace_request *request_of(const struct world *world, uint32_t index)
{
	return &world->trace->requests[index];
}

static uint32_t model_of(const struct job *job)
{
	return job->steps[job->position];
}

static void leave_admission(struct world *world, uint32_t index, uint64_t service_us)
{
	struct job *job = &world->jobs[index];

	if (!job->popped)
		return;
	job->popped = false;
	dw_admission_finished(world->instances[job->instance].admission,
			      request_of(world, index)->organisation, model_of(job), service_us);
}

static void end_job(struct world *world, uint32_t index, enum outcome outcome)
{
	struct result *result = &world->results[index];

	leave_admission(world, index, 0);
	result->outcome = outcome;
	result->ended_us = world->now_us + world->trace->client_us;
	result->latency_us =
		result->ended_us + world->trace->client_us - request_of(world, index)->at_us;
	world->open--;
}

static uint32_t score_of(const struct world *world, uint32_t index)
{
	const struct job *job = &world->jobs[index];

	return job->spoilt ? SPOILT_SCORE : request_of(world, index)->score_permille[model_of(job)];
}

static void release(struct world *world, uint32_t index)
{
	const struct trace_request *request = request_of(world, index);
	struct result *result = &world->results[index];
	const struct job *job = &world->jobs[index];

	result->version = job->version;
	result->exposed = job->spoilt;
	result->was_run_again = job->avoided != TRACE_VERSIONS_MAX;
	end_job(world, index, OUTCOME_ANSWERED);
	result->met = score_of(world, index) >= world->trace->quality_target_permille &&
		      result->ended_us <= request->deadline_us;
	instance_learn_tokens(&world->instances[job->instance], world->trace, request);
}

static void start_engine(struct world *world, uint32_t engine)
{
	uint64_t done_us;
	int slot;

	while ((slot = engine_start_next(&world->engines[engine], world->now_us, &done_us)) >= 0)
		event_queue_push(&world->events,
				 (struct event){ .at_us = done_us,
						 .kind = EVENT_TASK_DONE,
						 .subject = engine,
						 .detail = (uint32_t)slot,
						 .epoch = world->engines[engine].epoch });
}

static void retry(struct world *world, uint32_t index)
{
	struct job *job = &world->jobs[index];

	dw_upstream_load_ended(&world->instances[job->instance].loads[job->engine], world->now_us,
			       NULL);
	leave_admission(world, index, 0);
	job->tried[job->tried_count++] = 1 + job->engine;
	world->metrics->retries++;
	if (job->tried_count == WORLD_ATTEMPTS_MAX)
		end_job(world, index, OUTCOME_FAILED);
	else
		start_step(world, index);
}

static void fall_over(struct world *world, uint32_t engine)
{
	struct engine_task lost[ENGINE_SLOTS_MAX + ENGINE_QUEUE_MAX];
	uint32_t count = engine_crash(&world->engines[engine], lost);

	world->metrics->falls++;
	world->suspect_until_us[engine] = world->now_us + SUSPECT_US;
	schedule(world, world->now_us + ENGINE_RESTART_US, EVENT_ENGINE_UP, engine);
	for (uint32_t i = 0; i < count; i++)
		retry(world, lost[i].job);
}

static void dispatch(struct world *world, uint32_t index)
{
	const struct trace_request *request = request_of(world, index);
	struct job *job = &world->jobs[index];
	uint32_t engine = world_choose_engine(world, index);
	struct engine_task task = { .job = index,
				    .prompt_tokens = request->prompt_tokens,
				    .prefix_tokens = request->prefix_tokens,
				    .tokens = request->tokens,
				    .prefix = request->prefix };

	if (engine == TRACE_ENGINES_MAX) {
		end_job(world, index, OUTCOME_FAILED);
		return;
	}
	job->engine = engine;
	job->sent_us = world->now_us;
	dw_upstream_load_sent(&world->instances[job->instance].loads[engine], world->now_us);
	if (world->engines[engine].is_down) {
		world->suspect_until_us[engine] = world->now_us + SUSPECT_US;
		retry(world, index);
	} else if (engine_submit(&world->engines[engine], world->now_us, &task)) {
		start_engine(world, engine);
	} else {
		fall_over(world, engine);
	}
}

static uint64_t free_pools(const struct world *world)
{
	uint64_t pools = 0;

	for (uint32_t i = 0; i < world->trace->engine_count; i++) {
		if (world_permits(world, i))
			pools |= UINT64_C(1) << world->trace->engines[i].model;
	}
	return pools;
}

static bool pop_one(struct world *world, struct instance *instance)
{
	struct dw_admission_entry entry;
	dw_admission_handle handle;
	uint32_t index;

	if (dw_admission_pop(instance->admission, free_pools(world), &entry, &handle))
		return false;
	index = (uint32_t)(uintptr_t)entry.data;
	world->jobs[index].popped = true;
	dispatch(world, index);
	return true;
}

/* Instances take turns, from a random one, until none has anything that may go. */
static void pump(struct world *world)
{
	uint32_t count = world->trace->instances;
	uint32_t first = random_below(&world->random, count);
	bool popped = true;

	while (popped) {
		popped = false;
		for (uint32_t i = 0; i < count; i++)
			popped |= pop_one(world, &world->instances[(first + i) % count]);
	}
}

/* Nothing of the request has run yet: only then a refusal may say so. */
static bool has_not_run(const struct job *job)
{
	return job->position == 0 && job->tried_count == 0 && job->avoided == TRACE_VERSIONS_MAX;
}

static void end_expired(struct world *world, uint32_t index)
{
	end_job(world, index,
		has_not_run(&world->jobs[index]) ? OUTCOME_EXPIRED : OUTCOME_TIMED_OUT);
}

static void end_refused(struct world *world, uint32_t index, enum dw_status status)
{
	if (!has_not_run(&world->jobs[index]))
		end_job(world, index, OUTCOME_TIMED_OUT);
	else if (status == DW_TIMEOUT)
		end_job(world, index, OUTCOME_REFUSED_LATE);
	else
		end_job(world, index, OUTCOME_REFUSED_FULL);
}

static void expire(struct world *world)
{
	struct dw_admission_entry entry;
	dw_admission_handle handle;

	for (uint32_t i = 0; i < world->trace->instances; i++) {
		while (!dw_admission_expire(world->instances[i].admission, world->now_us, &entry,
					    &handle))
			end_expired(world, (uint32_t)(uintptr_t)entry.data);
	}
}

/* A later step or attempt has cost work already: it goes first. */
static void enqueue(struct world *world, uint32_t index)
{
	const struct trace_request *request = request_of(world, index);
	const struct job *job = &world->jobs[index];
	const struct instance *instance = &world->instances[job->instance];
	const struct trace_model *model = &world->trace->models[model_of(job)];
	dw_admission_handle handle;
	enum dw_status status;
	struct dw_admission_entry entry = {
		.organisation_id = request->organisation,
		.priority = (enum dw_admission_priority)request->priority,
		.pool = model_of(job),
		.deadline_us = request->deadline_us,
		.service_us = (uint64_t)model->us_per_token *
			      instance_expected_tokens(instance, world->trace, request),
		.data = (void *)(uintptr_t)index,
	};

	world_refresh_pool(world, index);
	status = dw_admission_push(instance->admission, world->now_us, &entry, &handle);
	if (status)
		end_refused(world, index, status);
}

static void start_step(struct world *world, uint32_t index)
{
	struct job *job = &world->jobs[index];

	job->version =
		instance_choose_version(&world->instances[job->instance], world->trace,
					request_of(world, index), model_of(job), job->avoided);
	if (job->version == TRACE_VERSIONS_MAX)
		end_job(world, index, OUTCOME_FAILED);
	else if (world->strategy->decides)
		enqueue(world, index);
	else
		dispatch(world, index);
}

static void on_arrival(struct world *world, uint32_t index)
{
	const struct trace_request *request = request_of(world, index);
	const struct trace_organisation *organisation =
		&world->trace->organisations[request->organisation];

	if (index + 1 < world->trace->request_count)
		schedule(world, request_of(world, index + 1)->at_us + world->trace->client_us,
			 EVENT_ARRIVAL, index + 1);
	if (!(organisation->allowed_models >> request->model & 1)) {
		end_job(world, index, OUTCOME_FORBIDDEN);
		return;
	}
	world_plan(world, index);
	if (world->jobs[index].step_count)
		start_step(world, index);
	else
		end_job(world, index, OUTCOME_FAILED);
}

static void on_task_done(struct world *world, const struct event *event)
{
	struct engine *engine = &world->engines[event->subject];
	uint64_t link_us;
	struct job *job;
	uint32_t index;

	if (event->epoch != engine->epoch)
		return;
	index = engine->running[event->detail].job;
	job = &world->jobs[index];
	job->task = engine_finish(engine, event->detail);
	link_us = 2 * world->link_cost_us[world->instances[job->instance].failure_domain *
						  DW_ROUTE_DOMAINS_MAX +
					  engine->spec->failure_domain];
	schedule(world, world->now_us + link_us, EVENT_ANSWER, index);
	start_engine(world, event->subject);
}

/* A session keeps its version: its answers can't be run again on another one. */
static bool rates_first(const struct world *world, uint32_t index)
{
	const struct job *job = &world->jobs[index];

	return world->strategy->decides && job->avoided == TRACE_VERSIONS_MAX &&
	       !request_of(world, index)->session &&
	       instance_rates_first(&world->instances[job->instance], world->trace, job->version);
}

/* The instance has the whole answer. */
static void on_answer(struct world *world, uint32_t index)
{
	const struct trace_request *request = request_of(world, index);
	struct job *job = &world->jobs[index];
	const struct trace_model *model = &world->trace->models[model_of(job)];
	struct dw_load_sample sample = {
		.prompt_tokens = request->prompt_tokens - job->task.cached_tokens,
		.output_tokens = request->tokens,
		.first_token_us = job->task.first_token_us,
		.total_us = world->now_us - job->sent_us,
		.load_at_dispatch = job->load,
	};

	dw_upstream_load_ended(&world->instances[job->instance].loads[job->engine], world->now_us,
			       &sample);
	leave_admission(world, index, sample.total_us);
	world->results[index].cost_micros +=
		(uint64_t)model->cost_micros_per_1k_tokens * request->tokens / 1000;
	job->spoilt = request->luck_permille < world->bad_permille[job->version];
	if (!model->service)
		world->results[index].cost_micros += RATING_COST_MICROS;
	if (job->position + 1 < job->step_count || rates_first(world, index)) {
		schedule(world, world->now_us + RATING_US, EVENT_RATED, index);
		return;
	}
	if (!model->service)
		schedule(world, world->now_us + RATING_US, EVENT_EVIDENCE, index);
	release(world, index);
}

/* Only the answers of the model that was asked for tell of its version: a cheap model's answers are
 * often below the target, which the cascade learns. */
static void count_evidence(struct world *world, const struct job *job, bool passed)
{
	bool newly_held;

	dw_rollout_count_answer(world->instances[job->instance].rollout,
				instance_version_id(job->version),
				passed ? DW_ROLLOUT_GOOD : DW_ROLLOUT_BAD, &newly_held);
	if (newly_held && !world->metrics->held_at_us)
		world->metrics->held_at_us = world->now_us;
	if (!passed)
		world_tell_evidence(world, job->instance);
}

static bool has_passed(const struct world *world, uint32_t index)
{
	return score_of(world, index) >= world->trace->quality_target_permille;
}

static void on_evidence(struct world *world, uint32_t index)
{
	count_evidence(world, &world->jobs[index], has_passed(world, index));
}

/* The last step was rated before release: a bad answer is run again, once, on another version. */
static void on_last_rated(struct world *world, uint32_t index)
{
	struct job *job = &world->jobs[index];
	bool passed = has_passed(world, index);

	count_evidence(world, job, passed);
	if (passed) {
		release(world, index);
		return;
	}
	job->avoided = job->version;
	job->tried_count = 0;
	start_step(world, index);
}

static void on_rated(struct world *world, uint32_t index)
{
	const struct trace_request *request = request_of(world, index);
	struct job *job = &world->jobs[index];

	if (job->position + 1 == job->step_count) {
		on_last_rated(world, index);
		return;
	}
	dw_cascade_rates_learn(world->instances[job->instance].rates, request->organisation,
			       model_of(job), instance_work_of(world->trace, request),
			       has_passed(world, index), world->now_us);
	if (has_passed(world, index)) {
		release(world, index);
		return;
	}
	job->position++;
	job->tried_count = 0;
	start_step(world, index);
}

static void handle(struct world *world, const struct event *event)
{
	switch (event->kind) {
	case EVENT_ARRIVAL:
		on_arrival(world, event->subject);
		break;
	case EVENT_FAULT:
		world_apply_fault(world, &world->trace->faults[event->subject]);
		break;
	case EVENT_TASK_DONE:
		on_task_done(world, event);
		break;
	case EVENT_ANSWER:
		on_answer(world, event->subject);
		break;
	case EVENT_RATED:
		on_rated(world, event->subject);
		break;
	case EVENT_EVIDENCE:
		on_evidence(world, event->subject);
		break;
	case EVENT_ENGINE_UP:
		engine_turn_cold(&world->engines[event->subject], world->now_us);
		schedule(world, world->now_us + ENGINE_COLD_US, EVENT_WARM, event->subject);
		break;
	case EVENT_WARM:
		start_engine(world, event->subject);
		break;
	case EVENT_TICK:
		world_tick(world);
		expire(world);
		schedule(world, world->now_us + TICK_US, EVENT_TICK, 0);
		break;
	case EVENT_KIND_COUNT:
		break;
	}
}

static void init(struct world *world, const struct trace *trace)
{
	for (uint32_t i = 0; i < trace->engine_count; i++) {
		world->engines[i].spec = &trace->engines[i];
		world->engines[i].model = &trace->models[trace->engines[i].model];
	}
	for (uint32_t from = 0; from < trace->domain_count; from++) {
		for (uint32_t to = 0; to < trace->domain_count; to++)
			world->link_cost_us[from * DW_ROUTE_DOMAINS_MAX + to] =
				from == to ? 0 : (uint32_t)trace->link_us;
	}
	for (uint32_t i = 0; i < trace->instances; i++)
		instance_init(&world->instances[i], trace, world->strategy, i);
	for (size_t i = 0; i < trace->request_count; i++) {
		world->jobs[i].instance = random_below(&world->random, trace->instances);
		world->jobs[i].avoided = TRACE_VERSIONS_MAX;
	}
	for (size_t i = 0; i < trace->fault_count; i++)
		schedule(world, trace->faults[i].at_us, EVENT_FAULT, (uint32_t)i);
	schedule(world, 0, EVENT_TICK, 0);
	schedule(world, trace->requests[0].at_us + trace->client_us, EVENT_ARRIVAL, 0);
}

void run_trace(const struct trace *trace, const struct strategy *strategy, uint64_t seed,
	       struct result *results, struct metrics *metrics)
{
	struct world *world = calloc(1, sizeof(*world));
	struct job *jobs = calloc(trace->request_count, sizeof(*jobs));
	struct event event;

	if (!world || !jobs || trace->instances > INSTANCES_MAX)
		abort();
	memset(metrics, 0, sizeof(*metrics));
	memset(results, 0, trace->request_count * sizeof(*results));
	world->trace = trace;
	world->strategy = strategy;
	world->metrics = metrics;
	world->results = results;
	world->jobs = jobs;
	world->random.state = seed;
	world->open = trace->request_count;
	init(world, trace);
	while (world->open && event_queue_pop(&world->events, &event)) {
		world->now_us = event.at_us;
		handle(world, &event);
		if (strategy->decides)
			pump(world);
	}
	metrics_sum(metrics, trace, results);
	for (uint32_t i = 0; i < trace->instances; i++)
		instance_free(&world->instances[i]);
	event_queue_free(&world->events);
	free(jobs);
	free(world);
}
