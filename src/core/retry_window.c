#include <dragonflywharf/retry_window.h>

/* One bucket more than the window has, so that the oldest counts whole: repeats are never
 * forgotten too soon. */
#define WINDOW_BUCKETS (DW_RETRY_WINDOW_BUCKETS - 1)

/* Requests leave a window that slides on before the repeats that they allowed do, so this part of
 * the ratio is kept to. */
#define RATIO_USED_PERMILLE 930

static uint64_t bucket_number(const struct dw_retry_window_options *options, uint64_t now_us)
{
	uint64_t span_us = options->window_us / WINDOW_BUCKETS;

	return now_us / (span_us > 0 ? span_us : 1);
}

static struct dw_retry_window_bucket *current(struct dw_retry_window *window,
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
	current(window, options, now_us)->requests++;
}

uint32_t dw_retry_window_remaining(const struct dw_retry_window *window,
				   const struct dw_retry_window_options *options, uint64_t now_us)
{
	uint64_t newest = bucket_number(options, now_us);
	uint64_t requests = 0;
	uint64_t repeats = 0;
	uint64_t allowed;

	for (uint32_t i = 0; i < DW_RETRY_WINDOW_BUCKETS; i++) {
		const struct dw_retry_window_bucket *bucket = &window->buckets[i];

		if (bucket->number + DW_RETRY_WINDOW_BUCKETS <= newest)
			continue;
		repeats += bucket->retries;
		/* The oldest bucket may lie partly outside: its requests don't count. */
		if (bucket->number + WINDOW_BUCKETS > newest)
			requests += bucket->requests;
	}
	allowed =
		requests * options->ratio_permille * RATIO_USED_PERMILLE / 1000000 + options->slack;
	return allowed > repeats ? (uint32_t)(allowed - repeats) : 0;
}

bool dw_retry_window_take(struct dw_retry_window *window,
			  const struct dw_retry_window_options *options, uint64_t now_us)
{
	if (dw_retry_window_remaining(window, options, now_us) == 0)
		return false;
	current(window, options, now_us)->retries++;
	return true;
}
