/* Load: one attempt at a time, all kinds of routes, with the targets of deployments A and B; limits are checked
 * each 50 ms over 60 s of silence. */
#include <gtest/gtest.h>

#include <dragonflywharf/silence.h>

namespace
{

constexpr uint64_t MS = 1000;
constexpr uint64_t SECOND = 1000 * MS;
constexpr uint64_t NOW = 100 * SECOND;

struct Silence : testing::Test {
	dw_route_rule route{};
	dw_request_policy policy{};
	dw_engine other{};

	void set_route(dw_route_kind kind, uint32_t latency_ms, uint32_t gap_ms)
	{
		route = {};
		route.kind = kind;
		route.is_resumable = true;
		route.max_attempts = 3;
		route.target_latency_ms = latency_ms;
		route.target_gap_ms = gap_ms;
		route.timeout_ms = 60000;
		dw_request_policy_init(&policy, &route, 0, NOW);
		dw_request_policy_sent(&policy);
	}
	uint64_t limit(bool has_answer_started)
	{
		dw_silence_attempt attempt = { &route, &policy, true, has_answer_started,
					       200 * MS };
		return dw_silence_limit_us(&attempt);
	}
	dw_silence_state state()
	{
		return { &policy, 10, false, NOW, 0, &other, true };
	}
};

/* A stream that its engine has preempted must not be abandoned while its caller would still wait. */
TEST_F(Silence, AStreamStaysForNearlyAsLongAsItsCaller)
{
	const struct {
		uint32_t latency_ms, gap_ms;
		uint64_t patience_us;
	} cases[] = {
		{ 6000, 1200, 24 * SECOND }, { 2000, 1200, 9600 * MS },
		{ 1500, 800, 6400 * MS },    { 1000, 100, 4 * SECOND },
		{ 0, 0, 2 * SECOND },	     { UINT32_MAX, 0, 4 * (uint64_t)UINT32_MAX * MS }
	};
	for (const auto &each : cases) {
		set_route(DW_ROUTE_STREAM, each.latency_ms, each.gap_ms);
		EXPECT_EQ(dw_silence_patience_us(&route), each.patience_us);
		uint64_t limit_us = limit(true);
		EXPECT_GE(limit_us + SECOND, each.patience_us);
		EXPECT_GE(limit_us, 4 * SECOND) << "no sooner than it was";
	}
}

/* Load: a tenth of the engines accept requests and never answer. With the limit of streams in progress,
 * requests with 6 s in all reached their deadline there. */
TEST_F(Silence, AStreamLeavesAnEngineThatDoesNotBegin)
{
	set_route(DW_ROUTE_STREAM, 2000, 1200);
	uint64_t limit_us = limit(false);
	EXPECT_EQ(limit_us, 3 * SECOND + 3 * 200 * MS);
	dw_silence_state silence = state();
	silence.has_answer_started = false;
	EXPECT_FALSE(dw_silence_should_wait(&silence, NOW + limit_us));
	silence.upstream_last_byte_at_us = NOW + limit_us - SECOND;
	EXPECT_TRUE(dw_silence_should_wait(&silence, NOW + limit_us)) << "it serves others";
	EXPECT_FALSE(dw_silence_should_wait(&silence, NOW + 9 * SECOND));
	silence.upstream_last_byte_at_us = 0;
	other.load = { 64, 0, 64, NOW + limit_us - SECOND, 0 };
	EXPECT_TRUE(dw_silence_should_wait(&silence, NOW + limit_us)) << "no other has capacity";
}

/* The first engine must have noticed that its connection is closed before the next one begins. */
TEST_F(Silence, AStreamIsSentAgainOnlyAfterTheFirstEngineWasTold)
{
	EXPECT_GE(dw_silence_resend_at_us(DW_ROUTE_STREAM, NOW), NOW + 400 * MS);
	set_route(DW_ROUTE_STREAM, 2000, 1200);
	EXPECT_LT(limit(true) + dw_silence_resend_at_us(DW_ROUTE_STREAM, NOW) - NOW,
		  dw_silence_patience_us(&route))
		<< "its caller is still there";
	EXPECT_EQ(dw_silence_resend_at_us(DW_ROUTE_SAFE, NOW), NOW);
}

/* While no engine has capacity, giving up a stream can only break it off. */
TEST_F(Silence, AStreamWaitsUntilAnotherEngineHasCapacity)
{
	set_route(DW_ROUTE_STREAM, 2000, 1200);
	dw_silence_state silence = state();
	silence.other = nullptr;
	for (uint64_t at = NOW + limit(true); at < NOW + 60 * SECOND; at += 50 * MS)
		ASSERT_TRUE(dw_silence_should_wait(&silence, at));
	uint64_t at = NOW + limit(true);
	silence.other = &other;
	other.load = { 64, 0, 64, at - SECOND, 0 };
	EXPECT_TRUE(dw_silence_should_wait(&silence, at)) << "all slots are taken";
	other.load = { 40, 1, 64, at - SECOND, 0 };
	EXPECT_TRUE(dw_silence_should_wait(&silence, at)) << "requests wait for memory";
	other.load = { 40, 0, 64, at - SECOND, 0 };
	EXPECT_FALSE(dw_silence_should_wait(&silence, at));
	other.sent_since_load = 24;
	EXPECT_TRUE(dw_silence_should_wait(&silence, at)) << "own requests took the rest";
	EXPECT_FALSE(dw_silence_should_wait(&silence, at + 2 * SECOND)) << "the report is too old";
	other.paused_until_us = at + 3 * SECOND;
	EXPECT_TRUE(dw_silence_should_wait(&silence, at + 2 * SECOND)) << "it wants a pause";
	other.paused_until_us = 0;
	other.ejected_until_us = at + 3 * SECOND;
	EXPECT_TRUE(dw_silence_should_wait(&silence, at + 2 * SECOND)) << "it has failed";
}

/* An abort that no further attempt can follow would end the response because of silence alone. */
TEST_F(Silence, NothingIsAbandonedThatCanNotBeSentAgain)
{
	for (dw_route_kind kind : { DW_ROUTE_STREAM, DW_ROUTE_SAFE }) {
		set_route(kind, 500, 1200);
		dw_silence_state silence = state();
		uint64_t at = NOW + 15 * SECOND;
		EXPECT_FALSE(dw_silence_should_wait(&silence, at));
		silence.retries_left = 0;
		EXPECT_TRUE(dw_silence_should_wait(&silence, at)) << "no retry in the budget";
		silence = state();
		silence.is_reading_paused = true;
		EXPECT_TRUE(dw_silence_should_wait(&silence, at)) << "the silence is our own";
		silence = state();
		EXPECT_TRUE(dw_silence_should_wait(&silence, policy.deadline_us - 10 * MS));
		policy.rejections = 3;
		EXPECT_TRUE(dw_silence_should_wait(&silence, at)) << "rejected too often";
		policy.rejections = 0;
		policy.has_response_started = true;
		EXPECT_TRUE(dw_silence_should_wait(&silence, at)) << "part of it was sent";
		EXPECT_EQ(limit(true), 0U);
		policy.has_response_started = false;
		policy.runs = policy.max_runs;
		EXPECT_EQ(limit(true), 0U) << "no attempt is left";
	}
	set_route(DW_ROUTE_UNSAFE, 500, 0);
	EXPECT_EQ(limit(false), 0U);
}

/* A safe request is retried soon, but not at an engine that only serves others first. */
TEST_F(Silence, ASafeRequestIsRetriedSooner)
{
	set_route(DW_ROUTE_SAFE, 500, 0);
	EXPECT_EQ(limit(false), 3600 * MS);
	EXPECT_EQ(limit(true), 4 * SECOND);
	dw_silence_state silence = state();
	silence.upstream_last_byte_at_us = NOW + 4 * SECOND;
	EXPECT_TRUE(dw_silence_should_wait(&silence, NOW + 5 * SECOND));
	EXPECT_FALSE(dw_silence_should_wait(&silence, NOW + 7 * SECOND)) << "nothing more came";
	silence.upstream_last_byte_at_us = NOW + 8 * SECOND;
	EXPECT_FALSE(dw_silence_should_wait(&silence, NOW + 8 * SECOND)) << "others are served";
}

/* A stream that has begun must not be broken off for a pause that its caller would wait for. */
TEST_F(Silence, AStreamThatHasBegunWaitsLongerForAPausedEngine)
{
	set_route(DW_ROUTE_STREAM, 500, 1500);
	EXPECT_EQ(dw_silence_wait_goal_us(&route, &policy, NOW, NOW + 5 * SECOND), NOW + 500 * MS);
	policy.is_stream_started = true;
	EXPECT_EQ(dw_silence_wait_goal_us(&route, &policy, NOW, NOW + 5 * SECOND),
		  NOW + 17 * SECOND);
	EXPECT_EQ(dw_silence_wait_goal_us(&route, &policy, NOW, NOW + 59 * SECOND),
		  policy.deadline_us);
}

} // namespace
