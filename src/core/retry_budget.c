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

static void budget_add(struct dw_retry_budget *budget,
		       const struct dw_retry_budget_options *options, uint64_t millitokens)
{
	uint64_t max = options->max_tokens * MILLITOKENS_PER_TOKEN;

	budget->millitokens += millitokens;
	if (budget->millitokens > max)
		budget->millitokens = max;
}

/* One token a second is one millitoken a millisecond; the rest of a millisecond is carried on. */
static void budget_fill(struct dw_retry_budget *budget,
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
	budget_add(budget, options, elapsed_ms * options->floor_per_s);
}

void dw_retry_budget_success(struct dw_retry_budget *budget,
			     const struct dw_retry_budget_options *options, uint64_t now_us)
{
	budget_fill(budget, options, now_us);
	budget_add(budget, options, options->share_permille);
}

static bool budget_has_token(struct dw_retry_budget *budget,
			     const struct dw_retry_budget_options *options, uint64_t now_us)
{
	if (!budget)
		return true;
	budget_fill(budget, options, now_us);
	return budget->millitokens >= MILLITOKENS_PER_TOKEN;
}

static void budget_spend(struct dw_retry_budget *budget)
{
	if (budget)
		budget->millitokens -= MILLITOKENS_PER_TOKEN;
}

bool dw_retry_budget_take(struct dw_retry_budget *organisation, struct dw_retry_budget *upstream,
			  const struct dw_retry_budget_options *options, uint64_t now_us)
{
	/* Both are asked, as a bucket begins to fill when it is first used. */
	bool organisation_allows = budget_has_token(organisation, options, now_us);
	bool upstream_allows = budget_has_token(upstream, options, now_us);

	if (!organisation_allows || !upstream_allows)
		return false;
	budget_spend(organisation);
	budget_spend(upstream);
	return true;
}
