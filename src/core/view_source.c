#include <dragonflywharf/view_source.h>

#include <string.h>

/* Parts of the time limit for applying a change, in thousandths. A change is at a reader after one
 * poll interval; an instance whose source falls silent just then notices after the pull timeout, and
 * one that no source serves reads the store after the takeover time and, for the last of 2,100
 * instances, ten steps. */
#define POLL_INTERVAL_PERMILLE 150
#define POLL_WAIT_PERMILLE 190
#define HOLD_PERMILLE 200
#define PULL_TIMEOUT_PERMILLE 270
#define STALE_PERMILLE 280
#define TAKEOVER_PERMILLE 360
#define TAKEOVER_STEP_PERMILLE 35
#define RETRY_PERMILLE 400

/* After the start: when the first instance without a copy reads the store, and the step after which
 * twice as many do. */
#define START_US UINT64_C(120000)
#define START_STEP_US UINT64_C(300000)

/* How long an instance that lacks changes waits for the store before it asks for all records. */
#define BEHIND_US UINT64_C(1000000)
/* Pause before a failed source is asked again, doubled with each failure in a row. */
#define AVOID_US UINT64_C(2000000)
#define AVOID_DOUBLINGS_MAX 3

static uint64_t part(uint64_t whole_us, uint32_t permille)
{
	return whole_us * permille / 1000;
}

struct dw_view_timing dw_view_timing_from(uint64_t change_applied_us)
{
	return (struct dw_view_timing){
		.poll_interval_us = part(change_applied_us, POLL_INTERVAL_PERMILLE),
		.poll_wait_us = part(change_applied_us, POLL_WAIT_PERMILLE),
		.hold_us = part(change_applied_us, HOLD_PERMILLE),
		.pull_timeout_us = part(change_applied_us, PULL_TIMEOUT_PERMILLE),
		.stale_us = part(change_applied_us, STALE_PERMILLE),
		.takeover_us = part(change_applied_us, TAKEOVER_PERMILLE),
		.takeover_step_us = part(change_applied_us, TAKEOVER_STEP_PERMILLE),
		.retry_us = part(change_applied_us, RETRY_PERMILLE),
	};
}

void dw_view_source_init(struct dw_view_source *source, uint64_t change_applied_us,
			 uint64_t started_at_us)
{
	memset(source, 0, sizeof(*source));
	source->timing = dw_view_timing_from(change_applied_us);
	source->started_at_us = started_at_us;
	source->place.members = 1;
	source->place.readers = 1;
}

void dw_view_source_set_limit(struct dw_view_source *source, uint64_t change_applied_us)
{
	source->timing = dw_view_timing_from(change_applied_us);
}

void dw_view_source_place(struct dw_view_source *source, const struct dw_view_place *place)
{
	source->place = *place;
}

static uint64_t max_u64(uint64_t a, uint64_t b)
{
	return a > b ? a : b;
}

uint64_t dw_view_source_confirmed_at_us(const struct dw_view_source *source)
{
	return max_u64(source->confirmed_at_us[DW_VIEW_FROM_STORE],
		       source->confirmed_at_us[DW_VIEW_FROM_PEER]);
}

static uint64_t age_us(uint64_t confirmed_at_us, uint64_t now_us)
{
	if (confirmed_at_us == 0)
		return UINT64_MAX;
	return now_us > confirmed_at_us ? now_us - confirmed_at_us : 0;
}

static struct dw_view_failed_source *find_failed(struct dw_view_source *source, uint64_t id)
{
	for (uint32_t i = 0; i < DW_VIEW_SOURCES_MAX; i++) {
		if (source->failed[i].instance_id == id)
			return &source->failed[i];
	}
	return NULL;
}

static struct dw_view_failed_source *find_or_reuse_failed(struct dw_view_source *source,
							  uint64_t id)
{
	struct dw_view_failed_source *failed = find_failed(source, id);

	if (failed)
		return failed;
	failed = &source->failed[0];
	for (uint32_t i = 1; i < DW_VIEW_SOURCES_MAX; i++) {
		if (source->failed[i].avoid_until_us < failed->avoid_until_us)
			failed = &source->failed[i];
	}
	*failed = (struct dw_view_failed_source){ .instance_id = id };
	return failed;
}

static void avoid(struct dw_view_source *source, uint64_t id, uint64_t now_us)
{
	struct dw_view_failed_source *failed;
	uint32_t doublings;

	if (id == 0)
		return;
	failed = find_or_reuse_failed(source, id);
	doublings = failed->failures < AVOID_DOUBLINGS_MAX ? failed->failures : AVOID_DOUBLINGS_MAX;
	failed->failures++;
	failed->avoid_until_us = now_us + (AVOID_US << doublings);
}

void dw_view_source_failed(struct dw_view_source *source, uint64_t now_us)
{
	avoid(source, source->asked, now_us);
}

