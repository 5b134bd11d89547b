#include "wharf-gateway/view.h"

#include <string.h>

#include <dragonflywharf/freshness.h>

#include "base/clock.h"
#include "net/view_codec.h"
#include "net/view_pack.h"
#include "platform/config_record.h"
#include "platform/records.h"

/* Engines whose entry expired during a store outage register again within this time after the outage,
 * if they are alive; until then a removed engine stays usable. */
#define REREGISTRATION_US (2 * DW_US_PER_S + 200 * DW_US_PER_MS)

/* Instances that serve each other while none reaches the store count up to this. */
#define HOPS_MAX 255

/* How long deleted keys are remembered. The store's history is shorter, so no event can be older. */
#define TOMBSTONE_TTL_US (120 * DW_US_PER_S)

static bool are_few_heard(const void *owner)
{
	return peers_are_few_heard(owner);
}

void view_init(struct view *view, const struct gateway_settings *settings, struct dw_log *log,
	       struct dw_counters *counters)
{
	memset(view, 0, sizeof(*view));
	view->settings = settings;
	view->log = log;
	view->counters = counters;
	view->engines = dw_engine_set_new();
	view->records = dw_view_log_new();
	view->leaving = dw_leaving_upstreams_new();
	dw_view_source_init(&view->source, gateway_settings_change_us(settings), dw_clock_now_us());
	crash_guard_init(&view->guard, log, view->engines, &view->era_guard);
	shifts_init(&view->shifts, log, settings->instance, &view->era_guard);
	peers_init(&view->peers, settings, log, counters);
	view->guard.records.are_few_heard = are_few_heard;
	view->guard.records.are_few_heard_owner = &view->peers;
	view->guard.parts.records.are_few_heard = are_few_heard;
	view->guard.parts.records.are_few_heard_owner = &view->peers;
	era_guard_init(&view->era_guard, log);
	view_restore_init(&view->restore, gateway_settings_engine_lease_us(settings),
			  dw_clock_now_us());
	reader_key_init(&view->reader_key, settings->instance, &settings->peer_address,
			&view->era_guard);
}

void view_close(struct view *view)
{
	dw_view_log_free(view->records);
	dw_leaving_upstreams_free(view->leaving);
	peers_close(&view->peers);
	crash_guard_close(&view->guard);
	dw_engine_set_free(view->engines);
	dw_domain_list_clear(&view->evacuated);
	dw_catalog_release(view->catalog);
}

static uint64_t max_u64(uint64_t a, uint64_t b)
{
	return a > b ? a : b;
}

static void reject_record(struct view *view, const char *key)
{
	dw_counters_add(view->counters, DW_COUNTER_BAD_INPUTS, 1);
	dw_log_event(view->log, DW_EVENT_INPUT_REFUSED, DW_STR("key", key),
		     DW_STR("reason", dw_last_message()));
}

/* Age of the proof that the copy was current; 0: there was none yet. */
static uint64_t age_ms(const struct view *view, uint64_t now_us)
{
	return view->confirmed_at_us > 0 ? (now_us - view->confirmed_at_us) / DW_US_PER_MS : 0;
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
		reject_record(view, entry->key);
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
	dw_log_event(view->log, DW_EVENT_CONFIG_APPLIED,
		     DW_INT("version", dw_catalog_version(catalog)),
		     DW_INT("revision", dw_revision_number(entry->mod_revision)),
		     DW_INT("routes", dw_catalog_route_count(catalog)),
		     DW_INT("defects", dw_catalog_defect_count(catalog)),
		     DW_INT("bytes", entry->value_len), DW_INT("age_ms", age_ms(view, now_us)));
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
		     DW_INT("age_ms", age_ms(view, now_us)));
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

/* Takes an engine out at once. That isn't evidence of a crash. */
static void disable_engine(struct view *view, const char *id, const char *change, uint64_t now_us)
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
		reject_record(view, record->key);
		/* It may say that the engine leaves, or that its service or address is another one now. */
		disable_engine(view, id, "unreadable", now_us);
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
	uint64_t ended_at_us = max_u64(view->outage.ended_at_us, view->restore.entered_at_us);
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
		reject_record(view, entry->key);
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
		reject_record(view, entry->key);
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

