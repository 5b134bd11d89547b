#include <dragonflywharf/version_shift.h>

#include <math.h>
#include <string.h>

/* Progress, in thousandths of the time limit, and share of the requests for the new version, in
 * thousandths. Sessions must not change their version in the first half, so after its first step the
 * share stays constant throughout that half, and until the load test has ended and the version is
 * proven good. */
#define FIRST_SHARE_FROM_PERMILLE 40
#define FIRST_SHARE_PERMILLE 100
#define SECOND_SHARE_PERMILLE 500
#define SECOND_SHARE_FOR_PERMILLE 40
#define WHOLE_SHARE_PERMILLE 1000

/* Proof that the new version is good: this many complete answers, and at least this part of the old
 * version's answers in the same time of work, plus this many standard deviations of chance (the times
 * of answers spread about as much as their mean). */
#define PROOF_MIN_GOOD 16
#define PROOF_RATE 0.65
#define PROOF_DEVIATIONS 1.2
/* The instances tell each other their counts from this progress on. */
#define PROOF_TOLD_PERMILLE 660
/* A version is rolled back below this part of the old version's answers in the same time of work, once
 * it has worked for this long. */
#define SLUGGISH_RATE 0.35
#define SLUGGISH_MIN_BUSY_MS 20000

/* Services with more engines than this start with a smaller share. */
#define FULL_SHARE_ENGINES 24

/* From this progress on, sessions may move to the new version. */
#define SECOND_HALF_PERMILLE 510
/* By this progress, answers that started at the old version have ended. */
#define COMPLETE_AT_PERMILLE 885
/* Least time between the proof and the completion. */
#define COMPLETE_AFTER_PROOF_PERMILLE 110

/* A version may be bad only under load. Before the share is raised, a load test therefore sends
 * long requests to one of its engines, until this many good answers came while at least this part
 * of the engine's slots was in use. */
#define LOAD_TEST_END_PERMILLE 730
#define LOAD_TEST_ANSWERS 3
#define LOADED_PERMILLE 550
/* The long requests of the traffic of this many engines are enough to load one engine. */
#define LOAD_TEST_ENGINES 12
/* The load lasts for a while after the load test. Until this progress, response times aren't
 * evaluated. */
#define LOAD_GONE_PERMILLE 800

/* The new version is rolled back if it has at least this many bad answers, and their share of its
 * answers exceeds twice the old version's share by at least this much, in thousandths. */
#define ROLLBACK_MIN_BAD 4
#define ROLLBACK_BAD_EXCESS_PERMILLE 120

/* It is also rolled back if it has at least this many slow answers, and their share of its timed
 * answers exceeds twice the old version's share by at least this much, in thousandths. */
#define ROLLBACK_MIN_SLOW 6
#define ROLLBACK_SLOW_EXCESS_PERMILLE 250
/* Or if their share exceeds the old version's by at least this much, and by more than chance explains:
 * by this many standard deviations of a share of as many answers. */
#define ROLLBACK_SLOW_SURPLUS 0.15
#define ROLLBACK_SLOW_DEVIATIONS 3.0
/* A share of the old version below this is taken for it, as it may be lower by chance. */
#define OLD_SLOW_SHARE_MIN 0.02
/* An answer is slow if it takes longer than this many times the expected time plus this slack. */
#define SLOW_FACTOR 4
#define SLOW_SLACK_US UINT64_C(150000)
#define US_PER_MS UINT64_C(1000)

static const char *const state_names[DW_SHIFT_STATE_COUNT] = {
	[DW_SHIFT_NONE] = "none",
	[DW_SHIFT_RUNNING] = "running",
	[DW_SHIFT_COMPLETED] = "completed",
	[DW_SHIFT_ROLLED_BACK] = "rolled_back",
};

const char *dw_shift_state_name(enum dw_shift_state state)
{
	return state < DW_SHIFT_STATE_COUNT ? state_names[state] : "unknown";
}

void dw_shift_set_order(struct dw_shift *shift, const struct dw_shift_order *order, uint64_t now_us)
{
	if (shift->state != DW_SHIFT_NONE && order->revision <= shift->order.revision)
		return;
	memset(shift, 0, sizeof(*shift));
	shift->order = *order;
	shift->state = DW_SHIFT_RUNNING;
	shift->started_at_us = now_us;
	shift->ordered_at_us = now_us;
}

void dw_shift_catch_up(struct dw_shift *shift, uint32_t permille, uint64_t now_us)
{
	uint64_t passed_us = shift->order.duration_us * permille / 1000;
	uint64_t begun_at_us = now_us > passed_us ? now_us - passed_us : 0;

	if (begun_at_us < shift->started_at_us)
		shift->started_at_us = begun_at_us;
}

