// A planned stop of wharf-gateway while callers keep using connections that they have had since before it.
// Faults: requests that come late in the grace, engines that take long.
#include <gtest/gtest.h>

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <csignal>
#include <string>
#include <thread>
#include <vector>

#include "support/fleet.h"
#include "support/http.h"
#include "support/kept_connection.h"
#include "support/raw_fleet.h"

using support::answer_with_length;
using support::http_answer;
using support::http_headers;
using support::kept_connection;
using support::now_ms;
using support::raw_connection;
using support::wait_until;

namespace
{

/** Run times of requests. */
constexpr int LONG_MS = 2500;
constexpr int SHORT_MS = 1700;
constexpr int FIRST_MS = 100;
constexpr int LAST_MS = 7300;
constexpr int EACH_MS = 200;
/** Requests that come later may find their connections closed, as nothing is in progress any more. */
constexpr int IDLE_CLOSED_MS = 6000;

struct PlannedStop : testing::Test, support::fleet {
	struct outcome {
		int64_t sent_ms;
		bool is_sent;
		http_answer answer;
	};

	PlannedStop() : fleet(1)
	{
		backend_arguments = { "--work-ms=10" };
		idle_timeout_ms = 15000;
		more_routes = "," + route("slow", "unsafe", 1);
		more_routes.replace(more_routes.find("3000"), 4, "20000");
	}
	void SetUp() override
	{
		for (const char *id : { "e1", "e2", "e3" })
			add_backend(id);
		configure();
		launch(0);
		ASSERT_TRUE(wait_for_all());
		ASSERT_TRUE(wait_until([&] { return instances[0].metric("engines_usable") == 3; }));
	}
	static http_headers headers_of(const std::string &id)
	{
		return { { "Attempt-Id", id }, { "Deadline-Ms", "6000" }, { "Credential", "k1" } };
	}
	/* Connections that have been used once, each of which is used once more after SIGTERM. */
	std::vector<outcome> stop_under_requests(const std::string &method, const std::string &path,
						 int work_ms)
	{
		std::vector<outcome> outcomes;
		std::vector<kept_connection> connections;
		std::vector<std::thread> callers;

		for (int ms = FIRST_MS; ms <= LAST_MS; ms += EACH_MS) {
			connections.emplace_back(instances[0].caller_port);
			connections.back().send("GET", "/look/warm", "",
						headers_of("w" + std::to_string(ms)));
			EXPECT_EQ(connections.back().read().status, 200);
			outcomes.push_back({ ms, false, {} });
		}
		for (const auto &each : backends)
			each->inject_fault("{\"kind\":\"late\",\"n\":" + std::to_string(work_ms) +
					   ",\"count\":1000}");
		instances[0].gateway->signal(SIGTERM);
		int64_t stop_ms = now_ms();
		for (size_t i = 0; i < outcomes.size(); i++)
			callers.emplace_back([&, i] {
				outcome &each = outcomes[i];
				std::this_thread::sleep_for(std::chrono::milliseconds(
					stop_ms + each.sent_ms - now_ms()));
				each.is_sent =
					connections[i].send(method, path + std::to_string(i), "{}",
							    headers_of("s" + std::to_string(i)));
				each.answer = connections[i].read();
			});
		for (auto &caller : callers)
			caller.join();
		return outcomes;
	}
	int64_t runs() const
	{
		return sum_stat("runs");
	}
};

/* Guards against requests that come late in the grace of a planned stop, are passed on, and are cut at the
 * end of it without an answer, although they may not be repeated. */
TEST_F(PlannedStop, RequestsThatRunAtMostOnceAreAnsweredOrRefused)
{
	size_t refused = 0;
	size_t served = 0;
	std::vector<outcome> outcomes = stop_under_requests("POST", "/book/", LONG_MS);

	for (const outcome &each : outcomes) {
		/* Idle connections are closed as soon as nothing is in progress. */
		bool is_late = each.answer.status == 0 && each.sent_ms > IDLE_CLOSED_MS;
		EXPECT_TRUE(each.answer.status == 200 || each.answer.status == 503 || is_late)
			<< "sent " << each.sent_ms << " ms after SIGTERM: status "
			<< each.answer.status;
		served += each.answer.status == 200;
		refused += each.answer.status == 503;
	}
	EXPECT_EQ((size_t)runs(), served + outcomes.size()) << "what had no 200 has not run";
	EXPECT_GT(served, 15U);
	EXPECT_GT(refused, 0U);
}

/* The same for requests that may be repeated: none ends without an answer. */
TEST_F(PlannedStop, RepeatableRequestsAreAnswered)
{
	size_t served = 0;

	for (const outcome &each : stop_under_requests("GET", "/look/", SHORT_MS)) {
		EXPECT_TRUE(each.answer.whole || each.sent_ms > IDLE_CLOSED_MS)
			<< "sent " << each.sent_ms << " ms after SIGTERM: status "
			<< each.answer.status;
		served += each.answer.status == 200;
	}
	EXPECT_GT(served, 18U);
}

/* Guards against requests that are still in progress at the end of the grace and are cut without an answer:
 * they came before the signal, and their time limit is later than the end. */
TEST_F(PlannedStop, WhatIsInProgressAtTheEndIsAnswered)
{
	kept_connection connection(instances[0].caller_port);

	for (const auto &each : backends)
		each->inject_fault("{\"kind\":\"late\",\"n\":20000,\"count\":10}");
	connection.send(
		"POST", "/slow/1", "{}",
		{ { "Attempt-Id", "x1" }, { "Deadline-Ms", "15000" }, { "Credential", "k1" } });
	ASSERT_TRUE(wait_until([&] { return runs() == 1; }));
	instances[0].gateway->signal(SIGTERM);
	http_answer answer = connection.read();
	EXPECT_TRUE(answer.whole);
	EXPECT_EQ(answer.status, 502) << "it may have run";
	EXPECT_NE(answer.body.find("\"not_run\":false"), std::string::npos) << answer.body;
}

struct SlowReader : support::raw_fleet {
	static constexpr size_t ANSWER_BYTES = 8000000;
	static constexpr int READ_BYTES = 60000; /* each 40 ms: 1.5 MB/s */
	/* As on a network: with the loopback's own, the kernel holds far more of an answer. */
	static constexpr int SEGMENT_BYTES = 1460;

