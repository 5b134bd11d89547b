#include "wharf-replay/run.h"

#include <xxhash.h>

/* The version that a request gets as long as none is held. This is an independent implementation of
 * the rule of instance_choose_version(), to check that one. */
static uint32_t naive_choose_version(const struct trace *trace, const struct trace_request *request,
				     uint32_t model)
{
	uint64_t key = request->session ? request->session : request->at_us;
	uint32_t best = TRACE_VERSIONS_MAX;

	for (uint32_t i = 0; i < trace->version_count; i++) {
		uint64_t candidate_hash = XXH64(&key, sizeof(key), i) >> 11;
		uint64_t best_hash =
			best < TRACE_VERSIONS_MAX ? XXH64(&key, sizeof(key), best) >> 11 : 0;

		if (trace->versions[i].model != model)
			continue;
		if (best == TRACE_VERSIONS_MAX ||
		    (double)trace->versions[i].rollout_weight *
				    (9007199254740992.0 - (double)best_hash) >
			    (double)trace->versions[best].rollout_weight *
				    (9007199254740992.0 - (double)candidate_hash))
			best = i;
	}
	return best;
}

static bool result_differs(const struct trace *trace, const struct trace_request *request,
			   const struct result *result, const struct metrics *metrics)
{
	uint32_t allowed = trace->organisations[request->organisation].allowed_models;
	bool is_permitted = allowed >> request->model & 1;
	uint32_t model;

	if (is_permitted == (result->outcome == OUTCOME_FORBIDDEN))
		return true;
	if (result->outcome != OUTCOME_ANSWERED)
		return false;
	model = trace->versions[result->version].model;
	if (!(allowed >> model & 1) || model > request->model)
		return true;
	if (result->was_run_again)
		return request->session != 0;
	if (metrics->held_at_us && result->ended_us > metrics->held_at_us)
		return false;
	return result->version != naive_choose_version(trace, request, model);
}

size_t run_compare_with_naive(const struct trace *trace, const struct result *results,
			      const struct metrics *metrics, size_t *first)
{
	size_t count = 0;

	for (size_t i = 0; i < trace->request_count; i++) {
		if (!result_differs(trace, &trace->requests[i], &results[i], metrics))
			continue;
		if (!count++)
			*first = i;
	}
	return count;
}
