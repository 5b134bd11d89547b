/**
 * @file slow_start.h
 * Slow start of an upstream or a whole failure domain that returns to service.
 *
 * Its traffic rises linearly from a small fraction to its full share. Otherwise its empty queues
 * would attract a burst of requests while its prefix caches are cold.
 */
#ifndef DRAGONFLYWHARF_SLOW_START_H
#define DRAGONFLYWHARF_SLOW_START_H

#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

#define DW_SLOW_START_FULL_PERMILLE 1000
#define DW_SLOW_START_INITIAL_PERMILLE 50
#define DW_SLOW_START_DEFAULT_US UINT64_C(20000000)

/** A zero-initialized slow start has ended: traffic is at its full share. */
struct dw_slow_start {
	uint64_t started_us;
	uint64_t full_at_us; /**< when the full share is reached */
};

/** Starts a slow start that lasts from @p now_us to @p deadline_us. */
void dw_slow_start_begin(struct dw_slow_start *slow_start, uint64_t now_us, uint64_t deadline_us);

/** The fraction of its full traffic that the upstream or domain receives at @p now_us. */
uint32_t dw_slow_start_permille(const struct dw_slow_start *slow_start, uint64_t now_us);

#ifdef __cplusplus
}
#endif

#endif