static void apply_change(struct view *view, const struct dw_store_event *event, uint64_t now_us)
{
	struct dw_endpoint reader;

	if (reader_key_apply(&view->reader_key, event, &reader))
		peers_add_seed(&view->peers, &reader);
	era_guard_apply(&view->era_guard, event);
	apply_record(view, event, now_us);
}

/* Whether the known record of the key is newer. */
static bool is_superseded(const struct view *view, const struct dw_view_record *record)
{
	const struct dw_view_record *known = dw_view_log_find(view->records, record->key);

	return known && known->revision > record->revision;
}

/* Says when answers begin and cease to be older than this copy: readings of the store, or copies of an earlier era of
 * it. Another instance's copy of the same era may be some changes behind. */
static void note_answered(struct view *view, const char *source, uint64_t revision, uint64_t known,
			  uint64_t now_us)
{
	bool is_behind = revision < known;

	view->answers_behind += is_behind;
	if (is_behind == view->is_answer_behind)
		return;
	dw_log_event(view->log, DW_EVENT_VIEW_BEHIND, DW_STR("source", source),
		     DW_INT("behind", is_behind), DW_INT("revision", dw_revision_number(known)),
		     DW_INT("answered", dw_revision_number(revision)),
		     DW_INT("era", dw_era_name(dw_revision_era(known))),
		     DW_INT("answered_era", dw_era_name(dw_revision_era(revision))),
		     DW_INT("lasted_ms",
			    is_behind ? 0 : (now_us - view->behind_since_us) / DW_US_PER_MS));
	view->is_answer_behind = is_behind;
	view->behind_since_us = now_us;
}

static bool is_of_earlier_era(const struct view *view, uint64_t revision)
{
	return dw_revision_era(revision) < dw_revision_era(dw_view_log_revision(view->records));
}

static struct dw_view_record record_of(const struct dw_store_event *event)
{
	return (struct dw_view_record){
		.key = event->entry.key,
		.value = event->entry.value,
		.value_len = event->entry.value_len,
		.revision = event->entry.mod_revision,
		.deleted = event->deleted,
	};
}

void view_apply(struct view *view, const struct dw_store_event *event, uint64_t now_us)
{
	struct dw_view_record record = record_of(event);
	struct bytes packed = { 0 };

	/* Another instance may have told of a new era before the store's answer of the one before came. */
	if (is_of_earlier_era(view, record.revision))
		return;

	view_record_pack(view->records, &record, &packed);
	view->records_ignored += is_superseded(view, &record);
	if (dw_view_log_put(view->records, &record, now_us))
		apply_change(view, event, now_us);
	bytes_free(&packed);
}

/* Entries of engines that this copy had may be missing until their engines have written them again. */
static struct view_snapshot begin_answer(struct view *view, uint64_t revision, uint64_t era_begin,
					 uint64_t now_us)
{
	uint64_t known = dw_view_log_revision(view->records);
	struct view_snapshot snapshot = { .revision = revision, .era_begin = era_begin };

	if (dw_revision_era(revision) > dw_revision_era(known))
		view->restore.era_begin = era_begin;
	snapshot.is_entering = known > 0 && dw_revision_era(revision) > dw_revision_era(known);
	if (snapshot.is_entering)
		view_restore_entered(&view->restore, now_us);
	snapshot.phase = view_restore_phase(&view->restore, now_us);
	return snapshot;
}

static void log_restore(struct view *view, uint64_t known, uint64_t revision)
{
	struct view_kept kept = view_restore_kept(view->records);

	dw_log_event(view->log, DW_EVENT_STORE_RESTORED,
		     DW_INT("era_before", dw_era_name(dw_revision_era(known))),
		     DW_INT("era", dw_era_name(dw_revision_era(revision))),
		     DW_INT("revision_before", dw_revision_number(known)),
		     DW_INT("revision", dw_revision_number(revision)),
		     DW_INT("kept_configs", kept.configs), DW_INT("kept_engines", kept.engines),
		     DW_INT("kept_orders", kept.orders));
}

