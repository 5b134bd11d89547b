/**
 * @file retry_budget.h
 * Token bucket that limits retries to a share of the successes.
 *
 * Each organisation and each upstream has a budget; a retry takes a token from both. Successes
 * refill the bucket, so in a total overload retries fall to the floor rate. Amounts are integers in
 * thousandths of a token.
 */
#ifndef DRAGONFLYWHARF_RETRY_BUDGET_H
#define DRAGONFLYWHARF_RETRY_BUDGET_H

#include <stdbool.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

struct dw_retry_budget_options {
	uint32_t share_permille; /**< retries allowed per thousand successes */
	uint32_t floor_per_s; /**< retries per second allowed without any success */
	uint32_t max_tokens; /**< burst size */
};

/** Zero-initialise before first use: the bucket starts empty and fills from its first use on. */
struct dw_retry_budget {
	uint64_t millitokens;
	uint64_t refilled_at_us; /**< time of the last refill; 0: never used */
};

/** Defaults: 10% of the successes, a floor of 1 retry per second, a burst of 10. */
struct dw_retry_budget_options dw_retry_budget_default_options(void);

void dw_retry_budget_success(struct dw_retry_budget *budget,
			     const struct dw_retry_budget_options *options, uint64_t now_us);

/**
 * Takes a token from both budgets or from neither. Either may be NULL, which allows every retry.
 * @return false if a budget has no token.
 */
bool dw_retry_budget_take(struct dw_retry_budget *organisation, struct dw_retry_budget *upstream,
			  const struct dw_retry_budget_options *options, uint64_t now_us);

#ifdef __cplusplus
}
#endif

#endif
