#include <dragonflywharf/engine_choice.h>

#include <string.h>

#include <dragonflywharf/rendezvous.h>

#define US_PER_MS UINT64_C(1000)
#define US_PER_S UINT64_C(1000000)

/* Until answers tell better: a mid-sized model. */
#define DEFAULT_US_PER_1000_TOKENS 40000
/* Time of a plain request that waits or runs before this one, and of a plain answer. */
#define PLAIN_WORK_US (50 * US_PER_MS)
/* Round trip to another failure domain, and the worth of a byte of the body that goes there. */
#define CROSS_DOMAIN_US (8 * US_PER_MS)
#define CROSS_DOMAIN_US_PER_BYTE 1
/* Tokens that a request ahead in the queue still has to read, where nothing better is known. */
#define QUEUED_TOKENS 4000
/* A load report loses its weight over this time. */
#define LOAD_TRUSTED_US (3 * US_PER_S)
/* An engine that fails all requests counts as this much slower. */
#define FAILURE_COST_US (2 * US_PER_S)
/* A part at its home is held with this probability, in thousandths. */
#define HOME_HOLDS_PERMILLE 800
/* Below this much over its expected time an engine counts as no slower than the others. */
#define SLOWNESS_IGNORED_PERMILLE 2000
/* Weight of one answer in the learnt speed, in thousandths; a slower sample tells of a queue. */
#define SPEED_FASTER_WEIGHT 300
#define SPEED_SLOWER_WEIGHT 20
#define SPEED_TOKENS_MIN 400
/* Ties within this much are broken at random, so that instances don't move together. */
#define RANDOM_SPREAD_US (5 * US_PER_MS)
/* Part of a cold engine's rate that is dealt out by lot. */
#define COLD_DEALT_PERMILLE 550

/* Part of the engines that are for long answers, exact up to so many engines. */
#define ANSWER_ENGINES_PERMILLE 110
#define ANSWER_ENGINES_EXACT 24
#define ANSWER_KEY UINT64_C(0xc2b2ae3d27d4eb4f)
/* What it costs to send a long prompt to them, or a long answer elsewhere. */
#define LONG_PROMPT_THERE_US (60 * US_PER_MS)
#define LONG_ANSWER_ELSEWHERE_US (150 * US_PER_MS)
/* Key under which the engines of a subset are drawn. */
#define SUBSET_KEY UINT64_C(0x9e3779b97f4a7c15)

