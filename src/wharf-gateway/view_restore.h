/**
 * @file view_restore.h
 * What a view keeps when the store comes back from an older copy: which of its records stay in force over what the
 * store shows, and for how long that is asked.
 */
#ifndef GATEWAY_VIEW_RESTORE_H
#define GATEWAY_VIEW_RESTORE_H

#include <dragonflywharf/view_log.h>

#include "port/store.h"

struct view_restore {
	uint64_t count; /**< restores that this instance has seen */
	uint64_t entered_at_us; /**< when it learned of the last one; 0: it has seen none */
	uint64_t settled_at_us; /**< when what nobody has written again counts as gone */
	bool awaits_settling; /**< records may be kept that nobody has written again */
	uint64_t
		kept_asked_at_us; /**< when another instance was last asked which of them it keeps; 0: never */
	/** Started, and no other instance has answered yet: it may know less than the others of what the store lost. */
	bool lacks_memory;
	/** It may serve: it knew the store before the era, or knows that nothing in force is missing. */
	bool is_admitted;
};

/** A reading of all keys, from the store or another instance. */
struct view_snapshot {
	uint64_t revision;
	bool is_entering; /**< the first one of its era that this view takes in */
	bool is_settled; /**< what the store lost has been written again, or counts as gone */
};

/** This instance takes in the first state of an era. */
void view_restore_entered(struct view_restore *restore, uint64_t now_us);
/** Another instance has passed on a record that it keeps; this one may have started since the restore. */
void view_restore_told_kept(struct view_restore *restore, uint64_t now_us);

/** Whether lost records have been written again, as far as they will be. */
bool view_restore_is_settled(const struct view_restore *restore, uint64_t now_us);

/** Whether to read all keys once more, now that they have been. */
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
	VIEW_ASK_ALL, /**< all its records */
	VIEW_ASK_COUNT
};

/**
 * What to ask for while this instance keeps records that have not been written again, once a second. An instance that
 * has started since may never have kept them, so in the end it is asked for all.
 */
enum view_ask view_restore_ask(struct view_restore *restore, const struct dw_view_log *log,
			       uint64_t now_us);

/** What is kept, by kind, for the log. */
struct view_kept {
	uint64_t configs;
	uint64_t engines;
	uint64_t orders;
};

struct view_kept view_restore_kept(const struct dw_view_log *log);

#endif
