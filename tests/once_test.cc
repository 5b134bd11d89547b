#include <gtest/gtest.h>

#include <algorithm>
#include <cstdlib>
#include <cstring>
#include <deque>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include <dragonflywharf/once.h>

#include "core/once_shard.h"

namespace
{

constexpr uint64_t MS = 1000;
constexpr uint64_t SECOND = 1000 * MS;
constexpr int KEYS = 12;

struct Value {
	uint64_t revision = 0;
	std::string bytes;
};

/* A compare-and-swap store with one revision counter over all keys. */
struct Store {
	std::map<uint32_t, Value> values;
	uint64_t revision = 0;
	bool down = false;

	bool cas(uint32_t shard, uint64_t expected, const std::string &bytes, uint64_t *got)
	{
		Value &value = values[shard];
		if (value.revision != expected)
			return false;
		value = Value{ ++revision, bytes };
		*got = revision;
		return true;
	}
};

struct Operation {
	dw_once_operation head{};
	std::string bytes;
};

struct Call {
	int key = 0;
	bool refused = false;
	bool other_body = false;
	bool whole = false; /* its answer came whole */
	bool ran_before = false; /* the key had run when the call began */
};

enum class Phase { Request, Answer };

/* An operation or its answer under way between an instance and the store. */
struct Message {
	int instance;
	uint64_t incarnation;
	Phase phase;
	Operation operation;
	dw_once_completion completion{};
	std::string bytes;
	bool answer_lost = false;
};

struct Instance {
	std::unique_ptr<dw_once, void (*)(dw_once *)> once{ nullptr, dw_once_free };
	uint64_t incarnation = 0;
	bool paused = false;
	std::map<uint64_t, Call> calls;
	std::vector<uint64_t> dispatched;
	size_t never_finished = 0;
};

dw_once_options small_options(uint64_t instance, uint64_t incarnation)
{
	dw_once_options options = dw_once_default_options({ instance, incarnation });
	options.shard_count = 2;
	options.group_interval_us = 5 * MS;
	options.outcome_wait_us = 50 * MS;
	options.intent_timeout_us = SECOND;
	return options;
}

struct World {
	std::mt19937_64 random;
	Store store;
	std::vector<Instance> instances;
	std::deque<Message> network;
	std::vector<int> executions;
	std::vector<bool> kept;
	std::vector<bool> kept_other_body;
	uint64_t now_us = SECOND;
	bool outage = false;
	bool quiet = false;
	uint64_t replays = 0;
	uint64_t refusals = 0;

	World(uint64_t seed, int keys)
	    : random(seed), executions(keys), kept(keys), kept_other_body(keys)
	{
		instances.resize(2 + random() % 4);
		for (size_t i = 0; i < instances.size(); i++)
			start((int)i);
	}

	bool chance(int percent)
	{
		return (int)(random() % 100) < percent;
	}

	dw_once_time time()
	{
		return { now_us, now_us + 1000 * SECOND, random() };
	}

	void start(int index)
	{
		Instance &instance = instances[index];
		dw_once *once = nullptr;
		instance = Instance();
		instance.incarnation = ++now_us;
		dw_once_options options = small_options(index + 1, instance.incarnation);
		ASSERT_EQ(dw_once_new(&once, &options), DW_OK);
		instance.once.reset(once);
	}

	void begin(int index, int key, bool other_body)
	{
		Instance &instance = instances[index];
		std::string name = "key-" + std::to_string(key);
		dw_once_request request = { "atlas",
					    "orders",
					    name.c_str(),
					    { 7, other_body ? 2u : 1u },
					    now_us + 2 * SECOND };
		uint64_t ticket;
		if (dw_once_begin(instance.once.get(), &request, time(), &ticket) == DW_OK)
			instance.calls[ticket] =
				Call{ key, false, other_body, false, executions[key] > 0 };
	}

	void pump(int index)
	{
		Instance &instance = instances[index];
		dw_once_operation operation;
		dw_once_decision decision;
		if (instance.paused)
			return;
		while (dw_once_next_operation(instance.once.get(), time(), &operation)) {
			std::string bytes((const char *)operation.bytes, operation.len);
			network.push_back({ index,
					    instance.incarnation,
					    Phase::Request,
					    { operation, bytes },
					    {},
					    {},
					    false });
		}
		while (dw_once_next_decision(instance.once.get(), &decision))
			decided(instance, decision);
	}

