#include "core/hold_test.h"

#include <math.h>

#define PER_MILLION 1e6
#define BLOCK_ANSWERS 32
/* Standard deviations above the measured rate of the other versions, and its least evidence. */
#define UPPER_BOUND_SIGMAS 2.0
#define OTHERS_MIN_ANSWERS 100
#define BASELINE_MIN 0.001
#define BASELINE_MAX 0.6
/* Keeps exp() finite; far above any threshold. */
#define LOG_RATIO_MAX 600.0

/* Where between the baseline and a rate of 1 each alternative lies. */
static const double alternatives[HOLD_TEST_ALTERNATIVES] = { 0.15, 0.4, 0.8 };

void hold_test_init(struct hold_test *test, uint32_t false_alarms_per_million)
{
	*test = (struct hold_test){
		.threshold = PER_MILLION / (false_alarms_per_million ? false_alarms_per_million : 1)
	};
}

static double baseline_of(const struct tally *others, uint32_t baseline_permille)
{
	double stated = baseline_permille / 1000.0;
	double answers = (double)others->answers;
	double rate;

	if (others->answers < OTHERS_MIN_ANSWERS)
		return fmax(stated, BASELINE_MIN);
	rate = (double)(others->bad + others->errors) / answers;
	rate += UPPER_BOUND_SIGMAS * sqrt(rate * (1.0 - rate) / answers);
	return fmin(fmax(fmax(stated, rate), BASELINE_MIN), BASELINE_MAX);
}

/* Weight of the blocks that have begun since the last call: sum of 1 / (k (k + 1)) telescopes. */
static double take_weight(struct hold_test *test)
{
	uint64_t blocks = test->answers / BLOCK_ANSWERS + 1;
	double weight = 1.0 / (double)(test->blocks + 1) - 1.0 / (double)(blocks + 1);

	test->blocks = blocks;
	return weight;
}

bool hold_test_update(struct hold_test *test, const struct tally *pooled,
		      const struct tally *others, uint32_t baseline_permille)
{
	uint64_t bad_sum = pooled->bad + pooled->errors;
	double answers = (double)(pooled->answers - test->answers);
	double bad = (double)(bad_sum - test->bad);
	double base = baseline_of(others, baseline_permille);
	double weight = take_weight(test);
	double mean = 0.0;

	for (int i = 0; i < HOLD_TEST_ALTERNATIVES; i++) {
		double rate = base + alternatives[i] * (1.0 - base);
		double ratio =
			bad * log(rate / base) + (answers - bad) * log((1.0 - rate) / (1.0 - base));

		test->sums[i] = (test->sums[i] + weight) * exp(fmin(ratio, LOG_RATIO_MAX));
		mean += test->sums[i] / HOLD_TEST_ALTERNATIVES;
	}
	test->answers = pooled->answers;
	test->bad = bad_sum;
	return mean >= test->threshold;
}