/* All changes up to the revision are known, maybe those of a new era. */
static void complete(struct view *view, uint64_t revision, uint64_t now_us)
{
	uint64_t known = dw_view_log_revision(view->records);

	dw_view_log_complete(view->records, revision);
	if (dw_revision_era(revision) <= dw_revision_era(known))
		return;
	/* A copy without a proof is no memory of what was in force. */
	if (view->confirmed_at_us == 0)
		known = 0;
	if (known > 0) {
		view->restore.count++;
		log_restore(view, known, revision);
	}
	era_guard_entered(&view->era_guard, dw_revision_era(revision), known > 0,
			  &view->source.place, now_us);
	if (known > 0) {
		crash_guard_store_restored(&view->guard, &view->source.place, now_us);
		reader_key_store_restored(&view->reader_key);
		shifts_store_restored(&view->shifts, &view->source.place, now_us);
	} else {
		shifts_entered_era(&view->shifts, now_us);
	}
}

/* Applies a key that a snapshot lists, unless the known record stays in force. */
static void apply_listed(struct view *view, const struct view_snapshot *snapshot,
			 const struct dw_store_event *event, uint64_t now_us)
{
	const struct dw_view_record *known = dw_view_log_find(view->records, event->entry.key);
	struct dw_view_record shown = record_of(event);
	struct dw_store_event replacing = *event;

	if (known && view_restore_keeps(snapshot, known, &shown)) {
		dw_view_log_keep(view->records, known, max_u64(known->kept_over, shown.revision));
		return;
	}
	/* A kept record that is given up is passed on as a change of this moment. */
	if (known && known->kept_over >= shown.revision) {
		dw_view_log_give_up(view->records, known);
		replacing.entry.mod_revision = snapshot->revision;
	}
	view_apply(view, &replacing, now_us);
}

static void keep_missing(struct view *view, const struct view_snapshot *snapshot)
{
	const struct dw_view_record *record = NULL;

	while ((record = dw_view_log_next(view->records, record))) {
		if (!record->deleted && !dw_view_log_is_listed(view->records, record) &&
		    view_restore_keeps(snapshot, record, NULL))
			dw_view_log_keep(view->records, record, snapshot->revision);
	}
}

static void apply_missing(struct view *view, const struct view_snapshot *snapshot, uint64_t now_us)
{
	uint64_t revision = snapshot->revision;
	const struct dw_view_record *record;

	keep_missing(view, snapshot);
	while ((record = dw_view_log_next_missing(view->records, revision, now_us))) {
		struct dw_store_event event = { .deleted = true };

		event.entry.key = record->key;
		event.entry.mod_revision = revision;
		apply_change(view, &event, now_us);
	}
}

bool view_accepts_reading(struct view *view, uint64_t revision, uint64_t known_before,
			  uint64_t now_us)
{
	view->rereads++;
	/* The copy of the start may be of before a restore whatever its era says: it bounds nothing. */
	if (view->confirmed_at_us == 0 && revision < known_before) {
		dw_view_log_restart(view->records);
		known_before = 0;
	}
	note_answered(view, "store", revision, known_before, now_us);
	/* Another instance may have passed a new era on meanwhile. */
	return revision >= known_before &&
	       dw_revision_era(revision) >= dw_revision_era(dw_view_log_revision(view->records));
}

void view_apply_all(struct view *view, const struct dw_store_entry *entries, size_t count,
		    uint64_t revision, uint64_t now_us)
{
	struct view_snapshot snapshot = begin_answer(view, revision, revision, now_us);

	dw_view_log_begin_snapshot(view->records, revision);
	for (size_t i = 0; i < count; i++) {
		struct dw_store_event event = { .entry = entries[i] };

		apply_listed(view, &snapshot, &event, now_us);
	}
	apply_missing(view, &snapshot, now_us);
	complete(view, revision, now_us);
	view_restore_read(&view->restore, snapshot.phase);
}

/* Whether the record's value isn't needed. A kept one may replace one of a later era. */
static bool is_known(const struct view *view, const struct dw_view_record *record)
{
	const struct dw_view_record *known = dw_view_log_find(view->records, record->key);

	return known && record->kept_over == 0 && known->revision >= record->revision;
}

