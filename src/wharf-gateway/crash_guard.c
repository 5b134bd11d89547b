#include "wharf-gateway/crash_guard.h"

#include <stdlib.h>
#include <string.h>

#include <dragonflywharf/rendezvous.h>

#include "base/clock.h"
#include "wharf-gateway/engine_probe.h"
#include "wharf-gateway/record_kinds.h"

/* A run that ended well this long before a crash still shows that the request isn't its cause. */
#define COMPLETION_US (60 * DW_US_PER_S)
/* A suspect isn't sent to the next engine sooner after the crash: engines that end together, for a
 * reason of their own, are known by then. */
#define SETTLE_US (30 * DW_US_PER_MS)
#define LIFETIME_US (QUARANTINE_LIFETIME_S * DW_US_PER_S)
/* The entry of a new lifetime comes so long after the lifetime accepts connections, at the latest. */
#define REGISTRATION_US (3 * DW_US_PER_S)
#define OWN "own"
#define STORE "store"

void crash_guard_init(struct crash_guard *guard, struct dw_log *log, struct dw_engine_set *engines,
		      struct era_guard *era_guard)
{
	struct dw_quarantine_options options = dw_quarantine_default_options();

	memset(guard, 0, sizeof(*guard));
	options.lifetime_us = LIFETIME_US;
	guard->log = log;
	guard->engines = engines;
	guard->checks = dw_crash_checks_new();
	if (dw_quarantine_new(&guard->quarantine, &options) != DW_OK)
		abort();
	quarantine_records_init(&guard->records, &request_record_kind, guard->quarantine, engines,
				era_guard);
	part_guard_init(&guard->parts, log, engines, era_guard);
}

void crash_guard_start(struct crash_guard *guard, uv_loop_t *loop, struct dw_store *store,
		       uint64_t seed)
{
	guard->loop = loop;
	quarantine_records_start(&guard->records, loop, store, seed);
	quarantine_records_start(&guard->parts.records, loop, store, seed);
}

void crash_guard_close(struct crash_guard *guard)
{
	part_guard_close(&guard->parts);
	dw_quarantine_free(guard->quarantine);
	dw_crash_checks_free(guard->checks);
}

void crash_guard_sweep(struct crash_guard *guard, uint64_t now_us)
{
	dw_crash_checks_expire(guard->checks, now_us);
	dw_quarantine_tick(guard->quarantine, now_us);
	dw_part_quarantine_tick(guard->parts.quarantine, now_us);
}

static void check_abandoned(struct crash_guard *guard, const struct dw_engine *engine,
			    enum dw_crash_sign sign, uint64_t ended_at_us);
static void apply_sign(struct crash_guard *guard, const struct dw_engine *engine,
		       enum dw_crash_sign sign, uint64_t since_us);

static bool has_said_it_leaves(const struct dw_engine *engine)
{
	return engine->entry.is_draining || engine->says_it_leaves;
}

/* The entry of an engine is removed when it has fallen silent, and also when it leaves without saying so: then
 * it works on for a while. */
static bool works_without_entry(const struct dw_engine *engine)
{
	return engine->state == DW_ENGINE_GONE && engine->alive_at_us > engine->removed_at_us;
}

static bool has_next_lifetime(const struct dw_engine *engine, enum dw_crash_sign sign)
{
	return sign == DW_CRASH_SIGN_RESTARTED || sign == DW_CRASH_SIGN_TOLD ||
	       engine->replaced_at_us > 0;
}

/* Whether the sign shows that the engine has crashed, so that runs count that were given up. Without an entry, an
 * engine that is only refused has left as likely as not. */
static bool shows_crash(const struct dw_engine *engine, enum dw_crash_sign sign)
{
	if (has_said_it_leaves(engine) || works_without_entry(engine))
		return false;
	if (engine->state == DW_ENGINE_GONE)
		return has_next_lifetime(engine, sign);
	return sign == DW_CRASH_SIGN_REFUSED || sign == DW_CRASH_SIGN_REPLACED ||
	       sign == DW_CRASH_SIGN_RESTARTED || sign == DW_CRASH_SIGN_TOLD;
}

static bool runs_here(const struct crash_guard *guard, struct dw_fingerprint suspect)
{
	for (uint32_t i = 0; i < guard->running_count; i++) {
		if (dw_fingerprint_equal(guard->running[i], suspect))
			return true;
	}
	return false;
}