	void decided(Instance &instance, const dw_once_decision &decision)
	{
		Call &call = instance.calls.at(decision.ticket);
		switch (decision.kind) {
		case DW_ONCE_DISPATCH:
			EXPECT_FALSE(call.refused);
			instance.dispatched.push_back(decision.ticket);
			break;
		case DW_ONCE_REFUSED:
			call.refused = true;
			refusals++;
			EXPECT_FALSE(decision.key_unused && call.ran_before);
			break;
		case DW_ONCE_REPLAY:
			replays++;
			EXPECT_EQ(executions[call.key], 1);
			ASSERT_NE(decision.answer.body, nullptr);
			EXPECT_EQ(std::string(decision.answer.body, decision.answer.body_bytes),
				  "done " + std::to_string(call.key));
			break;
		case DW_ONCE_OUTCOME_STORED:
			kept[call.key] = call.whole;
			kept_other_body[call.key] = call.other_body;
			break;
		default:
			break;
		}
	}

	/* The owner works on one dispatched call: not sent, lost on the way, or run. */
	void work(Instance &instance)
	{
		uint64_t ticket = instance.dispatched.back();
		Call &call = instance.calls.at(ticket);
		std::string body = "done " + std::to_string(call.key);
		dw_once_answer answer = { 200, "text/plain", body.data(), (uint32_t)body.size() };
		instance.dispatched.pop_back();
		if (!dw_once_may_send(instance.once.get(), ticket, now_us) || chance(10)) {
			call.refused = true;
			dw_once_release(instance.once.get(), ticket, time());
			return;
		}
		EXPECT_FALSE(call.refused);
		executions[call.key]++;
		call.whole = !chance(15);
		if (call.whole)
			dw_once_finish(instance.once.get(), ticket, &answer, time());
		else if (chance(50))
			dw_once_finish(instance.once.get(), ticket, nullptr, time());
		else
			instance.never_finished++;
	}

	void at_store(Message message)
	{
		dw_once_completion &done = message.completion;
		uint32_t shard = message.operation.head.shard;
		bool faults = !quiet;
		done.id = message.operation.head.id;
		message.phase = Phase::Answer;
		if (outage || (faults && chance(3))) {
			done.status = DW_UNAVAILABLE;
		} else if (message.operation.head.kind == DW_ONCE_READ) {
			Value &value = store.values[shard];
			done.status = DW_OK;
			done.revision = value.revision;
			message.bytes = value.bytes;
		} else if (store.cas(shard, message.operation.head.expected_revision,
				     message.operation.bytes, &done.revision)) {
			done.status = DW_OK;
		} else {
			done.status = DW_CONFLICT;
		}
		if (faults && chance(10))
			done.status = DW_UNKNOWN_OUTCOME;
		if (!message.answer_lost)
			network.push_back(message);
	}

	void deliver(size_t index)
	{
		Message message = network[index];
		Instance &instance = instances[message.instance];
		if (message.phase == Phase::Answer && instance.paused)
			return;
		network.erase(network.begin() + (long)index);
		if (message.phase == Phase::Request) {
			/* The client gives up first; the request arrives later or never. */
			if (!quiet && !message.answer_lost && chance(10)) {
				Message answer = message;
				answer.phase = Phase::Answer;
				answer.completion.id = message.operation.head.id;
				answer.completion.status = DW_UNKNOWN_OUTCOME;
				network.push_back(answer);
				message.answer_lost = true;
				if (chance(70))
					network.push_back(message);
				return;
			}
			at_store(message);
			return;
		}
		if (instance.incarnation != message.incarnation)
			return;
		message.completion.bytes = (const uint8_t *)message.bytes.data();
		message.completion.len = message.bytes.size();
		dw_once_complete(instance.once.get(), &message.completion, time());
	}

	void step()
	{
		int index = (int)(random() % instances.size());
		Instance &instance = instances[index];
		uint64_t what = random() % 100;
		if (what < 12 && !instance.paused && !quiet)
			begin(index, (int)(random() % executions.size()), chance(5));
		else if (what < 60 && !network.empty())
			deliver(random() % network.size());
		else if (what < 75 && !instance.paused && !instance.dispatched.empty())
			work(instance);
		else if (what < 77 && !quiet)
			start(index);
		else if (what < 80)
			instance.paused = !quiet && !instance.paused;
		else if (what < 82)
			outage = !quiet && !outage && chance(40);
		else
			now_us += random() % (!quiet && chance(5) ? 3 * SECOND : 20 * MS);
		if (!instance.paused)
			dw_once_tick(instance.once.get(), time());
		pump(index);
	}

