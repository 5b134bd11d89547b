#include <dragonflywharf/route.h>

#include <xxhash.h>

#define PERMILLE 1000
#define DEFAULT_AFFINITY_BOUND_PERMILLE 1500
#define SEED_SLOW_START 1
#define SEED_FIRST_CHOICE 2
#define SEED_SECOND_CHOICE 3

/* The lowest tier that has a candidate with a permit is used. */
enum tier {
	TIER_PREFERRED,
	TIER_LIMITED, /* at its limit, or withheld by its slow start */
	TIER_SUSPECT,
	TIER_COUNT
};

struct option {
	size_t index;
	uint32_t load;
	enum tier tier;
	uint64_t expected_us; /* if nothing is cached */
	uint64_t score_us; /* expected_us plus the link cost */
};

struct options {
	struct option list[DW_ROUTE_CANDIDATES_MAX];
	size_t count;
};

struct dw_route_policy dw_route_policy_default(void)
{
	struct dw_route_policy policy = {
		.instances = 1,
		.affinity_bound_permille = DEFAULT_AFFINITY_BOUND_PERMILLE,
		.link_cost_us = NULL,
	};

	return policy;
}

uint64_t dw_route_affinity(uint64_t salt, const char *bytes, size_t len)
{
	uint64_t hash = XXH64(bytes, len, salt);

	return hash ? hash : 1;
}

static uint64_t hash_with_seed(uint64_t value, uint64_t seed)
{
	return XXH64(&value, sizeof(value), seed);
}

static bool was_tried(const struct dw_route_request *request, uint64_t upstream_id)
{
	for (size_t i = 0; i < request->tried_count; i++) {
		if (request->tried[i] == upstream_id)
			return true;
	}
	return false;
}

static uint64_t link_cost_us(const struct dw_route_policy *policy, uint32_t from, uint32_t to)
{
	return policy->link_cost_us ? policy->link_cost_us[from * DW_ROUTE_DOMAINS_MAX + to] : 0;
}

/* During its slow start an upstream takes part in only a share of the selections. */
static bool is_withheld_by_slow_start(const struct dw_route_request *request,
				      const struct dw_route_candidate *candidate)
{
	uint32_t share = dw_slow_start_permille(&candidate->slow_start, request->now_us);

	if (share >= DW_SLOW_START_FULL_PERMILLE)
		return false;
	return hash_with_seed(request->random ^ candidate->upstream_id, SEED_SLOW_START) %
		       PERMILLE >=
	       share;
}

static enum tier find_tier(const struct dw_route_request *request,
			   const struct dw_route_candidate *candidate, uint32_t load)
{
	if (candidate->suspect)
		return TIER_SUSPECT;
	if (load >= candidate->limit || is_withheld_by_slow_start(request, candidate))
		return TIER_LIMITED;
	return TIER_PREFERRED;
}

static struct option make_option(const struct dw_route_policy *policy,
				 const struct dw_route_request *request,
				 const struct dw_route_candidate *candidates, size_t index)
{
	const struct dw_route_candidate *candidate = &candidates[index];
	struct option option = { .index = index };

	option.load =
		dw_upstream_load_estimate(candidate->load, request->now_us, policy->instances);
	option.tier = find_tier(request, candidate, option.load);
	option.expected_us = dw_upstream_load_expected_us(
		candidate->load, option.load, request->prompt_tokens, request->output_tokens);
	option.score_us = option.expected_us +
			  link_cost_us(policy, request->failure_domain, candidate->failure_domain);
	return option;
}

static bool is_eligible(const struct dw_route_request *request,
			const struct dw_route_candidate *candidate, bool isolation)
{
	return candidate->isolation == isolation && !was_tried(request, candidate->upstream_id);
}

static void collect_options(const struct dw_route_policy *policy,
			    const struct dw_route_request *request,
			    const struct dw_route_candidate *candidates, size_t count,
			    bool isolation, struct options *out)
{
	out->count = 0;
	for (size_t i = 0; i < count; i++) {
		if (is_eligible(request, &candidates[i], isolation))
			out->list[out->count++] = make_option(policy, request, candidates, i);
	}
}

