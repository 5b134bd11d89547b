/**
 * @file warmup.c
 * Detection of upstreams in a cold start.
 */
#include "dragonflywharf/warmup.h"

void dw_warmup_init(struct dw_warmup *warmup)
{
	*warmup = (struct dw_warmup){ 0 };
}

static uint64_t add_us(uint64_t time_us, uint64_t period_us)
{
	return period_us > UINT64_MAX - time_us ? UINT64_MAX : time_us + period_us;
}

static void start_cold(struct dw_warmup *warmup, uint64_t incarnation, uint32_t cycle,
		       uint64_t warm_at_us)
{
	warmup->incarnation = incarnation;
	warmup->cold_restarts = cycle;
	warmup->warm_at_us = warm_at_us;
	warmup->report_due_us = 0;
}

bool dw_warmup_report_seen(struct dw_warmup *warmup, uint64_t incarnation, uint64_t cold_period_us,
			   uint64_t report_within_us, uint64_t now_us)
{
	bool restarted = incarnation > warmup->incarnation;

	if (incarnation < warmup->incarnation)
		return false;
	if (restarted)
		start_cold(warmup, incarnation, 0, add_us(now_us, cold_period_us));
	warmup->report_due_us = add_us(now_us, report_within_us);
	return restarted;
}

void dw_warmup_invalidate(struct dw_warmup *warmup)
{
	warmup->report_due_us = 0;
}

void dw_warmup_restart(struct dw_warmup *warmup, uint64_t cold_period_us, uint64_t now_us)
{
	if (dw_warmup_is_cold(warmup, now_us))
		return;
	start_cold(warmup, warmup->incarnation, warmup->cold_restarts + 1,
		   add_us(now_us, cold_period_us));
}

/** Returns -1, 0 or 1 if the evidence is older than, as new as or newer than the known state. */
static int compare_evidence(const struct dw_warmup_evidence *evidence,
			    const struct dw_warmup *warmup)
{
	if (evidence->incarnation != warmup->incarnation)
		return evidence->incarnation < warmup->incarnation ? -1 : 1;
	return (evidence->cold_restarts > warmup->cold_restarts) -
	       (evidence->cold_restarts < warmup->cold_restarts);
}

bool dw_warmup_merge(struct dw_warmup *warmup, const struct dw_warmup_evidence *evidence,
		     uint64_t cold_period_us, uint64_t now_us)
{
	uint64_t remaining_us =
		evidence->age_us < cold_period_us ? cold_period_us - evidence->age_us : 0;
	uint64_t warm_at_us = add_us(now_us, remaining_us);

	if (evidence->incarnation == 0 || compare_evidence(evidence, warmup) < 0)
		return false;
	if (compare_evidence(evidence, warmup) > 0) {
		start_cold(warmup, evidence->incarnation, evidence->cold_restarts, warm_at_us);
		return true;
	}
	if (warm_at_us < warmup->warm_at_us)
		warmup->warm_at_us = warm_at_us;
	return false;
}

bool dw_warmup_export(const struct dw_warmup *warmup, uint64_t upstream_id, uint64_t cold_period_us,
		      uint64_t now_us, struct dw_warmup_evidence *out)
{
	uint64_t remaining_us = warmup->warm_at_us > now_us ? warmup->warm_at_us - now_us : 0;

	if (warmup->incarnation == 0)
		return false;
	*out = (struct dw_warmup_evidence){
		.upstream_id = upstream_id,
		.incarnation = warmup->incarnation,
		.cold_restarts = warmup->cold_restarts,
		.age_us = remaining_us < cold_period_us ? cold_period_us - remaining_us : 0,
	};
	return true;
}

bool dw_warmup_is_cold(const struct dw_warmup *warmup, uint64_t now_us)
{
	return warmup->incarnation == 0 || now_us < warmup->warm_at_us ||
	       now_us >= warmup->report_due_us;
}

uint64_t dw_warmup_deadline_us(const struct dw_warmup *warmup, uint64_t now_us)
{
	if (warmup->incarnation == 0 || now_us >= warmup->report_due_us)
		return UINT64_MAX;
	return now_us < warmup->warm_at_us ? warmup->warm_at_us : warmup->report_due_us;
}
