#include <gtest/gtest.h>

#include <cmath>
#include <random>
#include <vector>

#include <dragonflywharf/cascade.h>

namespace
{

constexpr uint64_t kSeed = 77;
constexpr uint64_t kMinute = 60'000'000;

/** Finds a random value with which the plan doesn't explore. */
uint64_t random_without_exploration(const dw_cascade_step *steps, size_t count)
{
	for (uint64_t random = 1;; random++) {
		dw_cascade_request request = { 0, 0, random, 0 };
		dw_cascade_plan plan;

		EXPECT_EQ(dw_cascade_choose(&request, steps, count, &plan), DW_OK);
		if (!plan.is_exploration)
			return random;
	}
}

/** Reference implementation: lowest expected cost from @p step on, by recursion over all plans. */
double reference_cost(const std::vector<dw_cascade_step> &steps, size_t step, uint64_t left_us)
{
	if (step + 1 == steps.size())
		return steps[step].latency_us <= left_us ? (double)steps[step].cost_micros
							 : INFINITY;
	double cost_if_skipped = reference_cost(steps, step + 1, left_us);
	if (!steps[step].available || steps[step].latency_us > left_us)
		return cost_if_skipped;
	double remaining_cost = reference_cost(steps, step + 1, left_us - steps[step].latency_us);
	return std::min(cost_if_skipped, (double)steps[step].cost_micros +
						 (1.0 - steps[step].pass_rate) * remaining_cost);
}

TEST(Cascade, MatchesRecursionOverAllPlans)
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
		request.random = random_without_exploration(steps.data(), steps.size());
		request.deadline_us = 1000 + random() % 400000;
		double expected = reference_cost(steps, 0, request.deadline_us - 1000);

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

TEST(Cascade, SkipsAStepThatRarelyPassesOrMissesTheDeadline)
{
	std::vector<dw_cascade_step> steps = { { 1, 100, 400'000, 0.6, true },
					       { 2, 1000, 900'000, 1.0, true } };
	dw_cascade_request request = { 0, 2'000'000, random_without_exploration(steps.data(), 2),
				       0 };
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
	/* With a latency cost, the 0.8 s that the first step adds to the 95th percentile outweigh
	 * the saving of half the cost. */
	steps[0].pass_rate = 0.6;
	request.latency_cost_micros_per_s = 100'000;
	steps[0].latency_us = 800'000;
	ASSERT_EQ(dw_cascade_choose(&request, steps.data(), 2, &plan), DW_OK);
	EXPECT_EQ(plan.count, 1);
	steps[1].available = false;
	EXPECT_EQ(dw_cascade_choose(&request, steps.data(), 2, &plan), DW_UNAVAILABLE);
	EXPECT_EQ(dw_cascade_choose(&request, steps.data(), 0, &plan), DW_INVALID_ARGUMENT);
}

TEST(Cascade, ExploresAFixedShareOfPlansWithinTheDeadline)
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
	/* Half of the draws hit the skipped step, and half of the requests have no deadline. */
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

TEST(CascadeRates, AreLearnedDecayAndStayBounded)
{
	dw_cascade_rates *rates = dw_cascade_rates_new(64);
	uint64_t now = kMinute;

	EXPECT_DOUBLE_EQ(dw_cascade_rates_lookup(rates, 1, 2, 3, now), 0.75);
	for (int i = 0; i < 400; i++)
		dw_cascade_rates_learn(rates, 1, 2, 3, i % 10 != 0, now += 1000);
	EXPECT_NEAR(dw_cascade_rates_lookup(rates, 1, 2, 3, now), 0.9, 0.03);
	EXPECT_DOUBLE_EQ(dw_cascade_rates_lookup(rates, 1, 2, 4, now), 0.75);
	/* The prior of a new organisation is the rate over all organisations. */
	EXPECT_NEAR(dw_cascade_rates_lookup(rates, 7, 2, 3, now), 0.9, 0.03);
	/* A drop in a model's pass rate shows within a few hundred answers. */
	for (int i = 0; i < 300; i++)
		dw_cascade_rates_learn(rates, 1, 2, 3, false, now += 1000);
	EXPECT_LT(dw_cascade_rates_lookup(rates, 1, 2, 3, now), 0.3);
	/* With time the rate returns to the prior. */
	EXPECT_NEAR(dw_cascade_rates_lookup(rates, 1, 2, 3, now + 240 * kMinute), 0.75, 0.02);
	/* With more keys than rows, the oldest rows are replaced and the newest remain. */
	for (uint64_t key = 100; key < 100'000; key++)
		dw_cascade_rates_learn(rates, key, 2, 3, true, now += 10);
	EXPECT_GT(dw_cascade_rates_lookup(rates, 99'999, 2, 3, now), 0.5);
	dw_cascade_rates_free(rates);
}

} // namespace
