// Row 7 of docs/INVARIANTS.md with real processes: a caller gets the complete answer to its own
// request, and an answer that is cut off or belongs to another attempt is reported as a failure.
#include <gtest/gtest.h>

#include <cstring>
#include <fstream>
#include <future>

#include "support/cluster.h"
#include "support/json.h"

using support::chat_body;
using support::cluster;
using support::http_answer;
using support::http_stream;
using support::json_string;

namespace
{

std::string engine_text(const std::string &request_id, int tokens)
{
	std::string text = "quality:950 request:" + request_id + " ";

	for (int i = 1; i < tokens; i++)
		text += "token" + std::to_string(i) + " ";
	return text;
}

/* Returns the text of an answer that a caller takes as complete, "" for any other answer. */
std::string complete_text(const http_answer &answer, bool stream)
{
	std::string text;
	size_t at = 0;

	if (answer.status != 200 || !answer.whole)
		return "";
	if (!stream)
		return json_string(answer.body, { "choices", "0", "message", "content" });
	if (answer.body.find("data: [DONE]") == std::string::npos)
		return "";
	while ((at = answer.body.find("data: {", at)) != std::string::npos) {
		size_t end = answer.body.find('\n', at);

		text += json_string(answer.body.substr(at + 6, end - at - 6),
				    { "choices", "0", "delta", "content" });
		at = end;
	}
	return text;
}

struct Answers : public ::testing::Test {
	cluster c;
	support::standin *first = nullptr;
	support::standin *second = nullptr;
	support::daemon *entry = nullptr;
	std::string last_error;

	void start(int limit, int token_us)
	{
		std::vector<std::string> engine_options = { "--token-us=" +
								    std::to_string(token_us),
							    "--first-token-us=1000",
							    "--slots=" + std::to_string(limit) };

		first = &c.add_engine("engine-1", "haarlem", { "large/1" }, engine_options);
		second = &c.add_engine("engine-2", "zaandam", { "large/1" }, engine_options);
		entry = &c.add_daemon("entry-1", { .failure_domain = "haarlem" });
		c.apply({
			"{\"failure_domain\":{\"name\":\"haarlem\"}}",
			"{\"failure_domain\":{\"name\":\"zaandam\"}}",
			cluster::engine_entity(*first, "haarlem", { "large/1" }, limit, limit, 50),
			cluster::engine_entity(*second, "zaandam", { "large/1" }, limit, limit, 50),
			"{\"model\":{\"name\":\"large\"}}",
			"{\"version\":{\"model\":\"large\",\"name\":\"1\",\"rollout_weight\":1}}",
			cluster::organisation_entity("mill", { "large/1" }),
		});
		cluster::wait_until("an answer", [&] {
			return c.chat(*entry, "mill", chat_body("large", "first")).status == 200;
		});
	}

	http_answer send_chat(int number, int tokens, int timeout_ms)
	{
		return c.chat(*entry, "mill",
			      chat_body("large", "slate " + std::to_string(number), tokens,
					number % 2 == 0),
			      { { "x-request-timeout-ms", std::to_string(timeout_ms) } });
	}

	/*
	 * Sends concurrent requests while the engines have a fault. Checks that each answer is
	 * either complete and its own, or a typed error. Returns the number of complete answers.
	 */
	int check_answers(const std::string &fault, int count, int timeout_ms)
	{
		constexpr int tokens = 6;
		std::vector<std::future<http_answer>> calls;
		int complete = 0;

		for (support::standin *engine : { first, second })
			engine->fault(fault);
		for (int i = 0; i < count; i++)
			calls.push_back(std::async(std::launch::async, [=] {
				return send_chat(i, tokens, timeout_ms);
			}));
		for (int i = 0; i < count; i++) {
			http_answer answer = calls[i].get();
			std::string text = complete_text(answer, i % 2 == 0);

			if (!text.empty()) {
				EXPECT_EQ(text, engine_text(answer.headers["x-request-id"], tokens))
					<< fault << answer.body;
				complete++;
			} else if (answer.status != 200) {
				EXPECT_NE(json_string(answer.body, { "error", "type" }), "")
					<< fault << answer.body;
				last_error = answer.body;
			}
		}
		for (support::standin *engine : { first, second })
			engine->fault("{\"kind\":\"none\"}");
		return complete;
	}

	int64_t sum_stat(const char *field)
	{
		return std::max<int64_t>(0, first->stat(field)) +
		       std::max<int64_t>(0, second->stat(field));
	}

	/* Moves the fault to the engine of the latest attempt. Requests that are sent one after the other go to the
	 * engine that was measured as the faster one, which may be either. */
	void move_fault(const std::string &fault)
	{
		bool is_first =
			entry->events("attempt.started").back().fields["upstream"] == "engine-1";

		(is_first ? second : first)->fault("{\"kind\":\"none\"}");
		(is_first ? first : second)->fault(fault);
	}

	/* True if the request of the latest failed attempt was sent to two upstreams, once to each. */
	bool is_retried_elsewhere()
	{
		auto failed = entry->events("attempt.failed");
		std::vector<std::string> upstreams;

		for (support::event &each : entry->events("attempt.started"))
			if (!failed.empty() &&
			    each.fields["request"] == failed.back().fields["request"])
				upstreams.push_back(each.fields["upstream"]);
		return upstreams.size() == 2 && upstreams[0] != upstreams[1];
	}

