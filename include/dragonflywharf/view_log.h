/**
 * @file view_log.h
 * The newest known record of each key of the store, deleted ones included, from which another instance
 * can be brought up to date: with the records that changed since a revision, or with all of them.
 *
 * Records may arrive in any order and from several sources; an older record of a key never replaces
 * a newer one. Revisions hold the store's era (store_revision.h). After the store came back from an older copy, a
 * record that it has lost may be kept over the older one that it shows: see dw_view_record.kept_over. Running out of
 * memory aborts.
 */
#ifndef DRAGONFLYWHARF_VIEW_LOG_H
#define DRAGONFLYWHARF_VIEW_LOG_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

struct dw_view_record {
	const char *key; /**< NUL-terminated */
	const uint8_t *value; /**< followed by a NUL byte; NULL if deleted */
	size_t value_len;
	uint64_t revision; /**< store revision of the key's last change */
	bool deleted;
	const uint8_t *last_value; /**< of a deleted key, if it is small; NULL: not known */
	size_t last_len;
	uint64_t last_revision; /**< in a log: who knows all changes up to it has the last value */
	/** In a log: when it took the record in; of a deletion that it was told: when that was. */
	uint64_t updated_at_us;
	uint64_t deleted_for_us; /**< of a deleted key that is passed on; 0: in a log */
	const uint8_t *packed; /**< the value as it is passed on if it is large; NULL: as it is */
	size_t packed_len;
	uint64_t base_revision; /**< revision of the value that packed refers to; 0: none */
	/** The store has lost this record: it is kept over what the store shows up to this revision, an
	 * older record of the key or none. 0: it isn't kept. */
	uint64_t kept_over;
	/** It replaced a kept record: who keeps that one still is told, whatever this one's revision. */
	bool was_kept;
};

struct dw_view_log;

struct dw_view_log *dw_view_log_new(void);
void dw_view_log_free(struct dw_view_log *log);

/**
 * Stores a copy of a record.
 * @return false, without effect, if the same or a newer revision of the key is known, or one that is kept over it. A
 * record with the same number and value in a later era is the same, unless the known one is kept, or it was written
 * after the first known revision of that era.
 */
bool dw_view_log_put(struct dw_view_log *log, const struct dw_view_record *record, uint64_t now_us);

/** The record of a key, NULL if unknown; valid until the next call that changes the log. */
const struct dw_view_record *dw_view_log_find(const struct dw_view_log *log, const char *key);

/** Iterates over all records, deleted ones included; NULL as @p previous starts. */
const struct dw_view_record *dw_view_log_next(const struct dw_view_log *log,
					      const struct dw_view_record *previous);

/** All changes up to this revision are known; 0: nothing is known yet. */
uint64_t dw_view_log_revision(const struct dw_view_log *log);
/**
 * Notes that all changes up to @p revision are known. If it is of a later era, the log covers no revision between the
 * last one and it: a record that is the same in both eras has the revision of the earlier one.
 */
void dw_view_log_complete(struct dw_view_log *log, uint64_t revision);

/** Forgets which revisions are known, so that the next reading of all keys replaces everything. */
void dw_view_log_restart(struct dw_view_log *log);

/** Whether not all changes after @p after are known, so that who gets these ones can't pass them on as all. */
bool dw_view_log_has_gap_after(const struct dw_view_log *log, uint64_t after);
/** Notes that not all changes up to @p revision will be known: those that were undone in between. */
void dw_view_log_note_gap(struct dw_view_log *log, uint64_t revision);

/** Whether a record is newer than the last revision up to which all changes are known. */
bool dw_view_log_is_ahead(const struct dw_view_log *log);

/**
 * Whether the records newer than @p after are all that an instance lacks which knows all changes up
 * to @p after. Otherwise deletions in between may have been forgotten, and it needs all records.
 */
bool dw_view_log_covers(const struct dw_view_log *log, uint64_t after);

/** Whether an instance that knows all changes up to @p after can unpack the record's value. */
bool dw_view_record_is_packed_for(const struct dw_view_record *record, uint64_t after);

/**
 * Whether the records newer than @p after are few bytes enough to be passed on to several instances.
 * A large value that isn't packed fills the link of an instance that sends it to all its children,
 * while each of them can read it from the store.
 */
bool dw_view_log_is_small(const struct dw_view_log *log, uint64_t after);

/**
 * Starts taking in all keys of the store as of @p revision: put them all, then call
 * dw_view_log_next_missing(). Keys that were written and deleted since the last known revision stay unknown, so
 * the log covers no revision between that and @p revision.
 */
void dw_view_log_begin_snapshot(struct dw_view_log *log, uint64_t revision);
/**
 * Marks one key as deleted that existed at or before @p revision and wasn't put since
 * dw_view_log_begin_snapshot(), and returns its record; NULL if there is none left.
 */
const struct dw_view_record *dw_view_log_next_missing(struct dw_view_log *log, uint64_t revision,
						      uint64_t now_us);

/** Keeps the key's record over what the store shows up to the revision @p over; counts as listed by the snapshot. */
void dw_view_log_keep(struct dw_view_log *log, const struct dw_view_record *record, uint64_t over);
/** Gives a kept record up, so that any record of the store replaces it. */
void dw_view_log_give_up(struct dw_view_log *log, const struct dw_view_record *record);
/** Whether the record's key was put, or kept, since dw_view_log_begin_snapshot(). */
bool dw_view_log_is_listed(const struct dw_view_log *log, const struct dw_view_record *record);
/**
 * Notes the deletion of a key that the log doesn't know, as another instance tells it: the store may come back from a
 * copy that has the key. It is no change. @p deleted_at_us: when the key was.
 */
void dw_view_log_tell_deleted(struct dw_view_log *log, const struct dw_view_record *record,
			      uint64_t deleted_at_us);
/** Number of records that are kept. */
size_t dw_view_log_kept_count(const struct dw_view_log *log);
/** Forgets deleted keys that were deleted before @p before_us, unless they are kept. */
void dw_view_log_forget(struct dw_view_log *log, uint64_t before_us);

/** Number of keys, deleted ones included. */
size_t dw_view_log_count(const struct dw_view_log *log);

#ifdef __cplusplus
}
#endif

#endif
