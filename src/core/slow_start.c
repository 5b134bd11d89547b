#include <dragonflywharf/slow_start.h>

void dw_slow_start_begin(struct dw_slow_start *ramp, uint64_t now_us, uint64_t deadline_us)
{
	ramp->started_us = now_us;
	ramp->deadline_us = deadline_us;
}

uint32_t dw_slow_start_permille(const struct dw_slow_start *ramp, uint64_t now_us)
{
	uint64_t whole_us = ramp->deadline_us - ramp->started_us;
	uint64_t risen;

	if (now_us >= ramp->deadline_us || ramp->deadline_us <= ramp->started_us)
		return DW_SLOW_START_FULL_PERMILLE;
	if (now_us <= ramp->started_us)
		return DW_SLOW_START_INITIAL_PERMILLE;
	risen = (DW_SLOW_START_FULL_PERMILLE - DW_SLOW_START_INITIAL_PERMILLE) *
		(now_us - ramp->started_us);
	return DW_SLOW_START_INITIAL_PERMILLE + (uint32_t)(risen / whole_us);
}
