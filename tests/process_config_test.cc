// Configuration changes under failure: concurrent operators, lost answers, network cuts, store
// outages, replaced instances and a store restored from a backup. Guards against lost updates and
// against an instance that applies an older revision after a newer one.
#include <gtest/gtest.h>

#include <algorithm>
#include <csignal>
#include <set>
#include <thread>

#include "support/json.h"
#include "support/scripted_traffic.h"

using namespace support;

namespace
{

using support::daemon;

enum { DONE = 0, CONFLICT = 3, UNKNOWN = 4 };
/** Each instance applies a change within this time after the put's answer. */
constexpr int64_t propagation_bound_us = 3000000;

struct Config : public ::testing::Test {
	cluster c;
	standin *engine = nullptr;
	std::vector<daemon *> daemons;

	void start(int daemon_count, const std::vector<std::string> &domains)
	{
		engine = &c.add_engine("engine-1", domains[0], { "large/1" },
				       { "--token-us=20000", "--slots=64" });
		for (int i = 0; i < daemon_count; i++)
			daemons.push_back(
				&c.add_daemon("entry-" + std::to_string(i + 1),
					      { .failure_domain = domains[i % domains.size()],
						.store_relay = true }));
		std::vector<std::string> entities = {
			cluster::engine_entity(*engine, domains[0], { "large/1" }, 4, 4, 50),
			"{\"model\":{\"name\":\"large\"}}",
			"{\"version\":{\"model\":\"large\",\"name\":\"1\",\"rollout_weight\":1}}",
			cluster::organisation_entity("waterland", { "large" }),
			cluster::organisation_entity("edam", { "large" }),
		};
		for (const std::string &domain : domains)
			entities.push_back("{\"failure_domain\":{\"name\":\"" + domain + "\"}}");
		c.apply(entities);
	}

	/**
	 * Checks that within one run of an instance the modification revisions of a key only
	 * increase.
	 */
	void TearDown() override
	{
		size_t checked = 0;

		for (daemon *d : daemons) {
			std::map<std::string, int64_t> highest;

			for (const event &e : d->events("config.applied")) {
				std::string key = e.field("pid") + " " + e.field("key");
				int64_t revision = std::stoll(e.field("mod_revision"));

				EXPECT_GT(revision, highest[key]) << d->name << " " << key;
				highest[key] = revision;
				checked++;
			}
		}
		EXPECT_GT(checked, 0U);
	}

	/** The revision of a put, from the JSON output of wharfctl. */
	static int64_t revision_of(const command_result &result)
	{
		return json_number(result.output, { "revision" });
	}

	/** Time at which @p d applied @p key at @p revision or later; 0 if it hasn't. */
	static int64_t applied_us(const daemon &d, const std::string &key, int64_t revision)
	{
		for (const event &e : d.events("config.applied")) {
			if (e.field("key") == key &&
			    std::stoll(e.field("mod_revision")) >= revision)
				return time_of(e);
		}
		return 0;
	}

	/**
	 * Runs wharfctl with @p arguments through @p through; expects that all of @p instances
	 * apply the change to @p key within the bound.
	 */
	void expect_propagation(const std::vector<std::string> &arguments, const std::string &key,
				daemon *through, const std::vector<daemon *> &instances)
	{
		std::vector<std::string> command = { "--json" };

		command.insert(command.end(), arguments.begin(), arguments.end());
		command_result result = c.ctl(command, through);
		ASSERT_EQ(result.exit_code, DONE) << result.output;
		int64_t answered_us = changed_us(daemons, key);
		for (daemon *d : instances) {
			cluster::wait_until(d->name + " applies " + key, [&] {
				return applied_us(*d, key, revision_of(result)) != 0;
			});
			EXPECT_LE(applied_us(*d, key, revision_of(result)) - answered_us,
				  propagation_bound_us)
				<< d->name;
		}
	}

	/** The limit of the engine that one instance has applied. */
	int64_t applied_limit(daemon *d)
	{
		return json_number(c.ctl({ "--json", "list", "upstream/engine-1" }, d).output,
				   { "entities", "0", "entity", "upstream", "limit" });
	}

