/**
 * @file release_pace.h
 * Spaces the requests that one instance releases from its queue (generic cell rate algorithm, ITU-T I.371,
 * without a burst), so that instances that have waited for the same event don't send together.
 */
#ifndef DRAGONFLYWHARF_RELEASE_PACE_H
#define DRAGONFLYWHARF_RELEASE_PACE_H

#include <stdbool.h>
#include <stdint.h>

/** Zero-initialise: the first request may be released at once. */
struct dw_release_pace {
	uint64_t next_us; /**< earliest release of the next request */
};

/** Many instances begin to release at this moment: this one's first turn is at a random part of an
 * interval. */
static inline void dw_release_pace_stagger(struct dw_release_pace *pace, uint64_t interval_us,
					   uint64_t random, uint64_t now_us)
{
	uint64_t first_us = now_us + (interval_us > 0 ? random % interval_us : 0);

	if (first_us > pace->next_us)
		pace->next_us = first_us;
}

static inline bool dw_release_pace_allows(const struct dw_release_pace *pace, uint64_t now_us)
{
	return now_us >= pace->next_us;
}

/**
 * A request was released. The time that has passed since its turn counts for the next one, up to
 * @p credit_us: as much as the caller's checks are apart.
 */
static inline void dw_release_pace_take(struct dw_release_pace *pace, uint64_t interval_us,
					uint64_t credit_us, uint64_t now_us)
{
	uint64_t from_us = pace->next_us;

	if (from_us + credit_us < now_us)
		from_us = now_us - credit_us;
	pace->next_us = from_us + interval_us;
}

#endif
