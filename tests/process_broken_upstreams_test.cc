// Upstreams whose answers break off anywhere, come twice, or go on as an error, between a real
// dragonflywharfd and its callers: no caller takes them for complete, nor gets what belongs elsewhere.
#include <gtest/gtest.h>

#include <atomic>
#include <chrono>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>

#include "support/cluster.h"
#include "support/raw_server.h"

using support::chat_body;
using support::cluster;
using support::field_of;
using support::http_answer;
using support::raw_connection;
using support::raw_server;

namespace
{

constexpr int RUN_MS = 30;
constexpr int CALLERS = 24;

std::string head_of(const std::string &status, const std::string &request, const std::string &more)
{
	return "HTTP/1.1 " + status + "\r\nx-attempt-id: " + field_of(request, "x-attempt-id") +
	       "\r\n" + more + "\r\n";
}

std::string with_length(const std::string &status, const std::string &request,
			const std::string &body, const std::string &type = "application/json")
{
	return head_of(status, request,
		       "content-type: " + type +
			       "\r\ncontent-length: " + std::to_string(body.size()) + "\r\n") +
	       body;
}

std::string chunk(const std::string &bytes)
{
	char size[24];
	snprintf(size, sizeof(size), "%zx\r\n", bytes.size());
	return size + bytes + "\r\n";
}

std::string in_chunks(const std::string &status, const std::string &request,
		      const std::string &body, const std::string &type = "application/json")
{
	return head_of(status, request,
		       "content-type: " + type + "\r\ntransfer-encoding: chunked\r\n") +
	       chunk(body.substr(0, body.size() / 2)) + chunk(body.substr(body.size() / 2)) +
	       "0\r\n\r\n";
}

const char *const COMPLETION =
	"{\"choices\":[{\"index\":0,\"message\":{\"role\":\"assistant\",\"content\":\"word\"},"
	"\"finish_reason\":\"stop\"}],\"usage\":{\"prompt_tokens\":1,\"completion_tokens\":1}}";

std::string delta(const std::string &word)
{
	return "data: {\"choices\":[{\"index\":0,\"delta\":{\"content\":\"" + word + "\"}}]}\n\n";
}

/* A request whose answers are as long as those to the daemon's. */
const std::string SAMPLE = "X\r\nx-attempt-id: " + std::string(32, '0') + "\r\n\r\n";

/* A daemon before upstreams whose answers the test writes. */
struct BrokenUpstreams : testing::Test {
	cluster c;
	support::daemon *entry = nullptr;
	std::vector<std::unique_ptr<raw_server>> upstreams;

