#include <dragonflywharf/retry_budget.h>

#include <stddef.h>

#define MILLITOKENS_PER_TOKEN UINT64_C(1000)
#define US_PER_MILLISECOND UINT64_C(1000)

struct dw_retry_budget_options dw_retry_budget_default_options(void)
{
	return (struct dw_retry_budget_options){
		.share_permille = 100,
		.floor_per_s = 1,
		.max_tokens = 10,
	};
}

static void add_millitokens(struct dw_retry_budget *budget,
			    const struct dw_retry_budget_options *options, uint64_t millitokens)
{
	uint64_t max = options->max_tokens * MILLITOKENS_PER_TOKEN;

	budget->millitokens += millitokens;
	if (budget->millitokens > max)
		budget->millitokens = max;
}

/*
 * Adds the tokens of the floor rate. One token per second is one millitoken per millisecond; a
 * remaining part of a millisecond counts at the next refill.
 */
static void refill_budget(struct dw_retry_budget *budget,
			  const struct dw_retry_budget_options *options, uint64_t now_us)
{
	uint64_t elapsed_ms;

	if (budget->refilled_at_us == 0) {
		budget->refilled_at_us = now_us;
		return;
	}
	if (now_us <= budget->refilled_at_us)
		return;
	elapsed_ms = (now_us - budget->refilled_at_us) / US_PER_MILLISECOND;
	budget->refilled_at_us += elapsed_ms * US_PER_MILLISECOND;
	add_millitokens(budget, options, elapsed_ms * options->floor_per_s);
}

void dw_retry_budget_success(struct dw_retry_budget *budget,
			     const struct dw_retry_budget_options *options, uint64_t now_us)
{
	refill_budget(budget, options, now_us);
	add_millitokens(budget, options, options->share_permille);
}

static bool has_token(struct dw_retry_budget *budget, const struct dw_retry_budget_options *options,
		      uint64_t now_us)
{
	if (!budget)
		return true;
	refill_budget(budget, options, now_us);
	return budget->millitokens >= MILLITOKENS_PER_TOKEN;
}

static void spend_token(struct dw_retry_budget *budget)
{
	if (budget)
		budget->millitokens -= MILLITOKENS_PER_TOKEN;
}

bool dw_retry_budget_take(struct dw_retry_budget *organisation, struct dw_retry_budget *upstream,
			  const struct dw_retry_budget_options *options, uint64_t now_us)
{
	/*
	 * Both budgets are checked even if the first has no token, because a bucket starts to fill
	 * at its first use.
	 */
	bool organisation_allows = has_token(organisation, options, now_us);
	bool upstream_allows = has_token(upstream, options, now_us);

	if (!organisation_allows || !upstream_allows)
		return false;
	spend_token(organisation);
	spend_token(upstream);
	return true;
}
