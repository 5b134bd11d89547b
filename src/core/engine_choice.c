#include <dragonflywharf/engine_choice.h>

#include <stdlib.h>
#include <string.h>

#include <dragonflywharf/rendezvous.h>

#define US_PER_MS UINT64_C(1000)
#define US_PER_S UINT64_C(1000000)

/* Speed of a mid-sized model, used until responses have been measured. */
#define DEFAULT_US_PER_1000_TOKENS 40000
/* Estimated service time of a request without a prompt. */
#define PLAIN_SERVICE_US (50 * US_PER_MS)
/* Cost of a request to another failure domain: the round trip, and per byte of the body. */
#define CROSS_DOMAIN_US (8 * US_PER_MS)
#define CROSS_DOMAIN_US_PER_BODY_BYTE 1
/* Assumed uncached prompt tokens of each request ahead in the queue. */
#define QUEUED_REQUEST_TOKENS 4000
/* The weight of a load report decreases linearly to zero over this time. */
#define LOAD_MAX_AGE_US (3 * US_PER_S)
/* Added to the cost of an engine that fails all requests; proportionally less otherwise. */
#define FAILURE_COST_US (2 * US_PER_S)
/* Probability, in thousandths, that a part's home engine has it cached. */
#define HOME_CACHED_PERMILLE 800
/* Up to this ratio of actual to expected time, an engine isn't considered slow. */
#define LATENCY_RATIO_IGNORED_PERMILLE 2000
/*
 * Weight of one sample in the learned speed, in thousandths. Slower samples weigh less, since they
 * probably include queueing time.
 */
#define SPEED_FASTER_WEIGHT_PERMILLE 300
#define SPEED_SLOWER_WEIGHT_PERMILLE 20
#define SPEED_MIN_TOKENS 400
/* Random cost that breaks ties, so that instances don't all pick the same engine. */
#define RANDOM_SPREAD_US (5 * US_PER_MS)
/* Share of a cold engine's rate that is assigned when instances are drawn by hash. */
#define COLD_ASSIGNED_PERMILLE 550

/* Share of the engines reserved for long answers; exact up to this number of engines. */
#define LONG_ANSWER_ENGINES_PERMILLE 110
#define LONG_ANSWER_EXACT_ENGINES_MAX 24
#define LONG_ANSWER_KEY UINT64_C(0xc2b2ae3d27d4eb4f)
/* Cost of sending a long prompt to a reserved engine, or a long answer to another engine. */
#define LONG_PROMPT_MISMATCH_US (60 * US_PER_MS)
#define LONG_ANSWER_MISMATCH_US (150 * US_PER_MS)
/* The same where requests are placed by cost. */
#define LONG_ANSWER_ENGINES_BY_COST_PERMILLE 130
#define MISMATCH_BY_COST_US (400 * US_PER_MS)
/* With this many engines or fewer, each instance hears of all of them often enough to count requests. */
#define PLACED_BY_COST_MIN 24
/* Where requests are placed by cost, a long prompt is sent to its home engine or to one of about this
 * many drawn at random: instances that act on the same news would otherwise all choose the same engine. */
#define SAMPLED_ENGINES 3
/* An engine that wasn't drawn is used only if the others are expected to be worse by this. */
#define NOT_SAMPLED_US (3 * US_PER_S)
#define SAMPLE_KEY UINT64_C(0xd6e8feb86659fd93)
/* Rendezvous key that selects the engines of a subset. */
#define SUBSET_KEY UINT64_C(0x9e3779b97f4a7c15)

