/**
 * @file change_detector.h
 * The sequential change detector behind an automatic hold.
 *
 * A weighted Shiryaev-Roberts sum for each of a few alternative rates of bad answers, mixed
 * evenly: S <- (S + w) * L with the likelihood ratio L of the new answers. The weights w of all
 * answers at which the change may lie sum to at most 1, so that for a version that stays at or
 * below the baseline P(S ever reaches 1 / alpha) <= alpha. Each instance runs the test on its own
 * order of arrival, and the first one to cross holds for all: hence the union bound, alpha divided
 * by the number of instances.
 */
#ifndef WHARF_CORE_CHANGE_DETECTOR_H
#define WHARF_CORE_CHANGE_DETECTOR_H

#include <stdbool.h>
#include <stdint.h>

#include "core/evidence.h"

#define CHANGE_DETECTOR_ALTERNATIVES 3

struct change_detector {
	double sums[CHANGE_DETECTOR_ALTERNATIVES];
	double threshold;
	double recent[CHANGE_DETECTOR_ALTERNATIVES]; /* CUSUM: log ratio of the best recent start */
	double weight; /* added so far */
	uint64_t answers; /* answers seen so far */
	uint64_t bad; /* bad answers and errors among them */
};

void change_detector_init(struct change_detector *test, uint32_t false_alarms_per_million);

/*
 * Takes in what has come to @p pooled since the last call. The baseline is the larger one of
 * @p baseline_permille and the upper bound of the rate of @p others. True: hold the version.
 */
bool change_detector_update(struct change_detector *test, const struct tally *pooled,
			    const struct tally *others, uint32_t baseline_permille,
			    uint32_t instances);

/* Recent evidence speaks against the version: Page's CUSUM, far below what a hold needs. */
bool change_detector_is_suspicious(const struct change_detector *test);

#endif
