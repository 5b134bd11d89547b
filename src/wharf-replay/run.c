#include "wharf-replay/run.h"

#include <stdlib.h>
#include <string.h>

#include "wharf-replay/simulation.h"

#define RATING_US 80000 /* same as in simulation.c, which expects this latency */
#define RATING_COST_MICROS 20
#define SUSPECT_US 3000000
#define TICK_US ENGINE_REPORT_EVERY_US
#define BAD_VERSION_SCORE 200

static void start_step(struct simulation *sim, uint32_t index);

static void schedule(struct simulation *sim, uint64_t at_us, enum event_kind kind, uint32_t subject)
{
	event_queue_push(&sim->events,
			 (struct event){ .at_us = at_us, .kind = kind, .subject = subject });
}

static const struct trace_request *request_of(const struct simulation *sim, uint32_t index)
{
	return &sim->trace->requests[index];
}

static uint32_t model_of(const struct job *job)
{
	return job->steps[job->position];
}

static void finish_admission(struct simulation *sim, uint32_t index, uint64_t service_us)
{
	struct job *job = &sim->jobs[index];

	if (!job->admitted)
		return;
	job->admitted = false;
	dw_admission_finished(sim->instances[job->instance].admission,
			      request_of(sim, index)->organisation, model_of(job), service_us);
}

static void end_job(struct simulation *sim, uint32_t index, enum outcome outcome)
{
	struct result *result = &sim->results[index];

	finish_admission(sim, index, 0);
	result->outcome = outcome;
	result->ended_us = sim->now_us + sim->trace->client_us;
	result->latency_us =
		result->ended_us + sim->trace->client_us - request_of(sim, index)->at_us;
	sim->unfinished_requests--;
}

static uint32_t score_of(const struct simulation *sim, uint32_t index)
{
	const struct job *job = &sim->jobs[index];

	return job->from_bad_version ? BAD_VERSION_SCORE
				     : request_of(sim, index)->score_permille[model_of(job)];
}

static void release_answer(struct simulation *sim, uint32_t index)
{
	const struct trace_request *request = request_of(sim, index);
	struct result *result = &sim->results[index];
	const struct job *job = &sim->jobs[index];

	result->version = job->version;
	result->exposed = job->from_bad_version;
	result->was_run_again = job->excluded_version != TRACE_VERSIONS_MAX;
	end_job(sim, index, OUTCOME_ANSWERED);
	result->met = score_of(sim, index) >= sim->trace->quality_target_permille &&
		      result->ended_us <= request->deadline_us;
	instance_learn_tokens(&sim->instances[job->instance], sim->trace, request);
}

static void start_queued_tasks(struct simulation *sim, uint32_t engine)
{
	uint64_t done_us;
	int slot;

	while ((slot = engine_start_next(&sim->engines[engine], sim->now_us, &done_us)) >= 0)
		event_queue_push(&sim->events,
				 (struct event){ .at_us = done_us,
						 .kind = EVENT_TASK_DONE,
						 .subject = engine,
						 .detail = (uint32_t)slot,
						 .epoch = sim->engines[engine].epoch });
}

static void retry(struct simulation *sim, uint32_t index)
{
	struct job *job = &sim->jobs[index];

	dw_upstream_load_ended(&sim->instances[job->instance].loads[job->engine], sim->now_us,
			       NULL);
	finish_admission(sim, index, 0);
	job->tried[job->tried_count++] = 1 + job->engine;
	sim->metrics->retries++;
	if (job->tried_count == SIMULATION_ATTEMPTS_MAX)
		end_job(sim, index, OUTCOME_FAILED);
	else
		start_step(sim, index);
}

static void crash_engine(struct simulation *sim, uint32_t engine)
{
	struct engine_task lost[ENGINE_SLOTS_MAX + ENGINE_QUEUE_MAX];
	uint32_t count = engine_crash(&sim->engines[engine], lost);

	sim->metrics->engine_crashes++;
	sim->suspect_until_us[engine] = sim->now_us + SUSPECT_US;
	schedule(sim, sim->now_us + ENGINE_RESTART_US, EVENT_ENGINE_UP, engine);
	for (uint32_t i = 0; i < count; i++)
		retry(sim, lost[i].job);
}