void dw_shift_set_outcome(struct dw_shift *shift, enum dw_shift_state state, const char *target,
			  uint64_t revision)
{
	if (shift->state == DW_SHIFT_NONE || revision <= shift->order.revision ||
	    revision <= shift->status_revision)
		return;
	shift->status_revision = revision;
	if (strcmp(target, shift->order.target_version) == 0 && state != DW_SHIFT_RUNNING)
		shift->state = state;
}

uint32_t dw_shift_progress(const struct dw_shift *shift, uint64_t now_us)
{
	uint64_t passed_us = now_us > shift->started_at_us ? now_us - shift->started_at_us : 0;

	if (shift->order.duration_us == 0 || passed_us >= shift->order.duration_us)
		return 1000;
	return (uint32_t)(passed_us * 1000 / shift->order.duration_us);
}

static bool is_load_test_running(const struct dw_shift *shift, uint64_t now_us)
{
	uint32_t progress = dw_shift_progress(shift, now_us);

	return shift->state == DW_SHIFT_RUNNING && progress >= SECOND_HALF_PERMILLE &&
	       progress < LOAD_TEST_END_PERMILLE && shift->loaded_answers < LOAD_TEST_ANSWERS;
}

/* True while engines of the new version may be under load because of the load test. */
static bool may_be_loaded(const struct dw_shift *shift, uint64_t now_us)
{
	uint32_t progress = dw_shift_progress(shift, now_us);

	return progress >= SECOND_HALF_PERMILLE && progress < LOAD_GONE_PERMILLE;
}

/* Progress at which the new version was proven good. */
static uint32_t promoted_permille(const struct dw_shift *shift)
{
	return dw_shift_progress(shift, shift->promoted_at_us);
}

static uint64_t since_start_us(const struct dw_shift *shift, uint64_t at_us)
{
	return at_us > shift->ordered_at_us ? at_us - shift->ordered_at_us : 0;
}

uint32_t dw_shift_share(const struct dw_shift *shift, uint64_t now_us)
{
	uint32_t progress = dw_shift_progress(shift, now_us);

	switch (shift->state) {
	case DW_SHIFT_COMPLETED:
		return 1000;
	case DW_SHIFT_ROLLED_BACK:
	case DW_SHIFT_NONE:
	case DW_SHIFT_STATE_COUNT:
		return 0;
	case DW_SHIFT_RUNNING:
		break;
	}
	if (shift->promoted_at_us > 0)
		return progress < promoted_permille(shift) + SECOND_SHARE_FOR_PERMILLE
			       ? SECOND_SHARE_PERMILLE
			       : WHOLE_SHARE_PERMILLE;
	return progress >= FIRST_SHARE_FROM_PERMILLE ? FIRST_SHARE_PERMILLE : 0;
}

void dw_shift_request_sent(struct dw_shift *shift, enum dw_shift_side side, uint64_t now_us)
{
	shift->open[side].count++;
	shift->open[side].sent_at_sum_us += since_start_us(shift, now_us);
}

void dw_shift_request_ended(struct dw_shift *shift, enum dw_shift_side side, uint64_t sent_at_us,
			    bool good, uint64_t now_us)
{
	struct dw_shift_open *open = &shift->open[side];
	struct dw_shift_counts *count = &shift->own.counts[side];

	if (open->count == 0)
		return;
	open->count--;
	open->sent_at_sum_us -= since_start_us(shift, sent_at_us);
	count->good += good;
	count->busy_ms += now_us > sent_at_us ? (now_us - sent_at_us) / US_PER_MS : 0;
}

struct dw_shift_counts dw_shift_own_counts(const struct dw_shift *shift, enum dw_shift_side side,
					   uint64_t now_us)
{
	const struct dw_shift_open *open = &shift->open[side];
	struct dw_shift_counts count = shift->own.counts[side];
	uint64_t until_now_us = open->count * since_start_us(shift, now_us);

	if (until_now_us > open->sent_at_sum_us)
		count.busy_ms += (until_now_us - open->sent_at_sum_us) / US_PER_MS;
	return count;
}

void dw_shift_count_answer(struct dw_shift *shift, enum dw_shift_side side,
			   const struct dw_shift_answer *answer, uint64_t now_us)
{
	struct dw_shift_counts *count = &shift->own.counts[side];

	count->answers++;
	count->bad += answer->failed;
	if (side == DW_SHIFT_NEW && !answer->failed && answer->load_permille >= LOADED_PERMILLE)
		shift->loaded_answers++;
	if (answer->first_byte_us > 0) {
		struct dw_shift_wait wait = { .waited_us = answer->first_byte_us,
					      .expected_us = answer->expected_first_byte_us,
					      .has_started = true };

		dw_shift_count_wait(shift, side, &wait, now_us);
	}
}

