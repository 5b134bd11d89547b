// Engines whose answers break off anywhere, come twice, or go on as an error, between a real wharf-gateway
// and its callers: no caller takes them for complete, nor gets what belongs elsewhere.
#include <gtest/gtest.h>

#include <sys/socket.h>

#include <atomic>
#include <chrono>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <tuple>
#include <vector>

#include "support/raw_fleet.h"
#include "support/raw_socket.h"

using support::answer_head;
using support::answer_with_length;
using support::field_of;
using support::http_answer;
using support::raw_connection;
using support::raw_server;
using support::wait_until;

namespace
{

constexpr int RUN_MS = 30;

std::string chunk(const std::string &bytes)
{
	char size[24];
	snprintf(size, sizeof(size), "%zx\r\n", bytes.size());
	return size + bytes + "\r\n";
}

std::string event_text(int id)
{
	return "id: " + std::to_string(id) + "\ndata: part " + std::to_string(id) + "\n\n";
}

struct BrokenAnswers : support::raw_fleet {
	http_answer call(const std::string &method, const std::string &path,
			 const std::string &attempt_id = "")
	{
		return ask(0, method, path, attempt_id);
	}
};

/* How an answer is framed, where it breaks off, and how its connection ends. */
struct Break {
	const char *framing; /* length, chunked, close */
	bool is_reset;
	bool is_kept; /* the connection has carried an answer before */
};

std::string whole_answer(const std::string &framing, const std::string &request)
{
	if (framing == "length")
		return answer_with_length("200 OK", request, "0123456789");
	if (framing == "chunked")
		return answer_head("200 OK", request, "Transfer-Encoding: chunked\r\n") +
		       chunk("0123456789") + chunk("abcdef") + "0\r\n\r\n";
	return answer_head("200 OK", request, "") + "0123456789";
}

struct EachByte : BrokenAnswers, testing::WithParamInterface<Break> {
};

/* Guards against a success with an empty or short body, framed as whole, for an answer that broke off. */
TEST_P(EachByte, AnAnswerThatBreaksOffIsNoSuccess)
{
	const Break kind = GetParam();
	std::atomic<size_t> cut_at{ 0 };
	start(1, [&](raw_connection &connection, const std::string &request) {
		std::string answer = whole_answer(kind.framing, request);
		if (request.find("/cut-") == std::string::npos) {
			connection.send(answer_with_length("200 OK", request, "warm"));
			return;
		}
		connection.send(answer.substr(0, cut_at));
		if (kind.is_reset)
			connection.reset();
		else
			connection.close();
	});
	std::string sample = "X\r\nAttempt-Id: a0000\r\n\r\n";
	std::string answer = whole_answer(kind.framing, sample);
	/* The end of the connection completes an answer without a length. */
	bool ends_at_close = std::string(kind.framing) == "close" && !kind.is_reset;
	size_t end = ends_at_close ? answer.find("\r\n\r\n") + 4 : answer.size();
	for (cut_at = 0; cut_at < end; cut_at++) {
		if (kind.is_kept) {
			ASSERT_EQ(call("POST", "/book/warm").status, 200);
		}
		http_answer got = call("POST", "/book/cut-" + std::to_string(cut_at),
				       "c" + std::to_string(1000 + cut_at));
		EXPECT_EQ(got.status, 502) << kind.framing << " cut at " << cut_at;
		EXPECT_EQ(got.body.find("0123"), std::string::npos);
	}
}

INSTANTIATE_TEST_SUITE_P(
	Framings, EachByte,
	testing::Values(Break{ "length", false, false }, Break{ "length", true, false },
			Break{ "length", false, true }, Break{ "length", true, true },
			Break{ "chunked", false, false }, Break{ "chunked", true, false },
			Break{ "chunked", false, true }, Break{ "chunked", true, true },
			Break{ "close", false, false }, Break{ "close", true, false },
			Break{ "close", false, true }, Break{ "close", true, true }));

/* The same for a stream, at each byte of its head and events. */
TEST_F(BrokenAnswers, AStreamThatBreaksOffIsNotComplete)
{
	std::atomic<size_t> cut_at{ 0 };
	auto stream = [](const std::string &request) {
		return answer_head("200 OK", request,
				   "Content-Type: text/event-stream\r\nTransfer-Encoding: "
				   "chunked\r\n") +
		       chunk(event_text(1)) + chunk(event_text(2)) + "0\r\n\r\n";
	};
	start(1, [&](raw_connection &connection, const std::string &request) {
		connection.send(stream(request).substr(0, cut_at));
		connection.close();
	});
	size_t end = stream("X\r\nAttempt-Id: a0000\r\n\r\n").size();
	for (cut_at = 0; cut_at < end; cut_at++) {
		http_answer got = call("POST", "/chat/cut", "c" + std::to_string(1000 + cut_at));
		EXPECT_FALSE(got.status == 200 && got.whole) << "cut at " << cut_at;
		EXPECT_TRUE(got.status == 200 || got.status == 502) << got.status;
	}
}

/* How an engine ends a connection on which a request is still being written. */
enum class End { RESET, RESET_LATER, CLOSED, SHUT_DOWN };

struct EarlyAnswer : BrokenAnswers, testing::WithParamInterface<std::tuple<End, size_t>> {
};

/* Guards against a part of an answer that passes for the whole: the engine answers a long upload at once, without a
 * length, and breaks off while the upload is still being written. An orderly end completes the answer. */
TEST_P(EarlyAnswer, IsASuccessOnlyIfItEndsInOrder)
{
	const auto [end, upload_bytes] = GetParam();
	max_body_bytes = 16 << 20;
	start(2, [end = end](raw_connection &connection, const std::string &request) {
		connection.send(
			answer_head("200 OK", request, "Content-Type: text/event-stream\r\n") +
			event_text(1));
		if (end == End::RESET_LATER)
			std::this_thread::sleep_for(std::chrono::milliseconds(RUN_MS));
		if (end == End::SHUT_DOWN) {
			shutdown(connection.fd(), SHUT_WR);
			std::this_thread::sleep_for(std::chrono::milliseconds(RUN_MS));
		}
		if (end == End::RESET || end == End::RESET_LATER)
			connection.reset();
		else
			connection.close();
	});
	for (auto &each : engines)
		each->answers_heads = true;
	const std::string body(upload_bytes, 'x');
	for (int i = 0; i < 10; i++) {
		for (const char *path : { "/book/", "/chat/", "/look/" }) {
			http_answer got = support::http_call(
				instances[0].caller_port, "POST", path + std::to_string(i), body,
				{ { "Attempt-Id", "u" + std::to_string(next_attempt++) },
				  { "Deadline-Ms", "2500" },
				  { "Credential", "k1" } });
			EXPECT_EQ(got.status == 200 && got.whole, end == End::SHUT_DOWN)
				<< path << i << got.body;
		}
	}
}

INSTANTIATE_TEST_SUITE_P(Ends, EarlyAnswer,
			 testing::Combine(testing::Values(End::RESET, End::RESET_LATER, End::CLOSED,
							  End::SHUT_DOWN),
					  testing::Values(100000, 1000000, 8000000)));

struct OddStatus : BrokenAnswers, testing::WithParamInterface<const char *> {
};

/* Guards against a status that is none, which reaches a caller as an answer: RFC 9110 has 100 to 599. */
TEST_P(OddStatus, IsNoAnswer)
{
	const std::string status = GetParam();
	start(2, [status](raw_connection &connection, const std::string &request) {
		connection.send(answer_with_length(status + " Odd", request, "wrong"));
	});
	for (const char *path : { "/book/1", "/chat/1", "/look/1" }) {
		http_answer got = call("POST", path);
		EXPECT_EQ(got.status, 502) << path;
		EXPECT_EQ(got.body.find("wrong"), std::string::npos) << path << got.body;
	}
}

INSTANTIATE_TEST_SUITE_P(Statuses, OddStatus,
			 testing::Values("000", "001", "099", "99", "20", "600", "799", "999",
					 "1000", "2000", "-200", "0200", "2x0", "", "101"));

/* The same for interim answers without end, and for one that no final answer follows. */
TEST_F(BrokenAnswers, InterimAnswersWithoutEndAreNoAnswer)
{
	start(1, [](raw_connection &connection, const std::string &request) {
		for (int i = 0; i < 100; i++)
			connection.send("HTTP/1.1 103 Early Hints\r\n\r\n");
		if (request.find("/closed") != std::string::npos)
			connection.close();
	});
	for (const char *path : { "/book/1", "/look/1", "/book/closed" }) {
		int64_t began_ms = support::now_ms();
		EXPECT_EQ(call("POST", path).status, 502) << path;
		EXPECT_LT(support::now_ms() - began_ms, 1500) << path;
	}
}

/* Guards against a request that waits for its answer until its time limit on a connection that has ended, since
 * another request's answer, without a length, came in between. */
TEST_F(BrokenAnswers, AnAnswerToAnotherRequestThatEndsTheConnectionIsNotWaitedFor)
{
	start(1, [](raw_connection &connection, const std::string &request) {
		connection.send(answer_head("200 OK", "X\r\nAttempt-Id: other\r\n\r\n") + "wrong");
		connection.close();
	});
	int64_t began_ms = support::now_ms();
	EXPECT_EQ(call("POST", "/book/1").status, 502);
	EXPECT_LT(support::now_ms() - began_ms, 1000);
}

/* A stream with neither a length nor chunks ends with its connection: as complete between two events, else
 * it has been broken off. So has one that is framed as whole and ends inside an event. */
TEST_F(BrokenAnswers, AStreamThatEndsInsideAnEventIsNotComplete)
{
	const std::string events = event_text(1) + event_text(2) + event_text(3);
	const std::string type = "Content-Type: text/event-stream\r\n";
	std::atomic<size_t> cut_at{ 0 };
	std::atomic<bool> is_chunked{ false };
	start(1, [&](raw_connection &connection, const std::string &request) {
		std::string part = events.substr(0, cut_at);
		if (is_chunked)
			connection.send(answer_head("200 OK", request,
						    type + "Transfer-Encoding: chunked\r\n") +
					(part.empty() ? "" : chunk(part)) + "0\r\n\r\n");
		else
			connection.send(answer_head("200 OK", request, type) + part);
		connection.close();
	});
	for (bool chunked : { false, true }) {
		is_chunked = chunked;
		for (cut_at = 1; cut_at <= events.size(); cut_at++) {
			bool is_between = cut_at > 1 && events.compare(cut_at - 2, 2, "\n\n") == 0;
			http_answer got =
				call("POST", "/chat/cut", "e" + std::to_string(1000 + cut_at));
			EXPECT_EQ(got.status == 200 && got.whole, is_between)
				<< "chunked " << chunked << ", cut at " << cut_at << ": "
				<< got.status;
			if (got.status == 200) {
				EXPECT_EQ(events.compare(0, got.body.size(), got.body), 0)
					<< "no part of an event: " << got.body;
			}
		}
	}
}

/* What the next engine answers after a stream has broken off, with the word "wrong" wherever it must not
 * reach the caller. */
std::vector<std::string> wrong_answers(const std::string &request)
{
	std::string stream = "Content-Type: text/event-stream\r\n";
	return {
		answer_with_length("500 Internal Server Error", request, "wrong"),
		answer_with_length("503 Service Unavailable", request, "wrong",
				   "Not-Executed: 1\r\n"),
		answer_with_length("404 Not Found", request, "wrong\n\nwrong\n\n"),
		answer_with_length("429 Too Many Requests", request, "id: 2\ndata: wrong\n\n"),
		answer_with_length("200 OK", request, "<p>wrong</p>\n\n<p>wrong</p>\n\n",
				   "Content-Type: text/html\r\n"),
		answer_with_length("200 OK", request, "{\"error\":\"wrong\"}\n\n",
				   "Content-Type: application/json\r\n"),
		answer_with_length("200 OK", request, "event: error\ndata: wrong\n\n", stream),
		answer_with_length("200 OK", request, "data: wrong\n\nid: 9\ndata: wrong\n\n",
				   stream),
		answer_with_length("200 OK", request, "wrong, no event", stream),
		answer_head("200 OK", request, stream) + "event: error\ndata: wrong\n\n",
		"HTTP/1.1 500 wrong\r\nAttempt-Id: " + field_of(request, "Attempt-Id"),
		"wrong, no answer",
		"",
	};
}

/* Guards against an error's text, or its whole head, in the middle of a caller's stream, and a stream that
 * ends as if it were complete. */
TEST_F(BrokenAnswers, AnErrorOfTheNextEngineStaysOutOfTheStream)
{
	std::atomic<int> events{ 1 };
	std::atomic<size_t> variant{ 0 };
	std::atomic<bool> is_mid_event{ false };
	std::mutex mutex;
	std::map<std::string, int> sends;
	start(3, [&](raw_connection &connection, const std::string &request) {
		bool is_first;
		{
			std::lock_guard<std::mutex> lock(mutex);
			is_first = sends[field_of(request, "Attempt-Id")]++ == 0;
		}
		if (!is_first) {
			connection.send(wrong_answers(request)[variant]);
			connection.close();
			return;
		}
		connection.send(answer_head(
			"200 OK", request,
			"Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n"));
		for (int i = 1; i <= events; i++)
			connection.send(chunk(event_text(i)));
		if (is_mid_event)
			connection.send(chunk("id: 7\nda"));
		std::this_thread::sleep_for(std::chrono::milliseconds(5));
		connection.close();
	});
	for (variant = 0; variant < wrong_answers("").size(); variant++) {
		for (int i = 0; i < 6; i++) {
			events = i / 2 + 1;
			is_mid_event = i % 2 == 1;
			std::string expected;
			for (int e = 1; e <= events; e++)
				expected += event_text(e);
			http_answer got = call("POST", "/chat/" + std::to_string(next_attempt));
			EXPECT_EQ(got.status, 200);
			EXPECT_FALSE(got.whole) << "variant " << variant << ", " << events;
			EXPECT_EQ(got.body, expected) << "variant " << variant << ", " << events;
		}
	}
}

/* A long error on a stream's route breaks off when part of it has reached the caller: no stream of another
 * engine follows it. */
TEST_F(BrokenAnswers, AStreamDoesNotFollowALongErrorThatBrokeOff)
{
	std::mutex mutex;
	std::map<std::string, int> sends;
	start(3, [&](raw_connection &connection, const std::string &request) {
		bool is_first;
		{
			std::lock_guard<std::mutex> lock(mutex);
			is_first = sends[field_of(request, "Attempt-Id")]++ == 0;
		}
		if (is_first) {
			connection.send(answer_head("404 Not Found", request,
						    "Content-Length: 3000000\r\n") +
					std::string(2000000, 'x'));
			std::this_thread::sleep_for(std::chrono::milliseconds(RUN_MS));
		} else {
			connection.send(answer_head("200 OK", request,
						    "Content-Type: text/event-stream\r\n"
						    "Transfer-Encoding: chunked\r\n") +
					chunk(event_text(1)) + "0\r\n\r\n");
		}
		connection.close();
	});
	for (int i = 0; i < 4; i++) {
		http_answer got = call("POST", "/chat/" + std::to_string(i));
		EXPECT_FALSE(got.whole);
		EXPECT_EQ(got.body.find("part"), std::string::npos);
	}
}

/* Guards against an engine's end that passes for the end of its answer: an answer without a length, which ends
 * as its engine does, is no proof that the request ended well. */
TEST_F(BrokenAnswers, AnEndThatCompletesAnAnswerWithoutALengthIsEvidence)
{
	start(1, [this](raw_connection &connection, const std::string &request) {
		connection.send(answer_head("200 OK", request, "") + "half of the bo");
		engines[0]->refuse_connections();
		connection.close();
	});
	call("POST", "/book/1");
	EXPECT_TRUE(wait_until([&] { return instances[0].metric("requests_suspected") == 1; }));
}

/* Guards against the next answer of a connection, possibly another caller's, as the body of a 304; and against
 * an answer to HEAD that is waited for until the time limit. */
TEST_F(BrokenAnswers, AnAnswerWithoutABodyKeepsItsLengthAndEndsAfterItsHead)
{
	start(1, [](raw_connection &connection, const std::string &request) {
		const std::string length = "Content-Length: 40\r\n";
		if (request.find("/kept") != std::string::npos)
			connection.send(answer_head("304 Not Modified", request, length) +
					answer_with_length("200 OK",
							   "X\r\nAttempt-Id: other\r\n\r\n",
							   std::string(40, 'x')));
		else
			connection.send(answer_head("200 OK", request, length));
	});
	for (const char *line :
	     { "GET /look/kept", "HEAD /look/1", "HEAD /book/1", "HEAD /chat/1" }) {
		std::string got = support::exchange_bytes(
			"127.0.0.1", instances[0].caller_port,
			std::string(line) + " HTTP/1.1\r\nHost: 127.0.0.1\r\nAttempt-Id: n" +
				std::to_string(next_attempt++) +
				"\r\nDeadline-Ms: 2000\r\nCredential: k1\r\n\r\n");
		EXPECT_NE(got.find("Content-Length: 40\r\n"), std::string::npos) << line << got;
		EXPECT_EQ(got.find("\r\n\r\n") + 4, got.size()) << line << got;
		EXPECT_EQ(got.find(line[0] == 'G' ? "HTTP/1.1 304" : "HTTP/1.1 200"), 0U) << got;
	}
}

/* Guards against 400 for a request that offers another protocol, and against an engine that takes the offer. */
TEST_F(BrokenAnswers, AnOfferOfAnotherProtocolIsIgnoredAndNotForwarded)
{
	start(1, [](raw_connection &connection, const std::string &request) {
		connection.send(answer_with_length("200 OK", request,
						   field_of(request, "Upgrade") +
							   field_of(request, "Connection")));
	});
	std::string got = support::exchange_bytes(
		"127.0.0.1", instances[0].caller_port,
		"GET /look/1 HTTP/1.1\r\nHost: 127.0.0.1\r\nConnection: Upgrade\r\nUpgrade: h2c\r\n"
		"Attempt-Id: u1\r\nDeadline-Ms: 2000\r\nCredential: k1\r\n\r\n");
	EXPECT_EQ(got.find("HTTP/1.1 200"), 0U) << got;
	EXPECT_NE(got.find("Content-Length: 0\r\n"), std::string::npos) << got;
}

/* How an engine sends a refusal without saying that it hasn't run the request. */
struct Refusal {
	const char *status;
	const char *framing; /* length, chunked, close, none */
	size_t body_bytes;
};

struct UnprovenRefusal : BrokenAnswers, testing::WithParamInterface<Refusal> {
	static std::string answer(const Refusal &kind, const std::string &request)
	{
		const std::string body(kind.body_bytes, 'x');
		const std::string framing = kind.framing;
		if (framing == "length")
			return answer_with_length(kind.status, request, body);
		if (framing == "chunked")
			return answer_head(kind.status, request, "Transfer-Encoding: chunked\r\n") +
			       chunk(body) + "0\r\n\r\n";
		return answer_head(kind.status, request) + body;
	}
};

/* Guards against an engine's 503, 429, 421 or 408 that is a promise to the caller of a request which has run: that
 * it hasn't, so the caller sends it again and it runs twice. On each kind of route. */
TEST_P(UnprovenRefusal, IsNoPromiseToTheCaller)
{
	const Refusal kind = GetParam();
	std::mutex mutex;
	std::map<std::string, int> runs; /* by path */
	start(3, [&](raw_connection &connection, const std::string &request) {
		std::string path = request.substr(request.find('/'));
		{
			std::lock_guard<std::mutex> lock(mutex);
			runs[path.substr(0, path.find(' '))]++;
		}
		connection.send(answer(kind, request));
		if (std::string(kind.framing) == "close")
			connection.close();
	});
	for (const char *path : { "/book/1", "/chat/1", "/look/1" }) {
		http_answer got = call("POST", path);
		EXPECT_EQ(got.status, 502) << path;
		EXPECT_TRUE(got.whole) << path;
		EXPECT_EQ(got.headers.count("response-seal"), 0U) << path;
		EXPECT_EQ(got.headers.count("retry-after"), 0U) << path;
		EXPECT_NE(got.body.find("\"not_run\":false"), std::string::npos) << got.body;
	}
	EXPECT_EQ(runs["/book/1"], 1);
	EXPECT_GE(runs["/look/1"], 2) << "a request that may run again is tried elsewhere";
}

INSTANTIATE_TEST_SUITE_P(Statuses, UnprovenRefusal,
			 testing::Values(Refusal{ "503 Service Unavailable", "length", 20 },
					 Refusal{ "503 Service Unavailable", "length", 0 },
					 Refusal{ "503 Service Unavailable", "length", 3000000 },
					 Refusal{ "503 Service Unavailable", "chunked", 3000000 },
					 Refusal{ "503 Service Unavailable", "close", 20 },
					 Refusal{ "429 Too Many Requests", "length", 20 },
					 Refusal{ "429 Too Many Requests", "chunked", 3000000 },
					 Refusal{ "429 Too Many Requests", "close", 20 },
					 Refusal{ "421 Misdirected Request", "length", 20 },
					 Refusal{ "421 Misdirected Request", "length", 0 },
					 Refusal{ "421 Misdirected Request", "chunked", 3000000 },
					 Refusal{ "421 Misdirected Request", "close", 20 },
					 Refusal{ "408 Request Timeout", "length", 20 },
					 Refusal{ "408 Request Timeout", "chunked", 3000000 }));

/* Tells a proven 421 from that: the request is sent elsewhere, also one that may run only once. */
TEST_F(BrokenAnswers, AProvenMisdirectionIsSentElsewhere)
{
	std::atomic<int> refusals{ 0 };
	std::atomic<int> runs{ 0 };
	start(3, [&](raw_connection &connection, const std::string &request) {
		if (request.find("/book/") != std::string::npos && refusals < 2) {
			refusals++;
			connection.send(answer_with_length("421 Misdirected Request", request, "",
							   "Not-Executed: 1\r\n"));
			return;
		}
		runs++;
		connection.send(answer_with_length("200 OK", request, "done"));
	});
	/* Requests earn the retries of an instance that has just started. */
	for (int i = 0; i < 5; i++)
		EXPECT_EQ(call("GET", "/look/1").status, 200);
	runs = 0;
	EXPECT_EQ(call("POST", "/book/1").status, 200);
	EXPECT_EQ(refusals, 2);
	EXPECT_EQ(runs, 1);
}

/* Guards against a whole error of an engine that is broken off because it is long. */
TEST_F(BrokenAnswers, ALongServerErrorIsPassedOnWhole)
{
	const std::string body(3000000, 'x');
	start(1, [&](raw_connection &connection, const std::string &request) {
		connection.send(answer_with_length("500 Internal Server Error", request, body));
	});
	http_answer got = call("POST", "/book/1");
	EXPECT_EQ(got.status, 500);
	EXPECT_TRUE(got.whole);
	EXPECT_EQ(got.body.size(), body.size());
}

/* An engine that writes its last refusal once more when the next request comes on the connection, which it
 * runs all the same. */
struct Refusals : BrokenAnswers {
	std::mutex mutex;
	std::map<std::string, int> runs; /* by path */

