/**
 * @file membership_status.c
 * Questions to a membership.
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
	const struct dw_member_entry *slot = dw_membership_find_entry(membership, instance_id);

	return slot ? &slot->member : NULL;
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

/* A suspect keeps its roles until it is dead, so that a lost probe moves nothing. */
static bool takes_roles(const struct dw_member *member)
{
	return member->state != DW_MEMBER_DEAD && !member->leaving;
}

bool dw_membership_is_watcher(const struct dw_membership *membership, const char *failure_domain,
			      uint32_t k)
{
	const struct dw_member *self = &membership->self->member;
	uint64_t key = dw_rendezvous_key(failure_domain, strlen(failure_domain));
	uint64_t own = dw_rendezvous_score(key, self->key.instance_id);
	uint32_t before = 0, i;

	if (strcmp(self->failure_domain, failure_domain) != 0 || !takes_roles(self))
		return false;
	for (i = 0; i < membership->count && before < k; i++) {
		const struct dw_member *member = &membership->members[i]->member;

		if (takes_roles(member) && strcmp(member->failure_domain, failure_domain) == 0 &&
		    dw_rendezvous_score(key, member->key.instance_id) > own)
			before++;
	}
	return before < k;
}

static const struct dw_member *best_home(const struct dw_membership *membership, uint64_t key_hash,
					 const struct dw_member *first, bool other_domain)
{
	const struct dw_member *best = NULL;
	uint64_t best_score = 0;
	uint32_t i;

	for (i = 0; i < membership->count; i++) {
		const struct dw_member *member = &membership->members[i]->member;
		uint64_t score = dw_rendezvous_score(key_hash, member->key.instance_id);

		if (!takes_roles(member) || member == first)
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
			    const struct dw_member *homes[2])
{
	homes[0] = best_home(membership, key_hash, NULL, false);
	homes[1] = NULL;
	if (!homes[0])
		return 0;
	homes[1] = best_home(membership, key_hash, homes[0], true);
	if (!homes[1])
		homes[1] = best_home(membership, key_hash, homes[0], false);
	return homes[1] ? 2 : 1;
}