static const char *const result_names[DW_CHOICE_RESULT_COUNT] = {
	[DW_CHOICE_FOUND] = "found",	       [DW_CHOICE_NO_ENGINE] = "no_engine",
	[DW_CHOICE_ALL_TRIED] = "all_tried",   [DW_CHOICE_ALL_EVACUATED] = "all_evacuated",
	[DW_CHOICE_COLD_LIMIT] = "cold_limit",
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

uint64_t dw_model_hash(const char *model)
{
	return model ? dw_rendezvous_key(model, strlen(model)) : 0;
}

void dw_model_speed_learn(struct dw_model_speed *speed, uint32_t uncached_tokens, uint64_t taken_us)
{
	uint64_t sample;
	uint64_t weight;

	if (uncached_tokens < SPEED_TOKENS_MIN)
		return;
	sample = taken_us * 1000 / uncached_tokens;
	if (sample > US_PER_S)
		sample = US_PER_S;
	if (speed->us_per_1000_tokens == 0)
		speed->us_per_1000_tokens = DEFAULT_US_PER_1000_TOKENS;
	weight = sample < speed->us_per_1000_tokens ? SPEED_FASTER_WEIGHT : SPEED_SLOWER_WEIGHT;
	speed->us_per_1000_tokens =
		(uint32_t)((speed->us_per_1000_tokens * (1000 - weight) + sample * weight) / 1000);
}

static bool was_tried(const struct dw_choice_request *choice, const struct dw_engine *engine)
{
	for (uint32_t i = 0; i < choice->tried_count; i++) {
		if (strcmp(choice->tried[i], engine->entry.id) == 0)
			return true;
	}
	return false;
}

static bool is_fit(const struct dw_choice_request *choice, const struct dw_engine *engine)
{
	const char *version = engine->entry.version;

	return dw_engine_is_usable(engine, choice->now_us) &&
	       strcmp(engine->entry.service, choice->service) == 0 &&
	       (!choice->model || dw_engine_has_model(engine, choice->model)) &&
	       (!choice->required_version || strcmp(version, choice->required_version) == 0) &&
	       (!choice->excluded_version || strcmp(version, choice->excluded_version) != 0);
}

static uint64_t us_per_1000_tokens(const struct dw_choice_request *choice)
{
	if (choice->speed && choice->speed->us_per_1000_tokens > 0)
		return choice->speed->us_per_1000_tokens;
	return DEFAULT_US_PER_1000_TOKENS;
}

/* Requests that this one would wait for, in thousandths. */
static uint64_t waiting_permille(const struct dw_choice_request *choice,
				 const struct dw_engine *engine)
{
	const struct dw_engine_load *load = &engine->load;
	uint64_t age_us = choice->now_us - load->reported_at_us;
	uint64_t told = 0;
	uint64_t own = engine->awaiting_response;

	if (load->reported_at_us > 0 && age_us < LOAD_TRUSTED_US) {
		uint64_t ahead = load->waiting;

		if (!choice->prompt && load->running >= load->slots)
			ahead += load->running - load->slots + 1;
		told = ahead * 1000 * (LOAD_TRUSTED_US - age_us) / LOAD_TRUSTED_US;
	}
	return told > own * 1000 ? told : own * 1000;
}

static uint32_t home_tokens(const struct dw_choice_request *choice, uint32_t held)
{
	const struct dw_prompt *prompt = choice->prompt;
	uint32_t shared = 0;

	for (uint32_t i = 0; i + 1 < prompt->part_count; i++)
		shared += prompt->parts[i].tokens;
	shared = (uint32_t)((uint64_t)shared * HOME_HOLDS_PERMILLE / 1000);
	return shared > held ? shared : held;
}

static uint32_t uncached_tokens(const struct dw_choice_request *choice, struct dw_engine *engine,
				bool is_home)
{
	const struct dw_prompt *prompt = choice->prompt;
	uint32_t held;

	if (!engine->cache)
		engine->cache = dw_prefix_cache_new(choice->kv_cache_tokens);
	held = dw_prefix_cache_cached_tokens(engine->cache, dw_model_hash(choice->model), prompt);
	if (is_home)
		held = home_tokens(choice, held);
	return prompt->tokens_in > held ? prompt->tokens_in - held : 0;
}

static uint64_t with_slowness(const struct dw_engine *engine, uint64_t expected_us)
{
	if (engine->latency_ratio_permille <= SLOWNESS_IGNORED_PERMILLE)
		return expected_us;
	return expected_us * engine->latency_ratio_permille / 1000;
}

static uint64_t expected_us(const struct dw_choice_request *choice, struct dw_engine *engine,
			    bool is_home, uint32_t *uncached)
{
	uint64_t ahead = waiting_permille(choice, engine);
	uint64_t per_1000 = us_per_1000_tokens(choice);
	uint64_t us;

	if (!choice->prompt) {
		*uncached = 0;
		us = PLAIN_WORK_US + ahead * PLAIN_WORK_US / 1000;
	} else {
		*uncached = uncached_tokens(choice, engine, is_home);
		us = (*uncached + ahead * QUEUED_TOKENS / 1000) * per_1000 / 1000;
	}
	return with_slowness(engine, us);
}

/* What the choice weighs besides the time. */
static uint64_t extra_cost_us(const struct dw_choice_request *choice,
			      const struct dw_engine *engine)
{
	uint64_t cost = (uint64_t)engine->failure_permille * FAILURE_COST_US / 1000;

	if (strcmp(engine->entry.failure_domain, choice->failure_domain) != 0)
		cost += CROSS_DOMAIN_US + choice->body_bytes * CROSS_DOMAIN_US_PER_BYTE;
	cost += dw_rendezvous_score(choice->random, engine->id_hash) % RANDOM_SPREAD_US;
	return cost;
}

/*
 * Some engines, the same ones for all instances, are for long answers. Where there are few engines
 * their number is exact, else a hash draws them.
 */
struct answer_engines {
	uint64_t bound; /**< engines with a greater score are for long answers */
};

static uint64_t answer_score(const struct dw_engine *engine)
{
	return dw_rendezvous_score(ANSWER_KEY, engine->id_hash);
}

static struct answer_engines find_answer_engines(struct dw_engine_set *set,
						 const struct dw_choice_request *choice)
{
	struct answer_engines group = { .bound = UINT64_MAX };
	uint32_t fit = 0;
	uint32_t wanted;

	if (!choice->prompt)
		return group;
	for (struct dw_engine *at = dw_engine_set_first(set); at; at = at->next)
		fit += is_fit(choice, at);
	wanted = (fit * ANSWER_ENGINES_PERMILLE + 500) / 1000;
	if (fit > ANSWER_ENGINES_EXACT) {
		group.bound = UINT64_MAX - UINT64_MAX / 1000 * ANSWER_ENGINES_PERMILLE;
		return group;
	}
	for (uint32_t taken = 0; taken < wanted; taken++) {
		uint64_t best = 0;

		for (struct dw_engine *at = dw_engine_set_first(set); at; at = at->next) {
			uint64_t score = answer_score(at);

			if (is_fit(choice, at) && score < group.bound && score > best)
				best = score;
		}
		group.bound = best;
	}
	if (wanted > 0)
		group.bound--;
	return group;
}

static bool is_of_group(const struct answer_engines *group, const struct dw_choice_request *choice,
			const struct dw_engine *engine)
{
	return !choice->prompt || (answer_score(engine) > group->bound) == choice->is_long_answer;
}

/* The engine at which requests with the same shared parts meet; NULL if there are no such parts. */
static const struct dw_engine *find_home(struct dw_engine_set *set,
					 const struct dw_choice_request *choice,
					 const struct answer_engines *group)
{
	const struct dw_engine *home = NULL;
	uint64_t best = 0;
	uint64_t key;

	if (!choice->prompt || choice->prompt->part_count < 2)
		return NULL;
	key = choice->prompt->parts[choice->prompt->part_count - 2].id;
	for (struct dw_engine *at = dw_engine_set_first(set); at; at = at->next) {
		uint64_t score;

		if (!is_fit(choice, at) ||
		    dw_domain_list_contains(choice->evacuated, at->entry.failure_domain))
			continue;
		score = dw_rendezvous_score(key,
					    dw_rendezvous_key(at->entry.id, strlen(at->entry.id)));
		if (!home || score > best) {
			home = at;
			best = score;
		}
	}
	return home;
}

static uint64_t subset_score(const struct dw_engine *engine)
{
	return dw_rendezvous_score(SUBSET_KEY, engine->id_hash);
}

/* The least score with which an engine belongs to the subset. */
static uint64_t subset_bound(struct dw_engine_set *set, const struct dw_choice_request *choice)
{
	uint64_t bound = UINT64_MAX;
	uint32_t fit = 0;
	uint32_t wanted;

	if (choice->subset_permille == 0 || choice->subset_permille >= 1000)
		return 0;
	for (struct dw_engine *at = dw_engine_set_first(set); at; at = at->next)
		fit += is_fit(choice, at) &&
		       !dw_domain_list_contains(choice->evacuated, at->entry.failure_domain);
	wanted = fit * choice->subset_permille / 1000;
	if (wanted == 0)
		wanted = 1;
	for (uint32_t taken = 0; taken < wanted; taken++) {
		uint64_t best = 0;

		for (struct dw_engine *at = dw_engine_set_first(set); at; at = at->next) {
			uint64_t score = subset_score(at);

			if (is_fit(choice, at) && score < bound && score > best &&
			    !dw_domain_list_contains(choice->evacuated, at->entry.failure_domain))
				best = score;
		}
		bound = best;
	}
	return bound;
}

struct ranking {
	struct dw_choice_selection best;
	uint64_t best_cost_us;
	struct dw_choice_selection ejected; /**< the best of those out of choice */
	uint64_t ejected_cost_us;
	enum dw_choice_result obstacle; /**< why none was ranked */
};

static void rank(struct ranking *ranking, const struct dw_choice_request *choice,
		 struct dw_engine *engine, bool is_home, bool is_of_group)
{
	struct dw_choice_selection chosen = { .engine = engine };
	uint64_t cost;

	chosen.expected_us = expected_us(choice, engine, is_home, &chosen.uncached_tokens);
	cost = chosen.expected_us + extra_cost_us(choice, engine);
	if (!is_of_group)
		cost += choice->is_long_answer ? LONG_ANSWER_ELSEWHERE_US : LONG_PROMPT_THERE_US;
	if (engine->ejected_until_us > choice->now_us) {
		if (!ranking->ejected.engine || cost < ranking->ejected_cost_us) {
			ranking->ejected = chosen;
			ranking->ejected_cost_us = cost;
		}
		return;
	}
	if (!ranking->best.engine || cost < ranking->best_cost_us) {
		ranking->best = chosen;
		ranking->best_cost_us = cost;
	}
}

/*
 * Where there are more instances than requests, a hash draws those that may send one a second. The
 * number drawn varies, so only a part of the rate is dealt out.
 */
uint32_t dw_cold_rate_limit_per_instance(const struct dw_cold_rate_limit *share,
					 const char *engine_id)
{
	uint32_t instances = share->instances > 0 ? share->instances : 1;
	uint64_t drawn;

	if (share->total_per_s >= instances)
		return share->total_per_s / instances;
	drawn = dw_rendezvous_score(share->instance_hash,
				    dw_rendezvous_key(engine_id, strlen(engine_id)));
	return drawn % instances < share->total_per_s * COLD_DEALT_PERMILLE / 1000 ? 1 : 0;
}

static bool is_cold_rate_used_up(const struct dw_choice_request *choice,
				 const struct dw_engine *engine)
{
	return choice->cold_rate_limit.is_limited && dw_engine_is_cold(engine, choice->now_us) &&
	       dw_engine_sends_last_second(engine, choice->now_us) >=
		       dw_cold_rate_limit_per_instance(&choice->cold_rate_limit, engine->entry.id);
}

/* What keeps a fit engine from being chosen; FOUND: nothing. */
static enum dw_choice_result obstacle_of(const struct dw_choice_request *choice,
					 const struct dw_engine *engine)
{
	if (dw_domain_list_contains(choice->evacuated, engine->entry.failure_domain))
		return DW_CHOICE_ALL_EVACUATED;
	if (was_tried(choice, engine))
		return DW_CHOICE_ALL_TRIED;
	if (is_cold_rate_used_up(choice, engine))
		return DW_CHOICE_COLD_LIMIT;
	return DW_CHOICE_FOUND;
}

enum dw_choice_result dw_engine_choose(struct dw_engine_set *set,
				       const struct dw_choice_request *choice,
				       struct dw_choice_selection *chosen)
{
	struct ranking ranking = { .obstacle = DW_CHOICE_NO_ENGINE };
	struct answer_engines group = find_answer_engines(set, choice);
	const struct dw_engine *home = find_home(set, choice, &group);
	uint64_t bound = subset_bound(set, choice);
	enum dw_choice_result obstacle;

	for (struct dw_engine *at = dw_engine_set_first(set); at; at = at->next) {
		if (!is_fit(choice, at) || (bound > 0 && subset_score(at) < bound))
			continue;
		obstacle = obstacle_of(choice, at);
		if (obstacle == DW_CHOICE_FOUND)
			rank(&ranking, choice, at, at == home, is_of_group(&group, choice, at));
		else if (obstacle > ranking.obstacle)
			ranking.obstacle = obstacle;
	}
	if (!ranking.best.engine)
		ranking.best = ranking.ejected;
	if (!ranking.best.engine)
		return ranking.obstacle;
	*chosen = ranking.best;
	return DW_CHOICE_FOUND;
}