	int64_t peak_memory_kb()
	{
		std::ifstream file("/proc/" + std::to_string(entry->running->pid()) + "/status");
		std::string word;

		while (file >> word) {
			if (word == "VmHWM:") {
				file >> word;
				return atoll(word.c_str());
			}
		}
		return -1;
	}
};

TEST_F(Answers, NoFaultMakesATruncatedOrForeignAnswerLookComplete)
{
	start(256, 1000); /* attempts with broken connections keep their permits for 2 s */
	EXPECT_EQ(check_answers("{\"kind\":\"none\"}", 24, 10000), 24) << last_error;
	for (const char *fault : {
		     "{\"path\":\"/v1\",\"kind\":\"crossed\"}",
		     "{\"path\":\"/v1\",\"kind\":\"cut\",\"n\":0}",
		     "{\"path\":\"/v1\",\"kind\":\"cut\",\"n\":3}",
		     "{\"path\":\"/v1\",\"kind\":\"stall\",\"n\":3}",
		     "{\"path\":\"/v1\",\"kind\":\"late\",\"n\":600}",
		     "{\"path\":\"/v1\",\"kind\":\"error\",\"n\":502}",
	     }) {
		int64_t before = sum_stat("requests");

		EXPECT_EQ(check_answers(fault, 24, 400), 0) << fault;
		if (strstr(fault, "error") == nullptr) {
			EXPECT_GE(sum_stat("requests"), before + 24) << fault << last_error;
		}
	}
	/* Late answers to earlier requests must not be taken for answers to these. */
	EXPECT_EQ(check_answers("{\"kind\":\"none\"}", 24, 10000), 24) << last_error;
}

/* Guards against an attempt whose failure reaches the caller though another upstream could run it. */
TEST_F(Answers, AnAttemptThatFailsBeforeTheFirstByteIsRetriedElsewhere)
{
	int number = 0;

	start(16, 1000);
	for (const char *fault : {
		     "{\"path\":\"/v1\",\"kind\":\"cut\",\"n\":0,\"count\":1}",
		     "{\"path\":\"/v1\",\"kind\":\"crossed\",\"count\":1}",
		     "{\"path\":\"/v1\",\"kind\":\"error\",\"n\":502,\"count\":1}",
	     }) {
		size_t failed = entry->events("attempt.failed").size();

		/* Each good answer adds a tenth of a retry to the retry budget. */
		EXPECT_EQ(check_answers("{\"kind\":\"none\"}", 72, 10000), 72) << last_error;
		move_fault(fault);
		cluster::wait_until("an attempt fails", [&] {
			http_answer answer = send_chat(number++, 6, 10000);

			EXPECT_EQ(complete_text(answer, number % 2 == 1),
				  engine_text(answer.headers["x-request-id"], 6))
				<< fault << answer.body;
			if (entry->events("attempt.failed").size() > failed)
				return true;
			move_fault(fault);
			return false;
		});
		EXPECT_EQ(entry->events("attempt.failed").size(), failed + 1) << fault;
		EXPECT_TRUE(is_retried_elsewhere()) << fault;
	}
}

TEST_F(Answers, SlowReadersGetTheWholeAnswerAndMemoryStaysBounded)
{
	constexpr int readers = 16;
	constexpr int tokens = 48000; /* 11 MB, more than the kernel buffers */
	constexpr int64_t bound_kb =
		32 * 1024 + readers * 512; /* 32 MB idle, 512 KB for each reader */
	std::vector<std::unique_ptr<http_stream>> streams;
	std::string line;

	start(readers, 1);
	for (int i = 0; i < readers; i++) {
		streams.push_back(std::make_unique<http_stream>(
			entry->caller_port, "POST", "/v1/chat/completions",
			chat_body("large", "slate", tokens, true),
			support::http_headers{ { "authorization", "Bearer mill" },
					       { "x-request-timeout-ms", "3600000" } },
			30000));
		ASSERT_TRUE(streams.back()->read_event(&line));
	}
	cluster::wait_until(
		"the engines have generated all tokens", [&] { return sum_stat("in_flight") == 0; },
		30000);
	for (int i = 0; i < 20; i++)
		EXPECT_EQ(send_chat(i, 6, 10000).status, 200);
	for (auto &stream : streams) {
		int events = 1;

		while (stream->read_event(&line))
			events++;
		EXPECT_TRUE(stream->whole());
		EXPECT_EQ(line, "[DONE]");
		EXPECT_EQ(events, tokens + 2);
	}
	int64_t peak_kb = peak_memory_kb();

	RecordProperty("peak_kb", std::to_string(peak_kb));
	EXPECT_LT(peak_kb, bound_kb);
}

TEST_F(Answers, ADisconnectedCallersRequestIsCancelled)
{
	constexpr int limit = 2;
	std::vector<std::unique_ptr<http_stream>> streams;
	std::string line;
	int64_t before;

	start(limit, 20000);
	before = sum_stat("requests");
	for (int i = 0; i < 3 * limit; i++)
		streams.push_back(std::make_unique<http_stream>(
			entry->caller_port, "POST", "/v1/chat/completions",
			chat_body("large", "slate", 2000, true),
			support::http_headers{ { "authorization", "Bearer mill" } }));
	cluster::wait_until("both engines are full", [&] {
		return sum_stat("requests") == before + 2 * limit &&
		       entry->events("request.received").size() >= 3 * limit;
	});
	/* Close the queued requests first, so that none of them starts on an engine. */
	for (int i = 3 * limit; i-- > 0;)
		streams[i]->close();
	cluster::wait_until(
		"no request is in flight", [&] { return sum_stat("in_flight") == 0; }, 3000);
	cluster::wait_until("all disconnects are logged", [&] {
		return entry->events("request.caller_gone").size() == 3 * limit;
	});
	for (int i = 0; i < 4 * limit; i++)
		EXPECT_EQ(send_chat(i, 2, 10000).status, 200);
	EXPECT_EQ(sum_stat("cancelled"), 2 * limit);
	EXPECT_EQ(sum_stat("requests"), before + 2 * limit + 4 * limit);
}

} // namespace