	/* The servers take the ports of stand-ins, which the daemon has got to know. */
	void start(size_t count, const raw_server::handler &answer)
	{
		std::vector<support::standin *> standins;
		std::vector<std::string> entities = {
			"{\"failure_domain\":{\"name\":\"haarlem\"}}",
			"{\"model\":{\"name\":\"large\"}}",
			"{\"version\":{\"model\":\"large\",\"name\":\"1\",\"rollout_weight\":1}}",
			"{\"service\":{\"name\":\"desk\",\"idempotent_paths\":[\"/look\"]}}",
			cluster::organisation_entity("mill", { "large/1" }, { "desk" }),
		};
		entry = &c.add_daemon("entry-1", { .failure_domain = "haarlem" });
		for (size_t i = 0; i < count; i++) {
			standins.push_back(&c.add_engine("engine-" + std::to_string(i), "haarlem",
							 { "large/1" }));
			entities.push_back(cluster::engine_entity(*standins.back(), "haarlem",
								  { "large/1" }, 512, 512, 50));
		}
		standins.push_back(&c.add_service("desk", "haarlem"));
		entities.push_back(cluster::service_entity(*standins.back(), "haarlem", 512));
		c.apply(entities);
		cluster::wait_until("an answer", [&] {
			return c.chat(*entry, "mill", chat_body("large", "first")).status == 200 &&
			       c.service(*entry, "mill", "desk/look", "{}").status == 200;
		});
		for (support::standin *each : standins) {
			each->running->kill();
			upstreams.push_back(std::make_unique<raw_server>(answer, each->port));
		}
	}
	http_answer ask(const std::string &words, bool stream)
	{
		return c.chat(*entry, "mill", chat_body("large", words, 8, stream),
			      { { "x-request-timeout-ms", "1500" } });
	}
	/* Asks once for each position at which the answer breaks off, several at a time, since each waits
	 * until it is known whether its upstream has crashed. */
	void ask_each(size_t end, bool stream,
		      const std::function<void(size_t cut_at, const http_answer &got)> &check)
	{
		std::atomic<size_t> next{ 0 };
		std::mutex mutex;
		std::vector<std::thread> callers;
		for (int i = 0; i < CALLERS; i++)
			callers.emplace_back([&] {
				for (size_t at = next++; at < end; at = next++) {
					http_answer got =
						ask("cut-" + std::to_string(at) + "-", stream);
					std::lock_guard<std::mutex> lock(mutex);
					check(at, got);
				}
			});
		for (auto &caller : callers)
			caller.join();
	}
};

bool is_call(const std::string &request)
{
	return request.compare(0, 4, "POST") == 0;
}

/* The position at which the answer to this request breaks off. */
size_t cut_of(const std::string &request)
{
	size_t at = request.find("cut-");
	return at == std::string::npos ? std::string::npos
				       : strtoul(request.c_str() + at + 4, nullptr, 10);
}

/* Guards against a success with an empty or short body, framed as whole, for an answer that broke off. */
TEST_F(BrokenUpstreams, AnAnswerThatBreaksOffIsNoSuccess)
{
	std::atomic<bool> is_chunked{ false };
	start(1, [&](raw_connection &connection, const std::string &request) {
		std::string answer = is_chunked ? in_chunks("200 OK", request, COMPLETION)
						: with_length("200 OK", request, COMPLETION);
		connection.send(answer.substr(0, cut_of(request)));
		if (is_call(request))
			connection.close();
	});
	for (bool chunked : { false, true }) {
		is_chunked = chunked;
		std::string answer = chunked ? in_chunks("200 OK", SAMPLE, COMPLETION)
					     : with_length("200 OK", SAMPLE, COMPLETION);
		ask_each(answer.size(), false, [&](size_t cut_at, const http_answer &got) {
			EXPECT_GE(got.status, 500) << chunked << " cut at " << cut_at;
		});
	}
}

/* The same for an error that an upstream gives, which callers get as it is. */
TEST_F(BrokenUpstreams, AnErrorThatBreaksOffIsNotPassedOnAsWhole)
{
	auto error = [](const std::string &request) {
		return in_chunks("404 Not Found", request, "no such thing", "text/plain");
	};
	start(1, [&](raw_connection &connection, const std::string &request) {
		connection.send(error(request).substr(0, cut_of(request)));
		if (is_call(request))
			connection.close();
	});
	ask_each(error(SAMPLE).size(), false, [&](size_t cut_at, const http_answer &got) {
		EXPECT_GE(got.status, 500) << "cut at " << cut_at << ": " << got.body;
	});
}

/* The same for streams. */
TEST_F(BrokenUpstreams, AStreamThatBreaksOffIsNotComplete)
{
	auto stream = [](const std::string &request) {
		return in_chunks("200 OK", request,
				 delta("one") + delta("two") + "data: [DONE]\n\n",
				 "text/event-stream");
	};
	start(1, [&](raw_connection &connection, const std::string &request) {
		connection.send(stream(request).substr(0, cut_of(request)));
		if (is_call(request))
			connection.close();
	});
	size_t end = stream(SAMPLE).size() - std::string("\n\r\n0\r\n\r\n").size();
	ask_each(end, true, [&](size_t cut_at, const http_answer &got) {
		EXPECT_FALSE(got.status == 200 && got.whole) << "cut at " << cut_at;
	});
}

/* A stream with neither a length nor chunks ends with its connection: before its last event it is broken off,
 * between two events and inside one. */
TEST_F(BrokenUpstreams, AStreamWithoutALengthThatEndsEarlyIsNotComplete)
{
	const std::string events = delta("one") + delta("two") + "data: [DONE]\n\n";
	auto stream = [&](const std::string &request) {
		return head_of("200 OK", request, "content-type: text/event-stream\r\n") + events;
	};
	start(1, [&](raw_connection &connection, const std::string &request) {
		connection.send(stream(request).substr(0, cut_of(request)));
		if (is_call(request))
			connection.close();
	});
	size_t end = stream(SAMPLE).size() - 1;
	ask_each(end, true, [&](size_t cut_at, const http_answer &got) {
		EXPECT_FALSE(got.status == 200 && got.whole) << "cut at " << cut_at;
	});
	http_answer whole = ask("cut-" + std::to_string(end + 1) + "-", true);
	EXPECT_TRUE(whole.status == 200 && whole.whole) << whole.status << whole.body;
}

/* Guards against an error's text in the middle of a caller's stream. */
TEST_F(BrokenUpstreams, AnErrorOfTheNextUpstreamStaysOutOfTheStream)
{
	std::mutex mutex;
	std::map<std::string, int> sends;
	start(2, [&](raw_connection &connection, const std::string &request) {
		if (!is_call(request)) {
			connection.send(with_length("200 OK", request, "{}"));
			return;
		}
		bool is_first;
		{
			std::lock_guard<std::mutex> lock(mutex);
			is_first = sends[field_of(request, "x-request-id")]++ == 0;
		}
		if (is_first)
			connection.send(head_of("200 OK", request,
						"content-type: text/event-stream\r\n"
						"transfer-encoding: chunked\r\n") +
					chunk(delta("one")));
		else
			connection.send(with_length("500 Oops", request, "data: wrong\n\n"));
		std::this_thread::sleep_for(std::chrono::milliseconds(5));
		connection.close();
	});
	for (int i = 0; i < 10; i++) {
		http_answer got = ask("broken " + std::to_string(i), true);
		EXPECT_FALSE(got.status == 200 && got.whole);
		EXPECT_EQ(got.body.find("wrong"), std::string::npos) << got.body;
	}
}

/* Guards against a part of an answer that passes for the whole, as it could be one: it has no length, and its
 * connection was reset. */
TEST_F(BrokenUpstreams, AnAnswerWithoutALengthThatIsResetIsNotWhole)
{
	std::atomic<const char *> status{ "" };
	start(1, [&](raw_connection &connection, const std::string &request) {
		if (!is_call(request)) {
			connection.send(with_length("200 OK", request, "{}"));
			return;
		}
		connection.send(
			head_of(status.load(), request, "content-type: application/json\r\n") +
			"123");
		std::this_thread::sleep_for(std::chrono::milliseconds(RUN_MS));
		connection.reset();
	});
	for (const char *each : { "200 OK", "404 Not Found" }) {
		status = each;
		http_answer look = c.service(*entry, "mill", "desk/look", "{}");
		http_answer once = c.service(*entry, "mill", "desk/call", "{}",
					     { { "idempotency-key", each } });
		http_answer chat = ask(each, false);
		for (const http_answer &got : { look, once, chat })
			EXPECT_EQ(got.status, 502) << each << ": " << got.body;
	}
}

/* Guards against a status that is none, which reaches a caller as an answer. */
TEST_F(BrokenUpstreams, AnOddStatusIsNoAnswer)
{
	std::atomic<const char *> status{ "" };
	start(1, [&](raw_connection &connection, const std::string &request) {
		connection.send(with_length(is_call(request) ? status.load() : "200 OK", request,
					    "{\"wrong\":1}"));
	});
	for (const char *each :
	     { "000 Odd", "001 Odd", "099 Odd", "101 Odd", "600 Odd", "999 Odd" }) {
		status = each;
		http_answer look = c.service(*entry, "mill", "desk/look", "{}");
		http_answer once = c.service(*entry, "mill", "desk/call", "{}",
					     { { "idempotency-key", each } });
		http_answer chat = ask(each, false);
		for (const http_answer &got : { look, once, chat }) {
			EXPECT_EQ(got.status, 502) << each << ": " << got.body;
			EXPECT_EQ(got.body.find("wrong"), std::string::npos) << each << got.body;
		}
	}
}

/* Guards against a head without end that is kept until the memory is full. */
TEST_F(BrokenUpstreams, AHeadWithoutEndIsNotKept)
{
	constexpr size_t HEAD_BYTES = 256 << 20;
	constexpr int64_t GROWTH_KB = 64 << 10;
	std::atomic<bool> is_endless{ true };
	auto peak_kb = [&] {
		std::ifstream file("/proc/" + std::to_string(entry->running->pid()) + "/status");
		std::string word;
		int64_t kb = 0;
		while (file >> word) {
			if (word == "VmHWM:")
				file >> kb;
		}
		return kb;
	};
	start(1, [&](raw_connection &connection, const std::string &request) {
		const std::string part(65536, 'a');
		if (!is_call(request) || !is_endless) {
			connection.send(with_length("200 OK", request,
						    is_call(request) ? COMPLETION : "{}"));
			return;
		}
		connection.send("HTTP/1.1 200 OK\r\nx-more: ");
		for (size_t sent = 0; sent < HEAD_BYTES; sent += part.size())
			connection.send(part);
		connection.close();
	});
	int64_t before_kb = peak_kb();
	EXPECT_EQ(c.service(*entry, "mill", "desk/look", "{}").status, 502);
	EXPECT_GE(ask("endless", false).status, 500);
	EXPECT_LT(peak_kb() - before_kb, GROWTH_KB);
	is_endless = false;
	cluster::wait_until("an answer", [&] { return ask("short", false).status == 200; });
}

/* Guards against a status that promises that a call hasn't run, passed on from an upstream that has run it. */
TEST_F(BrokenUpstreams, ARefusalThatNothingProvesIsNoPromiseToTheCaller)
{
	std::atomic<const char *> status{ "" };
	std::mutex mutex;
	std::map<std::string, int> runs; /* by idempotency key */
	start(2, [&](raw_connection &connection, const std::string &request) {
		if (!is_call(request)) {
			connection.send(with_length("200 OK", request, "{}"));
			return;
		}
		{
			std::lock_guard<std::mutex> lock(mutex);
			runs[field_of(request, "idempotency-key")]++;
		}
		connection.send(with_length(status.load(), request, "{\"full\":1}"));
	});
	for (const char *each : { "503 Full", "429 Full", "408 Late", "421 Elsewhere" }) {
		status = each;
		std::string key = std::string(each).substr(0, 3);
		http_answer once = c.service(*entry, "mill", "desk/call", "{}",
					     { { "idempotency-key", key } });
		http_answer repeatable = c.service(*entry, "mill", "desk/look", "{}");
		http_answer chat = ask(key, false);
		for (const http_answer &got : { once, repeatable, chat }) {
			EXPECT_EQ(got.status, 502) << each << ": " << got.body;
			EXPECT_NE(got.body.find("\"not_run\":false"), std::string::npos)
				<< each << ": " << got.body;
		}
		EXPECT_EQ(runs[key], 1) << each;
	}
}

/* Guards against a refusal that an upstream writes once more, and that is taken for the answer to a call
 * which runs: with its id, and without one. */
TEST_F(BrokenUpstreams, ARefusalThatComesOnceMoreIsNotTakenForTheNextCalls)
{
	std::mutex mutex;
	std::map<int, std::string> last; /* by connection */
	std::map<std::string, int> runs; /* by idempotency key */
	std::atomic<bool> has_id{ true };
	start(1, [&](raw_connection &connection, const std::string &request) {
		std::string key = field_of(request, "idempotency-key");
		if (!is_call(request) || key.empty()) {
			connection.send(with_length("200 OK", request, "{}"));
			return;
		}
		{
			std::lock_guard<std::mutex> lock(mutex);
			if (connection.request == 0)
				last.erase(connection.fd());
			if (last.count(connection.fd()) > 0)
				connection.send(last[connection.fd()]);
			if (key.compare(0, 4, "full") == 0) {
				last[connection.fd()] =
					has_id ? with_length("503 Full", request, "{\"full\":1}")
					       : "HTTP/1.1 503 Full\r\ncontent-type: "
						 "application/json\r\ncontent-length: 10\r\n\r\n"
						 "{\"full\":1}";
				connection.send(last[connection.fd()]);
				return;
			}
			runs[key]++;
		}
		std::this_thread::sleep_for(std::chrono::milliseconds(RUN_MS));
		connection.send(with_length("200 OK", request, "{\"done\":1}"));
	});
	for (bool with_id : { true, false }) {
		has_id = with_id;
		std::string suffix = with_id ? "-1" : "-2";
		c.service(*entry, "mill", "desk/call", "{}",
			  { { "idempotency-key", "full" + suffix } });
		http_answer got = c.service(*entry, "mill", "desk/call", "{}",
					    { { "idempotency-key", "run" + suffix } });
		EXPECT_NE(got.status, 503) << "with id: " << with_id << ": " << got.body;
		EXPECT_EQ(runs["run" + suffix], 1) << got.status << got.body;
	}
}

} // namespace
