/**
 * Load shares: rules one by one, then a model of instances, network, store and platform list under
 * random faults. A failing seed is printed; WHARF_SEED=n replays it alone, WHARF_SEEDS=n runs more.
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

struct Running {
	dw_permit permit;
	uint32_t limit; /* the acquirer's limit in force at that time */
};

/** One name on the platform, and the process that runs under it now. */
struct Instance {
	dw_member_key key{};
	bool alive = false;
	bool paused = false;
	bool leaving = false;
	uint64_t unlisted_since_us = UINT64_MAX;
	dw_limiter *share = nullptr;
	std::vector<Running> running;
};

struct Limits {
	uint32_t limit;
	uint32_t cold_limit;
	bool cold;
};

class World
{
      public:
	explicit World(uint64_t seed, uint32_t count) : random(seed), instances(count)
	{
		for (uint32_t i = 0; i < count; i++)
			start(i);
	}

	~World()
	{
		for (Instance &instance : instances)
			dw_limiter_free(instance.share);
	}

	uint64_t below(uint64_t bound)
	{
		return random() % bound;
	}

	bool chance(uint32_t permille)
	{
		return below(1000) < permille;
	}

	Instance &any()
	{
		return instances[below(instances.size())];
	}

	uint64_t any_upstream()
	{
		return 1 + below(upstreams.size());
	}

	void start(uint32_t i)
	{
		Instance &instance = instances[i];

		dw_limiter_free(instance.share);
		instance = Instance();
		instance.key = { 1000 + i, ++runs };
		instance.alive = true;
		instance.share = dw_limiter_new(instance.key);
		for (auto &upstream : upstreams)
			configure(instance, upstream.first);
	}

	void kill(Instance &instance)
	{
		instance.alive = false;
		instance.running.clear();
		instance.unlisted_since_us = now_us + below(5 * S);
	}

	void configure(Instance &instance, uint64_t id)
	{
		const Limits &limits = upstreams[id];

		dw_limiter_set_upstream(instance.share, id, limits.limit, limits.cold_limit);
		dw_limiter_set_cold(instance.share, id, limits.cold);
	}

