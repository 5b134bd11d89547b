#include "wharf-gateway/view_records.h"

#include <string.h>

#include "base/clock.h"
#include "platform/config_record.h"
#include "platform/records.h"

/* Engines whose entry expired during a store outage register again within this time after the outage,
 * if they are alive; until then a removed engine stays usable. */
#define REREGISTRATION_US (2 * DW_US_PER_S + 200 * DW_US_PER_MS)

static uint64_t max_u64(uint64_t a, uint64_t b)
{
	return a > b ? a : b;
}

void view_records_reject(struct view *view, const char *key)
{
	dw_counters_add(view->counters, DW_COUNTER_BAD_INPUTS, 1);
	dw_log_event(view->log, DW_EVENT_INPUT_REFUSED, DW_STR("key", key),
		     DW_STR("reason", dw_last_message()));
}

/* Says which parts of the configuration in force can't be read. */
static void report_defects(struct view *view, const char *key)
{
	const char *defect;

	for (size_t i = 0; (defect = dw_catalog_defect(view->catalog, i)); i++) {
		dw_counters_add(view->counters, DW_COUNTER_BAD_INPUTS, 1);
		dw_log_event(view->log, DW_EVENT_INPUT_REFUSED, DW_STR("key", key),
			     DW_STR("reason", defect));
	}
}

static void apply_config(struct view *view, const struct dw_store_entry *entry, uint64_t now_us)
{
	struct dw_catalog *catalog;

	if (config_record_read(entry->value, entry->value_len, &catalog) != DW_OK) {
		dw_counters_add(view->counters, DW_COUNTER_CONFIG_REFUSED, 1);
		view_records_reject(view, entry->key);
		if (!view->is_config_unreadable)
			view->config_known_at_us = view->confirmed_at_us;
		view->is_config_unreadable = true;
		return;
	}
	if (!view->catalog || dw_catalog_version(catalog) >= dw_catalog_version(view->catalog))
		view->is_config_unreadable = false;
	if (view->catalog && dw_catalog_version(catalog) <= dw_catalog_version(view->catalog)) {
		dw_counters_add(view->counters, DW_COUNTER_CONFIG_REFUSED, 1);
		dw_log_event(view->log, DW_EVENT_CONFIG_REFUSED,
			     DW_INT("version", dw_catalog_version(catalog)),
			     DW_INT("in_force", dw_catalog_version(view->catalog)),
			     DW_STR("reason", "not newer than the version in force"));
		dw_catalog_release(catalog);
		return;
	}
	dw_catalog_release(view->catalog);
	view->catalog = catalog;
	era_guard_set_config(&view->era_guard, dw_catalog_version(catalog));
	dw_counters_add(view->counters, DW_COUNTER_CONFIG_APPLIED, 1);
	dw_log_event(
		view->log, DW_EVENT_CONFIG_APPLIED, DW_INT("version", dw_catalog_version(catalog)),
		DW_INT("revision", dw_revision_number(entry->mod_revision)),
		DW_INT("routes", dw_catalog_route_count(catalog)),
		DW_INT("defects", dw_catalog_defect_count(catalog)),
		DW_INT("bytes", entry->value_len), DW_INT("age_ms", view_age_ms(view, now_us)));
	report_defects(view, entry->key);
}

static void log_engine(struct view *view, const struct dw_engine *engine, const char *change,
		       uint64_t now_us)
{
	uint64_t usable_us =
		engine->state == DW_ENGINE_MISSING ? engine->missing_until_us - now_us : 0;

	dw_log_event(view->log, DW_EVENT_ENGINE_CHANGED, DW_STR("engine", engine->entry.id),
		     DW_STR("service", engine->entry.service),
		     DW_STR("failure_domain", engine->entry.failure_domain),
		     DW_STR("version", engine->entry.version),
		     DW_STR("state", dw_engine_state_name(engine->state)), DW_STR("change", change),
		     DW_INT("usable_ms", usable_us / DW_US_PER_MS),
		     DW_INT("age_ms", view_age_ms(view, now_us)));
}

