/**
 * @file rollout.h
 * Holding a version that has turned bad, on the evidence of all instances together.
 *
 * Each instance counts its own answers; the counters only grow, and of two values of one member's
 * counter the greater is the later one. Merging is therefore idempotent, commutative and
 * associative, whatever is lost, doubled or late. The pooled sums feed a sequential change
 * detector: a weighted Shiryaev-Roberts sum of likelihood ratios against the baseline rate of bad
 * answers. Its excess over the sum of the weights (at most 1) is a supermartingale while the
 * version is good, so that by Doob's inequality it ever crosses 1/alpha with a probability of at
 * most alpha, however often one looks and however long the roll-out lasts. As any instance may
 * hold, alpha is the stated rate of false alarms divided by the number of instances.
 *
 * A hold is a flag for a version's release orders up to one. It only ever rises, spreads to peers,
 * and loses its force when an operator writes a higher release order: then the evidence starts
 * again from nothing. It is no withdrawal, and never changes what an operator wrote.
 */
#ifndef DRAGONFLYWHARF_ROLLOUT_H
#define DRAGONFLYWHARF_ROLLOUT_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <dragonflywharf/member_key.h>
#include <dragonflywharf/status.h>

#ifdef __cplusplus
extern "C" {
#endif

#define DW_ROLLOUT_MESSAGE_ENTRIES 64
#define DW_ROLLOUT_MESSAGE_HOLDS 16

struct dw_rollout;

struct dw_rollout_policy {
	uint32_t versions_max; /**< more are refused */
	uint32_t members_max; /**< a version's counters kept; beyond, the stalest is dropped */
	uint32_t false_alarms_per_million; /**< good roll-outs held, at most */
	/** Rate of bad answers that is still good; a higher rate of the model's other versions
	 * raises it. */
	uint32_t baseline_permille;
	/** Live instances, any of which may hold: their false alarms add up to the stated rate. */
	uint32_t instances;
};

/** 1 in 1,000 roll-outs, 5% bad answers, 64 versions, 4,096 members, 9 instances. */
struct dw_rollout_policy dw_rollout_policy_default(void);

enum dw_rollout_outcome {
	DW_ROLLOUT_GOOD, /**< rated at or above the target */
	DW_ROLLOUT_BAD, /**< rated below the target */
	DW_ROLLOUT_ERROR, /**< the version's own failure, not its upstream's */
	DW_ROLLOUT_OUTCOME_COUNT
};

/** One member's counters for one release order of a version; they only grow. */
struct dw_rollout_entry {
	uint64_t version_id;
	uint64_t release_order;
	struct dw_member_key member;
	uint64_t answers; /**< all outcomes */
	uint64_t bad;
	uint64_t errors;
};

struct dw_rollout_hold {
	uint64_t version_id;
	uint64_t release_order;
};

/** What peers exchange. */
struct dw_rollout_message {
	uint32_t entry_count;
	uint32_t hold_count;
	struct dw_rollout_entry entries[DW_ROLLOUT_MESSAGE_ENTRIES];
	struct dw_rollout_hold holds[DW_ROLLOUT_MESSAGE_HOLDS];
};

/** Pooled over all members, for the present release order. */
struct dw_rollout_totals {
	uint64_t answers;
	uint64_t bad;
	uint64_t errors;
	uint64_t release_order;
	bool held;
};

struct dw_rollout *dw_rollout_new(const struct dw_rollout_policy *policy,
				  struct dw_member_key self);
void dw_rollout_free(struct dw_rollout *rollout);

/** Tells how many instances are live; a few more or fewer make little difference. */
void dw_rollout_set_instances(struct dw_rollout *rollout, uint32_t instances);

/**
 * Tells of a version in the configuration, again on each change. A higher @p release_order ends
 * an older hold and drops the older evidence; a lower one is refused with DW_STALE.
 *
 * @return DW_OK, DW_STALE, DW_TOO_LARGE (versions_max), DW_NO_MEMORY.
 */
enum dw_status dw_rollout_set_version(struct dw_rollout *rollout, uint64_t version_id,
				      uint64_t model_id, uint64_t release_order);

/** The version has left the configuration. */
void dw_rollout_remove_version(struct dw_rollout *rollout, uint64_t version_id);

/**
 * Counts one answer of this instance, given as the model that was asked for. The cheaper steps of a
 * cascade don't count: their answers are often below the target without their version being bad,
 * none of those is released, and dw_cascade_rates_learn() sees to it that they are skipped.
 *
 * @p newly_held is set if it made this instance hold the version. After a bad answer
 * dw_rollout_collect() is best called at once. @return DW_OK or DW_NOT_FOUND.
 */
enum dw_status dw_rollout_count_answer(struct dw_rollout *rollout, uint64_t version_id,
				       enum dw_rollout_outcome outcome, bool *newly_held);

/** No new work for the version; false for an unknown one. */
bool dw_rollout_is_held(const struct dw_rollout *rollout, uint64_t version_id);

/**
 * Evidence against the version has begun to gather, though not enough for a hold: its answers are
 * best rated before they are released, and a bad one that belongs to no session is run again on
 * another version. A good version comes to this now and then for a few answers; it costs the time
 * of the rating.
 */
bool dw_rollout_is_watched(const struct dw_rollout *rollout, uint64_t version_id);

enum dw_status dw_rollout_get_totals(const struct dw_rollout *rollout, uint64_t version_id,
				     struct dw_rollout_totals *out);

/**
 * Takes in a peer's message. Counters of versions that aren't known here and of other release
 * orders than the present one are left out; a hold of a newer order is kept. @p newly_held gets the versions that it made this instance hold, at most
 * @p capacity. @return how many they were.
 */
size_t dw_rollout_merge(struct dw_rollout *rollout, const struct dw_rollout_message *message,
			uint64_t *newly_held, size_t capacity);

/**
 * Fills @p out with what has changed here since it was last collected, own and learned, and with
 * the holds in force: to be passed on to a few peers. False when there is nothing to tell; called
 * again while it returns true.
 */
bool dw_rollout_collect(struct dw_rollout *rollout, struct dw_rollout_message *out);

/**
 * Fills @p out with the next part of everything known, from @p cursor (0 at first): for a peer
 * that lacks some. False when the end is reached and @p out is empty.
 */
bool dw_rollout_collect_all(const struct dw_rollout *rollout, uint64_t *cursor,
			    struct dw_rollout_message *out);

#ifdef __cplusplus
}
#endif

#endif
