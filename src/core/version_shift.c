#include <dragonflywharf/version_shift.h>

#include <string.h>

/* The plan: from this part of the time on (in thousandths), this share goes to the new version.
 * Sessions must not change their version in the first half, so the share is constant there. */
static const struct {
	uint32_t from_permille;
	uint32_t share_permille;
} plan[] = {
	{ 0, 0 }, { 40, 100 }, { 510, 250 }, { 570, 500 }, { 630, 1000 },
};

#define SECOND_HALF_PERMILLE 510
/* Answers that began at the old version have ended by then. */
#define COMPLETE_AT_PERMILLE 870

/* A verdict needs this many bad answers of the new version, */
#define VERDICT_BAD_LEAST 4
/* a part of its answers that is this much above twice the old version's part, in thousandths. */
#define VERDICT_EXCESS_PERMILLE 120

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

void dw_shift_take_order(struct dw_shift *shift, const struct dw_shift_order *order,
			 uint64_t now_us)
{
	if (shift->state != DW_SHIFT_NONE && order->revision <= shift->order.revision)
		return;
	memset(shift, 0, sizeof(*shift));
	shift->order = *order;
	shift->state = DW_SHIFT_RUNNING;
	shift->begun_at_us = now_us;
}

void dw_shift_take_progress(struct dw_shift *shift, uint32_t permille, uint64_t now_us)
{
	uint64_t passed_us = shift->order.duration_us * permille / 1000;
	uint64_t begun_at_us = now_us > passed_us ? now_us - passed_us : 0;

	if (begun_at_us < shift->begun_at_us)
		shift->begun_at_us = begun_at_us;
}

void dw_shift_take_status(struct dw_shift *shift, enum dw_shift_state state, const char *target,
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
	uint64_t passed_us = now_us > shift->begun_at_us ? now_us - shift->begun_at_us : 0;

	if (shift->order.duration_us == 0 || passed_us >= shift->order.duration_us)
		return 1000;
	return (uint32_t)(passed_us * 1000 / shift->order.duration_us);
}

uint32_t dw_shift_share(const struct dw_shift *shift, uint64_t now_us)
{
	uint32_t progress = dw_shift_progress(shift, now_us);
	uint32_t share = 0;

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
	for (size_t i = 0; i < sizeof(plan) / sizeof(plan[0]); i++) {
		if (progress >= plan[i].from_permille)
			share = plan[i].share_permille;
	}
	return share;
}

void dw_shift_count_answer(struct dw_shift *shift, enum dw_shift_side side, bool bad)
{
	shift->own.counts[side].answers++;
	shift->own.counts[side].bad += bad;
}

static bool is_bad(const struct dw_shift *shift)
{
	const struct dw_shift_evidence *own = &shift->own;
	const struct dw_shift_evidence *others = &shift->others;
	uint64_t bad = own->counts[DW_SHIFT_NEW].bad + others->counts[DW_SHIFT_NEW].bad;
	uint64_t answers = own->counts[DW_SHIFT_NEW].answers + others->counts[DW_SHIFT_NEW].answers;
	uint64_t old_bad = own->counts[DW_SHIFT_OLD].bad + others->counts[DW_SHIFT_OLD].bad;
	uint64_t old_answers =
		own->counts[DW_SHIFT_OLD].answers + others->counts[DW_SHIFT_OLD].answers;
	uint64_t old_permille = old_answers > 0 ? old_bad * 1000 / old_answers : 0;

	return bad >= VERDICT_BAD_LEAST && answers > 0 &&
	       bad * 1000 / answers >= 2 * old_permille + VERDICT_EXCESS_PERMILLE;
}

enum dw_shift_state dw_shift_judge(const struct dw_shift *shift, uint64_t now_us)
{
	if (shift->state != DW_SHIFT_RUNNING)
		return shift->state;
	if (is_bad(shift))
		return DW_SHIFT_ROLLED_BACK;
	if (dw_shift_progress(shift, now_us) >= COMPLETE_AT_PERMILLE)
		return DW_SHIFT_COMPLETED;
	return DW_SHIFT_RUNNING;
}

static struct dw_shift_demand demand_new(const struct dw_shift *shift)
{
	return (struct dw_shift_demand){ .required_version = shift->order.target_version };
}

static struct dw_shift_demand demand_old(const struct dw_shift *shift)
{
	return (struct dw_shift_demand){ .avoided_version = shift->order.target_version };
}

struct dw_shift_demand dw_shift_demand(const struct dw_shift *shift, const char *pinned,
				       uint64_t hash, uint64_t now_us)
{
	bool is_pinned_new = pinned && strcmp(pinned, shift->order.target_version) == 0;
	bool is_first_half = dw_shift_progress(shift, now_us) < SECOND_HALF_PERMILLE;

	switch (shift->state) {
	case DW_SHIFT_COMPLETED:
		return demand_new(shift);
	case DW_SHIFT_ROLLED_BACK:
		return demand_old(shift);
	case DW_SHIFT_RUNNING:
		break;
	case DW_SHIFT_NONE:
	case DW_SHIFT_STATE_COUNT:
		return (struct dw_shift_demand){ 0 };
	}
	if (is_pinned_new)
		return demand_new(shift);
	if (pinned && is_first_half)
		return demand_old(shift);
	if (hash % 1000 < dw_shift_share(shift, now_us))
		return demand_new(shift);
	return demand_old(shift);
}
