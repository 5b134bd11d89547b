/**
 * @file evidence.h
 * A version's grow-only counters, one a member, and their sum.
 */
#ifndef WHARF_CORE_EVIDENCE_H
#define WHARF_CORE_EVIDENCE_H

#include <stdbool.h>
#include <stdint.h>

#include <dragonflywharf/member_key.h>

struct tally {
	uint64_t answers;
	uint64_t bad;
	uint64_t errors;
};

struct counter {
	struct dw_member_key member;
	struct tally tally;
	uint64_t changed_seq; /* the evidence's sequence number at the last change */
	bool changed; /* not yet told to peers */
};

/* A zeroed one is empty. */
struct evidence {
	struct counter *counters; /* sorted by member */
	uint32_t count;
	uint32_t capacity;
	uint32_t changed; /* counters not yet told */
	uint32_t scan; /* where the search for the next changed one goes on */
	uint64_t seq;
	/* Runs that began up to here and have no counter are ignored: one of them was dropped. */
	uint64_t floor_incarnation;
	struct tally sum; /* grows only: a dropped member's part stays */
};

/* Whether the parts can belong together: not more bad answers and errors than answers. */
bool tally_is_valid(const struct tally *tally);

/* The counter of @p member, zero if there is none. */
struct tally evidence_get(const struct evidence *evidence, struct dw_member_key member);

/*
 * Takes the greater value of each part. Beyond @p members_max the counter that changed longest
 * ago, never that of @p self, makes room. False if nothing changed or there is no memory.
 */
bool evidence_merge(struct evidence *evidence, struct dw_member_key member,
		    const struct tally *tally, struct dw_member_key self, uint32_t members_max);

/* A counter that has changed since it was last taken; NULL if there is none. */
const struct counter *evidence_take_changed(struct evidence *evidence);

void evidence_clear(struct evidence *evidence);

#endif