static const char *const result_names[DW_CHOICE_RESULT_COUNT] = {
	[DW_CHOICE_FOUND] = "found",
	[DW_CHOICE_NO_ENGINE] = "no_engine",
	[DW_CHOICE_ALL_TRIED] = "all_tried",
	[DW_CHOICE_ALL_EVACUATED] = "all_evacuated",
	[DW_CHOICE_COLD_LIMIT] = "cold_limit",
	[DW_CHOICE_PAUSED] = "paused",
	[DW_CHOICE_FULL] = "full",
	[DW_CHOICE_LAST_ENGINE] = "last_engine",
	[DW_CHOICE_ALL_EJECTED] = "all_ejected",
	[DW_CHOICE_BESIDE_SUSPECTS] = "beside_suspects",
};

const char *dw_choice_result_name(enum dw_choice_result result)
{
	return result < DW_CHOICE_RESULT_COUNT ? result_names[result] : "unknown";
}

bool dw_domain_list_contains(const struct dw_domain_list *list, const char *name)
{
	for (uint32_t i = 0; list && i < list->count; i++) {
		if (strcmp(list->names[i], name) == 0)
			return true;
	}
	return false;
}

static void add_domain(struct dw_domain_list *list, const char *name)
{
	if (list->count == list->capacity) {
		list->capacity = list->capacity ? 2 * list->capacity : 8;
		list->names = realloc(list->names, list->capacity * sizeof(*list->names));
		if (!list->names)
			abort();
	}
	memcpy(list->names[list->count++], name, strlen(name) + 1);
}

bool dw_domain_list_set(struct dw_domain_list *list, const char *name, bool is_in)
{
	uint32_t at = 0;

	while (at < list->count && strcmp(list->names[at], name) != 0)
		at++;
	if (is_in == (at < list->count) || strlen(name) >= sizeof(*list->names))
		return false;
	if (is_in) {
		add_domain(list, name);
		return true;
	}
	list->count--;
	memmove(list->names[at], list->names[list->count], sizeof(*list->names));
	return true;
}

void dw_domain_list_clear(struct dw_domain_list *list)
{
	free(list->names);
	*list = (struct dw_domain_list){ 0 };
}

void dw_model_speed_learn(struct dw_model_speed *speed, uint32_t uncached_tokens, uint64_t taken_us)
{
	uint64_t sample;
	uint64_t weight;

	if (uncached_tokens < SPEED_MIN_TOKENS)
		return;
	sample = taken_us * 1000 / uncached_tokens;
	if (sample > US_PER_S)
		sample = US_PER_S;
	if (speed->us_per_1000_tokens == 0)
		speed->us_per_1000_tokens = DEFAULT_US_PER_1000_TOKENS;
	weight = sample < speed->us_per_1000_tokens ? SPEED_FASTER_WEIGHT_PERMILLE
						    : SPEED_SLOWER_WEIGHT_PERMILLE;
	speed->us_per_1000_tokens =
		(uint32_t)((speed->us_per_1000_tokens * (1000 - weight) + sample * weight) / 1000);
}

static bool was_tried(const struct dw_choice_request *request, const struct dw_engine *engine)
{
	for (uint32_t i = 0; i < request->tried_count; i++) {
		if (strcmp(request->tried[i], engine->entry.id) == 0)
			return true;
	}
	return false;
}

static bool is_match(const struct dw_choice_request *request, const struct dw_engine *engine)
{
	const char *version = engine->entry.version;

	return dw_engine_is_usable(engine, request->now_us) &&
	       strcmp(engine->entry.service, request->service) == 0 &&
	       (!request->model || dw_engine_has_model(engine, request->model)) &&
	       (!request->required_version || strcmp(version, request->required_version) == 0) &&
	       (!request->excluded_version || strcmp(version, request->excluded_version) != 0);
}

static uint64_t us_per_1000_tokens(const struct dw_choice_request *request)
{
	if (request->speed && request->speed->us_per_1000_tokens > 0)
		return request->speed->us_per_1000_tokens;
	return DEFAULT_US_PER_1000_TOKENS;
}

