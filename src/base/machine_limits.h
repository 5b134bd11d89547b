/**
 * @file machine_limits.h
 * What this machine allows: its memory, as /proc/meminfo and the settings say, and its descriptors, as
 * RLIMIT_NOFILE and the settings say. The lower one counts.
 */
#ifndef WHARF_BASE_MACHINE_LIMITS_H
#define WHARF_BASE_MACHINE_LIMITS_H

#include <dragonflywharf/caller_budget.h>

#ifdef __cplusplus
extern "C" {
#endif

/** @param memory_mb, descriptors as the settings say; 0: not set. The operator's limits stay 0. */
struct dw_caller_limits_of_machine machine_limits_read(uint64_t memory_mb, uint64_t descriptors);

/** A limit in MB, in bytes. */
uint64_t machine_limits_mb(uint64_t mb);

#ifdef __cplusplus
}
#endif

#endif
