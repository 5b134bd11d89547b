/**
 * @file crash_guard.h
 * Protects engines from requests that crash them, over all instances.
 *
 * When connections to an engine break, the guard finds out whether it has ended, by a connection of
 * its own and by what else is seen of the engine. If so, each request that was running there is a
 * suspect; with two such crashes it is quarantined and isn't sent any more. A request that was given up
 * shortly before counts as running for a second, in which the guard keeps a connection to the engine; longer
 * if the engine is silent and then turns out to have ended, as another lifetime is at its address.
 * The evidence goes to the other instances in digests, a quarantine also to the store, and so does a
 * suspicion while few others are heard. A run that ends well clears a request. The same evidence counts
 * against the parts of the prompts, see part_guard.h.
 */
#ifndef GATEWAY_CRASH_GUARD_H
#define GATEWAY_CRASH_GUARD_H

#include <uv.h>

#include <dragonflywharf/abandoned_runs.h>
#include <dragonflywharf/completion_cache.h>
#include <dragonflywharf/crash_check.h>
#include <dragonflywharf/engine.h>
#include <dragonflywharf/quarantine.h>

#include "base/log.h"
#include "wharf-gateway/part_guard.h"
#include "wharf-gateway/quarantine_records.h"

/** Suspects that this instance runs at a time. */
#define CRASH_GUARD_RUNNING_MAX 64
/** Engines to which a connection is kept after a run was given up; others are found ended later. */
#define CRASH_GUARD_WATCHED_MAX 64

struct crash_guard {
	uv_loop_t *loop; /**< NULL until crash_guard_start() */
	struct dw_log *log;
	struct dw_engine_set *engines;
	struct dw_quarantine *quarantine;
	struct dw_crash_checks *checks;
	struct dw_completion_cache completions;
	struct dw_abandoned_runs abandoned;
	uint64_t watched[CRASH_GUARD_WATCHED_MAX]; /**< id_hash of engines; 0: free place */
	struct quarantine_records records;
	struct part_guard parts;
	struct dw_fingerprint running[CRASH_GUARD_RUNNING_MAX]; /**< suspects that run now */
	uint32_t running_count;
	void (*on_news)(void *owner); /**< there is evidence to be sent; may be NULL */
	void *on_news_owner;
	uint64_t engines_ended; /**< as found by this instance, since the start */
	uint64_t probes; /**< made to find that out */
};

void crash_guard_init(struct crash_guard *guard, struct dw_log *log, struct dw_engine_set *engines,
		      struct era_guard *era_guard);
void crash_guard_start(struct crash_guard *guard, uv_loop_t *loop, struct dw_store *store,
		       uint64_t seed);
void crash_guard_close(struct crash_guard *guard);
/** Forgets what is too old. */
void crash_guard_sweep(struct crash_guard *guard, uint64_t now_us);

/** What may be done with a request now. */
enum crash_guard_verdict {
	CRASH_GUARD_RUN,
	/** With a suspect_key (dw_choice_request), if an engine can be found so. */
	CRASH_GUARD_RUN_WATCHED,
	CRASH_GUARD_RUN_SPARING, /**< the same, but not at the last engine */
	CRASH_GUARD_RUN_DOUBTFUL, /**< only with a suspect_key, also beside other suspects */
	CRASH_GUARD_RUN_AS_SUSPECT, /**< only with a suspect_key, beside no other suspect */
	/** It isn't known yet whether its engine ended under it, or which others ended with it. */
	CRASH_GUARD_UNDECIDED,
	CRASH_GUARD_RUNS_ALREADY, /**< it is a suspect, and this instance runs it */
	CRASH_GUARD_QUARANTINED,
	CRASH_GUARD_PART_QUARANTINED, /**< a part of its prompt is */
	CRASH_GUARD_VERDICT_COUNT
};

/**
 * @param suspect what the request is a suspect for, unless the verdict is RUN: the request itself or a
 * part of its prompt
 */
enum crash_guard_verdict crash_guard_check(const struct crash_guard *guard,
					   const struct dw_crash_run *run, uint64_t now_us,
					   struct dw_fingerprint *suspect);

/** A suspect is sent to an engine, or its attempt has ended. */
void crash_guard_suspect_sent(struct crash_guard *guard, struct dw_fingerprint suspect);
void crash_guard_suspect_ended(struct crash_guard *guard, struct dw_fingerprint suspect);

/** The engine's machine closed the connection on which the engine had the request. */
void crash_guard_connection_lost(struct crash_guard *guard, const struct dw_engine *engine,
				 const struct dw_crash_run *run, uint64_t sent_at_us);
/** This instance has closed the connection, while the engine worked on the request. */
void crash_guard_abandoned(struct crash_guard *guard, const struct dw_engine *engine,
			   const struct dw_crash_run *run, uint64_t sent_at_us);
/** A sign of the engine's life or end, see dw_crash_checks_sign(). */
void crash_guard_sign(struct crash_guard *guard, const struct dw_engine *engine,
		      enum dw_crash_sign sign, uint64_t since_us);
/** A later lifetime of the engine's service is registered at its address. */
void crash_guard_replaced(struct crash_guard *guard, struct dw_engine *engine);
/** A run ended well. */
void crash_guard_completed(struct crash_guard *guard, struct dw_fingerprint request,
			   const char *version);
/** The same, with a successful answer that began at @p began_at_us: its parts are cleared. */
void crash_guard_parts_completed(struct crash_guard *guard, const struct dw_part_set *parts,
				 const char *version, uint64_t began_at_us);

/** Merges evidence that the instance @p from sent, to be passed on to @p scope. */
void crash_guard_merge(struct crash_guard *guard, const struct dw_quarantine_evidence *evidence,
		       size_t count, enum dw_spread_scope scope, const char *from);
/** The same about parts of prompts. */
void crash_guard_merge_parts(struct crash_guard *guard, const struct dw_part_news *news,
			     size_t count, enum dw_spread_scope scope, const char *from);
/** A key of the store was written or deleted; others than those of quarantines are ignored. */
void crash_guard_apply_record(struct crash_guard *guard, const struct dw_store_event *event);
/** The store came back from an older copy: see quarantine_records_store_restored(). */
void crash_guard_store_restored(struct crash_guard *guard, const struct dw_view_place *place,
				uint64_t now_us);

#endif
