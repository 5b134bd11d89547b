/**
 * @file retry_window.h
 * Bounds repeated sends to a service over any window of time.
 *
 * All instances together may send at most ratio x requests + slack repeats in any window. Each one
 * keeps to the ratio of its own requests and to its part of the slack, so that the sum holds with
 * no exchange between them.
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
	uint32_t ratio_permille; /**< repeats for each thousand requests */
	uint32_t slack; /**< repeats beyond that, this instance's part */
};

struct dw_retry_window_bucket {
	uint64_t number; /**< of its span of time; a bucket of another number counts as empty */
	uint32_t requests;
	uint32_t retries;
};

/** Zero-initialise before first use. */
struct dw_retry_window {
	struct dw_retry_window_bucket buckets[DW_RETRY_WINDOW_BUCKETS];
};

/** A caller's request for the service. */
void dw_retry_window_request(struct dw_retry_window *window,
			     const struct dw_retry_window_options *options, uint64_t now_us);

/** Takes one repeat; false if the window has no room for it. */
bool dw_retry_window_take(struct dw_retry_window *window,
			  const struct dw_retry_window_options *options, uint64_t now_us);

/** How many repeats the window has room for. */
uint32_t dw_retry_window_remaining(const struct dw_retry_window *window,
				   const struct dw_retry_window_options *options, uint64_t now_us);

#ifdef __cplusplus
}
#endif

#endif
