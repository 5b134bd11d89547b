/**
 * @file quarantine_records.h
 * Keeps quarantined requests in the store, so that instances that start later know them, and
 * operators can see and lift a quarantine. While an instance hears few others, it also keeps its own
 * suspicions there, as no news of them would reach the others.
 *
 * The key is "wharf/quarantine/FINGERPRINT". The value names the engines that ended under the
 * request: {"crashes":[[ID,INCARNATION],...],"engines":[NAME,...]}, or says that the quarantine is
 * lifted: {"lifted":true}. A third element of a crash, 1, says that its run had been given up before.
 * The store removes the key after the lifetime of the evidence.
 */
#ifndef GATEWAY_QUARANTINE_RECORDS_H
#define GATEWAY_QUARANTINE_RECORDS_H

#include <uv.h>

#include <dragonflywharf/engine.h>
#include <dragonflywharf/quarantine.h>

#include "port/store.h"

/** Lifetime of crash evidence and of its record, the longest that the store allows. */
#define QUARANTINE_LIFETIME_S 600

struct quarantine_record;

struct quarantine_records {
	const struct dw_quarantine *quarantine;
	struct dw_engine_set *engines;
	struct dw_store *store; /**< NULL until quarantine_records_start() */
	struct quarantine_record *records;
	/** Whether few other instances are heard; NULL: they are. */
	bool (*are_few_heard)(const void *owner);
	const void *are_few_heard_owner;
	uint64_t random;
	uint32_t suspicions_left; /**< that may be written until the next check */
	uv_timer_t timer;
};

void quarantine_records_init(struct quarantine_records *records,
			     const struct dw_quarantine *quarantine, struct dw_engine_set *engines);
/** Starts writing. */
void quarantine_records_start(struct quarantine_records *records, uv_loop_t *loop,
			      struct dw_store *store, uint64_t seed);

/** The request is quarantined here; @p is_own: by a crash that this instance saw. It writes the
 * record then; others only if none appears. */
void quarantine_records_add(struct quarantine_records *records, struct dw_fingerprint fingerprint,
			    bool is_own);
/** The request is a suspect here, by a crash that this instance saw: written while few others are
 * heard. */
void quarantine_records_add_suspicion(struct quarantine_records *records,
				      struct dw_fingerprint fingerprint);
/** All evidence was withdrawn here: the record, if there is one, is marked as lifted. */
void quarantine_records_lift(struct quarantine_records *records, struct dw_fingerprint fingerprint);

enum quarantine_change {
	QUARANTINE_CHANGE_NONE, /**< another key, a deletion, or malformed */
	QUARANTINE_CHANGE_CRASHES,
	QUARANTINE_CHANGE_LIFTED,
	QUARANTINE_CHANGE_COUNT
};

/** What a changed record says. */
struct quarantine_record_change {
	enum quarantine_change kind;
	struct dw_fingerprint fingerprint;
	struct dw_quarantine_evidence crashes[DW_QUARANTINE_CRASHES]; /**< CRASHES */
	uint32_t crash_count;
};

/** A key of the store was written or deleted. */
void quarantine_records_apply(struct quarantine_records *records,
			      const struct dw_store_event *event,
			      struct quarantine_record_change *change);

#endif