void dw_shift_count_wait(struct dw_shift *shift, enum dw_shift_side side,
			 const struct dw_shift_wait *wait, uint64_t now_us)
{
	struct dw_shift_counts *count = &shift->own.counts[side];
	bool is_slow = wait->waited_us > SLOW_FACTOR * wait->expected_us + SLOW_SLACK_US;

	if (wait->expected_us == 0 || may_be_loaded(shift, now_us) ||
	    (!wait->has_started && !is_slow))
		return;
	count->timed++;
	count->slow += is_slow;
}

/* True if the share of @p some in @p all exceeds twice the share of @p old_some in @p old_all by at
 * least @p excess_permille. */
static bool is_excess(uint32_t some, uint32_t all, uint32_t old_some, uint32_t old_all,
		      uint32_t excess_permille)
{
	uint64_t old_permille = old_all > 0 ? (uint64_t)old_some * 1000 / old_all : 0;

	return all > 0 && (uint64_t)some * 1000 / all >= 2 * old_permille + excess_permille;
}

/* Whether more of the new version's answers are slow than chance explains, if it is as fast as the old
 * version. */
static bool is_unlikely_slow(const struct dw_shift_counts *new, const struct dw_shift_counts *old)
{
	double share;
	double surplus;

	if (new->timed == 0 || old->timed == 0)
		return false;
	share = (double)old->slow / old->timed;
	if (share < OLD_SLOW_SHARE_MIN)
		share = OLD_SLOW_SHARE_MIN;
	surplus = (double)new->slow / new->timed - share;
	return surplus >= ROLLBACK_SLOW_SURPLUS &&
	       surplus * surplus >= ROLLBACK_SLOW_DEVIATIONS * ROLLBACK_SLOW_DEVIATIONS * share *
					    (1 - share) / new->timed;
}

static bool is_slow(const struct dw_shift_counts *new, const struct dw_shift_counts *old)
{
	if (new->slow < ROLLBACK_MIN_SLOW)
		return false;
	return is_unlikely_slow(new, old) || is_excess(new->slow, new->timed, old->slow, old->timed,
						       ROLLBACK_SLOW_EXCESS_PERMILLE);
}

static bool is_failing(const struct dw_shift_counts *new, const struct dw_shift_counts *old)
{
	return new->bad >= ROLLBACK_MIN_BAD &&is_excess(new->bad, new->answers, old->bad,
							old->answers, ROLLBACK_BAD_EXCESS_PERMILLE);
}

struct dw_shift_counts dw_shift_pooled_counts(const struct dw_shift *shift, enum dw_shift_side side,
					      uint64_t now_us)
{
	struct dw_shift_counts own = dw_shift_own_counts(shift, side, now_us);
	const struct dw_shift_counts *others = &shift->peers.counts[side];

	return (struct dw_shift_counts){
		.answers = own.answers + others->answers,
		.bad = own.bad + others->bad,
		.timed = own.timed + others->timed,
		.slow = own.slow + others->slow,
		.good = own.good + others->good,
		.busy_ms = own.busy_ms + others->busy_ms,
	};
}

/* Whether the new version completes at least this part of the requests that the old one completes in
 * the same time of work. Requests under way are work without an answer so far. */
static bool has_rate(const struct dw_shift_counts *new, const struct dw_shift_counts *old,
		     double part)
{
	double new_rate = (double)new->good *(double)old->busy_ms;
	double old_rate = (double)old->good * (double)new->busy_ms;

	return new_rate >= old_rate * part;
}

static bool is_sluggish(const struct dw_shift_counts *new, const struct dw_shift_counts *old)
{
	return new->busy_ms >= SLUGGISH_MIN_BUSY_MS && !has_rate(new, old, SLUGGISH_RATE);
}

static bool is_bad(const struct dw_shift *shift, uint64_t now_us)
{
	struct dw_shift_counts new = dw_shift_pooled_counts(shift, DW_SHIFT_NEW, now_us);
	struct dw_shift_counts old = dw_shift_pooled_counts(shift, DW_SHIFT_OLD, now_us);

	return is_failing(&new, &old) || is_slow(&new, &old) || is_sluggish(&new, &old);
}

static bool is_proven_good(const struct dw_shift *shift, uint64_t now_us)
{
	struct dw_shift_counts new = dw_shift_pooled_counts(shift, DW_SHIFT_NEW, now_us);
	struct dw_shift_counts old = dw_shift_pooled_counts(shift, DW_SHIFT_OLD, now_us);

	if (new.good < PROOF_MIN_GOOD || is_bad(shift, now_us))
		return false;
	return has_rate(&new, &old, PROOF_RATE + PROOF_DEVIATIONS / sqrt(new.good));
}

void dw_shift_promote_if_proven(struct dw_shift *shift, uint64_t now_us)
{
	if (shift->state == DW_SHIFT_RUNNING && shift->promoted_at_us == 0 &&
	    dw_shift_progress(shift, now_us) >= LOAD_TEST_END_PERMILLE &&
	    is_proven_good(shift, now_us))
		shift->promoted_at_us = now_us;
}

