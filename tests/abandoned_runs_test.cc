// Runs that were given up before their upstream ended. Faults: callers that leave early, an upstream that
// ends much later, a restart under the same id, a flood of callers that leave on purpose.
#include <gtest/gtest.h>

#include <memory>
#include <vector>

#include <dragonflywharf/abandoned_runs.h>

namespace
{

constexpr uint64_t MS = 1000;
constexpr uint64_t SECOND = 1000 * MS;
constexpr uint64_t NOW = 100 * SECOND;
constexpr dw_crash_upstream ENGINE = { 7, 100 };
constexpr dw_crash_upstream OTHER = { 8, 100 };
constexpr dw_fingerprint FIRST = { 1, 1 };
constexpr dw_fingerprint SECOND_REQUEST = { 2, 2 };

struct AbandonedRuns : testing::Test {
	std::unique_ptr<dw_abandoned_runs> runs{ new dw_abandoned_runs{} };

	void abandon(dw_fingerprint request, uint64_t at_us, dw_crash_upstream upstream = ENGINE)
	{
		dw_abandoned_run run = { upstream, request, at_us - 30 * MS, at_us };
		dw_abandoned_runs_add(runs.get(), &run, nullptr);
	}
	/* The upstream showed life until it ended, unless @p alive_at_us says otherwise. */
	std::vector<dw_fingerprint> take(uint64_t ended_at_us, uint32_t max = 8,
					 dw_crash_upstream upstream = ENGINE,
					 uint64_t alive_at_us = UINT64_MAX)
	{
		std::vector<dw_crash_run> found(max);
		dw_upstream_end end = { alive_at_us == UINT64_MAX ? ended_at_us : alive_at_us,
					ended_at_us };
		found.resize(dw_abandoned_runs_take(runs.get(), upstream, &end, found.data(), max));
		std::vector<dw_fingerprint> requests;
		for (const dw_crash_run &run : found) {
			EXPECT_TRUE(run.is_abandoned);
			requests.push_back(run.request);
		}
		return requests;
	}
};

TEST_F(AbandonedRuns, AnUpstreamThatEndsSoonAfterMayHaveEndedUnderIt)
{
	abandon(FIRST, NOW);
	abandon(SECOND_REQUEST, NOW + MS);
	abandon(FIRST, NOW, OTHER);
	std::vector<dw_fingerprint> found = take(NOW + 30 * MS);
	ASSERT_EQ(found.size(), 2U);
	EXPECT_TRUE(dw_fingerprint_equal(found[0], SECOND_REQUEST)) << "the last one first";
	EXPECT_TRUE(dw_fingerprint_equal(found[1], FIRST));
	EXPECT_TRUE(take(NOW + 31 * MS).empty()) << "it ends once";
	EXPECT_EQ(take(NOW + 30 * MS, 8, OTHER).size(), 1U);
}

/* The end was noticed elsewhere before the run was given up here. */
TEST_F(AbandonedRuns, ARunThatWasGivenUpAfterTheEndCounts)
{
	abandon(FIRST, NOW);
	EXPECT_EQ(take(NOW - 10 * MS).size(), 1U);
}

TEST_F(AbandonedRuns, RunsOutsideTheTimeOfTheEndDont)
{
	abandon(FIRST, NOW);
	EXPECT_TRUE(take(NOW + DW_ABANDONED_RUN_COUNTS_US + 1).empty()) << "long before";
	abandon(FIRST, NOW);
	EXPECT_TRUE(take(NOW - 31 * MS).empty()) << "sent after the end";
	abandon(FIRST, NOW);
	EXPECT_TRUE(take(NOW + MS, 8, { ENGINE.id, ENGINE.incarnation + 1 }).empty())
		<< "another run of the upstream";
	EXPECT_EQ(take(NOW + DW_ABANDONED_RUN_COUNTS_US).size(), 1U);
}

/* Guards against a request that silences its engine, and whose run is forgotten before the engine is back as
 * another lifetime. */
TEST_F(AbandonedRuns, ASilentUpstreamMayHaveEndedUnderItUntilItIsBack)
{
	abandon(FIRST, NOW);
	EXPECT_EQ(take(NOW + 6 * SECOND, 8, ENGINE, NOW - SECOND).size(), 1U);
	abandon(FIRST, NOW);
	EXPECT_EQ(take(NOW + 6 * SECOND, 8, ENGINE, 0).size(), 1U) << "it never showed life here";
	abandon(FIRST, NOW);
	EXPECT_EQ(take(NOW + 6 * SECOND, 8, ENGINE, NOW + 500 * MS).size(), 1U)
		<< "it stops its runs within a second";
	abandon(FIRST, NOW);
	EXPECT_TRUE(take(NOW + 6 * SECOND, 8, ENGINE, NOW + SECOND).empty())
		<< "it has outlived the run";
	abandon(FIRST, NOW);
	EXPECT_TRUE(take(NOW + DW_ABANDONED_RUN_SILENT_US + 1, 8, ENGINE, 0).empty())
		<< "too long before";
	abandon(FIRST, NOW);
	EXPECT_TRUE(take(NOW - 31 * MS, 8, ENGINE, 0).empty()) << "sent after the end";
}

TEST_F(AbandonedRuns, ItTellsHowLongTheEndCounts)
{
	EXPECT_EQ(dw_abandoned_runs_count_until_us(runs.get(), ENGINE), 0U);
	abandon(FIRST, NOW);
	abandon(SECOND_REQUEST, NOW - MS);
	EXPECT_EQ(dw_abandoned_runs_count_until_us(runs.get(), ENGINE),
		  NOW + DW_ABANDONED_RUN_COUNTS_US);
	EXPECT_EQ(dw_abandoned_runs_count_until_us(runs.get(), OTHER), 0U);
}

/* Callers leave by the thousand: memory is bounded, and the last runs are kept. */
TEST_F(AbandonedRuns, AFloodForgetsTheOldestRuns)
{
	for (uint64_t i = 1; i <= 5 * DW_ABANDONED_RUNS_MAX; i++)
		abandon({ i, 9 }, NOW + i);
	std::vector<dw_fingerprint> found = take(NOW + 10 * MS, 2 * DW_ABANDONED_RUNS_MAX);
	ASSERT_EQ(found.size(), (size_t)DW_ABANDONED_RUNS_MAX);
	EXPECT_EQ(found.front().low, 5U * DW_ABANDONED_RUNS_MAX);
	EXPECT_EQ(found.back().low, 4U * DW_ABANDONED_RUNS_MAX + 1);
}

/* One request that is left again and again doesn't push the others out. */
TEST_F(AbandonedRuns, RepeatsOfARequestTakeOnePlace)
{
	abandon(SECOND_REQUEST, NOW);
	for (uint64_t i = 1; i <= 2 * DW_ABANDONED_RUNS_MAX; i++)
		abandon(FIRST, NOW + i);
	EXPECT_EQ(take(NOW + 10 * MS).size(), 2U);
}

} // namespace