static struct dw_crash_upstream lifetime_of(const struct dw_engine *engine)
{
	return (struct dw_crash_upstream){ engine->id_hash, engine->entry.started_at_ms };
}

/* Adds a lifetime that leaves, and takes its engine out if it is known. */
static void add_leaving(struct view *view, struct dw_crash_upstream lifetime, bool is_own,
			enum dw_spread_scope scope, const char *from)
{
	struct dw_engine *engine =
		dw_engine_set_find_run(view->engines, lifetime.id, lifetime.incarnation);

	if (!dw_leaving_add(view->leaving, lifetime, is_own, scope, dw_clock_now_us()))
		return;
	if (engine)
		engine->says_it_leaves = true;
	dw_log_event(view->log, DW_EVENT_ENGINE_LEAVES,
		     DW_STR("engine", engine ? engine->entry.id : ""),
		     DW_STR("service", engine ? engine->entry.service : ""),
		     DW_INT("incarnation", lifetime.incarnation), DW_STR("from", from));
	if (view->on_leaving_news)
		view->on_leaving_news(view->on_leaving_news_owner);
}

void view_engine_leaves(struct view *view, struct dw_engine *engine)
{
	add_leaving(view, lifetime_of(engine), true, DW_SPREAD_EVERYWHERE, "own");
}

void view_told_leaving(struct view *view, const struct dw_crash_upstream *engines, size_t count,
		       enum dw_spread_scope scope, const char *from)
{
	for (size_t i = 0; i < count; i++)
		add_leaving(view, engines[i], false, scope, from);
}

void view_records_disable_engine(struct view *view, const char *id, const char *change,
				 uint64_t now_us)
{
	struct dw_engine *engine = dw_engine_set_find(view->engines, id);

	if (!engine || engine->state == DW_ENGINE_GONE)
		return;
	dw_engine_set_remove(view->engines, id, 0, now_us);
	log_engine(view, engine, change, now_us);
}

/* Engines of the same service whose address a later lifetime has now have ended. */
static void note_replaced(struct view *view, const struct dw_engine *next)
{
	for (struct dw_engine *it = dw_engine_set_first(view->engines); it; it = it->next) {
		if (it != next && it->entry.port == next->entry.port &&
		    it->entry.started_at_ms < next->entry.started_at_ms &&
		    strcmp(it->entry.ip, next->entry.ip) == 0 &&
		    strcmp(it->entry.service, next->entry.service) == 0)
			crash_guard_replaced(&view->guard, it);
	}
}

static void apply_engine(struct view *view, const char *id, const struct dw_store_entry *record,
			 uint64_t now_us)
{
	static const char *const changes[DW_ENGINE_CHANGE_COUNT] = {
		[DW_ENGINE_UNCHANGED] = "none",
		[DW_ENGINE_ADDED] = "added",
		[DW_ENGINE_RESTARTED] = "restarted",
		[DW_ENGINE_STATE_CHANGED] = "state",
	};
	struct dw_engine_entry entry;
	enum dw_engine_change change;
	struct dw_engine *engine;

	if (record_read_engine(id, record->value, record->value_len, &entry) != DW_OK) {
		view_records_reject(view, record->key);
		/* It may say that the engine leaves, or that its service or address is another one now. */
		view_records_disable_engine(view, id, "unreadable", now_us);
		return;
	}
	engine = dw_engine_set_find(view->engines, id);
	if (engine && engine->entry.started_at_ms != entry.started_at_ms)
		crash_guard_sign(&view->guard, engine, DW_CRASH_SIGN_RESTARTED, now_us);
	change = dw_engine_set_put(view->engines, &entry, now_us);
	if (change == DW_ENGINE_UNCHANGED)
		return;
	engine = dw_engine_set_find(view->engines, id);
	engine->says_it_leaves = dw_leaving_has(view->leaving, lifetime_of(engine));
	log_engine(view, engine, changes[change], now_us);
	note_replaced(view, engine);
	if (change == DW_ENGINE_STATE_CHANGED && engine->state == DW_ENGINE_DRAINING)
		crash_guard_sign(&view->guard, engine, DW_CRASH_SIGN_LEAVING, now_us);
}

