/**
 * @file bench_once.c
 * Store operations and waiting times of the at-most-once journal at several loads, in simulated
 * time.
 *
 * Eight instances share a store that answers after 5 ms. Calls arrive at a constant rate and run
 * for 50 ms. The simulation is deterministic: each run gives the same figures. Prints one JSON line
 * per load.
 */
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <dragonflywharf/once.h>

#define INSTANCES 8
#define MAX_SHARDS 64
#define STORE_LATENCY_US 5000
#define CALL_DURATION_US 50000
#define STEP_US UINT64_C(1000)
#define SIMULATED_US UINT64_C(20000000)
#define MAX_CALLS 20000

struct load {
	uint32_t calls_per_s;
	uint32_t shards;
	uint64_t group_interval_us;
	bool affinity; /* all calls of a shard go to the same instance */
};

struct stored_value {
	uint64_t revision;
	uint8_t *bytes;
	size_t len;
};

struct pending_operation {
	bool used;
	struct dw_once_operation operation;
	uint8_t *bytes;
	uint64_t done_at_us;
};

struct call {
	uint32_t instance;
	uint64_t ticket;
	uint64_t begun_at_us;
	uint64_t finish_at_us; /* 0: not running */
};

struct simulation {
	struct dw_once *instances[INSTANCES];
	struct stored_value values[MAX_SHARDS];
	struct pending_operation pending_operations[INSTANCES][MAX_SHARDS];
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
		struct pending_operation *pending =
			&sim->pending_operations[index][operation.shard];

		pending->used = true;
		pending->operation = operation;
		pending->bytes = malloc(operation.len + 1);
		if (operation.len > 0)
			memcpy(pending->bytes, operation.bytes, operation.len);
		pending->done_at_us = sim->now_us + STORE_LATENCY_US;
	}
}

static void end_operation(struct simulation *sim, uint32_t index, struct pending_operation *pending)
{
	struct stored_value *stored_value = &sim->values[pending->operation.shard];
	struct dw_once_completion done = { .id = pending->operation.id, .status = DW_OK };

	pending->used = false;
	if (pending->operation.kind == DW_ONCE_READ) {
		done.bytes = stored_value->bytes;
		done.len = stored_value->len;
		free(pending->bytes);
	} else if (pending->operation.expected_revision == stored_value->revision) {
		free(stored_value->bytes);
		*stored_value = (struct stored_value){ ++sim->revision, pending->bytes,
						       pending->operation.len };
		sim->stored_bytes += stored_value->len;
	} else {
		done.status = DW_CONFLICT;
		free(pending->bytes);
	}
	done.revision = stored_value->revision;
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
				call->finish_at_us = sim->now_us + CALL_DURATION_US;
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
			struct pending_operation *pending = &sim->pending_operations[i][shard];

			if (pending->used && pending->done_at_us <= sim->now_us)
				end_operation(sim, i, pending);
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
	struct dw_once_counters total = { 0 };
	double seconds = (double)SIMULATED_US / 1e6;

	for (uint32_t i = 0; i < INSTANCES; i++) {
		struct dw_once_counters counters = dw_once_read_counters(sim->instances[i]);

		total.reads += counters.reads;
		total.writes += counters.writes;
		total.conflicts += counters.conflicts;
	}
	qsort(sim->waits_us, sim->dispatched, sizeof(sim->waits_us[0]), compare_waits);
	printf("{\"bench\":\"once\",\"calls_per_s\":%u,\"shards\":%u,"
	       "\"group_interval_ms\":%.0f,\"affinity\":%d,\"dispatched\":%u,\"refused\":%u,"
	       "\"reads_per_s\":%.1f,\"writes_per_s\":%.1f,\"conflicts_per_s\":%.1f,"
	       "\"stored_bytes_per_s\":%.0f,\"wait_p50_ms\":%.1f,\"wait_p95_ms\":%.1f,"
	       "\"wait_p99_ms\":%.1f}\n",
	       load->calls_per_s, load->shards, (double)load->group_interval_us / 1e3,
	       load->affinity, sim->dispatched, sim->refused, (double)total.reads / seconds,
	       (double)total.writes / seconds, (double)total.conflicts / seconds,
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
