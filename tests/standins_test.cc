// Tests the stand-ins that other tests rely on: their faults take effect and their counters are
// right.
#include <gtest/gtest.h>

#include <chrono>
#include <csignal>
#include <fstream>
#include <string>
#include <thread>
#include <vector>

#include "base/clock.h"
#include "support/http.h"
#include "support/json.h"
#include "support/kept_connection.h"
#include "support/process.h"

using support::http_answer;
using support::http_call;
using support::http_stream;
using support::json_number;
using support::json_string;
using support::process;
using support::wait_until;

namespace
{

// A running stand-in and its admin calls.
struct standin {
	process child;
	uint16_t port;

	standin(const std::string &program, const std::vector<std::string> &arguments)
	    : child(program, arguments), port(child.wait_listening())
	{
	}

	int admin(const std::string &call, const std::string &body = "{}")
	{
		return http_call(port, "POST", "/admin/" + call, body).status;
	}

	int fault(const std::string &body)
	{
		return admin("fault", body);
	}

	int64_t count(const std::vector<std::string> &path)
	{
		return json_number(http_call(port, "GET", "/admin/stats").body, path);
	}

	bool wait_for_count(const std::string &field, int64_t value)
	{
		return wait_until([&] { return count({ field }) == value; });
	}
};

struct engine : standin {
	explicit engine(std::vector<std::string> arguments = {})
	    : standin("standin_engine",
		      (arguments.insert(arguments.end(), { "--serves=m/v1", "--serves=m/v2" }),
		       arguments))
	{
	}

	static std::string chat(bool stream, int tokens, const std::string &prompt = "hello there",
				const std::string &model = "m/v1")
	{
		return R"({"model":")" + model + R"(","max_tokens":)" + std::to_string(tokens) +
		       (stream ? R"(,"stream":true)" : "") +
		       R"(,"messages":[{"role":"user","content":")" + prompt + R"("}]})";
	}

