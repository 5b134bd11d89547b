#include "core/change_detector.h"

#include <math.h>

#define PER_MILLION 1e6
/* Half of the weight lies on a version that is bad from the start, half on a later change. */
#define START_WEIGHT 0.5
#define WEIGHT_SPREAD_ANSWERS 1000.0
/* Standard deviations above the measured rate of the other versions, and its least evidence. */
#define UPPER_BOUND_SIGMAS 2.0
#define OTHERS_MIN_ANSWERS 100
#define BASELINE_MIN 0.001
#define BASELINE_MAX 0.6
/* Log ratio at which recent evidence is suspicious: one bad answer does it for a moment. */
#define SUSPICION_LOG_RATIO 2.5
/* Keeps exp() finite; far above any threshold. */
#define LOG_RATIO_MAX 600.0

/* Where between the baseline and a rate of 1 each alternative lies. */
static const double alternatives[CHANGE_DETECTOR_ALTERNATIVES] = { 0.15, 0.4, 0.8 };

void change_detector_init(struct change_detector *test, uint32_t false_alarms_per_million)
{
	*test = (struct change_detector){
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

/* Weight of all changes before answer @p answers: rises towards 1. */
static double weight_until(double answers)
{
	return 1.0 - (1.0 - START_WEIGHT) / (1.0 + answers / WEIGHT_SPREAD_ANSWERS);
}

static double take_weight(struct change_detector *test)
{
	double weight = weight_until((double)test->answers) - test->weight;

	test->weight += weight;
	return weight;
}

bool change_detector_update(struct change_detector *test, const struct tally *pooled,
			    const struct tally *others, uint32_t baseline_permille,
			    uint32_t instances)
{
	uint64_t bad_sum = pooled->bad + pooled->errors;
	double answers = (double)(pooled->answers - test->answers);
	double bad = (double)(bad_sum - test->bad);
	double base = baseline_of(others, baseline_permille);
	double weight = take_weight(test);
	double mean = 0.0;

	for (int i = 0; i < CHANGE_DETECTOR_ALTERNATIVES; i++) {
		double rate = base + alternatives[i] * (1.0 - base);
		double ratio =
			bad * log(rate / base) + (answers - bad) * log((1.0 - rate) / (1.0 - base));

		test->sums[i] = (test->sums[i] + weight) * exp(fmin(ratio, LOG_RATIO_MAX));
		test->recent[i] = fmax(0.0, test->recent[i] + ratio);
		mean += test->sums[i] / CHANGE_DETECTOR_ALTERNATIVES;
	}
	test->answers = pooled->answers;
	test->bad = bad_sum;
	return mean >= test->threshold * (instances ? instances : 1);
}

bool change_detector_is_suspicious(const struct change_detector *test)
{
	for (int i = 0; i < CHANGE_DETECTOR_ALTERNATIVES; i++) {
		if (test->recent[i] >= SUSPICION_LOG_RATIO)
			return true;
	}
	return false;
}