	/** What an instance takes for true: it may call a paused one dead, never unlisted. */
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
		if (instance.alive && dw_limiter_is_released(instance.share))
			seen.condition = DW_ROSTER_RELEASED;
		seen.was_listed = true;
		seen.unlisted_since_us = now_us >= instance.unlisted_since_us
						 ? instance.unlisted_since_us
						 : UINT64_MAX;
		return seen;
	}

	/** An instance proposes the next roster; another's write in between makes it lose. */
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
			ASSERT_EQ(dw_limiter_set_roster(instance.share, &store, now_us), DW_OK);
		}
	}

	/** Moves an instance's outbox into the network; a cut swallows it. */
	void flush(Instance &instance)
	{
		dw_member_key to;
		dw_limiter_message message;

		while (dw_limiter_next_message(instance.share, &to, &message)) {
			msgpack_sbuffer buffer;
			msgpack_packer packer;

			msgpack_sbuffer_init(&buffer);
			msgpack_packer_init(&packer, &buffer, msgpack_sbuffer_write);
			dw_limiter_message_pack(&packer, &message);
			if (!cuts.count({ instance.key.instance_id, to.instance_id }))
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
		dw_limiter_receive(to.share, packet.from, &message, now_us);
		dw_limiter_message_clear(&message);
		msgpack_unpacked_destroy(&unpacked);
		flush(to);
	}

	/** Delivers all but what waits for a paused instance. */
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

	/** Takes all permits that can be had from here; returns how many more run now. */
	size_t take_all(Instance &instance, uint64_t id)
	{
		size_t before = instance.running.size();

		for (int round = 0; round < 200; round++) {
			while (acquire(instance, id))
				;
			dw_limiter_request_slots(instance.share, id, 4, now_us);
			flush(instance);
			pass(DW_LIMITER_DENIED_BACKOFF_US);
			check();
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

		EXPECT_EQ(dw_limiter_upstream_status(instance.share, id, &status), DW_OK);
		return status;
	}

	/** Lets every live instance act on the time, and all messages arrive. */
	void pass(uint64_t us)
	{
		now_us += us;
		for (Instance &instance : instances) {
			if (!instance.alive || instance.paused)
				continue;
			dw_limiter_tick(instance.share, now_us);
			flush(instance);
		}
		deliver_all();
	}

	bool acquire(Instance &instance, uint64_t id)
	{
		dw_permit permit;

		if (dw_limiter_acquire(instance.share, id, now_us, &permit) != DW_OK)
			return false;
		instance.running.push_back({ permit, status(instance, id).limit });
		EXPECT_LT(permit.slot, instance.running.back().limit);
		return true;
	}

	void release(Instance &instance, size_t position)
	{
		Running running = instance.running[position];

		instance.running.erase(instance.running.begin() + (long)position);
		ASSERT_EQ(dw_limiter_release(instance.share, &running.permit, now_us), DW_OK);
		flush(instance);
	}

	/**
	 * The promise: no slot runs two requests, so no upstream runs more than the highest limit
	 * under which one of its running requests got its permit.
	 */
	void check()
	{
		std::set<std::pair<uint64_t, uint32_t>> taken;
		std::map<uint64_t, std::pair<uint32_t, uint32_t>> sums;

		for (Instance &instance : instances) {
			for (Running &running : instance.running) {
				uint64_t id = running.permit.upstream_id;
				auto &sum = sums[id];

				ASSERT_TRUE(taken.insert({ id, running.permit.slot }).second)
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
	void heal();
	void check_capacity();

	std::mt19937_64 random;
	uint64_t now_us = 100 * S;
	uint64_t runs = 0;
	std::vector<Instance> instances;
	std::map<uint64_t, Limits> upstreams;
	std::vector<Packet> network;
	std::set<std::pair<uint64_t, uint64_t>> cuts; /* from, to */
	dw_roster store = {};
	bool store_up = true;
	uint32_t churn_permille = 0;
};

/** One event of instances coming and going, or of the roster following them. */
void World::change_members()
{
	Instance &instance = any();
	bool runs_now = instance.alive && !instance.paused;
	bool out = dw_roster_find(&store, instance.key) < 0;

	switch (below(6)) {
	case 0:
	case 1:
		propose();
		break;
	case 2:
	case 3:
		if (runs_now)
			adopt(instance);
		break;
	case 4:
		if (!instance.alive ? out || chance(200)
				    : out && dw_limiter_is_released(instance.share))
			start((uint32_t)(&instance - instances.data()));
		else if (chance(200))
			kill(instance);
		now_us += below(20 * S);
		break;
	case 5:
		if (runs_now && instance.running.empty() && chance(200))
			dw_limiter_leave(instance.share);
		break;
	}
}

void World::step()
{
	uint64_t dice = below(1000);
	Instance &instance = any();
	uint64_t id = any_upstream();
	bool runs_now = instance.alive && !instance.paused;

	now_us += chance(20) ? below(20 * S) : below(20 * MS);
	if (chance(churn_permille)) {
		change_members();
	} else if (dice < 345) {
		for (uint64_t more = 1 + below(4); more > 0 && !network.empty(); more--)
			deliver(below(network.size()), chance(50));
	} else if (dice < 350) {
		if (!network.empty())
			network.erase(network.begin() + (long)below(network.size()));
	} else if (dice < 600) {
		if (runs_now && !acquire(instance, id))
			dw_limiter_request_slots(instance.share, id, 1 + (uint32_t)below(4),
						 now_us);
	} else if (dice < 750) {
		if (runs_now && !instance.running.empty())
			release(instance, below(instance.running.size()));
	} else if (dice < 840) {
		if (runs_now)
			dw_limiter_tick(instance.share, now_us);
	} else if (dice < 860) {
		instance.paused = runs_now && chance(300);
	} else if (dice < 870) {
		if (!instance.alive)
			start((uint32_t)(&instance - instances.data()));
		else if (chance(200))
			kill(instance);
	} else if (dice < 890) {
		propose();
	} else if (dice < 950) {
		if (runs_now)
			adopt(instance);
	} else if (dice < 955) {
		store_up = !store_up || chance(600);
	} else if (dice < 965) {
		std::pair<uint64_t, uint64_t> link = { instance.key.instance_id,
						       any().key.instance_id };

		if (!cuts.erase(link) && chance(500))
			cuts.insert(link);
	} else if (dice < 975) {
		upstreams[id].limit = 1 + (uint32_t)below(2 * instances.size());
		upstreams[id].cold_limit = 1 + (uint32_t)below(2);
	} else if (dice < 980) {
		upstreams[id].cold = !upstreams[id].cold && chance(300);
	} else if (dice < 997) {
		if (runs_now)
			configure(instance, id);
	} else if (runs_now && instance.running.empty() && chance(200)) {
		dw_limiter_leave(instance.share);
	}
	if (instance.alive && !instance.paused)
		flush(instance);
	if (network.size() > 200)
		network.erase(network.begin(), network.begin() + 100);
}

/** Faults end, requests end, and the messages that are due go to and fro. */
void World::heal()
{
	cuts.clear();
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
		pass(15 * S);
		check();
	}
}

/** At rest each slot in force is free at one owner, and one instance alone can use them all. */
void World::check_capacity()
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
		ASSERT_EQ(take_all(*last, upstream.first), status(*last, upstream.first).limit);
}

/** A settled group before one warm upstream, 1; the last @p later instances aren't started. */
std::unique_ptr<World> quiet_world(uint32_t count, uint32_t limit, uint32_t later = 0)
{
	auto world = std::make_unique<World>(1, count);

	for (uint32_t i = count - later; i < count; i++)
		world->instances[i].alive = false;
	world->upstreams[1] = { limit, 1, false };
	world->heal();
	return world;
}

uint64_t setting(const char *name, uint64_t fallback)
{
	const char *value = getenv(name);

	return value ? strtoull(value, nullptr, 10) : fallback;
}

TEST(ShareModel, NoSlotRunsTwoRequestsAndNoneIsLost)
{
	uint64_t first = setting("WHARF_SEED", 1);
	uint64_t seeds = getenv("WHARF_SEED") ? 1 : setting("WHARF_SEEDS", 3000);

	for (uint64_t seed = first; seed < first + seeds; seed++) {
		World world(seed, 2 + seed % 8);

		world.churn_permille = seed % 3 == 0 ? 0 : (uint32_t)world.below(200);
		SCOPED_TRACE("replay with WHARF_SEED=" + std::to_string(seed));
		for (uint64_t id = 1; id <= 1 + seed % 3; id++)
			world.upstreams[id] = { 1 + (uint32_t)world.below(2 * (2 + seed % 8)), 1,
						false };
		for (Instance &instance : world.instances) {
			for (auto &upstream : world.upstreams)
				world.configure(instance, upstream.first);
		}
		for (int step = 0; step < 600 && !testing::Test::HasFailure(); step++) {
			world.step();
			world.check();
		}
		if (!testing::Test::HasFailure())
			world.heal();
		if (!testing::Test::HasFailure())
			world.check_capacity();
		ASSERT_FALSE(testing::Test::HasFailure());
	}
}

TEST(Share, AnEpochThatAFormerOwnerSkippedGivesNoSlotToItsOwner)
{
	auto world = quiet_world(4, 32, 1);
	Instance &former = world->instances[0];
	Instance &borrower = world->instances[1];
	Instance &other = world->instances[2];
	Instance &joined = world->instances[3];

	EXPECT_EQ(world->take_all(borrower, 1), 32U);
	former.paused = true;
	world->start(3);
	world->propose();
	world->adopt_all();
	world->pass(S);
	world->release_all(borrower);
	world->deliver_all();
	world->take_all(other, 1);
	EXPECT_GT(other.running.size(), 0U);
	world->kill(borrower);
	world->kill(joined);
	world->now_us += 60 * S;
	world->propose();
	former.paused = false;
	world->adopt(former);
	EXPECT_EQ(dw_limiter_epoch(former.share), dw_limiter_epoch(other.share) + 1);
	world->take_all(former, 1);
	world->adopt_all();
	world->take_all(former, 1);
	EXPECT_EQ(former.running.size() + other.running.size(), 32U);
}

TEST(Share, AnAcknowledgementOfAnOlderEpochProvesNothingOfALoanHandedOver)
{
	auto world = quiet_world(4, 32, 2);
	Instance &former = world->instances[0];
	Instance &borrower = world->instances[1];
	Instance &joined = world->instances[2];

	EXPECT_EQ(world->take_all(borrower, 1), 32U);
	former.paused = true;
	world->start(2);
	world->propose();
	world->adopt_all();
	world->pass(S);
	world->start(3);
	world->propose();
	former.paused = false;
	world->adopt(former);
	world->adopt(joined);
	world->pass(S);
	EXPECT_EQ(world->take_all(joined, 1), 0U);
}

TEST(Share, AJoinerUsesWhatItsFormerOwnersHandOverThoughAnotherIsPaused)
{
	auto world = quiet_world(4, 32, 1);
	Instance &joined = world->instances[3];

	world->instances[0].paused = true;
	world->start(3);
	world->propose();
	world->adopt_all();
	world->pass(S);
	EXPECT_GT(world->status(joined, 1).free, 0U);
	EXPECT_GT(world->status(joined, 1).unsettled, 0U);
	world->instances[0].paused = false;
	world->adopt_all();
	world->pass(S);
	EXPECT_EQ(world->status(joined, 1).unsettled, 0U);
}

TEST(Share, AGrantThatOutlivesItsEpochIsRefused)
{
	auto world = quiet_world(3, 32, 1);
	Instance &borrower = world->instances[1];
	std::vector<Packet> grants;

	while (world->acquire(borrower, 1))
		;
	dw_limiter_request_slots(borrower.share, 1, 4, world->now_us);
	world->flush(borrower);
	while (!world->network.empty() && world->network[0].to.instance_id == 1000)
		world->deliver(0, false);
	grants.swap(world->network);
	ASSERT_GT(grants.size(), 0U);
	world->start(2);
	world->propose();
	world->adopt_all();
	world->pass(S);
	world->take_all(world->instances[2], 1);
	world->network = grants;
	world->deliver_all();
	while (world->acquire(borrower, 1))
		;
	world->check();
	world->heal();
	world->check_capacity();
}

TEST(Share, AnOlderDeclarationTakesNoFreeSlotOutOfUse)
{
	auto world = quiet_world(2, 8);
	Instance &owner = world->instances[0];
	Instance &borrower = world->instances[1];
	uint32_t before = world->status(owner, 1).free;

	EXPECT_EQ(world->take_all(borrower, 1), 8U);
	world->pass(S);
	world->now_us += 20 * S;
	dw_limiter_tick(owner.share, world->now_us);
	world->flush(owner);
	ASSERT_EQ(world->network.size(), 1U);
	world->deliver(0, false);
	std::vector<Packet> declaration = world->network;
	ASSERT_EQ(declaration.size(), 1U);
	ASSERT_GT(declaration[0].bytes.size(), 20U);
	world->deliver_all();
	world->release_all(borrower);
	for (int round = 0; round < 3; round++)
		world->pass(20 * S);
	EXPECT_EQ(world->status(owner, 1).free, before);
	world->network = declaration;
	world->deliver_all();
	EXPECT_EQ(world->status(owner, 1).free, before);
}

TEST(Share, ACapBelowTheNumberOfInstancesServesEachInTurn)
{
	auto world = quiet_world(9, 1);
	std::set<uint64_t> served;

	for (int round = 0; round < 2000 && served.size() < 9; round++) {
		for (Instance &instance : world->instances) {
			world->release_all(instance);
			if (world->acquire(instance, 1))
				served.insert(instance.key.instance_id);
			else
				dw_limiter_request_slots(instance.share, 1, 1, world->now_us);
		}
		world->check();
		world->pass(10 * MS);
	}
	EXPECT_EQ(served.size(), 9U);
}

TEST(Share, AnUnreachableOwnerIsNotAsked)
{
	auto world = quiet_world(3, 32);
	Instance &one = world->instances[0];

	dw_limiter_set_reachable(one.share, world->instances[1].key, false);
	EXPECT_EQ(world->take_all(one, 1), 32U - world->status(world->instances[1], 1).owned);
	dw_limiter_set_reachable(one.share, world->instances[1].key, true);
	world->take_all(one, 1);
	EXPECT_EQ(one.running.size(), 32U);
}

TEST(Share, LimitsGoUpAtOnceAndDownAsRequestsEnd)
{
	auto world = quiet_world(3, 4);
	Instance &one = world->instances[0];

	EXPECT_EQ(world->take_all(one, 1), 4U);
	world->upstreams[1].limit = 40;
	for (Instance &instance : world->instances)
		world->configure(instance, 1);
	EXPECT_EQ(world->take_all(one, 1), 36U);
	world->upstreams[1] = { 40, 2, true };
	for (Instance &instance : world->instances)
		world->configure(instance, 1);
	world->release_all(one);
	world->pass(S);
	EXPECT_EQ(world->take_all(one, 1), 2U);
}

/** Nine instances without faults give just the permits that one process with all views gives. */
TEST(Share, GivesWhatOneProcessWouldGiveWhenQuiet)
{
	for (uint64_t seed = 1; seed <= 20; seed++) {
		auto world = quiet_world(2 + (uint32_t)seed % 8, 1 + (uint32_t)seed);
		uint64_t naive = 0;

		SCOPED_TRACE(seed);
		world->random.seed(seed);
		for (int step = 0; step < 100; step++) {
			Instance &instance = world->any();
			bool free = naive < 1 + seed;

			if (world->chance(600)) {
				bool given = world->acquire(instance, 1);

				for (int round = 0; round < 60 && !given; round++) {
					dw_limiter_request_slots(instance.share, 1, 1,
								 world->now_us);
					world->pass(DW_LIMITER_DENIED_BACKOFF_US);
					given = world->acquire(instance, 1);
				}
				ASSERT_EQ(given, free);
				naive += given;
			} else if (!instance.running.empty()) {
				world->release(instance, 0);
				naive--;
			}
		}
	}
}

TEST(Share, RefusesAnOlderRosterAndTwoContentsOfOneEpoch)
{
	auto world = quiet_world(3, 4);
	dw_roster other = world->store;
	dw_limiter *share = world->instances[0].share;

	other.member_count--;
	EXPECT_EQ(dw_limiter_set_roster(share, &other, 0), DW_CONFLICT);
	other.epoch--;
	EXPECT_EQ(dw_limiter_set_roster(share, &other, 0), DW_STALE);
	EXPECT_EQ(dw_limiter_epoch(share), world->store.epoch);
}

TEST(ShareCodec, RefusesEveryCutAndEveryChangedByteWithoutHarm)
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
		bool taken = dw_limiter_message_unpack(&object, &message) == DW_OK;

		ASSERT_TRUE(taken || !same);
		if (!taken)
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

TEST(ShareCodec, RefusesAMessageOfAnUnknownKind)
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
		bool taken = dw_limiter_message_unpack(&object, &message) == DW_OK;

		ASSERT_TRUE(taken || !same);
		if (taken) {
			EXPECT_LT((int)message.kind, (int)DW_LIMITER_DECLARE);
			EXPECT_LT(message.loan.slot, DW_LIMITER_SLOTS_MAX);
		}
	});
	msgpack_sbuffer_destroy(&buffer);
}

} // namespace
