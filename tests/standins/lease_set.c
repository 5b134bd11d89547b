#include "standins/lease_set.h"

static struct lease *find(struct lease_set *set, uint64_t id)
{
	for (size_t i = 0; i < set->count; i++) {
		if (set->leases[i].id == id)
			return &set->leases[i];
	}
	return NULL;
}

uint64_t lease_set_grant(struct lease_set *set, uint64_t ttl_us, uint64_t now_us)
{
	if (set->count == LEASE_SET_MAX)
		return 0;
	set->leases[set->count++] = (struct lease){
		.id = ++set->last_id,
		.ttl_us = ttl_us,
		.ends_at_us = now_us + ttl_us,
	};
	return set->last_id;
}

bool lease_set_has(const struct lease_set *set, uint64_t id)
{
	for (size_t i = 0; i < set->count; i++) {
		if (set->leases[i].id == id)
			return true;
	}
	return false;
}

bool lease_set_renew(struct lease_set *set, uint64_t id, uint64_t now_us)
{
	struct lease *lease = find(set, id);

	if (lease)
		lease->ends_at_us = now_us + lease->ttl_us;
	return lease != NULL;
}

bool lease_set_end(struct lease_set *set, uint64_t id)
{
	struct lease *lease = find(set, id);

	if (lease)
		*lease = set->leases[--set->count];
	return lease != NULL;
}

uint64_t lease_set_take_expired(struct lease_set *set, uint64_t now_us)
{
	for (size_t i = 0; i < set->count; i++) {
		uint64_t id = set->leases[i].id;

		if (now_us < set->leases[i].ends_at_us)
			continue;
		lease_set_end(set, id);
		return id;
	}
	return 0;
}

void lease_set_postpone(struct lease_set *set, uint64_t by_us)
{
	for (size_t i = 0; i < set->count; i++)
		set->leases[i].ends_at_us += by_us;
}
