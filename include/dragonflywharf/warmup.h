/**
 * @file warmup.h
 * Detects whether an upstream may be in a cold start. Without current evidence it counts as cold.
 *
 * An upstream is cold if it has never been seen, restarted (new incarnation), missed a load report
 * or lost its connection. It becomes warm once the same incarnation has been known for the whole
 * cold period and has sent a report since the last missed report or lost connection.
 */
#ifndef DRAGONFLYWHARF_WARMUP_H
#define DRAGONFLYWHARF_WARMUP_H

#include "dragonflywharf/status.h"

#ifdef __cplusplus
extern "C" {
#endif

struct dw_warmup {
	uint64_t incarnation; /**< incarnation of the upstream process; 0: none seen */
	uint32_t
		cold_restarts; /**< how often the cold period was restarted within the incarnation */
	uint64_t warm_at_us; /**< end of the current cold period */
	/** Cold from then on without another report; 0: none since the cold period began or since
	 * dw_warmup_invalidate(). */
	uint64_t report_due_us;
};

/** Evidence exchanged between peers. Contains an age instead of a time, as clocks differ. */
struct dw_warmup_evidence {
	uint64_t upstream_id;
	uint64_t incarnation;
	uint32_t cold_restarts;
	uint64_t age_us; /**< how long the sender has known this incarnation and cold period */
};

/** Initializes the state of an upstream that has never been seen; it is cold. */
void dw_warmup_init(struct dw_warmup *warmup);

/**
 * Records a response or load report received directly from the upstream. @p cold_period_us is the
 * configured cold period; the next report is due within @p report_within_us. An older incarnation
 * than the known one is ignored.
 * @return true if the incarnation is new, i.e. the upstream was first seen or has restarted.
 */
bool dw_warmup_report_seen(struct dw_warmup *warmup, uint64_t incarnation, uint64_t cold_period_us,
			   uint64_t report_within_us, uint64_t now_us);

/** Records a broken connection or failed response: cold until the next response or report. */
void dw_warmup_invalidate(struct dw_warmup *warmup);

/**
 * Restarts the cold period of a warm upstream whose errors or first-token latency show that it has
 * become cold without a restart. Exported evidence propagates this to the peers. No effect while it
 * is cold.
 */
void dw_warmup_restart(struct dw_warmup *warmup, uint64_t cold_period_us, uint64_t now_us);

/**
 * Merges evidence from a peer. A newer incarnation or cold period makes the upstream cold. If both
 * are the same, the cold period may end earlier because the peer has known the upstream for longer,
 * but the evidence doesn't replace a missing report.
 * @return true if the incarnation or cold period was new.
 */
bool dw_warmup_merge(struct dw_warmup *warmup, const struct dw_warmup_evidence *evidence,
		     uint64_t cold_period_us, uint64_t now_us);

/** Creates evidence for peers; false if the upstream has never been seen. */
bool dw_warmup_export(const struct dw_warmup *warmup, uint64_t upstream_id, uint64_t cold_period_us,
		      uint64_t now_us, struct dw_warmup_evidence *out);

bool dw_warmup_is_cold(const struct dw_warmup *warmup, uint64_t now_us);

/** The next time at which dw_warmup_is_cold() may change by itself; UINT64_MAX if none. */
uint64_t dw_warmup_deadline_us(const struct dw_warmup *warmup, uint64_t now_us);

#ifdef __cplusplus
}
#endif

#endif