	/* Reads the answer, and sends SIGTERM after a tenth of it. @return bytes of its body */
	size_t read_slowly()
	{
		int fd = socket(AF_INET, SOCK_STREAM, 0);
		int receive_bytes = 65536;
		int segment_bytes = SEGMENT_BYTES;
		setsockopt(fd, IPPROTO_TCP, TCP_MAXSEG, &segment_bytes, sizeof(segment_bytes));
		setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &receive_bytes, sizeof(receive_bytes));
		sockaddr_in address{};
		address.sin_family = AF_INET;
		address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
		address.sin_port = htons(instances[0].caller_port);
		EXPECT_EQ(connect(fd, (sockaddr *)&address, sizeof(address)), 0);
		std::string request =
			"POST /slow/1 HTTP/1.1\r\nHost: 127.0.0.1\r\nAttempt-Id: r1\r\n"
			"Deadline-Ms: 20000\r\nCredential: k1\r\n"
			"Content-Length: 2\r\n\r\n{}";
		EXPECT_EQ(send(fd, request.data(), request.size(), 0), (ssize_t)request.size());
		std::string buffer(READ_BYTES, ' ');
		size_t received = 0;
		size_t marks = 0;
		bool is_stopped = false;
		for (ssize_t len; (len = recv(fd, &buffer[0], buffer.size(), 0)) > 0;) {
			received += (size_t)len;
			marks += (size_t)std::count(buffer.begin(), buffer.begin() + len, '~');
			if (!is_stopped && received > ANSWER_BYTES / 10) {
				instances[0].gateway->signal(SIGTERM);
				is_stopped = true;
			}
			if (marks == ANSWER_BYTES)
				break;
			std::this_thread::sleep_for(std::chrono::milliseconds(40));
		}
		close(fd);
		return marks;
	}
};

/* Guards against the end of an answer that is dropped at a planned stop: its request has ended, its caller reads
 * on, and what is left waits in the gateway's queue. */
TEST_F(SlowReader, GetsTheWholeAnswerBeyondAPlannedStop)
{
	more_routes = "," + route("slow", "unsafe", 1);
	more_routes.replace(more_routes.find("3000"), 4, "20000");
	start(1, [](raw_connection &connection, const std::string &request) {
		connection.send(
			answer_with_length("200 OK", request, std::string(ANSWER_BYTES, '~')));
	});
	EXPECT_EQ(read_slowly(), ANSWER_BYTES);
	EXPECT_TRUE(instances[0].gateway->wait(10000).ended);
}

} // namespace
