/**
 * @file bench_membership.c
 * Benchmark of the membership protocol: messages, bytes and CPU time for several group sizes.
 *
 * All members run in one process; a message arrives one step after it was sent. Prints one JSON
 * line per group size: the steady state, then the time until all others consider a stopped member
 * dead.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/clock.h"
#include "net/member_codec.h"

#define STEP_US 50000
#define JOIN_STEPS 8000
#define STEADY_STEPS 1200
#define DETECT_STEPS 2400
#define MEMBERS_MAX 300
#define SEED UINT64_C(42)

struct network {
	uint32_t count;
	struct dw_membership *members[MEMBERS_MAX]; /* NULL: stopped */
	struct dw_member_message *in_transit;
	size_t in_transit_count;
	size_t in_transit_capacity;
	uint64_t now_us;
	uint64_t random;
	uint64_t messages;
	uint64_t bytes;
	uint64_t busy_us;
};

static uint64_t next_random(struct network *network)
{
	network->random = network->random * UINT64_C(6364136223846793005) + 1442695040888963407;
	return network->random;
}

static void start(struct network *network, uint32_t index)
{
	static struct dw_membership_options options;

	memset(&options, 0, sizeof(options));
	options.self.key.instance_id = index + 1;
	options.self.key.incarnation = 1700000000000000 + index;
	snprintf(options.self.name, sizeof(options.self.name), "entry-%03u", index);
	snprintf(options.self.failure_domain, sizeof(options.self.failure_domain), "domain-%u",
		 index % 9);
	strcpy(options.self.ip, "10.100.100.1");
	options.self.port = (uint16_t)(1000 + index);
	options.seed_count = 3;
	for (uint16_t i = 0; i < 3; i++) {
		strcpy(options.seeds[i].ip, "10.100.100.1");
		options.seeds[i].port = 1000 + i;
	}
	network->members[index] = dw_membership_new(&options, network->now_us);
	if (!network->members[index])
		abort();
}

static void add_in_transit(struct network *network, const struct dw_member_message *message)
{
	if (network->in_transit_count == network->in_transit_capacity) {
		network->in_transit_capacity = network->in_transit_capacity * 2 + 1024;
		network->in_transit =
			realloc(network->in_transit,
				network->in_transit_capacity * sizeof(*network->in_transit));
		if (!network->in_transit)
			abort();
	}
	network->in_transit[network->in_transit_count++] = *message;
}

static void drain(struct network *network, uint32_t index)
{
	static struct dw_member_message message;
	struct dw_member_event event;

	while (dw_membership_next_message(network->members[index], &message)) {
		msgpack_sbuffer buffer;
		msgpack_packer packer;

		msgpack_sbuffer_init(&buffer);
		msgpack_packer_init(&packer, &buffer, msgpack_sbuffer_write);
		dw_member_message_pack(&packer, &message);
		network->messages++;
		network->bytes += buffer.size;
		msgpack_sbuffer_destroy(&buffer);
		add_in_transit(network, &message);
	}
	while (dw_membership_next_event(network->members[index], &event))
		;
}

static void step(struct network *network)
{
	struct dw_member_message *arriving = network->in_transit;
	size_t count = network->in_transit_count;
	uint64_t started_us = dw_clock_now_us();

	network->now_us += STEP_US;
	network->in_transit = NULL;
	network->in_transit_count = 0;
	network->in_transit_capacity = 0;
	for (size_t i = 0; i < count; i++) {
		uint32_t to = arriving[i].to.port - 1000U;

		if (!network->members[to])
			continue;
		dw_membership_receive(network->members[to], &arriving[i], network->now_us);
		drain(network, to);
	}
	free(arriving);
	for (uint32_t i = 0; i < network->count; i++) {
		if (!network->members[i])
			continue;
		dw_membership_tick(network->members[i], network->now_us, next_random(network));
		drain(network, i);
	}
	network->busy_us += dw_clock_now_us() - started_us;
}

/* Number of members that see all running members alive and no others. */
static uint32_t count_agreeing(const struct network *network, uint32_t running)
{
	uint32_t agree = 0;

	for (uint32_t i = 0; i < network->count; i++) {
		uint32_t alive = 0;

		for (size_t j = 0;
		     network->members[i] && j < dw_membership_count(network->members[i]); j++)
			alive += dw_membership_at(network->members[i], j)->state == DW_MEMBER_ALIVE;
		agree += alive == running;
	}
	return agree;
}

/* True if all running members agree and none is suspected. */
static bool converged(const struct network *network, uint32_t running)
{
	for (uint32_t i = 0; i < network->count; i++)
		if (network->members[i] && dw_membership_live_count(network->members[i]) != running)
			return false;
	return count_agreeing(network, running) == running;
}

static double seconds_until_converged(struct network *network, uint32_t running, uint32_t max)
{
	uint32_t steps = 0;

	while (steps < max && !converged(network, running)) {
		step(network);
		steps++;
	}
	return steps * (STEP_US / 1e6);
}

static void measure(uint32_t count)
{
	static struct network network;
	double converged_s, detected_s, seconds = STEADY_STEPS * (STEP_US / 1e6);

	memset(&network, 0, sizeof(network));
	network.count = count;
	network.random = SEED;
	network.now_us = DW_US_PER_S;
	for (uint32_t i = 0; i < count; i++)
		start(&network, i);
	converged_s = seconds_until_converged(&network, count, JOIN_STEPS);
	for (int i = 0; i < JOIN_STEPS; i++)
		step(&network);
	network.messages = network.bytes = network.busy_us = 0;
	for (int i = 0; i < STEADY_STEPS; i++)
		step(&network);
	printf("{\"bench\":\"membership\",\"members\":%u,\"all_started_at_once_settled_s\":%.1f,"
	       "\"messages_per_member_s\":%.2f,\"bytes_per_member_s\":%.0f,"
	       "\"busy_us_per_member_s\":%.0f,",
	       count, converged_s, (double)network.messages / count / seconds,
	       (double)network.bytes / count / seconds, (double)network.busy_us / count / seconds);
	dw_membership_free(network.members[count / 2]);
	network.members[count / 2] = NULL;
	network.messages = network.bytes = 0;
	detected_s = seconds_until_converged(&network, count - 1, DETECT_STEPS);
	printf("\"stopped_member_dead_to_all_s\":%.1f,\"bytes_per_member_while_finding\":%.0f}\n",
	       detected_s, (double)network.bytes / count);
	for (uint32_t i = 0; i < count; i++)
		dw_membership_free(network.members[i]);
	free(network.in_transit);
}

int main(void)
{
	static const uint32_t sizes[] = { 9, 78, 300 };

	for (size_t i = 0; i < sizeof(sizes) / sizeof(sizes[0]); i++)
		measure(sizes[i]);
	return 0;
}
