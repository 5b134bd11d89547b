// Requests that crash the engines that run them, sent again through several wharf-gateway processes.
// The engines are back after a while, at the same address and with another id.
#include <gtest/gtest.h>

#include <csignal>

#include <atomic>
#include <chrono>
#include <thread>

#include "support/fleet.h"

using support::http_answer;
using support::now_ms;
using support::wait_until;

namespace
{

constexpr size_t INSTANCES = 4;
constexpr size_t ENGINES = 3;
/** Engines that a request may end over the whole fleet. */
constexpr int MAX_CRASHES = 2;
constexpr int RESTART_MS = 700;
/** Three heartbeats, after which the platform removes the entry of a silent engine. */
constexpr int ENTRY_MS = 1200;
constexpr int REPEAT_MS = 120;

struct Crashes : testing::Test, support::fleet {
	int crashes = 0;
	int starts = 0;
	int64_t ended_ms[ENGINES] = { 0 }; /* 0: the engine runs */
	struct old_entry {
		std::string id;
		int64_t remove_ms;
	};
	std::vector<old_entry> old_entries;

	Crashes() : support::fleet(INSTANCES)
	{
		backend_arguments = { "--crash-path=/look/poison", "--crash-after-ms=60",
				      "--work-ms=10" };
	}
	void SetUp() override
	{
		for (size_t i = 0; i < ENGINES; i++)
			add_backend("e" + std::to_string(i + 1));
		configure();
		for (size_t i = 0; i < INSTANCES; i++)
			launch(i);
		ASSERT_TRUE(wait_for_all());
		for (const auto &each : instances)
			ASSERT_TRUE(wait_until(
				[&] { return each.metric("engines_usable") == ENGINES; }));
	}
	/* Notices engines that have ended and starts them again, as the platform does. */
	void tend()
	{
		for (size_t i = 0; i < ENGINES; i++) {
			if (ended_ms[i] == 0 && backends[i]->server->wait(0).ended) {
				crashes += backends[i]->server->wait(0).signal == 0;
				ended_ms[i] = now_ms();
				old_entries.push_back({ backends[i]->id, now_ms() + ENTRY_MS });
			}
			if (ended_ms[i] > 0 && now_ms() > ended_ms[i] + RESTART_MS) {
				restart_backend(*backends[i], "again-" + std::to_string(++starts));
				ended_ms[i] = 0;
			}
		}
		while (!old_entries.empty() && now_ms() > old_entries.front().remove_ms) {
			remove("servers/" + old_entries.front().id);
			old_entries.erase(old_entries.begin());
		}
	}
	/* Lets time pass with working engines. */
	void tend_for(int64_t for_ms)
	{
		for (int64_t until_ms = now_ms() + for_ms; now_ms() < until_ms;) {
			tend();
			std::this_thread::sleep_for(std::chrono::milliseconds(5));
		}
	}
	int64_t sum_metric(const std::string &name)
	{
		int64_t sum = 0;
		for (const auto &each : instances)
			sum += each.metric(name);
		return sum;
	}
};

/* Guards against the incident BUDGET: a request that crashed each engine that ran it was sent again
 * and again, by retries and by each instance that got its repeats, until no engine was left. */
TEST_F(Crashes, ARequestThatCrashesItsEnginesEndsNoMoreThanTwo)
{
	std::atomic<bool> is_over{ false };
	std::atomic<int> asked{ 0 };
	std::atomic<int> served{ 0 };
	std::thread others([&] {
		for (size_t n = 0; !is_over; n++) {
			std::string path = "/look/other-" + std::to_string(n);
			int status = support::http_call(instances[n % INSTANCES].caller_port, "GET",
							path, "",
							{ { "Attempt-Id", "o" + std::to_string(n) },
							  { "Deadline-Ms", "1500" },
							  { "Credential", "k1" } })
					     .status;
			asked++;
			served += status == 200;
			std::this_thread::sleep_for(std::chrono::milliseconds(10));
		}
	});
	tend_for(300);
	for (size_t n = 0; n < 30; n++) {
		EXPECT_NE(call(n % INSTANCES, "GET", "/look/poison").status, 200);
		tend_for(REPEAT_MS);
	}
	is_over = true;
	others.join();
	EXPECT_LE(crashes, MAX_CRASHES);
	EXPECT_GE(crashes, 1);
	EXPECT_GE(served * 100, asked * 98) << served << " of " << asked << " others served";
}

} // namespace
