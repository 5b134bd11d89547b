// Requests that wait in the admission queue of a real wharf-gateway process: for the first configuration after a
// start, and for engines that want a pause.
#include <gtest/gtest.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "support/raw_fleet.h"

using support::answer_with_length;
using support::http_answer;
using support::now_ms;
using support::raw_connection;
using support::raw_server;
using support::wait_until;

namespace
{

struct Admission : support::raw_fleet {
	Admission() : support::raw_fleet(1)
	{
		more_settings = ",\"hold_by_load\":true";
		more_routes =
			"," + patient_route("urgent", "0") + "," + patient_route("ordinary", "1");
	}
	/* One whose target leaves time for several turns on a slow machine. */
	std::string patient_route(const std::string &name, const std::string &priority) const
	{
		std::string text = route(name, "unsafe", 1);
		auto set = [&](const std::string &from, const std::string &to) {
			text.replace(text.find(from), from.size(), to);
		};
		set("\"Priority\":1", "\"Priority\":" + priority);
		set("\"TargetLatencyMs\":500", "\"TargetLatencyMs\":2000");
		return text;
	}
	int64_t waiting() const
	{
		return instances[0].metric("admission_waiting");
	}
};

/* Guards against requests that are refused in the first moments after a start, though the configuration arrives
 * while their callers still wait. */
TEST_F(Admission, ARequestWaitsForTheFirstConfiguration)
{
	engines.push_back(std::make_unique<raw_server>(
		[](raw_connection &connection, const std::string &request) {
			connection.send(answer_with_length("200 OK", request, "{}"));
		}));
	register_engine(0);
	configure();
	inject_store_fault("{\"kind\":\"slow\",\"n\":300}");
	launch(0);
	ASSERT_FALSE(instances[0].is_ready()) << "the store has answered too early for this test";
	EXPECT_EQ(ask(0, "POST", "/book/1").status, 200);
	EXPECT_EQ(instances[0].metric("retries_total"), 0);
}

/* Guards against a request that waits for a configuration that doesn't come, until its caller has no time left to
 * ask elsewhere. */
TEST_F(Admission, ARequestIsRefusedIfNoConfigurationComes)
{
	inject_store_fault("{\"kind\":\"silent\"}");
	launch(0);
	int64_t began_ms = now_ms();
	http_answer answer = ask(0, "POST", "/book/1");
	EXPECT_EQ(answer.status, 503);
	EXPECT_LT(now_ms() - began_ms, 2500 - 500) << "the caller's time, but for a fifth";
	EXPECT_NE(answer.body.find("\"not_run\":true"), std::string::npos);
	EXPECT_NE(answer.headers["retry-after"], "");
	EXPECT_EQ(waiting(), 0);
}

/* Guards against a less urgent request that gets scarce capacity since it asked first. After its pause the engine
 * is sent one request at a time, so that the order of the requests is that of their arrivals. */
TEST_F(Admission, TheMoreUrgentOfTwoThatWaitGoesFirst)
{
	std::atomic<bool> is_full{ false };
	std::mutex mutex;
	std::vector<std::string> order;
	start(1, [&](raw_connection &connection, const std::string &request) {
		if (is_full.exchange(false)) {
			connection.send(
				answer_with_length("503 Full", request, "",
						   "Not-Executed: 1\r\nRetry-After: 0.35\r\n"));
			return;
		}
		{
			std::lock_guard<std::mutex> lock(mutex);
			order.push_back(request.substr(0, request.find(" HTTP")));
		}
		std::this_thread::sleep_for(std::chrono::milliseconds(30));
		connection.send(answer_with_length("200 OK", request, "{}"));
	});
	for (int i = 0; i < 20; i++)
		ASSERT_EQ(ask(0, "POST", "/ordinary/first").status, 200);
	is_full = true;
	std::vector<std::thread> callers;
	callers.emplace_back([&] { ask(0, "POST", "/ordinary/refused", "refused"); });
	ASSERT_TRUE(wait_until([&] { return !is_full; }));
	callers.emplace_back([&] { ask(0, "POST", "/ordinary/1", "ordinary"); });
	ASSERT_TRUE(wait_until([&] { return instances[0].metric("requests_total") >= 22; }));
	callers.emplace_back([&] { ask(0, "POST", "/urgent/1", "urgent"); });
	for (auto &caller : callers)
		caller.join();
	auto place = [&](const std::string &text) {
		return std::find(order.begin(), order.end(), text) - order.begin();
	};
	ASSERT_NE(std::find(order.begin(), order.end(), "POST /ordinary/1"), order.end());
	EXPECT_LT(place("POST /urgent/1"), place("POST /ordinary/1"));
	EXPECT_EQ(waiting(), 0);
}

/* Guards against requests that are held back while the engines have room. */
TEST_F(Admission, NobodyWaitsWhileTheEnginesHaveRoom)
{
	start(2, [](raw_connection &connection, const std::string &request) {
		connection.send(
			answer_with_length("200 OK", request, "{}", "Server-Load: 3,0,64\r\n"));
	});
	for (int i = 0; i < 60; i++)
		EXPECT_EQ(ask(0, "POST", i % 2 ? "/ordinary/1" : "/urgent/1").status, 200);
	EXPECT_EQ(instances[0].metric("admission_waited_total"), 0);
}

/* An engine whose only report is that four rounds of work wait there; it loses its weight within a second. */
struct Overloaded : Admission {
	std::atomic<int> arrivals{ 0 };

	void start_overloaded()
	{
		start(1, [&](raw_connection &connection, const std::string &request) {
			const char *report = arrivals++ == 0 ? "Server-Load: 6,24,6\r\n" : "";
			connection.send(answer_with_length("200 OK", request, "{}", report));
		});
		ASSERT_EQ(ask(0, "POST", "/ordinary/first").status, 200);
	}
};

/* Guards against requests that are sent into the queue of an engine that has more than it can do in time. */
TEST_F(Overloaded, ARequestWaitsUntilTheEngineHasRoom)
{
	start_overloaded();
	int64_t began_ms = now_ms();
	EXPECT_EQ(ask(0, "POST", "/ordinary/1").status, 200);
	EXPECT_GE(now_ms() - began_ms, 200);
	EXPECT_EQ(instances[0].metric("admission_waited_total"), 1);
	EXPECT_EQ(instances[0].metric("retries_total"), 0);
}

/* Guards against a request that is sent after its caller has left the queue. */
TEST_F(Overloaded, ACallerThatLeavesTakesItsRequestOutOfTheQueue)
{
	start_overloaded();
	{
		support::http_stream stream(instances[0].caller_port, "POST", "/ordinary/1", "{}",
					    { { "Attempt-Id", "leaves" },
					      { "Deadline-Ms", "2500" },
					      { "Credential", "k1" } });
		ASSERT_TRUE(wait_until([&] { return waiting() == 1; }));
	}
	EXPECT_TRUE(wait_until([&] { return waiting() == 0; }));
	EXPECT_EQ(instances[0].metric("admission_waited_total"), 0);
	EXPECT_EQ(arrivals, 1);
}

} // namespace
