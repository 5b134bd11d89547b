/**
 * @file warmup.c
 * Cold and warm upstreams.
 */
#include "dragonflywharf/warmup.h"

void dw_warmup_init(struct dw_warmup *warmth)
{
	*warmth = (struct dw_warmup){ 0 };
}

static uint64_t add_us(uint64_t time_us, uint64_t period_us)
{
	return period_us > UINT64_MAX - time_us ? UINT64_MAX : time_us + period_us;
}

static void start_cold(struct dw_warmup *warmth, uint64_t incarnation, uint32_t turn,
		       uint64_t warm_at_us)
{
	warmth->incarnation = incarnation;
	warmth->cycle = turn;
	warmth->warm_at_us = warm_at_us;
	warmth->report_due_us = 0;
}

bool dw_warmup_report_seen(struct dw_warmup *warmth, uint64_t incarnation, uint64_t cold_period_us,
			   uint64_t report_within_us, uint64_t now_us)
{
	bool restarted = incarnation > warmth->incarnation;

	if (incarnation < warmth->incarnation)
		return false;
	if (restarted)
		start_cold(warmth, incarnation, 0, add_us(now_us, cold_period_us));
	warmth->report_due_us = add_us(now_us, report_within_us);
	return restarted;
}

void dw_warmup_invalidate(struct dw_warmup *warmth)
{
	warmth->report_due_us = 0;
}

void dw_warmup_restart(struct dw_warmup *warmth, uint64_t cold_period_us, uint64_t now_us)
{
	if (dw_warmup_is_cold(warmth, now_us))
		return;
	start_cold(warmth, warmth->incarnation, warmth->cycle + 1, add_us(now_us, cold_period_us));
}

/** Below, at or above 0 as the evidence is older than, of the same turn as, or newer than ours. */
static int compare_turns(const struct dw_warmup_evidence *evidence, const struct dw_warmup *warmth)
{
	if (evidence->incarnation != warmth->incarnation)
		return evidence->incarnation < warmth->incarnation ? -1 : 1;
	return (evidence->cycle > warmth->cycle) - (evidence->cycle < warmth->cycle);
}

bool dw_warmup_merge(struct dw_warmup *warmth, const struct dw_warmup_evidence *evidence,
		     uint64_t cold_period_us, uint64_t now_us)
{
	uint64_t left_us =
		evidence->age_us < cold_period_us ? cold_period_us - evidence->age_us : 0;
	uint64_t warm_at_us = add_us(now_us, left_us);

	if (evidence->incarnation == 0 || compare_turns(evidence, warmth) < 0)
		return false;
	if (compare_turns(evidence, warmth) > 0) {
		start_cold(warmth, evidence->incarnation, evidence->cycle, warm_at_us);
		return true;
	}
	if (warm_at_us < warmth->warm_at_us)
		warmth->warm_at_us = warm_at_us;
	return false;
}

bool dw_warmup_export(const struct dw_warmup *warmth, uint64_t upstream_id, uint64_t cold_period_us,
		      uint64_t now_us, struct dw_warmup_evidence *out)
{
	uint64_t left_us = warmth->warm_at_us > now_us ? warmth->warm_at_us - now_us : 0;

	if (warmth->incarnation == 0)
		return false;
	*out = (struct dw_warmup_evidence){
		.upstream_id = upstream_id,
		.incarnation = warmth->incarnation,
		.cycle = warmth->cycle,
		.age_us = left_us < cold_period_us ? cold_period_us - left_us : 0,
	};
	return true;
}

bool dw_warmup_is_cold(const struct dw_warmup *warmth, uint64_t now_us)
{
	return warmth->incarnation == 0 || now_us < warmth->warm_at_us ||
	       now_us >= warmth->report_due_us;
}

uint64_t dw_warmup_deadline_us(const struct dw_warmup *warmth, uint64_t now_us)
{
	if (warmth->incarnation == 0 || now_us >= warmth->report_due_us)
		return UINT64_MAX;
	return now_us < warmth->warm_at_us ? warmth->warm_at_us : warmth->report_due_us;
}
