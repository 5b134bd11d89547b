/**
 * @file view_tree.h
 * Who reads the store, and who gets the records from whom.
 *
 * A few instances of the fleet, in different failure domains, read the store: the readers. The first
 * instance of every other failure domain gets the records from a reader; within a failure domain they
 * pass down a tree, so that each record enters a failure domain once. All orders are rendezvous
 * hashes over the known members: instances that know the same members agree without a message, and
 * those that don't are merely served by another one.
 */
#ifndef DRAGONFLYWHARF_VIEW_TREE_H
#define DRAGONFLYWHARF_VIEW_TREE_H

#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

#define DW_VIEW_SOURCES_MAX 8
/** Instances of a failure domain that each instance passes records to. */
#define DW_VIEW_FANOUT 8

struct dw_view_member {
	uint64_t instance_id;
	uint64_t domain_key; /**< hash of the failure domain's name */
};

/** The place of one instance. */
struct dw_view_place {
	uint32_t members; /**< known, including this one */
	uint32_t readers; /**< how many of them read the store */
	uint32_t rank; /**< in the order in which instances become readers, from 0 */
	uint32_t domain_rank; /**< in the order of the failure domain, from 0: its root */
	uint64_t sources[DW_VIEW_SOURCES_MAX]; /**< other instances to ask, the preferred first */
	uint32_t source_count;
};

/** A member and its rank in the order of its failure domain, from 0. */
struct dw_view_ranked {
	struct dw_view_member member;
	uint32_t domain_rank;
	uint64_t score; /**< in that order */
};

/** Sorts members by failure domain and, within it, by rank. */
void dw_view_rank_domains(const struct dw_view_member *members, uint32_t count,
			  struct dw_view_ranked *ranked);

/** Number of readers of a fleet. */
uint32_t dw_view_reader_count(uint32_t members);

/**
 * Finds the place of @p self, which must be one of the members.
 * @return 0 and the place of the only reader if out of memory or if it isn't one of them.
 */
uint32_t dw_view_place_find(const struct dw_view_member *members, uint32_t count, uint64_t self,
			    struct dw_view_place *place);

#ifdef __cplusplus
}
#endif

#endif