/* Whether a crash under the request became known within SETTLE_US. */
static bool has_recent_crash(const struct crash_guard *guard, struct dw_fingerprint request,
			     uint64_t now_us)
{
	struct dw_quarantine_evidence pieces[DW_QUARANTINE_CRASHES];
	uint32_t count = dw_quarantine_pieces(guard->quarantine, request, now_us, pieces);

	for (uint32_t i = 0; i < count; i++) {
		if (pieces[i].remaining_us + SETTLE_US > LIFETIME_US)
			return true;
	}
	return false;
}

static enum crash_guard_verdict check_request(const struct crash_guard *guard,
					      struct dw_fingerprint request, uint64_t now_us)
{
	if (dw_quarantine_check(guard->quarantine, request, now_us) != DW_OK)
		return CRASH_GUARD_QUARANTINED;
	if (dw_crash_checks_is_open(guard->checks, request))
		return CRASH_GUARD_UNDECIDED;
	if (!dw_quarantine_is_suspect(guard->quarantine, request, now_us))
		return CRASH_GUARD_RUN;
	if (has_recent_crash(guard, request, now_us))
		return CRASH_GUARD_UNDECIDED;
	if (runs_here(guard, request) || guard->running_count == CRASH_GUARD_RUNNING_MAX)
		return CRASH_GUARD_RUNS_ALREADY;
	return CRASH_GUARD_RUN_AS_SUSPECT;
}

static enum crash_guard_verdict check_doubtful(const struct crash_guard *guard,
					       struct dw_fingerprint part)
{
	if (runs_here(guard, part) || guard->running_count == CRASH_GUARD_RUNNING_MAX)
		return CRASH_GUARD_RUNS_ALREADY;
	return CRASH_GUARD_RUN_DOUBTFUL;
}

enum crash_guard_verdict crash_guard_check(const struct crash_guard *guard,
					   const struct dw_crash_run *run, uint64_t now_us,
					   struct dw_fingerprint *suspect)
{
	enum crash_guard_verdict verdict = check_request(guard, run->request, now_us);
	struct dw_fingerprint part;

	*suspect = run->request;
	if (verdict != CRASH_GUARD_RUN && verdict != CRASH_GUARD_RUN_AS_SUSPECT)
		return verdict;
	switch (dw_part_quarantine_check(guard->parts.quarantine, &run->parts, now_us, &part)) {
	case DW_PARTS_SOUND:
	case DW_PART_VERDICT_COUNT:
		break;
	case DW_PARTS_WATCHED:
		*suspect = part;
		return verdict == CRASH_GUARD_RUN ? CRASH_GUARD_RUN_WATCHED : verdict;
	case DW_PARTS_SUSPECT:
		*suspect = part;
		return verdict == CRASH_GUARD_RUN ? CRASH_GUARD_RUN_SPARING : verdict;
	case DW_PARTS_DOUBTFUL:
		*suspect = part;
		return check_doubtful(guard, part);
	case DW_PARTS_QUARANTINED:
		return CRASH_GUARD_PART_QUARANTINED;
	}
	return verdict;
}

void crash_guard_suspect_sent(struct crash_guard *guard, struct dw_fingerprint suspect)
{
	if (guard->running_count < CRASH_GUARD_RUNNING_MAX)
		guard->running[guard->running_count++] = suspect;
}

void crash_guard_suspect_ended(struct crash_guard *guard, struct dw_fingerprint suspect)
{
	for (uint32_t i = 0; i < guard->running_count; i++) {
		if (!dw_fingerprint_equal(guard->running[i], suspect))
			continue;
		guard->running[i] = guard->running[--guard->running_count];
		return;
	}
}

static void tell(struct crash_guard *guard)
{
	if (guard->on_news)
		guard->on_news(guard->on_news_owner);
}

static void log_request(struct crash_guard *guard, enum dw_event event,
			struct dw_fingerprint request, const struct dw_engine *engine,
			const char *cause, const char *from)
{
	char text[DW_FINGERPRINT_TEXT_BYTES];
	struct dw_quarantine_evidence pieces[DW_QUARANTINE_CRASHES];
	uint64_t now_us = dw_clock_now_us();
	uint32_t count = dw_quarantine_pieces(guard->quarantine, request, now_us, pieces);

	dw_fingerprint_text(request, text);
	dw_log_event(guard->log, event, DW_STR("fingerprint", text), DW_STR("cause", cause),
		     DW_STR("engine", engine ? engine->entry.id : ""), DW_STR("from", from),
		     DW_INT("crashes", count),
		     DW_INT("age_ms",
			    count > 0 ? (LIFETIME_US - pieces[0].remaining_us) / DW_US_PER_MS : 0));
}

