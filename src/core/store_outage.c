#include <dragonflywharf/store_outage.h>

#include <stdbool.h>

void dw_store_outage_call_failed(struct dw_store_outage *outage, uint64_t confirmed_at_us,
				 uint64_t now_us)
{
	if (outage->failed_since_us == 0 || confirmed_at_us > outage->failed_since_us)
		outage->failed_since_us = now_us;
}

void dw_store_outage_call_broke_off(struct dw_store_outage *outage)
{
	outage->failed_since_us = 0;
}

/* Whether no proof falls into the last @p stale_us before @p at_us. */
static bool is_stale(uint64_t confirmed_at_us, uint64_t stale_us, uint64_t at_us)
{
	return confirmed_at_us + stale_us < at_us;
}

void dw_store_outage_call_answered(struct dw_store_outage *outage, uint64_t confirmed_at_us,
				   uint64_t stale_us, uint64_t now_us)
{
	uint64_t failed_since_us = outage->failed_since_us;

	outage->failed_since_us = 0;
	/* The store has answered another instance since: what failed before belongs to an earlier time. */
	if (confirmed_at_us > failed_since_us)
		return;
	if (failed_since_us > 0 && is_stale(failed_since_us, stale_us, now_us) &&
	    is_stale(confirmed_at_us, stale_us, now_us))
		outage->ended_at_us = now_us;
}

void dw_store_outage_told(struct dw_store_outage *outage, uint64_t ended_at_us,
			  uint64_t confirmed_at_us, uint64_t stale_us)
{
	if (ended_at_us > outage->ended_at_us && is_stale(confirmed_at_us, stale_us, ended_at_us))
		outage->ended_at_us = ended_at_us;
}
