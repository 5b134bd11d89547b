/**
 * @file warmup.h
 * Whether an upstream may be in a cold start, judged from evidence; when in doubt it is cold.
 *
 * A never-seen upstream, a new incarnation, a lost report or a broken connection makes it cold. It
 * is warm once one incarnation has been seen for its whole cold period and a report of that
 * incarnation, sent after the latest doubt, has come.
 */
#ifndef DRAGONFLYWHARF_WARMUP_H
#define DRAGONFLYWHARF_WARMUP_H

#include "dragonflywharf/status.h"

#ifdef __cplusplus
extern "C" {
#endif

struct dw_warmup {
	uint64_t incarnation; /**< of the upstream's process; 0: none seen */
	uint32_t cycle; /**< how often it was suspected cold within the incarnation */
	uint64_t warm_at_us; /**< end of the cold period of that incarnation */
	uint64_t report_due_us; /**< cold from here on unless another report comes; 0: in doubt */
};

/** Evidence passed between peers; the age, not a time, as clocks differ. */
struct dw_warmup_evidence {
	uint64_t upstream_id;
	uint64_t incarnation;
	uint32_t cycle;
	uint64_t age_us; /**< how long the sender knows this incarnation and turn */
};

/** A never-seen upstream: cold. */
void dw_warmup_init(struct dw_warmup *warmth);

/**
 * An answer or load report came straight from the upstream. @p cold_period_us is the configured
 * one; the next report is due within @p report_within_us. An older incarnation than the one
 * known is ignored.
 * @return true if the incarnation is a new one (a restart without warning).
 */
bool dw_warmup_report_seen(struct dw_warmup *warmth, uint64_t incarnation, uint64_t cold_period_us,
			   uint64_t report_within_us, uint64_t now_us);

/** The connection broke or an answer failed: cold until the incarnation is seen again. */
void dw_warmup_invalidate(struct dw_warmup *warmth);

/**
 * Errors or first-token times say that a warm upstream has turned cold within its incarnation: its
 * cold period begins again, here and by evidence at the peers. No effect while it is cold.
 */
void dw_warmup_restart(struct dw_warmup *warmth, uint64_t cold_period_us, uint64_t now_us);

/**
 * A peer's evidence. A newer incarnation or turn makes the upstream cold here; the same ones may
 * shorten the cold period by the peer's longer knowledge, but never ends a doubt.
 * @return true if the incarnation or turn was new here.
 */
bool dw_warmup_merge(struct dw_warmup *warmth, const struct dw_warmup_evidence *evidence,
		     uint64_t cold_period_us, uint64_t now_us);

/** Evidence for peers; false if there is none to give. */
bool dw_warmup_export(const struct dw_warmup *warmth, uint64_t upstream_id, uint64_t cold_period_us,
		      uint64_t now_us, struct dw_warmup_evidence *out);

bool dw_warmup_is_cold(const struct dw_warmup *warmth, uint64_t now_us);

/** The next time at which is_cold() may change without new evidence; UINT64_MAX if none. */
uint64_t dw_warmup_deadline_us(const struct dw_warmup *warmth, uint64_t now_us);

#ifdef __cplusplus
}
#endif

#endif