static void clear(struct crash_guard *guard, struct dw_fingerprint request, const char *cause,
		  const char *from)
{
	if (dw_quarantine_clear(guard->quarantine, request, DW_SPREAD_EVERYWHERE,
				dw_clock_now_us()) == 0)
		return;
	log_request(guard, DW_EVENT_REQUEST_CLEARED, request, NULL, cause, from);
	quarantine_records_lift(&guard->records, request);
	tell(guard);
}

/* All instances read that in the store, so it isn't passed on. */
static void lift(struct crash_guard *guard, struct dw_fingerprint request)
{
	if (dw_quarantine_clear(guard->quarantine, request, DW_SPREAD_NOWHERE, dw_clock_now_us()) >
	    0)
		log_request(guard, DW_EVENT_REQUEST_CLEARED, request, NULL, "lifted", STORE);
}

/* Another instance has found the engine ended: requests of this one may have run there too. */
static void note_told(struct crash_guard *guard, const struct dw_engine *engine,
		      const struct dw_quarantine_evidence *evidence, uint64_t now_us)
{
	uint64_t age_us =
		evidence->remaining_us < LIFETIME_US ? LIFETIME_US - evidence->remaining_us : 0;

	if (!shows_crash(engine, DW_CRASH_SIGN_TOLD))
		return;
	check_abandoned(guard, engine, DW_CRASH_SIGN_TOLD, now_us - age_us);
	apply_sign(guard, engine, DW_CRASH_SIGN_TOLD, now_us);
}

/* Handles a piece of evidence that is new here. */
static void handle_crash(struct crash_guard *guard, const struct dw_quarantine_evidence *evidence,
			 const char *from)
{
	uint64_t now_us = dw_clock_now_us();
	struct dw_engine *engine = dw_engine_set_find_run(guard->engines, evidence->upstream_id,
							  evidence->upstream_incarnation);
	bool is_own = strcmp(from, OWN) == 0;
	/* The store has a part of the evidence, and this instance the rest. */
	bool is_from_store = strcmp(from, STORE) == 0;

	if (engine) {
		dw_engine_process_ended(engine, now_us);
		if (!is_own)
			note_told(guard, engine, evidence, now_us);
	}
	if (engine && dw_completion_cache_has(
			      &guard->completions, evidence->fingerprint, engine->entry.version,
			      now_us > COMPLETION_US ? now_us - COMPLETION_US : 0)) {
		clear(guard, evidence->fingerprint, "it has ended well", from);
		return;
	}
	if (dw_quarantine_check(guard->quarantine, evidence->fingerprint, now_us) != DW_OK) {
		log_request(guard, DW_EVENT_REQUEST_QUARANTINED, evidence->fingerprint, engine,
			    "crashes", from);
		quarantine_records_add(&guard->records, evidence->fingerprint,
				       is_own || is_from_store);
	} else if (is_own) {
		quarantine_records_add_suspicion(&guard->records, evidence->fingerprint);
		log_request(guard, DW_EVENT_REQUEST_SUSPECTED, evidence->fingerprint, engine,
			    "crash", from);
	}
}

static void merge_piece(struct crash_guard *guard, const struct dw_quarantine_evidence *evidence,
			enum dw_spread_scope scope, const char *from)
{
	uint64_t now_us = dw_clock_now_us();
	bool was_refused =
		dw_quarantine_check(guard->quarantine, evidence->fingerprint, now_us) != DW_OK;

	if (!dw_quarantine_merge_scoped(guard->quarantine, evidence, scope, now_us))
		return;
	if (evidence->remaining_us > 0)
		handle_crash(guard, evidence, from);
	else if (was_refused)
		log_request(guard, DW_EVENT_REQUEST_CLEARED, evidence->fingerprint, NULL, "told so",
			    from);
}

