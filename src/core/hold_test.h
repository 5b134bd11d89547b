/**
 * @file hold_test.h
 * The sequential change detector behind an automatic hold.
 *
 * A weighted Shiryaev-Roberts sum for each of a few alternative rates of bad answers, mixed
 * evenly: S <- (S + w) * L with the likelihood ratio L of the new answers. The weight w of the
 * k-th block of answers is 1 / (k (k + 1)), so that all weights sum to at most 1 and
 * P(S ever reaches 1 / alpha) <= alpha for a version that stays at or below the baseline.
 */
#ifndef WHARF_CORE_HOLD_TEST_H
#define WHARF_CORE_HOLD_TEST_H

#include <stdbool.h>
#include <stdint.h>

#include "core/evidence.h"

#define HOLD_TEST_ALTERNATIVES 3

struct hold_test {
	double sums[HOLD_TEST_ALTERNATIVES];
	double threshold;
	uint64_t blocks; /* blocks of answers whose weight has been added */
	uint64_t answers; /* answers seen so far */
	uint64_t bad; /* bad answers and errors among them */
};

void hold_test_init(struct hold_test *test, uint32_t false_alarms_per_million);

/*
 * Takes in what has come to @p pooled since the last call. The baseline is the larger one of
 * @p baseline_permille and the upper bound of the rate of @p others. True: hold the version.
 */
bool hold_test_update(struct hold_test *test, const struct tally *pooled,
		      const struct tally *others, uint32_t baseline_permille);

#endif