	http_answer request_chat(const std::string &body, const support::http_headers &headers = {})
	{
		return http_call(port, "POST", "/v1/chat/completions", body, headers);
	}
};

/** The platform's store, and calls to it as an instance makes them. */
struct metadata : standin {
	metadata() : standin("standin_metadata", {})
	{
	}
	http_answer get(const std::string &call, int timeout_ms = 5000)
	{
		return http_call(port, "GET", "/dragonflywharf/" + call, "", {}, timeout_ms);
	}
	http_answer post(const std::string &call, const std::string &body, int timeout_ms = 5000)
	{
		return http_call(port, "POST", "/dragonflywharf/" + call, body, {}, timeout_ms);
	}
	void put(const std::string &key, const std::string &value)
	{
		admin("put", "{\"key\":\"" + key + "\",\"value\":\"" + value + "\"}");
	}
	int64_t revision()
	{
		return count({ "revision" });
	}
};

TEST(StandinMetadata, ARestoreTakesLeasesAndWritesBackAndAWriteInTransitMeetsTheNewEra)
{
	metadata store;
	std::string lease = "{\"TtlMs\":60000}";

	EXPECT_EQ(json_number(store.post("kv-lease", lease).body, { "Lease" }), 1);
	store.admin("backup");
	EXPECT_EQ(json_number(store.post("kv-lease", lease).body, { "Lease" }), 2);
	store.put("lost", "x");
	store.fault(
		"{\"kind\":\"slow\",\"n\":300,\"count\":1,\"path\":\"/dragonflywharf/kv-txn\"}");
	store.post("kv-txn", "{\"Puts\":[{\"Key\":\"k\",\"Value\":\"eA==\",\"Lease\":1}]}", 50);
	store.admin("restore");
	EXPECT_EQ(store.get("kv-key?Key=lost").status, 404);
	EXPECT_EQ(store.post("kv-keep/1", "{}").status, 200);
	EXPECT_EQ(store.post("kv-keep/2", "{}").status, 404);
	EXPECT_TRUE(wait_until([&] { return store.get("kv-key?Key=k").status == 200; }));
	EXPECT_EQ(store.get("kv-key?Key=k").headers["store-era"], "2");
	EXPECT_EQ(
		store.post("kv-txn", "{\"Puts\":[{\"Key\":\"k\",\"Value\":\"eA==\",\"Lease\":2}]}")
			.status,
		404);
}

TEST(StandinMetadata, ALeaseThatIsNotRenewedEndsWithItsKeys)
{
	metadata store;

	store.post("kv-lease", "{\"TtlMs\":100}");
	store.post("kv-txn", "{\"Puts\":[{\"Key\":\"k\",\"Value\":\"eA==\",\"Lease\":1}]}");
	EXPECT_TRUE(wait_until([&] { return store.get("kv-key?Key=k").status == 404; }));
	EXPECT_EQ(store.post("kv-keep/1", "{}").status, 404);
}

TEST(StandinMetadata, AnAnswerInTransitSaysWhatWasTrueBeforeTheRestore)
{
	metadata store;
	http_answer late;

	store.admin("backup");
	store.put("k", "x");
	store.fault("{\"kind\":\"late\",\"n\":300,\"count\":1}");
	std::thread caller([&] { late = store.get("kv-range?PathPrefix="); });
	EXPECT_TRUE(wait_until([&] { return store.count({ "calls", "kv-range" }) == 1; }));
	store.admin("restore");
	caller.join();
	EXPECT_EQ(late.headers["store-era"], "1");
	EXPECT_EQ(json_string(late.body, { "Items", "0", "Key" }), "k");
	EXPECT_EQ(store.get("kv-key?Key=k").headers["store-era"], "2");
}

TEST(StandinMetadata, AWatchIsKeptOverARestoreAndA410MayBeLost)
{
	metadata store;
	std::string watch = "kv-watch?PathPrefix=&WaitMs=2000&After=";
	http_answer kept;

	store.admin("backup");
	store.put("k", "x");
	store.put("k", "y");
	store.fault("{\"kind\":\"watches_kept\"}");
	std::thread caller([&] { kept = store.get(watch + std::to_string(store.revision())); });
	EXPECT_TRUE(wait_until([&] { return store.count({ "calls", "kv-watch" }) == 1; }));
	store.admin("restore");
	for (const char *key : { "a", "b", "c" })
		store.put(key, "z");
	caller.join();
	EXPECT_EQ(kept.headers["store-era"], "2");
	EXPECT_EQ(json_string(kept.body, { "events", "0", "Key" }), "c") << "a and b are missing";
	store.fault("{\"kind\":\"gone_lost\",\"count\":1}");
	EXPECT_EQ(store.get(watch + "99", 300).status, 0);
	EXPECT_EQ(store.get(watch + "99").status, 410);
}

TEST(StandinMetadata, ErasAreWrongAndReadsOldAsAsked)
{
	metadata store;

	store.put("k", "x");
	store.fault("{\"kind\":\"era_missing\",\"count\":1}");
	EXPECT_EQ(store.get("kv-key?Key=k").headers.count("store-era"), 0U);
	store.fault("{\"kind\":\"era_unreadable\",\"count\":1}");
	EXPECT_EQ(store.get("kv-key?Key=k").headers["store-era"], "x1");
	store.fault("{\"kind\":\"era_lower\",\"count\":1}");
	EXPECT_EQ(store.get("kv-key?Key=k").headers["store-era"], "0");
	EXPECT_EQ(store.get("kv-key?Key=k").headers["store-era"], "1");
	store.fault("{\"kind\":\"stale_reads\",\"n\":200}");
	int64_t revision = store.revision();
	auto read = [&](const std::string &more) {
		return json_number(store.get("kv-range?PathPrefix=" + more).body,
				   { "StoreRevision" });
	};
	std::this_thread::sleep_for(std::chrono::milliseconds(500));
	store.put("k", "y");
	EXPECT_EQ(read("&Serializable=1"), revision);
	EXPECT_EQ(read(""), revision + 1);
	EXPECT_TRUE(wait_until([&] { return read("&Serializable=1") == revision + 1; }));
}

} // namespace

