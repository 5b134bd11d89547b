/**
 * @file store_revision.h
 * Order of what is learned from a store that may come back from an older copy.
 *
 * The store counts its changes and, in its era, how often it was restored. Within an era its revisions only
 * grow; a restore takes them back and gives them out again. A revision of this project holds both, the era
 * in the high bits, so that comparing two of them compares the eras first. A store without eras has era 0; one that was
 * never restored has era 1, whatever the store calls it (dw_era_name()).
 */
#ifndef DRAGONFLYWHARF_STORE_REVISION_H
#define DRAGONFLYWHARF_STORE_REVISION_H

#include <stdint.h>

#define DW_REVISION_NUMBER_BITS 40
#define DW_REVISION_NUMBER_MAX ((UINT64_C(1) << DW_REVISION_NUMBER_BITS) - 1)
/** Revisions stay below 2^63, so that they fit into signed integers. */
#define DW_REVISION_ERA_MAX ((UINT64_C(1) << (63 - DW_REVISION_NUMBER_BITS)) - 1)

/** @param number as the store has it; 0 (none) stays 0 in each era */
static inline uint64_t dw_revision_make(uint64_t era, uint64_t number)
{
	return number > 0 ? era << DW_REVISION_NUMBER_BITS | number : 0;
}

static inline uint64_t dw_revision_era(uint64_t revision)
{
	return revision >> DW_REVISION_NUMBER_BITS;
}

/** The era of a store that says that it is in its era @p name. */
static inline uint64_t dw_era_named(uint64_t name)
{
	return name + 1;
}

/** What the store calls its era; 0 also for a store without eras. */
static inline uint64_t dw_era_name(uint64_t era)
{
	return era > 0 ? era - 1 : 0;
}

/** The revision as the store has it. */
static inline uint64_t dw_revision_number(uint64_t revision)
{
	return revision & DW_REVISION_NUMBER_MAX;
}

#endif
