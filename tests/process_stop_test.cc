// Row 11 of docs/INVARIANTS.md with real processes: a planned stop answers every accepted request
// and writes its usage. A second signal or the deadline ends the process at once, and the caller
// sees the cut.
#include <gtest/gtest.h>

#include <signal.h>

#include <future>

#include "support/cluster.h"
#include "support/json.h"

using support::chat_body;
using support::cluster;
using support::http_answer;
using support::http_call;

namespace
{

constexpr int limit = 4;
constexpr int exit_done = 0;
constexpr int exit_forced = 4;

struct Stop : public ::testing::Test {
	cluster c;
	support::standin *engine = nullptr;
	support::standin *booking = nullptr;
	support::daemon *stopping = nullptr;
	support::daemon *other = nullptr;

	void start(const std::string &settings)
	{
		engine = &c.add_engine("engine-1", "haarlem", { "large/1" },
				       { "--token-us=5000", "--slots=4" });
		booking = &c.add_service("booking", "haarlem");
		stopping = &c.add_daemon("entry-1",
					 { .failure_domain = "haarlem", .settings = settings });
		other = &c.add_daemon("entry-2", { .failure_domain = "zaandam" });
		c.apply({
			"{\"failure_domain\":{\"name\":\"haarlem\"}}",
			cluster::engine_entity(*engine, "haarlem", { "large/1" }, limit, limit, 50),
			cluster::service_entity(*booking, "haarlem", 16),
			"{\"service\":{\"name\":\"booking\"}}",
			"{\"model\":{\"name\":\"large\"}}",
			"{\"version\":{\"model\":\"large\",\"name\":\"1\",\"rollout_weight\":1}}",
			cluster::organisation_entity("mill", { "large/1" }, { "booking" }),
		});
		for (support::daemon *d : { stopping, other })
			cluster::wait_until(d->name + " is healthy", [&] {
				return http_call(d->caller_port, "GET", "/healthz").status == 200;
			});
	}

	std::future<http_answer> start_stream(int tokens)
	{
		return std::async(std::launch::async, [=] {
			return c.chat(*stopping, "mill", chat_body("large", "slate", tokens, true));
		});
	}

	std::future<http_answer> call_booking(const std::string &key)
	{
		return std::async(std::launch::async, [=] {
			return c.service(*stopping, "mill", "booking/reserve", "{}",
					 { { "idempotency-key", key } });
		});
	}

	/* Returns the number of requests in the ledger for a version or service. */
	int64_t billed(const std::string &version)
	{
		std::string output = c.ctl({ "--json", "usage" }, other).output;
		int64_t sum = 0;

		for (const char *at : { "0", "1", "2" }) {
			if (support::json_string(output, { "totals", at, "version" }) == version)
				sum += strtoll(
					support::json_string(output, { "totals", at, "requests" })
						.c_str(),
					nullptr, 10);
		}
		return sum;
	}
};

TEST_F(Stop, EveryAcceptedRequestGetsACompleteAnswer)
{
	constexpr int streams = 3 * limit; /* two thirds wait in the queue */
	constexpr int bookings = 4;
	std::vector<std::future<http_answer>> calls;

	start("");
	booking->fault("{\"kind\":\"slow\",\"path\":\"/reserve\",\"n\":700}");
	for (int i = 0; i < streams; i++)
		calls.push_back(start_stream(100));
	for (int i = 0; i < bookings; i++)
		calls.push_back(call_booking("stop" + std::to_string(i)));
	cluster::wait_until("all requests are received and some are running", [&] {
		return stopping->events("request.received").size() == streams + bookings &&
		       !stopping->events("attempt.first_token").empty() &&
		       stopping->events("once.intent_committed").size() == bookings;
	});
	ASSERT_EQ(engine->stat("completed"), -1) << "too late to stop under load";
	stopping->running->signal(SIGTERM);
	c.wait_event(*stopping, "process.stopping");
	EXPECT_EQ(http_call(stopping->caller_port, "GET", "/healthz").status, 503);
	for (int i = 0; i < 20; i++) {
		http_answer refused = c.chat(*stopping, "mill", chat_body("large", "late"));

		EXPECT_EQ(refused.status, 503);
		EXPECT_EQ(support::json_string(refused.body, { "error", "not_run" }), "true");
	}
	for (auto &call : calls) {
		http_answer answer = call.get();

		EXPECT_EQ(answer.status, 200) << answer.body;
		EXPECT_TRUE(answer.whole);
		if (answer.headers["content-type"] == "text/event-stream") {
			EXPECT_NE(answer.body.find("data: [DONE]"), std::string::npos);
		}
	}
	EXPECT_EQ(stopping->running->wait().exit_code, exit_done);
	EXPECT_EQ(engine->stat("requests"), streams) << "a refused request reached the engine";
	EXPECT_EQ(billed("large/1"), streams);
	EXPECT_EQ(billed("booking"), bookings);
	EXPECT_EQ(stopping->events("process.stopped").at(0).field("unwritten_usage"), "0");
	EXPECT_EQ(c.chat(*other, "mill", chat_body("large", "next")).status, 200);
}

TEST_F(Stop, ASecondSignalOrTheDeadlineForcesTheExitAndTheCallerSeesTheCut)
{
	start("\"stop_timeout_ms\": 300");
	for (bool second_signal : { true, false }) {
		size_t old_stops = stopping->events("process.stopping").size();
		size_t old_tokens = stopping->events("attempt.first_token").size();
		std::future<http_answer> call = start_stream(2000);

		cluster::wait_until("the stream has started", [&] {
			return stopping->events("attempt.first_token").size() > old_tokens;
		});
		stopping->running->signal(SIGTERM);
		cluster::wait_until("the stop begins", [&] {
			return stopping->events("process.stopping").size() > old_stops;
		});
		if (second_signal)
			stopping->running->signal(SIGTERM);
		EXPECT_EQ(stopping->running->wait(2000).exit_code, exit_forced);
		EXPECT_FALSE(call.get().whole);
		c.restart(*stopping);
		cluster::wait_until("the restarted instance is healthy", [&] {
			return http_call(stopping->caller_port, "GET", "/healthz").status == 200;
		});
	}
}

} // namespace
