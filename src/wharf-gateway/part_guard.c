#include "wharf-gateway/part_guard.h"

#include <string.h>

#include <dragonflywharf/rendezvous.h>

#include "base/clock.h"
#include "wharf-gateway/record_kinds.h"

#define OWN "own"
#define STORE "store"

void part_guard_init(struct part_guard *guard, struct dw_log *log, struct dw_engine_set *engines,
		     struct era_guard *era_guard)
{
	struct dw_part_options options = dw_part_quarantine_default_options();

	memset(guard, 0, sizeof(*guard));
	options.lifetime_us = QUARANTINE_LIFETIME_S * DW_US_PER_S;
	guard->log = log;
	guard->quarantine = dw_part_quarantine_new(&options);
	quarantine_records_init(&guard->records, &part_record_kind, guard->quarantine, engines,
				era_guard);
}

void part_guard_close(struct part_guard *guard)
{
	dw_part_quarantine_free(guard->quarantine);
}

static void log_part(struct part_guard *guard, enum dw_event event, struct dw_fingerprint part,
		     const char *from)
{
	char text[DW_FINGERPRINT_TEXT_BYTES];
	uint64_t now_us = dw_clock_now_us();

	dw_fingerprint_text(part, text);
	dw_log_event(
		guard->log, event, DW_STR("part", text), DW_STR("from", from),
		DW_INT("crashes", dw_part_quarantine_crash_count(guard->quarantine, part, now_us)),
		DW_INT("established",
		       dw_part_quarantine_is_established(guard->quarantine, part, now_us)));
}

static bool is_quarantined(const struct part_guard *guard, struct dw_fingerprint part)
{
	return dw_part_quarantine_is_quarantined(guard->quarantine, part, dw_clock_now_us());
}

/* There is a crash under the part that wasn't known here. */
static void handle_crash(struct part_guard *guard, struct dw_fingerprint part, bool was_quarantined,
			 const char *from)
{
	bool is_own = strcmp(from, OWN) == 0;

	if (is_quarantined(guard, part)) {
		if (!was_quarantined)
			log_part(guard, DW_EVENT_PART_QUARANTINED, part, from);
		/* The store may have a part of the evidence, and this instance the rest. */
		quarantine_records_add(&guard->records, part, is_own || strcmp(from, STORE) == 0);
	} else if (is_own) {
		quarantine_records_add_suspicion(&guard->records, part);
		log_part(guard, DW_EVENT_PART_SUSPECTED, part, from);
	}
}

/* @return whether the news change the evidence */
static bool merge_piece(struct part_guard *guard, const struct dw_part_news *news,
			enum dw_spread_scope scope, const char *from)
{
	uint64_t now_us = dw_clock_now_us();
	bool was_quarantined = is_quarantined(guard, news->part);

	if (!dw_part_quarantine_merge(guard->quarantine, news, scope, now_us))
		return false;
	if (dw_part_quarantine_crash_count(guard->quarantine, news->part, now_us) == 0) {
		quarantine_records_lift(&guard->records, news->part);
		if (was_quarantined)
			log_part(guard, DW_EVENT_PART_CLEARED, news->part, from);
	} else if (news->kind == DW_PART_CRASHED || news->kind == DW_PART_RECORDED) {
		handle_crash(guard, news->part, was_quarantined, from);
	}
	return true;
}

void part_guard_merge(struct part_guard *guard, const struct dw_part_news *news, size_t count,
		      enum dw_spread_scope scope, const char *from)
{
	for (size_t i = 0; i < count; i++)
		merge_piece(guard, &news[i], scope, from);
}

static struct dw_part_news news_of(const struct dw_engine *engine, enum dw_part_news_kind kind)
{
	const char *version = engine->entry.version;

	return (struct dw_part_news){
		.kind = kind,
		.upstream_id = engine->id_hash,
		.upstream_incarnation = engine->entry.started_at_ms,
		.version = dw_rendezvous_key(version, strlen(version)),
	};
}

/* Several requests with a part are merged one after the other. */
static void merge_runs(struct part_guard *guard, struct dw_part_news *news,
		       const struct dw_crash_requests *runs)
{
	for (uint32_t i = 0; i < runs->count; i++) {
		const struct dw_crash_run *run = &runs->items[i];

		news->request = run->request.low | 1;
		for (uint32_t k = 0; k < run->parts.count; k++) {
			news->part = run->parts.parts[k];
			news->is_established = dw_part_quarantine_is_established(
				guard->quarantine, news->part, dw_clock_now_us());
			merge_piece(guard, news, DW_SPREAD_EVERYWHERE, OWN);
		}
	}
}

void part_guard_crashed(struct part_guard *guard, const struct dw_engine *engine,
			const struct dw_crash_requests *runs)
{
	struct dw_part_news news = news_of(engine, DW_PART_CRASHED);

	merge_runs(guard, &news, runs);
}

void part_guard_withdraw(struct part_guard *guard, const struct dw_engine *engine,
			 const struct dw_crash_requests *runs)
{
	struct dw_part_news news = news_of(engine, DW_PART_WITHDRAWN);

	merge_runs(guard, &news, runs);
}

bool part_guard_ended_well(struct part_guard *guard, const struct dw_part_set *set,
			   const char *version, uint64_t began_at_us)
{
	uint64_t now_us = dw_clock_now_us();
	uint64_t version_hash = dw_rendezvous_key(version, strlen(version));
	bool has_cleared = false;

	for (uint32_t i = 0; i < set->count; i++) {
		struct dw_part_news news = {
			.kind = DW_PART_ENDED_WELL,
			.part = set->parts[i],
			.version = version_hash,
			.age_us = now_us - began_at_us,
		};

		has_cleared |= merge_piece(guard, &news, DW_SPREAD_EVERYWHERE, OWN);
	}
	return has_cleared;
}

void part_guard_apply_record(struct part_guard *guard, const struct dw_store_event *event)
{
	struct quarantine_record_change change;
	struct dw_part_news news;

	quarantine_records_apply(&guard->records, event, &change);
	switch (change.kind) {
	case QUARANTINE_CHANGE_CRASHES:
		for (uint32_t i = 0; i < change.crash_count; i++) {
			news = part_record_news(change.key, &change.crashes[i]);
			merge_piece(guard, &news, DW_SPREAD_NOWHERE, STORE);
		}
		break;
	case QUARANTINE_CHANGE_LIFTED:
		/* All instances read that in the store, so it isn't passed on. */
		if (dw_part_quarantine_lift(guard->quarantine, change.key, dw_clock_now_us()))
			log_part(guard, DW_EVENT_PART_CLEARED, change.key, STORE);
		break;
	case QUARANTINE_CHANGE_NONE:
	case QUARANTINE_CHANGE_COUNT:
		break;
	}
}
