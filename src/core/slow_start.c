#include <dragonflywharf/slow_start.h>

void dw_slow_start_begin(struct dw_slow_start *slow_start, uint64_t now_us, uint64_t deadline_us)
{
	slow_start->started_us = now_us;
	slow_start->full_at_us = deadline_us;
}

uint32_t dw_slow_start_permille(const struct dw_slow_start *slow_start, uint64_t now_us)
{
	uint64_t duration_us = slow_start->full_at_us - slow_start->started_us;
	uint64_t increase;

	if (now_us >= slow_start->full_at_us || slow_start->full_at_us <= slow_start->started_us)
		return DW_SLOW_START_FULL_PERMILLE;
	if (now_us <= slow_start->started_us)
		return DW_SLOW_START_INITIAL_PERMILLE;
	increase = (DW_SLOW_START_FULL_PERMILLE - DW_SLOW_START_INITIAL_PERMILLE) *
		   (now_us - slow_start->started_us);
	return DW_SLOW_START_INITIAL_PERMILLE + (uint32_t)(increase / duration_us);
}
