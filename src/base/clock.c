#include "base/clock.h"

#include <time.h>

#define NS_PER_US 1000

static uint64_t read_clock_us(clockid_t id)
{
	struct timespec t;

	clock_gettime(id, &t);
	return (uint64_t)t.tv_sec * DW_US_PER_S + (uint64_t)t.tv_nsec / NS_PER_US;
}

uint64_t dw_clock_now_us(void)
{
	return read_clock_us(CLOCK_BOOTTIME);
}

uint64_t dw_clock_wall_us(void)
{
	return read_clock_us(CLOCK_REALTIME);
}
