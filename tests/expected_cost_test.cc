// What a request is expected to cost at an engine, from what was learnt and what the engine reported.
#include <gtest/gtest.h>

#include <dragonflywharf/expected_cost.h>

namespace
{

constexpr uint64_t MS = 1000;
constexpr uint64_t NOW = 100000 * MS;

struct ExpectedCost : testing::Test {
	dw_work_stats stats{};
	dw_engine engine{};

	void report(uint32_t running, uint32_t waiting, uint32_t pace_percent, uint64_t age_us = 0)
	{
		engine.load = { running, waiting, 64, NOW - age_us, pace_percent };
	}
	dw_expected_cost cost(uint64_t work_us)
	{
		return dw_expected_cost_at(&stats, &engine, work_us, NOW);
	}
};

/* Guards against a start without data that takes engines for idle or for hopeless. */
TEST_F(ExpectedCost, StartsWithAUsualRequest)
{
	report(5, 2, 0);
	EXPECT_EQ(cost(0).ahead_us, 2 * 160 * MS);
	EXPECT_EQ(cost(0).beside_us, 5 * 4 * MS);
	EXPECT_EQ(cost(0).others_us, 0U);
}

/* Load: requests that look alike and bring very different work. */
TEST_F(ExpectedCost, MeanWorkIsLearnt)
{
	for (int i = 0; i < 2000; i++)
		dw_work_stats_sent(&stats, i % 10 == 0 ? 500 * MS : 20 * MS);
	EXPECT_NEAR((double)stats.mean_work_us, 68.0 * MS, 25.0 * MS);
}

/* Old traffic is forgotten: a shift from long prompts to short ones. */
TEST_F(ExpectedCost, MeanWorkFollowsAShiftOfTheTraffic)
{
	for (int i = 0; i < 500; i++)
		dw_work_stats_sent(&stats, 400 * MS);
	for (int i = 0; i < 500; i++)
		dw_work_stats_sent(&stats, 10 * MS);
	EXPECT_LT(stats.mean_work_us, 15 * MS);
}

/* The instance's own requests count at once and exactly, before any engine reports them. */
TEST_F(ExpectedCost, OwnWorkCountsAtOnce)
{
	dw_engine_work_added(&engine, 300 * MS);
	dw_engine_work_added(&engine, 40 * MS);
	EXPECT_EQ(cost(0).ahead_us, 340 * MS);
	dw_engine_work_done(&engine, 300 * MS);
	EXPECT_EQ(cost(0).ahead_us, 40 * MS);
	dw_engine_work_done(&engine, 100 * MS);
	EXPECT_EQ(cost(0).ahead_us, 0U) << "never below zero";
}

/* Stale news must not keep requests away from an engine, nor send all to it. */
TEST_F(ExpectedCost, ReportsLoseWeightWithAge)
{
	report(10, 0, 300);
	uint64_t fresh_us = cost(0).beside_us;
	EXPECT_EQ(dw_expected_pace_percent(&engine.load, NOW), 300U);
	report(10, 0, 300, 1500 * MS);
	EXPECT_EQ(cost(0).beside_us, fresh_us / 2);
	EXPECT_EQ(dw_expected_pace_percent(&engine.load, NOW), 100U)
		<< "it changes many times a second";
	report(10, 0, 300, 3000 * MS);
	EXPECT_EQ(cost(0).beside_us, 0U);
}

TEST_F(ExpectedCost, AnEngineThatNeverReportedCostsOnlyItsOwnWork)
{
	EXPECT_EQ(cost(200 * MS).ahead_us, 0U);
	EXPECT_EQ(cost(200 * MS).others_us, 0U);
	EXPECT_EQ(dw_expected_pace_percent(&engine.load, NOW), 100U);
}

/* A long prompt delays all streams beside it; a short one hardly. */
TEST_F(ExpectedCost, LongPromptsCostTheRequestsBesideThem)
{
	report(20, 0, 0);
	EXPECT_GT(cost(500 * MS).others_us, 20 * cost(20 * MS).others_us);
	report(2, 0, 0);
	EXPECT_LT(cost(500 * MS).others_us, 25 * MS);
}

/* Bounds of what is learnt: in a burst all wait long, and requests still have to stay with the engines
 * that have their prompts cached. */
TEST_F(ExpectedCost, DelayPerRunningRequestIsLearntWithinBounds)
{
	for (int i = 0; i < 5000; i++)
		dw_work_stats_started(&stats, 10, 50 * MS, 50 * MS + 20 * MS);
	EXPECT_NEAR((double)dw_work_delay_per_running_us(&stats), 2.0 * MS, 0.3 * MS);
	for (int i = 0; i < 5000; i++)
		dw_work_stats_started(&stats, 10, 50 * MS, 1000 * MS);
	EXPECT_EQ(dw_work_delay_per_running_us(&stats), 8 * MS);
	for (int i = 0; i < 50000; i++)
		dw_work_stats_started(&stats, 10, 50 * MS, 10 * MS);
	EXPECT_EQ(dw_work_delay_per_running_us(&stats), 1 * MS);
}

TEST_F(ExpectedCost, AFaultOfAnEngineIsNotLearntAsLoad)
{
	for (int i = 0; i < 100; i++)
		dw_work_stats_started(&stats, 1, 0, 60000 * MS);
	EXPECT_EQ(dw_work_delay_per_running_us(&stats), 4 * MS);
}

} // namespace