void crash_guard_merge(struct crash_guard *guard, const struct dw_quarantine_evidence *evidence,
		       size_t count, enum dw_spread_scope scope, const char *from)
{
	for (size_t i = 0; i < count; i++)
		merge_piece(guard, &evidence[i], scope, from);
	tell(guard);
}

void crash_guard_merge_parts(struct crash_guard *guard, const struct dw_part_news *news,
			     size_t count, enum dw_spread_scope scope, const char *from)
{
	part_guard_merge(&guard->parts, news, count, scope, from);
	tell(guard);
}

void crash_guard_apply_record(struct crash_guard *guard, const struct dw_store_event *event)
{
	struct quarantine_record_change change;
	struct dw_quarantine_evidence evidence;

	part_guard_apply_record(&guard->parts, event);
	quarantine_records_apply(&guard->records, event, &change);
	switch (change.kind) {
	case QUARANTINE_CHANGE_CRASHES:
		for (uint32_t i = 0; i < change.crash_count; i++) {
			evidence = request_record_evidence(change.key, &change.crashes[i]);
			merge_piece(guard, &evidence, DW_SPREAD_NOWHERE, STORE);
		}
		break;
	case QUARANTINE_CHANGE_LIFTED:
		lift(guard, change.key);
		break;
	case QUARANTINE_CHANGE_NONE:
	case QUARANTINE_CHANGE_COUNT:
		break;
	}
}

void crash_guard_store_restored(struct crash_guard *guard, const struct dw_view_place *place,
				uint64_t now_us)
{
	quarantine_records_store_restored(&guard->records, place, now_us);
	quarantine_records_store_restored(&guard->parts.records, place, now_us);
}

static struct dw_crash_upstream upstream_of(const struct dw_engine *engine)
{
	return (struct dw_crash_upstream){ engine->id_hash, engine->entry.started_at_ms };
}

static void add_crashes(struct crash_guard *guard, const struct dw_engine *engine,
			const struct dw_crash_requests *requests)
{
	for (uint32_t i = 0; i < requests->count; i++) {
		struct dw_quarantine_evidence evidence = {
			.fingerprint = requests->items[i].request,
			.upstream_id = engine->id_hash,
			.upstream_incarnation = engine->entry.started_at_ms,
			.remaining_us = LIFETIME_US,
			.is_abandoned = requests->items[i].is_abandoned,
		};

		merge_piece(guard, &evidence, DW_SPREAD_EVERYWHERE, OWN);
	}
	part_guard_crashed(&guard->parts, engine, requests);
	tell(guard);
}

/* The engine was taken for one that has ended, and has answered since. */
static void withdraw_crashes(struct crash_guard *guard, const struct dw_engine *engine,
			     const struct dw_crash_requests *requests)
{
	for (uint32_t i = 0; i < requests->count; i++) {
		struct dw_fingerprint request = requests->items[i].request;

		if (dw_quarantine_withdraw(guard->quarantine, request, engine->id_hash,
					   engine->entry.started_at_ms, dw_clock_now_us()))
			log_request(guard, DW_EVENT_REQUEST_CLEARED, request, engine,
				    "the engine runs", OWN);
	}
	part_guard_withdraw(&guard->parts, engine, requests);
	tell(guard);
}

static uint32_t count_abandoned(const struct dw_crash_requests *requests)
{
	uint32_t count = 0;

	for (uint32_t i = 0; i < requests->count; i++)
		count += requests->items[i].is_abandoned;
	return count;
}

static void log_ended(struct crash_guard *guard, const struct dw_engine *engine,
		      enum dw_crash_sign sign, const struct dw_crash_requests *requests)
{
	dw_log_event(
		guard->log, DW_EVENT_ENGINE_ENDED, DW_STR("engine", engine->entry.id),
		DW_STR("service", engine->entry.service),
		DW_STR("failure_domain", engine->entry.failure_domain),
		DW_STR("sign", dw_crash_sign_name(sign)), DW_INT("requests", requests->count),
		DW_INT("abandoned", count_abandoned(requests)),
		DW_INT("waited_ms", (dw_clock_now_us() - requests->lost_at_us) / DW_US_PER_MS));
}

/* When the engine's lifetime last showed life. Connections that were accepted shortly before the next one is
 * known may have been accepted by that. */