/* Whether a record that the source doesn't keep may be older than the known one, as the store was restored. */
static bool is_contested(const struct view_snapshot *snapshot, const struct dw_view_record *known,
			 const struct dw_view_record *passed_on)
{
	return known && passed_on->kept_over == 0 &&
	       (snapshot->is_entering || known->kept_over >= passed_on->revision);
}

/* Whether the record tells of a deletion before this copy's revision, or before that of the snapshot. Of a key that is
 * known, only one that is kept may have to be replaced. */
static bool is_past_deletion(const struct view *view, bool is_snapshot,
			     const struct dw_view_record *known,
			     const struct dw_view_record *record)
{
	if (!record->deleted || record->kept_over > 0)
		return false;
	if (known)
		return is_snapshot && known->kept_over == 0;
	return is_snapshot || record->revision <= dw_view_log_revision(view->records);
}

/* Whether the record has gone since: the source is behind this copy, which doesn't have the key. */
static bool is_gone_since(const struct view *view, const struct view_snapshot *snapshot,
			  const struct dw_view_record *known, const struct dw_view_record *record)
{
	uint64_t revision = dw_view_log_revision(view->records);

	return !known && !record->deleted && record->kept_over == 0 &&
	       record->revision <= revision &&
	       dw_revision_era(snapshot->revision) == dw_revision_era(revision);
}

/* Applies a record that another instance passed on; false if it was packed and can't be unpacked. */
static bool apply_passed_on(struct view *view, const struct view_snapshot *snapshot,
			    bool is_snapshot, const struct dw_view_record *passed_on,
			    uint64_t now_us)
{
	const struct dw_view_record *known = dw_view_log_find(view->records, passed_on->key);
	struct dw_view_record record = *passed_on;
	struct dw_store_event event = { .deleted = record.deleted };
	struct bytes value = { 0 };
	const char *name;

	if (is_past_deletion(view, is_snapshot, known, &record)) {
		dw_view_log_tell_deleted(view->records, &record, now_us);
		return true;
	}
	if (is_gone_since(view, snapshot, known, &record))
		return true;
	if (record.packed && !is_known(view, &record) &&
	    view_record_unpack(view->records, &record, VIEW_ANSWER_MAX_BYTES, &value) != DW_OK) {
		bytes_free(&value);
		reject_record(view, record.key);
		return false;
	}
	event.entry.key = record.key;
	event.entry.value = record.value;
	event.entry.value_len = record.value_len;
	event.entry.mod_revision = record.revision;
	view->records_ignored += is_superseded(view, &record);
	if (is_contested(snapshot, known, &record)) {
		if (view_restore_keeps(snapshot, known, &record)) {
			dw_view_log_keep(view->records, known,
					 max_u64(known->kept_over, record.revision));
			bytes_free(&value);
			return true;
		}
		if (known->kept_over >= record.revision) {
			dw_view_log_give_up(view->records, known);
			record.revision = event.entry.mod_revision = snapshot->revision;
		}
	}
	if (dw_view_log_put(view->records, &record, now_us)) {
		/* It was removed before the store was away, so it doesn't come back. */
		if (record.deleted && record.kept_over > 0 &&
		    record_kind_of(record.key, &name) == RECORD_ENGINE)
			disable_engine(view, name, "lost removal", now_us);
		apply_change(view, &event, now_us);
	}
	if (record.kept_over > 0 && dw_view_log_find(view->records, record.key)->kept_over > 0)
		view_restore_told_kept(&view->restore, now_us);
	bytes_free(&value);
	return true;
}

static bool apply_answer(struct view *view, const struct view_snapshot *snapshot,
			 const struct view_answer *answer, uint64_t now_us)
{
	bool is_complete = true;

	if (answer->is_snapshot)
		dw_view_log_begin_snapshot(view->records, answer->revision);
	else if (answer->is_over_gap)
		dw_view_log_note_gap(view->records, answer->revision);
	for (size_t i = 0; i < answer->record_count; i++)
		is_complete &= apply_passed_on(view, snapshot, answer->is_snapshot,
					       &answer->records[i], now_us);
	if (is_complete && answer->is_snapshot)
		apply_missing(view, snapshot, now_us);
	return is_complete;
}