	/**
	 * Sends load through @p through; expects that the engine's peak concurrency equals its
	 * limit.
	 */
	void expect_peak_concurrency(const std::vector<daemon *> &through, int64_t limit)
	{
		scripted_traffic load(c, through, (int)limit + 8, [](uint64_t n) {
			return traffic_call{ "waterland",
					     chat_body("large", "turn " + std::to_string(n), 4) };
		});

		cluster::wait_until("the limit is reached",
				    [&] { return engine->stat("peak_in_flight") >= limit; });
		load.stop();
		EXPECT_EQ(engine->stat("peak_in_flight"), limit);
	}
};

TEST_F(Config, ConcurrentOperatorsGetDistinctRevisionsAndNoUpdateIsLost)
{
	constexpr int operators = 4;
	constexpr int rounds = 8;
	std::mutex mutex;
	std::set<std::string> succeeded;
	std::set<int64_t> revisions;
	int conflicts = 0;
	std::vector<std::thread> threads;

	start(2, { "haarlem", "zaandam" });
	for (int i = 0; i < operators; i++)
		threads.emplace_back([&, i] {
			for (int n = 0; n < rounds; n++) {
				std::string name =
					"m" + std::to_string(i) + "-" + std::to_string(n);
				command_result result =
					c.ctl({ "--json", "allow", "waterland", name },
					      daemons[i % daemons.size()]);
				std::lock_guard<std::mutex> lock(mutex);

				EXPECT_TRUE(result.exit_code == DONE ||
					    result.exit_code == CONFLICT)
					<< result.exit_code << result.output;
				conflicts += result.exit_code == CONFLICT;
				if (result.exit_code != DONE)
					continue;
				succeeded.insert(name);
				EXPECT_TRUE(revisions.insert(revision_of(result)).second);
			}
		});
	for (std::thread &thread : threads)
		thread.join();
	EXPECT_GT(conflicts, 0) << "no two operators wrote at the same time";
	EXPECT_GE(succeeded.size(), (size_t)rounds);
	c.wait_in_force();
	for (daemon *d : daemons) {
		std::string text = c.ctl({ "--json", "list", "organisation/waterland" }, d).output;

		for (int i = 0; i < operators; i++) {
			for (int n = 0; n < rounds; n++) {
				std::string name =
					"m" + std::to_string(i) + "-" + std::to_string(n);
				bool present = text.find("\"" + name + "\"") != text.npos;

				EXPECT_EQ(present, succeeded.count(name) == 1) << d->name << name;
			}
		}
	}
}

TEST_F(Config, AChangeWhoseAnswerIsLostIsFoundByItsChangeId)
{
	start(2, { "haarlem", "zaandam" });
	for (const char *kind : { "answer_lost", "timed_out" }) {
		for (int limit = 10; limit < 14; limit++) {
			c.kv.fault(std::string("{\"kind\":\"") + kind +
				   "\",\"path\":\"/v3/kv/txn\"}");
			command_result result =
				c.ctl({ "--json", "limit", "engine-1", std::to_string(limit) });
			c.kv.fault("{\"kind\":\"none\"}");
			EXPECT_EQ(result.exit_code, DONE) << kind << result.output;
			c.wait_in_force();
			for (daemon *d : daemons)
				EXPECT_EQ(applied_limit(d), limit) << kind;
		}
	}
}

TEST_F(Config, AChangeIsInForceInThreeSecondsThroughCutsAndKilledWatchers)
{
	start(5, { "haarlem" });
	/*
	 * When all connections to the store are refused, only the watchers log that they lost it.
	 */
	for (daemon *d : daemons)
		d->store_relay->set_mode(relay_mode::refuse);
	std::vector<daemon *> watchers;
	cluster::wait_until("the watchers are known", [&] {
		watchers.clear();
		for (daemon *d : daemons) {
			if (!d->events("store.lost").empty())
				watchers.push_back(d);
		}
		return watchers.size() >= 2;
	});
	for (daemon *d : daemons)
		d->store_relay->set_mode(relay_mode::pass);
	for (daemon *d : watchers)
		c.wait_event(*d, "store.back");
	std::vector<daemon *> others;
	std::copy_if(daemons.begin(), daemons.end(), std::back_inserter(others), [&](daemon *d) {
		return std::find(watchers.begin(), watchers.end(), d) == watchers.end();
	});
	ASSERT_GE(others.size(), 2U);

	const std::string key = "upstream/engine-1";
	expect_propagation({ "limit", "engine-1", "10" }, key, others[0], daemons);
	expect_propagation({ "limit", "engine-1", "11" }, key, watchers[0], daemons);
	for (relay_mode cut : { relay_mode::hold, relay_mode::hold_answers, relay_mode::refuse }) {
		watchers[1]->store_relay->set_mode(cut);
		others[1]->store_relay->set_mode(cut);
		expect_propagation({ "limit", "engine-1", "12" }, key, others[0], daemons);
		watchers[1]->store_relay->set_mode(relay_mode::pass);
		others[1]->store_relay->set_mode(relay_mode::pass);
	}
	for (daemon *d : watchers)
		d->running->kill();
	expect_propagation({ "limit", "engine-1", "20" }, key, others[0], others);
	expect_propagation({ "withdraw", "large/1" }, "version/large/1", others[1], others);
	for (daemon *d : others)
		EXPECT_EQ(applied_limit(d), 20);
}

TEST_F(Config, AnInstanceReplacedInAnOutageHasTheConfigurationAndTheRaisedLimit)
{
	start(3, { "haarlem", "zaandam", "alkmaar" });
	ASSERT_EQ(c.ctl({ "limit", "engine-1", "12", "12" }).exit_code, DONE);
	ASSERT_EQ(c.ctl({ "forbid", "edam", "large" }).exit_code, DONE);
	c.wait_in_force();
	c.kv.fault("{\"kind\":\"outage\"}");
	for (daemon *d : daemons)
		c.wait_event(*d, "store.lost");
	daemons[2]->running->kill();
	c.restart(*daemons[2]);
	cluster::wait_until("the new run gets the configuration from a peer",
			    [&] { return applied_limit(daemons[2]) == 12; });
	for (daemon *d : daemons)
		EXPECT_EQ(applied_limit(d), 12) << d->name;
	EXPECT_NE(c.ctl({ "limit", "engine-1", "14" }).exit_code, DONE);
	c.kv.fault("{\"kind\":\"none\"}");
	cluster::wait_until("the store serves calls again", [&] {
		return c.ctl({ "get", "model/large" }).exit_code == DONE;
	});
	cluster::wait_until("the new run has its share of the permits and serves", [&] {
		return c.chat(*daemons[2], "waterland", chat_body("large", "new")).status == 200;
	});
	EXPECT_EQ(c.chat(*daemons[2], "edam", chat_body("large", "new")).status, 403);
	for (daemon *d : daemons)
		EXPECT_EQ(applied_limit(d), 12) << d->name;
	expect_peak_concurrency(daemons, 12);
}

TEST_F(Config, AStoreRestoredFromABackupRevertsNothing)
{
	start(3, { "haarlem", "zaandam", "alkmaar" });
	c.kv.admin("/admin/backup");
	ASSERT_EQ(c.ctl({ "limit", "engine-1", "12", "12" }).exit_code, DONE);
	ASSERT_EQ(c.ctl({ "forbid", "edam", "large" }).exit_code, DONE);
	c.wait_in_force();
	int64_t revision_before = c.kv.stat("revision");
	c.kv.admin("/admin/restore");
	ASSERT_LT(c.kv.stat("revision"), revision_before);

	for (daemon *d : daemons)
		c.wait_event(*d, "store.restored");
	/* The first change that is acknowledged is in force: its revision is above the highest applied one. */
	command_result put;
	cluster::wait_until("a change is accepted", [&] {
		put = c.ctl({ "--json", "weight", "large/1", "2" });
		return put.exit_code == DONE;
	});
	EXPECT_GT(revision_of(put), revision_before);
	for (daemon *d : daemons)
		cluster::wait_until(d->name + " applies it", [&] {
			return applied_us(*d, "version/large/1", revision_of(put)) != 0;
		});
	expect_propagation({ "weight", "large/1", "77" }, "version/large/1", daemons[0], daemons);
	for (daemon *d : daemons) {
		EXPECT_EQ(applied_limit(d), 12) << d->name;
		EXPECT_EQ(c.chat(*d, "edam", chat_body("large", "no")).status, 403) << d->name;
	}
	/* A replaced instance asks its peers before the store, so it gets the raised limit. */
	daemons[2]->running->kill();
	c.restart(*daemons[2]);
	cluster::wait_until("the new run serves", [&] {
		return c.chat(*daemons[2], "waterland", chat_body("large", "new")).status == 200;
	});
	EXPECT_EQ(applied_limit(daemons[2]), 12);
	EXPECT_EQ(c.chat(*daemons[2], "edam", chat_body("large", "no")).status, 403);
	expect_peak_concurrency(daemons, 12);
}

/*
 * A replaced instance whose peers answer slowly must not read the restored store, which has a lower
 * limit, before them. The peers are paused for 1.5 s while it starts.
 */
TEST_F(Config, AReplacedInstanceWaitsForSlowPeersBeforeARestoredStore)
{
	start(3, { "haarlem", "zaandam", "alkmaar" });
	c.kv.admin("/admin/backup");
	ASSERT_EQ(c.ctl({ "limit", "engine-1", "12", "12" }).exit_code, DONE);
	c.wait_in_force();
	daemons[0]->running->signal(SIGSTOP);
	daemons[1]->running->signal(SIGSTOP);
	daemons[2]->running->kill();
	c.kv.admin("/admin/restore");
	c.restart(*daemons[2]);
	std::this_thread::sleep_for(std::chrono::milliseconds(1500));
	daemons[0]->running->signal(SIGCONT);
	daemons[1]->running->signal(SIGCONT);
	cluster::wait_until("the new run serves", [&] {
		return c.chat(*daemons[2], "waterland", chat_body("large", "new")).status == 200;
	});
	EXPECT_EQ(applied_limit(daemons[2]), 12);
	expect_peak_concurrency(daemons, 12);
}

} // namespace