static void remove_engine(struct view *view, const char *id, uint64_t now_us)
{
	uint64_t ended_at_us = max_u64(view->outage.ended_at_us, view->restore.returned_at_us);
	uint64_t usable_until_us = ended_at_us > 0 ? ended_at_us + REREGISTRATION_US : 0;
	struct dw_engine *engine = dw_engine_set_find(view->engines, id);
	bool was_leaving = engine && engine->state == DW_ENGINE_DRAINING;

	if (!engine)
		return;
	dw_engine_set_remove(view->engines, id, usable_until_us, now_us);
	log_engine(view, engine, "removed", now_us);
	if (engine->state == DW_ENGINE_GONE && !was_leaving)
		crash_guard_sign(&view->guard, engine, DW_CRASH_SIGN_REMOVED, now_us);
}

static void set_evacuated(struct view *view, const char *domain, bool evacuated)
{
	if (!dw_domain_list_set(&view->evacuated, domain, evacuated))
		return;
	dw_log_event(view->log, DW_EVENT_DOMAIN_EVACUATED, DW_STR("failure_domain", domain),
		     DW_INT("evacuated", evacuated));
}

static void apply_order(struct view *view, const struct dw_store_entry *entry, uint64_t now_us)
{
	struct dw_shift_order order;

	if (record_read_rollout_order(entry->value, entry->value_len, &order) != DW_OK) {
		view_records_reject(view, entry->key);
		return;
	}
	order.revision = entry->mod_revision;
	shifts_apply_order(&view->shifts, &order, now_us);
}

static void apply_status(struct view *view, const char *service, const struct dw_store_entry *entry)
{
	char target[DW_ENGINE_TEXT_BYTES];
	enum dw_shift_state state;

	if (record_read_rollout_status(entry->value, entry->value_len, &state, target) == DW_OK)
		shifts_apply_status(&view->shifts, service, state, target, entry->mod_revision);
	else
		view_records_reject(view, entry->key);
}

static void apply_record(struct view *view, const struct dw_store_event *event, uint64_t now_us)
{
	const struct dw_store_entry *entry = &event->entry;
	const char *name;

	switch (record_kind_of(entry->key, &name)) {
	case RECORD_CONFIG:
		if (!event->deleted)
			apply_config(view, entry, now_us);
		break;
	case RECORD_ENGINE:
		if (event->deleted)
			remove_engine(view, name, now_us);
		else
			apply_engine(view, name, entry, now_us);
		break;
	case RECORD_EVACUATION:
		set_evacuated(view, name, !event->deleted);
		break;
	case RECORD_ROLLOUT_ORDER:
		if (!event->deleted)
			apply_order(view, entry, now_us);
		break;
	case RECORD_ROLLOUT_STATUS:
		if (event->deleted)
			shifts_apply_status_deleted(&view->shifts, name);
		else
			apply_status(view, name, entry);
		break;
	case RECORD_UNKNOWN:
		shifts_apply_record(&view->shifts, event, now_us);
		crash_guard_apply_record(&view->guard, event);
		break;
	case RECORD_KIND_COUNT:
		break;
	}
}

void view_records_apply(struct view *view, const struct dw_store_event *event, uint64_t now_us)
{
	struct dw_endpoint reader;

	if (reader_key_apply(&view->reader_key, event, &reader))
		peers_add_seed(&view->peers, &reader);
	era_guard_apply(&view->era_guard, event);
	apply_record(view, event, now_us);
}
