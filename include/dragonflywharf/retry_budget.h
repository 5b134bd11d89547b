/**
 * @file retry_budget.h
 * Token bucket that bounds retries to a share of the successes.
 *
 * One budget an organisation and one an upstream; a retry takes a token from both. Successes feed
 * the bucket, so in a total overload retries fall to the floor. Integer arithmetic in thousandths
 * of a token.
 */
#ifndef DRAGONFLYWHARF_RETRY_BUDGET_H
#define DRAGONFLYWHARF_RETRY_BUDGET_H

#include <stdbool.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

struct dw_retry_budget_options {
	uint32_t share_permille; /**< retries allowed for each thousand successes */
	uint32_t floor_per_s; /**< retries a second allowed without any success */
	uint32_t max_tokens; /**< burst */
};

/** Zero-initialise before first use: an empty bucket that fills from its first use on. */
struct dw_retry_budget {
	uint64_t millitokens;
	uint64_t refilled_at_us; /**< 0: never used */
};

/** 10% of the successes, 1 retry a second, a burst of 10. */
struct dw_retry_budget_options dw_retry_budget_default_options(void);

void dw_retry_budget_success(struct dw_retry_budget *budget,
			     const struct dw_retry_budget_options *options, uint64_t now_us);

/** Takes a token from both budgets, or from neither. Either may be NULL. */
bool dw_retry_budget_take(struct dw_retry_budget *organisation, struct dw_retry_budget *upstream,
			  const struct dw_retry_budget_options *options, uint64_t now_us);

#ifdef __cplusplus
}
#endif

#endif
