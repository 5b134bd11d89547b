/**
 * Distributed concurrency limiter: unit tests, and a simulation of instances, network, store and
 * instance list with random faults. Prints the seed of a failed simulation; WHARF_SEED=n runs only
 * seed n, WHARF_SEEDS=n runs n seeds.
 */
#include <gtest/gtest.h>

#include <algorithm>
#include <cstdlib>
#include <cstring>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "dragonflywharf/limiter.h"
#include "net/limiter_codec.h"
#include "support/byte_mutations.h"

namespace
{

constexpr uint64_t MS = 1000;
constexpr uint64_t S = 1000000;

struct Packet {
	dw_member_key from;
	dw_member_key to;
	std::string bytes;
};

struct HeldPermit {
	dw_permit permit;
	uint32_t limit; /* the instance's limit in effect when the permit was acquired */
};

/** An instance and the process that currently runs under its name. */
struct Instance {
	dw_member_key key{};
	bool alive = false;
	bool paused = false;
	bool leaving = false;
	uint64_t unlisted_since_us = UINT64_MAX;
	dw_limiter *limiter = nullptr;
	std::vector<HeldPermit> running;
};

struct Limits {
	uint32_t limit;
	uint32_t cold_limit;
	bool cold;
};

class Simulation
{
      public:
	explicit Simulation(uint64_t seed, uint32_t count) : random(seed), instances(count)
	{
		for (uint32_t i = 0; i < count; i++)
			start(i);
	}

	~Simulation()
	{
		for (Instance &instance : instances)
			dw_limiter_free(instance.limiter);
	}

	uint64_t random_below(uint64_t bound)
	{
		return random() % bound;
	}

	bool chance(uint32_t permille)
	{
		return random_below(1000) < permille;
	}

	Instance &any_instance()
	{
		return instances[random_below(instances.size())];
	}

	uint64_t any_upstream()
	{
		return 1 + random_below(upstreams.size());
	}

	void start(uint32_t i)
	{
		Instance &instance = instances[i];

		dw_limiter_free(instance.limiter);
		instance = Instance();
		instance.key = { 1000 + i, ++runs };
		instance.alive = true;
		instance.limiter = dw_limiter_new(instance.key);
		for (auto &upstream : upstreams)
			configure(instance, upstream.first);
	}

	void kill(Instance &instance)
	{
		instance.alive = false;
		instance.running.clear();
		instance.unlisted_since_us = now_us + random_below(5 * S);
	}

	void configure(Instance &instance, uint64_t id)
	{
		const Limits &limits = upstreams[id];

		dw_limiter_set_upstream(instance.limiter, id, limits.limit, limits.cold_limit);
		dw_limiter_set_cold(instance.limiter, id, limits.cold);
	}

	/** The state as seen by a proposer: a paused instance may look dead but stays listed. */
	dw_roster_observation observe(const Instance &instance)
	{
		dw_roster_observation seen = {};

		seen.member.key = instance.key;
		snprintf(seen.member.name, sizeof(seen.member.name), "i%d",
			 (int)instance.key.instance_id);
		seen.condition = DW_ROSTER_ALIVE;
		if (instance.paused)
			seen.condition = chance(500) ? DW_ROSTER_DEAD : DW_ROSTER_UNREACHABLE;
		if (!instance.alive)
			seen.condition = DW_ROSTER_DEAD;
		if (instance.alive && dw_limiter_is_released(instance.limiter))
			seen.condition = DW_ROSTER_RELEASED;
		seen.was_listed = true;
		seen.unlisted_since_us = now_us >= instance.unlisted_since_us
						 ? instance.unlisted_since_us
						 : UINT64_MAX;
		return seen;
	}

	/** Proposes the next roster and writes it to the store, if that is available. */
	void propose()
	{
		std::vector<dw_roster_observation> seen;
		dw_roster_list_state list = { now_us, (uint32_t)instances.size() };
		auto next = std::make_unique<dw_roster>();

		for (Instance &instance : instances)
			seen.push_back(observe(instance));
		if (store_up && dw_roster_propose(&store, seen.data(), (uint32_t)seen.size(), &list,
						  now_us, next.get()) == DW_OK)
			store = *next;
	}

