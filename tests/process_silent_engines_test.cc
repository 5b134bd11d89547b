// Engines that fall silent and come back as another lifetime at the same address: what they ran then is evidence,
// as if they had been seen to end, in whatever order their entries go and come. Not so for engines that were only
// cut off, or that left without saying so.
#include <gtest/gtest.h>

#include <atomic>
#include <chrono>
#include <functional>
#include <map>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "support/raw_fleet.h"

using support::answer_head;
using support::answer_with_length;
using support::field_of;
using support::http_answer;
using support::http_headers;
using support::http_stream;
using support::raw_connection;
using support::raw_server;
using support::wait_until;

namespace
{

constexpr size_t INSTANCES = 3;
constexpr size_t ENGINES = 5;
constexpr int SILENT_MS = 1000;
constexpr int REPEAT_MS = 150;
/* As the users' rules have it: runs later than this after the third crash are retries too many. */
constexpr int CONTACT_MS = 3000;
constexpr int PLAY_MS = 9000;
/* Of each instance: it has a connection to most engines then. */
constexpr int WARM_UP_REQUESTS = 30;

std::string events(int from, int to)
{
	std::string text;
	for (int id = from; id <= to; id++)
		text += "id: " + std::to_string(id) + "\ndata: x\n\n";
	return text;
}

/* When, after an engine fell silent, its entry goes, and its next lifetime answers and is registered. */
struct Return {
	const char *name;
	int removed_ms; /* 0: never, as the next lifetime has the same id */
	int back_ms;
	int registered_ms;
	const char *path;
	int patience_ms; /* of the caller */
};

struct SilentEngines : support::raw_fleet, testing::WithParamInterface<Return> {
	std::mutex mutex;
	std::vector<std::string> ids;
	std::vector<int> born;
	std::vector<int64_t> crash_times_ms;
	std::vector<std::thread> returns;

