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
	/* Version that a request may be sent to: 'n' for new, 'o' for old, '-' for either. */
	char side(const char *pinned, uint64_t hash, uint64_t now_us, bool is_long = false)
	{
		dw_shift_request request = { pinned, hash, 12, is_long };
		dw_shift_constraint constraint = dw_shift_constrain(&shift, &request, now_us);
		return constraint.required_version ? 'n' : constraint.excluded_version ? 'o' : '-';
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

TEST_F(VersionShift, SessionsKeepTheirVersionInTheFirstHalf)
{
	for (uint32_t permille = 0; permille < 500; permille += 10) {
		EXPECT_EQ(side("v1", 0, at(permille)), 'o');
		EXPECT_EQ(side("v2", 999, at(permille)), 'n');
	}
	EXPECT_EQ(side("v1", 0, at(800)), 'n');
	EXPECT_EQ(side("v2", 999, at(600)), 'n')
		<< "a session must not return to the old version without a roll-back";
}

/* Guards against sending too much to a bad version that shows no evidence before it is under load:
 * the order allows it 15% of the requests plus 30, including the load test. */
TEST_F(VersionShift, LimitsTheRequestsBeforeTheShareIsRaised)
{
	std::mt19937_64 random(9);
	double seen = 0;
	double all = 0;
	for (uint64_t now_us = START; now_us < at(730); now_us += 20 * MS, all++)
		seen += side(nullptr, random(), now_us, random() % 4 == 0) == 'n';
	EXPECT_LT(seen, all / 0.73 * 0.15 + 30);
}

TEST_F(VersionShift, MovesAllRequestsBeforeItCompletes)
{
	EXPECT_EQ(dw_shift_share(&shift, at(0)), 0U);
	EXPECT_EQ(dw_shift_share(&shift, at(780)), 1000U);
	EXPECT_EQ(dw_shift_next_state(&shift, at(780)), DW_SHIFT_RUNNING);
	EXPECT_EQ(dw_shift_next_state(&shift, at(920)), DW_SHIFT_COMPLETED);
}

TEST_F(VersionShift, FailuresOfTheNewVersionRollItBack)
{
	answers(DW_SHIFT_OLD, 100, 1, at(100));
	answers(DW_SHIFT_NEW, 6, 3, at(100));
	EXPECT_EQ(dw_shift_next_state(&shift, at(200)), DW_SHIFT_RUNNING);
	answers(DW_SHIFT_NEW, 0, 1, at(100));
	EXPECT_EQ(dw_shift_next_state(&shift, at(200)), DW_SHIFT_ROLLED_BACK);
}

/* Guards against rolling back for failures that affect both versions alike, such as lost or damaged
 * answers. */
TEST_F(VersionShift, FailuresOfBothVersionsDontRollItBack)
{
	answers(DW_SHIFT_OLD, 80, 20, at(100));
	answers(DW_SHIFT_NEW, 16, 5, at(100));
	EXPECT_EQ(dw_shift_next_state(&shift, at(200)), DW_SHIFT_RUNNING);
}

TEST_F(VersionShift, SlowAnswersRollItBack)
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

/* Of 58 requests to a version that was slow, 19 were answered in the first half: callers left before
 * the others, and answers of slow engines end late. Both count when the wait is over. */
TEST_F(VersionShift, WaitsThatEndWithoutAnAnswerCount)
{
	dw_shift_wait usual = { 150 * MS, 100 * MS, true };
	dw_shift_wait left_early = { 300 * MS, 100 * MS, false };
	dw_shift_wait left_late = { 2000 * MS, 100 * MS, false };
	for (int i = 0; i < 50; i++)
		dw_shift_count_wait(&shift, DW_SHIFT_OLD, &usual, at(100));
	for (int i = 0; i < 6; i++) {
		dw_shift_count_wait(&shift, DW_SHIFT_NEW, &usual, at(100));
		dw_shift_count_wait(&shift, DW_SHIFT_NEW, &left_early, at(100));
	}
	EXPECT_EQ(shift.own.counts[DW_SHIFT_NEW].timed, 6U) << "left early: says nothing";
	EXPECT_EQ(dw_shift_next_state(&shift, at(200)), DW_SHIFT_RUNNING);
	for (int i = 0; i < 6; i++)
		dw_shift_count_wait(&shift, DW_SHIFT_NEW, &left_late, at(100));
	EXPECT_EQ(dw_shift_next_state(&shift, at(200)), DW_SHIFT_ROLLED_BACK);
}

/* Counts of slow and timed answers, of the new and the old version, from rollouts under traffic: of
 * versions of which a part of the answers was slow, and of good ones, some in trouble. */
TEST_F(VersionShift, FewSlowAnswersAreJudgedByTheirNumber)
{
	struct {
		uint32_t new_slow, new_timed, old_slow, old_timed;
		dw_shift_state expected;
	} cases[] = {
		{ 7, 15, 81, 477, DW_SHIFT_ROLLED_BACK },
		{ 43, 147, 111, 970, DW_SHIFT_ROLLED_BACK },
		{ 34, 120, 111, 915, DW_SHIFT_ROLLED_BACK },
		{ 10, 31, 55, 387, DW_SHIFT_RUNNING },
		{ 55, 242, 67, 693, DW_SHIFT_RUNNING },
		{ 16, 121, 37, 408, DW_SHIFT_RUNNING },
		{ 5, 47, 84, 393, DW_SHIFT_RUNNING },
		{ 5, 10, 0, 400, DW_SHIFT_RUNNING },
		{ 6, 10, 0, 0, DW_SHIFT_ROLLED_BACK },
	};
	for (const auto &each : cases) {
		shift.peers.counts[DW_SHIFT_NEW] = { 0, 0, each.new_timed, each.new_slow };
		shift.peers.counts[DW_SHIFT_OLD] = { 0, 0, each.old_timed, each.old_slow };
		EXPECT_EQ(dw_shift_next_state(&shift, at(500)), each.expected)
			<< each.new_slow << " of " << each.new_timed;
	}
}

TEST_F(VersionShift, EvidenceOfOtherInstancesCounts)
{
	shift.peers.counts[DW_SHIFT_NEW] = { 10, 5, 0, 0 };
	shift.peers.counts[DW_SHIFT_OLD] = { 100, 1, 0, 0 };
	EXPECT_EQ(dw_shift_next_state(&shift, at(100)), DW_SHIFT_ROLLED_BACK);
}

/* Guards against missing a version that is bad only under load: before its share is raised, long
 * requests load one of its engines. */
TEST_F(VersionShift, LongRequestsLoadOneEngineInTheSecondHalf)
{
	dw_shift_request request = { "v1", 999, 12, true };
	dw_shift_constraint constraint = dw_shift_constrain(&shift, &request, at(600));
	EXPECT_TRUE(constraint.is_load_test);
	EXPECT_STREQ(constraint.required_version, "v2");
	EXPECT_EQ(constraint.engines_permille, 1U);
	dw_shift_answer loaded = { false, 900 * MS, 100 * MS, 600 };
	for (int i = 0; i < 3; i++)
		dw_shift_count_answer(&shift, DW_SHIFT_NEW, &loaded, at(600));
	EXPECT_FALSE(dw_shift_constrain(&shift, &request, at(600)).is_load_test)
		<< "the version has passed the load test";
	EXPECT_EQ(shift.own.counts[DW_SHIFT_NEW].timed, 0U)
		<< "answers that are slow because of the load test don't count";
}

/* Guards against overloading the tested engine: all long requests of a large service would be too
 * many, so only a part of them takes part in the load test. */
TEST_F(VersionShift, LargeServicesUseAPartOfTheLongRequestsForTheLoadTest)
{
	std::mt19937_64 random(4);
	int load_tests = 0;
	for (int i = 0; i < 9000; i++) {
		dw_shift_request request = { "v1", random(), 90, true };
		load_tests += dw_shift_constrain(&shift, &request, at(600)).is_load_test;
	}
	EXPECT_NEAR(load_tests, 1200, 150);
}

TEST_F(VersionShift, LargeServicesStartWithASmallerShare)
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

TEST_F(VersionShift, OutcomesOfOtherOrdersAreIgnored)
{
	dw_shift_set_outcome(&shift, DW_SHIFT_COMPLETED, "v2", 4);
	EXPECT_EQ(shift.state, DW_SHIFT_RUNNING) << "older than the order";
	dw_shift_set_outcome(&shift, DW_SHIFT_COMPLETED, "v3", 6);
	EXPECT_EQ(shift.state, DW_SHIFT_RUNNING) << "for another target version";
	dw_shift_set_outcome(&shift, DW_SHIFT_ROLLED_BACK, "v2", 7);
	EXPECT_EQ(shift.state, DW_SHIFT_ROLLED_BACK);
	EXPECT_EQ(side("v2", 0, at(900)), 'o');
	order(3, "v9");
	EXPECT_EQ(shift.state, DW_SHIFT_ROLLED_BACK) << "an older order must be ignored";
	order(8, "v3");
	EXPECT_EQ(shift.state, DW_SHIFT_RUNNING);
}

TEST_F(VersionShift, LateInstancesCatchUpWithTheProgress)
{
	dw_shift_catch_up(&shift, 600, START + SECOND);
	EXPECT_EQ(dw_shift_progress(&shift, START + SECOND), 600U);
	dw_shift_catch_up(&shift, 100, START + SECOND);
	EXPECT_EQ(dw_shift_progress(&shift, START + SECOND), 600U);
}

} // namespace