bool dw_shift_is_proof_due(const struct dw_shift *shift, uint64_t now_us)
{
	return shift->state == DW_SHIFT_RUNNING &&
	       dw_shift_progress(shift, now_us) >= PROOF_TOLD_PERMILLE;
}

bool dw_shift_is_suspect(const struct dw_shift *shift)
{
	const struct dw_shift_counts *new = &shift->own.counts[DW_SHIFT_NEW];

	return new->bad > 0 || new->slow > 0;
}

enum dw_shift_state dw_shift_next_state(const struct dw_shift *shift, uint64_t now_us)
{
	uint32_t progress = dw_shift_progress(shift, now_us);

	if (shift->state != DW_SHIFT_RUNNING)
		return shift->state;
	if (is_bad(shift, now_us))
		return DW_SHIFT_ROLLED_BACK;
	if (progress < COMPLETE_AT_PERMILLE)
		return DW_SHIFT_RUNNING;
	if (shift->promoted_at_us == 0)
		return DW_SHIFT_ROLLED_BACK;
	return progress >= promoted_permille(shift) + COMPLETE_AFTER_PROOF_PERMILLE
		       ? DW_SHIFT_COMPLETED
		       : DW_SHIFT_RUNNING;
}

static struct dw_shift_constraint require_target(const struct dw_shift *shift,
						 uint32_t engines_permille)
{
	return (struct dw_shift_constraint){ .required_version = shift->order.target_version,
					     .engines_permille = engines_permille };
}

static struct dw_shift_constraint exclude_target(const struct dw_shift *shift)
{
	return (struct dw_shift_constraint){ .excluded_version = shift->order.target_version };
}

bool dw_shift_pin_is_news(const struct dw_shift *shift, uint64_t session_hash, const char *version,
			  uint64_t now_us)
{
	uint32_t progress = dw_shift_progress(shift, now_us);

	if (shift->state != DW_SHIFT_RUNNING)
		return false;
	/* The share depends on the number of engines, which instances may know differently. */
	if (strcmp(version, shift->order.target_version) == 0)
		return progress < LOAD_GONE_PERMILLE;
	return progress < SECOND_HALF_PERMILLE && session_hash % 1000 < FIRST_SHARE_PERMILLE;
}

/* True if the request takes part in the load test. With up to LOAD_TEST_ENGINES engines all long
 * requests do; with more, only as many as that number of engines would get, as all of them would
 * overload the tested engine. */
static bool joins_load_test(const struct dw_shift_request *request)
{
	uint64_t engines = request->target_engines > 0 ? request->target_engines : 1;

	return request->is_long && (request->hash >> 32) % engines < LOAD_TEST_ENGINES;
}

/*
 * The scheduled share, reduced for large services. There a smaller share is as many requests, so it
 * gives as much evidence. It also means fewer sessions on the new version that could change to
 * another instance, which doesn't know their version.
 */
static uint32_t share_for_engines(const struct dw_shift *shift, uint32_t engines, uint64_t now_us)
{
	uint32_t share = dw_shift_share(shift, now_us);

	if (engines <= FULL_SHARE_ENGINES || shift->promoted_at_us > 0)
		return share;
	return share * FULL_SHARE_ENGINES / engines;
}

static struct dw_shift_constraint constrain_while_running(const struct dw_shift *shift,
							  const struct dw_shift_request *request,
							  uint64_t now_us)
{
	const char *pinned = request->pinned_version;
	uint32_t share = share_for_engines(shift, request->target_engines, now_us);
	struct dw_shift_constraint constraint;

	if (is_load_test_running(shift, now_us) && joins_load_test(request)) {
		/* The smallest share, which gives a single engine. */
		constraint = require_target(shift, 1);
		constraint.is_load_test = true;
		return constraint;
	}
	if (pinned && strcmp(pinned, shift->order.target_version) == 0)
		return require_target(shift, share);
	if (pinned && dw_shift_progress(shift, now_us) < SECOND_HALF_PERMILLE)
		return exclude_target(shift);
	return request->hash % 1000 < share ? require_target(shift, share) : exclude_target(shift);
}

struct dw_shift_constraint dw_shift_constrain(const struct dw_shift *shift,
					      const struct dw_shift_request *request,
					      uint64_t now_us)
{
	switch (shift->state) {
	case DW_SHIFT_COMPLETED:
		return require_target(shift, 0);
	case DW_SHIFT_ROLLED_BACK:
		return exclude_target(shift);
	case DW_SHIFT_RUNNING:
		return constrain_while_running(shift, request, now_us);
	case DW_SHIFT_NONE:
	case DW_SHIFT_STATE_COUNT:
		break;
	}
	return (struct dw_shift_constraint){ 0 };
}
