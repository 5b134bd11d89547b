// What engines say of themselves in their answers, through real wharf-gateway processes: that they leave, and
// that they want a pause.
#include <gtest/gtest.h>

#include <atomic>
#include <chrono>
#include <map>
#include <mutex>
#include <string>
#include <thread>

#include "support/raw_fleet.h"

using support::answer_head;
using support::answer_with_length;
using support::field_of;
using support::http_answer;
using support::now_ms;
using support::raw_connection;
using support::raw_server;
using support::wait_until;

namespace
{

/* What may still be on its way when an engine's word arrives. */
constexpr int64_t IN_FORCE_MS = 50;
/* The same over all instances. */
constexpr int64_t TOLD_MS = 1000;
const char *const LEAVING = "Server-Leaving: 1\r\n";

/* Engines of which the first that gets a request says its word in the answer; requests that come to it
 * later are counted. */
struct EngineState : support::raw_fleet {
	std::mutex mutex;
	std::string speaker; /* port of the engine that has spoken; "": none yet */
	std::atomic<bool> is_warm{ false }; /* before that, all requests are answered well */
	std::atomic<int64_t> spoke_ms{ 0 };
	std::atomic<int> late{ 0 }; /* requests to it from IN_FORCE_MS on */

	explicit EngineState(size_t instance_count = 2) : support::raw_fleet(instance_count)
	{
	}
	/* @say answers the first request; the others are answered well */
	void start_with(size_t count,
			const std::function<void(raw_connection &, const std::string &)> &say)
	{
		start(count, [this, say](raw_connection &connection, const std::string &request) {
			if (is_first(request)) {
				say(connection, request);
				spoke_ms = now_ms();
				return;
			}
			if (is_speaker(request) && now_ms() > spoke_ms + IN_FORCE_MS)
				late++;
			connection.send(answer_with_length("200 OK", request, "{}"));
		});
		warm_up();
	}
	/* Requests that are served earn the budget of retries. */
	void warm_up()
	{
		ask_often();
		is_warm = true;
	}
	bool is_first(const std::string &request)
	{
		std::lock_guard<std::mutex> lock(mutex);
		if (!is_warm || !speaker.empty())
			return false;
		speaker = field_of(request, "Expect-Instance");
		return true;
	}
	bool is_speaker(const std::string &request)
	{
		std::lock_guard<std::mutex> lock(mutex);
		return speaker == field_of(request, "Expect-Instance");
	}
	size_t speaker_index()
	{
		std::lock_guard<std::mutex> lock(mutex);
		return (size_t)(speaker[1] - '1');
	}
	/* Asks all instances many times; all are served. */
	void ask_often(int times = 20)
	{
		for (int n = 0; n < times; n++) {
			for (size_t i = 0; i < instances.size(); i++)
				EXPECT_EQ(ask(i, "POST", "/book/1").status, 200);
		}
	}
	void sleep_ms(int64_t ms)
	{
		std::this_thread::sleep_for(std::chrono::milliseconds(ms));
	}
};

struct Leaves : EngineState, testing::WithParamInterface<int> {
};

/* Guards against requests to an engine that has said that it leaves: in each kind of answer, at the instance
 * that got it and at those that are told. */
TEST_P(Leaves, AnEngineThatSaysSoGetsNoMoreRequests)
{
	start_with(2, [](raw_connection &connection, const std::string &request) {
		std::string more = LEAVING;
		switch (GetParam()) {
		case 0:
			connection.send(answer_with_length("200 OK", request, "{}", more));
			break;
		case 1:
			connection.send(answer_with_length("500 Oops", request, "{}", more));
			break;
		case 2:
			connection.send(answer_with_length("503 Full", request, "",
							   more + "Not-Executed: 1\r\n"));
			break;
		case 3:
			connection.send(
				answer_head("200 OK", request, more + "Content-Length: 100\r\n") +
				"cut");
			connection.close();
			break;
		case 4: /* an earlier answer once more, then this one */
			connection.send("HTTP/1.1 200 OK\r\nAttempt-Id: other\r\n" + more +
					"Content-Length: 0\r\n\r\n" +
					answer_with_length("200 OK", request, "{}"));
			break;
		}
	});
	ask(0, "POST", "/book/1");
	for (const auto &each : instances)
		EXPECT_TRUE(wait_until([&] { return each.metric("engines_usable") == 1; }, TOLD_MS))
			<< each.name;
	sleep_ms(IN_FORCE_MS);
	ask_often();
	EXPECT_EQ(late, 0);
}

INSTANTIATE_TEST_SUITE_P(Answers, Leaves, testing::Range(0, 5));

/* Neither its entry written again nor a new configuration brings it back; another lifetime does. */
TEST_F(EngineState, AnotherLifetimeOnlyEndsTheLeaving)
{
	start_with(2, [](raw_connection &connection, const std::string &request) {
		connection.send(answer_with_length("200 OK", request, "{}", LEAVING));
	});
	ask(0, "POST", "/book/1");
	sleep_ms(TOLD_MS);
	register_engine(speaker_index());
	configure();
	remove("servers/e" + std::to_string(speaker_index() + 1));
	sleep_ms(TOLD_MS);
	register_engine(speaker_index());
	sleep_ms(TOLD_MS);
	ask_often();
	EXPECT_EQ(late, 0);
	register_engine(speaker_index(), 6);
	for (const auto &each : instances)
		EXPECT_TRUE(wait_until([&] { return each.metric("engines_usable") == 2; }));
	ask_often();
	EXPECT_GT(late, 0);
}

/* An instance that starts learns it from the others. */
TEST_F(EngineState, AnInstanceThatStartsLearnsWhichEnginesLeave)
{
	start_with(2, [](raw_connection &connection, const std::string &request) {
		connection.send(answer_with_length("200 OK", request, "{}", LEAVING));
	});
	ask(0, "POST", "/book/1");
	sleep_ms(TOLD_MS);
	instances[1].gateway->kill();
	launch(1);
	ASSERT_TRUE(wait_until([&] { return instances[1].is_ready(); }));
	EXPECT_TRUE(wait_until([&] { return instances[1].metric("engines_usable") == 1; }, 4000));
	ask_often();
	EXPECT_EQ(late, 0);
}

/* If all engines leave, requests are refused at once. */
TEST_F(EngineState, WithoutEnginesRequestsAreRefusedAtOnce)
{
	start(1, [](raw_connection &connection, const std::string &request) {
		connection.send(answer_with_length("200 OK", request, "{}", LEAVING));
	});
	ask(0, "POST", "/book/1");
	sleep_ms(IN_FORCE_MS);
	int64_t began_ms = now_ms();
	http_answer answer = ask(0, "POST", "/book/1");
	EXPECT_EQ(answer.status, 503);
	EXPECT_LT(now_ms() - began_ms, 100);
	EXPECT_NE(answer.body.find("\"not_run\":true"), std::string::npos);
	EXPECT_EQ(answer.headers.count("retry-after"), 1U);
}

/* The word of another engine at its address says nothing of it. */
TEST_F(EngineState, AMisdirectedAnswerSaysNothing)
{
	start_with(2, [](raw_connection &connection, const std::string &request) {
		connection.send(answer_with_length("421 Misdirected", request, "",
						   std::string(LEAVING) + "Not-Executed: 1\r\n"));
	});
	ask(0, "GET", "/look/1");
	sleep_ms(IN_FORCE_MS);
	EXPECT_EQ(instances[0].metric("engines_leaving"), 0);
}

std::string full(const std::string &request, const std::string &pause)
{
	return answer_with_length("503 Full", request, "",
				  "Not-Executed: 1\r\nRetry-After: " + pause + "\r\n");
}

struct Pauses : EngineState {
	Pauses() : EngineState(1)
	{
	}
};

/* Guards against requests to an engine within the pause that it has asked for. */
TEST_F(Pauses, AnEngineThatWantsAPauseGetsNoRequestsUntilItsEnd)
{
	start_with(2, [](raw_connection &connection, const std::string &request) {
		connection.send(full(request, "0.8"));
	});
	EXPECT_EQ(ask(0, "GET", "/look/1").status, 200) << "another engine serves it";
	sleep_ms(IN_FORCE_MS);
	while (now_ms() < spoke_ms + 750)
		EXPECT_EQ(ask(0, "POST", "/book/1").status, 200);
	EXPECT_EQ(late, 0);
	sleep_ms(300);
	ask_often(40);
	EXPECT_GT(late, 0) << "after its end it is used again";
}

/* The latest end holds: a shorter pause doesn't end a longer one. */
TEST_F(Pauses, TheLatestEndHolds)
{
	std::atomic<int> asked{ 0 };
	start(1, [&](raw_connection &connection, const std::string &request) {
		asked++;
		connection.send(full(request, "30") + full(request, "0.1"));
	});
	EXPECT_EQ(ask(0, "POST", "/book/1").status, 503);
	sleep_ms(300);
	EXPECT_EQ(ask(0, "POST", "/book/1").status, 503);
	EXPECT_EQ(asked, 1);
}

/* All engines want a pause: a request waits if its goal allows, else it is refused at once, and its caller is
 * told when to come back. */
TEST_F(Pauses, ARequestWaitsWithinItsGoalOrIsRefusedAtOnce)
{
	std::atomic<int> asked{ 0 };
	std::atomic<bool> is_long{ false };
	start(1, [&](raw_connection &connection, const std::string &request) {
		bool is_refused = is_warm && asked++ == 0;
		connection.send(is_refused ? full(request, is_long ? "4" : "0.2")
					   : answer_with_length("200 OK", request, "{}"));
	});
	warm_up();
	int64_t began_ms = now_ms();
	EXPECT_EQ(ask(0, "POST", "/book/full").status, 200);
	EXPECT_GE(now_ms() - began_ms, 200);
	EXPECT_LT(now_ms() - began_ms, 500) << "the goal";
	asked = 0;
	is_long = true;
	began_ms = now_ms();
	http_answer answer = ask(0, "POST", "/book/full");
	EXPECT_EQ(answer.status, 503);
	EXPECT_LT(now_ms() - began_ms, 100);
	EXPECT_GE(atof(answer.headers["retry-after"].c_str()), 3.9);
	EXPECT_NE(answer.body.find("\"not_run\":true"), std::string::npos);
}

/* Fields that can't be read ask for nothing, and huge ones don't overflow. */
TEST_F(Pauses, MalformedFieldsAskForNothing)
{
	std::atomic<bool> is_asking{ true };
	std::string pause;
	start(1, [&](raw_connection &connection, const std::string &request) {
		connection.send(is_asking ? full(request, pause)
					  : answer_with_length("200 OK", request, "{}"));
	});
	for (const char *text : { "-1", "soon", "1,5", "1.", ".5", "1e3", " ", "0x10", "0",
				  "Sat, 05 Dec 2026 01:00:00 GMT", "1 2" }) {
		pause = text;
		is_asking = true;
		EXPECT_EQ(ask(0, "POST", "/book/1").status, 503) << text;
		is_asking = false;
		EXPECT_EQ(ask(0, "POST", "/book/1").status, 200) << text;
	}
	pause = "99999999999999999999999999999999";
	is_asking = true;
	EXPECT_EQ(ask(0, "POST", "/book/1").status, 503);
	is_asking = false;
	EXPECT_EQ(ask(0, "POST", "/book/1").status, 503);
	register_engine(0, 6);
	EXPECT_TRUE(wait_until([&] { return ask(0, "POST", "/book/1").status == 200; }))
		<< "another lifetime has asked for nothing";
}

} // namespace
