/**
 * @file load_spread.h
 * To which instances the engines' loads are sent.
 *
 * In a small fleet every instance sends the loads that engines reported to it to all others. In a
 * larger one it sends them to a relay of its failure domain. A relay passes loads from its failure
 * domain on to all instances there and to one relay of each other failure domain, and loads from
 * another failure domain to all instances of its own. So an instance receives a few messages a
 * period, however many there are. The first instances of a failure domain's order are its relays;
 * the first of them that was heard from recently is used.
 */
#ifndef DRAGONFLYWHARF_LOAD_SPREAD_H
#define DRAGONFLYWHARF_LOAD_SPREAD_H

#include <stdbool.h>

#include <dragonflywharf/view_tree.h>

#ifdef __cplusplus
extern "C" {
#endif

/** Relays of a failure domain, of which one is used at a time. */
#define DW_LOAD_RELAYS 3

/** Where a load still has to be sent; a set of bits. */
enum dw_load_scope {
	DW_LOAD_NOWHERE = 0,
	DW_LOAD_IN_DOMAIN = 1, /**< to the instances of this failure domain */
	DW_LOAD_TO_DOMAINS = 2, /**< to the other failure domains */
	DW_LOAD_EVERYWHERE = 3
};

struct dw_load_spread;

struct dw_load_spread *dw_load_spread_new(void);
void dw_load_spread_free(struct dw_load_spread *spread);

/** The members have changed; @p self is one of them. Aborts if out of memory. */
void dw_load_spread_place(struct dw_load_spread *spread, const struct dw_view_member *members,
			  uint32_t count, uint64_t self);

/** Loads came from another instance. @return where this instance has to pass them on to. */
enum dw_load_scope dw_load_spread_received(struct dw_load_spread *spread, uint64_t from,
					   uint64_t now_us);

/**
 * Calls @p send for each instance that loads of @p scope go to: IN_DOMAIN or TO_DOMAINS at a relay,
 * EVERYWHERE for the loads of an instance that isn't one.
 */
void dw_load_spread_targets(const struct dw_load_spread *spread, enum dw_load_scope scope,
			    uint64_t now_us, void (*send)(uint64_t to, void *data), void *data);

/** Whether this instance passes loads on to others. */
bool dw_load_spread_is_relay(const struct dw_load_spread *spread);

#ifdef __cplusplus
}
#endif

#endif
