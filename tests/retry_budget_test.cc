#include <gtest/gtest.h>

#include <random>

#include <dragonflywharf/retry_budget.h>

namespace
{

constexpr uint64_t SECOND = 1000000;

/*
 * Result of a run of requests over 10 s. A request that fails is retried until it succeeds or the
 * budget denies the retry.
 */
struct Outcome {
	uint64_t successes = 0;
	uint64_t retries = 0;
};

Outcome run(uint64_t requests, unsigned success_percent)
{
	std::mt19937_64 random(7);
	dw_retry_budget_options options = dw_retry_budget_default_options();
	dw_retry_budget organisation{};
	dw_retry_budget upstream{};
	Outcome outcome;
	for (uint64_t i = 0; i < requests; i++) {
		uint64_t now_us = SECOND + i * 10 * SECOND / requests;
		for (;;) {
			if (random() % 100 < success_percent) {
				dw_retry_budget_success(&organisation, &options, now_us);
				dw_retry_budget_success(&upstream, &options, now_us);
				outcome.successes++;
				break;
			}
			if (!dw_retry_budget_take(&organisation, &upstream, &options, now_us))
				break;
			outcome.retries++;
		}
	}
	return outcome;
}

TEST(RetryBudget, ATotalOverloadGetsOnlyTheFloor)
{
	EXPECT_LE(run(100000, 0).retries, 10u);
	EXPECT_GE(run(100000, 0).retries, 9u);
}

TEST(RetryBudget, RetriesStayWithinTheShareOfSuccesses)
{
	for (unsigned percent : { 10u, 50u, 95u }) {
		Outcome outcome = run(50000, percent);
		EXPECT_LE(outcome.retries, outcome.successes / 10 + 10) << percent;
		EXPECT_GE(outcome.retries, outcome.successes / 20) << percent;
	}
}

TEST(RetryBudget, TakesFromBothOrFromNeither)
{
	dw_retry_budget_options options = dw_retry_budget_default_options();
	dw_retry_budget organisation = { 1500, SECOND };
	dw_retry_budget upstream = { 999, SECOND };

	EXPECT_FALSE(dw_retry_budget_take(&organisation, &upstream, &options, SECOND));
	EXPECT_EQ(organisation.millitokens, 1500u);
	EXPECT_TRUE(dw_retry_budget_take(&organisation, &upstream, &options, SECOND + 1000));
	EXPECT_EQ(organisation.millitokens, 501u);
	EXPECT_EQ(upstream.millitokens, 0u);
}

} // namespace
