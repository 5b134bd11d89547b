/**
 * @file roster.h
 * The roster: the members that own concurrency slots, versioned by epoch.
 *
 * The roster is one value in the platform's key-value service. It is changed only by
 * compare-and-swap, so each epoch has exactly one content. A member is removed only after it has
 * released all slots or is confirmed gone: either a later run of the same instance has been seen,
 * or the failure detector reports it dead and the platform's instance list, which once contained
 * it, hasn't contained it for DW_ROSTER_UNLISTED_US. A paused or partitioned member stays.
 *
 * A process must start with a higher incarnation than the roster has for its instance. If the clock
 * has stepped back, it uses the stored incarnation plus 1; otherwise it could never replace the
 * previous run.
 */
#ifndef DRAGONFLYWHARF_ROSTER_H
#define DRAGONFLYWHARF_ROSTER_H

#include "dragonflywharf/member_key.h"
#include "dragonflywharf/status.h"

#ifdef __cplusplus
extern "C" {
#endif

#define DW_ROSTER_MEMBERS_MAX 128
#define DW_ROSTER_NAME_BYTES 65
/** How long a dead member must be missing from the instance list before it counts as gone. */
#define DW_ROSTER_UNLISTED_US UINT64_C(30000000)
/** Age from which the instance list is too old to confirm that a member is gone. */
#define DW_ROSTER_LIST_MAX_AGE_US UINT64_C(10000000)

struct dw_roster_member {
	struct dw_member_key key;
	char name[DW_ROSTER_NAME_BYTES]; /**< the instance's name, NUL-terminated */
};

/** Members are sorted by instance_id; each instance occurs at most once. */
struct dw_roster {
	uint64_t epoch; /**< 0: no roster yet */
	uint32_t member_count;
	struct dw_roster_member members[DW_ROSTER_MEMBERS_MAX];
};

/** State of one run of an instance, as seen by the proposer. */
enum dw_roster_condition {
	DW_ROSTER_ALIVE, /**< present or joining */
	DW_ROSTER_RELEASED, /**< has announced that it released all slots while shutting down */
	DW_ROSTER_DEAD, /**< reported dead by the failure detector */
	DW_ROSTER_UNREACHABLE, /**< paused, partitioned or suspected: may still be running */
	DW_ROSTER_CONDITION_COUNT
};

struct dw_roster_observation {
	struct dw_roster_member member;
	enum dw_roster_condition condition;
	bool was_listed; /**< has been in the instance list at least once */
	/** When it first was missing from the list after being listed; UINT64_MAX while listed. */
	uint64_t unlisted_since_us;
};

/** State of the platform's instance list. */
struct dw_roster_list_state {
	uint64_t read_at_us; /**< when the list was last read completely; 0: never */
	uint32_t listed_count;
};

/** True if the observation and the instance list prove that the process no longer runs. */
bool dw_roster_confirmed_gone(const struct dw_roster_observation *seen,
			      const struct dw_roster_list_state *list, uint64_t now_us);

/**
 * Merges the roster in force here with the one of a store that came back from an older copy, or that others have
 * written since: every member of either, of two runs of an instance the later one, as each may hold slots. @p out gets
 * the higher one of both epochs and @p epoch_seen; it is to be proposed under the next.
 *
 * @return DW_OK or DW_TOO_LARGE.
 */
enum dw_status dw_roster_merge(const struct dw_roster *known, const struct dw_roster *stored,
			       uint64_t epoch_seen, struct dw_roster *out);

/**
 * Computes the successor of @p current.
 * @return DW_OK with @p next set, its epoch being one higher; DW_NOT_FOUND if no change is needed;
 * DW_TOO_LARGE if there are more than DW_ROSTER_MEMBERS_MAX members.
 */
enum dw_status dw_roster_propose(const struct dw_roster *current,
				 const struct dw_roster_observation *seen, uint32_t seen_count,
				 const struct dw_roster_list_state *list, uint64_t now_us,
				 struct dw_roster *next);

/** Index of the member @p key, or -1. */
int32_t dw_roster_find(const struct dw_roster *roster, struct dw_member_key key);

/** Index of the member with @p instance_id, whatever its incarnation, or -1. */
int32_t dw_roster_find_instance(const struct dw_roster *roster, uint64_t instance_id);

/** XXH64 of the epoch and the members' keys; detects different contents of one epoch. */
uint64_t dw_roster_digest(const struct dw_roster *roster);

/**
 * Validates a roster.
 * @return DW_INVALID_ARGUMENT if members are unsorted, duplicate or without a name; DW_TOO_LARGE if
 * there are too many.
 */
enum dw_status dw_roster_check(const struct dw_roster *roster);

#ifdef __cplusplus
}
#endif

#endif