static const std::vector<std::string> CONTENT = { "choices", "0", "message", "content" };
static const int ENDLESS = 1000000;

static bool is_stopped(pid_t pid)
{
	std::ifstream stat("/proc/" + std::to_string(pid) + "/stat");
	std::string id, name, state;

	stat >> id >> name >> state;
	return state == "T";
}

// Guards against a restart that a process's end isn't like: requests that had arrived before it were run after it, by
// an engine that is cold and whose callers don't know of it yet.
TEST(StandinEngine, WhatArrivedBeforeARestartIsNotRunAfterIt)
{
	engine e;
	support::kept_connection admin(e.port);
	support::kept_connection accepted(e.port);

	for (support::kept_connection *each : { &admin, &accepted }) {
		ASSERT_TRUE(each->send("GET", "/admin/stats", "", {}));
		ASSERT_EQ(each->read().status, 200);
	}
	e.child.signal(SIGSTOP);
	ASSERT_TRUE(wait_until([&] { return is_stopped(e.child.pid()); }));
	support::kept_connection waiting(e.port);
	ASSERT_TRUE(admin.send("POST", "/admin/restart", "{}", {}));
	for (support::kept_connection *each : { &accepted, &waiting })
		ASSERT_TRUE(each->send("POST", "/v1/chat/completions", e.chat(false, 2), {}));
	e.child.signal(SIGCONT);
	EXPECT_EQ(accepted.read().status, 0);
	EXPECT_EQ(waiting.read().status, 0);
	ASSERT_GT(e.count({ "incarnation" }), 0);
	EXPECT_EQ(e.count({ "requests" }), e.count({ "cut_by_restart" }));
}

TEST(StandinEngine, AnswersWholeAndCountsTokens)
{
	engine engine;
	support::http_headers headers = { { "x-attempt-id", "a1" },
					  { "x-request-id", "r1" },
					  { "x-organisation", "org" } };
	http_answer plain = engine.request_chat(engine::chat(false, 5), headers);
	EXPECT_TRUE(plain.whole);
	EXPECT_EQ(plain.headers["x-attempt-id"], "a1");
	EXPECT_EQ(std::stoll(plain.headers["x-upstream-incarnation"]),
		  engine.count({ "incarnation" }));
	EXPECT_EQ(json_string(plain.body, CONTENT),
		  "quality:950 request:r1 token1 token2 token3 token4 ");

	http_stream stream(engine.port, "POST", "/v1/chat/completions", engine::chat(true, 5),
			   headers);
	std::vector<std::string> events;
	for (std::string data; stream.read_event(&data);)
		events.push_back(data);
	ASSERT_EQ(events.size(), 7u);
	EXPECT_TRUE(stream.whole());
	EXPECT_EQ(json_number(events[5], { "usage", "completion_tokens" }), 5);
	EXPECT_EQ(events[6], "[DONE]");
	EXPECT_EQ(engine.count({ "by_organisation", "org", "completion_tokens" }), 10);
	EXPECT_EQ(engine.count({ "by_version", "m/v1", "prompt_tokens" }), 4);
	EXPECT_EQ(engine.count({ "by_attempt_id", "a1" }), 2);
	EXPECT_EQ(engine.request_chat(engine::chat(false, 5, "hello", "m/v9")).status, 404);
	EXPECT_EQ(engine.child.terminate().exit_code, 0);
}

