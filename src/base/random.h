/**
 * @file random.h
 * Pseudo-random numbers for load balancing and retry jitter. Not cryptographically secure.
 */
#ifndef WHARF_BASE_RANDOM_H
#define WHARF_BASE_RANDOM_H

#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

/** Returns the next number. Any initial @p state is valid; it should differ between processes. */
uint64_t dw_random_next(uint64_t *state);

#ifdef __cplusplus
}
#endif

#endif
