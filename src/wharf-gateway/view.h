/**
 * @file view.h
 * This instance's copy of the platform's state: the configuration in force, the engines, the evacuated
 * failure domains, the rollouts, and how fresh all this is.
 *
 * It is updated with one record of the store at a time. An invalid record is logged and the last valid
 * value kept; a record older than the known one is ignored.
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
	struct dw_catalog *catalog; /**< the configuration in force; NULL: none yet */
	struct dw_engine_set *engines;
	struct dw_domain_list evacuated;
	struct shifts shifts;
	struct presence presence;
	struct known_record *records; /**< newest known revision of each key */
	uint64_t confirmed_at_us; /**< when the copy was last known to be current; 0: never */
	uint64_t store_lost_at_us; /**< start of the last store outage; 0: none */
	uint64_t store_back_at_us; /**< when the store was last reached again, or first; 0: never */
	bool is_store_reached;
};

void view_init(struct view *view, const struct gateway_settings *settings, struct dw_log *log,
	       struct dw_counters *counters);
void view_close(struct view *view);

/** Applies the write or deletion of one key. */
void view_apply(struct view *view, const struct dw_store_event *event, uint64_t now_us);

/**
 * Applies all keys of the store as of @p revision. Known keys that aren't among them count as deleted,
 * unless their revision is newer.
 */
void view_apply_all(struct view *view, const struct dw_store_entry *entries, size_t count,
		    uint64_t revision, uint64_t now_us);

/** Removes tombstones of deleted keys for which no late event can arrive any more. */
void view_sweep(struct view *view, uint64_t now_us);

/** The store answered, and this copy was current at @p confirmed_at_us. */
void view_store_current(struct view *view, uint64_t confirmed_at_us, uint64_t now_us);
/** The store is unreachable, or no longer has the history that the watch needs. */
void view_store_lost(struct view *view, const char *reason, uint64_t now_us);

/**
 * Whether requests with an API key that arrived at @p arrived_at_us may be admitted. With
 * keys_fail_closed, false if a key may have been revoked more than revocation_ms earlier without
 * notice; otherwise always true.
 */
bool view_is_fresh(const struct view *view, uint64_t arrived_at_us);

/** Whether the load balancer should send callers to this instance. */
bool view_is_ready(const struct view *view, uint64_t now_us);

#endif