static void dispatch(struct simulation *sim, uint32_t index)
{
	const struct trace_request *request = request_of(sim, index);
	struct job *job = &sim->jobs[index];
	uint32_t engine = simulation_choose_engine(sim, index);
	struct engine_task task = { .job = index,
				    .prompt_tokens = request->prompt_tokens,
				    .prefix_tokens = request->prefix_tokens,
				    .tokens = request->tokens,
				    .prefix = request->prefix };

	if (engine == TRACE_ENGINES_MAX) {
		end_job(sim, index, OUTCOME_FAILED);
		return;
	}
	job->engine = engine;
	job->sent_us = sim->now_us;
	dw_upstream_load_sent(&sim->instances[job->instance].loads[engine], sim->now_us);
	if (sim->engines[engine].is_down) {
		sim->suspect_until_us[engine] = sim->now_us + SUSPECT_US;
		retry(sim, index);
	} else if (engine_submit(&sim->engines[engine], sim->now_us, &task)) {
		start_queued_tasks(sim, engine);
	} else {
		crash_engine(sim, engine);
	}
}

static uint64_t available_pools(const struct simulation *sim)
{
	uint64_t pools = 0;

	for (uint32_t i = 0; i < sim->trace->engine_count; i++) {
		if (simulation_available_permits(sim, i))
			pools |= UINT64_C(1) << sim->trace->engines[i].model;
	}
	return pools;
}

static bool dispatch_next(struct simulation *sim, struct instance *instance)
{
	struct dw_admission_entry entry;
	dw_admission_handle handle;
	uint32_t index;

	if (dw_admission_pop(instance->admission, available_pools(sim), &entry, &handle))
		return false;
	index = (uint32_t)(uintptr_t)entry.data;
	sim->jobs[index].admitted = true;
	dispatch(sim, index);
	return true;
}

/* Dispatches one request of each instance in turn, beginning with a random instance, until none can
 * dispatch any. */
static void dispatch_all_ready(struct simulation *sim)
{
	uint32_t count = sim->trace->instances;
	uint32_t first = random_below(&sim->random, count);
	bool dispatched = true;

	while (dispatched) {
		dispatched = false;
		for (uint32_t i = 0; i < count; i++)
			dispatched |= dispatch_next(sim, &sim->instances[(first + i) % count]);
	}
}

/* True if nothing of the request has run yet; only then may it be refused as not run. */
static bool has_not_run(const struct job *job)
{
	return job->position == 0 && job->tried_count == 0 &&
	       job->excluded_version == TRACE_VERSIONS_MAX;
}

static void end_expired(struct simulation *sim, uint32_t index)
{
	end_job(sim, index, has_not_run(&sim->jobs[index]) ? OUTCOME_EXPIRED : OUTCOME_TIMED_OUT);
}

static void end_refused(struct simulation *sim, uint32_t index, enum dw_status status)
{
	if (!has_not_run(&sim->jobs[index]))
		end_job(sim, index, OUTCOME_TIMED_OUT);
	else if (status == DW_TIMEOUT)
		end_job(sim, index, OUTCOME_REFUSED_LATE);
	else
		end_job(sim, index, OUTCOME_REFUSED_FULL);
}

static void expire_queued(struct simulation *sim)
{
	struct dw_admission_entry entry;
	dw_admission_handle handle;

	for (uint32_t i = 0; i < sim->trace->instances; i++) {
		while (!dw_admission_expire(sim->instances[i].admission, sim->now_us, &entry,
					    &handle))
			end_expired(sim, (uint32_t)(uintptr_t)entry.data);
	}
}

/* Later steps are queued with the priority of the request, although expected_admission_wait_us()
 * assumes that they have high priority. */
static void enqueue(struct simulation *sim, uint32_t index)
{
	const struct trace_request *request = request_of(sim, index);
	const struct job *job = &sim->jobs[index];
	const struct instance *instance = &sim->instances[job->instance];
	const struct trace_model *model = &sim->trace->models[model_of(job)];
	dw_admission_handle handle;
	enum dw_status status;
	struct dw_admission_entry entry = {
		.organisation_id = request->organisation,
		.priority = (enum dw_admission_priority)request->priority,
		.pool = model_of(job),
		.deadline_us = request->deadline_us,
		.service_us = (uint64_t)model->us_per_token *
			      instance_expected_tokens(instance, sim->trace, request),
		.data = (void *)(uintptr_t)index,
	};

	simulation_update_admission_pool(sim, index);
	status = dw_admission_push(instance->admission, sim->now_us, &entry, &handle);
	if (status)
		end_refused(sim, index, status);
}

static void start_step(struct simulation *sim, uint32_t index)
{
	struct job *job = &sim->jobs[index];

	job->version = instance_choose_version(&sim->instances[job->instance], sim->trace,
					       request_of(sim, index), model_of(job),
					       job->excluded_version);
	if (job->version == TRACE_VERSIONS_MAX)
		end_job(sim, index, OUTCOME_FAILED);
	else if (sim->strategy->uses_library)
		enqueue(sim, index);
	else
		dispatch(sim, index);
}