	SilentEngines() : raw_fleet(INSTANCES)
	{
	}
	void TearDown() override
	{
		for (auto &each : returns)
			each.join();
	}
	void register_lifetime(size_t i)
	{
		std::lock_guard<std::mutex> lock(mutex);
		put("servers/" + ids[i],
		    "{\"Service\":\"app\",\"Address\":\"127.0.0.1:" +
			    std::to_string(engines[i]->port()) +
			    "\",\"Zone\":\"a\",\"Version\":\"v1\",\"Slots\":64,\"State\":"
			    "\"ready\",\"ColdRemainingMs\":0,\"Sequence\":1,\"born\":" +
			    std::to_string(born[i]) + "}");
	}
	/* Whether the request is for this lifetime. */
	bool is_expected(size_t i, const std::string &request)
	{
		std::lock_guard<std::mutex> lock(mutex);
		std::string expected = field_of(request, "Expect-Instance");
		return expected.empty() || expected == ids[i];
	}
	void start_engines(const raw_server::handler &answer)
	{
		for (size_t i = 0; i < ENGINES; i++) {
			ids.push_back("e" + std::to_string(i));
			born.push_back(100);
			engines.push_back(std::make_unique<raw_server>(
				[this, i, answer](raw_connection &connection,
						  const std::string &request) {
					if (!is_expected(i, request))
						connection.send(answer_with_length(
							"421 Misdirected Request", request, ""));
					else if (request.find("/poison") != std::string::npos)
						crash(i);
					else
						answer(connection, request);
				}));
			register_lifetime(i);
		}
		configure();
		for (size_t i = 0; i < INSTANCES; i++)
			launch(i);
		ASSERT_TRUE(wait_for_all());
		for (const auto &each : instances)
			ASSERT_TRUE(wait_until(
				[&] { return each.metric("engines_usable") == ENGINES; }));
	}
	static raw_server::handler serving()
	{
		return [](raw_connection &connection, const std::string &request) {
			connection.send(answer_with_length("200 OK", request, events(1, 1),
							   "Content-Type: text/event-stream\r\n"));
		};
	}
	/* Falls silent, and comes back as the parameter says. */
	void crash(size_t i)
	{
		std::lock_guard<std::mutex> lock(mutex);
		crash_times_ms.push_back(support::now_ms());
		engines[i]->fall_silent();
		returns.emplace_back([this, i, old_id = ids[i], at_ms = support::now_ms()] {
			bring_back(i, old_id, at_ms);
		});
	}
	static void wait_till(int64_t at_ms)
	{
		std::this_thread::sleep_for(std::chrono::milliseconds(at_ms - support::now_ms()));
	}
	void start_next_lifetime(size_t i)
	{
		std::lock_guard<std::mutex> lock(mutex);
		born[i]++;
		if (GetParam().removed_ms > 0)
			ids[i] += "n";
		engines[i]->come_back(true);
	}
	void bring_back(size_t i, const std::string &old_id, int64_t at_ms)
	{
		const Return order = GetParam();
		std::multimap<int, std::function<void()>> steps;
		if (order.removed_ms > 0)
			steps.emplace(order.removed_ms,
				      [this, &old_id] { remove("servers/" + old_id); });
		steps.emplace(order.back_ms, [this, i] { start_next_lifetime(i); });
		steps.emplace(order.registered_ms, [this, i] { register_lifetime(i); });
		for (const auto &[after_ms, step] : steps) {
			wait_till(at_ms + after_ms);
			step();
		}
	}
	size_t crashes()
	{
		std::lock_guard<std::mutex> lock(mutex);
		return crash_times_ms.size();
	}
	/* Crashes later than CONTACT_MS after the third. */
	size_t late_crashes()
	{
		std::lock_guard<std::mutex> lock(mutex);
		size_t late = 0;
		for (int64_t at_ms : crash_times_ms)
			late += crash_times_ms.size() > 2 && at_ms > crash_times_ms[2] + CONTACT_MS;
		return late;
	}
	http_headers headers()
	{
		return { { "Attempt-Id", "s" + std::to_string(next_attempt++) },
			 { "Deadline-Ms", "6000" },
			 { "Credential", "k1" } };
	}
	/* Sends the request; its caller waits @p patience_ms. */
	int ask_for(size_t instance, const std::string &path, int patience_ms)
	{
		http_stream caller(instances[instance].caller_port,
				   path.compare(0, 5, "/look") == 0 ? "GET" : "POST", path,
				   path.compare(0, 5, "/look") == 0 ? "" : "{}", headers(),
				   patience_ms);
		int status = caller.status();
		if (status == 200)
			caller.finish();
		return status;
	}
	int64_t sum(const std::string &name)
	{
		int64_t total = 0;
		for (const auto &each : instances)
			total += each.metric(name);
		return total;
	}
};

/* Guards against a request that silences its engines and is never refused, since their silence isn't connected
 * with the lifetime that is at their address afterwards. */
TEST_P(SilentEngines, ARequestThatSilencesThemIsRefused)
{
	const Return order = GetParam();
	start_engines(serving());
	for (size_t i = 0; i < INSTANCES; i++)
		ASSERT_EQ(ask_for(i, "/look/fine", 2000), 200);
	int64_t end_ms = support::now_ms() + PLAY_MS;
	for (size_t n = 0; sum("requests_quarantined") < (int64_t)INSTANCES; n++) {
		ASSERT_LT(support::now_ms(), end_ms)
			<< order.name << ": " << crashes() << " crashes, suspected at "
			<< sum("requests_suspected") << ", quarantined at "
			<< sum("requests_quarantined");
		ask_for(n % INSTANCES, order.path, order.patience_ms);
		std::this_thread::sleep_for(std::chrono::milliseconds(REPEAT_MS));
	}
	size_t before = crashes();
	for (size_t n = 0; n < 2 * INSTANCES; n++)
		EXPECT_EQ(ask_for(n % INSTANCES, order.path, 2000), 503) << order.name;
	EXPECT_EQ(crashes(), before);
	EXPECT_EQ(late_crashes(), 0U) << order.name;
}

INSTANTIATE_TEST_SUITE_P(
	Orders, SilentEngines,
	testing::Values(Return{ "removed before", 900, SILENT_MS, SILENT_MS, "/chat/poison", 5000 },
			Return{ "removed before", 900, SILENT_MS, SILENT_MS, "/look/poison", 300 },
			Return{ "removed after", 1600, SILENT_MS, SILENT_MS, "/look/poison", 5000 },
			Return{ "removed after", 1600, SILENT_MS, SILENT_MS, "/book/poison", 300 },
			Return{ "registered late", 1800, SILENT_MS, 1500, "/book/poison", 5000 },
			Return{ "registered late", 900, SILENT_MS, 1500, "/chat/poison", 300 },
			Return{ "the same id", 0, SILENT_MS, SILENT_MS, "/chat/poison", 5000 },
			Return{ "the same id", 0, SILENT_MS, 1500, "/book/poison", 300 }));

/* Engines without a request that ends them. */
struct SoundEngines : SilentEngines {
	void expect_no_suspicion(const std::string &what)
	{
		std::this_thread::sleep_for(std::chrono::milliseconds(300));
		EXPECT_EQ(sum("requests_suspected") + sum("requests_quarantined"), 0) << what;
	}
};

/* Guards against innocent requests that are refused because their engines were cut off for a while, with their
 * entries: they come back as the same lifetimes. */
TEST_P(SoundEngines, ThatWereCutOffHaveNotEnded)
{
	start_engines(serving());
	/* On connections that are kept, the requests below are sent before the silence is noticed. */
	for (int n = 0; n < WARM_UP_REQUESTS; n++)
		for (size_t i = 0; i < INSTANCES; i++)
			ASSERT_EQ(ask_for(i, "/look/" + std::to_string(n), 2000), 200);
	for (auto &each : engines)
		each->fall_silent();
	std::vector<std::thread> callers;
	for (size_t i = 0; i < INSTANCES; i++)
		callers.emplace_back([this, i] {
			ask_for(i, "/look/same", 700);
			ask_for(i, "/book/same", 300);
		});
	for (auto &each : callers)
		each.join();
	ASSERT_GE(sum("attempts_abandoned_total"), (int64_t)INSTANCES) << "runs were given up";
	for (const std::string &id : ids)
		remove("servers/" + id);
	for (const auto &each : instances)
		ASSERT_TRUE(wait_until([&] { return each.metric("engines_usable") == 0; }));
	for (size_t i = 0; i < ENGINES; i++) {
		engines[i]->come_back(false);
		register_lifetime(i);
	}
	for (const auto &each : instances)
		ASSERT_TRUE(wait_until([&] { return each.metric("engines_usable") == ENGINES; }));
	expect_no_suspicion("cut off");
	for (size_t i = 0; i < INSTANCES; i++) {
		EXPECT_EQ(ask_for(i, "/look/same", 2000), 200);
		EXPECT_EQ(ask_for(i, "/book/same", 2000), 200);
	}
}

/* The same for engines that leave without saying so: their entries are removed, they go on with their streams
 * for a while, and another lifetime takes their addresses. */
TEST_P(SoundEngines, ThatLeaveWithoutSayingSoHaveNotCrashed)
{
	std::atomic<bool> is_over{ false };
	start_engines([&](raw_connection &connection, const std::string &request) {
		connection.send(
			answer_head("200 OK", request, "Content-Type: text/event-stream\r\n"));
		for (int id = 1; !is_over && id < 200; id++) {
			connection.send(events(id, id));
			std::this_thread::sleep_for(std::chrono::milliseconds(20));
		}
		connection.reset();
	});
	std::vector<std::thread> callers;
	for (size_t i = 0; i < INSTANCES; i++)
		callers.emplace_back([this, i] { ask_for(i, "/book/long", 5000); });
	ASSERT_TRUE(wait_until([&] { return sum("requests_in_progress") == INSTANCES; }));
	std::this_thread::sleep_for(std::chrono::milliseconds(200));
	for (const std::string &id : ids)
		remove("servers/" + id);
	std::this_thread::sleep_for(std::chrono::milliseconds(600));
	is_over = true;
	for (auto &each : callers)
		each.join();
	for (size_t i = 0; i < ENGINES; i++) {
		ids[i] += "n";
		born[i]++;
		register_lifetime(i);
	}
	for (const auto &each : instances)
		ASSERT_TRUE(wait_until([&] { return each.metric("engines_usable") == ENGINES; }));
	expect_no_suspicion("left");
}

/* The same for a request whose caller left a sound engine, which is replaced some seconds later. */
TEST_P(SoundEngines, ThatOutlivedARunWereNotEndedByIt)
{
	start_engines([&](raw_connection &connection, const std::string &request) {
		if (request.find("/slow") != std::string::npos)
			std::this_thread::sleep_for(std::chrono::milliseconds(600));
		connection.send(answer_with_length("200 OK", request, events(1, 1)));
	});
	/* One engine is left, so that it is asked again by each instance. */
	for (size_t i = 1; i < ENGINES; i++)
		remove("servers/" + ids[i]);
	for (const auto &each : instances)
		ASSERT_TRUE(wait_until([&] { return each.metric("engines_usable") == 1; }));
	for (size_t i = 0; i < INSTANCES; i++)
		ask_for(i, "/book/slow", 100);
	ASSERT_TRUE(wait_until([&] { return sum("attempts_abandoned_total") == INSTANCES; }));
	std::this_thread::sleep_for(std::chrono::milliseconds(1200));
	for (size_t i = 0; i < INSTANCES; i++)
		ASSERT_EQ(ask_for(i, "/look/again", 2000), 200);
	born[0]++;
	register_lifetime(0);
	expect_no_suspicion("outlived");
}

INSTANTIATE_TEST_SUITE_P(Once, SoundEngines,
			 testing::Values(Return{ "", 0, SILENT_MS, SILENT_MS, "", 0 }));

} // namespace