static uint64_t alive_at_us(const struct dw_engine *engine, enum dw_crash_sign sign,
			    uint64_t now_us)
{
	bool is_certain =
		sign == DW_CRASH_SIGN_REFUSED || engine->accepted_at_us + REGISTRATION_US < now_us;

	if (is_certain && engine->accepted_at_us > engine->alive_at_us)
		return engine->accepted_at_us;
	return engine->alive_at_us;
}

/* The engine had ended by @p ended_at_us: adds the runs that were given up before to its check. */
static void check_abandoned(struct crash_guard *guard, const struct dw_engine *engine,
			    enum dw_crash_sign sign, uint64_t ended_at_us)
{
	struct dw_upstream_end end = {
		.alive_at_us = alive_at_us(engine, sign, dw_clock_now_us()),
		.ended_at_us = ended_at_us,
	};
	struct dw_crash_run runs[DW_CRASH_CHECK_REQUESTS_MAX];
	struct dw_crash_requests late;
	uint32_t count = dw_abandoned_runs_take(&guard->abandoned, upstream_of(engine), &end, runs,
						DW_CRASH_CHECK_REQUESTS_MAX);

	for (uint32_t i = 0; i < count; i++) {
		if (dw_crash_checks_lost(guard->checks, upstream_of(engine), &runs[i], ended_at_us,
					 &late) == DW_CRASH_ENDED)
			add_crashes(guard, engine, &late);
	}
}

/* Keeps runs for which a connection was lost, in case that their engine turns out to have ended. */
static void keep_lost(struct crash_guard *guard, const struct dw_engine *engine,
		      const struct dw_crash_requests *requests)
{
	for (uint32_t i = 0; i < requests->count; i++) {
		struct dw_abandoned_run lost = {
			.upstream = upstream_of(engine),
			.request = requests->items[i].request,
			.sent_at_us = requests->lost_at_us,
			.abandoned_at_us = requests->lost_at_us,
		};

		dw_abandoned_runs_add(&guard->abandoned, &lost, &requests->items[i].parts);
	}
}

static void apply_sign(struct crash_guard *guard, const struct dw_engine *engine,
		       enum dw_crash_sign sign, uint64_t since_us)
{
	struct dw_crash_requests requests;

	switch (dw_crash_checks_sign(guard->checks, engine->id_hash, sign, since_us, &requests)) {
	case DW_CRASH_ENDED:
		guard->engines_ended++;
		log_ended(guard, engine, sign, &requests);
		add_crashes(guard, engine, &requests);
		break;
	case DW_CRASH_ALIVE:
		if (requests.had_ended)
			withdraw_crashes(guard, engine, &requests);
		else if (sign == DW_CRASH_SIGN_CONNECTED)
			keep_lost(guard, engine, &requests);
		break;
	case DW_CRASH_OPEN:
	case DW_CRASH_VERDICT_COUNT:
		break;
	}
}

void crash_guard_sign(struct crash_guard *guard, const struct dw_engine *engine,
		      enum dw_crash_sign sign, uint64_t since_us)
{
	if (shows_crash(engine, sign))
		check_abandoned(guard, engine, sign, dw_clock_now_us());
	apply_sign(guard, engine, sign, since_us);
}

void crash_guard_replaced(struct crash_guard *guard, struct dw_engine *engine)
{
	if (engine->replaced_at_us > 0)
		return;
	engine->replaced_at_us = dw_clock_now_us();
	crash_guard_sign(guard, engine, DW_CRASH_SIGN_REPLACED, engine->replaced_at_us);
}

static void on_probe_done(void *owner, const char *engine_id, enum engine_probe_result result,
			  uint64_t started_at_us)
{
	struct crash_guard *guard = owner;
	struct dw_engine *engine = dw_engine_set_find(guard->engines, engine_id);

	if (!engine)
		return;
	switch (result) {
	case ENGINE_PROBE_REFUSED:
		crash_guard_sign(guard, engine, DW_CRASH_SIGN_REFUSED, started_at_us);
		break;
	case ENGINE_PROBE_CONNECTED:
	case ENGINE_PROBE_CLOSED:
		engine->accepted_at_us = dw_clock_now_us();
		crash_guard_sign(guard, engine, DW_CRASH_SIGN_CONNECTED, started_at_us);
		break;
	case ENGINE_PROBE_UNDECIDED:
	case ENGINE_PROBE_RESULT_COUNT:
		break;
	}
}

