/**
 * @file clock.h
 * Monotonic and wall clock. Deadlines use the monotonic clock. The wall clock is for logs, session
 * tokens, incarnations and stored times.
 */
#ifndef WHARF_BASE_CLOCK_H
#define WHARF_BASE_CLOCK_H

#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

#define DW_US_PER_MS UINT64_C(1000)
#define DW_US_PER_S UINT64_C(1000000)

/**
 * Monotonic time in microseconds (CLOCK_BOOTTIME); it also advances while the process is stopped
 * or the system suspended.
 */
uint64_t dw_clock_now_us(void);

/** Wall-clock time in microseconds since the Unix epoch. */
uint64_t dw_clock_wall_us(void);

#ifdef __cplusplus
}
#endif

#endif
