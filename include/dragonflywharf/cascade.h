/**
 * @file cascade.h
 * Model cascade: plans which cheaper models to try before the requested model.
 *
 * Trying a cheaper model is worthwhile if its cost is lower than the expected saving and if the
 * deadline leaves time for the steps after it. The pass rate, i.e. how often an answer meets the
 * quality target, is learned per organisation, class of work and model. An answer below the quality
 * target is never sent to the caller, unless it comes from the last step, the requested model.
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
/** Share of plans for which a random step is drawn. If the plan skips that step, it is included
 * anyway, so that its pass rate is still measured. */
#define DW_CASCADE_EXPLORE_PERMILLE 10
/** Default for dw_cascade_request.latency_cost_micros_per_s. */
#define DW_CASCADE_DEFAULT_LATENCY_COST_MICROS_PER_S 130

/**
 * Learned pass rates: a set-associative table; the least recently updated row of a set is replaced.
 */
struct dw_cascade_rates;

/** @p rows is rounded up to a power of two. @return NULL if out of memory. */
struct dw_cascade_rates *dw_cascade_rates_new(size_t rows);
void dw_cascade_rates_free(struct dw_cascade_rates *rates);

/** Class of work for the pass rates: log2 of the prompt length, or one class for all sessions. */
uint64_t dw_cascade_work_class(uint32_t prompt_tokens, bool in_session);

/**
 * Records whether an answer of @p model_id passed its rating. @p work_id is the class of work, any
 * number that the caller chooses, for instance from dw_cascade_work_class(); 0 if there is only one.
 */
void dw_cascade_rates_learn(struct dw_cascade_rates *rates, uint64_t organisation_id,
			    uint64_t model_id, uint64_t work_id, bool passed, uint64_t now_us);

/**
 * Expected pass rate: the mean of a Beta distribution whose observations decay exponentially. The
 * prior of an organisation is the rate over all organisations. The prior of a model is an
 * optimistic 3 in 4, so that new models are tried.
 */
double dw_cascade_rates_lookup(const struct dw_cascade_rates *rates, uint64_t organisation_id,
			       uint64_t model_id, uint64_t work_id, uint64_t now_us);

struct dw_cascade_step {
	uint64_t model_id;
	uint64_t cost_micros; /**< expected cost of the answer and its rating */
	uint64_t latency_us; /**< expected, with the rating; preferably a high percentile */
	double pass_rate; /**< see dw_cascade_rates_lookup(); ignored for the last step */
	bool available; /**< permitted, and a live version has an upstream in service */
};

struct dw_cascade_request {
	uint64_t now_us;
	uint64_t deadline_us; /**< 0: none */
	uint64_t random; /**< uniformly distributed over all values */
	/** Cost assigned to one second of latency at the 95th percentile; 0: only the cost of the
	 * answers counts. A step that at least one request in twenty has to continue past increases
	 * the 95th percentile, even where it reduces the mean. */
	uint64_t latency_cost_micros_per_s;
};

struct dw_cascade_plan {
	uint8_t steps[DW_CASCADE_STEPS_MAX]; /**< indices into the given steps, in order */
	uint8_t count;
	bool is_exploration; /**< includes a step only to measure its pass rate */
	bool misses_deadline; /**< even the shortest plan is expected to miss the deadline */
	uint64_t expected_cost_micros;
	uint64_t expected_us;
	uint64_t longest_us; /**< latency if every step runs */
};

/**
 * Plans over @p count steps, cheapest first, the requested model last.
 *
 * @return DW_OK; DW_UNAVAILABLE if the last step isn't available; DW_INVALID_ARGUMENT for no or
 * too many steps.
 */
enum dw_status dw_cascade_choose(const struct dw_cascade_request *request,
				 const struct dw_cascade_step *steps, size_t count,
				 struct dw_cascade_plan *out);

/**
 * True if the answer of the plan's step @p position may be sent to the caller. @p rated is false if
 * no rating was available: the answer then counts as failed.
 */
bool dw_cascade_may_release(const struct dw_cascade_plan *plan, size_t position, bool rated,
			    uint32_t score_permille, uint32_t quality_target_permille);

#ifdef __cplusplus
}
#endif

#endif
