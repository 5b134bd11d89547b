// A poison request: it crashes each upstream that runs it and is sent repeatedly through all
// instances. Guards against more crashes than the stated bound, and against failures of the other
// requests that run on a crashing upstream.
#include <gtest/gtest.h>

#include <chrono>
#include <csignal>
#include <thread>

#include <json-c/json.h>

#include "support/cluster.h"
#include "support/traffic.h"

using support::chat_body;
using support::cluster;

namespace
{

/* More than the slots that one instance owns of all engines, so that it borrows some of each. */
constexpr int WARM_UP_CALLERS = 32;

/** Stated bound on the crashes by a poison request that is repeated after each answer, over all
 * instances together. */
constexpr int max_crashes = 2;
constexpr int crash_exit_code = 70;
constexpr size_t engine_count = 4;

class Poison : public ::testing::TestWithParam<const char *>
{
      protected:
	cluster c;
	std::vector<support::standin *> engines;
	std::vector<support::daemon *> daemons;
	std::string poison = chat_body("large", "hemlock", 4);
	int crash_exits = 0;
	int poison_after_ms = 0;

	void SetUp() override
	{
		std::vector<std::string> entities{
			"{\"failure_domain\":{\"name\":\"haarlem\"}}",
			"{\"model\":{\"name\":\"large\"}}",
			"{\"version\":{\"model\":\"large\",\"name\":\"1\",\"rollout_weight\":1}}",
			cluster::organisation_entity("haarlemmerland", { "large" }),
		};

		for (size_t i = 0; i < engine_count; i++) {
			engines.push_back(&c.add_engine(
				"engine-" + std::to_string(i + 1), "haarlem", { "large/1" },
				{ "--token-us=1000", "--first-token-us=2000", "--poison=hemlock",
				  std::string("--crash=") + GetParam(),
				  "--poison-after-ms=" + std::to_string(poison_after_ms) }));
			entities.push_back(cluster::engine_entity(*engines.back(), "haarlem",
								  { "large/1" }, 8, 8, 20));
		}
		for (int i = 0; i < 3; i++)
			daemons.push_back(&c.add_daemon("entry-" + std::to_string(i + 1),
							{ .failure_domain = "haarlem" }));
		c.apply(entities);
	}

	/** Restarts the engines that have crashed. */
	void restart_crashed()
	{
		for (support::standin *engine : engines) {
			support::process_end end = engine->running->wait(0);

			if (!end.ended)
				continue;
			EXPECT_EQ(end.exit_code, crash_exit_code);
			crash_exits++;
			c.restart(*engine);
		}
	}

	int crashes()
	{
		int sum = 0;

		restart_crashed();
		for (support::standin *engine : engines)
			sum += (int)std::max<int64_t>(engine->stat("crashes"), 0);
		return sum + crash_exits;
	}

	support::http_answer send_poison(const support::daemon &instance)
	{
		return c.chat(instance, "haarlemmerland", poison);
	}

	static std::string error_field(const support::http_answer &answer, const char *field)
	{
		struct json_object *root = json_tokener_parse(answer.body.c_str());
		struct json_object *error = nullptr;
		struct json_object *value = nullptr;
		std::string text;

		json_object_object_get_ex(root, "error", &error);
		if (error && json_object_object_get_ex(error, field, &value))
			text = json_object_get_string(value);
		json_object_put(root);
		return text;
	}
};

/* Engines that fall silent while one of them runs a request, and come back as other incarnations. */
struct SilentEngines : testing::Test {
	static constexpr int SILENT_MS = 1500; /* longer than a run counts that was given up */
	cluster c;
	std::vector<support::standin *> engines;
	support::daemon *entry = nullptr;
	std::string poison = chat_body("large", "hemlock", 4);

