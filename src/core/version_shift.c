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
/* The same for the requests compared by route, whose times spread less. New engines have nothing cached at
 * first: in the model, 0.65 rolled back 11 of 40 good versions that are 1.3 times slower, this 4. */
#define ROUTE_PROOF_RATE 0.58
#define ROUTE_PROOF_DEVIATIONS 1.0
/* The instances tell each other their counts from this progress on. */
#define PROOF_TOLD_PERMILLE 630
/* From this progress on, they also tell what the proof still lacks. */
#define PROOF_UPDATED_PERMILLE 660
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
#define PROMOTE_FROM_PERMILLE 730
#define LOAD_TEST_END_PERMILLE 790
#define LOAD_TEST_ANSWERS 3
#define LOADED_PERMILLE 550
/* The long requests of the traffic of this many engines are enough to load one engine. */
#define LOAD_TEST_ENGINES 12
/* Long requests end late, those that were sent to a loaded engine mostly after the load test. From
 * this progress on, short requests of the traffic of this many engines test it too. */
#define PROBES_FROM_PERMILLE 620
#define PROBE_ENGINES 4
/* Each instance's bound on the part of its requests within the time limit that it sends to an
 * unproven version, the load test and the rest of the first share included. The rules allow 0.12 and
 * 0.15, and 30 requests, for all instances. */
#define TEST_BUDGET_PERMILLE 140
#define TEST_BUDGET_SLACK 2
#define LARGE_TEST_BUDGET_PERMILLE 110
/* In less time than this the probes are sent faster, by as much. */
#define PROBE_FULL_TIME_US UINT64_C(24000000)
/* No more requests are sent to load the tested engine from this load on. */
#define TEST_LOAD_MAX_PERMILLE 850
/* A report of the tested engine's load is used for this long. */
#define TEST_LOAD_LIFETIME_US UINT64_C(2000000)
/* The load lasts for a while after the load test. Until this progress, response times aren't
 * evaluated. */
#define LOAD_GONE_PERMILLE 800

/* Proof under load: this many good answers at the highest level, which is LOADED_PERMILLE. Where the
 * traffic can't load an engine as much, the measure is the load of the old version's engines: the
 * busiest have twice their mean load, and few answers at the mean load are accepted last. */
#define LOADED_MIN_GOOD 10
#define BUSIEST_LOAD_FROM_PERMILLE 770
#define BUSIEST_LOAD_FACTOR 2
#define MEAN_LOAD_FROM_PERMILLE LOAD_TEST_END_PERMILLE
#define MEAN_LOADED_MIN_GOOD 4
#define TOP_LEVEL (DW_SHIFT_LOAD_LEVELS - 1)
/* Failures are judged apart from this level on: versions that are bad under load fail from about half
 * of the slots on. */
#define FAILING_LOAD_LEVEL (DW_SHIFT_LOAD_LEVELS - 2)

/* The new version is rolled back if it has at least this many bad answers, and their share of its
 * answers exceeds twice the old version's share by at least this much, in thousandths. */
#define ROLLBACK_MIN_BAD 4
#define ROLLBACK_BAD_EXCESS_PERMILLE 120

/* Instances without a bad answer tell their counts at PROOF_TOLD_PERMILLE only. Before they have come,
 * and after the share was raised, the known answers are mostly those of instances that saw failures:
 * with 1% of failures at both versions, 6 of 20 good versions were rolled back in the model. */
#define ALL_TOLD_PERMILLE 660
/* A share of failures of the old version below this is taken for it, as it may be lower by chance. */
#define OLD_BAD_SHARE_MIN 0.02

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

static const uint32_t load_levels[DW_SHIFT_LOAD_LEVELS] = {
	20, 40, 80, 160, 320, 450, LOADED_PERMILLE
};

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
	if (shift->state != DW_SHIFT_NONE && order->revision == shift->order.revision)
		return;
	memset(shift, 0, sizeof(*shift));
	shift->order = *order;
	shift->first_revision = order->revision;
	shift->state = DW_SHIFT_RUNNING;
	shift->started_at_us = now_us;
	shift->ordered_at_us = now_us;
}

bool dw_shift_is_same_order(const struct dw_shift *shift, const struct dw_shift_order *order)
{
	return shift->state != DW_SHIFT_NONE && order->duration_us == shift->order.duration_us &&
	       strcmp(order->target_version, shift->order.target_version) == 0;
}

