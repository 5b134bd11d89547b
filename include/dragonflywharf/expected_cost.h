/**
 * @file expected_cost.h
 * What a request with a prompt is expected to cost at an engine: the work that it brings, the work that
 * is ahead of it there, and the delay that it causes to the requests that run beside it.
 *
 * An engine processes long prompts between the output tokens of its other requests, so a prompt delays
 * each of them. All times are in microseconds of an engine at its usual pace.
 */
#ifndef DRAGONFLYWHARF_EXPECTED_COST_H
#define DRAGONFLYWHARF_EXPECTED_COST_H

#include <dragonflywharf/engine.h>

#ifdef __cplusplus
extern "C" {
#endif

/** What was learnt about the requests of a service. Zero-initialise. */
struct dw_work_stats {
	uint64_t mean_work_us; /**< of a request's prompt processing; 0: nothing learnt */
	uint64_t running_sum; /**< running requests at engines when a request was sent to them */
	uint64_t delay_sum_us; /**< time that these requests waited beyond their own work */
};

/** Learns from a request that was sent with @p work_us to do. */
void dw_work_stats_sent(struct dw_work_stats *stats, uint64_t work_us);

/**
 * Learns from the first byte of a response: it came @p taken_us after the request was sent to an engine
 * that was known to run @p running requests, and was expected after @p expected_us, these not counted.
 */
void dw_work_stats_started(struct dw_work_stats *stats, uint32_t running, uint64_t expected_us,
			   uint64_t taken_us);

/** The delay that each running request of an engine adds to a new one. */
uint64_t dw_work_delay_per_running_us(const struct dw_work_stats *stats);

/** Requests that the engine is taken to run now: its last report, with less weight the older it is. */
uint32_t dw_expected_running_permille(const struct dw_engine_load *load, uint64_t now_us);

/** How long work takes on the engine's machine now, in percent of the usual time. */
uint32_t dw_expected_pace_percent(const struct dw_engine_load *load, uint64_t now_us);

struct dw_expected_cost {
	uint64_t ahead_us; /**< work that the engine has to do first, as far as it is known */
	uint64_t beside_us; /**< delay by the requests that run there */
	uint64_t others_us; /**< what the request costs the requests that run beside it */
};

/** The cost of a request with @p work_us to do at the engine. */
struct dw_expected_cost dw_expected_cost_at(const struct dw_work_stats *stats,
					    const struct dw_engine *engine, uint64_t work_us,
					    uint64_t now_us);

#ifdef __cplusplus
}
#endif

#endif