	bool idle()
	{
		for (Instance &instance : instances) {
			if (instance.paused || !instance.dispatched.empty() ||
			    dw_once_pending(instance.once.get()) > instance.never_finished)
				return false;
		}
		return network.empty();
	}
};

void run_seed(uint64_t seed, uint64_t *replays, uint64_t *refusals, uint64_t *ran)
{
	World world(seed, KEYS);
	SCOPED_TRACE("seed " + std::to_string(seed));
	for (int i = 0; i < 400; i++)
		world.step();
	world.quiet = true;
	world.outage = false;
	for (int i = 0; i < 20000 && !world.idle(); i++)
		world.step();
	ASSERT_TRUE(world.idle());
	for (size_t i = 0; i < world.instances.size(); i++)
		world.pump((int)i);
	*refusals += world.refusals;
	for (int key = 0; key < KEYS; key++) {
		uint64_t before = world.replays;
		ASSERT_LE(world.executions[key], 1) << "key " << key;
		*ran += world.executions[key];
		if (!world.kept[key])
			continue;
		world.begin(0, key, world.kept_other_body[key]);
		world.pump(0);
		for (int i = 0; i < 20000 && !world.idle(); i++)
			world.step();
		world.pump(0);
		EXPECT_EQ(world.replays, before + 1) << "key " << key;
	}
	*replays += world.replays;
}

/* The soak runs more seeds: DW_TEST_SEEDS. */
uint64_t seeds(uint64_t usual)
{
	const char *more = getenv("DW_TEST_SEEDS");
	return more ? std::max<uint64_t>(usual, strtoull(more, nullptr, 10)) : usual;
}

TEST(Once, NeverRunsAKeyTwiceOverRandomInterleavings)
{
	uint64_t replays = 0;
	uint64_t refusals = 0;
	uint64_t ran = 0;
	for (uint64_t seed = 1; seed <= seeds(4000) && !HasFailure(); seed++)
		run_seed(seed, &replays, &refusals, &ran);
	EXPECT_GT(replays, 4000u);
	EXPECT_GT(refusals, 4000u);
	EXPECT_GT(ran, 4000u);
}

/* One instance and a store without faults, step by step. */
struct Bench {
	Store &store;
	dw_once *once = nullptr;
	dw_once_time time{ SECOND, 1000 * SECOND, 5 };

	Bench(Store &shared, dw_once_options options) : store(shared)
	{
		EXPECT_EQ(dw_once_new(&once, &options), DW_OK);
	}
	~Bench()
	{
		dw_once_free(once);
	}

	uint64_t begin(const char *key, uint64_t body)
	{
		dw_once_request request = {
			"haarlem", "booking", key, { body, 0 }, time.now_us + SECOND
		};
		uint64_t ticket = 0;
		EXPECT_EQ(dw_once_begin(once, &request, time, &ticket), DW_OK);
		return ticket;
	}

	/* The first @p lost writes take effect, but neither they nor reads are answered. */
	void pump(int lost = 0)
	{
		dw_once_operation operation;
		for (int i = 0; i < 20; i++) {
			time.now_us += 50 * MS;
			if (!dw_once_next_operation(once, time, &operation))
				continue;
			dw_once_completion done = { operation.id, DW_OK, 0, nullptr, 0 };
			std::string bytes((const char *)operation.bytes, operation.len);
			Value &value = store.values[operation.shard];
			if (store.down) {
				done.status = DW_UNAVAILABLE;
			} else if (operation.kind == DW_ONCE_CAS) {
				if (!store.cas(operation.shard, operation.expected_revision, bytes,
					       &done.revision))
					done.status = DW_CONFLICT;
			} else {
				done.revision = value.revision;
				done.bytes = (const uint8_t *)value.bytes.data();
				done.len = value.bytes.size();
			}
			if (lost > 0) {
				done.status = DW_UNKNOWN_OUTCOME;
				lost--;
			}
			dw_once_complete(once, &done, time);
		}
	}

