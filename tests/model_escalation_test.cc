#include <gtest/gtest.h>

#include <dragonflywharf/model_escalation.h>

namespace
{

constexpr uint64_t MS = 1000;
const double COSTS[] = { 0.017, 0.13, 0.26 };

dw_escalation_context idle()
{
	return { 0, 2000 * MS, 8000 * MS, 300 * MS, 840, 0 };
}

TEST(ModelEscalation, ConfidenceReadsAsAProbability)
{
	EXPECT_EQ(dw_escalation_good_permille(50), 500U);
	EXPECT_GT(dw_escalation_good_permille(100), 995U);
	EXPECT_LT(dw_escalation_good_permille(20), 10U);
	for (uint32_t c = 1; c <= 100; c++)
		EXPECT_GE(dw_escalation_good_permille(c), dw_escalation_good_permille(c - 1));
}

TEST(ModelEscalation, TheCheapestWayToAGoodAnswerBegins)
{
	dw_escalation_stats ladder{};
	EXPECT_EQ(dw_escalation_first_model(&ladder, COSTS, 3, true), 0U);
	EXPECT_EQ(dw_escalation_first_model(&ladder, COSTS, 3, false), 2U)
		<< "no second send is allowed";
	EXPECT_EQ(dw_escalation_first_model(&ladder, COSTS, 1, true), 0U);
	for (int i = 0; i < 2000; i++)
		dw_escalation_record(&ladder, 0, 10, 840);
	EXPECT_NE(dw_escalation_first_model(&ladder, COSTS, 3, true), 0U)
		<< "its answers are always dropped";
}

TEST(ModelEscalation, ADoubtfulAnswerIsDroppedWhileThereIsTime)
{
	dw_escalation_context situation = idle();
	EXPECT_TRUE(dw_escalation_should_keep(&situation, 90));
	EXPECT_FALSE(dw_escalation_should_keep(&situation, 50));
	EXPECT_FALSE(dw_escalation_should_keep(&situation, 0));
}

/* Burst: the largest model's answer would begin after the target, or after the deadline. */
TEST(ModelEscalation, AnAnswerNowIsBetterThanOneOfTheLargestModelThatIsLate)
{
	dw_escalation_context situation = idle();
	situation.largest_expected_us = 1300 * MS;
	EXPECT_TRUE(dw_escalation_should_keep(&situation, 50));
	EXPECT_FALSE(dw_escalation_should_keep(&situation, 20));
	situation.largest_expected_us = 3000 * MS;
	EXPECT_TRUE(dw_escalation_should_keep(&situation, 20));
	situation.largest_expected_us = 9000 * MS;
	EXPECT_TRUE(dw_escalation_should_keep(&situation, 0));
}

/* Overload, all slots taken: a run of the largest model makes other answers late, so it is for those
 * it begins soon for; on free engines the same answer is asked of it. */
TEST(ModelEscalation, OnFullEnginesTheLargestModelIsForAnswersThatBeginSoon)
{
	dw_escalation_context situation = idle();
	situation.largest_expected_us = 700 * MS;
	EXPECT_FALSE(dw_escalation_should_keep(&situation, 40));
	situation.load_permille = 1500;
	EXPECT_TRUE(dw_escalation_should_keep(&situation, 40));
	situation.largest_expected_us = 100 * MS;
	EXPECT_FALSE(dw_escalation_should_keep(&situation, 40));
}

/* Whatever the load, more of it never makes the largest model be asked more often. */
TEST(ModelEscalation, LoadAndWaitOnlyEverKeepMoreAnswers)
{
	for (uint32_t confidence = 0; confidence <= 100; confidence += 5) {
		bool kept = false;
		for (uint32_t step = 0; step <= 40; step++) {
			dw_escalation_context situation = idle();
			situation.largest_expected_us = step * 60 * MS;
			situation.load_permille = step * 40;
			bool keeps = dw_escalation_should_keep(&situation, confidence);
			EXPECT_TRUE(keeps || !kept) << confidence << " step " << step;
			kept = keeps;
		}
	}
}

} // namespace
