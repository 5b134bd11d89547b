// Engines that send nothing for seconds, between a real wharf-gateway and its callers.
#include <gtest/gtest.h>

#include <poll.h>

#include <atomic>
#include <chrono>
#include <fstream>
#include <map>
#include <mutex>
#include <string>
#include <thread>

#include <unistd.h>

#include "support/raw_fleet.h"

using support::answer_head;
using support::answer_with_length;
using support::field_of;
using support::http_answer;
using support::now_ms;
using support::raw_connection;

namespace
{

constexpr int TIME_LIMIT_MS = 20000;
constexpr int PREEMPTED_MS = 5500;
constexpr size_t LONG_BODY_BYTES = 1200000;

void sleep_ms(int ms)
{
	std::this_thread::sleep_for(std::chrono::milliseconds(ms));
}

std::string event_chunk(int id)
{
	std::string event = "id: " + std::to_string(id) + "\ndata: x\n\n";
	char size[24];
	snprintf(size, sizeof(size), "%zx\r\n", event.size());
	return size + event + "\r\n";
}

struct SilentEngines : support::raw_fleet {
	std::mutex mutex;
	std::map<std::string, int> sends; /* by attempt id */
	std::atomic<int64_t> told_at_ms{ 0 };
	std::atomic<int64_t> moved_at_ms{ 0 };

