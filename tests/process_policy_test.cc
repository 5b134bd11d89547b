// The daemon's use of the policy library: cascade, roll-out evidence and admission limits.
#include <gtest/gtest.h>

#include "support/cluster.h"

using support::chat_body;
using support::cluster;

namespace
{

constexpr char organisation[] = "slate";
/** Bound for "after a few seconds", the stated time for evidence to reach all instances. */
constexpr int few_seconds_ms = 3000;

struct Policy : public ::testing::Test {
	cluster c;
	support::standin *small = nullptr;
	support::standin *large = nullptr;
	support::daemon *first = nullptr;
	support::daemon *second = nullptr;

	virtual std::string small_token_time()
	{
		return "--token-us=1000";
	}

	void SetUp() override
	{
		small = &c.add_engine("engine-small", "haarlem", { "small/1" },
				      { small_token_time(), "--slots=4" });
		large = &c.add_engine("engine-large", "haarlem",
				      { "large/1", "plain/1", "plain/2" },
				      { "--token-us=1000", "--slots=4" });
		first = &add_daemon("entry-1", "haarlem");
		second = &add_daemon("entry-2", "zaandam");
		c.apply({
			R"({"failure_domain":{"name":"haarlem"}})",
			cluster::engine_entity(*small, "haarlem", { "small/1" }, 4, 2, 50),
			cluster::engine_entity(*large, "haarlem",
					       { "large/1", "plain/1", "plain/2" }, 4, 2, 50),
			R"({"model":{"name":"small","quality_target_permille":800}})",
			R"({"model":{"name":"large","quality_target_permille":800,)"
			R"("cascade":["small"]}})",
			version("small", "1", 100, 1000),
			version("large", "1", 100, 1000000),
			R"({"model":{"name":"plain","quality_target_permille":800}})",
			version("plain", "1", 0, 1000000),
			version("plain", "2", 100, 1000000),
			cluster::organisation_entity(organisation, { "large", "plain", "small" }),
			cluster::organisation_entity("dormer", { "large", "plain", "small" }),
		});
		for (support::daemon *d : { first, second }) {
			for (const char *name : { "engine-small", "engine-large" })
				c.wait_event(*d, "upstream.warm", [&](const support::event &e) {
					return e.field("upstream") == name;
				});
		}
	}

	support::daemon &add_daemon(const std::string &name, const std::string &domain)
	{
		return c.add_daemon(
			name, { .failure_domain = domain, .settings = "\"rated_permille\": 1000" });
	}

	/**
	 * Updates a key that was written once before and waits until both daemons have applied it.
	 */
	void update_key(const std::string &key, const std::string &entity)
	{
		auto applied = [&](const support::daemon &d) {
			size_t count = 0;

			for (const support::event &e : d.events("config.applied"))
				count += e.field("key") == key;
			return count;
		};
		c.apply({ entity });
		for (support::daemon *d : { first, second })
			cluster::wait_until(d->name + " applies it",
					    [&] { return applied(*d) == 2; });
	}

	static std::string version(const std::string &model, const std::string &name, int weight,
				   int cost)
	{
		return R"({"version":{"model":")" + model + R"(","name":")" + name +
		       R"(","rollout_weight":)" + std::to_string(weight) +
		       R"(,"cost_micros_per_1k_tokens":)" + std::to_string(cost) + "}}";
	}

	support::http_answer send_chat(const std::string &model, int number,
				       const support::http_headers &headers = {})
	{
		return c.chat(*first, organisation,
			      chat_body(model, "tile " + std::to_string(number)), headers);
	}
};

TEST_F(Policy, ACheapStepIsNotHeldForMissingTheTarget)
{
	small->fault(R"({"kind":"quality","n":0})");
	for (int i = 0; i < 25; i++) {
		support::http_answer answer = send_chat("large", i);

		EXPECT_EQ(answer.headers["x-served-version"], "large/1") << answer.body;
	}
	EXPECT_GE(first->events("cascade.rated").size(), 20U);
	EXPECT_EQ(first->events("version.held").size(), 0U);
	EXPECT_EQ(send_chat("small", 0).status, 200);
}

TEST_F(Policy, AnInstanceThatJoinsLaterLearnsOfAHold)
{
	small->fault(R"({"kind":"quality","n":0})");
	cluster::wait_until("the version is held",
			    [&] { return send_chat("small", 0).status != 200; });
	c.wait_event(*second, "version.held");
	support::daemon &third = add_daemon("entry-3", "hoofddorp");
	cluster::wait_until("the new instance is healthy", [&] {
		return support::http_call(third.caller_port, "GET", "/healthz").status == 200;
	});
	/*
	 * No new evidence arises, so the instance can learn of the hold only from repeated
	 * evidence.
	 */
	EXPECT_TRUE(c.wait_event(third, "version.held", nullptr, few_seconds_ms));
	EXPECT_EQ(c.chat(third, organisation, chat_body("small", "tile")).status, 410);
}

