#include "core/change_detector.h"

#include <math.h>

#define PER_MILLION 1e6
/* Half of the weight is for a version that is bad from the start, half for a later change. */
#define START_WEIGHT 0.5
/* Half of the weight for a later change is used up after this many answers. */
#define WEIGHT_SPREAD_ANSWERS 1000.0
/* The upper bound for the other versions is this many standard deviations above their rate of bad
 * answers. It is used only if they have at least OTHERS_MIN_ANSWERS answers. */
#define UPPER_BOUND_SIGMAS 2.0
#define OTHERS_MIN_ANSWERS 100
#define BASELINE_MIN 0.001
#define BASELINE_MAX 0.6
/* Log likelihood ratio from which recent evidence is suspicious. One bad answer reaches it for a
 * short time. */
#define SUSPICION_LOG_RATIO 2.5
/* Upper limit that keeps exp() finite; far above any threshold. */
#define LOG_RATIO_MAX 600.0

/* Position of each alternative rate between the baseline (0) and a rate of 1. */
static const double alternatives[CHANGE_DETECTOR_ALTERNATIVES] = { 0.15, 0.4, 0.8 };

void change_detector_init(struct change_detector *detector, uint32_t false_alarms_per_million)
{
	*detector = (struct change_detector){
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

/* Sum of the weights of the first @p answers answers; approaches 1. */
static double cumulative_weight(double answers)
{
	return 1.0 - (1.0 - START_WEIGHT) / (1.0 + answers / WEIGHT_SPREAD_ANSWERS);
}

/* Weight that is added since the last update. */
static double take_weight(struct change_detector *detector)
{
	double weight = cumulative_weight((double)detector->answers) - detector->weight;

	detector->weight += weight;
	return weight;
}

bool change_detector_update(struct change_detector *detector, const struct tally *pooled,
			    const struct tally *others, uint32_t baseline_permille,
			    uint32_t instances)
{
	uint64_t bad_sum = pooled->bad + pooled->errors;
	double answers = (double)(pooled->answers - detector->answers);
	double bad = (double)(bad_sum - detector->bad);
	double base = baseline_of(others, baseline_permille);
	double weight = take_weight(detector);
	double mean = 0.0;

	for (int i = 0; i < CHANGE_DETECTOR_ALTERNATIVES; i++) {
		double rate = base + alternatives[i] * (1.0 - base);
		double ratio =
			bad * log(rate / base) + (answers - bad) * log((1.0 - rate) / (1.0 - base));

		detector->sums[i] = (detector->sums[i] + weight) * exp(fmin(ratio, LOG_RATIO_MAX));
		detector->recent[i] = fmax(0.0, detector->recent[i] + ratio);
		mean += detector->sums[i] / CHANGE_DETECTOR_ALTERNATIVES;
	}
	detector->answers = pooled->answers;
	detector->bad = bad_sum;
	return mean >= detector->threshold * (instances ? instances : 1);
}

bool change_detector_is_suspicious(const struct change_detector *detector)
{
	for (int i = 0; i < CHANGE_DETECTOR_ALTERNATIVES; i++) {
		if (detector->recent[i] >= SUSPICION_LOG_RATIO)
			return true;
	}
	return false;
}
