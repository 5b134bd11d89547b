// The daemons' own store comes back from an older copy, with real processes: what it had acknowledged since the
// copy is gone, and its revisions are given out again.
#include <gtest/gtest.h>

#include "support/cluster.h"
#include "support/json.h"

using support::cluster;
using support::http_answer;

namespace
{

struct DaemonRestore : public ::testing::Test {
	cluster c;
	support::standin *booking = nullptr;
	support::standin *engine = nullptr;
	support::daemon *a = nullptr;
	support::daemon *b = nullptr;

	void SetUp() override
	{
		booking = &c.add_service("booking", "haarlem");
		engine = &c.add_engine("engine-1", "haarlem", { "large/1" }, { "--token-us=500" });
		a = &c.add_daemon("entry-1", { .failure_domain = "haarlem" });
		b = &c.add_daemon("entry-2", { .failure_domain = "zaandam" });
		c.apply({
			"{\"failure_domain\":{\"name\":\"haarlem\"}}",
			cluster::service_entity(*booking, "haarlem", 64),
			"{\"service\":{\"name\":\"booking\",\"idempotent_paths\":[\"/slots\"]}}",
			cluster::engine_entity(*engine, "haarlem", { "large/1" }, 16, 16, 50),
			"{\"model\":{\"name\":\"large\"}}",
			"{\"version\":{\"model\":\"large\",\"name\":\"1\",\"rollout_weight\":1}}",
			cluster::organisation_entity("mill", { "large" }, { "booking" }),
			cluster::organisation_entity("edam", { "large" }),
		});
		for (support::daemon *d : { a, b })
			cluster::wait_until("permits for " + d->name, [&] {
				return c.service(*d, "mill", "booking/slots", "{}").status == 200 &&
				       chat(*d, "edam", "permit").status == 200;
			});
	}

	http_answer reserve(const support::daemon &d, const std::string &key)
	{
		return c.service(
			d, "mill", "booking/reserve", "{}",
			{ { "idempotency-key", key }, { "x-request-timeout-ms", "10000" } });
	}

	http_answer chat(const support::daemon &d, const std::string &organisation,
			 const std::string &text)
	{
		return c.chat(d, organisation, support::chat_body("large", text, 4));
	}

	/* Answers of the model to an organisation that the store has usage records of. */
	int64_t billed(const std::string &organisation)
	{
		std::string output = c.ctl({ "--json", "usage" }).output;

		for (int i = 0; i < 4; i++) {
			std::string at = std::to_string(i);

			if (support::json_string(output, { "totals", at, "organisation" }) ==
				    organisation &&
			    support::json_string(output, { "totals", at, "version" }) == "large/1")
				return strtoll(
					support::json_string(output, { "totals", at, "requests" })
						.c_str(),
					nullptr, 10);
		}
		return 0;
	}

	int64_t executions(const std::string &key)
	{
		return std::max<int64_t>(0, booking->stat("executions." + key + " /reserve"));
	}

	/*
	 * The store is away until both instances have seen it, and comes back as it was at /admin/backup. An instance
	 * calls it again 0.2 s after a failure, and once a second otherwise.
	 */
	void restore()
	{
		int64_t before = std::max<int64_t>(0, c.kv.stat("refused./v3/kv/range"));

		c.kv.fault("{\"kind\":\"outage\"}");
		cluster::wait_until("both instances miss the store", [&] {
			return c.kv.stat("refused./v3/kv/range") >= before + 10;
		});
		c.kv.admin("/admin/restore");
		c.kv.fault("{\"kind\":\"none\"}");
	}

	/* This many readings of the store, of all instances together. */
	void wait_reads(int count)
	{
		int64_t before = c.kv.stat("calls./v3/kv/range");

		cluster::wait_until("the store is read", [&] {
			return c.kv.stat("calls./v3/kv/range") >= before + count;
		});
	}

	/* Changes that take the store's revision far above that of the copy. */
	void lose_changes(int count)
	{
		for (int n = 0; n < count; n++)
			ASSERT_EQ(c.ctl({ "limit", "engine-1", std::to_string(17 + n % 2) })
					  .exit_code,
				  0);
	}

	void change(const std::vector<std::string> &arguments)
	{
		cluster::wait_until(arguments[0] + " is accepted",
				    [&] { return c.ctl(arguments).exit_code == 0; });
	}

