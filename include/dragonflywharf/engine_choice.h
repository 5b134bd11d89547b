/**
 * @file engine_choice.h
 * Selects the engine for a request: the one with the lowest expected time to first byte, adjusted
 * for cached prompt parts, load, recent failures and distance.
 *
 * Requests that share a prompt part are sent to the same engine without communication between
 * instances: rendezvous hashing assigns each part a home engine, which is assumed to have it
 * cached. When the home engine is overloaded, other engines are chosen, since waiting in its queue
 * then costs more than processing the part again.
 */
#ifndef DRAGONFLYWHARF_ENGINE_CHOICE_H
#define DRAGONFLYWHARF_ENGINE_CHOICE_H

#include <dragonflywharf/engine.h>
#include <dragonflywharf/expected_cost.h>
#include <dragonflywharf/fingerprint.h>
#include <dragonflywharf/prefix_cache.h>

#ifdef __cplusplus
extern "C" {
#endif

#define DW_CHOICE_TRIED_MAX 8

/** Prompt processing speed of a model, learned from responses. Zero-initialise. */
struct dw_model_speed {
	uint32_t us_per_1000_tokens; /**< prompt processing on an idle engine; 0: unknown */
};

/** Failure domains whose engines receive no requests. Zero-initialise. */
struct dw_domain_list {
	char (*names)[DW_ENGINE_TEXT_BYTES];
	uint32_t count;
	uint32_t capacity;
};

/** Adds or removes a domain. @return whether that changed the list; no engine is in a domain whose name has
 * DW_ENGINE_TEXT_BYTES bytes or more, so such a name is never added */
bool dw_domain_list_set(struct dw_domain_list *list, const char *name, bool is_in);
void dw_domain_list_clear(struct dw_domain_list *list);
bool dw_domain_list_contains(const struct dw_domain_list *list, const char *name);

/** Rate limit of an engine in cold start, and how it is divided among the instances. */
struct dw_cold_rate_limit {
	bool is_limited;
	uint32_t total_per_s; /**< requests per second, all instances together */
	uint32_t instances; /**< number of instances that share the rate */
	uint64_t instance_hash; /**< hash of this instance's name */
};

/** Requests per second that this instance may send to the cold engine @p engine_id; 0: none. */
uint32_t dw_cold_rate_limit_per_instance(const struct dw_cold_rate_limit *limit,
					 const char *engine_id);

/** Input of dw_engine_choose(). */
struct dw_choice_request {
	const char *service;
	const char *model; /**< NULL: any */
	const struct dw_prompt *prompt; /**< NULL: a plain service */
	const struct dw_model_speed *speed; /**< speed of that model; NULL without a prompt */
	/** What was learnt about the service's requests; NULL: the requests ahead are only counted, and
	 * each engine is considered. */
	const struct dw_work_stats *work_stats;
	uint64_t kv_cache_tokens; /**< capacity of the KV cache of each of the service's engines */
	/** The response is long compared with the prompt. Such requests are kept apart from long
	 * prompts, since processing a long prompt delays the output tokens of the other requests on
	 * that engine. */
	bool is_long_answer;
	uint64_t body_bytes;
	const char *failure_domain; /**< this instance's */
	const struct dw_domain_list *evacuated;
	const char *required_version; /**< NULL: any */
	const char *excluded_version; /**< NULL: none */
	/** Share of the matching engines that may be chosen, in thousandths; 0 or 1000: all. All
	 * instances use the same subset, so that a small share of the traffic loads these engines
	 * as much as all traffic loads all engines. */
	uint32_t subset_permille;
	const char *tried[DW_CHOICE_TRIED_MAX]; /**< ids of engines that earlier attempts used */
	uint32_t tried_count;
	/** Not 0: the request may crash its engine. It runs beside no such request of this instance
	 * that has another key, at the engine that a hash of this key selects, so that all
	 * instances choose the same one, and never at the last engine of the service. */
	uint64_t suspect_key;
	/** With suspect_key: it may run beside suspects with other keys. */
	bool may_run_beside_suspects;
	struct dw_cold_rate_limit cold_rate_limit;
	uint64_t random; /**< breaks ties */
	uint64_t now_us;
};

/** The suspect_key for a request or a part of prompts. */
static inline uint64_t dw_choice_suspect_key(struct dw_fingerprint suspect)
{
	return suspect.low | 1;
}

/** If several reasons exclude engines, the one latest in this list is returned. */
enum dw_choice_result {
	DW_CHOICE_FOUND,
	DW_CHOICE_NO_ENGINE, /**< no engine for the service, model and version */
	DW_CHOICE_ALL_EJECTED, /**< a request that may crash its engine, and all have failed lately */
	DW_CHOICE_ALL_EVACUATED,
	DW_CHOICE_ALL_TRIED,
	DW_CHOICE_LAST_ENGINE, /**< a request that may crash its engine, and one engine is left */
	DW_CHOICE_BESIDE_SUSPECTS, /**< such a request, and others run at all engines */
	DW_CHOICE_PAUSED, /**< only engines are left that asked for a pause */
	DW_CHOICE_FULL, /**< only engines are left that bear no more requests of this instance */
	DW_CHOICE_COLD_LIMIT, /**< only cold engines are left, and their rate limit is reached */
	DW_CHOICE_RESULT_COUNT
};

const char *dw_choice_result_name(enum dw_choice_result result);

/** Result of dw_engine_choose(). */
struct dw_choice_selection {
	struct dw_engine *engine;
	uint64_t expected_us; /**< time to the first response byte */
	/** The same for an engine that has never been slower than expected: what a slow version is
	 * compared with, as a slow engine is soon expected to be slow. */
	uint64_t nominal_us;
	uint32_t uncached_tokens; /**< prompt tokens that the engine has to process */
	uint64_t work_us; /**< expected time to process them */
	uint32_t running; /**< requests that the engine is taken to run */
};

/** Selects an engine. Ejected engines are used only if no other is left. */
enum dw_choice_result dw_engine_choose(struct dw_engine_set *set,
				       const struct dw_choice_request *request,
				       struct dw_choice_selection *selection);

/**
 * Learns from a response that started @p taken_us after a request with @p uncached_tokens was sent.
 */
void dw_model_speed_learn(struct dw_model_speed *speed, uint32_t uncached_tokens,
			  uint64_t taken_us);

/** The soonest end of a pause of the engines that could serve the request; UINT64_MAX: there is none. */
uint64_t dw_engine_pause_end_us(struct dw_engine_set *set, const struct dw_choice_request *request);

/** How much a suspect may cost its service. */
enum dw_choice_suspicion {
	DW_CHOICE_WATCHED, /**< its service has lost an engine for which it may be the cause */
	DW_CHOICE_SPARING, /**< its service has lost several, at the same time */
	DW_CHOICE_DOUBTFUL, /**< it runs where its key says or not at all */
	DW_CHOICE_STRICT, /**< the same, and beside no other suspect */
};

/**
 * Whether a request for which no engine was found with its suspect_key, but @p result, may run on
 * any engine. The last of three engines or more is spared, as two are out of use already.
 */
bool dw_choice_may_run_anywhere(struct dw_engine_set *set, const struct dw_choice_request *request,
				enum dw_choice_suspicion suspicion, enum dw_choice_result result);

#ifdef __cplusplus
}
#endif

#endif
