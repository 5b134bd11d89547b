/**
 * @file lease_set.h
 * Leases of a key-value store, with the time at which each ends.
 */
#ifndef TESTS_STANDINS_LEASE_SET_H
#define TESTS_STANDINS_LEASE_SET_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#define LEASE_SET_MAX 256

struct lease {
	uint64_t id;
	uint64_t ttl_us;
	uint64_t ends_at_us;
};

struct lease_set {
	struct lease leases[LEASE_SET_MAX];
	size_t count;
	uint64_t last_id;
};

/** Returns the id of the new lease; 0 if there are too many. */
uint64_t lease_set_grant(struct lease_set *set, uint64_t ttl_us, uint64_t now_us);

bool lease_set_has(const struct lease_set *set, uint64_t id);

/** The lease runs for its whole time again. Returns false if there is no such lease. */
bool lease_set_renew(struct lease_set *set, uint64_t id, uint64_t now_us);

/** Returns false if there is no such lease. */
bool lease_set_end(struct lease_set *set, uint64_t id);

/** Ends one lease whose time has passed and returns its id; 0 if there is none. */
uint64_t lease_set_take_expired(struct lease_set *set, uint64_t now_us);

/** The ends of all leases move by the time for which a copy was laid aside. */
void lease_set_postpone(struct lease_set *set, uint64_t by_us);

#endif