/* Estimated number of requests ahead of this one, in thousandths. */
static uint64_t requests_ahead_permille(const struct dw_choice_request *request,
					const struct dw_engine *engine)
{
	const struct dw_engine_load *load = &engine->load;
	uint64_t age_us = request->now_us - load->reported_at_us;
	uint64_t reported = 0;
	uint64_t own = engine->awaiting_response;

	if (load->reported_at_us > 0 && age_us < LOAD_MAX_AGE_US) {
		uint64_t ahead = load->waiting;

		if (!request->prompt && load->running >= load->slots)
			ahead += load->running - load->slots + 1;
		reported = ahead * 1000 * (LOAD_MAX_AGE_US - age_us) / LOAD_MAX_AGE_US;
	}
	return reported > own * 1000 ? reported : own * 1000;
}

/* Cached tokens assumed at the home engine: it probably has the parts that other requests share. */
static uint32_t home_cached_tokens(const struct dw_choice_request *request, uint32_t cached)
{
	const struct dw_prompt *prompt = request->prompt;
	uint32_t shared = 0;

	for (uint32_t i = 0; i + 1 < prompt->part_count; i++)
		shared += prompt->parts[i].tokens;
	shared = (uint32_t)((uint64_t)shared * HOME_CACHED_PERMILLE / 1000);
	return shared > cached ? shared : cached;
}

static uint32_t uncached_tokens(const struct dw_choice_request *request, struct dw_engine *engine,
				bool is_home)
{
	const struct dw_prompt *prompt = request->prompt;
	uint32_t cached;

	if (!engine->cache)
		engine->cache = dw_prefix_cache_new(request->kv_cache_tokens);
	cached =
		dw_prefix_cache_cached_tokens(engine->cache, dw_model_hash(request->model), prompt);
	if (is_home)
		cached = home_cached_tokens(request, cached);
	return prompt->tokens_in > cached ? prompt->tokens_in - cached : 0;
}

static uint64_t scale_by_latency_ratio(const struct dw_engine *engine, uint64_t expected_us)
{
	if (engine->latency_ratio_permille <= LATENCY_RATIO_IGNORED_PERMILLE)
		return expected_us;
	return expected_us * engine->latency_ratio_permille / 1000;
}

static uint64_t work_us(const struct dw_choice_request *request, uint32_t tokens)
{
	return tokens * us_per_1000_tokens(request) / 1000;
}

static uint64_t nominal_us(const struct dw_choice_request *request, struct dw_engine *engine,
			   bool is_home, uint32_t *uncached)
{
	uint64_t per_1000 = us_per_1000_tokens(request);
	uint64_t ahead;
	uint64_t us;

	if (!request->prompt) {
		*uncached = 0;
		ahead = requests_ahead_permille(request, engine);
		us = PLAIN_SERVICE_US + ahead * PLAIN_SERVICE_US / 1000;
	} else if (request->work_stats) {
		*uncached = uncached_tokens(request, engine, is_home);
		us = work_us(request, *uncached) +
		     dw_expected_cost_at(request->work_stats, engine, 0, request->now_us).ahead_us;
	} else {
		*uncached = uncached_tokens(request, engine, is_home);
		ahead = requests_ahead_permille(request, engine);
		us = (*uncached + ahead * QUEUED_REQUEST_TOKENS / 1000) * per_1000 / 1000;
	}
	return us;
}

/* Costs besides the expected time: failures, distance and the tie breaker. */
static uint64_t extra_cost_us(const struct dw_choice_request *request,
			      const struct dw_engine *engine)
{
	uint64_t cost = (uint64_t)engine->failure_permille * FAILURE_COST_US / 1000;

	if (strcmp(engine->entry.failure_domain, request->failure_domain) != 0)
		cost += CROSS_DOMAIN_US + request->body_bytes * CROSS_DOMAIN_US_PER_BODY_BYTE;
	cost += dw_rendezvous_score(request->random, engine->id_hash) % RANDOM_SPREAD_US;
	return cost;
}

