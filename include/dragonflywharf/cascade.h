/**
 * @file cascade.h
 * Which models of a cascade to try, and in what order, before the model that was asked for.
 *
 * A cheap step pays if its cost is below what its passing answers save, and if the deadline leaves
 * room for the steps after it. How often an answer passes the rating is learned by organisation,
 * kind of work and model. An answer below the quality target is never released, but for the last
 * step's: that is the model that the caller asked for.
 */
#ifndef DRAGONFLYWHARF_CASCADE_H
#define DRAGONFLYWHARF_CASCADE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <dragonflywharf/status.h>

#ifdef __cplusplus
extern "C" {
#endif

#define DW_CASCADE_STEPS_MAX 6
/** Share of plans that put a skipped step back, so that its rate goes on being learned. */
#define DW_CASCADE_EXPLORE_PERMILLE 10
/** A usual worth of a second of waiting, see dw_cascade_request. */
#define DW_CASCADE_DEFAULT_MICROS_PER_SECOND 130

/** Learned pass rates: a bounded table, the least recently used row of a set is replaced. */
struct dw_cascade_rates;

/** @p rows is rounded up to a power of two; NULL if there is no memory. */
struct dw_cascade_rates *dw_cascade_rates_new(size_t rows);
void dw_cascade_rates_free(struct dw_cascade_rates *rates);

/** The kind of work as far as it shows at the door: by power of two of the prompt's length. */
uint64_t dw_cascade_work_class(uint32_t prompt_tokens, bool in_session);

/**
 * A rated answer of @p model_id for work of the kind @p work_id (any number that the caller
 * chooses, for instance a class of prompt length; 0 for all alike).
 */
void dw_cascade_rates_learn(struct dw_cascade_rates *rates, uint64_t organisation_id,
			    uint64_t model_id, uint64_t work_id, bool passed, uint64_t now_us);

/**
 * Expected pass rate: the mean of a Beta distribution whose evidence halves with time. An
 * organisation without evidence starts from what all have seen, a model without any from a hopeful
 * 3 in 4, so that it is tried.
 */
double dw_cascade_rates_lookup(const struct dw_cascade_rates *rates, uint64_t organisation_id,
			       uint64_t model_id, uint64_t work_id, uint64_t now_us);

struct dw_cascade_step {
	uint64_t model_id;
	uint64_t cost_micros; /**< expected for the answer and its rating */
	uint64_t latency_us; /**< expected, with the rating; a high percentile serves best */
	double pass_rate; /**< see dw_cascade_rates_lookup(); of no meaning for the last step */
	bool available; /**< permitted, a live version with an upstream in service */
};

struct dw_cascade_request {
	uint64_t now_us;
	uint64_t deadline_us; /**< 0 for none */
	uint64_t random; /**< uniform over all values */
	/** What a second less at the 95th percentile is worth, against the cost; 0 for cost alone.
	 * A step that one request in twenty or more goes beyond lengthens that tail, even where it
	 * shortens the mean. */
	uint64_t latency_cost_micros_per_s;
};

struct dw_cascade_plan {
	uint8_t steps[DW_CASCADE_STEPS_MAX]; /**< indices into the given steps, in order */
	uint8_t count;
	bool is_exploration; /**< holds a step for the sake of learning */
	bool misses_deadline; /**< not even the shortest plan is expected to meet the deadline */
	uint64_t expected_cost_micros;
	uint64_t expected_us;
	uint64_t longest_us; /**< if every step is run */
};

/**
 * The plan for @p count steps, cheapest first, the model asked for last.
 *
 * @return DW_OK; DW_UNAVAILABLE if the last step isn't available; DW_INVALID_ARGUMENT for no or
 * too many steps.
 */
enum dw_status dw_cascade_choose(const struct dw_cascade_request *request,
				 const struct dw_cascade_step *steps, size_t count,
				 struct dw_cascade_plan *out);

/**
 * Whether the answer of the plan's step @p position may go to the caller. @p rated is false if no
 * rating could be had: such an answer counts as not passing.
 */
bool dw_cascade_may_release(const struct dw_cascade_plan *plan, size_t position, bool rated,
			    uint32_t score_permille, uint32_t quality_target_permille);

#ifdef __cplusplus
}
#endif

#endif
