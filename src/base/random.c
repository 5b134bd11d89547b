#include "base/random.h"

/* SplitMix64 (Steele, Lea and Flood 2014). */
uint64_t dw_random_next(uint64_t *state)
{
	uint64_t z = (*state += UINT64_C(0x9e3779b97f4a7c15));

	z = (z ^ (z >> 30)) * UINT64_C(0xbf58476d1ce4e5b9);
	z = (z ^ (z >> 27)) * UINT64_C(0x94d049bb133111eb);
	return z ^ (z >> 31);
}