	SilentEngines()
	{
		auto stream = [this](const char *name, int gap_ms) {
			return "," + route(name, "stream", 3,
					   ",\"Resumable\":true,\"TargetGapMs\":" +
						   std::to_string(gap_ms) + ",\"TimeoutMs\":" +
						   std::to_string(TIME_LIMIT_MS));
		};
		/* Callers of "stay" wait 12 s for the next event, those of "move" 4 s. */
		more_routes =
			stream("stay", 1500) + stream("move", 500) + "," +
			route("late", "stream", 3,
			      ",\"Resumable\":true,\"TargetLatencyMs\":15000,\"TimeoutMs\":" +
				      std::to_string(TIME_LIMIT_MS)) +
			"," +
			route("read", "safe", 2, ",\"TimeoutMs\":" + std::to_string(TIME_LIMIT_MS));
	}
	http_answer call(const std::string &path)
	{
		return support::http_call(instances[0].caller_port,
					  path.find("/read") == 0 ? "GET" : "POST", path, "",
					  { { "Attempt-Id", "a-" + path.substr(1, 4) },
					    { "Deadline-Ms", std::to_string(TIME_LIMIT_MS) },
					    { "Credential", "k1" } },
					  TIME_LIMIT_MS);
	}
	int count_sends(const std::string &name)
	{
		std::lock_guard<std::mutex> lock(mutex);
		return sends["a-" + name];
	}
};

/* Sends nothing until the connection is closed by the other side. */
void wait_for_close(const raw_connection &connection)
{
	pollfd poller = { connection.fd(), POLLIN, 0 };
	poll(&poller, 1, TIME_LIMIT_MS);
}

/* Guards against a preempted stream that is taken to another engine while its engine would go on; one that
 * moves before its first engine was told; and a plain answer that is cut off while its bytes arrive. */
TEST_F(SilentEngines, OnlyAStreamThatItsCallerWouldAbandonMoves)
{
	start(3, [this](raw_connection &connection, const std::string &request) {
		const std::string stream =
			"Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n";
		bool is_first;
		{
			std::lock_guard<std::mutex> lock(mutex);
			is_first = sends[field_of(request, "Attempt-Id")]++ == 0;
		}
		if (request.find("/read/") != std::string::npos) {
			connection.send(answer_head("200 OK", request,
						    "Content-Length: " +
							    std::to_string(LONG_BODY_BYTES + 3) +
							    "\r\n") +
					std::string(LONG_BODY_BYTES, 'x'));
			for (int i = 0; i < 3; i++) {
				sleep_ms(2500);
				connection.send("x");
			}
			return;
		}
		connection.send(answer_head("200 OK", request, stream));
		if (request.find("/move/") != std::string::npos && is_first) {
			connection.send(event_chunk(1));
			wait_for_close(connection);
			told_at_ms = now_ms();
			connection.close();
			return;
		}
		if (request.find("/move/") != std::string::npos) {
			moved_at_ms = now_ms();
			connection.send(event_chunk(2) + "0\r\n\r\n");
			return;
		}
		connection.send(event_chunk(1));
		sleep_ms(PREEMPTED_MS);
		connection.send(event_chunk(2) + "0\r\n\r\n");
	});
	http_answer stayed;
	http_answer moved;
	std::thread stay([&] { stayed = call("/stay/1"); });
	std::thread move([&] { moved = call("/move/1"); });
	http_answer read = call("/read/1");
	stay.join();
	move.join();
	EXPECT_TRUE(stayed.whole);
	EXPECT_EQ(count_sends("stay"), 1) << "its engine was preempted, not dead";
	EXPECT_TRUE(moved.whole);
	EXPECT_EQ(count_sends("move"), 2);
	EXPECT_GE(moved_at_ms - told_at_ms, 400);
	EXPECT_TRUE(read.whole);
	EXPECT_EQ(read.body.size(), LONG_BODY_BYTES + 3);
	EXPECT_EQ(count_sends("read"), 1);
}

/* Guards against a stream that is broken off because the other engines want a short pause. */
TEST_F(SilentEngines, AStreamThatHasBegunWaitsForAPausedEngine)
{
	start(3, [this](raw_connection &connection, const std::string &request) {
		const std::string stream =
			"Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n";
		int number;
		if (request.find("/look/") != std::string::npos) {
			connection.send(answer_with_length("200 OK", request, "{}"));
			return;
		}
		{
			std::lock_guard<std::mutex> lock(mutex);
			number = sends[field_of(request, "Attempt-Id")]++;
		}
		if (number == 0) {
			connection.send(answer_head("200 OK", request, stream) + event_chunk(1));
			connection.close();
		} else if (number <= 2) {
			connection.send(answer_with_length(
				"503 Full", request, "", "Not-Executed: 1\r\nRetry-After: 1\r\n"));
		} else {
			connection.send(answer_head("200 OK", request, stream) + event_chunk(2) +
					"0\r\n\r\n");
		}
	});
	/* They add to the retry budget. */
	for (int i = 0; i < 100; i++)
		EXPECT_EQ(ask(0, "GET", "/look/1").status, 200);
	EXPECT_TRUE(call("/stay/1").whole);
	EXPECT_EQ(count_sends("stay"), 4);
}

/* Processor time that a process has used so far. */
int64_t processor_ms(pid_t pid)
{
	std::ifstream file("/proc/" + std::to_string(pid) + "/stat");
	std::string text((std::istreambuf_iterator<char>(file)), {});
	unsigned long user = 0;
	unsigned long kernel = 0;
	/* The fields 14 and 15; the second one, the name, may have spaces. */
	sscanf(text.c_str() + text.rfind(')') + 1,
	       "%*s %*s %*s %*s %*s %*s %*s %*s %*s %*s %*s %lu %lu", &user, &kernel);
	return (int64_t)(user + kernel) * 1000 / sysconf(_SC_CLK_TCK);
}

/* Guards against a request whose timer is due again at once while it waits in the queue: its engine didn't begin, and
 * by the time it may be sent again all engines want a pause. */
TEST_F(SilentEngines, ARequestThatIsQueuedAfterASilenceUsesNoProcessorTime)
{
	constexpr int pause_ms = 3000;
	std::atomic<bool> is_full{ false };

	start(2, [this, &is_full](raw_connection &connection, const std::string &request) {
		bool is_first;
		if (request.find("/look/") != std::string::npos) {
			connection.send(is_full ? answer_with_length("503 Full", request, "",
								     "Not-Executed: 1\r\n"
								     "Retry-After: 3\r\n")
						: answer_with_length("200 OK", request, "{}"));
			return;
		}
		{
			std::lock_guard<std::mutex> lock(mutex);
			is_first = sends[field_of(request, "Attempt-Id")]++ == 0;
		}
		if (is_first) {
			wait_for_close(connection);
			told_at_ms = now_ms();
			connection.close();
			return;
		}
		connection.send(answer_head("200 OK", request,
					    "Content-Type: text/event-stream\r\n"
					    "Transfer-Encoding: chunked\r\n") +
				event_chunk(1) + "0\r\n\r\n");
	});
	/* They add to the retry budget. */
	for (int i = 0; i < 100; i++)
		EXPECT_EQ(ask(0, "GET", "/look/1").status, 200);
	http_answer late;
	std::thread caller([&] { late = call("/late/1"); });
	EXPECT_TRUE(support::wait_until([&] { return told_at_ms > 0; }));
	is_full = true;
	EXPECT_EQ(ask(0, "GET", "/look/1").status, 503) << "both engines want a pause now";
	int64_t began_ms = now_ms();
	int64_t used_ms = processor_ms(instances[0].gateway->pid());
	caller.join();
	used_ms = processor_ms(instances[0].gateway->pid()) - used_ms;
	EXPECT_TRUE(late.whole);
	EXPECT_EQ(count_sends("late"), 2);
	EXPECT_GE(now_ms() - began_ms, pause_ms / 2) << "it has waited";
	EXPECT_LT(used_ms, pause_ms / 4);
}

} // namespace
