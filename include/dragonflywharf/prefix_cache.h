/**
 * @file prefix_cache.h
 * Which parts of prompts an engine holds for which model, as far as this instance can tell.
 *
 * A prompt is a list of parts; a part spares work only if all parts before it are held too. The
 * least recently used parts yield when the engine's memory is full, so this index forgets them in
 * the same order.
 */
#ifndef DRAGONFLYWHARF_PREFIX_CACHE_H
#define DRAGONFLYWHARF_PREFIX_CACHE_H

#include <dragonflywharf/status.h>

#ifdef __cplusplus
extern "C" {
#endif

#define DW_PROMPT_PARTS_MAX 16

struct dw_prompt_part {
	uint64_t id;
	uint32_t tokens;
};

/** A request's prompt; the last part is the request's own or its session's. */
struct dw_prompt {
	struct dw_prompt_part parts[DW_PROMPT_PARTS_MAX];
	uint32_t part_count;
	uint32_t tokens_in; /**< the whole prompt, parts included */
	uint32_t tokens_out_max;
};

struct dw_prefix_cache;

struct dw_prefix_cache *dw_prefix_cache_new(uint64_t capacity_tokens);
void dw_prefix_cache_free(struct dw_prefix_cache *cache);
/** Forgets all, for an engine that has started anew. */
void dw_prefix_cache_clear(struct dw_prefix_cache *cache);

/** Tokens of the prompt that needn't be read again for @p model (a hash of its name). */
uint32_t dw_prefix_cache_cached_tokens(const struct dw_prefix_cache *cache, uint64_t model,
				       const struct dw_prompt *prompt);

/** The engine reads the prompt now: all its parts become the most recently used ones. */
void dw_prefix_cache_touch(struct dw_prefix_cache *cache, uint64_t model,
			   const struct dw_prompt *prompt);

#ifdef __cplusplus
}
#endif

#endif