static void on_arrival(struct simulation *sim, uint32_t index)
{
	const struct trace_request *request = request_of(sim, index);
	const struct trace_organisation *organisation =
		&sim->trace->organisations[request->organisation];

	if (index + 1 < sim->trace->request_count)
		schedule(sim, request_of(sim, index + 1)->at_us + sim->trace->client_us,
			 EVENT_ARRIVAL, index + 1);
	if (!(organisation->allowed_models >> request->model & 1)) {
		end_job(sim, index, OUTCOME_FORBIDDEN);
		return;
	}
	simulation_plan_steps(sim, index);
	if (sim->jobs[index].step_count)
		start_step(sim, index);
	else
		end_job(sim, index, OUTCOME_FAILED);
}

static void on_task_done(struct simulation *sim, const struct event *event)
{
	struct engine *engine = &sim->engines[event->subject];
	uint64_t link_us;
	struct job *job;
	uint32_t index;

	if (event->epoch != engine->epoch)
		return;
	index = engine->running[event->detail].job;
	job = &sim->jobs[index];
	job->task = engine_finish(engine, event->detail);
	link_us = 2 * sim->link_cost_us[sim->instances[job->instance].failure_domain *
						DW_ROUTE_DOMAINS_MAX +
					engine->spec->failure_domain];
	schedule(sim, sim->now_us + link_us, EVENT_ANSWER, index);
	start_queued_tasks(sim, event->subject);
}

/* A session stays on its version, so its requests cannot be run again on another one. */
static bool rates_before_release(const struct simulation *sim, uint32_t index)
{
	const struct job *job = &sim->jobs[index];

	return sim->strategy->uses_library && job->excluded_version == TRACE_VERSIONS_MAX &&
	       !request_of(sim, index)->session &&
	       instance_rates_before_release(&sim->instances[job->instance], sim->trace,
					     job->version);
}

/* The complete answer has reached the instance. */
static void on_answer(struct simulation *sim, uint32_t index)
{
	const struct trace_request *request = request_of(sim, index);
	struct job *job = &sim->jobs[index];
	const struct trace_model *model = &sim->trace->models[model_of(job)];
	struct dw_load_sample sample = {
		.prompt_tokens = request->prompt_tokens - job->task.cached_tokens,
		.output_tokens = request->tokens,
		.first_token_us = job->task.first_token_us,
		.total_us = sim->now_us - job->sent_us,
		.load_at_dispatch = job->load,
	};

	dw_upstream_load_ended(&sim->instances[job->instance].loads[job->engine], sim->now_us,
			       &sample);
	finish_admission(sim, index, sample.total_us);
	sim->results[index].cost_micros +=
		(uint64_t)model->cost_micros_per_1k_tokens * request->tokens / 1000;
	job->from_bad_version = request->luck_permille < sim->bad_permille[job->version];
	if (!model->service)
		sim->results[index].cost_micros += RATING_COST_MICROS;
	if (job->position + 1 < job->step_count || rates_before_release(sim, index)) {
		schedule(sim, sim->now_us + RATING_US, EVENT_RATED_BEFORE_RELEASE, index);
		return;
	}
	if (!model->service)
		schedule(sim, sim->now_us + RATING_US, EVENT_RATED_AFTER_RELEASE, index);
	release_answer(sim, index);
}

/* Counts a rating of the last step as evidence for its version. Ratings of earlier steps do not
 * count: cheap models often miss the target, which the cascade learns instead. */
static void record_rating(struct simulation *sim, const struct job *job, bool passed)
{
	bool newly_held;

	dw_rollout_count_answer(sim->instances[job->instance].rollout,
				instance_version_id(job->version),
				passed ? DW_ROLLOUT_GOOD : DW_ROLLOUT_BAD, &newly_held);
	if (newly_held && !sim->metrics->held_at_us)
		sim->metrics->held_at_us = sim->now_us;
	if (!passed)
		simulation_broadcast_evidence(sim, job->instance);
}

static bool has_passed(const struct simulation *sim, uint32_t index)
{
	return score_of(sim, index) >= sim->trace->quality_target_permille;
}

static void on_rated_after_release(struct simulation *sim, uint32_t index)
{
	record_rating(sim, &sim->jobs[index], has_passed(sim, index));
}

/* Handles the rating of a last step before release: a request with a bad answer is run again, once,
 * on another version. */
static void on_last_step_rated(struct simulation *sim, uint32_t index)
{
	struct job *job = &sim->jobs[index];
	bool passed = has_passed(sim, index);

	record_rating(sim, job, passed);
	if (passed) {
		release_answer(sim, index);
		return;
	}
	job->excluded_version = job->version;
	job->tried_count = 0;
	start_step(sim, index);
}

