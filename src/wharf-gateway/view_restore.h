/**
 * @file view_restore.h
 * What a view keeps when the store comes back from an older copy: which of its records stay in force over what the
 * store shows, and for how long that is asked.
 */
#ifndef GATEWAY_VIEW_RESTORE_H
#define GATEWAY_VIEW_RESTORE_H

#include <dragonflywharf/restore_rule.h>
#include <dragonflywharf/view_log.h>

#include "port/store.h"

struct view_restore {
	uint64_t count; /**< restores that this instance has seen */
	/** When the store was back after the last one, as far as is known: at the latest when this instance took it in;
	 * 0: it has seen none. */
	uint64_t returned_at_us;
	uint64_t era_begin; /**< see struct view_snapshot */
	/** When each phase begins; UINT64_MAX: never. */
	uint64_t phase_begin_us[DW_RESTORE_PHASE_COUNT];
	/** In which all keys were last read, or another instance was asked for what it keeps. */
	enum dw_restore_phase read_phase;
	uint64_t engine_lease_us; /**< of engines' entries; 0: not known */
	uint64_t
		kept_asked_at_us; /**< when another instance was last asked for more than changes */
	/** Started, and not told yet what others know of the past: kept records, and keys that were deleted. */
	bool lacks_memory;
	bool was_told; /**< since its start, if only by one that lacks memory too */
	uint64_t memory_due_us; /**< by then it has run for long enough to have seen it itself */
	/** It may serve: it knew the store before the era, or knows that nothing in force is missing. */
	bool is_admitted;
};

/** A reading of all keys, from the store or another instance. */
struct view_snapshot {
	uint64_t revision;
	bool is_entering; /**< the first one of its era that this view takes in */
	/** The first revision of the era that is known: what was written after it wasn't in the copy. */
	uint64_t era_begin;
	enum dw_restore_phase phase;
};

/** This instance takes in the first state of an era, whose store was back at @p returned_at_us. */
void view_restore_entered(struct view_restore *restore, uint64_t returned_at_us, uint64_t now_us);
/** Another instance has passed on a record that it keeps; this one may have started since the restore. */
void view_restore_told_kept(struct view_restore *restore, uint64_t now_us);

/** Whether lost records have been written again, as far as they will be. */
enum dw_restore_phase view_restore_phase(const struct view_restore *restore, uint64_t now_us);

/** Whether records may be kept that nobody has written again. */
bool view_restore_awaits_settling(const struct view_restore *restore);
/** All keys were read in this phase. */
void view_restore_read(struct view_restore *restore, enum dw_restore_phase phase);

/** Whether to read all keys once more, now that a later phase has begun. */
bool view_restore_is_settling_due(const struct view_restore *restore, uint64_t now_us);

/**
 * Whether the known record stays in force over what the snapshot shows of its key.
 * @param shown NULL: the snapshot doesn't have the key
 */
bool view_restore_keeps(const struct view_snapshot *snapshot, const struct dw_view_record *known,
			const struct dw_view_record *shown);

/** What to ask another instance for. */
enum view_ask {
	VIEW_ASK_CHANGES,
	VIEW_ASK_KEPT, /**< and the records that it keeps, or that replaced some */
	VIEW_ASK_ALL, /**< all its records, and the same */
	VIEW_ASK_MEMORY, /**< and the same and recent deletions, which the store may lose */
	VIEW_ASK_COUNT
};

/** Its name in the request: of VIEW_ASK_ALL and VIEW_ASK_KEPT the same. */
const char *view_ask_name(enum view_ask ask);
/** @return false if there is no such name */
bool view_ask_read(const char *name, enum view_ask *ask);

/** This instance starts. */
void view_restore_init(struct view_restore *restore, uint64_t engine_lease_us, uint64_t now_us);
/** Whether some time has passed since it last asked others for more than changes. */
bool view_restore_may_ask_again(const struct view_restore *restore, uint64_t now_us);
/** Whether to ask another instance for what it knows of the past. */
bool view_restore_is_memory_due(const struct view_restore *restore, uint64_t now_us);
/** Another instance has told it what it asked for. */
void view_restore_told(struct view_restore *restore, bool has_memory, uint64_t now_us);
/** Whether what it knows of the past needn't be less than what others know. */
bool view_restore_has_memory(const struct view_restore *restore, uint64_t now_us);

/**
 * What to ask for while this instance keeps records that have not been written again, some times a second. An instance that
 * has started since may never have kept them, so in the end it is asked for all.
 */
enum view_ask view_restore_ask(struct view_restore *restore, const struct dw_view_log *log,
			       uint64_t now_us);

/** What is kept, by kind, for the log. */
struct view_kept {
	uint64_t configs;
	uint64_t engines;
	uint64_t removals; /**< of engines; counted in engines too */
	uint64_t orders;
};

struct view_kept view_restore_kept(const struct dw_view_log *log);

#endif
