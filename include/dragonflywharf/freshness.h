/**
 * @file freshness.h
 * How long requests with a key may be served from a configuration that may be out of date.
 *
 * A watch on the store confirms from time to time that the instance has seen all changes up to some
 * moment. A key that was revoked after that moment must be refused within the revocation time, so
 * the instance stops serving requests with keys before that time has passed. The watch confirms
 * often enough that at any moment at least half of the revocation time is left.
 */
#ifndef DRAGONFLYWHARF_FRESHNESS_H
#define DRAGONFLYWHARF_FRESHNESS_H

#include <stdbool.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

/**
 * A time in which a watch may have heard nothing of changes: the store cuts its watches when it discards its
 * history, and may have told them nothing for a while before. A proof from that time holds for its begin only.
 */
struct dw_freshness_gap {
	uint64_t from_us;
	uint64_t until_us; /**< 0: there was none */
};

/**
 * Takes in a gap, unless a later one is known.
 * @param confirmed_at_us the newest proof so far
 */
void dw_freshness_gap_found(struct dw_freshness_gap *gap, const struct dw_freshness_gap *found,
			    uint64_t confirmed_at_us);

/** The time for which a proof of @p confirmed_at_us holds. */
uint64_t dw_freshness_proven_us(const struct dw_freshness_gap *gap, uint64_t confirmed_at_us);

/**
 * True if a request that arrived at @p arrived_at_us may be served.
 * @param confirmed_at_us time up to which all changes are known to have been seen; 0: never
 * confirmed
 */
bool dw_freshness_allows(uint64_t confirmed_at_us, uint64_t arrived_at_us, uint64_t revocation_us);

/** The longest time that one call of the watch may wait for events. */
uint64_t dw_freshness_max_wait_us(uint64_t revocation_us);

/**
 * How long the next call of the watch may wait; 0: it must return at once. A call that an event
 * ends early confirms nothing after the time at which it was made, so the call after it waits for a
 * shorter time.
 */
uint64_t dw_freshness_next_wait_us(uint64_t confirmed_at_us, uint64_t now_us, uint64_t wait_us);

#ifdef __cplusplus
}
#endif

#endif
