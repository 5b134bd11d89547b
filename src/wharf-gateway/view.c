#include "wharf-gateway/view.h"

#include <string.h>

#include <dragonflywharf/freshness.h>

#include "base/clock.h"
#include "net/view_codec.h"
#include "net/view_pack.h"
#include "platform/records.h"
#include "wharf-gateway/view_records.h"

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

static uint64_t min_u64(uint64_t a, uint64_t b)
{
	return a < b ? a : b;
}

static uint64_t max_u64(uint64_t a, uint64_t b)
{
	return a > b ? a : b;
}

uint64_t view_age_ms(const struct view *view, uint64_t now_us)
{
	return view->confirmed_at_us > 0 ? (now_us - view->confirmed_at_us) / DW_US_PER_MS : 0;
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
		view_records_apply(view, event, now_us);
	bytes_free(&packed);
}

/* When the store was back after an outage: an answer since the last proof, of this instance or another one, shows it. Engines
 * write their entries again from then on, however late the era is heard of. */
static uint64_t returned_at_us(const struct view *view, uint64_t now_us)
{
	uint64_t returned_us = now_us;

	if (view->stale_at_us > view->confirmed_at_us)
		returned_us = view->stale_at_us;
	if (view->outage.ended_at_us > view->confirmed_at_us &&
	    view->outage.ended_at_us < returned_us)
		returned_us = view->outage.ended_at_us;
	return returned_us;
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
		view_restore_entered(&view->restore, returned_at_us(view, now_us), now_us);
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
		view_records_apply(view, &event, now_us);
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

/* Whether the record has gone since: the source is behind this copy, which doesn't have the key. An engine's entry isn't kept
 * over none, others may be. */
static bool is_gone_since(const struct view *view, const struct view_snapshot *snapshot,
			  const struct dw_view_record *known, const struct dw_view_record *record)
{
	uint64_t revision = dw_view_log_revision(view->records);
	const char *name;

	if (known || record->deleted ||
	    dw_revision_era(snapshot->revision) != dw_revision_era(revision))
		return false;
	if (record->kept_over == 0)
		return record->revision <= revision;
	return record->kept_over <= revision && record_kind_of(record->key, &name) == RECORD_ENGINE;
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
		dw_view_log_tell_deleted(view->records, &record,
					 now_us - min_u64(record.deleted_for_us, now_us));
		return true;
	}
	if (is_gone_since(view, snapshot, known, &record))
		return true;
	if (record.packed && !is_known(view, &record) &&
	    view_record_unpack(view->records, &record, VIEW_ANSWER_MAX_BYTES, &value) != DW_OK) {
		bytes_free(&value);
		view_records_reject(view, record.key);
		return false;
	}
	event.entry.key = record.key;
	event.entry.value = record.value;
	event.entry.value_len = record.value_len;
	event.entry.mod_revision = record.revision;
	view->records_ignored += is_superseded(view, &record);
	if (is_contested(snapshot, known, &record)) {
		/* What a source that is behind still has says nothing of the state that it is kept over. */
		if (snapshot->revision < known->kept_over ||
		    view_restore_keeps(snapshot, known, &record)) {
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
			view_records_disable_engine(view, name, "lost removal", now_us);
		view_records_apply(view, &event, now_us);
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
	uint64_t age_before_ms = view_age_ms(view, now_us);

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

/* The store is there, though it no longer has the history. */
static void note_stale(struct view *view, uint64_t now_us)
{
	view_store_answered(view, now_us);
	if (view->stale_at_us <= view->confirmed_at_us)
		view->stale_at_us = now_us;
}

void view_store_lost(struct view *view, enum dw_status reason, uint64_t abandoned_bytes,
		     uint64_t now_us)
{
	dw_counters_add(view->counters, DW_COUNTER_STORE_FAILURES, 1);
	if (abandoned_bytes > view->abandoned_bytes)
		dw_store_outage_call_broke_off(&view->outage);
	else if (reason == DW_STALE)
		note_stale(view, now_us);
	else
		dw_store_outage_call_failed(&view->outage, view->confirmed_at_us, now_us);
	view->abandoned_bytes = abandoned_bytes;
	if (!view->is_store_reached)
		return;
	view->is_store_reached = false;
	dw_log_event(view->log, DW_EVENT_STORE_LOST, DW_STR("reason", dw_status_name(reason)),
		     DW_INT("revision", dw_revision_number(dw_view_log_revision(view->records))),
		     DW_INT("abandoned_bytes", abandoned_bytes),
		     DW_INT("age_ms", view_age_ms(view, now_us)));
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

bool view_asks_memory(const struct view *view, uint64_t now_us)
{
	return view_wants_memory(view) &&
	       (view->confirmed_at_us == 0 || view_restore_may_ask_again(&view->restore, now_us));
}

bool view_asks_oldest(const struct view *view, uint64_t now_us)
{
	return view->confirmed_at_us > 0 && view_asks_memory(view, now_us);
}

enum view_ask view_ask(struct view *view, uint64_t now_us)
{
	return view_restore_ask(&view->restore, view->records, now_us);
}

struct dw_catalog *view_catalog(const struct view *view)
{
	return view->confirmed_at_us > 0 && view->restore.is_admitted ? view->catalog : NULL;
}
