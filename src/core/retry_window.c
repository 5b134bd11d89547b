#include <dragonflywharf/retry_window.h>

/*
 * The window spans one bucket fewer than there are, so that the partly expired oldest bucket still
 * counts in full and no retry is forgotten too early.
 */
#define WINDOW_BUCKETS (DW_RETRY_WINDOW_BUCKETS - 1)

/*
 * As the window slides, requests leave it before the retries that they allowed. Only this part of
 * ratio_permille is used, so that the retries still in the window stay within the full ratio.
 */
#define RATIO_USED_PERMILLE 930

static uint64_t bucket_number(const struct dw_retry_window_options *options, uint64_t now_us)
{
	uint64_t span_us = options->window_us / WINDOW_BUCKETS;

	return now_us / (span_us > 0 ? span_us : 1);
}

static struct dw_retry_window_bucket *current_bucket(struct dw_retry_window *window,
						     const struct dw_retry_window_options *options,
						     uint64_t now_us)
{
	uint64_t number = bucket_number(options, now_us);
	struct dw_retry_window_bucket *bucket = &window->buckets[number % DW_RETRY_WINDOW_BUCKETS];

	if (bucket->number != number)
		*bucket = (struct dw_retry_window_bucket){ .number = number };
	return bucket;
}

void dw_retry_window_request(struct dw_retry_window *window,
			     const struct dw_retry_window_options *options, uint64_t now_us)
{
	current_bucket(window, options, now_us)->requests++;
}

uint32_t dw_retry_window_remaining(const struct dw_retry_window *window,
				   const struct dw_retry_window_options *options, uint64_t now_us)
{
	uint64_t current_number = bucket_number(options, now_us);
	uint64_t requests = 0;
	uint64_t retries = 0;
	uint64_t allowed;

	for (uint32_t i = 0; i < DW_RETRY_WINDOW_BUCKETS; i++) {
		const struct dw_retry_window_bucket *bucket = &window->buckets[i];

		if (bucket->number + DW_RETRY_WINDOW_BUCKETS <= current_number)
			continue;
		retries += bucket->retries;
		/*
		 * The oldest bucket may lie partly outside the window, so its requests don't count.
		 */
		if (bucket->number + WINDOW_BUCKETS > current_number)
			requests += bucket->requests;
	}
	allowed =
		requests * options->ratio_permille * RATIO_USED_PERMILLE / 1000000 + options->slack;
	return allowed > retries ? (uint32_t)(allowed - retries) : 0;
}

bool dw_retry_window_take(struct dw_retry_window *window,
			  const struct dw_retry_window_options *options, uint64_t now_us)
{
	if (dw_retry_window_remaining(window, options, now_us) == 0)
		return false;
	current_bucket(window, options, now_us)->retries++;
	return true;
}

uint32_t dw_retry_slack_part(uint64_t slack, uint32_t instances, uint32_t rank)
{
	uint64_t divisor = instances > 0 ? instances : 1;

	return (uint32_t)(slack / divisor) + (rank < slack % divisor);
}
