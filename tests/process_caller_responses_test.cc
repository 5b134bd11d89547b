// Responses as callers get them from a real wharf-gateway: none to HEAD, and none with 204 or 304, has a body, which would
// stand before the next response of the connection; and a slow reader gets the end of its last response.
#include <gtest/gtest.h>

#include <atomic>
#include <chrono>
#include <string>
#include <thread>

#include "support/caller_crowd.h"
#include "support/raw_fleet.h"
#include "support/raw_socket.h"

using support::answer_head;
using support::answer_with_length;
using support::caller_crowd;
using support::exchange_bytes;
using support::raw_connection;

namespace
{

/* More than the kernel holds for a connection (about 2.5 MB), and so little more that the gateway takes all of
 * it at once. */
constexpr size_t LONG_ANSWER_BYTES = 3100000;
/* The reader is slow at first, for over twice as long as a connection lingered before the fault was mended. */
constexpr int SLOW_STEPS = 60;
constexpr int SLOW_STEP_BYTES = 4000;
constexpr int STEP_BYTES = 60000;
constexpr int STEP_MS = 40;

constexpr int PIPELINED = 40;
constexpr size_t PIPELINED_BYTES = 200000;

struct CallerResponses : support::raw_fleet {
	void start_engine()
	{
		start(1, [](raw_connection &connection, const std::string &request) {
			auto asks_for = [&](const char *target) {
				return request.find(target) != std::string::npos;
			};
			if (asks_for("/look/hang"))
				return;
			if (asks_for("/look/garbage"))
				connection.send("no answer\r\n\r\n");
			else if (asks_for("/look/none"))
				connection.send(answer_head("204 No Content", request));
			else if (asks_for("/look/unchanged"))
				connection.send(answer_head("304 Not Modified", request));
			else if (asks_for("/look/length"))
				connection.send(answer_head("304 Not Modified", request,
							    "Content-Length: 1234\r\n"));
			else if (asks_for("/look/long"))
				connection.send(answer_with_length(
					"200 OK", request, std::string(LONG_ANSWER_BYTES, 'x')));
			else
				connection.send(answer_with_length("200 OK", request, "next"));
		});
	}
	std::string request(const std::string &method, const std::string &path,
			    const std::string &more = "Credential: k1\r\n")
	{
		return method + " " + path +
		       " HTTP/1.1\r\nHost: 127.0.0.1\r\nDeadline-Ms: 1500\r\nAttempt-Id: r" +
		       std::to_string(next_attempt++) + "\r\n" + more + "\r\n";
	}
	std::string exchange(const std::string &bytes, int silence_ms = 4000)
	{
		return exchange_bytes("127.0.0.1", instances[0].caller_port, bytes, silence_ms);
	}
	/* Sends a request and an ordinary one after it; checks that the first response has @p status and no
	 * body. @return its head */
	std::string expect_head_only(const std::string &first, const std::string &status)
	{
		std::string answers =
			exchange(first + request("GET", "/look/1",
						 "Credential: k1\r\nConnection: close\r\n"));
		size_t end = answers.find("\r\n\r\n");
		EXPECT_EQ(answers.substr(0, 13), "HTTP/1.1 " + status + " ") << answers;
		EXPECT_EQ(answers.substr(end + 4, 13), "HTTP/1.1 200 ") << answers;
		EXPECT_EQ(answers.substr(answers.size() - 4), "next") << answers;
		return answers.substr(0, end);
	}
};

TEST_F(CallerResponses, OwnErrorsToHeadHaveNoBody)
{
	start_engine();
	expect_head_only(request("HEAD", "/look/1", ""), "401");
	expect_head_only(request("HEAD", "/none/1"), "404");
	expect_head_only(request("HEAD", "/look/garbage"), "502");
	expect_head_only(request("HEAD", "/look/hang"), "504");
	remove("servers/e1");
	ASSERT_TRUE(
		support::wait_until([&] { return instances[0].metric("engines_usable") == 0; }));
	std::string answer =
		exchange(request("HEAD", "/look/1", "Credential: k1\r\nConnection: close\r\n"));
	EXPECT_EQ(answer.substr(0, 13), "HTTP/1.1 503 ") << answer;
	EXPECT_EQ(answer.find("\r\n\r\n") + 4, answer.size()) << answer;
}

/* These close the connection. */
TEST_F(CallerResponses, RejectionsOfHeadHaveNoBody)
{
	start_engine();
	const std::string line = "HEAD /look/1 HTTP/1.1\r\nHost: 127.0.0.1\r\n";
	const std::pair<std::string, std::string> cases[] = {
		{ line + "Content-Length: 999999999\r\n\r\n", "413" },
		{ line + "X-Long: " + std::string(9000, 'a') + "\r\n\r\n", "431" },
		{ line, "408" },
	};
	for (const auto &each : cases) {
		std::string answer = exchange(each.first);
		EXPECT_EQ(answer.substr(0, 13), "HTTP/1.1 " + each.second + " ") << answer;
		EXPECT_EQ(answer.find("\r\n\r\n") + 4, answer.size()) << answer;
	}
}

TEST_F(CallerResponses, NoContentAndNotModifiedGetNoLengthOfTheirOwn)
{
	start_engine();
	for (const char *target : { "/look/none", "/look/unchanged" }) {
		std::string status = target == std::string("/look/none") ? "204" : "304";
		std::string head = expect_head_only(request("GET", target), status);
		EXPECT_EQ(head.find("Content-Length"), std::string::npos) << head;
		EXPECT_EQ(head.find("Transfer-Encoding"), std::string::npos) << head;
	}
}

TEST_F(CallerResponses, ALengthWithoutABodyIsTheEngines)
{
	start_engine();
	std::string head = expect_head_only(request("GET", "/look/length"), "304");
	EXPECT_NE(head.find("Content-Length: 1234"), std::string::npos) << head;
}

/* A caller that is told otherwise, or nothing, can't repeat a request that may run only once. */
TEST_F(CallerResponses, RejectionsAtTheLimitsSayThatNothingRan)
{
	std::atomic<int> runs{ 0 };
	auto expect_rejection = [](const std::string &answer) {
		EXPECT_EQ(answer.substr(0, 13), "HTTP/1.1 503 ") << answer;
		EXPECT_NE(answer.find("Retry-After: 1.500\r\n"), std::string::npos) << answer;
		EXPECT_NE(answer.find("\"not_run\":true"), std::string::npos) << answer;
	};
	max_body_bytes = 1 << 20;
	more_settings = ",\"caller_memory_mb\":4,\"caller_connections\":8";
	start(1, [&](raw_connection &, const std::string &) { runs++; });
	auto body = std::make_shared<const std::string>(
		request("POST", "/book/1", "Credential: k1\r\nContent-Length: 1048576\r\n"));
	caller_crowd crowd(instances[0].caller_port);
	/* Two announced bodies fit into what one address gets for large ones, 9/16 of 4 MB. */
	crowd.add(body);
	crowd.add(body);
	crowd.send_all();
	ASSERT_TRUE(
		support::wait_until([&] { return instances[0].metric("caller_bytes") > 2 << 20; }));
	crowd.add(body);
	crowd.send_all();
	expect_rejection(crowd.read(2, 800, 10000));
	/* One address gets six of the eight connections; this is within their first second. */
	for (int i = 0; i < 4; i++)
		crowd.add();
	expect_rejection(crowd.read(6, 300, 10000));
	EXPECT_EQ(runs, 0);
}

/* Otherwise empty lines, sent one after the other, hold a connection for ever. */
TEST_F(CallerResponses, EmptyLinesDoNotExtendTheTimeForAHead)
{
	start_engine();
	caller_crowd crowd(instances[0].caller_port);
	auto line = std::make_shared<const std::string>("\r\n");
	size_t index = crowd.add(line);
	bool ended = support::wait_until(
		[&] {
			crowd.send_more(index, line);
			crowd.send_all();
			return crowd.wait_readable(index, 100);
		},
		4000);
	EXPECT_TRUE(ended);
}

/* Answers to pipelined requests that nobody reads would pile up in memory. They come in order once they are read. */
TEST_F(CallerResponses, UnreadAnswersStopPipelinedRequests)
{
	std::string requests;
	std::string answers;
	std::string found;
	std::string expected;
	std::atomic<int> sent{ 0 };
	start(1, [&](raw_connection &connection, const std::string &text) {
		sent++;
		connection.send(
			answer_with_length("200 OK", text, std::string(PIPELINED_BYTES, 'x')));
	});
	for (int i = 0; i < PIPELINED; i++) {
		expected += " r" + std::to_string(next_attempt);
		requests += request("GET", "/look/1");
	}
	caller_crowd crowd(instances[0].caller_port);
	size_t index = crowd.add(std::make_shared<const std::string>(requests), 4096);
	crowd.send_all();
	EXPECT_FALSE(support::wait_until([&] { return sent == PIPELINED; }, 1500));
	answers = crowd.read(index, 3000, PIPELINED * (PIPELINED_BYTES + 1000));
	for (size_t at = 0; (at = answers.find("Attempt-Id: ", at)) != std::string::npos;) {
		at += 12;
		found += " " + answers.substr(at, answers.find("\r\n", at) - at);
	}
	EXPECT_EQ(found, expected);
}

TEST_F(CallerResponses, ASlowReaderGetsTheEndOfItsLastResponse)
{
	start_engine();
	caller_crowd crowd(instances[0].caller_port);
	size_t index =
		crowd.add(std::make_shared<const std::string>(request(
				  "GET", "/look/long", "Credential: k1\r\nConnection: close\r\n")),
			  4096);
	crowd.send_all();
	std::string answer;
	size_t before;
	int steps = 0;
	do {
		before = answer.size();
		answer += crowd.read(index, 3000,
				     steps++ < SLOW_STEPS ? SLOW_STEP_BYTES : STEP_BYTES);
		std::this_thread::sleep_for(std::chrono::milliseconds(STEP_MS));
	} while (answer.size() > before);
	EXPECT_EQ(answer.substr(0, 13), "HTTP/1.1 200 ");
	EXPECT_GT(answer.size(), LONG_ANSWER_BYTES);
	EXPECT_EQ(answer.size() > 5 ? answer.substr(answer.size() - 5) : "", "0\r\n\r\n");
}

} // namespace
