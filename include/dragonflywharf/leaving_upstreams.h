/**
 * @file leaving_upstreams.h
 * Upstreams that have said, in an answer, that they leave: lifetimes that get no new requests, whatever
 * discovery says of them.
 *
 * An instance that hears it from the upstream tells the others, at once and again and again for as long as
 * it remembers it, so that an instance that starts or was cut off learns of it too. Running out of memory
 * aborts.
 */
#ifndef DRAGONFLYWHARF_LEAVING_UPSTREAMS_H
#define DRAGONFLYWHARF_LEAVING_UPSTREAMS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <dragonflywharf/crash_check.h>
#include <dragonflywharf/news_schedule.h>

#ifdef __cplusplus
extern "C" {
#endif

/** Lifetimes that are remembered; the oldest ones make room. */
#define DW_LEAVING_UPSTREAMS_MAX 1024
/** How long a lifetime is remembered after it was last heard of. */
#define DW_LEAVING_KEPT_US UINT64_C(600000000)
/** Length of a round of dw_leaving_take_news(). */
#define DW_LEAVING_ROUND_US UINT64_C(100000)

struct dw_leaving_upstreams;

struct dw_leaving_upstreams *dw_leaving_upstreams_new(void);
void dw_leaving_upstreams_free(struct dw_leaving_upstreams *leaving);

/**
 * An upstream said that it leaves, or another instance passed that on, to be passed on to @p scope.
 * @param is_own heard from the upstream itself
 * @return whether it is new here
 */
bool dw_leaving_add(struct dw_leaving_upstreams *leaving, struct dw_crash_upstream upstream,
		    bool is_own, enum dw_spread_scope scope, uint64_t now_us);

bool dw_leaving_has(const struct dw_leaving_upstreams *leaving, struct dw_crash_upstream upstream);

/**
 * Takes up to @p max lifetimes that have to be sent to @p scope in this round: three times after they
 * became known here, since messages may be lost, and the own ones then every 2 s.
 * @return their number
 */
size_t dw_leaving_take_news(struct dw_leaving_upstreams *leaving, enum dw_spread_scope scope,
			    uint32_t round, struct dw_crash_upstream *out, size_t max);

/** Forgets lifetimes of which nothing was heard for long. */
void dw_leaving_expire(struct dw_leaving_upstreams *leaving, uint64_t now_us);

size_t dw_leaving_count(const struct dw_leaving_upstreams *leaving);

#ifdef __cplusplus
}
#endif

#endif
