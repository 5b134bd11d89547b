/**
 * @file model_escalation.h
 * Escalation from a route's smaller models to its largest one: a request is sent to a smaller model
 * first if that has the lower expected cost, and again to the largest model if the smaller model
 * reports a low confidence in its answer.
 *
 * The confidence is part of the response head, so it is known before anything is sent to the
 * caller. Answers are not rated, so the confidence is the only indication of their quality. It is
 * modelled as the margin between the model's ability and the request's difficulty, with a normally
 * distributed error.
 */
#ifndef DRAGONFLYWHARF_MODEL_ESCALATION_H
#define DRAGONFLYWHARF_MODEL_ESCALATION_H

#include <stdbool.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

/** Of a route with more models, only the smallest ones before this and the largest one are used. */
#define DW_ESCALATION_MODELS_MAX 32

/** Learned statistics of a route's models, smallest model first. Zero-initialise. */
struct dw_escalation_stats {
	uint32_t good_permille[DW_ESCALATION_MODELS_MAX]; /**< share of good answers */
	uint32_t answers[DW_ESCALATION_MODELS_MAX]; /**< answers seen, up to a bound */
};

/** What decides whether the largest model is worth another attempt. */
struct dw_escalation_context {
	uint64_t now_us;
	uint64_t target_at_us; /**< latency target: an answer that starts later is worth less */
	uint64_t deadline_us;
	uint64_t largest_expected_us; /**< time until the largest model's answer would start */
	uint32_t target_permille; /**< quality target: required probability of a good answer */
	uint32_t load_permille; /**< load / slots, as the smaller model's engine reported */
};

/** Probability, in thousandths, that an answer with this confidence (0 to 100) is good. */
uint32_t dw_escalation_good_permille(uint32_t confidence);

/**
 * Index of the model to try first. @p costs has the cost per token of each of the @p model_count
 * models, at least one. If @p may_retry is false, the budgets allow no second attempt and the index
 * of the largest model is returned.
 */
uint32_t dw_escalation_first_model(const struct dw_escalation_stats *stats, const double *costs,
				   uint32_t model_count, bool may_retry);

/**
 * True if a smaller model's answer should go to the caller, false to try the largest model instead.
 */
bool dw_escalation_should_keep(const struct dw_escalation_context *context, uint32_t confidence);

/** Records the confidence that an answer of model @p model_index reported. Without effect from index
 * DW_ESCALATION_MODELS_MAX on. */
void dw_escalation_record(struct dw_escalation_stats *stats, uint32_t model_index,
			  uint32_t confidence, uint32_t target_permille);

#ifdef __cplusplus
}
#endif

#endif
