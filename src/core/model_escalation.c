#include <dragonflywharf/model_escalation.h>

#include <math.h>

/* A confidence of this many points says that the answer is as likely good as not. */
#define CONFIDENCE_EVEN 50.0
/* Standard deviation of a model's opinion of its answer, in points. */
#define CONFIDENCE_ERROR 10.0
/* Expected before anything was learnt. */
#define KEPT_PRIOR_PERMILLE 500
#define LEARN_WEIGHT_PERMILLE 20
#define ANSWERS_COUNTED 1000
/* Part of the time left until an answer is late, in thousandths, that the largest model's may take
 * before it begins; with more, any answer of a smaller model is kept. On engines that are free, and on
 * those with so much of their slots taken, where each of its runs makes other answers late. */
#define PART_ON_FREE_PERMILLE 1200
#define PART_ON_LOADED_PERMILLE 250
#define LOADED_PERMILLE 250

uint32_t dw_escalation_good_permille(uint32_t confidence)
{
	double margin = ((double)confidence - CONFIDENCE_EVEN) / CONFIDENCE_ERROR;

	return (uint32_t)(500.0 * erfc(-margin / sqrt(2.0)) + 0.5);
}

static uint32_t kept_permille(const struct dw_escalation_stats *ladder, uint32_t rung)
{
	return ladder->answers[rung] > 0 ? ladder->good_permille[rung] : KEPT_PRIOR_PERMILLE;
}

uint32_t dw_escalation_first_model(const struct dw_escalation_stats *ladder, const double *costs,
				   uint32_t rungs, bool may_repeat)
{
	uint32_t last = rungs - 1;
	uint32_t best = last;
	double best_cost = costs[last];

	if (!may_repeat || rungs > DW_ESCALATION_MODELS_MAX)
		return last;
	for (uint32_t i = 0; i < last; i++) {
		double dropped = 1.0 - kept_permille(ladder, i) / 1000.0;
		double cost = costs[i] + dropped * costs[last];

		if (cost < best_cost) {
			best = i;
			best_cost = cost;
		}
	}
	return best;
}

/* What the largest model's answer may take before it begins, as a part of the time left. */
static uint32_t part_permille(uint32_t load_permille)
{
	uint32_t load = load_permille < LOADED_PERMILLE ? load_permille : LOADED_PERMILLE;

	return PART_ON_FREE_PERMILLE -
	       (PART_ON_FREE_PERMILLE - PART_ON_LOADED_PERMILLE) * load / LOADED_PERMILLE;
}

/*
 * How likely a good answer must be: the target if the largest model answered at once, less the longer
 * it would take, as its run holds up others for as long.
 */
static uint32_t wanted_permille(const struct dw_escalation_context *situation)
{
	uint64_t left_us = situation->target_at_us > situation->now_us
				   ? situation->target_at_us - situation->now_us
				   : 0;
	uint64_t most_us = left_us * part_permille(situation->load_permille) / 1000;
	uint64_t taken_us = situation->largest_expected_us;

	if (taken_us >= most_us || taken_us >= left_us)
		return 0;
	return (uint32_t)(situation->target_permille * (most_us - taken_us) / most_us);
}

bool dw_escalation_should_keep(const struct dw_escalation_context *situation, uint32_t confidence)
{
	uint32_t good = dw_escalation_good_permille(confidence);
	uint64_t begins_at_us = situation->now_us + situation->largest_expected_us;

	if (begins_at_us >= situation->deadline_us)
		return true;
	return good >= wanted_permille(situation);
}

void dw_escalation_record(struct dw_escalation_stats *ladder, uint32_t rung, uint32_t confidence,
			  uint32_t target_permille)
{
	bool kept = dw_escalation_good_permille(confidence) >= target_permille;
	uint32_t old = kept_permille(ladder, rung);
	uint32_t sample = kept ? 1000 : 0;

	ladder->good_permille[rung] =
		(old * (1000 - LEARN_WEIGHT_PERMILLE) + sample * LEARN_WEIGHT_PERMILLE) / 1000;
	if (ladder->answers[rung] < ANSWERS_COUNTED)
		ladder->answers[rung]++;
}