static void on_rated_before_release(struct simulation *sim, uint32_t index)
{
	const struct trace_request *request = request_of(sim, index);
	struct job *job = &sim->jobs[index];

	if (job->position + 1 == job->step_count) {
		on_last_step_rated(sim, index);
		return;
	}
	dw_cascade_rates_learn(sim->instances[job->instance].rates, request->organisation,
			       model_of(job), instance_work_class_of(sim->trace, request),
			       has_passed(sim, index), sim->now_us);
	if (has_passed(sim, index)) {
		release_answer(sim, index);
		return;
	}
	job->position++;
	job->tried_count = 0;
	start_step(sim, index);
}

static void handle_event(struct simulation *sim, const struct event *event)
{
	switch (event->kind) {
	case EVENT_ARRIVAL:
		on_arrival(sim, event->subject);
		break;
	case EVENT_FAULT:
		simulation_apply_fault(sim, &sim->trace->faults[event->subject]);
		break;
	case EVENT_TASK_DONE:
		on_task_done(sim, event);
		break;
	case EVENT_ANSWER:
		on_answer(sim, event->subject);
		break;
	case EVENT_RATED_BEFORE_RELEASE:
		on_rated_before_release(sim, event->subject);
		break;
	case EVENT_RATED_AFTER_RELEASE:
		on_rated_after_release(sim, event->subject);
		break;
	case EVENT_ENGINE_UP:
		engine_begin_cold_start(&sim->engines[event->subject], sim->now_us);
		schedule(sim, sim->now_us + ENGINE_COLD_US, EVENT_ENGINE_WARM, event->subject);
		break;
	case EVENT_ENGINE_WARM:
		start_queued_tasks(sim, event->subject);
		break;
	case EVENT_TICK:
		simulation_tick(sim);
		expire_queued(sim);
		schedule(sim, sim->now_us + TICK_US, EVENT_TICK, 0);
		break;
	case EVENT_KIND_COUNT:
		break;
	}
}

static void init_simulation(struct simulation *sim, const struct trace *trace)
{
	for (uint32_t i = 0; i < trace->engine_count; i++) {
		sim->engines[i].spec = &trace->engines[i];
		sim->engines[i].model = &trace->models[trace->engines[i].model];
	}
	for (uint32_t from = 0; from < trace->domain_count; from++) {
		for (uint32_t to = 0; to < trace->domain_count; to++)
			sim->link_cost_us[from * DW_ROUTE_DOMAINS_MAX + to] =
				from == to ? 0 : (uint32_t)trace->link_us;
	}
	for (uint32_t i = 0; i < trace->instances; i++)
		instance_init(&sim->instances[i], trace, sim->strategy, i);
	for (size_t i = 0; i < trace->request_count; i++) {
		sim->jobs[i].instance = random_below(&sim->random, trace->instances);
		sim->jobs[i].excluded_version = TRACE_VERSIONS_MAX;
	}
	for (size_t i = 0; i < trace->fault_count; i++)
		schedule(sim, trace->faults[i].at_us, EVENT_FAULT, (uint32_t)i);
	schedule(sim, 0, EVENT_TICK, 0);
	schedule(sim, trace->requests[0].at_us + trace->client_us, EVENT_ARRIVAL, 0);
}

void run_trace(const struct trace *trace, const struct strategy *strategy, uint64_t seed,
	       struct result *results, struct metrics *metrics)
{
	struct simulation *sim = calloc(1, sizeof(*sim));
	struct job *jobs = calloc(trace->request_count, sizeof(*jobs));
	struct event event;

	if (!sim || !jobs || trace->instances > INSTANCES_MAX)
		abort();
	memset(metrics, 0, sizeof(*metrics));
	memset(results, 0, trace->request_count * sizeof(*results));
	sim->trace = trace;
	sim->strategy = strategy;
	sim->metrics = metrics;
	sim->results = results;
	sim->jobs = jobs;
	sim->random.state = seed;
	sim->unfinished_requests = trace->request_count;
	init_simulation(sim, trace);
	while (sim->unfinished_requests && event_queue_pop(&sim->events, &event)) {
		sim->now_us = event.at_us;
		handle_event(sim, &event);
		if (strategy->uses_library)
			dispatch_all_ready(sim);
	}
	metrics_aggregate(metrics, trace, results);
	for (uint32_t i = 0; i < trace->instances; i++)
		instance_free(&sim->instances[i]);
	event_queue_free(&sim->events);
	free(jobs);
	free(sim);
}