/*
 * The engines reserved for long answers, the same ones for all instances. With few engines their
 * number is exact; with many, a hash selects them and the number is approximate.
 */
struct long_answer_engines {
	uint64_t bound; /**< engines with a greater score are reserved */
};

static uint64_t long_answer_score(const struct dw_engine *engine)
{
	return dw_rendezvous_score(LONG_ANSWER_KEY, engine->id_hash);
}

static struct long_answer_engines find_long_answer_engines(struct dw_engine_set *set,
							   const struct dw_choice_request *request,
							   uint32_t matching)
{
	struct long_answer_engines group = { .bound = UINT64_MAX };
	uint32_t permille;
	uint32_t wanted;

	if (!request->prompt)
		return group;
	permille = request->work_stats ? LONG_ANSWER_ENGINES_BY_COST_PERMILLE
				       : LONG_ANSWER_ENGINES_PERMILLE;
	wanted = (matching * permille + 500) / 1000;
	if (matching > LONG_ANSWER_EXACT_ENGINES_MAX) {
		group.bound = UINT64_MAX - UINT64_MAX / 1000 * permille;
		return group;
	}
	for (uint32_t taken = 0; taken < wanted; taken++) {
		uint64_t best = 0;

		for (struct dw_engine *it = dw_engine_set_first(set); it; it = it->next) {
			uint64_t score = long_answer_score(it);

			if (is_match(request, it) && score < group.bound && score > best)
				best = score;
		}
		group.bound = best;
	}
	if (wanted > 0)
		group.bound--;
	return group;
}

static bool is_in_matching_group(const struct long_answer_engines *group,
				 const struct dw_choice_request *request,
				 const struct dw_engine *engine)
{
	return !request->prompt ||
	       (long_answer_score(engine) > group->bound) == request->is_long_answer;
}

/* The engine that requests with the same shared parts prefer; NULL if the prompt shares no part. */
static const struct dw_engine *find_home(struct dw_engine_set *set,
					 const struct dw_choice_request *request,
					 const struct long_answer_engines *group)
{
	const struct dw_engine *home = NULL;
	uint64_t best = 0;
	uint64_t key;

	if (!request->prompt || request->prompt->part_count < 2)
		return NULL;
	key = request->prompt->parts[request->prompt->part_count - 2].id;
	for (struct dw_engine *it = dw_engine_set_first(set); it; it = it->next) {
		uint64_t score;

		if (!is_match(request, it) ||
		    dw_domain_list_contains(request->evacuated, it->entry.failure_domain))
			continue;
		score = dw_rendezvous_score(key,
					    dw_rendezvous_key(it->entry.id, strlen(it->entry.id)));
		if (!home || score > best) {
			home = it;
			best = score;
		}
	}
	return home;
}

static uint64_t subset_score(const struct dw_engine *engine)
{
	return dw_rendezvous_score(SUBSET_KEY, engine->id_hash);
}

/* The lowest score with which an engine belongs to the subset. */
static uint64_t subset_bound(struct dw_engine_set *set, const struct dw_choice_request *request)
{
	uint64_t bound = UINT64_MAX;
	uint32_t matching = 0;
	uint32_t wanted;

	if (request->subset_permille == 0 || request->subset_permille >= 1000)
		return 0;
	for (struct dw_engine *it = dw_engine_set_first(set); it; it = it->next)
		matching += is_match(request, it) &&
			    !dw_domain_list_contains(request->evacuated, it->entry.failure_domain);
	wanted = matching * request->subset_permille / 1000;
	if (wanted == 0)
		wanted = 1;
	for (uint32_t taken = 0; taken < wanted; taken++) {
		uint64_t best = 0;

		for (struct dw_engine *it = dw_engine_set_first(set); it; it = it->next) {
			uint64_t score = subset_score(it);

			if (is_match(request, it) && score < bound && score > best &&
			    !dw_domain_list_contains(request->evacuated, it->entry.failure_domain))
				best = score;
		}
		bound = best;
	}
	return bound;
}

