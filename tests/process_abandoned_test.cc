// Requests that crash the engines that run them, and whose callers don't wait for it: nobody is left on
// the connection when the engine ends. Faults: callers that leave, deadlines, streams given up, instances
// that hear nothing of each other.
#include <gtest/gtest.h>

#include <chrono>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "support/crash_fleet.h"
#include "support/http.h"

using support::http_headers;
using support::http_stream;
using support::MAX_CRASHES;
using support::other_requests;
using support::wait_until;

namespace
{

constexpr int REPEAT_MS = 120;
constexpr size_t REPEATS = 30;
/** The callers' patience: half of the time that the engine takes to end. */
constexpr int LEAVE_MS = 30;
constexpr int DEADLINE_MS = 45;

struct Abandoned : support::crash_fleet {
	/* Sends the request as caller @n and closes the connection after @leave_ms. */
	void ask_and_leave(size_t n, const std::string &method, const std::string &path,
			   int leave_ms, int deadline_ms = 1500)
	{
		http_headers headers = { { "Attempt-Id", "p" + std::to_string(n) },
					 { "Deadline-Ms", std::to_string(deadline_ms) },
					 { "Credential", "k1" } };
		if (path.rfind("/chat/", 0) == 0)
			headers["Accept"] = "text/event-stream";
		http_stream caller(instances[n % INSTANCES].caller_port, method, path,
				   method == "POST" ? "{}" : "", headers);
		std::this_thread::sleep_for(std::chrono::milliseconds(leave_ms));
	}
	/* Repeats the request at all instances, beside other requests, and checks the outcome. */
	void repeat(const std::string &method, const std::string &path, int leave_ms,
		    int deadline_ms = 1500)
	{
		other_requests others(*this);
		tend_for(300);
		for (size_t n = 0; n < REPEATS; n++) {
			ask_and_leave(n, method, path, leave_ms, deadline_ms);
			tend_for(REPEAT_MS);
		}
		others.stop();
		EXPECT_LE(crashes, MAX_CRASHES);
		EXPECT_GT(crashes, 0);
		EXPECT_GE(others.served * 100, others.asked * 98)
			<< others.served << " of " << others.asked << " others served";
	}
};

/* Guards against the incident BUDGET where callers leave early: a request whose caller had left when its
 * engine ended left no evidence, and its repeats ended all engines again and again. */
TEST_F(Abandoned, ARequestWhoseCallerLeftEndsNoMoreThanTwoEngines)
{
	repeat("GET", "/look/poison", LEAVE_MS);
}

/* The same for requests that run at most once. */
TEST_F(Abandoned, ARequestThatRunsAtMostOnceEndsNoMoreThanTwoEngines)
{
	repeat("POST", "/book/poison", LEAVE_MS);
}

/* The same where the deadline has passed and the instance gives the request up. */
TEST_F(Abandoned, ARequestWhoseDeadlinePassedEndsNoMoreThanTwoEngines)
{
	repeat("GET", "/look/poison", 2 * support::CRASH_AFTER_MS, DEADLINE_MS);
}

/* The same for streams that are given up after their first events. */
TEST_F(Abandoned, AStreamThatIsGivenUpEndsNoMoreThanTwoEngines)
{
	repeat("POST", "/chat/poison", LEAVE_MS);
}

/* An engine that has said that it leaves ends with the runs that its callers had given up. */
TEST_F(Abandoned, AnEngineThatLeavesHasNotCrashedUnderCallersThatLeft)
{
	for (const auto &each : backends)
		each->inject_fault("{\"kind\":\"mute\"}");
	for (size_t n = 0; n < 2 * INSTANCES; n++)
		ask_and_leave(n, "POST", "/book/innocent", 5);
	std::vector<std::unique_ptr<http_stream>> callers;
	for (size_t i = 0; i < INSTANCES; i++)
		callers.push_back(std::make_unique<http_stream>(
			instances[i].caller_port, "POST", "/book/patient", "{}",
			http_headers{ { "Attempt-Id", "w" + std::to_string(i) },
				      { "Deadline-Ms", "1500" },
				      { "Credential", "k1" } }));
	ASSERT_TRUE(wait_until([&] { return sum_stat("runs") == 3 * INSTANCES; }));
	for (const auto &each : backends)
		register_backend(*each, each->id, "draining");
	for (const auto &each : instances)
		ASSERT_TRUE(wait_until([&] { return each.metric("engines_usable") == 0; }));
	callers.clear();
	ASSERT_TRUE(wait_until(
		[&] { return sum_metric("attempts_abandoned_total") == 3 * INSTANCES; }));
	for (const auto &each : backends)
		each->server->kill();
	std::this_thread::sleep_for(std::chrono::milliseconds(300));
	EXPECT_EQ(sum_metric("requests_suspected") + sum_metric("requests_quarantined"), 0);
}

/* Guards against an engine that doesn't answer and is chosen again and again, since no caller waits until its
 * silence counts: the shorter the callers' patience, the idler it looks. */
TEST_F(Abandoned, AnEngineThatIsOnlyLeftByItsCallersIsAvoided)
{
	constexpr size_t CALLS = 60;
	constexpr int PATIENCE_MS = 250;
	size_t left = 0;

	backends[0]->inject_fault("{\"kind\":\"mute\"}");
	for (size_t n = 0; n < CALLS; n++) {
		http_stream caller(instances[0].caller_port, "POST", "/book/" + std::to_string(n),
				   "{}",
				   { { "Attempt-Id", "q" + std::to_string(n) },
				     { "Deadline-Ms", "1500" },
				     { "Credential", "k1" } },
				   PATIENCE_MS);
		left += caller.status() != 200;
	}
	EXPECT_GT(left, 0U);
	EXPECT_LE(left, CALLS / 6);
}

/* Guards against evidence that is withdrawn by an answer for which the request wasn't run. */
TEST_F(Abandoned, AnAnswerWithoutARunClearsNothing)
{
	EXPECT_EQ(call(0, "POST", "/book/poison", "k1", "{}").status, 502);
	tend_for(REPEAT_MS);
	for (const auto &each : backends)
		each->inject_fault("{\"kind\":\"deny\",\"count\":1}");
	EXPECT_EQ(call(1, "POST", "/book/poison", "k1", "{}").status, 404);
	tend_for(REPEAT_MS);
	for (const auto &each : backends)
		each->inject_fault("{\"kind\":\"none\"}");
	for (size_t n = 0; n < 2 * INSTANCES; n++) {
		EXPECT_NE(call(n % INSTANCES, "POST", "/book/poison", "k1", "{}").status, 200);
		tend_for(REPEAT_MS);
	}
	EXPECT_EQ(crashes, MAX_CRASHES);
}

/* Instances that hear nothing of each other, and all reach the store. */
struct Unheard : Abandoned {
	Unheard()
	{
		hears_peers = false;
	}
};

/* Guards against a request that ends two engines at each such instance: with the store's help, only one
 * more than where they hear each other. */
TEST_F(Unheard, ARequestEndsNoMoreThanThreeEnginesOverAllInstances)
{
	for (size_t n = 0; n < REPEATS; n++) {
		EXPECT_NE(call(n % INSTANCES, "GET", "/look/poison").status, 200);
		tend_for(REPEAT_MS);
	}
	EXPECT_LE(crashes, MAX_CRASHES + 1);
	EXPECT_GT(crashes, 0);
}

/* The same where the callers leave. */
TEST_F(Unheard, ARequestWhoseCallerLeftEndsNoMoreThanThreeEngines)
{
	for (size_t n = 0; n < REPEATS; n++) {
		ask_and_leave(n, "GET", "/look/poison", LEAVE_MS);
		tend_for(REPEAT_MS);
	}
	EXPECT_LE(crashes, MAX_CRASHES + 1);
	EXPECT_GT(crashes, 0);
}

/* A suspicion that went through the store doesn't outlive the run that clears it. */
TEST_F(Unheard, AnInnocentRequestIsClearedAtAllInstances)
{
	for (const auto &each : backends)
		each->inject_fault("{\"kind\":\"late\",\"n\":1000,\"count\":1}");
	std::thread caller(
		[this] { EXPECT_EQ(call(0, "POST", "/book/innocent", "k1", "{}").status, 502); });
	ASSERT_TRUE(wait_until([&] { return sum_stat("runs") == 1; }));
	for (const auto &each : backends) {
		if (each->read_stat("runs") == 1)
			each->server->kill();
	}
	caller.join();
	for (const auto &each : instances)
		EXPECT_TRUE(wait_until([&] { return each.metric("requests_suspected") == 1; }))
			<< each.name;
	tend_for(support::RESTART_MS + REPEAT_MS);
	EXPECT_EQ(call(1, "POST", "/book/innocent", "k1", "{}").status, 200);
	for (const auto &each : instances)
		EXPECT_TRUE(wait_until([&] { return each.metric("requests_suspected") == 0; }))
			<< each.name;
}

} // namespace