/*
 * Keeps only the options that have a permit and are in the lowest tier among those that do.
 * Returns false if no option has a permit.
 */
static bool keep_lowest_tier(const struct dw_route_candidate *candidates, struct options *options)
{
	enum tier lowest = TIER_COUNT;
	size_t kept = 0;

	for (size_t i = 0; i < options->count; i++) {
		const struct option *option = &options->list[i];

		if (candidates[option->index].permits && option->tier < lowest)
			lowest = option->tier;
	}
	if (lowest == TIER_COUNT)
		return false;
	for (size_t i = 0; i < options->count; i++) {
		const struct option *option = &options->list[i];

		if (candidates[option->index].permits && option->tier == lowest)
			options->list[kept++] = *option;
	}
	options->count = kept;
	return true;
}

static const struct option *find_best(const struct options *options)
{
	const struct option *best = &options->list[0];

	for (size_t i = 1; i < options->count; i++) {
		const struct option *option = &options->list[i];

		if (option->tier < best->tier ||
		    (option->tier == best->tier && option->score_us < best->score_us))
			best = option;
	}
	return best;
}

static const struct option *find_least_loaded(const struct options *options)
{
	const struct option *best = &options->list[0];

	for (size_t i = 1; i < options->count; i++) {
		if (options->list[i].load < best->load)
			best = &options->list[i];
	}
	return best;
}

static const struct option *pick_of_two(const struct options *options, uint64_t random)
{
	size_t a = hash_with_seed(random, SEED_FIRST_CHOICE) % options->count;
	size_t b = hash_with_seed(random, SEED_SECOND_CHOICE) % (options->count - 1);

	if (b >= a)
		b++;
	return options->list[a].score_us <= options->list[b].score_us ? &options->list[a]
								      : &options->list[b];
}

static const struct option *find_affine(const struct dw_route_request *request,
					const struct dw_route_candidate *candidates,
					const struct options *options)
{
	const struct option *best = NULL;
	uint64_t best_weight = 0;

	for (size_t i = 0; i < options->count; i++) {
		const struct dw_route_candidate *candidate = &candidates[options->list[i].index];
		uint64_t weight = hash_with_seed(request->affinity, candidate->upstream_id);

		if (candidate->cold || (best && weight <= best_weight))
			continue;
		best = &options->list[i];
		best_weight = weight;
	}
	return best;
}

/* True if the option is below its limit and its (load + 1) / limit is at most the affinity bound
 * times the same ratio over all options together, with an allowance of one request. */
static bool is_within_bound(const struct dw_route_policy *policy,
			    const struct dw_route_candidate *candidates,
			    const struct options *options, const struct option *option)
{
	uint64_t limit = candidates[option->index].limit;
	uint64_t load_sum = 1;
	uint64_t limit_sum = 0;

	for (size_t i = 0; i < options->count; i++) {
		load_sum += options->list[i].load;
		limit_sum += candidates[options->list[i].index].limit;
	}
	return option->load < limit &&
	       (option->load + 1) * limit_sum * PERMILLE <=
		       load_sum * limit * policy->affinity_bound_permille + limit_sum * PERMILLE;
}

static void set_choice(struct dw_route_choice *out, const struct option *option,
		       enum dw_route_reason reason)
{
	out->index = option->index;
	out->reason = reason;
	out->load = option->load;
	out->expected_us = option->expected_us;
}

/* Expected time if the upstream has the prefix cached. */
static uint64_t expected_cached_us(const struct dw_route_request *request,
				   const struct dw_route_candidate *candidates,
				   const struct option *option)
{
	uint32_t cached = request->cached_tokens < request->prompt_tokens ? request->cached_tokens
									  : request->prompt_tokens;

	return dw_upstream_load_expected_us(candidates[option->index].load, option->load,
					    request->prompt_tokens - cached,
					    request->output_tokens);
}

