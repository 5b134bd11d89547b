#include <dragonflywharf/model_escalation.h>

#include <math.h>

/* With this confidence, the answer is good with a probability of one half. */
#define CONFIDENCE_EVEN 50.0
/* Standard deviation of a model's reported confidence, in points. */
#define CONFIDENCE_STDDEV 10.0
/* Assumed share of good answers before any answer was seen. */
#define GOOD_PERMILLE_PRIOR 500
#define LEARN_WEIGHT_PERMILLE 20
#define ANSWERS_MAX 1000
/*
 * Maximum time until the largest model's answer starts, in thousandths of the time left until the
 * latency target. If it would take longer, any answer of a smaller model is kept. The limit falls
 * linearly from the first value on idle engines to the second on engines with LOADED_PERMILLE of
 * their slots in use, where each run of the largest model makes other answers late.
 */
#define WAIT_MAX_IDLE_PERMILLE 1200
#define WAIT_MAX_LOADED_PERMILLE 250
#define LOADED_PERMILLE 250

uint32_t dw_escalation_good_permille(uint32_t confidence)
{
	double margin = ((double)confidence - CONFIDENCE_EVEN) / CONFIDENCE_STDDEV;

	return (uint32_t)(500.0 * erfc(-margin / sqrt(2.0)) + 0.5);
}

static uint32_t learned_good_permille(const struct dw_escalation_stats *stats, uint32_t model_index)
{
	return stats->answers[model_index] > 0 ? stats->good_permille[model_index]
					       : GOOD_PERMILLE_PRIOR;
}

uint32_t dw_escalation_first_model(const struct dw_escalation_stats *stats, const double *costs,
				   uint32_t model_count, bool may_retry)
{
	uint32_t last = model_count - 1;
	uint32_t best = last;
	double best_cost = costs[last];

	if (!may_retry)
		return last;
	for (uint32_t i = 0; i < last && i < DW_ESCALATION_MODELS_MAX; i++) {
		double dropped = 1.0 - learned_good_permille(stats, i) / 1000.0;
		double cost = costs[i] + dropped * costs[last];

		if (cost < best_cost) {
			best = i;
			best_cost = cost;
		}
	}
	return best;
}

/* Maximum time until the largest model's answer starts, as a share of the time left. */
static uint32_t wait_max_permille(uint32_t load_permille)
{
	uint32_t load = load_permille < LOADED_PERMILLE ? load_permille : LOADED_PERMILLE;

	return WAIT_MAX_IDLE_PERMILLE -
	       (WAIT_MAX_IDLE_PERMILLE - WAIT_MAX_LOADED_PERMILLE) * load / LOADED_PERMILLE;
}

/*
 * Required probability of a good answer: the quality target if the largest model could answer at
 * once, and less the longer it would take, since its run delays other requests for that long.
 */
static uint32_t required_permille(const struct dw_escalation_context *context)
{
	uint64_t left_us = context->target_at_us > context->now_us
				   ? context->target_at_us - context->now_us
				   : 0;
	uint64_t max_us = left_us * wait_max_permille(context->load_permille) / 1000;
	uint64_t taken_us = context->largest_expected_us;

	if (taken_us >= max_us || taken_us >= left_us)
		return 0;
	return (uint32_t)(context->target_permille * (max_us - taken_us) / max_us);
}

bool dw_escalation_should_keep(const struct dw_escalation_context *context, uint32_t confidence)
{
	uint32_t good = dw_escalation_good_permille(confidence);
	uint64_t begins_at_us = context->now_us + context->largest_expected_us;

	if (begins_at_us >= context->deadline_us)
		return true;
	return good >= required_permille(context);
}

void dw_escalation_record(struct dw_escalation_stats *stats, uint32_t model_index,
			  uint32_t confidence, uint32_t target_permille)
{
	bool kept = dw_escalation_good_permille(confidence) >= target_permille;
	uint32_t sample = kept ? 1000 : 0;
	uint32_t old;

	if (model_index >= DW_ESCALATION_MODELS_MAX)
		return;
	old = learned_good_permille(stats, model_index);
	stats->good_permille[model_index] =
		(old * (1000 - LEARN_WEIGHT_PERMILLE) + sample * LEARN_WEIGHT_PERMILLE) / 1000;
	if (stats->answers[model_index] < ANSWERS_MAX)
		stats->answers[model_index]++;
}