	/* Each instance answers an organisation with this status within the time that a change may take. */
	void expect_status(const std::string &organisation, int status)
	{
		auto deadline = std::chrono::steady_clock::now() + std::chrono::seconds(3);
		http_answer answer;

		for (support::daemon *d : { a, b }) {
			do {
				answer = chat(*d, organisation, "may I");
			} while (answer.status != status &&
				 std::chrono::steady_clock::now() < deadline);
			EXPECT_EQ(answer.status, status) << d->name << " " << answer.body;
		}
	}
};

// Guards against a second execution of a call whose record the store has lost.
TEST_F(DaemonRestore, ACallThatTheStoreForgotIsNotRunAgain)
{
	c.kv.admin("/admin/backup");
	for (int i = 0; i < 4; i++)
		ASSERT_EQ(reserve(*a, "lost" + std::to_string(i)).status, 200);
	restore();
	for (int i = 0; i < 4; i++) {
		std::string key = "lost" + std::to_string(i);

		for (support::daemon *d : { b, a })
			reserve(*d, key);
		cluster::wait_until("the stored answer of " + key,
				    [&] { return reserve(*b, key).status == 200; });
		EXPECT_EQ(executions(key), 1) << key;
	}
}

// Guards against usage that was billed, is lost with the store's last seconds, and isn't missed by anyone.
TEST_F(DaemonRestore, UsageThatTheStoreForgotIsBilledOnce)
{
	constexpr int requests = 6;

	c.kv.admin("/admin/backup");
	for (int i = 0; i < requests; i++)
		ASSERT_EQ(chat(i % 2 ? *a : *b, "mill", "lost " + std::to_string(i)).status, 200);
	ASSERT_TRUE(cluster::wait_until("the usage is in the store", [&] {
		return billed("mill") == requests;
	})) << c.ctl({ "--json", "usage" }).output;
	restore();
	EXPECT_TRUE(cluster::wait_until("the usage is in the store again",
					[&] { return billed("mill") == requests; }))
		<< billed("mill") << " of " << requests;
	ASSERT_EQ(chat(*a, "mill", "later").status, 200);
	EXPECT_TRUE(cluster::wait_until("later usage is added",
					[&] { return billed("mill") == requests + 1; }));
}

// Guards against a change that is acknowledged after the return, under a revision given out before, and ignored.
TEST_F(DaemonRestore, APermissionTakenAwayAfterTheReturnIsTakenAway)
{
	c.kv.admin("/admin/backup");
	lose_changes(40);
	c.wait_in_force();
	restore();
	change({ "forbid", "mill", "large" });
	expect_status("mill", 403);
	expect_status("edam", 200);
}

// Guards against changes of before the restore that the store lacks: gone with the instances that know them, or
// written over by the next change of the same entity.
TEST_F(DaemonRestore, ChangesThatTheStoreForgotAreWrittenAgain)
{
	c.kv.admin("/admin/backup");
	ASSERT_EQ(c.ctl({ "forbid", "edam", "large" }).exit_code, 0);
	c.apply({ cluster::organisation_entity("hoorn", { "large" }) });
	c.wait_in_force();
	restore();
	change({ "allow", "edam", "small" });
	expect_status("edam", 403);
	EXPECT_TRUE(cluster::wait_until("the store has the lost organisation", [&] {
		return c.ctl({ "get", "organisation/hoorn" }).exit_code == 0;
	}));
	for (support::daemon *d : { a, b })
		d->running->kill();
	for (support::daemon *d : { a, b })
		c.restart(*d);
	for (support::daemon *d : { a, b })
		cluster::wait_until(d->name + " serves",
				    [&] { return chat(*d, "hoorn", "again").status == 200; });
	expect_status("edam", 403);
}

// Guards against instances that keep rosters of different histories: none of their slots are settled, and the store
// is read in a loop.
TEST_F(DaemonRestore, AnInstanceThatJoinsAfterTheReturnGetsPermits)
{
	c.kv.admin("/admin/backup");
	support::daemon &third = c.add_daemon("entry-3", { .failure_domain = "haarlem" });
	cluster::wait_until("the third instance serves",
			    [&] { return chat(third, "edam", "third").status == 200; });
	restore();
	support::daemon &fourth = c.add_daemon("entry-4", { .failure_domain = "zaandam" });
	for (support::daemon *d : { &third, &fourth, a, b })
		EXPECT_TRUE(cluster::wait_until(d->name + " serves", [&] {
			return chat(*d, "edam", "all").status == 200;
		}));
	int64_t reads = c.kv.stat("calls./v3/kv/range");
	auto end = std::chrono::steady_clock::now() + std::chrono::seconds(2);
	cluster::wait_until("two seconds pass",
			    [&] { return std::chrono::steady_clock::now() >= end; });
	/* Each of the four reads the roster once a second. */
	EXPECT_LE(c.kv.stat("calls./v3/kv/range") - reads, 2 * 4 + 8);
}

// Guards against an instance that takes the answer after the news of a restore for another one, and whose own old
// revision ends the wait for the store to be raised before it has read the restored store.
TEST_F(DaemonRestore, AnInstanceThatWasToldWaitsForItsOwnAnswerAndRecoversOnce)
{
	support::daemon &told =
		c.add_daemon("entry-4", { .failure_domain = "haarlem", .store_relay = true });

	cluster::wait_until("the third instance serves",
			    [&] { return chat(told, "edam", "third").status == 200; });
	c.kv.admin("/admin/backup");
	lose_changes(40);
	c.wait_in_force();
	ASSERT_EQ(chat(*a, "mill", "usage is above the configuration").status, 200);
	cluster::wait_until("the usage is in the store", [&] { return billed("mill") == 1; });
	wait_reads(9);
	told.store_relay->set_mode(support::relay_mode::hold);
	/* Nothing is written, so the store stays below what the instance knows. */
	c.kv.fault("{\"kind\":\"outage\",\"path\":\"/v3/kv/txn\"}");
	c.kv.admin("/admin/restore");
	ASSERT_TRUE(c.wait_event(told, "store.restored"));
	told.store_relay->set_mode(support::relay_mode::pass);
	wait_reads(12);
	c.kv.fault("{\"kind\":\"none\"}");
	EXPECT_TRUE(cluster::wait_until("a change is accepted", [&] {
		return c.ctl({ "limit", "engine-1", "20" }, &told).exit_code == 0;
	}));
	EXPECT_EQ(told.events("store.restored").size(), 1U);
	EXPECT_EQ(told.events("config.refused").size(), 0U) << "read before it was raised";
}

// Guards against changes that are refused for as long as the one instance that raises the store's revision can't reach
// the store.
TEST_F(DaemonRestore, TheStoreIsRaisedWhileTheFirstWriterIsCutOff)
{
	/* The lowest instance id, a hash of the name. */
	support::daemon &cut =
		c.add_daemon("entry-3", { .failure_domain = "haarlem", .store_relay = true });

	cluster::wait_until("the first writer serves",
			    [&] { return chat(cut, "edam", "third").status == 200; });
	c.kv.admin("/admin/backup");
	lose_changes(40);
	c.wait_in_force();
	cut.store_relay->set_mode(support::relay_mode::hold);
	restore();
	EXPECT_TRUE(cluster::wait_until("a change is accepted", [&] {
		return c.ctl({ "forbid", "mill", "large" }, a).exit_code == 0;
	}));
	expect_status("mill", 403);
	EXPECT_TRUE(cluster::wait_until(
		"the cut instance has the change",
		[&] { return chat(cut, "mill", "may I").status == 403; }, 3000));
	cut.store_relay->set_mode(support::relay_mode::pass);
	EXPECT_TRUE(cluster::wait_until("a change is accepted there", [&] {
		return c.ctl({ "allow", "mill", "large" }, &cut).exit_code == 0;
	}));
	expect_status("mill", 200);
}

// Guards against a restore soon after another one that passes for the same: calls and changes from between are lost.
TEST_F(DaemonRestore, TwoRestoresWithinTenSecondsLoseNothing)
{
	c.kv.admin("/admin/backup");
	ASSERT_EQ(reserve(*a, "first").status, 200);
	lose_changes(10);
	for (const char *round : { "second", "third" }) {
		restore();
		change({ "forbid", round == std::string("second") ? "mill" : "edam", "large" });
		cluster::wait_until("a call is run",
				    [&] { return reserve(*b, round).status == 200; });
	}
	for (const char *key : { "first", "second", "third" }) {
		for (support::daemon *d : { b, a })
			cluster::wait_until("the stored answer of " + std::string(key),
					    [&] { return reserve(*d, key).status == 200; });
		EXPECT_EQ(executions(key), 1) << key;
	}
	expect_status("mill", 403);
	expect_status("edam", 403);
}

} // namespace
