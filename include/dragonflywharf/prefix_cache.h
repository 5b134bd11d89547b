/**
 * @file prefix_cache.h
 * Index of the prompt parts that an engine has in its KV cache, per model, as estimated from the
 * requests that this instance sent.
 *
 * A prompt is a list of parts. A cached part saves work only if all parts before it are cached too.
 * The engine evicts the least recently used parts when its memory is full, so this index evicts in
 * the same order.
 */
#ifndef DRAGONFLYWHARF_PREFIX_CACHE_H
#define DRAGONFLYWHARF_PREFIX_CACHE_H

#include <stdbool.h>

#include <dragonflywharf/status.h>

#ifdef __cplusplus
extern "C" {
#endif

#define DW_PROMPT_PARTS_MAX 16
/** Parts kept for one engine, however few tokens they have: callers choose that. */
#define DW_PREFIX_CACHE_PARTS_MAX 2048

struct dw_prompt_part {
	uint64_t id;
	uint32_t tokens;
};

/** A request's prompt; the last part is specific to the request or its session. */
struct dw_prompt {
	struct dw_prompt_part parts[DW_PROMPT_PARTS_MAX];
	uint32_t part_count;
	bool has_more_parts; /**< behind these, which aren't kept */
	uint32_t tokens_in; /**< tokens of the whole prompt, including the parts */
	uint32_t tokens_out_max;
};

struct dw_prefix_cache;

struct dw_prefix_cache *dw_prefix_cache_new(uint64_t capacity_tokens);
void dw_prefix_cache_free(struct dw_prefix_cache *cache);
/** Removes all entries, for an engine that has restarted. */
void dw_prefix_cache_clear(struct dw_prefix_cache *cache);

/** Number of leading prompt tokens that are cached for @p model (a hash of its name). */
uint32_t dw_prefix_cache_cached_tokens(const struct dw_prefix_cache *cache, uint64_t model,
				       const struct dw_prompt *prompt);

/** Records that the engine processes the prompt: its parts become the most recently used ones. */
void dw_prefix_cache_touch(struct dw_prefix_cache *cache, uint64_t model,
			   const struct dw_prompt *prompt);

/** Number of parts that are assumed to be cached. */
size_t dw_prefix_cache_part_count(const struct dw_prefix_cache *cache);

#ifdef __cplusplus
}
#endif

#endif
