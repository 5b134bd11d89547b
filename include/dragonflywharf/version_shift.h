/**
 * @file version_shift.h
 * Moves a service from its version in force to a new one, and back if the new one proves bad.
 *
 * Each instance follows the same plan from the same order: a small share first, more in the second
 * half, all of it well before the time limit. What the instances see of both versions is pooled;
 * whichever sees the pooled evidence turn stops at once. Nobody leads: the order's outcome is a
 * record that is written under a condition by whoever is first.
 */
#ifndef DRAGONFLYWHARF_VERSION_SHIFT_H
#define DRAGONFLYWHARF_VERSION_SHIFT_H

#include <dragonflywharf/engine.h>

#ifdef __cplusplus
extern "C" {
#endif

struct dw_shift_order {
	char service[DW_ENGINE_TEXT_BYTES];
	char target_version[DW_ENGINE_TEXT_BYTES];
	uint64_t duration_us; /**< within which it is to be completed */
	uint64_t revision; /**< of the order; a newer order replaces an older one */
};

enum dw_shift_state {
	DW_SHIFT_NONE,
	DW_SHIFT_RUNNING,
	DW_SHIFT_COMPLETED,
	DW_SHIFT_ROLLED_BACK,
	DW_SHIFT_STATE_COUNT
};

const char *dw_shift_state_name(enum dw_shift_state state);

enum dw_shift_side { DW_SHIFT_OLD, DW_SHIFT_NEW, DW_SHIFT_SIDE_COUNT };

/** Answers of a version: how many, and how many failed or were far too slow. */
struct dw_shift_count {
	uint32_t answers;
	uint32_t bad;
};

struct dw_shift_evidence {
	struct dw_shift_count counts[DW_SHIFT_SIDE_COUNT];
};

struct dw_shift {
	struct dw_shift_order order;
	enum dw_shift_state state;
	uint64_t begun_at_us; /**< by this instance's clock */
	uint64_t status_revision; /**< of the outcome's record; 0: there is none */
	struct dw_shift_evidence own;
	struct dw_shift_evidence others; /**< the sum of the other instances' latest */
};

/** Takes an order; an older one than the one known is ignored. */
void dw_shift_take_order(struct dw_shift *shift, const struct dw_shift_order *order,
			 uint64_t now_us);

/** Another instance's progress, in thousandths of the time: this one falls in with it. */
void dw_shift_take_progress(struct dw_shift *shift, uint32_t permille, uint64_t now_us);

/** The recorded outcome, if it belongs to this order. */
void dw_shift_take_status(struct dw_shift *shift, enum dw_shift_state state, const char *target,
			  uint64_t revision);

/** Thousandths of the order's time that have passed, at most 1000. */
uint32_t dw_shift_progress(const struct dw_shift *shift, uint64_t now_us);

/** Share of the requests that go to the new version now, in thousandths. */
uint32_t dw_shift_share(const struct dw_shift *shift, uint64_t now_us);

/** An answer of one version came, or failed to. */
void dw_shift_count_answer(struct dw_shift *shift, enum dw_shift_side side, bool bad);

/**
 * The state that the evidence and the time call for: ROLLED_BACK if the new version is bad,
 * COMPLETED when it has had all requests for long enough, else RUNNING.
 */
enum dw_shift_state dw_shift_judge(const struct dw_shift *shift, uint64_t now_us);

/** Which version a request may go to. Either may be NULL: no demand. */
struct dw_shift_demand {
	const char *required_version;
	const char *avoided_version;
};

/**
 * @param pinned the version that the request's session used last, NULL if none or too long ago
 * @param hash of the session, or of the request where it has none
 */
struct dw_shift_demand dw_shift_demand(const struct dw_shift *shift, const char *pinned,
				       uint64_t hash, uint64_t now_us);

#ifdef __cplusplus
}
#endif

#endif
