/**
 * @file route.h
 * Choice of the upstream for one attempt.
 *
 * Candidates are the upstreams that serve the chosen version and are in service; who may run what
 * is decided elsewhere. The choice is by expected completion time, the better of two candidates
 * drawn at random ("The power of two choices in randomized load balancing", Mitzenmacher 2001), so
 * that many instances with the same view don't all pick the same upstream. A conversation goes
 * back to the upstream that has its prefix cached, by rendezvous hash of its leading messages, as
 * long as that one's load is bounded ("Consistent hashing with bounded loads", Mirrokni, Thorup
 * and Zadimoghaddam 2018).
 */
#ifndef DRAGONFLYWHARF_ROUTE_H
#define DRAGONFLYWHARF_ROUTE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <dragonflywharf/slow_start.h>
#include <dragonflywharf/status.h>
#include <dragonflywharf/upstream_load.h>

#ifdef __cplusplus
extern "C" {
#endif

#define DW_ROUTE_CANDIDATES_MAX 128
/** Failure domains have small indices that the caller assigns. */
#define DW_ROUTE_DOMAINS_MAX 64
#define DW_ROUTE_NONE SIZE_MAX

struct dw_route_candidate {
	uint64_t upstream_id;
	uint32_t failure_domain; /**< index, below DW_ROUTE_DOMAINS_MAX */
	uint32_t limit; /**< requests in flight over all instances, as in force now */
	uint32_t permits; /**< requests that this instance may still start there now */
	bool cold; /**< in a cold start */
	/** Errors or timeouts were seen there: taken only if no other candidate is left. */
	bool suspect;
	/** Kept for requests that are suspected of crashing upstreams. */
	bool isolation;
	const struct dw_upstream_load *load;
	struct dw_slow_start slow_start; /**< the later one of its own and its failure domain's */
};

struct dw_route_policy {
	uint32_t instances; /**< live instances that share the upstreams, this one included */
	/** The affine upstream is left when its load is above this part of the candidates' mean. */
	uint32_t affinity_bound_permille;
	/** Price of a request between two failure domains, in microseconds of waiting that it is
	 * worth, by [own domain * DW_ROUTE_DOMAINS_MAX + other domain]; NULL for none. Includes
	 * the round trip. */
	const uint32_t *link_cost_us;
};

/** The policy's stated defaults. */
struct dw_route_policy dw_route_policy_default(void);

struct dw_route_request {
	uint64_t now_us;
	uint64_t deadline_us; /**< 0 for none */
	uint64_t affinity; /**< see dw_route_affinity(); 0 for no conversation */
	uint64_t random; /**< uniform over all values */
	uint32_t failure_domain; /**< of this instance */
	uint32_t prompt_tokens;
	uint32_t cached_tokens; /**< of the prompt, expected in the affine upstream's cache */
	uint32_t output_tokens; /**< expected to be generated */
	/** Suspected of having crashed an upstream: isolation upstreams first, else an idle one. */
	bool suspect;
	const uint64_t *tried; /**< upstreams of earlier attempts, not to be taken again */
	size_t tried_count;
};

enum dw_route_reason {
	DW_ROUTE_AFFINITY, /**< the upstream that has the prefix */
	DW_ROUTE_TWO_CHOICES,
	DW_ROUTE_ONLY, /**< one candidate was left */
	DW_ROUTE_LAST_RESORT, /**< only suspects were left */
	DW_ROUTE_ISOLATED, /**< a suspected request */
	DW_ROUTE_REASON_COUNT
};

struct dw_route_choice {
	size_t index; /**< into the candidates; see the errors of dw_route_choose() */
	enum dw_route_reason reason;
	uint32_t load; /**< estimated in flight there, for dw_load_sample */
	uint64_t expected_us; /**< time to completion, the link's cost left out */
};

/**
 * Hash of a conversation's leading messages, which all of its turns share. @p salt keeps
 * organisations apart. Never 0.
 */
uint64_t dw_route_affinity(uint64_t salt, const char *bytes, size_t len);

/**
 * Chooses one of @p count candidates.
 *
 * @return DW_OK; DW_OVERLOADED if candidates exist but none has a permit (out->index is then the
 * one whose permit is best asked for); DW_UNAVAILABLE if there is no candidate that wasn't tried
 * (out->index is DW_ROUTE_NONE); DW_INVALID_ARGUMENT for too many or malformed candidates.
 */
enum dw_status dw_route_choose(const struct dw_route_policy *policy,
			       const struct dw_route_request *request,
			       const struct dw_route_candidate *candidates, size_t count,
			       struct dw_route_choice *out);

#ifdef __cplusplus
}
#endif

#endif
