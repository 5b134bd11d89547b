/**
 * @file retry_window.h
 * Limits the retries to a service in every sliding window of time.
 *
 * All instances together may send at most ratio x requests + slack retries in any window. Each
 * instance keeps to the ratio of its own requests and to its part of the slack, so the sum keeps to
 * the limit without any communication.
 */
#ifndef DRAGONFLYWHARF_RETRY_WINDOW_H
#define DRAGONFLYWHARF_RETRY_WINDOW_H

#include <stdbool.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

#define DW_RETRY_WINDOW_BUCKETS 32

struct dw_retry_window_options {
	uint64_t window_us;
	uint32_t ratio_permille; /**< retries allowed per thousand requests */
	uint32_t slack; /**< further retries allowed; this instance's part */
};

struct dw_retry_window_bucket {
	/**
	 * index of the bucket's time span; a bucket with another number than expected is outdated
	 * and counts as empty
	 */
	uint64_t number;
	uint32_t requests;
	uint32_t retries;
};

/** Zero-initialise before first use. */
struct dw_retry_window {
	struct dw_retry_window_bucket buckets[DW_RETRY_WINDOW_BUCKETS];
};

/**
 * This instance's part of the slack: whole retries, of which the remainder goes to the first ranks.
 * Instances that know the same members have different ranks, so the parts add up to the slack.
 * @param rank of this instance, from 0; UINT32_MAX if it isn't known
 */
uint32_t dw_retry_slack_part(uint64_t slack, uint32_t instances, uint32_t rank);

/** Counts a caller's request to the service. */
void dw_retry_window_request(struct dw_retry_window *window,
			     const struct dw_retry_window_options *options, uint64_t now_us);

/** Counts a retry if the window allows one more. @return false if it doesn't. */
bool dw_retry_window_take(struct dw_retry_window *window,
			  const struct dw_retry_window_options *options, uint64_t now_us);

/** Returns how many more retries the window allows. */
uint32_t dw_retry_window_remaining(const struct dw_retry_window *window,
				   const struct dw_retry_window_options *options, uint64_t now_us);

#ifdef __cplusplus
}
#endif

#endif
