#include <gtest/gtest.h>

#include <dragonflywharf/model_escalation.h>

namespace
{

constexpr uint64_t MS = 1000;
const double COSTS[] = { 0.017, 0.13, 0.26 };

dw_escalation_context idle_context()
{
	return { 0, 2000 * MS, 8000 * MS, 300 * MS, 840, 0 };
}

TEST(ModelEscalation, ConfidenceMapsToAProbability)
{
	EXPECT_EQ(dw_escalation_good_permille(50), 500U);
	EXPECT_GT(dw_escalation_good_permille(100), 995U);
	EXPECT_LT(dw_escalation_good_permille(20), 10U);
	for (uint32_t c = 1; c <= 100; c++)
		EXPECT_GE(dw_escalation_good_permille(c), dw_escalation_good_permille(c - 1));
}

TEST(ModelEscalation, StartsWithTheLowestExpectedCost)
{
	dw_escalation_stats stats{};
	EXPECT_EQ(dw_escalation_first_model(&stats, COSTS, 3, true), 0U);
	EXPECT_EQ(dw_escalation_first_model(&stats, COSTS, 3, false), 2U)
		<< "no second attempt is allowed";
	EXPECT_EQ(dw_escalation_first_model(&stats, COSTS, 1, true), 0U);
	for (int i = 0; i < 2000; i++)
		dw_escalation_record(&stats, 0, 10, 840);
	EXPECT_NE(dw_escalation_first_model(&stats, COSTS, 3, true), 0U)
		<< "its answers are always dropped";
}

TEST(ModelEscalation, DropsALowConfidenceAnswerIfThereIsTime)
{
	dw_escalation_context context = idle_context();
	EXPECT_TRUE(dw_escalation_should_keep(&context, 90));
	EXPECT_FALSE(dw_escalation_should_keep(&context, 50));
	EXPECT_FALSE(dw_escalation_should_keep(&context, 0));
}

/* Burst: the largest model's answer would start after the latency target or after the deadline. */
TEST(ModelEscalation, KeepsAnAnswerIfTheLargestModelWouldBeLate)
{
	dw_escalation_context context = idle_context();
	context.largest_expected_us = 1300 * MS;
	EXPECT_TRUE(dw_escalation_should_keep(&context, 50));
	EXPECT_FALSE(dw_escalation_should_keep(&context, 20));
	context.largest_expected_us = 3000 * MS;
	EXPECT_TRUE(dw_escalation_should_keep(&context, 20));
	context.largest_expected_us = 9000 * MS;
	EXPECT_TRUE(dw_escalation_should_keep(&context, 0));
}

/* Under overload, with all slots in use, a run of the largest model makes other answers late. It is
 * then used only if its answer starts soon; on idle engines it may take longer. */
TEST(ModelEscalation, UnderLoadUsesTheLargestModelOnlyIfItStartsSoon)
{
	dw_escalation_context context = idle_context();
	context.largest_expected_us = 700 * MS;
	EXPECT_FALSE(dw_escalation_should_keep(&context, 40));
	context.load_permille = 1500;
	EXPECT_TRUE(dw_escalation_should_keep(&context, 40));
	context.largest_expected_us = 100 * MS;
	EXPECT_FALSE(dw_escalation_should_keep(&context, 40));
}

/* Monotonicity: a higher load and a longer wait never make the largest model be used more. */
TEST(ModelEscalation, MoreLoadOrWaitingNeverKeepsFewerAnswers)
{
	for (uint32_t confidence = 0; confidence <= 100; confidence += 5) {
		bool kept = false;
		for (uint32_t step = 0; step <= 40; step++) {
			dw_escalation_context context = idle_context();
			context.largest_expected_us = step * 60 * MS;
			context.load_permille = step * 40;
			bool keeps = dw_escalation_should_keep(&context, confidence);
			EXPECT_TRUE(keeps || !kept) << confidence << " step " << step;
			kept = keeps;
		}
	}
}

} // namespace