TEST_F(Policy, ABadAnswerOfAWatchedVersionRunsAgainButNotForASession)
{
	support::http_headers session = { { "x-session-id", "resident-7" } };

	/* Starts a session on the version and earns the organisation the budget for one retry. */
	ASSERT_EQ(send_chat("plain", 0, session).headers["x-served-version"], "plain/2");
	for (int i = 1; i < 12; i++)
		ASSERT_EQ(send_chat("plain", i).headers["x-served-version"], "plain/2");
	large->fault(R"({"kind":"quality","n":0,"word":"plain/2"})");
	EXPECT_NE(send_chat("plain", 20).body.find("quality:150"), std::string::npos);
	ASSERT_TRUE(c.wait_event(*first, "version.watched"));
	EXPECT_EQ(send_chat("plain", 21, session).headers["x-served-version"], "plain/2");
	support::http_answer rerun =
		c.chat(*first, organisation, chat_body("plain", "tile 22", 8, true));
	EXPECT_EQ(rerun.headers["x-served-version"], "plain/1");
	EXPECT_NE(rerun.body.find("quality:950"), std::string::npos) << rerun.body;
	EXPECT_NE(rerun.body.find("data: [DONE]"), std::string::npos);
	EXPECT_EQ(first->events("version.held").size(), 0U);
}

TEST_F(Policy, ALaterStepThatExpiresIsATimeoutThatMayHaveRun)
{
	std::string limit_one = cluster::engine_entity(
		*large, "haarlem", { "large/1", "plain/1", "plain/2" }, 1, 1, 50);
	std::string event;

	update_key("upstream/engine-large", limit_one);
	/* Lets the daemon measure the engine's speed, so that its plan has time for both steps. */
	ASSERT_EQ(send_chat("plain", 0).status, 200);
	small->fault(R"({"kind":"quality","n":0})");
	large->fault(R"({"kind":"stall","n":1,"count":1})");
	support::http_stream blocker(
		first->caller_port, "POST", "/v1/chat/completions",
		chat_body("large/1", "roof", 8, true),
		{ { "authorization", "Bearer dormer" }, { "content-type", "application/json" } });
	ASSERT_TRUE(blocker.read_event(&event));
	support::http_answer expired =
		send_chat("large", 1, { { "x-request-timeout-ms", "1500" } });
	EXPECT_EQ(first->events("cascade.rated").size(), 1U);
	EXPECT_EQ(expired.status, 504) << expired.body;
	EXPECT_NE(expired.body.find("\"not_run\":false"), std::string::npos) << expired.body;
}

TEST_F(Policy, AnOrganisationsLimitIsSplitOverTheInstances)
{
	auto started = [&] {
		int count = 0;

		for (const support::event &e : first->events("attempt.started"))
			count += e.field("organisation") == organisation;
		return count;
	};
	std::string entity = cluster::organisation_entity(organisation, { "plain" });
	std::string event;

	entity.insert(entity.size() - 2, R"(,"max_in_flight":2)");
	update_key("organisation/slate", entity);
	large->fault(R"({"kind":"stall","n":1,"count":1})");
	support::http_headers headers = { { "authorization",
					    std::string("Bearer ") + organisation },
					  { "content-type", "application/json" } };
	auto first_stream = std::make_unique<support::http_stream>(
		first->caller_port, "POST", "/v1/chat/completions",
		chat_body("plain", "roof", 8, true), headers);
	ASSERT_TRUE(first_stream->read_event(&event));
	support::http_stream queued_stream(first->caller_port, "POST", "/v1/chat/completions",
					   chat_body("plain", "gutter", 8, true), headers);
	cluster::wait_until("the second request is received",
			    [&] { return first->events("request.received").size() == 2; });
	for (int i = 0; i < 5; i++)
		EXPECT_EQ(c.chat(*first, "dormer", chat_body("plain", "tile")).status, 200);
	EXPECT_EQ(started(), 1);
	first_stream.reset();
	EXPECT_EQ(queued_stream.status(), 200);
	EXPECT_EQ(started(), 2);
}

struct SlowSmall : public Policy {
	std::string small_token_time() override
	{
		return "--token-us=150000";
	}
};

TEST_F(SlowSmall, ACheapStepThatIsLearnedToBeTooSlowForTheDeadlineIsSkipped)
{
	ASSERT_EQ(send_chat("large", 0).headers["x-served-version"], "small/1");
	support::http_answer short_deadline =
		send_chat("large", 1, { { "x-request-timeout-ms", "1000" } });
	EXPECT_EQ(short_deadline.status, 200) << short_deadline.body;
	EXPECT_EQ(short_deadline.headers["x-served-version"], "large/1");
}

} // namespace
