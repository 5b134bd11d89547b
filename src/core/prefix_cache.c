#include <dragonflywharf/prefix_cache.h>

#include <stdlib.h>
#include <string.h>

#include <uthash.h>

#include <dragonflywharf/rendezvous.h>

struct part {
	uint64_t key; /**< hash of model and part */
	uint32_t tokens;
	struct part *next_free;
	UT_hash_handle hh; /**< the table is in order of last use, the oldest first */
};

struct dw_prefix_cache {
	uint64_t capacity_tokens;
	uint64_t cached_tokens;
	struct part *parts;
	struct part *free_list; /**< evicted parts, reused for new ones */
};

struct dw_prefix_cache *dw_prefix_cache_new(uint64_t capacity_tokens)
{
	struct dw_prefix_cache *cache = calloc(1, sizeof(*cache));

	if (!cache)
		abort();
	cache->capacity_tokens = capacity_tokens;
	return cache;
}

static void evict(struct dw_prefix_cache *cache, struct part *part)
{
	HASH_DEL(cache->parts, part);
	cache->cached_tokens -= part->tokens;
	part->next_free = cache->free_list;
	cache->free_list = part;
}

void dw_prefix_cache_clear(struct dw_prefix_cache *cache)
{
	struct part *part;
	struct part *next;

	HASH_ITER(hh, cache->parts, part, next)
		evict(cache, part);
}

void dw_prefix_cache_free(struct dw_prefix_cache *cache)
{
	struct part *part;
	struct part *next;

	if (!cache)
		return;
	dw_prefix_cache_clear(cache);
	for (part = cache->free_list; part; part = next) {
		next = part->next_free;
		free(part);
	}
	free(cache);
}

static uint64_t hash_key(uint64_t model, uint64_t part)
{
	return dw_rendezvous_score(model, part);
}

static struct part *find(const struct dw_prefix_cache *cache, uint64_t model, uint64_t id)
{
	uint64_t key = hash_key(model, id);
	struct part *part;

	HASH_FIND(hh, cache->parts, &key, sizeof(key), part);
	return part;
}

uint32_t dw_prefix_cache_cached_tokens(const struct dw_prefix_cache *cache, uint64_t model,
				       const struct dw_prompt *prompt)
{
	uint32_t tokens = 0;

	for (uint32_t i = 0; i < prompt->part_count; i++) {
		if (!find(cache, model, prompt->parts[i].id))
			break;
		tokens += prompt->parts[i].tokens;
	}
	return tokens;
}

static struct part *allocate_part(struct dw_prefix_cache *cache)
{
	struct part *part = cache->free_list;

	if (part) {
		cache->free_list = part->next_free;
		return part;
	}
	part = calloc(1, sizeof(*part));
	if (!part)
		abort();
	return part;
}

static void touch_part(struct dw_prefix_cache *cache, uint64_t model,
		       const struct dw_prompt_part *used)
{
	struct part *part = find(cache, model, used->id);

	if (part) {
		HASH_DEL(cache->parts, part);
	} else {
		part = allocate_part(cache);
		part->key = hash_key(model, used->id);
		part->tokens = used->tokens;
		cache->cached_tokens += part->tokens;
	}
	HASH_ADD(hh, cache->parts, key, sizeof(part->key), part);
}

void dw_prefix_cache_touch(struct dw_prefix_cache *cache, uint64_t model,
			   const struct dw_prompt *prompt)
{
	/* In reverse order, so that the last parts are evicted first: a part is of no use without
	 * the parts before it. */
	for (uint32_t i = prompt->part_count; i > 0; i--)
		touch_part(cache, model, &prompt->parts[i - 1]);
	while (cache->parts && (cache->cached_tokens > cache->capacity_tokens ||
				HASH_COUNT(cache->parts) > DW_PREFIX_CACHE_PARTS_MAX))
		evict(cache, cache->parts);
}

size_t dw_prefix_cache_part_count(const struct dw_prefix_cache *cache)
{
	return HASH_COUNT(cache->parts);
}