	void adopt(Instance &instance)
	{
		if (store_up && store.epoch > 0) {
			ASSERT_EQ(dw_limiter_set_roster(instance.limiter, &store, now_us), DW_OK);
		}
	}

	/** Sends an instance's queued messages; those on a cut link are lost. */
	void flush(Instance &instance)
	{
		dw_member_key to;
		dw_limiter_message message;

		while (dw_limiter_next_message(instance.limiter, &to, &message)) {
			msgpack_sbuffer buffer;
			msgpack_packer packer;

			msgpack_sbuffer_init(&buffer);
			msgpack_packer_init(&packer, &buffer, msgpack_sbuffer_write);
			dw_limiter_message_pack(&packer, &message);
			if (!cut_links.count({ instance.key.instance_id, to.instance_id }))
				network.push_back({ instance.key, to,
						    std::string(buffer.data, buffer.size) });
			msgpack_sbuffer_destroy(&buffer);
			dw_limiter_message_clear(&message);
		}
	}

	void deliver(size_t position, bool keep)
	{
		Packet packet = network[position];
		Instance &to = instances[packet.to.instance_id - 1000];
		msgpack_unpacked unpacked;
		dw_limiter_message message;

		if (to.paused)
			return;
		if (!keep) {
			network[position] = network.back();
			network.pop_back();
		}
		if (!to.alive || !dw_member_key_equal(to.key, packet.to))
			return;
		msgpack_unpacked_init(&unpacked);
		ASSERT_EQ(msgpack_unpack_next(&unpacked, packet.bytes.data(), packet.bytes.size(),
					      nullptr),
			  MSGPACK_UNPACK_SUCCESS);
		ASSERT_EQ(dw_limiter_message_unpack(&unpacked.data, &message), DW_OK);
		dw_limiter_receive(to.limiter, packet.from, &message, now_us);
		dw_limiter_message_clear(&message);
		msgpack_unpacked_destroy(&unpacked);
		flush(to);
	}

	/** Delivers all messages except those to a paused instance. */
	void deliver_all()
	{
		size_t position = 0;

		while (position < network.size()) {
			if (instances[network[position].to.instance_id - 1000].paused)
				position++;
			else
				deliver(position, false);
		}
	}

	void adopt_all()
	{
		for (Instance &instance : instances) {
			if (instance.alive && !instance.paused)
				adopt(instance);
		}
	}

	/** Acquires all available permits at an instance; returns how many were acquired. */
	size_t acquire_all(Instance &instance, uint64_t id)
	{
		size_t before = instance.running.size();

		for (int round = 0; round < 200; round++) {
			while (acquire(instance, id))
				;
			dw_limiter_request_slots(instance.limiter, id, 4, now_us);
			flush(instance);
			advance(DW_LIMITER_DENIED_BACKOFF_US);
			check_invariants();
		}
		return instance.running.size() - before;
	}

	void release_all(Instance &instance)
	{
		while (!instance.running.empty())
			release(instance, 0);
	}

	dw_limiter_status status(const Instance &instance, uint64_t id)
	{
		dw_limiter_status status = {};

		EXPECT_EQ(dw_limiter_upstream_status(instance.limiter, id, &status), DW_OK);
		return status;
	}

	/** Advances the time, ticks all running instances and delivers all messages. */
	void advance(uint64_t us)
	{
		now_us += us;
		for (Instance &instance : instances) {
			if (!instance.alive || instance.paused)
				continue;
			dw_limiter_tick(instance.limiter, now_us);
			flush(instance);
		}
		deliver_all();
	}

	bool acquire(Instance &instance, uint64_t id)
	{
		dw_permit permit;

		if (dw_limiter_acquire(instance.limiter, id, now_us, &permit) != DW_OK)
			return false;
		instance.running.push_back({ permit, status(instance, id).limit });
		EXPECT_LT(permit.slot, instance.running.back().limit);
		return true;
	}