void dw_shift_renumber_order(struct dw_shift *shift, uint64_t revision)
{
	shift->order.revision = revision;
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
	if (shift->state == DW_SHIFT_NONE || revision <= shift->first_revision ||
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

	return shift->state == DW_SHIFT_RUNNING && shift->promoted_at_us == 0 &&
	       progress >= SECOND_HALF_PERMILLE && progress < LOAD_TEST_END_PERMILLE &&
	       shift->loaded_answers < LOAD_TEST_ANSWERS &&
	       shift->own.load.good[TOP_LEVEL] + shift->peers.load.good[TOP_LEVEL] <
		       LOADED_MIN_GOOD;
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
	shift->sent[side]++;
	shift->open[side].count++;
	shift->open[side].sent_at_sum_us += since_start_us(shift, now_us);
}

void dw_shift_load_test_sent(struct dw_shift *shift)
{
	shift->sent[DW_SHIFT_NEW]++;
}

void dw_shift_load_test_answered(struct dw_shift *shift, uint32_t load_permille, uint64_t now_us)
{
	shift->test_load_permille = load_permille;
	shift->test_load_at_us = now_us;
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

/* Index of the route in the evidence, which is added if there is room; else DW_SHIFT_ROUTES. */
static uint32_t find_or_add_route(struct dw_shift_evidence *evidence, uint32_t key)
{
	uint32_t at = 0;

	while (at < evidence->route_count && evidence->routes[at].key != key)
		at++;
	if (at == evidence->route_count && at < DW_SHIFT_ROUTES)
		evidence->routes[evidence->route_count++] = (struct dw_shift_route){ .key = key };
	return at;
}

/* Requests sent during the load test aren't counted by route: their time says how loaded the tested
 * engine was. */
void dw_shift_route_sent(struct dw_shift *shift, uint32_t route, enum dw_shift_side side,
			 uint64_t now_us)
{
	uint32_t at = find_or_add_route(&shift->own, route);

	if (shift->test_began_at_us == 0 &&
	    dw_shift_progress(shift, now_us) >= SECOND_HALF_PERMILLE)
		shift->test_began_at_us = now_us;
	if (at == DW_SHIFT_ROUTES || shift->test_began_at_us > 0)
		return;
	shift->route_open[at][side].count++;
	shift->route_open[at][side].sent_at_sum_us += since_start_us(shift, now_us);
}

void dw_shift_route_ended(struct dw_shift *shift, uint32_t route, enum dw_shift_side side,
			  uint64_t sent_at_us, bool good, uint64_t now_us)
{
	uint32_t at = find_or_add_route(&shift->own, route);
	struct dw_shift_open *open;
	struct dw_shift_route_counts *count;

	if (at == DW_SHIFT_ROUTES ||
	    (shift->test_began_at_us > 0 && sent_at_us >= shift->test_began_at_us))
		return;
	open = &shift->route_open[at][side];
	count = &shift->own.routes[at].counts[side];
	if (open->count == 0)
		return;
	open->count--;
	open->sent_at_sum_us -= since_start_us(shift, sent_at_us);
	count->good += good;
	count->busy_ms += now_us > sent_at_us ? (now_us - sent_at_us) / US_PER_MS : 0;
}

void dw_shift_route_answered(struct dw_shift *shift, uint32_t route, enum dw_shift_side side,
			     bool failed)
{
	uint32_t at = find_or_add_route(&shift->own, route);

	if (at == DW_SHIFT_ROUTES)
		return;
	shift->own.routes[at].counts[side].answers++;
	shift->own.routes[at].counts[side].bad += failed;
}

static uint64_t busy_so_far_ms(const struct dw_shift *shift, const struct dw_shift_open *open,
			       uint64_t now_us)
{
	uint64_t until_now_us = open->count * since_start_us(shift, now_us);

	return until_now_us > open->sent_at_sum_us
		       ? (until_now_us - open->sent_at_sum_us) / US_PER_MS
		       : 0;
}

struct dw_shift_counts dw_shift_own_counts(const struct dw_shift *shift, enum dw_shift_side side,
					   uint64_t now_us)
{
	struct dw_shift_counts count = shift->own.counts[side];

	count.busy_ms += busy_so_far_ms(shift, &shift->open[side], now_us);
	return count;
}

void dw_shift_own_evidence(const struct dw_shift *shift, uint64_t now_us,
			   struct dw_shift_evidence *evidence)
{
	*evidence = shift->own;
	for (int side = 0; side < DW_SHIFT_SIDE_COUNT; side++) {
		evidence->counts[side] =
			dw_shift_own_counts(shift, (enum dw_shift_side)side, now_us);
		for (uint32_t i = 0; i < evidence->route_count; i++)
			evidence->routes[i].counts[side].busy_ms +=
				busy_so_far_ms(shift, &shift->route_open[i][side], now_us);
	}
}

static void add_counts(struct dw_shift_counts *sum, const struct dw_shift_counts *count)
{
	sum->answers += count->answers;
	sum->bad += count->bad;
	sum->timed += count->timed;
	sum->slow += count->slow;
	sum->good += count->good;
	sum->busy_ms += count->busy_ms;
}

static void add_load(struct dw_shift_load *sum, const struct dw_shift_load *load)
{
	sum->old_answers += load->old_answers;
	sum->old_permille_sum += load->old_permille_sum;
	for (int level = 0; level < DW_SHIFT_LOAD_LEVELS; level++) {
		sum->good[level] += load->good[level];
		sum->bad[level] += load->bad[level];
	}
}

void dw_shift_evidence_add(struct dw_shift_evidence *sum, const struct dw_shift_evidence *evidence)
{
	for (int side = 0; side < DW_SHIFT_SIDE_COUNT; side++)
		add_counts(&sum->counts[side], &evidence->counts[side]);
	add_load(&sum->load, &evidence->load);
	for (uint32_t i = 0; i < evidence->route_count && i < DW_SHIFT_ROUTES; i++) {
		uint32_t at = find_or_add_route(sum, evidence->routes[i].key);

		for (int side = 0; side < DW_SHIFT_SIDE_COUNT && at < DW_SHIFT_ROUTES; side++) {
			const struct dw_shift_route_counts *from =
				&evidence->routes[i].counts[side];
			struct dw_shift_route_counts *to = &sum->routes[at].counts[side];

			to->answers += from->answers;
			to->bad += from->bad;
			to->good += from->good;
			to->busy_ms += from->busy_ms;
		}
	}
}

uint32_t dw_shift_level_permille(uint32_t level)
{
	return load_levels[level];
}

static void count_load(struct dw_shift *shift, enum dw_shift_side side, bool failed,
		       uint32_t load_permille)
{
	struct dw_shift_load *load = &shift->own.load;

	if (load_permille == 0)
		return;
	if (side == DW_SHIFT_OLD) {
		load->old_answers++;
		load->old_permille_sum += load_permille;
		return;
	}
	shift->loaded_answers += !failed && load_permille >= LOADED_PERMILLE;
	for (uint32_t level = 0;
	     level < DW_SHIFT_LOAD_LEVELS && load_permille >= load_levels[level]; level++) {
		load->good[level] += !failed;
		load->bad[level] += failed;
	}
}

void dw_shift_count_load(struct dw_shift *shift, enum dw_shift_side side, uint32_t load_permille)
{
	count_load(shift, side, false, load_permille);
}

void dw_shift_count_answer(struct dw_shift *shift, enum dw_shift_side side,
			   const struct dw_shift_answer *answer, uint64_t now_us)
{
	struct dw_shift_counts *count = &shift->own.counts[side];

	count->answers++;
	count->bad += answer->failed;
	count_load(shift, side, answer->failed, answer->load_permille);
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
	struct dw_shift_counts sum = dw_shift_own_counts(shift, side, now_us);

	add_counts(&sum, &shift->peers.counts[side]);
	return sum;
}

static void pool_evidence(const struct dw_shift *shift, uint64_t now_us,
			  struct dw_shift_evidence *pooled)
{
	dw_shift_own_evidence(shift, now_us, pooled);
	dw_shift_evidence_add(pooled, &shift->peers);
}

static double share_of(uint32_t some, uint32_t all)
{
	return all > 0 ? (double)some / all : 0;
}

/* When the answers of one route, or those under load, show failures that the old version doesn't have:
 * at least this many, a share that exceeds twice the old version's by this much, and more than chance
 * explains, by this many standard deviations. */
struct failure_rule {
	uint32_t min_bad;
	double excess;
	double deviations;
};

static const struct failure_rule rollback_part_known = { 6, 0.12, 2.5 };
static const struct failure_rule rollback_all_known = { 3, 0.05, 2.5 };
/* Too weak for a rollback, but too strong for a proof. */
static const struct failure_rule unproven = { 2, 0.05, 0 };

static bool is_failing_apart(const struct failure_rule *rule, uint32_t bad, uint32_t answers,
			     double old_share)
{
	double usual = old_share > OLD_BAD_SHARE_MIN ? old_share : OLD_BAD_SHARE_MIN;
	double expected = usual * answers;

	return bad >= rule->min_bad && share_of(bad, answers) >= 2 * old_share + rule->excess &&
	       bad >= expected + rule->deviations * sqrt(expected * (1 - usual));
}

/* Applies the rule to the answers of each route, and to those under load. */
static bool is_any_failing(const struct dw_shift_evidence *pooled, const struct failure_rule *rule)
{
	const struct dw_shift_counts *old = &pooled->counts[DW_SHIFT_OLD];
	double old_share = share_of(old->bad, old->answers);

	for (uint32_t i = 0; i < pooled->route_count; i++) {
		const struct dw_shift_route_counts *counts = pooled->routes[i].counts;
		double route_share =
			share_of(counts[DW_SHIFT_OLD].bad, counts[DW_SHIFT_OLD].answers);

		if (is_failing_apart(rule, counts[DW_SHIFT_NEW].bad, counts[DW_SHIFT_NEW].answers,
				     route_share > old_share ? route_share : old_share))
			return true;
	}
	for (int level = FAILING_LOAD_LEVEL; level < DW_SHIFT_LOAD_LEVELS; level++) {
		uint32_t bad = pooled->load.bad[level];

		if (is_failing_apart(rule, bad, bad + pooled->load.good[level], old_share))
			return true;
	}
	return false;
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

/*
 * The same for the requests that were sent before the load test, which slows the others at the new
 * version's few engines. The times of different routes differ by far more than those of one, so each
 * request counts as the time that the old version takes for its route.
 */
static bool has_route_rate(const struct dw_shift_evidence *pooled, double part, uint32_t *good)
{
	double old_ms = 0;
	double new_ms = 0;

	*good = 0;
	for (uint32_t i = 0; i < pooled->route_count; i++) {
		const struct dw_shift_route_counts *old = &pooled->routes[i].counts[DW_SHIFT_OLD];
		const struct dw_shift_route_counts *new = &pooled->routes[i].counts[DW_SHIFT_NEW];

		if (old->good == 0)
			continue;
		*good += new->good;
		old_ms += (double)old->busy_ms / old->good * new->good;
		new_ms += (double)new->busy_ms;
	}
	return new_ms > 0 && old_ms >= new_ms * part;
}

static bool is_sluggish(const struct dw_shift_evidence *pooled)
{
	const struct dw_shift_counts *new = &pooled->counts[DW_SHIFT_NEW];
	uint32_t good;

	return new->busy_ms >= SLUGGISH_MIN_BUSY_MS &&
	       !has_rate(new, &pooled->counts[DW_SHIFT_OLD], SLUGGISH_RATE) &&
	       !has_route_rate(pooled, SLUGGISH_RATE, &good);
}

/* Failures of one route or under load. The instances' answers are all known from ALL_TOLD_PERMILLE until the
 * share is raised. */
static bool is_failing_in_part(const struct dw_shift *shift, const struct dw_shift_evidence *pooled,
			       uint32_t progress)
{
	bool is_all_known = progress >= ALL_TOLD_PERMILLE && shift->promoted_at_us == 0;

	return is_any_failing(pooled, is_all_known ? &rollback_all_known : &rollback_part_known);
}

static bool is_bad(const struct dw_shift *shift, const struct dw_shift_evidence *pooled,
		   uint32_t progress)
{
	const struct dw_shift_counts *new = &pooled->counts[DW_SHIFT_NEW];
	const struct dw_shift_counts *old = &pooled->counts[DW_SHIFT_OLD];

	return is_failing(new, old) || is_failing_in_part(shift, pooled, progress) ||
	       is_slow(new, old) || is_sluggish(pooled);
}

static bool is_fast(const struct dw_shift_evidence *pooled)
{
	const struct dw_shift_counts *new = &pooled->counts[DW_SHIFT_NEW];
	uint32_t good = 0;

	has_route_rate(pooled, 0, &good);
	if (good >= PROOF_MIN_GOOD &&
	    has_route_rate(pooled, ROUTE_PROOF_RATE + ROUTE_PROOF_DEVIATIONS / sqrt(good), &good))
		return true;
	return new->good >=
	       PROOF_MIN_GOOD &&has_rate(new, &pooled->counts[DW_SHIFT_OLD],
					 PROOF_RATE + PROOF_DEVIATIONS / sqrt(new->good));
}

static uint32_t level_of(uint64_t permille)
{
	uint32_t level = 0;

	while (level < TOP_LEVEL && dw_shift_level_permille(level) < permille)
		level++;
	return level;
}

/* Load that is required of the tested engine now, and the number of good answers there. */
struct load_proof {
	uint32_t level;
	uint32_t good;
};

static struct load_proof required_load(const struct dw_shift_load *load, uint32_t progress)
{
	uint64_t mean = load->old_answers > 0 ? load->old_permille_sum / load->old_answers : 0;

	if (progress >= MEAN_LOAD_FROM_PERMILLE)
		return (struct load_proof){ level_of(mean), MEAN_LOADED_MIN_GOOD };
	if (progress >= BUSIEST_LOAD_FROM_PERMILLE)
		return (struct load_proof){ level_of(mean * BUSIEST_LOAD_FACTOR), LOADED_MIN_GOOD };
	return (struct load_proof){ TOP_LEVEL, LOADED_MIN_GOOD };
}

/* Where no engine of the old version reports its load there is nothing to compare with. */
static bool is_proven_under_load(const struct dw_shift_load *load, uint32_t progress)
{
	struct load_proof required = required_load(load, progress);

	return load->old_answers == 0 || load->good[required.level] >= required.good;
}

void dw_shift_promote_if_proven(struct dw_shift *shift, uint64_t now_us)
{
	uint32_t progress = dw_shift_progress(shift, now_us);
	struct dw_shift_evidence pooled;

	if (shift->state != DW_SHIFT_RUNNING || shift->promoted_at_us > 0 ||
	    progress < PROMOTE_FROM_PERMILLE)
		return;
	pool_evidence(shift, now_us, &pooled);
	if (!is_bad(shift, &pooled, progress) && !is_any_failing(&pooled, &unproven) &&
	    is_fast(&pooled) && is_proven_under_load(&pooled.load, progress))
		shift->promoted_at_us = now_us;
}

uint32_t dw_shift_proof_answers(const struct dw_shift *shift, uint64_t now_us)
{
	uint32_t progress = dw_shift_progress(shift, now_us);
	struct dw_shift_evidence pooled;

	if (shift->state != DW_SHIFT_RUNNING || shift->promoted_at_us > 0 ||
	    progress < PROOF_UPDATED_PERMILLE)
		return 0;
	pool_evidence(shift, now_us, &pooled);
	if (!is_proven_under_load(&pooled.load, progress))
		return shift->own.load.good[required_load(&pooled.load, progress).level];
	return is_fast(&pooled) ? 0 : shift->own.counts[DW_SHIFT_NEW].good;
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

bool dw_shift_is_shown_bad(const struct dw_shift *shift, uint64_t now_us)
{
	struct dw_shift_evidence pooled;

	pool_evidence(shift, now_us, &pooled);
	return is_bad(shift, &pooled, dw_shift_progress(shift, now_us));
}

enum dw_shift_state dw_shift_next_state(const struct dw_shift *shift, uint64_t now_us)
{
	uint32_t progress = dw_shift_progress(shift, now_us);
	struct dw_shift_evidence pooled;

	if (shift->state != DW_SHIFT_RUNNING)
		return shift->state;
	pool_evidence(shift, now_us, &pooled);
	if (is_bad(shift, &pooled, progress))
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

/*
 * Share of the target's engines that the requests of the share use. Rounded up for large services: at
 * two of 60 engines, a share of 40 in 1000 is a fifth more than the others' load, and a good version
 * there looks slow where the old one has little to spare.
 */
static uint32_t engines_for_share(uint32_t share, uint32_t engines)
{
	uint32_t count;

	if (engines <= FULL_SHARE_ENGINES || share >= 1000)
		return share;
	count = (engines * share + 999) / 1000;
	return (count * 1000 + engines - 1) / engines;
}

/* Whether the load test may use one more of this instance's requests. */
static bool is_within_budget(const struct dw_shift *shift, uint32_t engines, uint64_t now_us)
{
	uint64_t progress = dw_shift_progress(shift, now_us);
	uint64_t known_from = dw_shift_progress(shift, shift->ordered_at_us);
	uint64_t sent = (uint64_t)shift->sent[DW_SHIFT_OLD] + shift->sent[DW_SHIFT_NEW];
	uint64_t passed = progress > known_from ? progress - known_from : 1;
	uint64_t rest = COMPLETE_AT_PERMILLE > progress ? COMPLETE_AT_PERMILLE - progress : 0;
	uint64_t share = share_for_engines(shift, engines, now_us);
	uint64_t budget =
		engines <= FULL_SHARE_ENGINES ? TEST_BUDGET_PERMILLE : LARGE_TEST_BUDGET_PERMILLE;

	/* Both sides in requests, times 10^6, as if the traffic continued as it was. */
	return (uint64_t)shift->sent[DW_SHIFT_NEW] * 1000 * passed + sent * rest * share <
	       sent * (1000 - known_from) * budget + TEST_BUDGET_SLACK * 1000 * passed;
}

static bool is_test_load_known(const struct dw_shift *shift, uint64_t now_us)
{
	return shift->test_load_at_us > 0 &&
	       now_us < shift->test_load_at_us + TEST_LOAD_LIFETIME_US;
}

bool dw_shift_keeps_pins(const struct dw_shift *shift, const char *version, uint64_t now_us)
{
	return shift->state == DW_SHIFT_RUNNING && shift->promoted_at_us == 0 &&
	       dw_shift_progress(shift, now_us) >= SECOND_HALF_PERMILLE &&
	       strcmp(version, shift->order.target_version) == 0;
}

/* Number of engines whose short requests are probes. */
static uint64_t probe_lanes(const struct dw_shift *shift)
{
	uint64_t duration_us = shift->order.duration_us > 0 ? shift->order.duration_us : 1;
	uint64_t lanes = PROBE_ENGINES * PROBE_FULL_TIME_US / duration_us;

	if (lanes < PROBE_ENGINES)
		return PROBE_ENGINES;
	return lanes < LOAD_TEST_ENGINES ? lanes : LOAD_TEST_ENGINES;
}

/*
 * True if the request takes part in the load test. With up to LOAD_TEST_ENGINES engines all long
 * requests do; with more, only as many as that number of engines would get, as all of them would
 * overload the tested engine. Short ones follow as probes, and while the engine is known not to be
 * loaded also to load it, as the long requests may be too few.
 */
static bool joins_load_test(const struct dw_shift *shift, const struct dw_shift_request *request,
			    uint64_t now_us)
{
	uint32_t engines = request->target_engines > 0 ? request->target_engines : 1;
	uint64_t lane = (request->hash >> 32) % engines;
	uint64_t lanes = LOAD_TEST_ENGINES;
	bool is_known = is_test_load_known(shift, now_us);

	if (request->is_long) {
		if (is_known && shift->test_load_permille >= TEST_LOAD_MAX_PERMILLE)
			return false;
	} else {
		if (!request->may_probe || dw_shift_progress(shift, now_us) < PROBES_FROM_PERMILLE)
			return false;
		if (!is_known || shift->test_load_permille >= LOADED_PERMILLE)
			lanes = probe_lanes(shift);
	}
	return lane < lanes && is_within_budget(shift, engines, now_us);
}

static struct dw_shift_constraint constrain_while_running(const struct dw_shift *shift,
							  const struct dw_shift_request *request,
							  uint64_t now_us)
{
	const char *pinned = request->pinned_version;
	uint32_t share = share_for_engines(shift, request->target_engines, now_us);
	uint32_t engines_permille = engines_for_share(share, request->target_engines);
	struct dw_shift_constraint constraint;

	if (is_load_test_running(shift, now_us) && joins_load_test(shift, request, now_us)) {
		/* The smallest share, which gives a single engine. */
		constraint = require_target(shift, 1);
		constraint.is_load_test = true;
		return constraint;
	}
	if (pinned && strcmp(pinned, shift->order.target_version) == 0)
		return require_target(shift, engines_permille);
	/* Most sessions whose version isn't known have used the old one. */
	if ((pinned || request->may_lack_pin) &&
	    dw_shift_progress(shift, now_us) < SECOND_HALF_PERMILLE)
		return exclude_target(shift);
	return request->hash % 1000 < share ? require_target(shift, engines_permille)
					    : exclude_target(shift);
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
