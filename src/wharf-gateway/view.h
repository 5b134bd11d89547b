/**
 * @file view.h
 * What this instance believes of the platform: the configuration in force, the engines, the failure
 * domains that are taken out, and how fresh that is.
 *
 * Records of the store come in one by one; one that can't be read leaves the last good value, with
 * a log line. A record older than the one known is ignored.
 */
#ifndef GATEWAY_VIEW_H
#define GATEWAY_VIEW_H

#include <dragonflywharf/catalog.h>
#include <dragonflywharf/engine_choice.h>

#include "base/counter.h"
#include "base/log.h"
#include "port/store.h"
#include "wharf-gateway/gateway_settings.h"
#include "wharf-gateway/presence.h"
#include "wharf-gateway/shifts.h"

struct known_record;

struct view {
	const struct gateway_settings *settings;
	struct dw_log *log;
	struct dw_counters *counters;
	struct dw_catalog *catalog; /**< NULL until the first configuration */
	struct dw_engine_set *engines;
	struct dw_domain_list evacuated;
	struct shifts shifts;
	struct presence presence;
	struct known_record *records; /**< newest revision of each key seen */
	uint64_t proven_at_us; /**< the configuration known was the newest then; 0: never */
	uint64_t store_lost_at_us; /**< begin of the last time that the store was away; 0: none */
	uint64_t store_back_at_us; /**< end of the last time that the store was away; 0: none */
	bool is_store_reached;
};

void view_init(struct view *view, const struct gateway_settings *settings, struct dw_log *log,
	       struct dw_counters *counters);
void view_close(struct view *view);

/** A key was written or deleted. */
void view_apply(struct view *view, const struct dw_store_event *event, uint64_t now_us);

/**
 * All keys of the store as of @p revision: what isn't among them is gone, unless it was written
 * later.
 */
void view_apply_all(struct view *view, const struct dw_store_entry *entries, size_t count,
		    uint64_t revision, uint64_t now_us);

/** Forgets deleted keys that no late news can concern any more. */
void view_sweep(struct view *view, uint64_t now_us);

/** The store answered, and what is known was the newest at @p proven_at_us. */
void view_store_current(struct view *view, uint64_t proven_at_us, uint64_t now_us);
/** The store can't be reached, or its history is lost. */
void view_store_lost(struct view *view, const char *reason, uint64_t now_us);

/**
 * Whether keyed requests that came at @p arrived_at_us may be admitted: no key can have been revoked
 * for too long then.
 */
bool view_is_fresh(const struct view *view, uint64_t arrived_at_us);

/** Whether this instance should be given callers. */
bool view_is_ready(const struct view *view, uint64_t now_us);

#endif