	void release(Instance &instance, size_t position)
	{
		HeldPermit running = instance.running[position];

		instance.running.erase(instance.running.begin() + (long)position);
		ASSERT_EQ(dw_limiter_release(instance.limiter, &running.permit, now_us), DW_OK);
		flush(instance);
	}

	/**
	 * Checks that no slot is used by two requests, and that no upstream runs more requests than
	 * the highest limit that was in effect when one of them got its permit.
	 */
	void check_invariants()
	{
		std::set<std::pair<uint64_t, uint32_t>> used_slots;
		std::map<uint64_t, std::pair<uint32_t, uint32_t>> sums;

		for (Instance &instance : instances) {
			for (HeldPermit &running : instance.running) {
				uint64_t id = running.permit.upstream_id;
				auto &sum = sums[id];

				ASSERT_TRUE(used_slots.insert({ id, running.permit.slot }).second)
					<< "two requests on slot " << running.permit.slot;
				sum.first++;
				sum.second = std::max(sum.second, running.limit);
			}
		}
		for (auto &sum : sums)
			ASSERT_LE(sum.second.first, sum.second.second);
	}

	void change_members();
	void step();
	void end_faults();
	void check_capacity();

	std::mt19937_64 random;
	uint64_t now_us = 100 * S;
	uint64_t runs = 0;
	std::vector<Instance> instances;
	std::map<uint64_t, Limits> upstreams;
	std::vector<Packet> network;
	std::set<std::pair<uint64_t, uint64_t>> cut_links; /* sender and receiver */
	dw_roster store = {};
	bool store_up = true;
	uint32_t churn_permille = 0;
};

/** Simulates one random event that changes the instances or the roster. */
void Simulation::change_members()
{
	Instance &instance = any_instance();
	bool is_running = instance.alive && !instance.paused;
	bool not_in_roster = dw_roster_find(&store, instance.key) < 0;

	switch (random_below(6)) {
	case 0:
	case 1:
		propose();
		break;
	case 2:
	case 3:
		if (is_running)
			adopt(instance);
		break;
	case 4:
		if (!instance.alive ? not_in_roster || chance(200)
				    : not_in_roster && dw_limiter_is_released(instance.limiter))
			start((uint32_t)(&instance - instances.data()));
		else if (chance(200))
			kill(instance);
		now_us += random_below(20 * S);
		break;
	case 5:
		if (is_running && instance.running.empty() && chance(200))
			dw_limiter_leave(instance.limiter);
		break;
	}
}

void Simulation::step()
{
	uint64_t event = random_below(1000);
	Instance &instance = any_instance();
	uint64_t id = any_upstream();
	bool is_running = instance.alive && !instance.paused;

	now_us += chance(20) ? random_below(20 * S) : random_below(20 * MS);
	if (chance(churn_permille)) {
		change_members();
	} else if (event < 345) {
		for (uint64_t more = 1 + random_below(4); more > 0 && !network.empty(); more--) {
			uint64_t index = random_below(network.size());
			deliver(index, chance(50));
		}
	} else if (event < 350) {
		if (!network.empty())
			network.erase(network.begin() + (long)random_below(network.size()));
	} else if (event < 600) {
		if (is_running && !acquire(instance, id))
			dw_limiter_request_slots(instance.limiter, id,
						 1 + (uint32_t)random_below(4), now_us);
	} else if (event < 750) {
		if (is_running && !instance.running.empty())
			release(instance, random_below(instance.running.size()));
	} else if (event < 840) {
		if (is_running)
			dw_limiter_tick(instance.limiter, now_us);
	} else if (event < 860) {
		instance.paused = is_running && chance(300);
	} else if (event < 870) {
		if (!instance.alive)
			start((uint32_t)(&instance - instances.data()));
		else if (chance(200))
			kill(instance);
	} else if (event < 890) {
		propose();
	} else if (event < 950) {
		if (is_running)
			adopt(instance);
	} else if (event < 955) {
		store_up = !store_up || chance(600);
	} else if (event < 965) {
		std::pair<uint64_t, uint64_t> link = { instance.key.instance_id,
						       any_instance().key.instance_id };

		if (!cut_links.erase(link) && chance(500))
			cut_links.insert(link);
	} else if (event < 975) {
		upstreams[id].limit = 1 + (uint32_t)random_below(2 * instances.size());
		upstreams[id].cold_limit = 1 + (uint32_t)random_below(2);
	} else if (event < 980) {
		upstreams[id].cold = !upstreams[id].cold && chance(300);
	} else if (event < 997) {
		if (is_running)
			configure(instance, id);
	} else if (is_running && instance.running.empty() && chance(200)) {
		dw_limiter_leave(instance.limiter);
	}
	if (instance.alive && !instance.paused)
		flush(instance);
	if (network.size() > 200)
		network.erase(network.begin(), network.begin() + 100);
}

/** Ends all faults and requests, and runs until the rosters and declarations are exchanged. */
void Simulation::end_faults()
{
	cut_links.clear();
	store_up = true;
	for (Instance &instance : instances) {
		instance.paused = false;
		if (!instance.alive)
			continue;
		release_all(instance);
		for (auto &upstream : upstreams)
			configure(instance, upstream.first);
	}
	for (int round = 0; round < 8; round++) {
		propose();
		adopt_all();
		advance(15 * S);
		check_invariants();
	}
}

/** Checks that without load each slot within the limit is free at its owner, and that one instance
 * can use all of them. */
void Simulation::check_capacity()
{
	Instance *last = nullptr;

	for (auto &upstream : upstreams) {
		uint32_t free = 0;

		for (Instance &instance : instances) {
			if (!instance.alive)
				continue;

			dw_limiter_status seen = status(instance, upstream.first);

			free += seen.free;
			ASSERT_EQ(seen.unsettled, 0U);
			ASSERT_EQ(seen.lent + seen.borrowed + seen.in_flight, 0U);
			if (dw_roster_find(&store, instance.key) >= 0)
				last = &instance;
		}
		if (last) {
			ASSERT_EQ(free, status(*last, upstream.first).limit);
		}
	}
	if (!last)
		return;
	for (auto &upstream : upstreams)
		ASSERT_EQ(acquire_all(*last, upstream.first), status(*last, upstream.first).limit);
}

/** A settled group with one warm upstream of id 1; the last @p later instances aren't started. */
std::unique_ptr<Simulation> settled_simulation(uint32_t count, uint32_t limit, uint32_t later = 0)
{
	auto simulation = std::make_unique<Simulation>(1, count);

	for (uint32_t i = count - later; i < count; i++)
		simulation->instances[i].alive = false;
	simulation->upstreams[1] = { limit, 1, false };
	simulation->end_faults();
	return simulation;
}

uint64_t env_number(const char *name, uint64_t fallback)
{
	const char *value = getenv(name);

	return value ? strtoull(value, nullptr, 10) : fallback;
}

TEST(LimiterSimulation, NoSlotRunsTwoRequestsAndNoneIsLost)
{
	uint64_t first = env_number("WHARF_SEED", 1);
	uint64_t seeds = getenv("WHARF_SEED") ? 1 : env_number("WHARF_SEEDS", 3000);

	for (uint64_t seed = first; seed < first + seeds; seed++) {
		Simulation simulation(seed, 2 + seed % 8);

		simulation.churn_permille =
			seed % 3 == 0 ? 0 : (uint32_t)simulation.random_below(200);
		SCOPED_TRACE("replay with WHARF_SEED=" + std::to_string(seed));
		for (uint64_t id = 1; id <= 1 + seed % 3; id++)
			simulation.upstreams[id] = {
				1 + (uint32_t)simulation.random_below(2 * (2 + seed % 8)), 1, false
			};
		for (Instance &instance : simulation.instances) {
			for (auto &upstream : simulation.upstreams)
				simulation.configure(instance, upstream.first);
		}
		for (int step = 0; step < 600 && !testing::Test::HasFailure(); step++) {
			simulation.step();
			simulation.check_invariants();
		}
		if (!testing::Test::HasFailure())
			simulation.end_faults();
		if (!testing::Test::HasFailure())
			simulation.check_capacity();
		ASSERT_FALSE(testing::Test::HasFailure());
	}
}

/* A paused member misses an epoch in which owners changed. When one member declares a slot as held
 * in the next epoch, that must not settle the slot: another member may still use it. */
TEST(Limiter, AnEpochThatAFormerOwnerSkippedGivesNoSlotToItsOwner)
{
	auto simulation = settled_simulation(4, 32, 1);
	Instance &former = simulation->instances[0];
	Instance &borrower = simulation->instances[1];
	Instance &other = simulation->instances[2];
	Instance &joined = simulation->instances[3];

	EXPECT_EQ(simulation->acquire_all(borrower, 1), 32U);
	former.paused = true;
	simulation->start(3);
	simulation->propose();
	simulation->adopt_all();
	simulation->advance(S);
	simulation->release_all(borrower);
	simulation->deliver_all();
	simulation->acquire_all(other, 1);
	EXPECT_GT(other.running.size(), 0U);
	simulation->kill(borrower);
	simulation->kill(joined);
	simulation->now_us += 60 * S;
	simulation->propose();
	former.paused = false;
	simulation->adopt(former);
	EXPECT_EQ(dw_limiter_epoch(former.limiter), dw_limiter_epoch(other.limiter) + 1);
	simulation->acquire_all(former, 1);
	simulation->adopt_all();
	simulation->acquire_all(former, 1);
	EXPECT_EQ(former.running.size() + other.running.size(), 32U);
}

/* A declaration from an earlier epoch must not be taken as proof that a loan has ended which the
 * previous owner, paused in that epoch, hands over later. */
TEST(Limiter, AnAcknowledgementOfAnOlderEpochProvesNothingOfALoanHandedOver)
{
	auto simulation = settled_simulation(4, 32, 2);
	Instance &former = simulation->instances[0];
	Instance &borrower = simulation->instances[1];
	Instance &joined = simulation->instances[2];

	EXPECT_EQ(simulation->acquire_all(borrower, 1), 32U);
	former.paused = true;
	simulation->start(2);
	simulation->propose();
	simulation->adopt_all();
	simulation->advance(S);
	simulation->start(3);
	simulation->propose();
	former.paused = false;
	simulation->adopt(former);
	simulation->adopt(joined);
	simulation->advance(S);
	EXPECT_EQ(simulation->acquire_all(joined, 1), 0U);
}

/* A joined member may use a handed-over slot before the epoch has settled. */
TEST(Limiter, AJoinerUsesWhatItsFormerOwnersHandOverThoughAnotherIsPaused)
{
	auto simulation = settled_simulation(4, 32, 1);
	Instance &joined = simulation->instances[3];

	simulation->instances[0].paused = true;
	simulation->start(3);
	simulation->propose();
	simulation->adopt_all();
	simulation->advance(S);
	EXPECT_GT(simulation->status(joined, 1).free, 0U);
	EXPECT_GT(simulation->status(joined, 1).unsettled, 0U);
	simulation->instances[0].paused = false;
	simulation->adopt_all();
	simulation->advance(S);
	EXPECT_EQ(simulation->status(joined, 1).unsettled, 0U);
}

TEST(Limiter, AGrantThatOutlivesItsEpochIsRefused)
{
	auto simulation = settled_simulation(3, 32, 1);
	Instance &borrower = simulation->instances[1];
	std::vector<Packet> grants;

	while (simulation->acquire(borrower, 1))
		;
	dw_limiter_request_slots(borrower.limiter, 1, 4, simulation->now_us);
	simulation->flush(borrower);
	while (!simulation->network.empty() && simulation->network[0].to.instance_id == 1000)
		simulation->deliver(0, false);
	grants.swap(simulation->network);
	ASSERT_GT(grants.size(), 0U);
	simulation->start(2);
	simulation->propose();
	simulation->adopt_all();
	simulation->advance(S);
	simulation->acquire_all(simulation->instances[2], 1);
	simulation->network = grants;
	simulation->deliver_all();
	while (simulation->acquire(borrower, 1))
		;
	simulation->check_invariants();
	simulation->end_faults();
	simulation->check_capacity();
}

/* A delayed declaration lists loans that have ended since; their slots must stay free. */
TEST(Limiter, AnOlderDeclarationTakesNoFreeSlotOutOfUse)
{
	auto simulation = settled_simulation(2, 8);
	Instance &owner = simulation->instances[0];
	Instance &borrower = simulation->instances[1];
	uint32_t before = simulation->status(owner, 1).free;

	EXPECT_EQ(simulation->acquire_all(borrower, 1), 8U);
	simulation->advance(S);
	simulation->now_us += 20 * S;
	dw_limiter_tick(owner.limiter, simulation->now_us);
	simulation->flush(owner);
	ASSERT_EQ(simulation->network.size(), 1U);
	simulation->deliver(0, false);
	std::vector<Packet> declaration = simulation->network;
	ASSERT_EQ(declaration.size(), 1U);
	ASSERT_GT(declaration[0].bytes.size(), 20U);
	simulation->deliver_all();
	simulation->release_all(borrower);
	for (int round = 0; round < 3; round++)
		simulation->advance(20 * S);
	EXPECT_EQ(simulation->status(owner, 1).free, before);
	simulation->network = declaration;
	simulation->deliver_all();
	EXPECT_EQ(simulation->status(owner, 1).free, before);
}

/* With a limit below the number of instances, owners must lend the slot to each in turn. */
TEST(Limiter, ACapBelowTheNumberOfInstancesServesEachInTurn)
{
	auto simulation = settled_simulation(9, 1);
	std::set<uint64_t> served;

	for (int round = 0; round < 2000 && served.size() < 9; round++) {
		for (Instance &instance : simulation->instances) {
			simulation->release_all(instance);
			if (simulation->acquire(instance, 1))
				served.insert(instance.key.instance_id);
			else
				dw_limiter_request_slots(instance.limiter, 1, 1,
							 simulation->now_us);
		}
		simulation->check_invariants();
		simulation->advance(10 * MS);
	}
	EXPECT_EQ(served.size(), 9U);
}

TEST(Limiter, AnUnreachableOwnerIsNotAsked)
{
	auto simulation = settled_simulation(3, 32);
	Instance &one = simulation->instances[0];

	dw_limiter_set_reachable(one.limiter, simulation->instances[1].key, false);
	EXPECT_EQ(simulation->acquire_all(one, 1),
		  32U - simulation->status(simulation->instances[1], 1).owned);
	dw_limiter_set_reachable(one.limiter, simulation->instances[1].key, true);
	simulation->acquire_all(one, 1);
	EXPECT_EQ(one.running.size(), 32U);
}

TEST(Limiter, LimitsGoUpAtOnceAndDownAsRequestsEnd)
{
	auto simulation = settled_simulation(3, 4);
	Instance &one = simulation->instances[0];

	EXPECT_EQ(simulation->acquire_all(one, 1), 4U);
	simulation->upstreams[1].limit = 40;
	for (Instance &instance : simulation->instances)
		simulation->configure(instance, 1);
	EXPECT_EQ(simulation->acquire_all(one, 1), 36U);
	simulation->upstreams[1] = { 40, 2, true };
	for (Instance &instance : simulation->instances)
		simulation->configure(instance, 1);
	simulation->release_all(one);
	simulation->advance(S);
	EXPECT_EQ(simulation->acquire_all(one, 1), 2U);
}

/** Without faults, the group gives exactly the permits that a single process would give. */
TEST(Limiter, GivesTheSamePermitsAsASingleProcess)
{
	for (uint64_t seed = 1; seed <= 20; seed++) {
		auto simulation = settled_simulation(2 + (uint32_t)seed % 8, 1 + (uint32_t)seed);
		uint64_t expected_in_flight = 0;

		SCOPED_TRACE(seed);
		simulation->random.seed(seed);
		for (int step = 0; step < 100; step++) {
			Instance &instance = simulation->any_instance();
			bool free = expected_in_flight < 1 + seed;

			if (simulation->chance(600)) {
				bool given = simulation->acquire(instance, 1);

				for (int round = 0; round < 60 && !given; round++) {
					dw_limiter_request_slots(instance.limiter, 1, 1,
								 simulation->now_us);
					simulation->advance(DW_LIMITER_DENIED_BACKOFF_US);
					given = simulation->acquire(instance, 1);
				}
				ASSERT_EQ(given, free);
				expected_in_flight += given;
			} else if (!instance.running.empty()) {
				simulation->release(instance, 0);
				expected_in_flight--;
			}
		}
	}
}

TEST(Limiter, RefusesAnOlderRosterAndTwoContentsOfOneEpoch)
{
	auto simulation = settled_simulation(3, 4);
	dw_roster other = simulation->store;
	dw_limiter *limiter = simulation->instances[0].limiter;

	other.member_count--;
	EXPECT_EQ(dw_limiter_set_roster(limiter, &other, 0), DW_CONFLICT);
	other.epoch--;
	EXPECT_EQ(dw_limiter_set_roster(limiter, &other, 0), DW_STALE);
	EXPECT_EQ(dw_limiter_epoch(limiter), simulation->store.epoch);
}

TEST(LimiterCodec, RejectsTruncatedAndCorruptedMessages)
{
	dw_limiter_entry entries[2] = { { 7, 9, 3, DW_LIMITER_HELD, 0 },
					{ 8, 10, 1023, DW_LIMITER_HANDOVER_LENT, 5 } };
	dw_limiter_message sent = {};
	msgpack_sbuffer buffer;
	msgpack_packer packer;

	sent.kind = DW_LIMITER_DECLARE;
	sent.declare.entries = entries;
	sent.declare.entry_count = 2;
	msgpack_sbuffer_init(&buffer);
	msgpack_packer_init(&packer, &buffer, msgpack_sbuffer_write);
	dw_limiter_message_pack(&packer, &sent);
	for_each_byte_mutation(buffer, [](const msgpack_object &object, bool same) {
		dw_limiter_message message;
		bool decoded = dw_limiter_message_unpack(&object, &message) == DW_OK;

		ASSERT_TRUE(decoded || !same);
		if (!decoded)
			return;
		EXPECT_LT((int)message.kind, (int)DW_LIMITER_MESSAGE_KIND_COUNT);
		if (same) {
			ASSERT_EQ(message.declare.entry_count, 2U);
			EXPECT_EQ(message.declare.entries[1].slot, 1023);
			EXPECT_EQ(message.declare.entries[1].borrower, 5);
		}
		dw_limiter_message_clear(&message);
	});
	msgpack_sbuffer_destroy(&buffer);
}

TEST(LimiterCodec, RefusesAMessageOfAnUnknownKind)
{
	dw_limiter_message sent = {};
	msgpack_sbuffer buffer;
	msgpack_packer packer;

	sent.kind = DW_LIMITER_GRANT;
	sent.loan.slot = 1000;
	msgpack_sbuffer_init(&buffer);
	msgpack_packer_init(&packer, &buffer, msgpack_sbuffer_write);
	dw_limiter_message_pack(&packer, &sent);
	for_each_byte_mutation(buffer, [](const msgpack_object &object, bool same) {
		dw_limiter_message message;
		bool decoded = dw_limiter_message_unpack(&object, &message) == DW_OK;

		ASSERT_TRUE(decoded || !same);
		if (decoded) {
			EXPECT_LT((int)message.kind, (int)DW_LIMITER_DECLARE);
			EXPECT_LT(message.loan.slot, DW_LIMITER_SLOTS_MAX);
		}
	});
	msgpack_sbuffer_destroy(&buffer);
}

} // namespace
