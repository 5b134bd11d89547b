/**
 * @file roster.c
 * Computes the next roster. A member is removed only if it has released its slots or is proved to
 * no longer run.
 */
#include "dragonflywharf/roster.h"

#include <stdlib.h>
#include <string.h>

#define XXH_INLINE_ALL
#include <xxhash.h>

int32_t dw_roster_find_instance(const struct dw_roster *roster, uint64_t instance_id)
{
	uint32_t low = 0;
	uint32_t high = roster->member_count;

	while (low < high) {
		uint32_t middle = (low + high) / 2;

		if (roster->members[middle].key.instance_id < instance_id)
			low = middle + 1;
		else
			high = middle;
	}
	if (low < roster->member_count && roster->members[low].key.instance_id == instance_id)
		return (int32_t)low;
	return -1;
}

int32_t dw_roster_find(const struct dw_roster *roster, struct dw_member_key key)
{
	int32_t i = dw_roster_find_instance(roster, key.instance_id);

	if (i >= 0 && dw_member_key_equal(roster->members[i].key, key))
		return i;
	return -1;
}

uint64_t dw_roster_digest(const struct dw_roster *roster)
{
	XXH64_state_t state;

	XXH64_reset(&state, roster->epoch);
	for (uint32_t i = 0; i < roster->member_count; i++)
		XXH64_update(&state, &roster->members[i].key, sizeof(struct dw_member_key));
	return XXH64_digest(&state);
}

enum dw_status dw_roster_check(const struct dw_roster *roster)
{
	if (roster->member_count > DW_ROSTER_MEMBERS_MAX)
		return dw_fail(DW_TOO_LARGE, "roster has %u members, more than the maximum of %d",
			       roster->member_count, DW_ROSTER_MEMBERS_MAX);
	for (uint32_t i = 0; i < roster->member_count; i++) {
		const struct dw_roster_member *member = &roster->members[i];

		if (member->name[0] == '\0' || !memchr(member->name, '\0', sizeof(member->name)))
			return dw_fail(DW_INVALID_ARGUMENT,
				       "roster member %u: the name is empty or has no NUL", i);
		if (i > 0 && member[-1].key.instance_id >= member->key.instance_id)
			return dw_fail(DW_INVALID_ARGUMENT,
				       "roster member %u is out of order or duplicate", i);
	}
	return DW_OK;
}

bool dw_roster_confirmed_gone(const struct dw_roster_observation *seen,
			      const struct dw_roster_list_state *list, uint64_t now_us)
{
	bool fresh = list->read_at_us != 0 && list->listed_count > 0 &&
		     now_us < list->read_at_us + DW_ROSTER_LIST_MAX_AGE_US;

	if (seen->condition != DW_ROSTER_DEAD || !fresh || !seen->was_listed)
		return false;
	return seen->unlisted_since_us != UINT64_MAX &&
	       now_us >= seen->unlisted_since_us + DW_ROSTER_UNLISTED_US;
}

/** The observation of the latest run of @p instance_id, or NULL. */
static const struct dw_roster_observation *latest_run(const struct dw_roster_observation *seen,
						      uint32_t seen_count, uint64_t instance_id)
{
	const struct dw_roster_observation *latest = NULL;

	for (uint32_t i = 0; i < seen_count; i++) {
		if (seen[i].member.key.instance_id != instance_id)
			continue;
		if (!latest || seen[i].member.key.incarnation > latest->member.key.incarnation)
			latest = &seen[i];
	}
	return latest;
}

/** True if the run may be added to a roster. */
static bool may_join(const struct dw_roster_observation *run)
{
	return run && run->condition == DW_ROSTER_ALIVE;
}

static int compare_members(const void *a, const void *b)
{
	uint64_t left = ((const struct dw_roster_member *)a)->key.instance_id;
	uint64_t right = ((const struct dw_roster_member *)b)->key.instance_id;

	return (left > right) - (left < right);
}

/** Sets @p out to a member or to its later run; returns false if the member is removed instead. */
static bool keep_member(const struct dw_roster_member *member,
			const struct dw_roster_observation *seen, uint32_t seen_count,
			const struct dw_roster_list_state *list, uint64_t now_us,
			struct dw_roster_member *out)
{
	const struct dw_roster_observation *run =
		latest_run(seen, seen_count, member->key.instance_id);

	*out = *member;
	if (!run || run->member.key.incarnation < member->key.incarnation)
		return true;
	if (run->member.key.incarnation > member->key.incarnation) {
		*out = run->member;
		return may_join(run);
	}
	return run->condition != DW_ROSTER_RELEASED && !dw_roster_confirmed_gone(run, list, now_us);
}

enum dw_status dw_roster_merge(const struct dw_roster *known, const struct dw_roster *stored,
			       uint64_t epoch_seen, struct dw_roster *out)
{
	*out = *known;
	if (stored->epoch > out->epoch)
		out->epoch = stored->epoch;
	if (epoch_seen > out->epoch)
		out->epoch = epoch_seen;
	for (uint32_t i = 0; i < stored->member_count; i++) {
		const struct dw_roster_member *member = &stored->members[i];
		int32_t at = dw_roster_find_instance(known, member->key.instance_id);

		if (at >= 0) {
			if (member->key.incarnation > out->members[at].key.incarnation)
				out->members[at] = *member;
			continue;
		}
		if (out->member_count == DW_ROSTER_MEMBERS_MAX)
			return dw_fail(DW_TOO_LARGE, "merged roster has more than %d members",
				       DW_ROSTER_MEMBERS_MAX);
		out->members[out->member_count++] = *member;
	}
	qsort(out->members, out->member_count, sizeof(out->members[0]), compare_members);
	return DW_OK;
}

enum dw_status dw_roster_propose(const struct dw_roster *current,
				 const struct dw_roster_observation *seen, uint32_t seen_count,
				 const struct dw_roster_list_state *list, uint64_t now_us,
				 struct dw_roster *next)
{
	uint32_t count = 0;
	bool changed = false;

	for (uint32_t i = 0; i < current->member_count; i++) {
		const struct dw_roster_member *member = &current->members[i];
		bool kept =
			keep_member(member, seen, seen_count, list, now_us, &next->members[count]);

		changed |= !kept || !dw_member_key_equal(member->key, next->members[count].key);
		count += kept;
	}
	for (uint32_t i = 0; i < seen_count; i++) {
		uint64_t instance_id = seen[i].member.key.instance_id;

		if (dw_roster_find_instance(current, instance_id) >= 0 || !may_join(&seen[i]) ||
		    latest_run(seen, seen_count, instance_id) != &seen[i])
			continue;
		if (count == DW_ROSTER_MEMBERS_MAX)
			return dw_fail(DW_TOO_LARGE, "roster is full: %d members",
				       DW_ROSTER_MEMBERS_MAX);
		next->members[count++] = seen[i].member;
		changed = true;
	}
	if (!changed)
		return DW_NOT_FOUND;
	qsort(next->members, count, sizeof(next->members[0]), compare_members);
	next->member_count = count;
	next->epoch = current->epoch + 1;
	return dw_roster_check(next);
}
