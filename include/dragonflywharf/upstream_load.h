/**
 * @file upstream_load.h
 * What one instance knows of the load and speed of one upstream.
 *
 * An upstream's report is old when it comes. The estimate takes from it what other instances had
 * in flight there at that time, and adds this instance's own requests, which it knows exactly. As
 * the report ages, the part of the others fades towards their fair share of what this instance
 * itself has in flight.
 */
#ifndef DRAGONFLYWHARF_UPSTREAM_LOAD_H
#define DRAGONFLYWHARF_UPSTREAM_LOAD_H

#include <stdbool.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

#define DW_LOAD_HISTORY 32
#define DW_LOAD_BUCKET_US UINT64_C(125000)
/** Age at which a report counts for nothing any more. */
#define DW_LOAD_REPORT_STALE_US UINT64_C(4000000)

/** A zeroed one is a new upstream of unknown speed; set @p slots before use if it is known. */
struct dw_upstream_load {
	uint32_t in_flight; /**< this instance's own, started and not yet ended */
	uint32_t slots; /**< requests that the upstream runs at once; 0 if unknown */
	uint32_t reported; /**< running and queued there, as last reported */
	uint32_t reported_own; /**< this instance's own part of @p reported */
	uint64_t reported_at_us; /**< when the report was true; 0 for no report */
	uint64_t us_per_token; /**< learned, at an otherwise idle upstream; 0 if unknown */
	uint64_t us_per_prompt_token; /**< learned, for prompt tokens outside the prefix cache */
	uint64_t service_us; /**< learned mean time of a request from dispatch to end */
	/** Own in-flight count at the end of each bucket of time, to date a report. */
	uint32_t history[DW_LOAD_HISTORY];
	uint64_t history_bucket; /**< number of the newest bucket: time / DW_LOAD_BUCKET_US */
};

/** What ended, as far as the caller measured it; zero fields teach nothing. */
struct dw_load_sample {
	uint32_t prompt_tokens; /**< of the prompt, outside the prefix cache as far as known */
	uint32_t output_tokens; /**< generated */
	uint64_t first_token_us; /**< from dispatch to the first token */
	uint64_t total_us; /**< from dispatch to the end */
	uint32_t load_at_dispatch; /**< the estimate at dispatch, see dw_upstream_load_estimate() */
};

/** A request of this instance starts there. */
void dw_upstream_load_sent(struct dw_upstream_load *load, uint64_t now_us);

/** A request of this instance ended there; @p sample may be NULL if it taught nothing. */
void dw_upstream_load_ended(struct dw_upstream_load *load, uint64_t now_us,
			    const struct dw_load_sample *sample);

/**
 * A report came: at @p taken_us, on this instance's monotonic clock, the upstream had
 * @p running requests in its slots and @p queued waiting. Reports older than the last are ignored.
 */
void dw_upstream_load_report(struct dw_upstream_load *load, uint64_t taken_us, uint32_t running,
			     uint32_t queued);

/** Requests in flight there now over all of @p instances instances. */
uint32_t dw_upstream_load_estimate(const struct dw_upstream_load *load, uint64_t now_us,
				   uint32_t instances);

/**
 * Expected time from dispatch to the last token for a request of @p prompt_tokens outside the
 * prefix cache and @p tokens to generate, when @p in_flight others are there.
 */
uint64_t dw_upstream_load_expected_us(const struct dw_upstream_load *load, uint32_t in_flight,
				      uint32_t prompt_tokens, uint32_t tokens);

#ifdef __cplusplus
}
#endif

#endif
