/**
 * @file ramp.h
 * Slow start of an upstream or a whole failure domain that returns to service.
 *
 * Its traffic rises linearly from a small fraction to its full share. Otherwise its empty queues
 * would attract a burst of requests while its prefix caches are cold.
 */
#ifndef DRAGONFLYWHARF_RAMP_H
#define DRAGONFLYWHARF_RAMP_H

#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

#define DW_RAMP_WHOLE_PERMILLE 1000
#define DW_RAMP_FIRST_PERMILLE 50
#define DW_RAMP_DEFAULT_US UINT64_C(20000000)

/** A zero-initialized slow start has ended: traffic is at its full share. */
struct dw_ramp {
	uint64_t started_us;
	uint64_t deadline_us; /**< when the full share is reached */
};

/** Starts a slow start that lasts from @p now_us to @p deadline_us. */
void dw_ramp_start(struct dw_ramp *slow_start, uint64_t now_us, uint64_t deadline_us);

/** The fraction of its full traffic that the upstream or domain receives at @p now_us. */
uint32_t dw_ramp_share_permille(const struct dw_ramp *slow_start, uint64_t now_us);

#ifdef __cplusplus
}
#endif

#endif
