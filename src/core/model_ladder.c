#include <dragonflywharf/model_ladder.h>

#include <math.h>

/* A confidence of this many points says that the answer is as likely good as not. */
#define CONFIDENCE_EVEN 50.0
/* Standard deviation of a model's opinion of its answer, in points. */
#define CONFIDENCE_ERROR 10.0
/* Expected before anything was learnt. */
#define KEPT_PRIOR_PERMILLE 500
#define LEARN_WEIGHT_PERMILLE 20
#define ANSWERS_COUNTED 1000
/* Worth of an answer that begins after its target, against one in time. */
#define LATE_WORTH_PERMILLE 300
/* Part of the time left, in thousandths, that the largest model's answer may take on free engines. */
#define PRESSURE_NONE_PERMILLE 100

uint32_t dw_confidence_good_permille(uint32_t confidence)
{
	double margin = ((double)confidence - CONFIDENCE_EVEN) / CONFIDENCE_ERROR;

	return (uint32_t)(500.0 * erfc(-margin / sqrt(2.0)) + 0.5);
}

static uint32_t kept_permille(const struct dw_ladder *ladder, uint32_t rung)
{
	return ladder->answers[rung] > 0 ? ladder->kept_permille[rung] : KEPT_PRIOR_PERMILLE;
}

uint32_t dw_ladder_first(const struct dw_ladder *ladder, const double *costs, uint32_t rungs,
			 bool may_repeat)
{
	uint32_t last = rungs - 1;
	uint32_t best = last;
	double best_cost = costs[last];

	if (!may_repeat || rungs > DW_LADDER_RUNGS_MAX)
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

/*
 * How likely a good answer must be: the target while the engines are free, less the longer the
 * largest model's answer would take of the time left until it is late, as its run also holds up
 * others; in the end no more than a late answer is worth.
 */
static uint32_t wanted_permille(const struct dw_ladder_situation *situation)
{
	uint64_t left_us = situation->target_at_us > situation->now_us
				   ? situation->target_at_us - situation->now_us
				   : 0;
	uint64_t pressure = left_us > 0 ? situation->largest_expected_us * 1000 / left_us : 1000;
	uint32_t target = situation->target_permille;

	if (pressure <= PRESSURE_NONE_PERMILLE || target <= LATE_WORTH_PERMILLE)
		return target;
	if (pressure >= 1000)
		return LATE_WORTH_PERMILLE;
	return target -
	       (uint32_t)((target - LATE_WORTH_PERMILLE) * (pressure - PRESSURE_NONE_PERMILLE) /
			  (1000 - PRESSURE_NONE_PERMILLE));
}

bool dw_ladder_keeps(const struct dw_ladder_situation *situation, uint32_t confidence)
{
	uint32_t good = dw_confidence_good_permille(confidence);
	uint64_t begins_at_us = situation->now_us + situation->largest_expected_us;

	if (begins_at_us >= situation->deadline_us)
		return true;
	return good >= wanted_permille(situation);
}

void dw_ladder_learn(struct dw_ladder *ladder, uint32_t rung, uint32_t confidence,
		     uint32_t target_permille)
{
	bool kept = dw_confidence_good_permille(confidence) >= target_permille;
	uint32_t old = kept_permille(ladder, rung);
	uint32_t sample = kept ? 1000 : 0;

	ladder->kept_permille[rung] =
		(old * (1000 - LEARN_WEIGHT_PERMILLE) + sample * LEARN_WEIGHT_PERMILLE) / 1000;
	if (ladder->answers[rung] < ANSWERS_COUNTED)
		ladder->answers[rung]++;
}
