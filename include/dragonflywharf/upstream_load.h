/**
 * @file upstream_load.h
 * One instance's estimate of the load and speed of one upstream.
 *
 * A load report is already out of date when it arrives. The estimate derives from it how many
 * requests the other instances had in flight at that time, and adds this instance's own requests,
 * which are known exactly. As the report ages, the other instances' part changes linearly to an
 * assumption: that each of them has as many requests in flight as this instance.
 */
#ifndef DRAGONFLYWHARF_UPSTREAM_LOAD_H
#define DRAGONFLYWHARF_UPSTREAM_LOAD_H

#include <stdbool.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

/** Number and length of the time buckets in which earlier values of in_flight are kept. */
#define DW_LOAD_HISTORY 32
#define DW_LOAD_BUCKET_US UINT64_C(125000)
/** Age at which a report is ignored. */
#define DW_LOAD_REPORT_STALE_US UINT64_C(4000000)

/** Zero-initialise for a new upstream of unknown speed; set @p slots before use if known. */
struct dw_upstream_load {
	uint32_t in_flight; /**< this instance's requests that have started and not ended */
	uint32_t slots; /**< requests that the upstream runs concurrently; 0: unknown */
	uint32_t reported; /**< running and queued requests in the last report */
	uint32_t reported_own; /**< this instance's part of @p reported */
	uint64_t reported_at_us; /**< time at which the report was made; 0: no report */
	uint64_t us_per_token; /**< learned, per output token on an idle upstream; 0: unknown */
	uint64_t us_per_prompt_token; /**< learned time per uncached prompt token; 0: unknown */
	uint64_t service_us; /**< learned mean time from dispatch to end; 0: unknown */
	/** in_flight at the end of each time bucket, to look up its value at a report's time. */
	uint32_t history[DW_LOAD_HISTORY];
	uint64_t history_bucket; /**< number of the newest bucket: time / DW_LOAD_BUCKET_US */
};

/** Measurements of an ended request; fields that are zero are ignored. */
struct dw_load_sample {
	uint32_t prompt_tokens; /**< prompt tokens that were not cached, as far as known */
	uint32_t output_tokens;
	uint64_t first_token_us; /**< time from dispatch to the first token */
	uint64_t total_us; /**< time from dispatch to the end */
	uint32_t load_at_dispatch; /**< the estimate at dispatch, see dw_upstream_load_estimate() */
};

/** This instance sends a request to the upstream. */
void dw_upstream_load_sent(struct dw_upstream_load *load, uint64_t now_us);

/** A request of this instance ended; @p sample may be NULL if nothing was measured. */
void dw_upstream_load_ended(struct dw_upstream_load *load, uint64_t now_us,
			    const struct dw_load_sample *sample);

/**
 * Handles a load report: at @p taken_us, on this instance's monotonic clock, the upstream had
 * @p running requests in its slots and @p queued waiting. Reports not newer than the last one are
 * ignored.
 */
void dw_upstream_load_report(struct dw_upstream_load *load, uint64_t taken_us, uint32_t running,
			     uint32_t queued);

/** Estimated requests in flight at the upstream now, over all @p instances instances. */
uint32_t dw_upstream_load_estimate(const struct dw_upstream_load *load, uint64_t now_us,
				   uint32_t instances);

/**
 * Expected time from dispatch to the last token for a request with @p prompt_tokens uncached prompt
 * tokens and @p output_tokens output tokens, when @p in_flight other requests are at the upstream.
 */
uint64_t dw_upstream_load_expected_us(const struct dw_upstream_load *load, uint32_t in_flight,
				      uint32_t prompt_tokens, uint32_t output_tokens);

#ifdef __cplusplus
}
#endif

#endif