	support::http_answer send_poison()
	{
		return c.chat(*entry, "mill", poison, { { "x-request-timeout-ms", "400" } });
	}
	void wait_serving()
	{
		cluster::wait_until("an answer", [&] {
			return c.chat(*entry, "mill", chat_body("large", "parsley")).status == 200;
		});
	}
};

/* Guards against a request that silences its engines, and whose runs are forgotten when they are back. */
TEST_F(SilentEngines, AreEvidenceAgainstTheRequestThatSilencedThem)
{
	for (const char *name : { "engine-1", "engine-2" })
		engines.push_back(&c.add_engine(name, "haarlem", { "large/1" }));
	entry = &c.add_daemon("entry-1", { .failure_domain = "haarlem" });
	c.apply({
		"{\"failure_domain\":{\"name\":\"haarlem\"}}",
		"{\"model\":{\"name\":\"large\"}}",
		"{\"version\":{\"model\":\"large\",\"name\":\"1\",\"rollout_weight\":1}}",
		cluster::organisation_entity("mill", { "large" }),
		cluster::engine_entity(*engines[0], "haarlem", { "large/1" }, 8, 8, 20),
		cluster::engine_entity(*engines[1], "haarlem", { "large/1" }, 8, 8, 20),
	});
	for (int crash = 1; crash <= 2; crash++) {
		wait_serving();
		for (support::standin *engine : engines)
			engine->running->signal(SIGSTOP);
		EXPECT_EQ(send_poison().status, 504);
		std::this_thread::sleep_for(std::chrono::milliseconds(SILENT_MS));
		for (support::standin *engine : engines)
			c.restart(*engine);
		int seen = 0;
		EXPECT_TRUE(c.wait_event(*entry, "upstream.crashed", [&](const support::event &) {
			return ++seen == crash;
		})) << crash;
	}
	wait_serving();
	support::http_answer got = send_poison();
	EXPECT_EQ(got.status, 422) << got.body;
}

TEST_P(Poison, RepeatedThroughAllInstancesItCrashesNoMoreThanTheBound)
{
	int consecutive_refusals = 0;

	/* Sends the request again right after each answer, through the next instance. */
	for (size_t sent = 0; sent < 24 && consecutive_refusals < 6; sent++) {
		support::http_answer answer = send_poison(*daemons[sent % daemons.size()]);

		EXPECT_NE(answer.status, 200);
		consecutive_refusals =
			error_field(answer, "type") == "quarantined" ? consecutive_refusals + 1 : 0;
		if (consecutive_refusals > 0) {
			EXPECT_EQ(error_field(answer, "not_run"), "true");
		}
		restart_crashed();
	}
	EXPECT_EQ(consecutive_refusals, 6) << "not every instance refuses it";
	EXPECT_LE(crashes(), max_crashes);
	EXPECT_GE(crashes(), 1);
	for (support::daemon *d : daemons) {
		support::http_answer answer =
			c.chat(*d, "haarlemmerland", chat_body("large", "parsley", 4));

		EXPECT_EQ(answer.status, 200) << answer.body;
	}
}

/* Guards against a shared system message that crashes each upstream, in requests of which no two are alike:
 * evidence is kept under the whole request. */
TEST_P(Poison, ASharedSystemMessageCrashesNoMoreThanFive)
{
	constexpr int max_crashes_of_part = 5;

	for (size_t sent = 0; sent < 16; sent++) {
		std::string body =
			"{\"model\":\"large\",\"max_tokens\":4,\"messages\":[{\"role\":"
			"\"system\",\"content\":\"hemlock\"},{\"role\":\"user\",\"content\":\"" +
			std::to_string(sent) + "\"}]}";
		EXPECT_NE(c.chat(*daemons[sent % daemons.size()], "haarlemmerland", body).status,
			  200);
		restart_crashed();
	}
	EXPECT_LE(crashes(), max_crashes_of_part);
	EXPECT_GE(crashes(), 1);
}

TEST_P(Poison, InnocentRequestsThatRanBesideItAreAnswered)
{
	support::daemon &instance = *daemons.front();
	std::vector<std::unique_ptr<support::http_stream>> innocents;

	{
		support::traffic warm_up("haarlemmerland", chat_body("large", "feed %", 2));

		/* Successful requests earn the budget that the retries use. */
		warm_up.press(instance, WARM_UP_CALLERS);
		cluster::wait_until("each engine has answered", [&] {
			return std::all_of(engines.begin(), engines.end(), [](auto *engine) {
				return engine->stat("completed") >= 40;
			});
		});
	}
	for (size_t i = 0; i < engine_count; i++)
		innocents.push_back(std::make_unique<support::http_stream>(
			instance.caller_port, "POST", "/v1/chat/completions",
			chat_body("large", "innocent " + std::to_string(i), 400),
			support::http_headers{ { "authorization", "Bearer haarlemmerland" } }));
	cluster::wait_until("the innocent requests run", [&] {
		int64_t sum = 0;

		for (support::standin *engine : engines)
			sum += engine->stat("running");
		return sum == (int64_t)engine_count;
	});
	support::http_answer answer = send_poison(instance);

	EXPECT_NE(answer.status, 200);
	EXPECT_LE(crashes(), max_crashes);
	for (auto &innocent : innocents) {
		support::http_answer innocent_answer = innocent->finish();

		EXPECT_EQ(innocent_answer.status, 200) << innocent_answer.body;
		EXPECT_TRUE(innocent_answer.whole);
	}
	EXPECT_LE(crashes(), max_crashes);
}

/* Engines that crash some time after they have begun, when the caller has left. */
struct SlowPoison : Poison {
	static constexpr int PATIENCE_MS = 30;
	static constexpr int PAUSE_MS = 150;

	SlowPoison()
	{
		poison_after_ms = 60;
	}
};

/* Guards against a request whose caller left before its engine crashed: it left no evidence, and its repeats
 * crashed one engine after the other. */
TEST_P(SlowPoison, ARequestWhoseCallerLeftCrashesNoMoreThanTheBound)
{
	for (size_t sent = 0; sent < 24; sent++) {
		support::http_stream caller(
			daemons[sent % daemons.size()]->caller_port, "POST", "/v1/chat/completions",
			poison,
			support::http_headers{ { "authorization", "Bearer haarlemmerland" } });
		std::this_thread::sleep_for(std::chrono::milliseconds(PATIENCE_MS));
		caller.close();
		std::this_thread::sleep_for(std::chrono::milliseconds(PAUSE_MS));
		restart_crashed();
	}
	EXPECT_LE(crashes(), max_crashes);
	EXPECT_GE(crashes(), 1);
}

INSTANTIATE_TEST_SUITE_P(Crashes, SlowPoison, ::testing::Values("exit", "reset"));

INSTANTIATE_TEST_SUITE_P(Crashes, Poison, ::testing::Values("exit", "reset"));

} // namespace
