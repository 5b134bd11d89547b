/**
 * @file quarantine.h
 * Requests that crash the upstreams that run them.
 *
 * Evidence is a set of (fingerprint, upstream, upstream incarnation), merged between peers by
 * union: the same crash seen by several instances counts once. One crash makes a fingerprint a
 * suspect, two quarantine it until the evidence expires.
 */
#ifndef DRAGONFLYWHARF_QUARANTINE_H
#define DRAGONFLYWHARF_QUARANTINE_H

#include <dragonflywharf/fingerprint.h>
#include <dragonflywharf/status.h>

#ifdef __cplusplus
extern "C" {
#endif

struct dw_quarantine;

/** Distinct crashes that quarantine a fingerprint. */
#define DW_QUARANTINE_CRASHES 2

struct dw_quarantine_options {
	uint32_t max_fingerprints; /**< when full, the evidence nearest to expiry makes room */
	uint64_t lifetime_us; /**< of a piece of evidence */
};

/** A fingerprint that was running on an upstream when it crashed. */
struct dw_quarantine_evidence {
	struct dw_fingerprint fingerprint;
	uint64_t upstream_id;
	uint64_t upstream_incarnation;
	uint64_t remaining_us; /**< at the time of sending; clocks of peers aren't compared */
};

enum dw_status dw_quarantine_new(struct dw_quarantine **out,
				 const struct dw_quarantine_options *options);
void dw_quarantine_free(struct dw_quarantine *quarantine);

/** 4,096 fingerprints for 15 minutes. */
struct dw_quarantine_options dw_quarantine_default_options(void);

/** @return DW_OK, or DW_QUARANTINED: refuse the request, truly not run. */
enum dw_status dw_quarantine_check(const struct dw_quarantine *quarantine,
				   struct dw_fingerprint fingerprint, uint64_t now_us);

/** Whether exactly one crash is known of the fingerprint. */
bool dw_quarantine_is_suspect(const struct dw_quarantine *quarantine,
			      struct dw_fingerprint fingerprint, uint64_t now_us);

/**
 * Whether a request may be started on an upstream that runs @p running of this instance. A suspect
 * goes only where no other suspect runs and not to an upstream that it crashed; quarantined: never.
 */
bool dw_quarantine_may_run(const struct dw_quarantine *quarantine,
			   struct dw_fingerprint fingerprint, uint64_t upstream_id,
			   const struct dw_fingerprint *running, size_t running_count,
			   uint64_t now_us);

/**
 * Whether a request may be tried again after its upstream crashed: it was retried fewer than once
 * for a crash (@p crash_retries, kept by the request) and isn't quarantined.
 */
bool dw_quarantine_may_retry(const struct dw_quarantine *quarantine,
			     struct dw_fingerprint fingerprint, uint32_t crash_retries,
			     uint64_t now_us);

/** An upstream crashed while it ran these requests; new evidence enters the outbox. */
void dw_quarantine_crashed(struct dw_quarantine *quarantine, uint64_t upstream_id,
			   uint64_t upstream_incarnation, const struct dw_fingerprint *running,
			   size_t running_count, uint64_t now_us);

/** Evidence from a peer. @return true if it was new here (and is passed on by the outbox). */
bool dw_quarantine_merge(struct dw_quarantine *quarantine,
			 const struct dw_quarantine_evidence *evidence, uint64_t now_us);

/** Next new evidence to send to the peers; false if there is none. */
bool dw_quarantine_next_evidence(struct dw_quarantine *quarantine, uint64_t now_us,
				 struct dw_quarantine_evidence *evidence);

/** Puts all live evidence into the outbox again, for a peer that joined. */
void dw_quarantine_resend(struct dw_quarantine *quarantine);

/** Drops expired evidence. */
void dw_quarantine_tick(struct dw_quarantine *quarantine, uint64_t now_us);

/** Fingerprints now quarantined. */
size_t dw_quarantine_count(const struct dw_quarantine *quarantine, uint64_t now_us);

#ifdef __cplusplus
}
#endif

#endif
