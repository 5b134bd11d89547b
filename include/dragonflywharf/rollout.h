/**
 * @file rollout.h
 * Automatic holds: stops new work for a version whose answers become bad, on the pooled evidence of
 * all instances.
 *
 * Each instance counts its own answers in grow-only counters; of two values of one member's counter
 * the greater is the later one. Merging is therefore idempotent, commutative and associative, so
 * messages may be lost, duplicated or delayed. The sums over all members feed a sequential change
 * detector: a weighted Shiryaev-Roberts sum of likelihood ratios against the baseline rate of bad
 * answers, among which errors are counted too. While the version is good, the excess of this sum
 * over the total weight, which is at most 1, is a supermartingale. By Doob's inequality the
 * probability that the sum ever crosses 1/alpha is then at most alpha, however often it is tested
 * and however long the roll-out lasts. As any instance may hold the version, alpha is the stated
 * rate of false alarms divided by the number of instances.
 *
 * A hold applies to all release orders of a version up to the one at which it was decided. That
 * order only increases, and the hold spreads to the peers. It ends when an operator writes a higher
 * release order; the evidence is then collected anew. A hold isn't a withdrawal and doesn't change
 * the configuration.
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
	uint32_t versions_max; /**< more are rejected */
	/** Counters per version. If there are more, the one that hasn't changed for longest is
	 * dropped. */
	uint32_t members_max;
	uint32_t false_alarms_per_million; /**< at most so many good roll-outs are held */
	/** Rate of bad answers that a good version may have. A higher rate of the model's other
	 * versions raises it. */
	uint32_t baseline_permille;
	/** Number of live instances. Each may hold a version, so the stated rate of false alarms is
	 * divided by it. */
	uint32_t instances;
};

/** 1 false alarm in 1,000 roll-outs, 5% bad answers, 64 versions, 4,096 members, 9 instances. */
struct dw_rollout_policy dw_rollout_policy_default(void);

enum dw_rollout_outcome {
	DW_ROLLOUT_GOOD, /**< rated at or above the target */
	DW_ROLLOUT_BAD, /**< rated below the target */
	DW_ROLLOUT_ERROR, /**< failure caused by the version, not by its upstream */
	DW_ROLLOUT_OUTCOME_COUNT
};

/** One member's counters for one release order of a version. They never decrease. */
struct dw_rollout_entry {
	uint64_t version_id;
	uint64_t release_order;
	struct dw_member_key member;
	uint64_t answers; /**< of any outcome */
	uint64_t bad; /**< DW_ROLLOUT_BAD only; errors are counted separately */
	uint64_t errors;
};

struct dw_rollout_hold {
	uint64_t version_id;
	uint64_t release_order; /**< the highest that is held */
};

/** Message between peers. */
struct dw_rollout_message {
	uint32_t entry_count;
	uint32_t hold_count;
	struct dw_rollout_entry entries[DW_ROLLOUT_MESSAGE_ENTRIES];
	struct dw_rollout_hold holds[DW_ROLLOUT_MESSAGE_HOLDS];
};

/** Sums over all members for the current release order. */
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

/** Sets the number of live instances. It may be slightly out of date: a few more or fewer make
 * little difference to the threshold. */
void dw_rollout_set_instances(struct dw_rollout *rollout, uint32_t instances);

/**
 * Adds or updates a version; called for each version of the configuration and again whenever it
 * changes. A higher @p release_order ends a hold of a lower one and discards the evidence so far.
 *
 * @return DW_OK, DW_STALE (the release order is lower than the known one), DW_TOO_LARGE (over
 * versions_max), DW_INVALID_ARGUMENT (version id 0 or release order UINT64_MAX).
 */
enum dw_status dw_rollout_set_version(struct dw_rollout *rollout, uint64_t version_id,
				      uint64_t model_id, uint64_t release_order);

/** Removes a version that was deleted from the configuration. */
void dw_rollout_remove_version(struct dw_rollout *rollout, uint64_t version_id);

/**
 * Counts one answer that this instance got from the requested model. Answers of a cascade's cheaper
 * steps aren't counted: they often miss the target although their version isn't bad, answers that
 * miss it aren't released, and dw_cascade_rates_learn() makes the cascade skip such a step.
 *
 * Sets @p newly_held if the answer made this instance hold the version. After a bad answer,
 * dw_rollout_collect() should be called at once.
 * @return DW_OK, DW_NOT_FOUND or DW_NO_MEMORY.
 */
enum dw_status dw_rollout_count_answer(struct dw_rollout *rollout, uint64_t version_id,
				       enum dw_rollout_outcome outcome, bool *newly_held);

/** True if the version is held and may get no new work; false for an unknown version. */
bool dw_rollout_is_held(const struct dw_rollout *rollout, uint64_t version_id);

/**
 * True if there is recent evidence against the version, though not enough for a hold. Its answers
 * should then be rated before they are released, and a request without a session whose answer is
 * bad should be run again on another version. A good version is sometimes watched for a few
 * answers; the cost is the time that the rating takes.
 */
bool dw_rollout_is_watched(const struct dw_rollout *rollout, uint64_t version_id);

enum dw_status dw_rollout_get_totals(const struct dw_rollout *rollout, uint64_t version_id,
				     struct dw_rollout_totals *out);

/**
 * Merges a peer's message. Counters of unknown versions and of release orders other than the
 * current one are ignored; a hold of a newer release order is kept. Writes the versions that became
 * held here to @p newly_held, at most @p capacity.
 * @return the number of versions written.
 */
size_t dw_rollout_merge(struct dw_rollout *rollout, const struct dw_rollout_message *message,
			uint64_t *newly_held, size_t capacity);

/**
 * Fills @p out with the counters, own and received ones, that changed since they were last
 * collected and with all current holds. The message is meant for a few peers. Returns false if
 * nothing is new; call it until it does.
 */
bool dw_rollout_collect(struct dw_rollout *rollout, struct dw_rollout_message *out);

/**
 * Fills @p out with the next part of all holds and counters, for a peer that lacks some. @p cursor
 * starts at 0. Returns false, with an empty @p out, after the last part.
 */
bool dw_rollout_collect_all(const struct dw_rollout *rollout, uint64_t *cursor,
			    struct dw_rollout_message *out);

#ifdef __cplusplus
}
#endif

#endif