TEST(StandinEngine, CutAndStallFaultsInterruptTheStream)
{
	engine engine;
	std::string data;

	EXPECT_EQ(engine.fault(R"({"kind":"nonsense"})"), 400);
	engine.fault(R"({"kind":"cut","n":2,"count":2})");
	http_stream cut(engine.port, "POST", "/v1/chat/completions", engine::chat(true, 9));
	EXPECT_TRUE(cut.read_event(&data) && cut.read_event(&data));
	EXPECT_FALSE(cut.read_event(&data));
	EXPECT_FALSE(cut.whole());
	EXPECT_EQ(engine.request_chat(engine::chat(false, 9)).status, 0);
	EXPECT_EQ(engine.count({ "cut" }), 2);

	engine.fault(R"({"kind":"stall","n":1,"count":1})");
	http_stream stalled(engine.port, "POST", "/v1/chat/completions", engine::chat(true, 9),
			    { { "x-request-timeout-ms", "500" } });
	EXPECT_TRUE(stalled.read_event(&data));
	EXPECT_FALSE(stalled.read_event(&data));
	EXPECT_EQ(engine.count({ "timed_out" }), 1);
	EXPECT_EQ(engine.count({ "completed" }), 0);
	engine.fault(R"({"kind":"error","count":1,"n":502})");
	EXPECT_EQ(engine.request_chat(engine::chat(false, 9)).status, 502);
	EXPECT_EQ(engine.request_chat(engine::chat(false, 9)).status, 200);
}

TEST(StandinEngine, RestartsAboveItsColdSlotsOrItsLimit)
{
	for (bool cold : { true, false }) {
		SCOPED_TRACE(cold);
		engine engine(cold ? std::vector<std::string>{ "--cold-ms=60000", "--cold-slots=1" }
				   : std::vector<std::string>{ "--max-in-flight=1" });
		int64_t before = engine.count({ "incarnation" });
		std::string data;
		http_stream first(engine.port, "POST", "/v1/chat/completions",
				  engine::chat(true, ENDLESS));

		ASSERT_TRUE(first.read_event(&data));
		EXPECT_EQ(engine.count({ "cold_breaches" }), 0);
		ASSERT_EQ(engine.request_chat(engine::chat(false, 2)).status, 0);
		first.finish();
		EXPECT_FALSE(first.whole());
		EXPECT_EQ(engine.count({ cold ? "cold_breaches" : "limit_breaches" }), 1);
		EXPECT_EQ(engine.count({ "peak_in_flight_cold" }), cold ? 2 : 0);
		EXPECT_GT(engine.count({ "incarnation" }), before);
		EXPECT_EQ(engine.request_chat(engine::chat(false, 2)).status, 200);
	}
}

TEST(StandinEngine, PoisonWordCrashesTheEngine)
{
	engine engine({ "--poison=arsenic" });
	EXPECT_EQ(engine.request_chat(engine::chat(false, 2, "some arsenic please")).status, 0);
	EXPECT_EQ(engine.child.wait().exit_code, 70);

	struct engine second({ "--poison=arsenic", "--crash=reset" });
	EXPECT_EQ(second.request_chat(engine::chat(false, 2, "some arsenic please")).status, 0);
	EXPECT_EQ(second.count({ "crashes" }), 1);
	EXPECT_EQ(second.request_chat(engine::chat(false, 2)).status, 200);
}

TEST(StandinEngine, DisconnectCancelsTheJobUnlessItIsLate)
{
	engine engine({ "--slots=1", "--first-token-us=1000000" });
	for (bool late : { false, true }) {
		if (late)
			engine.fault(R"({"kind":"late","count":1})");
		http_stream stream(engine.port, "POST", "/v1/chat/completions",
				   engine::chat(false, 2));
		ASSERT_TRUE(engine.wait_for_count("running", 1));
		stream.close();
		EXPECT_TRUE(engine.wait_for_count(late ? "completed_for_nobody" : "cancelled", 1));
		EXPECT_EQ(engine.count({ "running" }), 0);
	}
	EXPECT_EQ(engine.count({ "completed" }), 0);
}

TEST(StandinEngine, CrossedFaultReturnsThePreviousRequestsIds)
{
	engine engine;
	engine.request_chat(engine::chat(false, 2),
			    { { "x-attempt-id", "a1" }, { "x-request-id", "r1" } });
	engine.fault(R"({"kind":"crossed","count":1})");
	http_answer answer = engine.request_chat(
		engine::chat(false, 2), { { "x-attempt-id", "a2" }, { "x-request-id", "r2" } });
	EXPECT_EQ(answer.headers["x-attempt-id"], "a1");
	EXPECT_NE(answer.body.find("request:r1"), std::string::npos);
}

