// Requests that crash the engines that run them, sent again through several wharf-gateway processes.
#include <gtest/gtest.h>

#include <csignal>

#include <memory>
#include <thread>

#include "support/crash_fleet.h"
#include "support/http.h"

using support::http_answer;
using support::MAX_CRASHES;
using support::other_requests;
using support::RESTART_MS;
using support::wait_until;

namespace
{

constexpr int REPEAT_MS = 120;
/** Within this time, an instance that was told of a quarantine writes it if nobody else has. */
constexpr int BACKUP_WRITE_MS = 6500;

struct Crashes : support::crash_fleet {
};

/* Guards against the incident BUDGET: a request that crashed each engine that ran it was sent again
 * and again, by retries and by each instance that got its repeats, until no engine was left. */
TEST_F(Crashes, ARequestThatCrashesItsEnginesEndsNoMoreThanTwo)
{
	other_requests others(*this);
	tend_for(300);
	for (size_t n = 0; n < 30; n++) {
		EXPECT_NE(call(n % INSTANCES, "GET", "/look/poison").status, 200);
		tend_for(REPEAT_MS);
	}
	others.stop();
	EXPECT_EQ(crashes, MAX_CRASHES);
	EXPECT_GE(others.served * 100, others.asked * 98)
		<< others.served << " of " << others.asked << " others served";
	for (const auto &each : instances)
		EXPECT_EQ(each.metric("requests_quarantined"), 1) << each.name;
}

/* The same for requests that run at most once, which only their callers repeat. */
TEST_F(Crashes, ARequestThatRunsAtMostOnceEndsNoMoreThanTwo)
{
	for (size_t n = 0; n < 12; n++) {
		http_answer answer = call(n % INSTANCES, "POST", "/book/poison", "k1", "{}");
		EXPECT_EQ(answer.status, n < MAX_CRASHES ? 502 : 503) << n;
		if (n >= MAX_CRASHES) {
			EXPECT_NE(answer.body.find("\"type\":\"quarantined\""), std::string::npos);
			EXPECT_NE(answer.body.find("\"not_run\":true"), std::string::npos);
			EXPECT_EQ(answer.headers.count("retry-after"), 0U);
		}
		tend_for(REPEAT_MS);
	}
	EXPECT_EQ(crashes, MAX_CRASHES);
}

/* The same for streams that pass on some events before their engine ends. */
TEST_F(Crashes, AStreamThatEndsItsEnginesMidwayEndsNoMoreThanTwo)
{
	for (size_t n = 0; n < 12; n++) {
		http_answer answer = support::http_call(instances[n % INSTANCES].caller_port,
							"POST", "/chat/poison", "{}",
							{ { "Attempt-Id", "s" + std::to_string(n) },
							  { "Deadline-Ms", "1500" },
							  { "Accept", "text/event-stream" },
							  { "Credential", "k1" } });
		EXPECT_FALSE(answer.status == 200 && answer.whole);
		tend_for(REPEAT_MS);
	}
	EXPECT_EQ(crashes, MAX_CRASHES);
}

/* All instances get the request at the same moment, before any knows of it: it ends what it runs on,
 * and nothing more after that. */
TEST_F(Crashes, RepeatsAtTheSameMomentEndNoMoreThanTheyRunOn)
{
	std::vector<std::thread> callers;
	for (size_t i = 0; i < INSTANCES; i++)
		callers.emplace_back([this, i] {
			support::http_call(instances[i].caller_port, "GET", "/look/poison", "",
					   { { "Attempt-Id", "m" + std::to_string(i) },
					     { "Deadline-Ms", "1500" },
					     { "Credential", "k1" } });
		});
	for (auto &caller : callers)
		caller.join();
	tend_for(RESTART_MS + 2 * REPEAT_MS);
	EXPECT_LE(crashes, (int)ENGINES);
	int crashes_before = crashes;
	for (size_t n = 0; n < 2 * INSTANCES; n++) {
		EXPECT_NE(call(n % INSTANCES, "GET", "/look/poison").status, 200);
		tend_for(REPEAT_MS / 2);
	}
	EXPECT_EQ(crashes, crashes_before);
}

/* What is quarantined stays so when all processes are killed, until an operator lifts it. */
TEST_F(Crashes, AQuarantineSurvivesAllProcessesUntilItIsLifted)
{
	call(0, "GET", "/look/poison");
	tend_for(2 * RESTART_MS);
	ASSERT_EQ(crashes, MAX_CRASHES);
	ASSERT_TRUE(wait_until([&] {
		return read_range("wharf/quarantine/").find("wharf/quarantine/") !=
		       std::string::npos;
	}));
	std::string items = read_range("wharf/quarantine/");
	for (const auto &each : instances)
		each.gateway->kill();
	for (size_t i = 0; i < INSTANCES; i++)
		launch(i);
	ASSERT_TRUE(wait_for_all());
	for (size_t i = 0; i < INSTANCES; i++)
		EXPECT_EQ(call(i, "GET", "/look/poison").status, 503);
	tend_for(REPEAT_MS);
	EXPECT_EQ(crashes, MAX_CRASHES);
	tend_for(BACKUP_WRITE_MS);
	EXPECT_EQ(read_range("wharf/quarantine/").substr(0, items.find("StoreRevision")),
		  items.substr(0, items.find("StoreRevision")))
		<< "instances that read the record don't write it again";

	std::string key = items.substr(items.find("wharf/quarantine/"),
				       std::string("wharf/quarantine/").size() + 32);
	put(key, "{\"lifted\":true}");
	for (const auto &each : instances)
		EXPECT_TRUE(wait_until([&] { return each.metric("requests_quarantined") == 0; }));
	EXPECT_EQ(call(1, "GET", "/look/poison").status, 502);
	tend_for(REPEAT_MS);
	EXPECT_GT(crashes, MAX_CRASHES);
}

/* An instance that was suspended while the others learnt of it: it doesn't send it either. */
TEST_F(Crashes, ASuspendedInstanceLearnsOfAQuarantineBeforeItServes)
{
	instances[3].gateway->signal(SIGSTOP);
	call(0, "GET", "/look/poison");
	tend_for(revocation_ms);
	ASSERT_EQ(crashes, MAX_CRASHES);
	instances[3].gateway->signal(SIGCONT);
	for (int n = 0; n < 6; n++) {
		EXPECT_EQ(call(3, "GET", "/look/poison").status, 503);
		tend_for(REPEAT_MS);
	}
	EXPECT_EQ(crashes, MAX_CRASHES);
}

/* A frequent request that runs on two engines as these end for a reason of their own isn't refused. */
TEST_F(Crashes, AFrequentRequestBesideCrashesIsServedOn)
{
	other_requests others(*this, "/look/frequent");
	std::vector<std::unique_ptr<other_requests>> more;
	for (int i = 0; i < 5; i++)
		more.push_back(std::make_unique<other_requests>(*this, "/look/frequent"));
	for (int round = 0; round < 3; round++) {
		tend_for(500);
		for (size_t i = 0; i < 2; i++)
			backends[(round + i) % ENGINES]->server->kill();
		tend_for(RESTART_MS + 500);
		for (size_t i = 0; i < INSTANCES; i++)
			EXPECT_EQ(call(i, "GET", "/look/frequent").status, 200);
	}
	others.stop();
	EXPECT_GE(others.served * 100, others.asked * 95)
		<< others.served << " of " << others.asked;
	for (const auto &each : instances)
		EXPECT_EQ(each.metric("requests_quarantined"), 0);
	EXPECT_GT(sum_metric("engines_ended"), 0);
}

/* Connections that an engine closes while it runs on are no crash. */
TEST_F(Crashes, AnEngineThatClosesConnectionsHasNotEnded)
{
	for (const auto &each : backends)
		each->inject_fault("{\"kind\":\"answer_lost\",\"count\":4}");
	for (size_t n = 0; n < 16; n++)
		call(n % INSTANCES, "GET", "/look/same");
	for (size_t i = 0; i < INSTANCES; i++)
		EXPECT_EQ(call(i, "GET", "/look/same").status, 200);
	EXPECT_GT(sum_metric("crash_probes"), 0);
	EXPECT_EQ(sum_metric("engines_ended"), 0);
	EXPECT_EQ(sum_metric("requests_suspected") + sum_metric("requests_quarantined"), 0);
}

/* An engine that has said that it leaves ends with the requests that it couldn't complete. */
TEST_F(Crashes, AnEngineThatLeavesHasNotCrashed)
{
	for (const auto &each : backends)
		each->inject_fault("{\"kind\":\"mute\"}");
	std::vector<std::thread> callers;
	for (size_t i = 0; i < INSTANCES; i++)
		callers.emplace_back([this, i] {
			support::http_call(instances[i].caller_port, "POST", "/book/1", "{}",
					   { { "Attempt-Id", "l" + std::to_string(i) },
					     { "Deadline-Ms", "2500" },
					     { "Credential", "k1" } });
		});
	ASSERT_TRUE(wait_until([&] { return sum_stat("runs") == INSTANCES; }));
	for (const auto &each : backends)
		register_backend(*each, each->id, "draining");
	for (const auto &each : instances)
		ASSERT_TRUE(wait_until([&] { return each.metric("engines_usable") == 0; }));
	for (const auto &each : backends)
		each->server->kill();
	for (auto &caller : callers)
		caller.join();
	EXPECT_EQ(sum_metric("requests_suspected") + sum_metric("requests_quarantined"), 0);
}

} // namespace
