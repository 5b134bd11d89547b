// The store discards its history: for a second the watches get no events of the changes that are made, then they are
// cut. An answer to a watch in that second doesn't prove that there were no changes.
#include <gtest/gtest.h>

#include <chrono>
#include <iostream>
#include <string>
#include <thread>

#include "support/fleet.h"
#include "support/http.h"

using support::wait_until;

namespace
{

constexpr int DEAF_MS = 950;

struct LostHistory : testing::Test, support::fleet {
	LostHistory() : fleet(3)
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
		for (size_t i = 0; i < instances.size(); i++)
			ASSERT_TRUE(wait_until(
				[&] { return call(i, "GET", "/look/1", "k1").status == 200; }));
	}
	/* Says what the instances did if a test has failed. */
	void TearDown() override
	{
		for (const auto &each : instances) {
			if (!HasFailure() || !each.gateway)
				continue;
			for (const std::string &line : each.gateway->lines())
				std::cerr << line << "\n";
		}
	}
	void admin(const std::string &path, const std::string &body = "{}") const
	{
		support::http_call(store_port, "POST", "/admin/" + path, body);
	}
	static void sleep_until(int64_t at_ms)
	{
		std::this_thread::sleep_for(std::chrono::milliseconds(at_ms - support::now_ms()));
	}
	/* No instance runs a request with the key that is sent from @p from_ms to @p to_ms. */
	void expect_refused(const std::string &key, int64_t from_ms, int64_t to_ms)
	{
		sleep_until(from_ms);
		while (support::now_ms() < to_ms) {
			for (size_t i = 0; i < instances.size(); i++) {
				int64_t sent_ms = support::now_ms();
				ASSERT_NE(call(i, "GET", "/look/1", key).status, 200)
					<< "instance " << i << ", " << sent_ms - from_ms
					<< " ms too late";
			}
			std::this_thread::sleep_for(std::chrono::milliseconds(20));
		}
	}
	/* A change whose events the watches don't get, though their answers have its revision, is in force in time. */
	void expect_change_in_time()
	{
		admin("deafen", "{\"names_newest\":1}");
		configure("\"k2\"");
		int64_t acknowledged_ms = support::now_ms();
		sleep_until(acknowledged_ms + DEAF_MS);
		admin("compact");
		expect_refused("k1", acknowledged_ms + change_ms,
			       acknowledged_ms + 2 * revocation_ms);
		for (size_t i = 0; i < instances.size(); i++)
			EXPECT_EQ(call(i, "GET", "/look/1", "k2").status, 200);
	}
	int64_t sum_metric(const std::string &name) const
	{
		int64_t sum = 0;
		for (const auto &each : instances)
			sum += each.metric(name);
		return sum;
	}
};

/* Guards against changes that are never seen, as a watch goes on from a revision beyond them. */
TEST_F(LostHistory, ARevisionBeyondTheEventsIsNoProof)
{
	expect_change_in_time();
}

/* Guards against the same after an answer with events: they are those of before the store fell silent to its watches. */
TEST_F(LostHistory, EventsOfBeforeWithARevisionBeyondThemAreNoProof)
{
	/* One ends the polls that wait, the next one those that follow at once; the last one waits for the poll interval. */
	for (const char *key : { "other/1", "other/2", "other/3" }) {
		put(key, "x");
		std::this_thread::sleep_for(std::chrono::milliseconds(20));
	}
	expect_change_in_time();
}

/* Guards against a key that works for longer than allowed: the last answers before the watches are cut say that
 * there were no changes, and after the cut the store is silent. */
TEST_F(LostHistory, AnswersShortlyBeforeTheWatchesAreCutAreNoProof)
{
	admin("deafen");
	configure("\"k2\"");
	int64_t acknowledged_ms = support::now_ms();
	sleep_until(acknowledged_ms + DEAF_MS);
	inject_store_fault("{\"kind\":\"silent\"}");
	admin("compact");
	expect_refused("k1", acknowledged_ms + revocation_ms + 1,
		       acknowledged_ms + revocation_ms + 2000);
	inject_store_fault("{\"kind\":\"none\"}");
	for (size_t i = 0; i < instances.size(); i++)
		EXPECT_TRUE(
			wait_until([&] { return call(i, "GET", "/look/1", "k2").status == 200; }));
}

/* Guards against requests that are refused early where nothing was discarded: the store is silent, and no watch was
 * cut. */
TEST_F(LostHistory, ASilentStoreRefusesNoKeyEarly)
{
	inject_store_fault("{\"kind\":\"silent\"}");
	int64_t silent_ms = support::now_ms();
	/* The last proof is up to a poll (15% of the limit for changes) and a hold (20%) old. */
	int64_t served_ms = revocation_ms * 9 / 10 - change_ms * 35 / 100;
	sleep_until(silent_ms + served_ms - 100);
	for (size_t i = 0; i < instances.size(); i++)
		EXPECT_EQ(call(i, "GET", "/look/1", "k1").status, 200) << i;
}

} // namespace