/* Whether the answer may leave a record out that is gone again: it was read ahead of this copy's revision, and the source
 * doesn't know all changes since, or the store has lost it. */
static bool may_lack_removals(const struct view *view, const struct view_answer *answer)
{
	bool is_new_era = dw_revision_era(answer->revision) >
			  dw_revision_era(dw_view_log_revision(view->records));

	return !answer->is_snapshot && (answer->is_over_gap || is_new_era) &&
	       dw_view_log_is_ahead(view->records);
}

/* Whether this copy can take in a new era with the answer: a part of it would mix two eras. */
static bool can_unpack_all(const struct view *view, const struct view_answer *answer)
{
	for (size_t i = 0; i < answer->record_count; i++) {
		struct dw_view_record record = answer->records[i];
		struct bytes value = { 0 };
		enum dw_status status = DW_OK;

		if (record.packed && !is_known(view, &record))
			status = view_record_unpack(view->records, &record, VIEW_ANSWER_MAX_BYTES,
						    &value);
		bytes_free(&value);
		if (status != DW_OK)
			return false;
	}
	return true;
}

bool view_is_read_from_store(const struct view *view)
{
	return dw_view_source_is_reader(&view->source) && view->is_store_reached;
}

bool view_apply_answer(struct view *view, const struct view_answer *answer, const char *source,
		       uint64_t now_us)
{
	uint64_t known = dw_view_log_revision(view->records);
	struct view_snapshot snapshot;
	bool is_complete;

	if (dw_revision_era(answer->revision) < dw_revision_era(known)) {
		note_answered(view, source, answer->revision, known, now_us);
		return false;
	}
	if (may_lack_removals(view, answer) ||
	    (dw_revision_era(answer->revision) > dw_revision_era(known) &&
	     !can_unpack_all(view, answer)))
		return false;
	snapshot = begin_answer(view, answer->revision, answer->era_begin, now_us);
	is_complete = apply_answer(view, &snapshot, answer, now_us);
	if (!is_complete)
		return false;
	/* A reader asks others for the past too. */
	if (!view_is_read_from_store(view))
		view->hops = answer->hops < HOPS_MAX ? answer->hops + 1 : HOPS_MAX;
	view_restore_told(&view->restore, answer->has_memory, now_us);
	complete(view, answer->revision, now_us);
	return true;
}

void view_sweep(struct view *view, uint64_t now_us)
{
	if (now_us > TOMBSTONE_TTL_US)
		dw_view_log_forget(view->records, now_us - TOMBSTONE_TTL_US);
	crash_guard_sweep(&view->guard, now_us);
	dw_leaving_expire(view->leaving, now_us);
}

/* An instance that has started since a restore may serve once it knows that it has what was in force before. */
static void admit(struct view *view)
{
	if (view->restore.is_admitted || !view->catalog)
		return;
	view->restore.is_admitted =
		era_guard_allows_config(&view->era_guard, dw_catalog_version(view->catalog));
	if (view->restore.is_admitted == view->is_waiting_logged) {
		view->is_waiting_logged = !view->restore.is_admitted;
		dw_log_event(view->log, DW_EVENT_VIEW_ADMITTED,
			     DW_INT("admitted", view->restore.is_admitted),
			     DW_INT("era", dw_era_name(view->era_guard.era)),
			     DW_INT("record_era", dw_era_name(view->era_guard.record_era)),
			     DW_INT("version", dw_catalog_version(view->catalog)),
			     DW_INT("required", view->era_guard.record_config));
	}
}

