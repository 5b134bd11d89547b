#include <dragonflywharf/route.h>

#include <xxhash.h>

#define PERMILLE 1000
#define DEFAULT_AFFINITY_BOUND_PERMILLE 1500
#define RANDOM_SEED_RAMP 1
#define RANDOM_SEED_FIRST 2
#define RANDOM_SEED_SECOND 3

/* The lower tier that has a candidate with a permit is taken. */
enum tier { TIER_USUAL, TIER_CROWDED, TIER_SUSPECT, TIER_COUNT };

struct option {
	size_t index;
	uint32_t load;
	enum tier tier;
	uint64_t expected_us; /* without the prefix cache */
	uint64_t score_us; /* with the link's cost */
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

static uint64_t mixed(uint64_t value, uint64_t seed)
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

/* A returning upstream takes part in as many draws as its share says. */
static bool ramp_withholds(const struct dw_route_request *request,
			   const struct dw_route_candidate *candidate)
{
	uint32_t share = dw_slow_start_permille(&candidate->slow_start, request->now_us);

	if (share >= DW_SLOW_START_FULL_PERMILLE)
		return false;
	return mixed(request->random ^ candidate->upstream_id, RANDOM_SEED_RAMP) % PERMILLE >=
	       share;
}

static enum tier tier_of(const struct dw_route_request *request,
			 const struct dw_route_candidate *candidate, uint32_t load)
{
	if (candidate->suspect)
		return TIER_SUSPECT;
	if (load >= candidate->limit || ramp_withholds(request, candidate))
		return TIER_CROWDED;
	return TIER_USUAL;
}

static struct option option_of(const struct dw_route_policy *policy,
			       const struct dw_route_request *request,
			       const struct dw_route_candidate *candidates, size_t index)
{
	const struct dw_route_candidate *candidate = &candidates[index];
	struct option option = { .index = index };

	option.load =
		dw_upstream_load_estimate(candidate->load, request->now_us, policy->instances);
	option.tier = tier_of(request, candidate, option.load);
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

static void collect(const struct dw_route_policy *policy, const struct dw_route_request *request,
		    const struct dw_route_candidate *candidates, size_t count, bool isolation,
		    struct options *out)
{
	out->count = 0;
	for (size_t i = 0; i < count; i++) {
		if (is_eligible(request, &candidates[i], isolation))
			out->list[out->count++] = option_of(policy, request, candidates, i);
	}
}

/* Keeps the options with a permit of the lowest tier that has one; false if none has a permit. */
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

static const struct option *least(const struct options *options)
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

static const struct option *least_loaded(const struct options *options)
{
	const struct option *best = &options->list[0];

	for (size_t i = 1; i < options->count; i++) {
		if (options->list[i].load < best->load)
			best = &options->list[i];
	}
	return best;
}

static const struct option *two_choices(const struct options *options, uint64_t random)
{
	size_t a = mixed(random, RANDOM_SEED_FIRST) % options->count;
	size_t b = mixed(random, RANDOM_SEED_SECOND) % (options->count - 1);

	if (b >= a)
		b++;
	return options->list[a].score_us <= options->list[b].score_us ? &options->list[a]
								      : &options->list[b];
}

static const struct option *affine(const struct dw_route_request *request,
				   const struct dw_route_candidate *candidates,
				   const struct options *options)
{
	const struct option *best = NULL;
	uint64_t best_weight = 0;

	for (size_t i = 0; i < options->count; i++) {
		const struct dw_route_candidate *candidate = &candidates[options->list[i].index];
		uint64_t weight = mixed(request->affinity, candidate->upstream_id);

		if (candidate->cold || (best && weight <= best_weight))
			continue;
		best = &options->list[i];
		best_weight = weight;
	}
	return best;
}

/* Bounded load: (load + 1) / limit of the option against the same over all options together. */
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

static void choose(struct dw_route_choice *out, const struct option *option,
		   enum dw_route_reason reason)
{
	out->index = option->index;
	out->reason = reason;
	out->load = option->load;
	out->expected_us = option->expected_us;
}

/* Expected time with the prefix in the upstream's cache. */
static uint64_t cached_us(const struct dw_route_request *request,
			  const struct dw_route_candidate *candidates, const struct option *option)
{
	uint32_t cached = request->cached_tokens < request->prompt_tokens ? request->cached_tokens
									  : request->prompt_tokens;

	return dw_upstream_load_expected_us(candidates[option->index].load, option->load,
					    request->prompt_tokens - cached,
					    request->output_tokens);
}

static void choose_affine(const struct dw_route_request *request,
			  const struct dw_route_candidate *candidates, const struct option *option,
			  struct dw_route_choice *out)
{
	choose(out, option, DW_ROUTE_AFFINITY);
	out->expected_us = cached_us(request, candidates, option);
}

static void choose_usual(const struct dw_route_policy *policy,
			 const struct dw_route_request *request,
			 const struct dw_route_candidate *candidates, const struct options *options,
			 struct dw_route_choice *out)
{
	const struct option *option = NULL;
	const struct option *drawn;

	if (options->list[0].tier == TIER_SUSPECT) {
		choose(out, least(options), DW_ROUTE_LAST_RESORT);
		return;
	}
	if (options->count == 1) {
		choose(out, &options->list[0], DW_ROUTE_ONLY);
		return;
	}
	drawn = two_choices(options, request->random);
	if (request->affinity)
		option = affine(request, candidates, options);
	if (option && is_within_bound(policy, candidates, options, option) &&
	    cached_us(request, candidates, option) <= drawn->expected_us)
		choose_affine(request, candidates, option, out);
	else
		choose(out, drawn, DW_ROUTE_TWO_CHOICES);
}

static enum dw_status check(const struct dw_route_request *request,
			    const struct dw_route_candidate *candidates, size_t count)
{
	if (count > DW_ROUTE_CANDIDATES_MAX || request->failure_domain >= DW_ROUTE_DOMAINS_MAX)
		return dw_fail(DW_INVALID_ARGUMENT, "%zu candidates, failure domain %u", count,
			       request->failure_domain);
	for (size_t i = 0; i < count; i++) {
		if (candidates[i].failure_domain >= DW_ROUTE_DOMAINS_MAX || !candidates[i].load)
			return dw_fail(DW_INVALID_ARGUMENT, "candidate %zu is malformed", i);
	}
	return DW_OK;
}

static enum dw_status choose_for_suspect(const struct dw_route_policy *policy,
					 const struct dw_route_request *request,
					 const struct dw_route_candidate *candidates, size_t count,
					 struct options *options, struct dw_route_choice *out)
{
	collect(policy, request, candidates, count, true, options);
	if (!options->count)
		collect(policy, request, candidates, count, false, options);
	if (!options->count)
		return dw_fail(DW_UNAVAILABLE, "no upstream is left for a suspected request");
	choose(out, least_loaded(options), DW_ROUTE_ISOLATED);
	if (!keep_lowest_tier(candidates, options))
		return dw_fail(DW_OVERLOADED, "no permit for a suspected request");
	choose(out, least_loaded(options), DW_ROUTE_ISOLATED);
	return DW_OK;
}

enum dw_status dw_route_choose(const struct dw_route_policy *policy,
			       const struct dw_route_request *request,
			       const struct dw_route_candidate *candidates, size_t count,
			       struct dw_route_choice *out)
{
	struct options options;
	enum dw_status status = check(request, candidates, count);

	out->index = DW_ROUTE_NONE;
	if (status)
		return status;
	if (request->suspect)
		return choose_for_suspect(policy, request, candidates, count, &options, out);
	collect(policy, request, candidates, count, false, &options);
	if (!options.count)
		return dw_fail(DW_UNAVAILABLE, "no upstream is left among %zu", count);
	choose(out, least(&options), DW_ROUTE_TWO_CHOICES);
	if (!keep_lowest_tier(candidates, &options))
		return dw_fail(DW_OVERLOADED, "none of %zu upstreams has a permit", count);
	choose_usual(policy, request, candidates, &options, out);
	return DW_OK;
}
