/**
 * @file member_key.h
 * Identifies one run (process lifetime) of an instance.
 */
#ifndef DRAGONFLYWHARF_MEMBER_KEY_H
#define DRAGONFLYWHARF_MEMBER_KEY_H

#include <stdbool.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

/**
 * A process that restarts under the same name counts as a different member, since it has lost its
 * in-memory state. Of two runs of an instance, the one with the higher incarnation is the later.
 */
struct dw_member_key {
	uint64_t instance_id; /**< XXH64 of the instance's name, seed 0 */
	uint64_t incarnation; /**< wall-clock start time of the run in microseconds */
};

static inline bool dw_member_key_equal(struct dw_member_key a, struct dw_member_key b)
{
	return a.instance_id == b.instance_id && a.incarnation == b.incarnation;
}

#ifdef __cplusplus
}
#endif

#endif
