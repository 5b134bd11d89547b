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

/** Answers of a version. */
struct dw_shift_counts {
	uint32_t answers;
	uint32_t bad; /**< of these, failures */
	uint32_t timed; /**< of these, those whose time to the first byte counts */
	uint32_t slow; /**< of these, far slower than expected */
};

/** What one answer tells of its version. */
struct dw_shift_answer {
	bool failed;
	uint64_t first_byte_us; /**< to the first byte; 0: there was none */
	uint64_t expected_first_byte_us;
	uint32_t load_permille; /**< of the engine's slots, as the answer told; 0: not told */
};

struct dw_shift_evidence {
	struct dw_shift_counts counts[DW_SHIFT_SIDE_COUNT];
};

struct dw_shift {
	struct dw_shift_order order;
	enum dw_shift_state state;
	uint64_t started_at_us; /**< by this instance's clock */
	uint64_t status_revision; /**< of the outcome's record; 0: there is none */
	uint32_t loaded_answers; /**< good ones of the new version, from an engine under load */
	struct dw_shift_evidence own;
	struct dw_shift_evidence peers; /**< the sum of the other instances' latest */
};

/** Takes an order; an older one than the one known is ignored. */
void dw_shift_set_order(struct dw_shift *shift, const struct dw_shift_order *order,
			uint64_t now_us);

/** Another instance's progress, in thousandths of the time: this one falls in with it. */
void dw_shift_catch_up(struct dw_shift *shift, uint32_t permille, uint64_t now_us);

/** The recorded outcome, if it belongs to this order. */
void dw_shift_set_outcome(struct dw_shift *shift, enum dw_shift_state state, const char *target,
			  uint64_t revision);

/** Thousandths of the order's time that have passed, at most 1000. */
uint32_t dw_shift_progress(const struct dw_shift *shift, uint64_t now_us);

/** Share of the requests that go to the new version now, in thousandths. */
uint32_t dw_shift_share(const struct dw_shift *shift, uint64_t now_us);

/**
 * An answer of one version came, or failed to. While few engines are loaded on purpose, times
 * don't count.
 */
void dw_shift_count_answer(struct dw_shift *shift, enum dw_shift_side side,
			   const struct dw_shift_answer *answer, uint64_t now_us);

/** Whether this instance's own evidence speaks against the new version, so that others need it. */
bool dw_shift_is_suspect(const struct dw_shift *shift);

/**
 * The state that the evidence and the time call for: ROLLED_BACK if the new version is bad,
 * COMPLETED when it has had all requests for long enough, else RUNNING.
 */
enum dw_shift_state dw_shift_next_state(const struct dw_shift *shift, uint64_t now_us);

/** Which version a request may go to. Either may be NULL: no demand. */
struct dw_shift_constraint {
	const char *required_version;
	const char *excluded_version;
	/** Share of the required version's engines that carry it: as few as are loaded as all will
	 * be; 0: any. */
	uint32_t engines_permille;
	bool is_load_test; /**< the request is to stay long: the largest model answers it */
};

/** What the shift needs to know of a request. */
struct dw_shift_request {
	const char *pinned_version; /**< that its session used last; NULL: none, or too long ago */
	uint64_t hash; /**< of its session, or of the request where it has none */
	uint32_t target_engines; /**< engines of the target version that are there */
	bool is_long; /**< its answer takes long and its prompt is short: it loads an engine cheaply */
};

struct dw_shift_constraint dw_shift_constrain(const struct dw_shift *shift,
					      const struct dw_shift_request *request,
					      uint64_t now_us);

#ifdef __cplusplus
}
#endif

#endif
