/**
 * @file membership_status.c
 * Read access to a membership.
 */
#include "core/membership_state.h"

#include <string.h>

#include <dragonflywharf/rendezvous.h>

const struct dw_member *dw_membership_self(const struct dw_membership *membership)
{
	return &membership->self->member;
}

size_t dw_membership_count(const struct dw_membership *membership)
{
	return membership->count;
}

const struct dw_member *dw_membership_at(const struct dw_membership *membership, size_t index)
{
	return index < membership->count ? &membership->members[index]->member : NULL;
}

const struct dw_member *dw_membership_find(const struct dw_membership *membership,
					   uint64_t instance_id)
{
	const struct dw_member_entry *entry = dw_membership_find_entry(membership, instance_id);

	return entry ? &entry->member : NULL;
}

size_t dw_membership_live_count(const struct dw_membership *membership)
{
	return membership->live_count;
}

uint64_t dw_membership_highest_revision(const struct dw_membership *membership)
{
	uint64_t highest = 0;
	uint32_t i;

	for (i = 0; i < membership->count; i++) {
		const struct dw_member *member = &membership->members[i]->member;

		if (member->state != DW_MEMBER_DEAD && member->applied_revision > highest)
			highest = member->applied_revision;
	}
	return highest;
}

bool dw_membership_is_replaced(const struct dw_membership *membership)
{
	return membership->is_replaced;
}

/* A suspect stays eligible until it is dead, so that a lost probe doesn't move keys or watches. */
static bool is_eligible(const struct dw_member *member)
{
	return member->state != DW_MEMBER_DEAD && !member->leaving;
}

bool dw_membership_is_watcher(const struct dw_membership *membership, const char *failure_domain,
			      uint32_t k)
{
	const struct dw_member *self = &membership->self->member;
	uint64_t key = dw_rendezvous_key(failure_domain, strlen(failure_domain));
	uint64_t own_score = dw_rendezvous_score(key, self->key.instance_id);
	uint32_t higher_count = 0, i;

	if (strcmp(self->failure_domain, failure_domain) != 0 || !is_eligible(self))
		return false;
	for (i = 0; i < membership->count && higher_count < k; i++) {
		const struct dw_member *member = &membership->members[i]->member;

		if (is_eligible(member) && strcmp(member->failure_domain, failure_domain) == 0 &&
		    dw_rendezvous_score(key, member->key.instance_id) > own_score)
			higher_count++;
	}
	return higher_count < k;
}

static const struct dw_member *best_owner(const struct dw_membership *membership, uint64_t key_hash,
					  const struct dw_member *first, bool other_domain)
{
	const struct dw_member *best = NULL;
	uint64_t best_score = 0;
	uint32_t i;

	for (i = 0; i < membership->count; i++) {
		const struct dw_member *member = &membership->members[i]->member;
		uint64_t score = dw_rendezvous_score(key_hash, member->key.instance_id);

		if (!is_eligible(member) || member == first)
			continue;
		if (other_domain && strcmp(member->failure_domain, first->failure_domain) == 0)
			continue;
		if (!best || score > best_score) {
			best = member;
			best_score = score;
		}
	}
	return best;
}

size_t dw_membership_owners(const struct dw_membership *membership, uint64_t key_hash,
			    const struct dw_member *owners[2])
{
	owners[0] = best_owner(membership, key_hash, NULL, false);
	owners[1] = NULL;
	if (!owners[0])
		return 0;
	owners[1] = best_owner(membership, key_hash, owners[0], true);
	if (!owners[1])
		owners[1] = best_owner(membership, key_hash, owners[0], false);
	return owners[1] ? 2 : 1;
}
