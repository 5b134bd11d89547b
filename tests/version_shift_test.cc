#include <gtest/gtest.h>

#include <cstdio>
#include <cstring>
#include <random>

#include <dragonflywharf/version_shift.h>

namespace
{

constexpr uint64_t MS = 1000;
constexpr uint64_t SECOND = 1000 * MS;
constexpr uint64_t START = 100 * SECOND;

struct VersionShift : testing::Test {
	dw_shift shift{};

	VersionShift()
	{
		order(5, "v2");
	}
	void order(uint64_t revision, const char *target)
	{
		dw_shift_order order{};
		snprintf(order.service, sizeof(order.service), "llm");
		snprintf(order.target_version, sizeof(order.target_version), "%s", target);
		order.duration_us = 20 * SECOND;
		order.revision = revision;
		dw_shift_set_order(&shift, &order, START);
	}
	uint64_t at(uint32_t permille) const
	{
		return START + permille * 20 * MS;
	}
	/* Which side a request goes to: 'n'ew, 'o'ld or '-' for either. */
	char side(const char *pinned, uint64_t hash, uint64_t now_us, bool is_long = false)
	{
		dw_shift_request request = { pinned, hash, 12, is_long };
		dw_shift_constraint demand = dw_shift_constrain(&shift, &request, now_us);
		return demand.required_version ? 'n' : demand.excluded_version ? 'o' : '-';
	}
	void answers(dw_shift_side which, int good, int bad, uint64_t now_us)
	{
		dw_shift_answer answer = { false, 100 * MS, 100 * MS, 0 };
		for (int i = 0; i < good + bad; i++) {
			answer.failed = i < bad;
			dw_shift_count_answer(&shift, which, &answer, now_us);
		}
	}
};

TEST_F(VersionShift, ASessionKeepsItsVersionInTheFirstHalf)
{
	for (uint32_t permille = 0; permille < 500; permille += 10) {
		EXPECT_EQ(side("v1", 0, at(permille)), 'o');
		EXPECT_EQ(side("v2", 999, at(permille)), 'n');
	}
	EXPECT_EQ(side("v1", 0, at(800)), 'n');
	EXPECT_EQ(side("v2", 999, at(600)), 'n') << "never back while it isn't rolled back";
}

/* The order's bound: a bad version may get 15% of the requests and 30 besides, load test included. */
TEST_F(VersionShift, ASilentBadVersionGetsLittleBeforeItIsLoaded)
{
	std::mt19937_64 random(9);
	double seen = 0;
	double all = 0;
	for (uint64_t now_us = START; now_us < at(730); now_us += 20 * MS, all++)
		seen += side(nullptr, random(), now_us, random() % 4 == 0) == 'n';
	EXPECT_LT(seen, all / 0.73 * 0.15 + 30);
}

TEST_F(VersionShift, AllRequestsAreMovedWellBeforeItIsCompleted)
{
	EXPECT_EQ(dw_shift_share(&shift, at(0)), 0U);
	EXPECT_EQ(dw_shift_share(&shift, at(780)), 1000U);
	EXPECT_EQ(dw_shift_next_state(&shift, at(780)), DW_SHIFT_RUNNING);
	EXPECT_EQ(dw_shift_next_state(&shift, at(920)), DW_SHIFT_COMPLETED);
}

TEST_F(VersionShift, ItsFailuresRollItBack)
{
	answers(DW_SHIFT_OLD, 100, 1, at(100));
	answers(DW_SHIFT_NEW, 6, 3, at(100));
	EXPECT_EQ(dw_shift_next_state(&shift, at(200)), DW_SHIFT_RUNNING);
	answers(DW_SHIFT_NEW, 0, 1, at(100));
	EXPECT_EQ(dw_shift_next_state(&shift, at(200)), DW_SHIFT_ROLLED_BACK);
}

/* Lost answers and spoilt ones hit both versions alike. */
TEST_F(VersionShift, TroubleOfBothVersionsIsNoEvidence)
{
	answers(DW_SHIFT_OLD, 80, 20, at(100));
	answers(DW_SHIFT_NEW, 16, 5, at(100));
	EXPECT_EQ(dw_shift_next_state(&shift, at(200)), DW_SHIFT_RUNNING);
}

TEST_F(VersionShift, APartOfSlowAnswersRollsItBack)
{
	dw_shift_answer usual = { false, 150 * MS, 100 * MS, 0 };
	dw_shift_answer slow = { false, 800 * MS, 100 * MS, 0 };
	for (int i = 0; i < 50; i++)
		dw_shift_count_answer(&shift, DW_SHIFT_OLD, &usual, at(100));
	for (int i = 0; i < 6; i++) {
		dw_shift_count_answer(&shift, DW_SHIFT_NEW, &usual, at(100));
		dw_shift_count_answer(&shift, DW_SHIFT_NEW, &slow, at(100));
	}
	EXPECT_EQ(dw_shift_next_state(&shift, at(200)), DW_SHIFT_ROLLED_BACK);
}

TEST_F(VersionShift, EvidenceOfTheOthersCounts)
{
	shift.peers.counts[DW_SHIFT_NEW] = { 10, 5, 0, 0 };
	shift.peers.counts[DW_SHIFT_OLD] = { 100, 1, 0, 0 };
	EXPECT_EQ(dw_shift_next_state(&shift, at(100)), DW_SHIFT_ROLLED_BACK);
}

/* A version that is bad under load only: long answers load one engine before it gets more. */
TEST_F(VersionShift, LongAnswersLoadOneEngineInTheSecondHalf)
{
	dw_shift_request request = { "v1", 999, 12, true };
	dw_shift_constraint demand = dw_shift_constrain(&shift, &request, at(600));
	EXPECT_TRUE(demand.is_load_test);
	EXPECT_STREQ(demand.required_version, "v2");
	EXPECT_EQ(demand.engines_permille, 1U);
	dw_shift_answer loaded = { false, 900 * MS, 100 * MS, 600 };
	for (int i = 0; i < 3; i++)
		dw_shift_count_answer(&shift, DW_SHIFT_NEW, &loaded, at(600));
	EXPECT_FALSE(dw_shift_constrain(&shift, &request, at(600)).is_load_test)
		<< "it bore the load";
	EXPECT_EQ(shift.own.counts[DW_SHIFT_NEW].timed, 0U) << "its slowness was our doing";
}

/* A large service: a part of its long answers loads one engine, all of them would overrun it. */
TEST_F(VersionShift, ALargeServiceLoadsItsEngineWithAPartOfTheLongAnswers)
{
	std::mt19937_64 random(4);
	int loads = 0;
	for (int i = 0; i < 9000; i++) {
		dw_shift_request request = { "v1", random(), 90, true };
		loads += dw_shift_constrain(&shift, &request, at(600)).is_load_test;
	}
	EXPECT_NEAR(loads, 1200, 150);
}

TEST_F(VersionShift, ALargeServiceTriesTheVersionWithASmallerShare)
{
	int small = 0;
	int large = 0;
	for (uint64_t hash = 0; hash < 1000; hash++) {
		dw_shift_request request = { nullptr, hash, 12, false };
		small += dw_shift_constrain(&shift, &request, at(200)).required_version != nullptr;
		request.target_engines = 96;
		large += dw_shift_constrain(&shift, &request, at(200)).required_version != nullptr;
	}
	EXPECT_EQ(small, 100);
	EXPECT_EQ(large, 25);
}

TEST_F(VersionShift, AnOutcomeOfAnotherOrderIsIgnored)
{
	dw_shift_set_outcome(&shift, DW_SHIFT_COMPLETED, "v2", 4);
	EXPECT_EQ(shift.state, DW_SHIFT_RUNNING) << "older than the order";
	dw_shift_set_outcome(&shift, DW_SHIFT_COMPLETED, "v3", 6);
	EXPECT_EQ(shift.state, DW_SHIFT_RUNNING) << "of another target";
	dw_shift_set_outcome(&shift, DW_SHIFT_ROLLED_BACK, "v2", 7);
	EXPECT_EQ(shift.state, DW_SHIFT_ROLLED_BACK);
	EXPECT_EQ(side("v2", 0, at(900)), 'o');
	order(3, "v9");
	EXPECT_EQ(shift.state, DW_SHIFT_ROLLED_BACK) << "an old order";
	order(8, "v3");
	EXPECT_EQ(shift.state, DW_SHIFT_RUNNING);
}

TEST_F(VersionShift, AnInstanceThatStartsLateFallsIn)
{
	dw_shift_catch_up(&shift, 600, START + SECOND);
	EXPECT_EQ(dw_shift_progress(&shift, START + SECOND), 600U);
	dw_shift_catch_up(&shift, 100, START + SECOND);
	EXPECT_EQ(dw_shift_progress(&shift, START + SECOND), 600U);
}

} // namespace
