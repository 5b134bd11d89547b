/**
 * @file route.h
 * Selects the upstream for one attempt.
 *
 * Candidates are the upstreams that serve the chosen version and are in service; permissions are
 * checked elsewhere. Two candidates are drawn at random and the one with the shorter expected
 * completion time is used ("The power of two choices in randomized load balancing", Mitzenmacher
 * 2001), so that instances with the same view of the load don't all pick the same upstream. A
 * conversation returns to the upstream that has its prefix cached, found by a rendezvous hash of
 * its leading messages, while the load of that upstream is within a bound ("Consistent hashing
 * with bounded loads", Mirrokni, Thorup and Zadimoghaddam 2018).
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
/** Failure domains are identified by small indices that the caller assigns. */
#define DW_ROUTE_DOMAINS_MAX 64
#define DW_ROUTE_NONE SIZE_MAX

struct dw_route_candidate {
	uint64_t upstream_id;
	uint32_t failure_domain; /**< index, below DW_ROUTE_DOMAINS_MAX */
	uint32_t limit; /**< current limit of requests in flight, all instances together */
	uint32_t permits; /**< requests that this instance may start there now */
	bool cold; /**< the upstream is in cold start */
	/** Had errors or timeouts: used only if no other candidate is left. */
	bool suspect;
	/** Reserved for requests that are suspected of crashing upstreams. */
	bool isolation;
	const struct dw_upstream_load *load;
	/** The upstream's own or its failure domain's, whichever ends later. */
	struct dw_slow_start slow_start;
};

struct dw_route_policy {
	uint32_t instances; /**< live instances that share the upstreams, including this one */
	/** The affine upstream isn't used if its load exceeds this share of the mean. */
	uint32_t affinity_bound_permille;
	/** Cost of sending a request to another failure domain, expressed as microseconds of
	 * waiting and including the round trip. Indexed by
	 * [own domain * DW_ROUTE_DOMAINS_MAX + other domain]; NULL: no cost. */
	const uint32_t *link_cost_us;
};

/** Returns the default policy. */
struct dw_route_policy dw_route_policy_default(void);

struct dw_route_request {
	uint64_t now_us;
	uint64_t deadline_us; /**< 0: none */
	uint64_t affinity; /**< see dw_route_affinity(); 0: not part of a conversation */
	uint64_t random; /**< uniformly distributed over all values */
	uint32_t failure_domain; /**< this instance's */
	uint32_t prompt_tokens;
	uint32_t cached_tokens; /**< prompt tokens expected in the affine upstream's cache */
	uint32_t output_tokens; /**< expected output tokens */
	/** Suspected of having crashed an upstream: goes to an isolation upstream, or else to the
	 * least loaded one. */
	bool crash_suspect;
	const uint64_t *tried; /**< upstreams of earlier attempts, excluded from this one */
	size_t tried_count;
};

enum dw_route_reason {
	DW_ROUTE_AFFINITY, /**< the upstream that has the prefix cached */
	DW_ROUTE_TWO_CHOICES,
	DW_ROUTE_ONLY, /**< only one candidate was left */
	DW_ROUTE_LAST_RESORT, /**< only suspect upstreams were left */
	DW_ROUTE_ISOLATED, /**< the request is suspected of crashing upstreams */
	DW_ROUTE_REASON_COUNT
};

struct dw_route_choice {
	size_t index; /**< into the candidates; see dw_route_choose() for its value on errors */
	enum dw_route_reason reason;
	uint32_t load; /**< estimated requests in flight there, for dw_load_sample */
	uint64_t expected_us; /**< time to completion, excluding the link cost */
};

/**
 * Hash of a conversation's leading messages, which are the same in all of its turns. @p salt makes
 * the hashes of different organisations differ. Never 0.
 */
uint64_t dw_route_affinity(uint64_t salt, const char *bytes, size_t len);

/**
 * Chooses one of @p count candidates.
 *
 * @return DW_OK; DW_OVERLOADED if candidates exist but none has a permit (out->index is then the
 * candidate for which to request one); DW_UNAVAILABLE if there is no untried candidate (out->index
 * is DW_ROUTE_NONE); DW_INVALID_ARGUMENT for too many or malformed candidates.
 */
enum dw_status dw_route_choose(const struct dw_route_policy *policy,
			       const struct dw_route_request *request,
			       const struct dw_route_candidate *candidates, size_t count,
			       struct dw_route_choice *out);

#ifdef __cplusplus
}
#endif

#endif
