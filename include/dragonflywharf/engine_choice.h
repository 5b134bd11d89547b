/**
 * @file engine_choice.h
 * Which engine a request goes to: the one with the least expected time to its first byte, with the
 * prompt parts that it needn't read, its load, its failures and the distance taken into account.
 *
 * Requests that share a prompt part meet at the same engine without any exchange between instances:
 * rendezvous hashing names a home for the part, and the home is reckoned to hold it. Under load the
 * next engines take over, as the home's queue then costs more than reading the part again.
 */
#ifndef DRAGONFLYWHARF_ENGINE_CHOICE_H
#define DRAGONFLYWHARF_ENGINE_CHOICE_H

#include <dragonflywharf/engine.h>
#include <dragonflywharf/prefix_cache.h>

#ifdef __cplusplus
extern "C" {
#endif

#define DW_CHOICE_TRIED_MAX 8
#define DW_CHOICE_DOMAINS_MAX 16

/** Speed of a model, learnt from answers. Zero-initialise. */
struct dw_model_speed {
	uint32_t us_per_1000_tokens; /**< to read a prompt on an idle engine; 0: not learnt yet */
};

/** Failure domains whose engines get nothing. */
struct dw_domain_list {
	char names[DW_CHOICE_DOMAINS_MAX][DW_ENGINE_TEXT_BYTES];
	uint32_t count;
};

bool dw_domain_list_contains(const struct dw_domain_list *list, const char *name);

/** The rate that a cold engine bears, and what divides it among the instances. */
struct dw_cold_rate_limit {
	bool is_limited;
	uint32_t total_per_s; /**< requests a second, of all instances together */
	uint32_t instances; /**< to reckon with */
	uint64_t instance_hash; /**< hash of this one's name */
};

/** Requests a second that this instance may send to that cold engine; 0: none. */
uint32_t dw_cold_rate_limit_per_instance(const struct dw_cold_rate_limit *share,
					 const char *engine_id);

struct dw_choice_request {
	const char *service;
	const char *model; /**< NULL: any */
	const struct dw_prompt *prompt; /**< NULL: a plain service */
	const struct dw_model_speed *speed; /**< of that model; NULL without prompt */
	uint64_t kv_cache_tokens; /**< memory of the service's engines, for the index of parts */
	/** The answer is long against the prompt: it is kept apart from long prompts, whose reading
	 * holds up the tokens of all requests beside it. */
	bool is_long_answer;
	uint64_t body_bytes;
	const char *failure_domain; /**< this instance's */
	const struct dw_domain_list *evacuated;
	const char *required_version; /**< NULL: any */
	const char *excluded_version; /**< NULL: none */
	/** Share of the fit engines that may be chosen, in thousandths; 0 or 1000: all. The same few
	 * for all instances, so that a small share of the requests loads them as all would. */
	uint32_t subset_permille;
	const char *tried[DW_CHOICE_TRIED_MAX]; /**< ids that had the request already */
	uint32_t tried_count;
	struct dw_cold_rate_limit cold_rate_limit;
	uint64_t random; /**< breaks ties */
	uint64_t now_us;
};

/** Where several obstacles stand, the last one of this list is told. */
enum dw_choice_result {
	DW_CHOICE_FOUND,
	DW_CHOICE_NO_ENGINE, /**< none is known for the service, model and version */
	DW_CHOICE_ALL_EVACUATED,
	DW_CHOICE_ALL_TRIED,
	DW_CHOICE_COLD_LIMIT, /**< only cold engines are left, and their rate is used up */
	DW_CHOICE_RESULT_COUNT
};

const char *dw_choice_result_name(enum dw_choice_result result);

struct dw_choice_selection {
	struct dw_engine *engine;
	uint64_t expected_us; /**< to the first byte of the answer */
	uint32_t uncached_tokens; /**< to be read there */
};

/** Ejected engines are taken only when no other is left. */
enum dw_choice_result dw_engine_choose(struct dw_engine_set *set,
				       const struct dw_choice_request *choice,
				       struct dw_choice_selection *chosen);

/** An answer began @p taken_us after its request was sent, with @p uncached_tokens to read. */
void dw_model_speed_learn(struct dw_model_speed *speed, uint32_t uncached_tokens,
			  uint64_t taken_us);

/** Hash that stands for a model in the index of parts. */
uint64_t dw_model_hash(const char *model);

#ifdef __cplusplus
}
#endif

#endif
