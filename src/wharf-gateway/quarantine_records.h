/**
 * @file quarantine_records.h
 * Keeps quarantines in the store, so that instances that start later know them, and operators can see
 * and lift them. While an instance hears few others, it also keeps its own suspicions there, as no news of
 * them would reach the others.
 *
 * The key is a prefix for the kind of evidence, with the fingerprint of what is quarantined. The value
 * holds the evidence and names the engines: {"crashes":[[ID,INCARNATION,...],...],"engines":[NAME,...]},
 * or says that the quarantine is lifted: {"lifted":true}. What follows in the list of a crash is the
 * kind's. The store removes the key after the lifetime of the evidence.
 */
#ifndef GATEWAY_QUARANTINE_RECORDS_H
#define GATEWAY_QUARANTINE_RECORDS_H

#include <uv.h>

#include <dragonflywharf/engine.h>
#include <dragonflywharf/fingerprint.h>

#include "port/store.h"
#include "wharf-gateway/era_guard.h"

/** Lifetime of crash evidence and of its record, the longest that the store allows. */
#define QUARANTINE_LIFETIME_S 600
/** Entries of a record. */
#define QUARANTINE_RECORD_CRASHES_MAX 40
/** Integers about a crash. */
#define QUARANTINE_RECORD_VALUES_MAX 6

/** What a record says of a crash: its engine, the engine's incarnation, and what the kind adds. */
struct quarantine_record_crash {
	uint64_t values[QUARANTINE_RECORD_VALUES_MAX];
	uint32_t count;
};

/** A kind of evidence that is kept in records. */
struct quarantine_record_kind {
	const char *prefix; /**< of its keys */
	enum era_rewrite rewrite;
	/** How much is known against @p key here; 0: nothing. */
	uint32_t (*level)(const void *evidence, struct dw_fingerprint key, uint64_t now_us);
	/** The same of what a record says. */
	uint32_t (*stored_level)(const struct quarantine_record_crash *crashes, uint32_t count);
	/** The crashes that count here. @return their number */
	uint32_t (*crashes)(const void *evidence, struct dw_fingerprint key, uint64_t now_us,
			    struct quarantine_record_crash out[QUARANTINE_RECORD_CRASHES_MAX]);
};

struct quarantine_record;

struct quarantine_records {
	const struct quarantine_record_kind *kind;
	const void *evidence;
	struct dw_engine_set *engines;
	struct era_guard *era_guard;
	struct dw_store *store; /**< NULL until quarantine_records_start() */
	struct quarantine_record *records;
	/** Whether few other instances are heard; NULL: they are. */
	bool (*are_few_heard)(const void *owner);
	const void *are_few_heard_owner;
	uint64_t random;
	uint32_t suspicions_left; /**< that may be written until the next check */
	struct dw_view_place place; /**< of this instance at the last restore */
	uint64_t
		restored_until_us; /**< until then, lost records are written again; 0: none was lost */
	uv_timer_t timer;
};

void quarantine_records_init(struct quarantine_records *records,
			     const struct quarantine_record_kind *kind, const void *evidence,
			     struct dw_engine_set *engines, struct era_guard *era_guard);
/** Starts writing. */
void quarantine_records_start(struct quarantine_records *records, uv_loop_t *loop,
			      struct dw_store *store, uint64_t seed);

/** The key is quarantined here; @p is_own: by a crash that this instance saw. It writes the
 * record then; others only if none appears. */
void quarantine_records_add(struct quarantine_records *records, struct dw_fingerprint key,
			    bool is_own);
/** There is evidence here, from a crash that this instance saw: written while few others are heard. */
void quarantine_records_add_suspicion(struct quarantine_records *records,
				      struct dw_fingerprint key);
/** All evidence was withdrawn here: the record, if there is one, is marked as lifted. */
void quarantine_records_lift(struct quarantine_records *records, struct dw_fingerprint key);

/**
 * The store came back from an older copy, and its records were applied. What it has lost is written again unless
 * another instance does so first: quarantines and suspicions that it had, and that they were lifted.
 */
void quarantine_records_store_restored(struct quarantine_records *records,
				       const struct dw_view_place *place, uint64_t now_us);

enum quarantine_change {
	QUARANTINE_CHANGE_NONE, /**< another key, a deletion, or malformed */
	QUARANTINE_CHANGE_CRASHES,
	QUARANTINE_CHANGE_LIFTED,
	QUARANTINE_CHANGE_COUNT
};

/** What a changed record says. */
struct quarantine_record_change {
	enum quarantine_change kind;
	struct dw_fingerprint key;
	struct quarantine_record_crash crashes[QUARANTINE_RECORD_CRASHES_MAX]; /**< CRASHES */
	uint32_t crash_count;
};

/** A key of the store was written or deleted. */
void quarantine_records_apply(struct quarantine_records *records,
			      const struct dw_store_event *event,
			      struct quarantine_record_change *change);

#endif
