/**
 * @file quarantine.h
 * Detects requests that crash the upstreams that run them (poison requests).
 *
 * Evidence is a set of (fingerprint, upstream, upstream incarnation). Peers merge their sets by
 * union, so a crash that several instances saw counts once. A fingerprint with one crash is a
 * suspect; with two it is quarantined until the evidence expires.
 *
 * A run that was given up before its upstream ended (abandoned_runs.h) is weaker evidence: upstreams
 * that end together count once for it, as a caller that leaves one after the other within a second is
 * no cause of their common end.
 *
 * Evidence can be withdrawn: the request ended well elsewhere, the upstream turned out to be alive, or
 * an operator says so. A withdrawn piece doesn't count again, however late or often it arrives.
 */
#ifndef DRAGONFLYWHARF_QUARANTINE_H
#define DRAGONFLYWHARF_QUARANTINE_H

#include <stdbool.h>

#include <dragonflywharf/fingerprint.h>
#include <dragonflywharf/news_schedule.h>
#include <dragonflywharf/status.h>

#ifdef __cplusplus
extern "C" {
#endif

struct dw_quarantine;

/** Number of distinct crashes after which a fingerprint is quarantined. */
#define DW_QUARANTINE_CRASHES 2
/** How often dw_quarantine_take_news() returns a piece. */
#define DW_QUARANTINE_SENDS 5
/** Crashes of abandoned runs that are found within this time count once. */
#define DW_QUARANTINE_TOGETHER_US 50000
/** Length of a round of dw_quarantine_take_news(). */
#define DW_QUARANTINE_ROUND_US 100000

struct dw_quarantine_options {
	/**
	 * when full, a fingerprint is evicted: suspects before quarantined ones, then the first to
	 * expire
	 */
	uint32_t max_fingerprints;
	uint64_t lifetime_us; /**< of each piece of evidence */
};

/** A fingerprint that was running on an upstream when the upstream crashed. */
struct dw_quarantine_evidence {
	struct dw_fingerprint fingerprint;
	uint64_t upstream_id;
	uint64_t upstream_incarnation;
	/** lifetime left when it was sent; a duration, because clocks of peers aren't compared. 0: the
	 * piece is withdrawn */
	uint64_t remaining_us;
	bool is_abandoned; /**< the run had been given up when the upstream crashed */
};

enum dw_status dw_quarantine_new(struct dw_quarantine **out,
				 const struct dw_quarantine_options *options);
void dw_quarantine_free(struct dw_quarantine *quarantine);

/** Defaults: 4,096 fingerprints, evidence kept for 15 minutes. */
struct dw_quarantine_options dw_quarantine_default_options(void);

/**
 * Checks a new request. @return DW_OK, or DW_QUARANTINED: the request must be refused, and is
 * provably not run.
 */
enum dw_status dw_quarantine_check(const struct dw_quarantine *quarantine,
				   struct dw_fingerprint fingerprint, uint64_t now_us);

/** Whether the fingerprint is a suspect, but not quarantined. */
bool dw_quarantine_is_suspect(const struct dw_quarantine *quarantine,
			      struct dw_fingerprint fingerprint, uint64_t now_us);

/**
 * Whether a request may be started on an upstream on which this instance runs the fingerprints @p
 * running. A suspect may not run beside another suspect nor on an upstream that crashed while
 * running it. A quarantined request may never run.
 */
bool dw_quarantine_may_run(const struct dw_quarantine *quarantine,
			   struct dw_fingerprint fingerprint, uint64_t upstream_id,
			   const struct dw_fingerprint *running, size_t running_count,
			   uint64_t now_us);

/**
 * Whether a request may be retried after its upstream crashed: it isn't quarantined and was retried
 * fewer than DW_QUARANTINE_CRASHES - 1 times after crashes. The caller counts @p crash_retries per
 * request.
 */
bool dw_quarantine_may_retry(const struct dw_quarantine *quarantine,
			     struct dw_fingerprint fingerprint, uint32_t crash_retries,
			     uint64_t now_us);

/** Records that an upstream crashed while it ran these requests. New evidence enters the outbox. */
void dw_quarantine_crashed(struct dw_quarantine *quarantine, uint64_t upstream_id,
			   uint64_t upstream_incarnation, const struct dw_fingerprint *running,
			   size_t running_count, uint64_t now_us);

/**
 * Merges evidence from a peer. @return true if it was new here; it is then forwarded through the
 * outbox.
 */
bool dw_quarantine_merge(struct dw_quarantine *quarantine,
			 const struct dw_quarantine_evidence *evidence, uint64_t now_us);

/**
 * Takes the next evidence from the outbox, to be sent to all peers. @return false if there is none.
 */
bool dw_quarantine_next_evidence(struct dw_quarantine *quarantine, uint64_t now_us,
				 struct dw_quarantine_evidence *evidence);

/**
 * Merges evidence from a peer, to be passed on to @p scope.
 * @return true if it was new here, or withdraws a piece that counted here
 */
bool dw_quarantine_merge_scoped(struct dw_quarantine *quarantine,
				const struct dw_quarantine_evidence *evidence,
				enum dw_spread_scope scope, uint64_t now_us);

/**
 * Takes up to @p max pieces that have to be sent to @p scope, those of abandoned runs or the others: they
 * are sent apart, since peers of earlier versions don't know the difference. Each piece is returned in
 * DW_QUARANTINE_SENDS rounds, and once in a round, since messages may be lost. @return their number
 */
size_t dw_quarantine_take_news(struct dw_quarantine *quarantine, bool is_abandoned,
			       enum dw_spread_scope scope, uint32_t round, uint64_t now_us,
			       struct dw_quarantine_evidence *out, size_t max);

/**
 * Withdraws all evidence against a fingerprint, to be told to @p scope.
 * @return number of pieces that counted until now
 */
uint32_t dw_quarantine_clear(struct dw_quarantine *quarantine, struct dw_fingerprint fingerprint,
			     enum dw_spread_scope scope, uint64_t now_us);

/** Withdraws one piece, to be told to all. @return whether it counted until now */
bool dw_quarantine_withdraw(struct dw_quarantine *quarantine, struct dw_fingerprint fingerprint,
			    uint64_t upstream_id, uint64_t upstream_incarnation, uint64_t now_us);

/** Copies the pieces that count against a fingerprint. @return their number */
uint32_t dw_quarantine_pieces(const struct dw_quarantine *quarantine,
			      struct dw_fingerprint fingerprint, uint64_t now_us,
			      struct dw_quarantine_evidence out[DW_QUARANTINE_CRASHES]);

/** Puts all unexpired evidence into the outbox again, for a peer that has joined. */
void dw_quarantine_resend(struct dw_quarantine *quarantine);

/** Removes expired evidence. */
void dw_quarantine_tick(struct dw_quarantine *quarantine, uint64_t now_us);

/** Number of suspects, without the quarantined fingerprints. */
size_t dw_quarantine_suspect_count(const struct dw_quarantine *quarantine, uint64_t now_us);

/** Number of quarantined fingerprints. */
size_t dw_quarantine_count(const struct dw_quarantine *quarantine, uint64_t now_us);

#ifdef __cplusplus
}
#endif

#endif
