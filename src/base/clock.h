/**
 * @file clock.h
 * The two clocks of a process. Deadlines use the monotonic one; logs and tokens the wall clock.
 */
#ifndef WHARF_BASE_CLOCK_H
#define WHARF_BASE_CLOCK_H

#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

#define DW_US_PER_MS UINT64_C(1000)
#define DW_US_PER_S UINT64_C(1000000)

/** Monotonic time in microseconds; it goes on while the process is stopped. */
uint64_t dw_clock_now_us(void);

/** Wall-clock time in microseconds since 1970. */
uint64_t dw_clock_wall_us(void);

#ifdef __cplusplus
}
#endif

#endif
