#include <gtest/gtest.h>

#include <cmath>
#include <random>
#include <vector>

#include <dragonflywharf/cascade.h>

namespace
{

constexpr uint64_t kSeed = 77;
constexpr uint64_t kMinute = 60'000'000;

/** A draw that explores nothing. */
uint64_t quiet_random(const dw_cascade_step *steps, size_t count)
{
	for (uint64_t random = 1;; random++) {
		dw_cascade_request request = { 0, 0, random, 0 };
		dw_cascade_plan plan;

		EXPECT_EQ(dw_cascade_choose(&request, steps, count, &plan), DW_OK);
		if (!plan.is_exploration)
			return random;
	}
}

/** Expected cost from step @p step on by plain recursion over all ways to go on. */
double naive_cost(const std::vector<dw_cascade_step> &steps, size_t step, uint64_t left_us)
{
	if (step + 1 == steps.size())
		return steps[step].latency_us <= left_us ? (double)steps[step].cost_micros
							 : INFINITY;
	double skipped = naive_cost(steps, step + 1, left_us);
	if (!steps[step].available || steps[step].latency_us > left_us)
		return skipped;
	double rest = naive_cost(steps, step + 1, left_us - steps[step].latency_us);
	return std::min(skipped,
			(double)steps[step].cost_micros + (1.0 - steps[step].pass_rate) * rest);
}

TEST(Cascade, AgreesWithPlainRecursionOverAllPlans)
{
	std::mt19937_64 random(kSeed);

	for (int round = 0; round < 5000; round++) {
		std::vector<dw_cascade_step> steps(1 + random() % DW_CASCADE_STEPS_MAX);
		dw_cascade_request request = { 1000, 0, 0, 0 };
		dw_cascade_plan plan;
		uint64_t cost = 0;

		for (auto &step : steps) {
			cost += 1 + random() % 1000;
			step = { random(), cost, 1000 + random() % 100000,
				 (double)(random() % 1000) / 1000, random() % 8 != 0 };
		}
		steps.back().available = true;
		request.random = quiet_random(steps.data(), steps.size());
		request.deadline_us = 1000 + random() % 400000;
		double expected = naive_cost(steps, 0, request.deadline_us - 1000);

		ASSERT_EQ(dw_cascade_choose(&request, steps.data(), steps.size(), &plan), DW_OK);
		if (std::isinf(expected)) {
			ASSERT_TRUE(plan.misses_deadline);
			ASSERT_EQ(plan.count, 1);
			continue;
		}
		ASSERT_FALSE(plan.misses_deadline);
		ASSERT_NEAR((double)plan.expected_cost_micros, expected, 2.0) << "round " << round;
		ASSERT_LE(1000 + plan.longest_us, request.deadline_us);
		ASSERT_EQ(plan.steps[plan.count - 1], steps.size() - 1);
	}
}

TEST(Cascade, SkipsACheapStepThatSeldomPassesOrThatTheDeadlineDoesNotAllow)
{
	std::vector<dw_cascade_step> steps = { { 1, 100, 400'000, 0.6, true },
					       { 2, 1000, 900'000, 1.0, true } };
	dw_cascade_request request = { 0, 2'000'000, quiet_random(steps.data(), 2), 0 };
	dw_cascade_plan plan;

	ASSERT_EQ(dw_cascade_choose(&request, steps.data(), 2, &plan), DW_OK);
	EXPECT_EQ(plan.count, 2);
	EXPECT_EQ(plan.expected_cost_micros, 500U);
	request.deadline_us = 1'200'000;
	ASSERT_EQ(dw_cascade_choose(&request, steps.data(), 2, &plan), DW_OK);
	EXPECT_EQ(plan.count, 1);
	request.deadline_us = 2'000'000;
	steps[0].pass_rate = 0.09;
	ASSERT_EQ(dw_cascade_choose(&request, steps.data(), 2, &plan), DW_OK);
	EXPECT_EQ(plan.count, 1);
	/* Waiting has a price: 0.4 x 0.9 s more time against half the cost. */
	steps[0].pass_rate = 0.6;
	request.latency_cost_micros_per_s = 100'000;
	steps[0].latency_us = 800'000;
	ASSERT_EQ(dw_cascade_choose(&request, steps.data(), 2, &plan), DW_OK);
	EXPECT_EQ(plan.count, 1);
	steps[1].available = false;
	EXPECT_EQ(dw_cascade_choose(&request, steps.data(), 2, &plan), DW_UNAVAILABLE);
	EXPECT_EQ(dw_cascade_choose(&request, steps.data(), 0, &plan), DW_INVALID_ARGUMENT);
}

TEST(Cascade, ExploresInABoundedShareOfPlansAndNeverPastTheDeadline)
{
	std::vector<dw_cascade_step> steps = { { 1, 900, 400'000, 0.01, true },
					       { 2, 1000, 900'000, 1.0, true } };
	std::mt19937_64 random(kSeed);
	int explored = 0;
	dw_cascade_plan plan;

	for (int i = 0; i < 100'000; i++) {
		dw_cascade_request request = { 0, i % 2 ? 0 : 1'000'000U, random(), 0 };

		ASSERT_EQ(dw_cascade_choose(&request, steps.data(), 2, &plan), DW_OK);
		ASSERT_TRUE(!plan.is_exploration || request.deadline_us == 0);
		explored += plan.is_exploration;
	}
	/* One of the two steps is skipped, and half of the requests have a deadline. */
	EXPECT_LE(explored, 100'000 * DW_CASCADE_EXPLORE_PERMILLE / 1000 / 4 * 6 / 5);
	EXPECT_GE(explored, 100'000 * DW_CASCADE_EXPLORE_PERMILLE / 1000 / 4 * 4 / 5);
}

TEST(Cascade, ReleasesOnlyPassingAnswersBeforeTheLastStep)
{
	dw_cascade_plan plan = {};

	plan.count = 2;
	EXPECT_FALSE(dw_cascade_may_release(&plan, 0, true, 799, 800));
	EXPECT_TRUE(dw_cascade_may_release(&plan, 0, true, 800, 800));
	EXPECT_FALSE(dw_cascade_may_release(&plan, 0, false, 1000, 800));
	EXPECT_TRUE(dw_cascade_may_release(&plan, 1, false, 0, 800));
}

TEST(CascadeRates, LearnForgetAndStayBounded)
{
	dw_cascade_rates *rates = dw_cascade_rates_new(64);
	uint64_t now = kMinute;

	EXPECT_DOUBLE_EQ(dw_cascade_rates_lookup(rates, 1, 2, 3, now), 0.75);
	for (int i = 0; i < 400; i++)
		dw_cascade_rates_learn(rates, 1, 2, 3, i % 10 != 0, now += 1000);
	EXPECT_NEAR(dw_cascade_rates_lookup(rates, 1, 2, 3, now), 0.9, 0.03);
	EXPECT_DOUBLE_EQ(dw_cascade_rates_lookup(rates, 1, 2, 4, now), 0.75);
	/* An organisation without evidence starts from what the others have seen. */
	EXPECT_NEAR(dw_cascade_rates_lookup(rates, 7, 2, 3, now), 0.9, 0.03);
	/* A model that turns bad shows within a few hundred answers. */
	for (int i = 0; i < 300; i++)
		dw_cascade_rates_learn(rates, 1, 2, 3, false, now += 1000);
	EXPECT_LT(dw_cascade_rates_lookup(rates, 1, 2, 3, now), 0.3);
	/* Old evidence fades to the prior. */
	EXPECT_NEAR(dw_cascade_rates_lookup(rates, 1, 2, 3, now + 240 * kMinute), 0.75, 0.02);
	/* More keys than rows: the oldest go, the newest is there. */
	for (uint64_t key = 100; key < 100'000; key++)
		dw_cascade_rates_learn(rates, key, 2, 3, true, now += 10);
	EXPECT_GT(dw_cascade_rates_lookup(rates, 99'999, 2, 3, now), 0.5);
	dw_cascade_rates_free(rates);
}

} // namespace
