// The store is away for a moment and comes back from an older copy: revisions go back and are given out again, and
// the operator writes again what it had written. What was taken away stays so, before the restore and after it.
#include <gtest/gtest.h>

#include <chrono>
#include <string>
#include <thread>

#include "support/fleet.h"
#include "support/http.h"

using support::wait_until;

namespace
{

constexpr int AWAY_MS = 1000;
/* Changes after the copy was made. */
constexpr int LOST_CHANGES = 30;

struct Restore : testing::Test, support::fleet {
	Restore() : fleet(2)
	{
		backend_arguments = { "--work-ms=5" };
	}
	void SetUp() override
	{
		add_backend("e1");
		configure("\"k1\",\"k2\"");
		for (size_t i = 0; i < instances.size(); i++)
			launch(i);
		ASSERT_TRUE(wait_for_all());
		support::http_call(store_port, "POST", "/admin/backup", "{}");
	}
	void change_much()
	{
		for (int i = 0; i < LOST_CHANGES; i++)
			put("elsewhere/" + std::to_string(i), "{}");
	}
	void restore()
	{
		inject_store_fault("{\"kind\":\"outage\"}");
		std::this_thread::sleep_for(std::chrono::milliseconds(AWAY_MS));
		support::http_call(store_port, "POST", "/admin/restore", "{}");
		inject_store_fault("{\"kind\":\"none\"}");
	}
	void wait_in_force(int wanted)
	{
		for (const auto &each : instances)
			ASSERT_TRUE(wait_until(
				[&] { return each.metric("config_version") == wanted; }));
	}
	int64_t sum_metric(const std::string &name) const
	{
		int64_t sum = 0;
		for (const auto &each : instances)
			sum += each.metric(name);
		return sum;
	}
	int64_t store_calls() const
	{
		return sum_metric("store_calls");
	}
	/* Calls of all instances to the store in a while in which nothing happens. */
	int64_t calls_in(int ms) const
	{
		int64_t before = store_calls();
		std::this_thread::sleep_for(std::chrono::milliseconds(ms));
		return store_calls() - before;
	}
	/* From now on no instance runs a request with the key, for @p for_ms. */
	void expect_refused(const std::string &key, int for_ms, const std::string &what)
	{
		int64_t end_ms = support::now_ms() + for_ms;
		while (support::now_ms() < end_ms) {
			for (size_t i = 0; i < instances.size(); i++)
				ASSERT_NE(call(i, "GET", "/look/1", key).status, 200) << what;
			std::this_thread::sleep_for(std::chrono::milliseconds(50));
		}
	}
};

/* Guards against requests with a key that was taken away after the restore: the new configuration has a lower
 * revision than the one before the restore. */
TEST_F(Restore, AKeyTakenAwayAfterItIsRefusedInTime)
{
	change_much();
	configure("\"k1\",\"k2\"");
	wait_in_force(version);
	restore();
	version -= 3;
	configure("\"k1\",\"k2\""); /* the operator writes it again */
	configure("\"k2\"");
	std::this_thread::sleep_for(std::chrono::milliseconds(revocation_ms));
	expect_refused("k1", 2000, "taken away after the restore");
}

/* Guards against a key that was taken away before the restore, and is back with the older copy. */
TEST_F(Restore, AKeyTakenAwayBeforeItStaysRefused)
{
	change_much();
	configure("\"k2\"");
	wait_in_force(version);
	restore();
	expect_refused("k1", 2000, "until the operator has written it again");
	version -= 3;
	configure("\"k2\"");
	expect_refused("k1", 2000, "after that");
	for (size_t i = 0; i < instances.size(); i++)
		EXPECT_TRUE(
			wait_until([&] { return call(i, "GET", "/look/1", "k2").status == 200; }));
}

/* Guards against a loop of watch, 410 and reread for as long as the store's revision is below the one that was known
 * before the restore. */
TEST_F(Restore, TheStoreIsNotReadAgainAndAgainAfterIt)
{
	change_much();
	configure("\"k1\",\"k2\"");
	wait_in_force(version);
	int64_t calls_before = calls_in(4000);
	int64_t rereads = sum_metric("view_rereads");
	restore();
	version -= 3;
	configure("\"k1\",\"k2\""); /* the operator writes it again */
	EXPECT_LE(calls_in(4000), 2 * calls_before);
	EXPECT_LE(sum_metric("view_rereads") - rereads, 2 * (int64_t)instances.size());
	EXPECT_EQ(sum_metric("view_answer_behind"), 0);
}

/* Guards against requests to an engine that was taken out after the restore. */
TEST_F(Restore, AnEngineTakenOutAfterItGetsNoRequests)
{
	change_much();
	support::backend &left = add_backend("e2");
	for (size_t i = 0; i < instances.size(); i++)
		ASSERT_TRUE(wait_until([&] { return instances[i].metric("engines_usable") == 2; }));
	configure("\"k1\",\"k2\"");
	wait_in_force(version);
	restore();
	version -= 3;
	configure("\"k1\",\"k2\""); /* the operator and the engines write again */
	register_backend(*backends[0], "e1");
	register_backend(left, "e2", "draining");
	std::this_thread::sleep_for(std::chrono::milliseconds(change_ms));
	int64_t before = left.read_stat("runs");
	for (int n = 0; n < 40; n++)
		call((size_t)n % instances.size(), "GET", "/look/1", "k2");
	EXPECT_EQ(left.read_stat("runs"), before);
}

/* Tells a dropped history from a restore: one reread, and nothing in it is older than the copy. */
TEST_F(Restore, ADroppedHistoryIsReadOnce)
{
	for (int times = 0; times < 3; times++) {
		change_much();
		support::http_call(store_port, "POST", "/admin/compact", "{}");
		std::this_thread::sleep_for(std::chrono::milliseconds(500));
	}
	configure("\"k1\"");
	wait_in_force(version);
	EXPECT_EQ(sum_metric("view_answers_behind"), 0);
	EXPECT_EQ(sum_metric("view_records_ignored"), 0);
}

} // namespace