static void probe(struct crash_guard *guard, const struct dw_engine *engine)
{
	guard->probes++;
	engine_probe_start(guard->loop, engine, ENGINE_PROBE_HOLD_MS, on_probe_done, guard);
}

/* The place of an engine among those watched; with 0, a free one. NULL: there is none. */
static uint64_t *find_watched(struct crash_guard *guard, uint64_t id_hash)
{
	for (uint32_t i = 0; i < CRASH_GUARD_WATCHED_MAX; i++) {
		if (guard->watched[i] == id_hash)
			return &guard->watched[i];
	}
	return NULL;
}

static void watch(struct crash_guard *guard, const struct dw_engine *engine);

static void on_watch_done(void *owner, const char *engine_id, enum engine_probe_result result,
			  uint64_t started_at_us)
{
	struct crash_guard *guard = owner;
	uint64_t *place = find_watched(guard, dw_rendezvous_key(engine_id, strlen(engine_id)));
	struct dw_engine *engine = dw_engine_set_find(guard->engines, engine_id);

	if (place)
		*place = 0;
	if (!engine)
		return;
	if (result != ENGINE_PROBE_CONNECTED) {
		on_probe_done(owner, engine_id, result, started_at_us);
		return;
	}
	engine->accepted_at_us = dw_clock_now_us();
	watch(guard, engine);
}

/* Keeps a connection to the engine for as long as its end would count for a run that was given up. */
static void watch(struct crash_guard *guard, const struct dw_engine *engine)
{
	uint64_t now_us = dw_clock_now_us();
	uint64_t until_us =
		dw_abandoned_runs_count_until_us(&guard->abandoned, upstream_of(engine));
	uint64_t *place = find_watched(guard, 0);

	if (until_us <= now_us || !place || find_watched(guard, engine->id_hash))
		return;
	*place = engine->id_hash;
	guard->probes++;
	engine_probe_start(guard->loop, engine, (uint32_t)((until_us - now_us) / DW_US_PER_MS) + 1,
			   on_watch_done, guard);
}

void crash_guard_connection_lost(struct crash_guard *guard, const struct dw_engine *engine,
				 const struct dw_crash_run *run, uint64_t sent_at_us)
{
	bool is_known = dw_crash_checks_has_upstream(guard->checks, engine->id_hash);
	struct dw_crash_requests requests;

	/* An engine that leaves ends with the requests that it couldn't complete. */
	if (!guard->loop || has_said_it_leaves(engine))
		return;
	if (engine->state == DW_ENGINE_GONE) {
		crash_guard_abandoned(guard, engine, run, sent_at_us);
		return;
	}
	if (dw_crash_checks_lost(guard->checks, upstream_of(engine), run, dw_clock_now_us(),
				 &requests) == DW_CRASH_ENDED)
		add_crashes(guard, engine, &requests);
	else if (!is_known)
		probe(guard, engine);
}

void crash_guard_abandoned(struct crash_guard *guard, const struct dw_engine *engine,
			   const struct dw_crash_run *run, uint64_t sent_at_us)
{
	struct dw_abandoned_run abandoned = {
		.upstream = upstream_of(engine),
		.request = run->request,
		.sent_at_us = sent_at_us,
		.abandoned_at_us = dw_clock_now_us(),
	};

	if (!guard->loop || has_said_it_leaves(engine))
		return;
	dw_abandoned_runs_add(&guard->abandoned, &abandoned, &run->parts);
	if (engine->replaced_at_us > 0)
		crash_guard_sign(guard, engine, DW_CRASH_SIGN_REPLACED, abandoned.abandoned_at_us);
	else if (dw_crash_checks_has_ended(guard->checks, abandoned.upstream))
		check_abandoned(guard, engine, DW_CRASH_SIGN_TOLD, abandoned.abandoned_at_us);
	else
		watch(guard, engine);
}

void crash_guard_completed(struct crash_guard *guard, struct dw_fingerprint request,
			   const char *version)
{
	dw_completion_cache_add(&guard->completions, request, version, dw_clock_now_us());
	clear(guard, request, "it ended well", OWN);
}

void crash_guard_parts_completed(struct crash_guard *guard, const struct dw_part_set *parts,
				 const char *version, uint64_t began_at_us)
{
	if (part_guard_ended_well(&guard->parts, parts, version, began_at_us))
		tell(guard);
}