	dw_once_decision decision()
	{
		dw_once_decision out{};
		out.kind = DW_ONCE_DECISION_KIND_COUNT;
		dw_once_next_decision(once, &out);
		return out;
	}
};

TEST(Once, MismatchUnknownAndExpiryOfARecord)
{
	dw_once_options options = small_options(1, 1);
	Store store;
	Bench bench(store, options);
	uint64_t ticket = bench.begin("k", 1);

	bench.pump();
	ASSERT_EQ(bench.decision().kind, DW_ONCE_DISPATCH);
	bench.begin("k", 1);
	EXPECT_EQ(bench.decision().kind, DW_ONCE_IN_PROGRESS);
	dw_once_finish(bench.once, ticket, nullptr, bench.time);
	bench.pump();
	EXPECT_EQ(bench.decision().kind, DW_ONCE_OUTCOME_STORED);
	bench.begin("k", 2);
	bench.pump();
	EXPECT_EQ(bench.decision().kind, DW_ONCE_MISMATCH);
	bench.time.wall_us += options.lifetime_us;
	bench.begin("k", 1);
	bench.pump();
	EXPECT_EQ(bench.decision().kind, DW_ONCE_OUTCOME_UNKNOWN) << "within the clock margin";
	bench.time.wall_us += options.max_clock_skew_us + 1;
	bench.begin("k", 1);
	bench.pump();
	EXPECT_EQ(bench.decision().kind, DW_ONCE_DISPATCH);
}

TEST(Once, ARefusedKeyIsFreeAgainThoughItsIntentWasCommitted)
{
	dw_once_options options = small_options(1, 1);
	options.shard_count = 1;
	Store store;
	Bench bench(store, options);

	bench.begin("other", 1);
	bench.pump();
	ASSERT_EQ(bench.decision().kind, DW_ONCE_DISPATCH);
	bench.begin("k", 1);
	bench.pump(2);
	dw_once_decision decision = bench.decision();
	EXPECT_EQ(decision.kind, DW_ONCE_REFUSED);
	EXPECT_EQ(decision.status, DW_UNAVAILABLE);
	bench.begin("k", 1);
	bench.pump();
	EXPECT_EQ(bench.decision().kind, DW_ONCE_DISPATCH);
}

TEST(Once, ARefusalDoesNotCallAKeyUnusedThatAnotherInstanceRan)
{
	dw_once_options options = small_options(1, 1);
	options.shard_count = 1;
	Store store;
	Bench first(store, options);
	options.self.instance_id = 2;
	Bench second(store, options);

	first.begin("other", 1);
	first.pump();
	ASSERT_EQ(first.decision().kind, DW_ONCE_DISPATCH);
	second.begin("k", 1);
	second.pump();
	ASSERT_EQ(second.decision().kind, DW_ONCE_DISPATCH);
	first.begin("k", 1);
	store.down = true;
	first.pump();
	dw_once_decision decision = first.decision();
	EXPECT_EQ(decision.kind, DW_ONCE_REFUSED);
	EXPECT_FALSE(decision.key_unused);
}

TEST(Once, AFullShardRefusesAndItsOutcomesStillFit)
{
	dw_once_options options = small_options(1, 1);
	options.shard_count = 1;
	options.max_shard_bytes = 8 * 1024;
	options.max_answer_bytes = 1024;
	Store store;
	Bench bench(store, options);
	std::string body(1024, 'x');
	dw_once_answer answer = { 200, "text/plain", body.data(), 1024 };
	std::vector<uint64_t> running;
	int refused = 0;

	for (int i = 0; i < 20; i++)
		bench.begin(std::to_string(i).c_str(), 1);
	bench.pump();
	for (int i = 0; i < 20; i++) {
		dw_once_decision decision = bench.decision();
		if (decision.kind == DW_ONCE_DISPATCH)
			running.push_back(decision.ticket);
		refused += decision.kind == DW_ONCE_REFUSED && decision.status == DW_OVERLOADED;
	}
	EXPECT_GE(running.size(), 4u);
	EXPECT_EQ(running.size() + refused, 20u);
	for (uint64_t ticket : running)
		dw_once_finish(bench.once, ticket, &answer, bench.time);
	bench.pump();
	for (size_t i = 0; i < running.size(); i++)
		EXPECT_EQ(bench.decision().kind, DW_ONCE_OUTCOME_STORED);
	EXPECT_LE(bench.store.values[0].bytes.size(), options.max_shard_bytes);
}

TEST(OnceShard, RefusesMalformedValues)
{
	const std::vector<std::string> bad = {
		std::string("\xdd\xff\xff\xff\xff", 5), /* claims 4 G elements */
		std::string("\x92\x02\x90", 3), /* another version */
		std::string("\x92\x01\x91\x90", 4), /* record without fields */
		std::string("\x92\x01", 2), /* cut short */
		std::string("\x92\x01\x90\x00", 4), /* bytes after the value */
	};
	for (const std::string &bytes : bad) {
		dw_once_shard shard = {};
		EXPECT_EQ(dw_once_shard_decode(&shard, (const uint8_t *)bytes.data(), bytes.size()),
			  DW_INVALID_ARGUMENT);
		EXPECT_EQ(shard.count, 0u);
	}
}

} // namespace
