/**
 * @file bench_once.c
 * Store operations and waiting time of the at-most-once journal by load, in simulated time.
 *
 * Eight instances share a store that answers after 5 ms; calls arrive evenly and run for 50 ms.
 * Deterministic: the same figures each run. One JSON line a load.
 */
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <dragonflywharf/once.h>

#define INSTANCES 8
#define MAX_SHARDS 64
#define STORE_US 5000
#define RUN_US 50000
#define STEP_US UINT64_C(1000)
#define SIMULATED_US UINT64_C(20000000)
#define MAX_CALLS 20000

struct load {
	uint32_t calls_per_s;
	uint32_t shards;
	uint64_t group_interval_us;
	bool affinity; /* the calls of a shard all come to one instance */
};

struct value {
	uint64_t revision;
	uint8_t *bytes;
	size_t len;
};

struct flight {
	bool used;
	struct dw_once_operation operation;
	uint8_t *bytes;
	uint64_t done_at_us;
};

struct call {
	uint32_t instance;
	uint64_t ticket;
	uint64_t begun_at_us;
	uint64_t finish_at_us; /* 0: not dispatched or finished */
};

struct simulation {
	struct dw_once *instances[INSTANCES];
	struct value values[MAX_SHARDS];
	struct flight flights[INSTANCES][MAX_SHARDS];
	struct call calls[MAX_CALLS];
	uint32_t call_count;
	uint64_t waits_us[MAX_CALLS];
	uint32_t dispatched;
	uint32_t refused;
	uint64_t stored_bytes;
	uint64_t revision;
	uint64_t now_us;
	uint64_t random;
};

static uint64_t next_random(struct simulation *sim)
{
	sim->random = sim->random * UINT64_C(6364136223846793005) + UINT64_C(1442695040888963407);
	return sim->random >> 33;
}

static struct dw_once_time time_of(struct simulation *sim)
{
	return (struct dw_once_time){ sim->now_us, sim->now_us, next_random(sim) };
}

static void begin_call(struct simulation *sim, const struct load *load)
{
	struct call *call = &sim->calls[sim->call_count];
	char key[32];
	struct dw_once_request request = {
		.organisation = "atlas",
		.service = "orders",
		.key = key,
		.fingerprint = { sim->call_count, 0 },
		.deadline_us = sim->now_us + UINT64_C(5000000),
	};

	snprintf(key, sizeof(key), "%u", sim->call_count);
	*call = (struct call){ .instance = sim->call_count % INSTANCES,
			       .begun_at_us = sim->now_us };
	if (load->affinity)
		call->instance = dw_once_shard_index(sim->instances[0], &request) % INSTANCES;
	if (dw_once_begin(sim->instances[call->instance], &request, time_of(sim), &call->ticket) ==
	    DW_OK)
		sim->call_count++;
	else
		sim->refused++;
}

static void start_operations(struct simulation *sim, uint32_t index)
{
	struct dw_once_operation operation;

	while (dw_once_next_operation(sim->instances[index], time_of(sim), &operation)) {
		struct flight *flight = &sim->flights[index][operation.shard];

		flight->used = true;
		flight->operation = operation;
		flight->bytes = malloc(operation.len + 1);
		if (operation.len > 0)
			memcpy(flight->bytes, operation.bytes, operation.len);
		flight->done_at_us = sim->now_us + STORE_US;
	}
}

static void end_operation(struct simulation *sim, uint32_t index, struct flight *flight)
{
	struct value *value = &sim->values[flight->operation.shard];
	struct dw_once_completion done = { .id = flight->operation.id, .status = DW_OK };

	flight->used = false;
	if (flight->operation.kind == DW_ONCE_READ) {
		done.bytes = value->bytes;
		done.len = value->len;
		free(flight->bytes);
	} else if (flight->operation.expected_revision == value->revision) {
		free(value->bytes);
		*value = (struct value){ ++sim->revision, flight->bytes, flight->operation.len };
		sim->stored_bytes += value->len;
	} else {
		done.status = DW_CONFLICT;
		free(flight->bytes);
	}
	done.revision = value->revision;
	dw_once_complete(sim->instances[index], &done, time_of(sim));
}

static void take_decisions(struct simulation *sim, uint32_t index)
{
	struct dw_once_decision decision;

	while (dw_once_next_decision(sim->instances[index], &decision)) {
		for (uint32_t i = sim->call_count; i-- > 0;) {
			struct call *call = &sim->calls[i];

			if (call->instance != index || call->ticket != decision.ticket)
				continue;
			if (decision.kind == DW_ONCE_DISPATCH) {
				sim->waits_us[sim->dispatched++] = sim->now_us - call->begun_at_us;
				call->finish_at_us = sim->now_us + RUN_US;
			}
			sim->refused += decision.kind == DW_ONCE_REFUSED;
			break;
		}
	}
}

