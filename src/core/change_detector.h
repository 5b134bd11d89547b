/**
 * @file change_detector.h
 * Sequential change detector that decides when to hold a version automatically.
 *
 * For each of a few alternative rates of bad answers, errors included, it keeps a weighted
 * Shiryaev-Roberts sum, S <- (S + w) * L, where L is the likelihood ratio of the new answers; the
 * mean of these sums is the test statistic. The weights w, one for each answer at which the change
 * may have happened, sum to at most 1. If the version stays at or below the baseline, P(S ever
 * reaches 1 / alpha) is therefore at most alpha. Each instance runs a detector on the answers in
 * its own order of arrival, and the first one to cross the threshold holds the version for all. By
 * the union bound, alpha is then the stated rate of false alarms divided by the number of
 * instances.
 */
#ifndef WHARF_CORE_CHANGE_DETECTOR_H
#define WHARF_CORE_CHANGE_DETECTOR_H

#include <stdbool.h>
#include <stdint.h>

#include "core/evidence.h"

#define CHANGE_DETECTOR_ALTERNATIVES 3

struct change_detector {
	double sums[CHANGE_DETECTOR_ALTERNATIVES];
	double threshold; /* for a single instance */
	/* CUSUM: log likelihood ratio, from the start of the change that fits best */
	double recent[CHANGE_DETECTOR_ALTERNATIVES];
	double weight; /* sum of the weights so far */
	uint64_t answers; /* evaluated so far */
	uint64_t bad; /* bad answers and errors among them */
};

void change_detector_init(struct change_detector *detector, uint32_t false_alarms_per_million);

/*
 * Evaluates the answers that were added to @p pooled since the last call. The baseline is the
 * larger of @p baseline_permille and an upper confidence bound of the rate of bad answers in
 * @p others. True if the version should be held.
 */
bool change_detector_update(struct change_detector *detector, const struct tally *pooled,
			    const struct tally *others, uint32_t baseline_permille,
			    uint32_t instances);

/* True if there is recent evidence against the version, by Page's CUSUM. It takes far less evidence
 * than a hold. */
bool change_detector_is_suspicious(const struct change_detector *detector);

#endif
