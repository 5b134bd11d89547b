// End-to-end chat requests through daemons and engines in separate processes, and the version that
// a session keeps across instances, kills and restarts.
#include <gtest/gtest.h>

#include "support/cluster.h"

using support::chat_body;
using support::cluster;

namespace
{

struct Path : public ::testing::Test {
	cluster c;
	support::standin *engine = nullptr;
	support::daemon *first = nullptr;
	support::daemon *second = nullptr;

	void SetUp() override
	{
		engine = &c.add_engine("engine-1", "haarlem", { "large/1", "large/2" },
				       { "--token-us=1000", "--slots=8" });
		first = &c.add_daemon("entry-1", { .failure_domain = "haarlem" });
		second = &c.add_daemon("entry-2", { .failure_domain = "zaandam" });
		c.apply({
			"{\"failure_domain\":{\"name\":\"haarlem\"}}",
			cluster::engine_entity(*engine, "haarlem", { "large/1", "large/2" }, 8, 2,
					       50),
			"{\"model\":{\"name\":\"large\"}}",
			"{\"version\":{\"model\":\"large\",\"name\":\"1\",\"rollout_weight\":1}}",
			"{\"version\":{\"model\":\"large\",\"name\":\"2\",\"rollout_weight\":0}}",
			cluster::organisation_entity("haarlemmerland", { "large/1" }),
		});
		for (support::daemon *d : { first, second })
			c.wait_event(*d, "upstream.warm");
	}
};

TEST_F(Path, BufferedAndStreamedAnswersAreComplete)
{
	support::http_answer plain = c.chat(*first, "haarlemmerland", chat_body("large", "slate"));
	support::http_answer streamed =
		c.chat(*second, "haarlemmerland", chat_body("large", "slate", 8, true));

	EXPECT_EQ(plain.status, 200) << plain.body;
	EXPECT_TRUE(plain.whole);
	EXPECT_EQ(plain.headers["x-served-version"], "large/1");
	EXPECT_EQ(streamed.status, 200) << streamed.body;
	EXPECT_TRUE(streamed.whole);
	EXPECT_NE(streamed.body.find("data: [DONE]"), std::string::npos);
}

TEST_F(Path, ASessionIdKeepsItsVersionAfterAnInstanceIsKilled)
{
	support::daemon *third = &c.add_daemon("entry-3", { .failure_domain = "hoofddorp" });
	support::http_headers headers = { { "x-session-id", "resident-7" } };

	c.apply({ cluster::organisation_entity("haarlemmerland", { "large" }) });
	for (support::daemon *d : { first, second, third })
		cluster::wait_until(d->name + " is in the roster", [&] {
			return support::http_call(d->caller_port, "GET", "/healthz").status == 200;
		});
	ASSERT_EQ(c.chat(*first, "haarlemmerland", chat_body("large", "slate"), headers)
			  .headers["x-served-version"],
		  "large/1");
	ASSERT_EQ(c.ctl({ "weight", "large/2", "100" }).exit_code, 0);
	ASSERT_EQ(c.ctl({ "weight", "large/1", "0" }).exit_code, 0);
	c.wait_in_force();
	first->running->kill();
	for (support::daemon *d : { second, third })
		EXPECT_EQ(c.chat(*d, "haarlemmerland", chat_body("large", "dormer"), headers)
				  .headers["x-served-version"],
			  "large/1")
			<< d->name;
}

TEST_F(Path, ASessionTokenKeepsItsVersionOnAnotherInstanceAndAfterARestart)
{
	support::http_answer first_answer =
		c.chat(*first, "haarlemmerland", chat_body("large", "slate"));
	std::string token = first_answer.headers["x-session-token"];

	ASSERT_FALSE(token.empty());
	c.apply({ cluster::organisation_entity("haarlemmerland", { "large" }) });
	ASSERT_EQ(c.ctl({ "weight", "large/2", "100" }).exit_code, 0);
	ASSERT_EQ(c.ctl({ "weight", "large/1", "0" }).exit_code, 0);
	c.wait_in_force();
	second->running->kill();
	c.restart(*second);
	cluster::wait_until("the restarted instance answers", [&] {
		return c.chat(*second, "haarlemmerland", chat_body("large", "new")).status == 200;
	});
	for (support::daemon *d : { first, second }) {
		support::http_answer kept =
			c.chat(*d, "haarlemmerland", chat_body("large", "slate"),
			       { { "x-session-token", token } });
		support::http_answer fresh =
			c.chat(*d, "haarlemmerland", chat_body("large", "slate"));

		EXPECT_EQ(kept.headers["x-served-version"], "large/1") << kept.body;
		EXPECT_EQ(fresh.headers["x-served-version"], "large/2") << fresh.body;
	}
}

} // namespace
