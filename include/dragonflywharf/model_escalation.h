/**
 * @file model_escalation.h
 * Which of a route's models answers a request: a small one first where that is cheaper on the
 * whole, and the largest one when the small model's own confidence says that its answer is poor.
 *
 * The confidence comes with the head of an answer, before the caller has any of it. Nobody rates
 * the answers, so the confidence is all there is: it is taken as the margin between the model's
 * ability and the request's difficulty, with an error of normal distribution.
 */
#ifndef DRAGONFLYWHARF_MODEL_ESCALATION_H
#define DRAGONFLYWHARF_MODEL_ESCALATION_H

#include <stdbool.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

#define DW_ESCALATION_MODELS_MAX 8

/** A route's models, smallest first, with what was learnt of them. Zero-initialise. */
struct dw_escalation_stats {
	uint32_t
		good_permille[DW_ESCALATION_MODELS_MAX]; /**< answers good enough, moving average */
	uint32_t answers[DW_ESCALATION_MODELS_MAX]; /**< seen, up to a bound */
};

/** What stands against another try by the largest model. */
struct dw_escalation_context {
	uint64_t now_us;
	uint64_t target_at_us; /**< an answer that begins later is worth less */
	uint64_t deadline_us;
	uint64_t largest_expected_us; /**< until the largest model's answer would begin */
	uint32_t target_permille; /**< quality target: how likely a good answer must be */
	uint32_t load_permille; /**< of an engine's slots, as the smaller model's answer told */
};

/** Probability that an answer of this confidence (0 to 100) is good, in thousandths. */
uint32_t dw_escalation_good_permille(uint32_t confidence);

/**
 * The rung to begin with. @p costs are for a token, by rung; a single rung is always the one.
 * @p may_repeat: a second send is within the budgets.
 */
uint32_t dw_escalation_first_model(const struct dw_escalation_stats *ladder, const double *costs,
				   uint32_t rungs, bool may_repeat);

/** Whether an answer of a smaller model is given to the caller rather than dropped. */
bool dw_escalation_should_keep(const struct dw_escalation_context *situation, uint32_t confidence);

/** An answer of rung @p rung told its confidence. */
void dw_escalation_record(struct dw_escalation_stats *ladder, uint32_t rung, uint32_t confidence,
			  uint32_t target_permille);

#ifdef __cplusplus
}
#endif

#endif
