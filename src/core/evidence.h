/**
 * @file evidence.h
 * Grow-only counters of a version's answers, one per member, and their sum.
 */
#ifndef WHARF_CORE_EVIDENCE_H
#define WHARF_CORE_EVIDENCE_H

#include <stdbool.h>
#include <stdint.h>

#include <dragonflywharf/member_key.h>

/* Numbers of answers. */
struct tally {
	uint64_t answers;
	uint64_t bad;
	uint64_t errors;
};

/* One member's counter. */
struct counter {
	struct dw_member_key member;
	struct tally tally;
	uint64_t changed_seq; /* the evidence's sequence number at the last change */
	bool changed; /* since evidence_take_changed() last returned it */
};

/* Initialised with zeros. */
struct evidence {
	struct counter *counters; /* sorted by member */
	uint32_t count;
	uint32_t capacity;
	uint32_t changed; /* number of changed counters */
	uint32_t scan; /* position of the search for changed counters */
	uint64_t seq;
	/* Highest incarnation of a dropped counter. Members up to it that have no counter are
	 * ignored, as they may be the dropped ones, which the sum includes already. */
	uint64_t floor_incarnation;
	struct tally sum; /* never decreases: it includes dropped members */
};

/* True if there aren't more bad answers and errors than answers. */
bool tally_is_valid(const struct tally *tally);

/* Value of @p member's counter; zero if there is none. */
struct tally evidence_get(const struct evidence *evidence, struct dw_member_key member);

/*
 * Raises each part of @p member's counter to its value in @p tally, if that is greater. With
 * @p members_max counters, a new one replaces the one that hasn't changed for longest, though never
 * that of @p self. False if nothing changed or out of memory.
 */
bool evidence_merge(struct evidence *evidence, struct dw_member_key member,
		    const struct tally *tally, struct dw_member_key self, uint32_t members_max);

/* Returns a counter that changed since this function last returned it; NULL if there is none. */
const struct counter *evidence_take_changed(struct evidence *evidence);

void evidence_clear(struct evidence *evidence);

#endif