static void confirm(struct view *view, enum dw_view_origin origin, uint64_t confirmed_at_us,
		    uint64_t now_us)
{
	dw_view_source_confirmed(&view->source, origin, confirmed_at_us, now_us);
	view->confirmed_at_us = dw_view_source_confirmed_at_us(&view->source);
	/* Instances that don't read the store have no later answer of it to compare. */
	if (origin == DW_VIEW_FROM_STORE || !dw_view_source_is_reader(&view->source))
		note_answered(view, origin == DW_VIEW_FROM_STORE ? "store" : "peer",
			      dw_view_log_revision(view->records),
			      dw_view_log_revision(view->records), now_us);
	admit(view);
	if (view->on_confirmed)
		view->on_confirmed(view->on_confirmed_owner);
}

void view_store_answered(struct view *view, uint64_t now_us)
{
	dw_store_outage_call_answered(&view->outage, view->confirmed_at_us,
				      view->source.timing.stale_us, now_us);
}

void view_peer_answered(struct view *view, uint64_t outage_ended_at_us)
{
	dw_store_outage_told(&view->outage, outage_ended_at_us, view->confirmed_at_us,
			     view->source.timing.stale_us);
}

void view_store_current(struct view *view, uint64_t revision, uint64_t confirmed_at_us,
			uint64_t now_us)
{
	uint64_t age_before_ms = age_ms(view, now_us);

	if (is_of_earlier_era(view, revision))
		return;
	complete(view, revision, now_us);
	view->hops = 0;
	confirm(view, DW_VIEW_FROM_STORE, confirmed_at_us, now_us);
	if (view->is_store_reached)
		return;
	view->is_store_reached = true;
	dw_log_event(view->log, DW_EVENT_STORE_BACK, DW_INT("age_ms", age_before_ms),
		     DW_INT("revision", dw_revision_number(revision)));
}

void view_peer_current(struct view *view, uint64_t confirmed_at_us, uint64_t now_us)
{
	confirm(view, DW_VIEW_FROM_PEER, confirmed_at_us, now_us);
}

void view_store_lost(struct view *view, enum dw_status reason, uint64_t abandoned_bytes,
		     uint64_t now_us)
{
	dw_counters_add(view->counters, DW_COUNTER_STORE_FAILURES, 1);
	if (abandoned_bytes > view->abandoned_bytes)
		dw_store_outage_call_broke_off(&view->outage);
	else if (reason != DW_STALE)
		dw_store_outage_call_failed(&view->outage, view->confirmed_at_us, now_us);
	view->abandoned_bytes = abandoned_bytes;
	if (!view->is_store_reached)
		return;
	view->is_store_reached = false;
	dw_log_event(view->log, DW_EVENT_STORE_LOST, DW_STR("reason", dw_status_name(reason)),
		     DW_INT("revision", dw_revision_number(dw_view_log_revision(view->records))),
		     DW_INT("abandoned_bytes", abandoned_bytes),
		     DW_INT("age_ms", age_ms(view, now_us)));
}

void view_gap_found(struct view *view, const struct dw_freshness_gap *gap)
{
	dw_freshness_gap_found(&view->unheard, gap, view->confirmed_at_us);
}

uint64_t view_config_known_at_us(const struct view *view)
{
	return dw_freshness_proven_us(&view->unheard, view->is_config_unreadable
							      ? view->config_known_at_us
							      : view->confirmed_at_us);
}

static bool is_config_known(const struct view *view, uint64_t now_us)
{
	return dw_freshness_allows(view_config_known_at_us(view), now_us,
				   view->settings->revocation_ms * DW_US_PER_MS);
}

bool view_is_fresh(const struct view *view, uint64_t arrived_at_us)
{
	return !view->settings->keys_fail_closed || is_config_known(view, arrived_at_us);
}

bool view_is_ready(const struct view *view, uint64_t now_us)
{
	return view_catalog(view) && view_is_fresh(view, now_us) &&
	       (!view->is_config_unreadable || is_config_known(view, now_us));
}

bool view_wants_memory(const struct view *view)
{
	return view->restore.lacks_memory &&
	       dw_revision_era(dw_view_log_revision(view->records)) > 0;
}

enum view_ask view_ask(struct view *view, uint64_t now_us)
{
	return view_restore_ask(&view->restore, view->records, now_us);
}

struct dw_catalog *view_catalog(const struct view *view)
{
	return view->confirmed_at_us > 0 && view->restore.is_admitted ? view->catalog : NULL;
}
