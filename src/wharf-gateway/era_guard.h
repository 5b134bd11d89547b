/**
 * @file era_guard.h
 * The key that ties this system's writes to an era of the store, and tells instances that start what was in
 * force before the store came back from an older copy.
 *
 * The key "wharf/era" holds {"era":N,"config":VERSION}: the era, and the version of the newest configuration that
 * was in force when the era began. In each era it is written before anything else that the system writes, and
 * all other writes are conditional on its revision. So a write that was prepared in an earlier era is applied only
 * on the state that it was prepared on, or not at all. It is written by one instance after the other, the
 * readers of the store first. A store without eras has no such key.
 *
 * The guard also counts the records that this instance has written again after a restore, and logs them.
 */
#ifndef GATEWAY_ERA_GUARD_H
#define GATEWAY_ERA_GUARD_H

#include <stdbool.h>
#include <uv.h>

#include <dragonflywharf/view_tree.h>

#include "base/log.h"
#include "port/store.h"

/** Kinds of records that are written again if the store has lost them. */
enum era_rewrite {
	ERA_REWRITE_QUARANTINE,
	ERA_REWRITE_PART,
	ERA_REWRITE_STATUS,
	ERA_REWRITE_PROGRESS,
	ERA_REWRITE_EVIDENCE,
	ERA_REWRITE_READER_KEY,
	ERA_REWRITE_COUNT
};

struct era_guard {
	struct dw_log *log;
	struct dw_store *store; /**< NULL until era_guard_start() */
	uint64_t era; /**< of the view; 0: none, or none known yet */
	uint64_t revision; /**< of the key in the store; 0: it doesn't exist */
	uint64_t record_era; /**< as the key's value says */
	uint64_t begin_revision; /**< of the key as it was first written in its last known era */
	uint64_t record_config; /**< as the key's value says */
	uint64_t config_version; /**< newest configuration known here; 0: none */
	uint64_t
		previous_revision; /**< of the key in the era before, 0: unknown; not to be given out again */
	uint64_t write_due_us; /**< 0: nothing to write */
	struct dw_view_place place; /**< of this instance, as it entered the era */
	uint32_t rewritten[ERA_REWRITE_COUNT]; /**< records, since the era was entered */
	uint64_t rewrites_logged_at_us; /**< when they will be logged; 0: they are */
	uint64_t random;
	bool in_flight;
	uv_timer_t timer;
};

void era_guard_init(struct era_guard *guard, struct dw_log *log);
void era_guard_start(struct era_guard *guard, uv_loop_t *loop, struct dw_store *store,
		     uint64_t seed);

/** The key "wharf/era" was written or deleted; other keys are ignored. */
void era_guard_apply(struct era_guard *guard, const struct dw_store_event *event);

/**
 * The view has the records of this era now. The key is written unless another instance does so first.
 * @param has_memory this instance knew the store before the era; else it leaves those some time that did
 */
void era_guard_entered(struct era_guard *guard, uint64_t era, bool has_memory,
		       const struct dw_view_place *place, uint64_t now_us);
/** The newest configuration that is known here. */
void era_guard_set_config(struct era_guard *guard, uint64_t version);

/** Whether the key was written in the view's era (or the store has no eras), so that writes may follow; false
 * if the store has answered in a later era than the view's. */
bool era_guard_allows_writes(const struct era_guard *guard);

/** Whether a record of this system with this revision of the view's era was already in the copy that the
 * store came back from; it is older than all that was written in the era. */
bool era_guard_is_from_copy(const struct era_guard *guard, uint64_t revision);

/** A record that the store had lost was written again by this instance. */
void era_guard_count_rewrite(struct era_guard *guard, enum era_rewrite kind);

/** Makes a write conditional on the era; only if era_guard_allows_writes(). */
void era_guard_condition(const struct era_guard *guard, struct dw_store_put *put);

/**
 * Whether an instance without memory of earlier eras may serve with this configuration: the key was written in this
 * era, and no newer configuration was in force. Always true in a store without eras.
 */
bool era_guard_allows_config(const struct era_guard *guard, uint64_t config_version);

#endif
