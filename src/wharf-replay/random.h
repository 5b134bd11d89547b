/**
 * @file random.h
 * SplitMix64, a seeded random number generator with the same sequence on every machine.
 */
#ifndef WHARF_REPLAY_RANDOM_H
#define WHARF_REPLAY_RANDOM_H

#include <math.h>
#include <stdint.h>

struct random_source {
	uint64_t state;
};

static inline uint64_t random_next(struct random_source *random)
{
	uint64_t z = random->state += UINT64_C(0x9e3779b97f4a7c15);

	z = (z ^ z >> 30) * UINT64_C(0xbf58476d1ce4e5b9);
	z = (z ^ z >> 27) * UINT64_C(0x94d049bb133111eb);
	return z ^ z >> 31;
}

/* Uniform below @p bound. */
static inline uint32_t random_below(struct random_source *random, uint32_t bound)
{
	return bound ? (uint32_t)(random_next(random) % bound) : 0;
}

/* Uniform in (0, 1]. */
static inline double random_unit(struct random_source *random)
{
	return ((double)(random_next(random) >> 11) + 1.0) / 9007199254740992.0;
}

/* Log-normal with the given median; @p spread is the standard deviation of the logarithm. */
static inline double random_lognormal(struct random_source *random, double median, double spread)
{
	double radius = sqrt(-2.0 * log(random_unit(random)));

	return median * exp(spread * radius * cos(6.283185307179586 * random_unit(random)));
}

#endif