/* An engine that may serve the request. */
struct candidate {
	struct dw_engine *engine;
	bool is_home;
	bool is_in_group; /* the group of engines for requests of this kind */
	bool is_sampled;
};

struct ranking {
	struct dw_choice_selection best;
	uint64_t best_cost_us;
	struct dw_choice_selection ejected; /**< the best of the ejected engines */
	uint64_t ejected_cost_us;
	enum dw_choice_result exclusion; /**< why no engine was ranked */
};

static uint64_t mismatch_us(const struct dw_choice_request *request)
{
	if (request->work_stats)
		return MISMATCH_BY_COST_US;
	return request->is_long_answer ? LONG_ANSWER_MISMATCH_US : LONG_PROMPT_MISMATCH_US;
}

/* Whether the engine is among those drawn for this request. */
static bool is_sampled(const struct dw_choice_request *request, const struct dw_engine *engine,
		       uint32_t matching)
{
	uint64_t score = dw_rendezvous_score(request->random ^ SAMPLE_KEY, engine->id_hash);

	if (request->is_long_answer || matching <= SAMPLED_ENGINES)
		return true;
	return (score >> 32) % matching < SAMPLED_ENGINES;
}

/* Adds the work at the engine to the selection. @return what it costs, besides the time to the first byte */
static uint64_t add_work(const struct dw_choice_request *request, const struct candidate *candidate,
			 struct dw_choice_selection *selection)
{
	const struct dw_engine *engine = candidate->engine;
	const struct dw_engine_load *load = &engine->load;
	struct dw_expected_cost cost;
	uint64_t pace = dw_expected_pace_percent(load, request->now_us);
	uint64_t us;

	selection->work_us = work_us(request, selection->uncached_tokens);
	selection->running = dw_expected_running_permille(load, request->now_us) / 1000;
	cost = dw_expected_cost_at(request->work_stats, engine, selection->work_us,
				   request->now_us);
	us = cost.beside_us + cost.others_us;
	if (pace > 100)
		us += selection->nominal_us * (pace - 100) / 100;
	return candidate->is_home || candidate->is_sampled ? us : us + NOT_SAMPLED_US;
}

static void rank(struct ranking *ranking, const struct dw_choice_request *request,
		 const struct candidate *candidate)
{
	struct dw_engine *engine = candidate->engine;
	struct dw_choice_selection selection = { .engine = engine };
	uint64_t cost;

	selection.nominal_us =
		nominal_us(request, engine, candidate->is_home, &selection.uncached_tokens);
	selection.expected_us = scale_by_latency_ratio(engine, selection.nominal_us);
	cost = selection.expected_us + extra_cost_us(request, engine);
	if (!candidate->is_in_group)
		cost += mismatch_us(request);
	if (request->prompt && request->work_stats)
		cost += add_work(request, candidate, &selection);
	if (engine->ejected_until_us > request->now_us) {
		if (!ranking->ejected.engine || cost < ranking->ejected_cost_us) {
			ranking->ejected = selection;
			ranking->ejected_cost_us = cost;
		}
		return;
	}
	if (!ranking->best.engine || cost < ranking->best_cost_us) {
		ranking->best = selection;
		ranking->best_cost_us = cost;
	}
}

/*
 * If the rate is lower than one request per second and instance, a hash selects the instances that
 * may send one per second. Their number varies, so only a share of the rate is assigned.
 */
uint32_t dw_cold_rate_limit_per_instance(const struct dw_cold_rate_limit *limit,
					 const char *engine_id)
{
	uint32_t instances = limit->instances > 0 ? limit->instances : 1;
	uint64_t drawn;

	if (limit->total_per_s >= instances)
		return limit->total_per_s / instances;
	drawn = dw_rendezvous_score(limit->instance_hash,
				    dw_rendezvous_key(engine_id, strlen(engine_id)));
	return drawn % instances < limit->total_per_s * COLD_ASSIGNED_PERMILLE / 1000 ? 1 : 0;
}