	void start_with(const std::string &id_field)
	{
		start(1, [this, id_field](raw_connection &connection, const std::string &request) {
			static std::map<int, std::string> last; /* by connection */
			std::string path = request.substr(request.find('/'), 20);
			path = path.substr(0, path.find(' '));
			std::string id = id_field.empty()
						 ? ""
						 : id_field + ": " +
							   field_of(request, "Attempt-Id") + "\r\n";
			{
				std::lock_guard<std::mutex> lock(mutex);
				if (connection.request == 0)
					last.erase(connection.fd());
				if (last.count(connection.fd()) > 0)
					connection.send(last[connection.fd()]);
				if (path == "/book/full") {
					last[connection.fd()] =
						"HTTP/1.1 503 Service Unavailable\r\n" + id +
						"Not-Executed: 1\r\nContent-Length: 0\r\n\r\n";
					connection.send(last[connection.fd()]);
					return;
				}
				runs[path]++;
			}
			std::this_thread::sleep_for(std::chrono::milliseconds(RUN_MS));
			connection.send(answer_with_length("200 OK", request, "done"));
		});
	}
};

/* Guards against "not run" for a request that runs: the caller sends its attempt again, with the same id. */
TEST_F(Refusals, ARefusalThatComesOnceMoreIsNotTakenForTheNextRuns)
{
	start_with("Attempt-Id");
	EXPECT_EQ(call("POST", "/book/full", "same").status, 503);
	EXPECT_EQ(call("POST", "/book/run", "same").status, 200);
	EXPECT_EQ(runs["/book/run"], 1);
	EXPECT_EQ(call("POST", "/book/other", "other").status, 200);
}

/* The same for a refusal that names no attempt. */
TEST_F(Refusals, ARefusalWithoutAnIdCountsForTheFirstRequestOfAConnectionOnly)
{
	start_with("");
	EXPECT_EQ(call("POST", "/book/full", "first").status, 503);
	EXPECT_EQ(call("POST", "/book/run", "second").status, 200);
	EXPECT_EQ(runs["/book/run"], 1);
}

} // namespace