void dw_view_source_behind(struct dw_view_source *source, uint64_t now_us)
{
	if (source->behind_since_us == 0)
		source->behind_since_us = now_us;
}

bool dw_view_source_waits_for_store(const struct dw_view_source *source, uint64_t now_us)
{
	return source->behind_since_us > 0 && now_us < source->behind_since_us + BEHIND_US;
}

bool dw_view_source_wants_all(const struct dw_view_source *source, uint64_t now_us)
{
	return source->behind_since_us > 0 && now_us >= source->behind_since_us + BEHIND_US;
}

void dw_view_source_confirmed(struct dw_view_source *source, enum dw_view_origin origin,
			      uint64_t confirmed_at_us, uint64_t now_us)
{
	struct dw_view_failed_source *failed;

	source->behind_since_us = 0;
	source->confirmed_at_us[origin] = max_u64(source->confirmed_at_us[origin], confirmed_at_us);
	if (origin != DW_VIEW_FROM_PEER)
		return;
	/* A source that answers, but has itself lost touch, is left as well. */
	if (age_us(confirmed_at_us, now_us) > source->timing.stale_us) {
		avoid(source, source->asked, now_us);
		return;
	}
	failed = find_failed(source, source->asked);
	if (failed)
		*failed = (struct dw_view_failed_source){ 0 };
}

bool dw_view_source_is_reader(const struct dw_view_source *source)
{
	if (source->place.members == 1 && source->has_seeds)
		return false;
	return source->place.rank < source->place.readers;
}

/* Steps of doubling, in thousandths, until all instances up to this rank may read. */
static uint64_t steps_permille(const struct dw_view_place *place)
{
	uint64_t ratio_permille = 1000 + (uint64_t)place->rank * 1000 / place->readers;
	uint64_t steps = 0;

	while (ratio_permille >= 2000) {
		ratio_permille /= 2;
		steps += 1000;
	}
	return steps + ratio_permille - 1000;
}

/* Whether the copy is so old, or has been missing for so long, that this instance should read. */
static bool is_takeover_due(const struct dw_view_source *source, uint64_t now_us)
{
	const struct dw_view_timing *timing = &source->timing;
	uint64_t steps = steps_permille(&source->place);
	uint64_t confirmed_at_us = dw_view_source_confirmed_at_us(source);

	if (confirmed_at_us == 0)
		return source->is_seed ||
		       now_us >= source->started_at_us + START_US + START_STEP_US * steps / 1000;
	return age_us(confirmed_at_us, now_us) >=
	       timing->takeover_us + timing->takeover_step_us * steps / 1000;
}

bool dw_view_source_reads_store(struct dw_view_source *source, uint64_t now_us)
{
	uint64_t confirmed_at_us = dw_view_source_confirmed_at_us(source);
	bool reads;

	/* A reader that has just started first gets a proof from the others. An instance that isn't
	 * one reads until it has a proof. */
	if (dw_view_source_is_reader(source))
		reads = confirmed_at_us > 0 || is_takeover_due(source, now_us);
	else if (source->is_reading)
		reads = confirmed_at_us < source->reading_since_us;
	else
		reads = source->behind_since_us > 0 || is_takeover_due(source, now_us);
	if (reads && !source->is_reading)
		source->reading_since_us = now_us;
	source->is_reading = reads;
	return reads;
}

/* A reader asks other instances only while the store doesn't serve it. */
static bool needs_peer(const struct dw_view_source *source, uint64_t now_us)
{
	return !dw_view_source_is_reader(source) || source->wants_memory ||
	       age_us(source->confirmed_at_us[DW_VIEW_FROM_STORE], now_us) >
		       source->timing.stale_us;
}

uint64_t dw_view_source_next(struct dw_view_source *source, uint64_t now_us)
{
	uint64_t soonest_us = UINT64_MAX;

	source->asked = 0;
	if (!needs_peer(source, now_us))
		return 0;
	for (uint32_t i = 0; i < source->place.source_count; i++) {
		uint64_t id = source->place.sources[i];
		const struct dw_view_failed_source *failed = find_failed(source, id);
		uint64_t avoid_until_us = failed ? failed->avoid_until_us : 0;

		if (avoid_until_us <= now_us) {
			source->asked = id;
			return id;
		}
		if (avoid_until_us < soonest_us) {
			soonest_us = avoid_until_us;
			source->asked = id;
		}
	}
	return source->asked;
}

uint64_t dw_view_relayed_proof_us(uint64_t requested_at_us, uint64_t held_us, uint64_t age_us,
				  uint64_t now_us)
{
	if (now_us < requested_at_us || held_us > now_us - requested_at_us)
		return 0;
	return age_us < requested_at_us + held_us ? requested_at_us + held_us - age_us : 0;
}