static void finish_calls(struct simulation *sim)
{
	struct dw_once_answer answer = { 200, "application/json", "{\"slot\":\"booked\"}", 17 };

	for (uint32_t i = 0; i < sim->call_count; i++) {
		struct call *call = &sim->calls[i];

		if (call->finish_at_us == 0 || call->finish_at_us > sim->now_us)
			continue;
		call->finish_at_us = 0;
		dw_once_finish(sim->instances[call->instance], call->ticket, &answer, time_of(sim));
	}
}

static void step(struct simulation *sim)
{
	finish_calls(sim);
	for (uint32_t i = 0; i < INSTANCES; i++) {
		for (uint32_t shard = 0; shard < MAX_SHARDS; shard++) {
			struct flight *flight = &sim->flights[i][shard];

			if (flight->used && flight->done_at_us <= sim->now_us)
				end_operation(sim, i, flight);
		}
		dw_once_tick(sim->instances[i], time_of(sim));
		start_operations(sim, i);
		take_decisions(sim, i);
	}
}

static int compare_waits(const void *a, const void *b)
{
	const uint64_t *left = a;
	const uint64_t *right = b;

	return (*left > *right) - (*left < *right);
}

static double wait_ms(const struct simulation *sim, size_t permille)
{
	size_t index = sim->dispatched * permille / 1000;

	return (double)sim->waits_us[index] / 1e3;
}

static void report(struct simulation *sim, const struct load *load)
{
	struct dw_once_counters sum = { 0 };
	double seconds = (double)SIMULATED_US / 1e6;

	for (uint32_t i = 0; i < INSTANCES; i++) {
		struct dw_once_counters own = dw_once_read_counters(sim->instances[i]);

		sum.reads += own.reads;
		sum.writes += own.writes;
		sum.conflicts += own.conflicts;
	}
	qsort(sim->waits_us, sim->dispatched, sizeof(sim->waits_us[0]), compare_waits);
	printf("{\"bench\":\"once\",\"calls_per_s\":%u,\"shards\":%u,"
	       "\"group_interval_ms\":%.0f,\"affinity\":%d,\"dispatched\":%u,\"refused\":%u,"
	       "\"reads_per_s\":%.1f,\"writes_per_s\":%.1f,\"conflicts_per_s\":%.1f,"
	       "\"stored_bytes_per_s\":%.0f,\"wait_p50_ms\":%.1f,\"wait_p95_ms\":%.1f,"
	       "\"wait_p99_ms\":%.1f}\n",
	       load->calls_per_s, load->shards, (double)load->group_interval_us / 1e3,
	       load->affinity, sim->dispatched, sim->refused, (double)sum.reads / seconds,
	       (double)sum.writes / seconds, (double)sum.conflicts / seconds,
	       (double)sim->stored_bytes / seconds, wait_ms(sim, 500), wait_ms(sim, 950),
	       wait_ms(sim, 990));
}

static int run(const struct load *load)
{
	struct simulation *sim = calloc(1, sizeof(*sim));
	uint64_t begun = 0;

	if (!sim)
		return 1;
	sim->random = load->calls_per_s;
	for (uint32_t i = 0; i < INSTANCES; i++) {
		struct dw_once_options options =
			dw_once_default_options((struct dw_member_key){ i + 1, 1 });

		options.shard_count = load->shards;
		options.group_interval_us = load->group_interval_us;
		if (dw_once_new(&sim->instances[i], &options) != DW_OK)
			return 1;
	}
	for (sim->now_us = STEP_US; sim->now_us <= SIMULATED_US; sim->now_us += STEP_US) {
		while (begun < sim->now_us * load->calls_per_s / 1000000 &&
		       sim->call_count < MAX_CALLS) {
			begin_call(sim, load);
			begun++;
		}
		step(sim);
	}
	report(sim, load);
	for (uint32_t i = 0; i < INSTANCES; i++)
		dw_once_free(sim->instances[i]);
	for (uint32_t shard = 0; shard < MAX_SHARDS; shard++)
		free(sim->values[shard].bytes);
	free(sim);
	return 0;
}

int main(void)
{
	static const struct load loads[] = {
		{ 1, 64, 20000, false },   { 10, 64, 20000, false },  { 50, 64, 20000, false },
		{ 100, 64, 20000, false }, { 200, 64, 20000, false }, { 400, 64, 20000, false },
		{ 200, 16, 20000, false }, { 200, 64, 20000, true },  { 200, 16, 50000, true },
		{ 400, 16, 50000, true },  { 800, 16, 50000, true },  { 800, 8, 50000, true },
	};

	for (size_t i = 0; i < sizeof(loads) / sizeof(loads[0]); i++) {
		if (run(&loads[i]) != 0)
			return 1;
	}
	return 0;
}