static void set_affine_choice(const struct dw_route_request *request,
			      const struct dw_route_candidate *candidates,
			      const struct option *option, struct dw_route_choice *out)
{
	set_choice(out, option, DW_ROUTE_AFFINITY);
	out->expected_us = expected_cached_us(request, candidates, option);
}

static void choose_by_time(const struct dw_route_policy *policy,
			   const struct dw_route_request *request,
			   const struct dw_route_candidate *candidates,
			   const struct options *options, struct dw_route_choice *out)
{
	const struct option *option = NULL;
	const struct option *drawn;

	if (options->list[0].tier == TIER_SUSPECT) {
		set_choice(out, find_best(options), DW_ROUTE_LAST_RESORT);
		return;
	}
	if (options->count == 1) {
		set_choice(out, &options->list[0], DW_ROUTE_ONLY);
		return;
	}
	drawn = pick_of_two(options, request->random);
	if (request->affinity)
		option = find_affine(request, candidates, options);
	if (option && is_within_bound(policy, candidates, options, option) &&
	    expected_cached_us(request, candidates, option) <= drawn->expected_us)
		set_affine_choice(request, candidates, option, out);
	else
		set_choice(out, drawn, DW_ROUTE_TWO_CHOICES);
}

static enum dw_status check_arguments(const struct dw_route_request *request,
				      const struct dw_route_candidate *candidates, size_t count)
{
	if (count > DW_ROUTE_CANDIDATES_MAX || request->failure_domain >= DW_ROUTE_DOMAINS_MAX)
		return dw_fail(DW_INVALID_ARGUMENT,
			       "too many candidates (%zu, at most %d) or failure domain %u out of "
			       "range (below %d)",
			       count, DW_ROUTE_CANDIDATES_MAX, request->failure_domain,
			       DW_ROUTE_DOMAINS_MAX);
	for (size_t i = 0; i < count; i++) {
		if (candidates[i].failure_domain >= DW_ROUTE_DOMAINS_MAX || !candidates[i].load)
			return dw_fail(DW_INVALID_ARGUMENT,
				       "candidate %zu is malformed: bad failure domain %u (must be "
				       "below %d) or no load",
				       i, candidates[i].failure_domain, DW_ROUTE_DOMAINS_MAX);
	}
	return DW_OK;
}

static enum dw_status choose_for_suspect(const struct dw_route_policy *policy,
					 const struct dw_route_request *request,
					 const struct dw_route_candidate *candidates, size_t count,
					 struct options *options, struct dw_route_choice *out)
{
	collect_options(policy, request, candidates, count, true, options);
	if (!options->count)
		collect_options(policy, request, candidates, count, false, options);
	if (!options->count)
		return dw_fail(DW_UNAVAILABLE,
			       "no untried upstream is left for a suspected request");
	set_choice(out, find_least_loaded(options), DW_ROUTE_ISOLATED);
	if (!keep_lowest_tier(candidates, options))
		return dw_fail(DW_OVERLOADED, "no upstream has a permit for a suspected request");
	set_choice(out, find_least_loaded(options), DW_ROUTE_ISOLATED);
	return DW_OK;
}

enum dw_status dw_route_choose(const struct dw_route_policy *policy,
			       const struct dw_route_request *request,
			       const struct dw_route_candidate *candidates, size_t count,
			       struct dw_route_choice *out)
{
	struct options options;
	enum dw_status status = check_arguments(request, candidates, count);

	out->index = DW_ROUTE_NONE;
	if (status)
		return status;
	if (request->crash_suspect)
		return choose_for_suspect(policy, request, candidates, count, &options, out);
	collect_options(policy, request, candidates, count, false, &options);
	if (!options.count)
		return dw_fail(DW_UNAVAILABLE, "no untried upstream is left among %zu candidates",
			       count);
	set_choice(out, find_best(&options), DW_ROUTE_TWO_CHOICES);
	if (!keep_lowest_tier(candidates, &options))
		return dw_fail(DW_OVERLOADED, "none of %zu upstreams has a permit", count);
	choose_by_time(policy, request, candidates, &options, out);
	return DW_OK;
}
