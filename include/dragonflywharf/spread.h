/**
 * @file spread.h
 * To which instances news are sent that all should have soon: loads of engines, pins of sessions.
 *
 * In a small fleet every instance sends its news to all others. In a larger one it sends them to a
 * relay of its failure domain. A relay passes news from its failure domain on to all instances there
 * and to one relay of each other failure domain, and news from another failure domain to all
 * instances of its own. So an instance receives a few messages a period, however many there are. The
 * first instances of a failure domain's order are its relays; the first of them that was heard from
 * recently is used.
 */
#ifndef DRAGONFLYWHARF_SPREAD_H
#define DRAGONFLYWHARF_SPREAD_H

#include <stdbool.h>

#include <dragonflywharf/view_tree.h>

#ifdef __cplusplus
extern "C" {
#endif

/** Relays of a failure domain, of which one is used at a time. */
#define DW_SPREAD_RELAYS 3

/** Where a piece of news still has to be sent; a set of bits. */
enum dw_spread_scope {
	DW_SPREAD_NOWHERE = 0,
	DW_SPREAD_IN_DOMAIN = 1, /**< to the instances of this failure domain */
	DW_SPREAD_TO_DOMAINS = 2, /**< to the other failure domains */
	DW_SPREAD_EVERYWHERE = 3
};

struct dw_spread;

struct dw_spread *dw_spread_new(void);
void dw_spread_free(struct dw_spread *spread);

/** The members have changed; @p self is one of them. Aborts if out of memory. */
void dw_spread_place(struct dw_spread *spread, const struct dw_view_member *members, uint32_t count,
		     uint64_t self);

/** News came from another instance. @return where this instance has to pass them on to. */
enum dw_spread_scope dw_spread_received(struct dw_spread *spread, uint64_t from, uint64_t now_us);

/**
 * Calls @p send for each instance that news of @p scope go to: IN_DOMAIN or TO_DOMAINS at a relay,
 * EVERYWHERE for the news of an instance that isn't one.
 */
void dw_spread_targets(const struct dw_spread *spread, enum dw_spread_scope scope, uint64_t now_us,
		       void (*send)(uint64_t to, void *data), void *data);

/** Whether this instance passes news on to others. */
bool dw_spread_is_relay(const struct dw_spread *spread);

#ifdef __cplusplus
}
#endif

#endif
