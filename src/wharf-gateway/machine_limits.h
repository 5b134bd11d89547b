/**
 * @file machine_limits.h
 * What this machine allows: its memory, as /proc/meminfo and the settings say, and its descriptors, as
 * RLIMIT_NOFILE and the settings say. The lower one counts.
 */
#ifndef GATEWAY_MACHINE_LIMITS_H
#define GATEWAY_MACHINE_LIMITS_H

#include <dragonflywharf/caller_budget.h>

#include "wharf-gateway/gateway_settings.h"

struct dw_caller_limits_of_machine machine_limits_read(const struct gateway_settings *settings);

#endif
