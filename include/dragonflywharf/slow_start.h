/**
 * @file slow_start.h
 * Slow start of an upstream or a whole failure domain that has come back into service.
 *
 * Its share of the traffic rises linearly from a small part to the whole between two points in
 * time, so that the return is no stampede on empty queues and cold prefix caches.
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

/** A zeroed ramp is one that ended long ago: the whole share. */
struct dw_slow_start {
	uint64_t started_us;
	uint64_t deadline_us; /**< from here on the share is whole */
};

/** Starts the ramp at @p now_us; it ends at @p deadline_us. */
void dw_slow_start_begin(struct dw_slow_start *ramp, uint64_t now_us, uint64_t deadline_us);

/** The share of its usual traffic that the returning part takes at @p now_us. */
uint32_t dw_slow_start_permille(const struct dw_slow_start *ramp, uint64_t now_us);

#ifdef __cplusplus
}
#endif

#endif
