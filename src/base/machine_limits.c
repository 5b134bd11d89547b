#include "base/machine_limits.h"

#include <inttypes.h>
#include <stdio.h>
#include <sys/resource.h>

#define BYTES_PER_KB UINT64_C(1024)

/* 0 if it can't be read. */
static uint64_t read_memory_bytes(void)
{
	FILE *file = fopen("/proc/meminfo", "r");
	uint64_t kb = 0;

	if (!file)
		return 0;
	if (fscanf(file, "MemTotal: %" SCNu64, &kb) != 1)
		kb = 0;
	fclose(file);
	return kb * BYTES_PER_KB;
}

static uint64_t read_descriptors(void)
{
	struct rlimit limit;

	if (getrlimit(RLIMIT_NOFILE, &limit) != 0 || limit.rlim_cur == RLIM_INFINITY)
		return 0;
	return limit.rlim_cur;
}

/* The lower of two limits, of which 0 means unknown. */
static uint64_t lower_limit(uint64_t a, uint64_t b)
{
	if (a == 0 || b == 0)
		return a + b;
	return a < b ? a : b;
}

uint64_t machine_limits_mb(uint64_t mb)
{
	return mb * BYTES_PER_KB * BYTES_PER_KB;
}

struct dw_caller_limits_of_machine machine_limits_read(uint64_t memory_mb, uint64_t descriptors)
{
	return (struct dw_caller_limits_of_machine){
		.memory_bytes = lower_limit(machine_limits_mb(memory_mb), read_memory_bytes()),
		.descriptors = lower_limit(descriptors, read_descriptors()),
	};
}
