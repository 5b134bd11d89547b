/**
 * @file roster.h
 * The members that own the load slots of a share group, by epoch.
 *
 * A roster is one value in the platform's key-value service, changed by compare-and-swap only, so
 * each epoch has one content. A member leaves it only after it has released everything, or when it
 * is confirmed gone: a later run of the same instance is seen, or the failure detector calls it
 * dead and the platform's instance list, which once listed it, has not listed it for
 * DW_ROSTER_UNLISTED_US. A paused or cut-off member stays.
 *
 * A run must start with a higher incarnation than the roster holds for its instance: after a clock
 * step backwards it takes the stored one plus 1, else it could never replace its predecessor.
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
/** How long the instance list must have missed a dead member before it counts as gone. */
#define DW_ROSTER_UNLISTED_US UINT64_C(30000000)
/** Age over which the instance list proves nothing. */
#define DW_ROSTER_LIST_FRESH_US UINT64_C(10000000)

struct dw_roster_member {
	struct dw_member_key key;
	char name[DW_ROSTER_NAME_BYTES]; /**< the instance's name, NUL-terminated */
};

/** Members are sorted by instance_id; an instance stands in it once. */
struct dw_roster {
	uint64_t epoch; /**< 0: no roster yet */
	uint32_t member_count;
	struct dw_roster_member members[DW_ROSTER_MEMBERS_MAX];
};

/** What the proposer knows about one run of an instance. */
enum dw_roster_condition {
	DW_ROSTER_ALIVE, /**< present or joining */
	DW_ROSTER_RELEASED, /**< has announced that its graceful stop released everything */
	DW_ROSTER_DEAD, /**< called dead by the failure detector */
	DW_ROSTER_UNREACHABLE, /**< paused, cut off or suspected: nothing is known */
	DW_ROSTER_CONDITION_COUNT
};

struct dw_roster_observation {
	struct dw_roster_member member;
	enum dw_roster_condition condition;
	bool was_listed; /**< the instance list has named it at least once */
	/** When the list first missed it, after having listed it; UINT64_MAX while it lists it. */
	uint64_t unlisted_since_us;
};

/** The instance list's own state. */
struct dw_roster_list_state {
	uint64_t read_at_us; /**< when the last list was read whole; 0: never */
	uint32_t listed_count;
};

/** True if the observation, with the list's state, proves that the process runs no more. */
bool dw_roster_confirmed_gone(const struct dw_roster_observation *seen,
			      const struct dw_roster_list_state *list, uint64_t now_us);

/**
 * Works out the roster after @p current.
 * @return DW_OK with @p next filled in at epoch + 1; DW_NOT_FOUND if nothing has to change;
 * DW_TOO_LARGE when the members don't fit.
 */
enum dw_status dw_roster_propose(const struct dw_roster *current,
				 const struct dw_roster_observation *seen, uint32_t seen_count,
				 const struct dw_roster_list_state *list, uint64_t now_us,
				 struct dw_roster *next);

/** Index of @p key, or -1. */
int32_t dw_roster_find(const struct dw_roster *roster, struct dw_member_key key);

/** Index of the run of @p instance_id in the roster, or -1. */
int32_t dw_roster_find_instance(const struct dw_roster *roster, uint64_t instance_id);

/** XXH64 of the epoch and the members' keys: tells two contents under one epoch apart. */
uint64_t dw_roster_digest(const struct dw_roster *roster);

/** DW_INVALID_ARGUMENT if members are unsorted, doubled, unnamed or too many. */
enum dw_status dw_roster_check(const struct dw_roster *roster);

#ifdef __cplusplus
}
#endif

#endif