static bool is_cold_rate_exhausted(const struct dw_choice_request *request,
				   const struct dw_engine *engine)
{
	return request->cold_rate_limit.is_limited && dw_engine_is_cold(engine, request->now_us) &&
	       dw_engine_sends_last_second(engine, request->now_us) >=
		       dw_cold_rate_limit_per_instance(&request->cold_rate_limit, engine->entry.id);
}

/* Why a matching engine can't be chosen; FOUND if it can. */
static enum dw_choice_result find_exclusion(const struct dw_choice_request *request,
					    const struct dw_engine *engine)
{
	if (dw_domain_list_contains(request->evacuated, engine->entry.failure_domain))
		return DW_CHOICE_ALL_EVACUATED;
	if (was_tried(request, engine))
		return DW_CHOICE_ALL_TRIED;
	if (dw_engine_is_paused(engine, request->now_us))
		return DW_CHOICE_PAUSED;
	if (!dw_engine_has_room(engine, request->now_us))
		return DW_CHOICE_FULL;
	if (is_cold_rate_exhausted(request, engine))
		return DW_CHOICE_COLD_LIMIT;
	return DW_CHOICE_FOUND;
}

/* Whether another engine of the service is known besides @p engine, in whatever state. */
static bool has_other_engine(struct dw_engine_set *set, const struct dw_choice_request *request,
			     const struct dw_engine *engine)
{
	for (struct dw_engine *it = dw_engine_set_first(set); it; it = it->next) {
		if (it != engine && strcmp(it->entry.service, request->service) == 0)
			return true;
	}
	return false;
}

/* The engines that may run a request that may crash its engine. */
struct suspect_candidates {
	struct dw_engine *first; /* by the hash; NULL: none */
	uint64_t first_score;
	uint32_t in_use; /* engines that other requests can use */
	enum dw_choice_result exclusion;
};

static void consider_for_suspect(struct suspect_candidates *candidates,
				 const struct dw_choice_request *request, struct dw_engine *engine)
{
	enum dw_choice_result exclusion = find_exclusion(request, engine);
	uint64_t score = dw_rendezvous_score(request->suspect_key, engine->id_hash);

	if (exclusion == DW_CHOICE_ALL_EVACUATED || engine->ejected_until_us > request->now_us)
		return;
	if (exclusion == DW_CHOICE_PAUSED) {
		candidates->exclusion = exclusion;
		return;
	}
	candidates->in_use++;
	if (exclusion == DW_CHOICE_FOUND && engine->suspects_in_flight > 0 &&
	    engine->suspect_key != request->suspect_key && !request->may_run_beside_suspects)
		exclusion = DW_CHOICE_BESIDE_SUSPECTS;
	if (exclusion != DW_CHOICE_FOUND) {
		if (exclusion > candidates->exclusion)
			candidates->exclusion = exclusion;
	} else if (!candidates->first || score > candidates->first_score) {
		candidates->first = engine;
		candidates->first_score = score;
	}
}

static enum dw_choice_result choose_for_suspect(struct dw_engine_set *set,
						const struct dw_choice_request *request,
						struct dw_choice_selection *selection)
{
	struct suspect_candidates candidates = { .exclusion = DW_CHOICE_NO_ENGINE };

	for (struct dw_engine *it = dw_engine_set_first(set); it; it = it->next) {
		if (!is_match(request, it))
			continue;
		if (candidates.exclusion == DW_CHOICE_NO_ENGINE)
			candidates.exclusion = DW_CHOICE_ALL_EJECTED;
		consider_for_suspect(&candidates, request, it);
	}
	if (!candidates.first)
		return candidates.exclusion;
	if (candidates.in_use == 1 && has_other_engine(set, request, candidates.first))
		return DW_CHOICE_LAST_ENGINE;
	*selection = (struct dw_choice_selection){ .engine = candidates.first };
	selection->nominal_us =
		nominal_us(request, candidates.first, false, &selection->uncached_tokens);
	selection->expected_us = scale_by_latency_ratio(candidates.first, selection->nominal_us);
	return DW_CHOICE_FOUND;
}

