/**
 * @file freshness.h
 * How long keyed requests may be served on a configuration that can't be shown to be the newest.
 *
 * A watch proves from time to time that nothing was missed until some moment. A key that was revoked
 * after that moment must be refused within the revocation time, so requests stop before it has
 * passed. The watch proves often enough that half of the revocation time is left at any moment.
 */
#ifndef DRAGONFLYWHARF_FRESHNESS_H
#define DRAGONFLYWHARF_FRESHNESS_H

#include <stdbool.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

/**
 * Whether a request that arrived then may be served.
 * @param proven_at_us nothing was missed until then; 0: never proven
 */
bool dw_freshness_allows(uint64_t proven_at_us, uint64_t arrived_at_us, uint64_t revocation_us);

/** The longest time that a call of the watch may wait for events. */
uint64_t dw_freshness_max_wait_us(uint64_t revocation_us);

/**
 * How long the watch's next call may wait: events end a call early, which proves nothing after the
 * time at which it was made, so the call after it is shorter. 0: prove at once.
 */
uint64_t dw_freshness_next_wait_us(uint64_t proven_at_us, uint64_t now_us, uint64_t wait_us);

#ifdef __cplusplus
}
#endif

#endif
