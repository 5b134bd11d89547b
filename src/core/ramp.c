#include <dragonflywharf/ramp.h>

void dw_ramp_start(struct dw_ramp *ramp, uint64_t now_us, uint64_t deadline_us)
{
	ramp->started_us = now_us;
	ramp->deadline_us = deadline_us;
}

uint32_t dw_ramp_share_permille(const struct dw_ramp *ramp, uint64_t now_us)
{
	uint64_t whole_us = ramp->deadline_us - ramp->started_us;
	uint64_t risen;

	if (now_us >= ramp->deadline_us || ramp->deadline_us <= ramp->started_us)
		return DW_RAMP_WHOLE_PERMILLE;
	if (now_us <= ramp->started_us)
		return DW_RAMP_FIRST_PERMILLE;
	risen = (DW_RAMP_WHOLE_PERMILLE - DW_RAMP_FIRST_PERMILLE) * (now_us - ramp->started_us);
	return DW_RAMP_FIRST_PERMILLE + (uint32_t)(risen / whole_us);
}
