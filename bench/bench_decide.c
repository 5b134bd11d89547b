/**
 * @file bench_decide.c
 * Measures the nanoseconds per decision of the library and prints JSON lines.
 */
#include <stdio.h>
#include <stdlib.h>
#include <time.h>

#include <dragonflywharf/admission.h>
#include <dragonflywharf/cascade.h>
#include <dragonflywharf/rollout.h>
#include <dragonflywharf/route.h>

#define ROUNDS 200000
#define NS_PER_S 1e9
#define MAX_UPSTREAMS 64

static uint64_t next_random(uint64_t *state)
{
	*state = *state * UINT64_C(6364136223846793005) + UINT64_C(1442695040888963407);
	return *state ^ *state >> 32;
}

static double now_ns(void)
{
	struct timespec t;

	clock_gettime(CLOCK_MONOTONIC, &t);
	return (double)t.tv_sec * NS_PER_S + (double)t.tv_nsec;
}

static void print_result(const char *name, size_t size, double start_ns, size_t rounds)
{
	printf("{\"decision\":\"%s\",\"size\":%zu,\"ns\":%.1f}\n", name, size,
	       (now_ns() - start_ns) / (double)rounds);
}

static void bench_route(size_t count, bool with_affinity)
{
	static struct dw_upstream_load loads[MAX_UPSTREAMS];
	static struct dw_route_candidate candidates[MAX_UPSTREAMS];
	struct dw_route_policy policy = dw_route_policy_default();
	struct dw_route_request request = { .now_us = 10000000,
					    .prompt_tokens = 500,
					    .output_tokens = 100 };
	struct dw_route_choice choice;
	uint64_t random = 1;
	double start_ns;

	policy.instances = 9;
	for (size_t i = 0; i < count; i++) {
		loads[i] = (struct dw_upstream_load){ .slots = 8, .in_flight = i % 5 };
		candidates[i] = (struct dw_route_candidate){
			.upstream_id = 1 + i, .limit = 8, .permits = 4, .load = &loads[i]
		};
	}
	start_ns = now_ns();
	for (size_t i = 0; i < ROUNDS; i++) {
		request.random = next_random(&random);
		request.affinity = with_affinity ? 1 + i % 1000 : 0;
		if (dw_route_choose(&policy, &request, candidates, count, &choice))
			abort();
	}
	print_result(with_affinity ? "route_affine" : "route", count, start_ns, ROUNDS);
}

static void bench_cascade(size_t count)
{
	struct dw_cascade_step steps[DW_CASCADE_STEPS_MAX];
	struct dw_cascade_rates *rates = dw_cascade_rates_new(1024);
	struct dw_cascade_request request = {
		.deadline_us = 60000000,
		.latency_cost_micros_per_s = DW_CASCADE_DEFAULT_LATENCY_COST_MICROS_PER_S
	};
	struct dw_cascade_plan plan;
	uint64_t random = 1;
	double start_ns;

	for (size_t i = 0; i < ROUNDS; i++)
		dw_cascade_rates_learn(rates, i % 10, i % count, i % 5, i % 3 != 0, i);
	start_ns = now_ns();
	for (size_t i = 0; i < ROUNDS; i++) {
		for (size_t step = 0; step < count; step++)
			steps[step] = (struct dw_cascade_step){
				step, 100 * (step + 1), 500000,
				dw_cascade_rates_lookup(rates, i % 10, step, i % 5, ROUNDS), true
			};
		request.random = next_random(&random);
		if (dw_cascade_choose(&request, steps, count, &plan))
			abort();
	}
	print_result("cascade_with_rates", count, start_ns, ROUNDS);
	dw_cascade_rates_free(rates);
}

/* Measures one push and one pop while @p waiting entries are queued. */
static void bench_admission(size_t waiting)
{
	struct dw_admission *admission = dw_admission_new(waiting + 1);
	struct dw_admission_entry entry = { .service_us = 1000000 };
	dw_admission_handle handle;
	uint64_t random = 1;
	double start_ns;

	dw_admission_set_pool(admission, 0, 8);
	start_ns = now_ns();
	for (size_t i = 0; i < waiting + ROUNDS; i++) {
		entry.organisation_id = next_random(&random) % 10;
		entry.priority = (enum dw_admission_priority)(i % 3);
		entry.deadline_us = UINT64_C(1000000000000) + i;
		if (i == waiting)
			start_ns = now_ns();
		if (dw_admission_push(admission, 0, &entry, &handle))
			abort();
		if (i < waiting)
			continue;
		if (dw_admission_pop(admission, DW_ADMISSION_ALL_POOLS, &entry, &handle))
			abort();
		dw_admission_finished(admission, entry.organisation_id, 0, entry.service_us);
	}
	print_result("admission_push_pop", waiting, start_ns, ROUNDS);
	dw_admission_free(admission);
}

static void bench_rollout(size_t members)
{
	struct dw_rollout_policy policy = dw_rollout_policy_default();
	struct dw_rollout *rollout = dw_rollout_new(&policy, (struct dw_member_key){ 1, 1 });
	struct dw_rollout_message message = { .entry_count = 1 };
	uint64_t held[1];
	double start_ns;

	for (uint64_t version = 1; version <= 9; version++)
		dw_rollout_set_version(rollout, version, 1, 0);
	start_ns = now_ns();
	for (uint64_t i = 0; i < ROUNDS; i++) {
		uint64_t answers = 50 * (1 + i / members);

		message.entries[0] = (struct dw_rollout_entry){
			1, 0, { 2 + i % members, 1 }, answers, answers / 50, 0
		};
		dw_rollout_merge(rollout, &message, held, 1);
	}
	print_result("rollout_merge", members, start_ns, ROUNDS);
	dw_rollout_free(rollout);
}

int main(void)
{
	const size_t upstreams[] = { 6, 12, 64 };
	const size_t depths[] = { 0, 64, 512 };

	for (size_t i = 0; i < 3; i++) {
		bench_route(upstreams[i], false);
		bench_route(upstreams[i], true);
	}
	for (size_t steps = 2; steps <= DW_CASCADE_STEPS_MAX; steps += 2)
		bench_cascade(steps);
	for (size_t i = 0; i < 3; i++)
		bench_admission(depths[i]);
	bench_rollout(9);
	bench_rollout(2100);
	return 0;
}
