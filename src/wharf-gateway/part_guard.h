/**
 * @file part_guard.h
 * Protects engines from requests with parts of prompts under which engines end (part_quarantine.h), over
 * all instances. The crash guard tells it which engines have ended.
 */
#ifndef GATEWAY_PART_GUARD_H
#define GATEWAY_PART_GUARD_H

#include <dragonflywharf/crash_check.h>
#include <dragonflywharf/engine.h>
#include <dragonflywharf/part_quarantine.h>

#include "base/log.h"
#include "wharf-gateway/quarantine_records.h"

struct part_guard {
	struct dw_log *log;
	struct dw_part_quarantine *quarantine;
	struct quarantine_records records;
};

void part_guard_init(struct part_guard *guard, struct dw_log *log, struct dw_engine_set *engines,
		     struct era_guard *era_guard);
void part_guard_close(struct part_guard *guard);

/** The engine has ended under these runs, as this instance found. */
void part_guard_crashed(struct part_guard *guard, const struct dw_engine *engine,
			const struct dw_crash_requests *runs);
/** The engine was taken for one that has ended, and hasn't. */
void part_guard_withdraw(struct part_guard *guard, const struct dw_engine *engine,
			 const struct dw_crash_requests *runs);
/** A run ended well on an engine of this version. @return whether that clears a part of crashes */
bool part_guard_ended_well(struct part_guard *guard, const struct dw_part_set *set,
			   const char *version, uint64_t began_at_us);
/** Merges news that the instance @p from sent, to be passed on to @p scope. */
void part_guard_merge(struct part_guard *guard, const struct dw_part_news *news, size_t count,
		      enum dw_spread_scope scope, const char *from);
/** A key of the store was written or deleted; others than those of parts are ignored. */
void part_guard_apply_record(struct part_guard *guard, const struct dw_store_event *event);

#endif
