#include <dragonflywharf/ramp.h>

void dw_ramp_start(struct dw_ramp *slow_start, uint64_t now_us, uint64_t deadline_us)
{
	slow_start->started_us = now_us;
	slow_start->deadline_us = deadline_us;
}

uint32_t dw_ramp_share_permille(const struct dw_ramp *slow_start, uint64_t now_us)
{
	uint64_t duration_us = slow_start->deadline_us - slow_start->started_us;
	uint64_t increase;

	if (now_us >= slow_start->deadline_us || slow_start->deadline_us <= slow_start->started_us)
		return DW_RAMP_WHOLE_PERMILLE;
	if (now_us <= slow_start->started_us)
		return DW_RAMP_FIRST_PERMILLE;
	increase = (DW_RAMP_WHOLE_PERMILLE - DW_RAMP_FIRST_PERMILLE) *
		   (now_us - slow_start->started_us);
	return DW_RAMP_FIRST_PERMILLE + (uint32_t)(increase / duration_us);
}