static uint32_t count_matching(struct dw_engine_set *set, const struct dw_choice_request *request)
{
	uint32_t count = 0;

	for (struct dw_engine *it = dw_engine_set_first(set); it; it = it->next)
		count += is_match(request, it);
	return count;
}

static enum dw_choice_result choose_by_rank(struct dw_engine_set *set,
					    const struct dw_choice_request *request,
					    uint32_t matching,
					    struct dw_choice_selection *selection)
{
	struct ranking ranking = { .exclusion = DW_CHOICE_NO_ENGINE };
	struct long_answer_engines group = find_long_answer_engines(set, request, matching);
	const struct dw_engine *home = find_home(set, request, &group);
	uint64_t bound = subset_bound(set, request);
	enum dw_choice_result exclusion;

	for (struct dw_engine *it = dw_engine_set_first(set); it; it = it->next) {
		if (!is_match(request, it) || (bound > 0 && subset_score(it) < bound))
			continue;
		exclusion = find_exclusion(request, it);
		if (exclusion == DW_CHOICE_FOUND)
			rank(&ranking, request,
			     &(struct candidate){
				     .engine = it,
				     .is_home = it == home,
				     .is_in_group = is_in_matching_group(&group, request, it),
				     .is_sampled = is_sampled(request, it, matching),
			     });
		else if (exclusion > ranking.exclusion)
			ranking.exclusion = exclusion;
	}
	if (!ranking.best.engine)
		ranking.best = ranking.ejected;
	if (!ranking.best.engine)
		return ranking.exclusion;
	*selection = ranking.best;
	return DW_CHOICE_FOUND;
}

enum dw_choice_result dw_engine_choose(struct dw_engine_set *set,
				       const struct dw_choice_request *request,
				       struct dw_choice_selection *selection)
{
	struct dw_choice_request by_count = *request;
	uint32_t matching = count_matching(set, request);

	if (request->suspect_key != 0)
		return choose_for_suspect(set, request, selection);
	if (matching > PLACED_BY_COST_MIN)
		return choose_by_rank(set, request, matching, selection);
	by_count.work_stats = NULL;
	return choose_by_rank(set, &by_count, matching, selection);
}

uint64_t dw_engine_pause_end_us(struct dw_engine_set *set, const struct dw_choice_request *request)
{
	uint64_t end_us = UINT64_MAX;

	for (struct dw_engine *it = dw_engine_set_first(set); it; it = it->next) {
		if (is_match(request, it) && find_exclusion(request, it) == DW_CHOICE_PAUSED &&
		    it->paused_until_us < end_us)
			end_us = it->paused_until_us;
	}
	return end_us;
}

static uint32_t count_engines(struct dw_engine_set *set, const struct dw_choice_request *request)
{
	uint32_t count = 0;

	for (struct dw_engine *it = dw_engine_set_first(set); it; it = it->next)
		count += strcmp(it->entry.service, request->service) == 0;
	return count;
}

bool dw_choice_may_run_anywhere(struct dw_engine_set *set, const struct dw_choice_request *request,
				enum dw_choice_suspicion suspicion, enum dw_choice_result result)
{
	switch (suspicion) {
	case DW_CHOICE_WATCHED:
		return result != DW_CHOICE_LAST_ENGINE || count_engines(set, request) <= 2;
	case DW_CHOICE_SPARING:
		return result != DW_CHOICE_LAST_ENGINE;
	case DW_CHOICE_DOUBTFUL:
	case DW_CHOICE_STRICT:
		break;
	}
	return false;
}