TEST(StandinEngine, QueuesByPriorityAndDelaysLoadReports)
{
	engine engine({ "--slots=1", "--report-lag-ms=300", "--first-token-us=1000" });
	std::string data;
	uint64_t started_us = dw_clock_now_us();
	http_stream running(engine.port, "POST", "/v1/chat/completions",
			    engine::chat(true, ENDLESS));
	ASSERT_TRUE(running.read_event(&data));
	http_stream low(engine.port, "POST", "/v1/chat/completions", engine::chat(true, ENDLESS));
	ASSERT_TRUE(engine.wait_for_count("in_flight", 2));
	http_stream high(engine.port, "POST", "/v1/chat/completions", engine::chat(true, 3),
			 { { "x-priority", "5" } });
	ASSERT_TRUE(engine.wait_for_count("in_flight", 3));
	EXPECT_TRUE(wait_until([&] {
		std::string load = http_call(engine.port, "GET", "/load").body;

		return json_number(load, { "running" }) == 1 &&
		       json_number(load, { "queued" }) == 2;
	}));
	EXPECT_GE(dw_clock_now_us(), started_us + 300 * DW_US_PER_MS);
	running.close();
	EXPECT_TRUE(high.finish().whole);
	EXPECT_EQ(low.status(), 200);
	EXPECT_EQ(engine.count({ "peak_in_flight" }), 3);
}

TEST(StandinEngine, ShareOfGoodAnswersIsSeededAndCanBeChanged)
{
	engine engine({ "--quality-permille=700", "--first-token-us=0", "--prefix-cache=16" });
	auto good = [&](const std::string &model) {
		int count = 0;

		for (int i = 0; i < 200; i++)
			count += engine.request_chat(engine::chat(false, 1, "q" + std::to_string(i),
								  model))
					 .body.find("quality:950") != std::string::npos;
		return count;
	};
	int before = good("m/v1");

	EXPECT_NEAR(before, 140, 25);
	EXPECT_EQ(good("m/v1"), before);
	engine.fault(R"({"kind":"quality","n":0,"word":"m/v1"})");
	EXPECT_EQ(good("m/v1"), 0);
	EXPECT_NEAR(good("m/v2"), 140, 25);
	engine.request_chat(engine::chat(false, 1, "q199"));
	EXPECT_EQ(engine.count({ "cache_hits" }), 1);
}

TEST(StandinService, CountsEachExecutionAndItsFaultsTakeEffect)
{
	standin service("standin_service", {});
	auto send_booking = [&](const std::string &key) {
		return http_call(service.port, "POST", "/book", "{}",
				 { { "idempotency-key", key } });
	};

	EXPECT_EQ(json_number(send_booking("k1").body, { "execution" }), 1);
	EXPECT_EQ(json_number(send_booking("k1").body, { "execution" }), 2);
	service.fault(R"({"kind":"answer_lost","count":1})");
	EXPECT_EQ(send_booking("k2").status, 0);
	service.fault(R"({"kind":"refuse","count":1})");
	EXPECT_EQ(send_booking("k3").status, 503);
	EXPECT_EQ(service.count({ "executions", "k1 /book" }), 2);
	EXPECT_EQ(service.count({ "executions", "k2 /book" }), 1);
	EXPECT_EQ(service.count({ "executions", "k3 /book" }), 0);
	EXPECT_EQ(service.count({ "most_executions_of_a_key" }), 2);

	service.fault(R"({"kind":"slow_start","n":300,"count":1})");
	http_stream disconnecting(service.port, "POST", "/book", "{}",
				  { { "idempotency-key", "k4" } });
	ASSERT_TRUE(service.wait_for_count("received", 5));
	disconnecting.close();
	EXPECT_TRUE(service.wait_for_count("executed", 4))
		<< "executed even though the client disconnected";
	service.fault(R"({"kind":"crash_after","count":1})");
	EXPECT_EQ(send_booking("k5").status, 0);
	EXPECT_EQ(service.child.wait().exit_code, 70);
}
