#include "standins/engine_cache.h"

#include <string.h>

#include <xxhash.h>

#define PREFIX_BYTES 256

bool engine_cache_touch(struct engine_cache *cache, const char *prompt)
{
	uint64_t hash = XXH64(prompt, strnlen(prompt, PREFIX_BYTES), 0);
	size_t at = 0;
	bool hit;

	if (cache->capacity == 0)
		return false;
	while (at < cache->count && cache->hashes[at] != hash)
		at++;
	hit = at < cache->count;
	if (!hit && cache->count < cache->capacity)
		cache->count++;
	if (!hit)
		at = cache->count - 1;
	memmove(&cache->hashes[1], &cache->hashes[0], at * sizeof(cache->hashes[0]));
	cache->hashes[0] = hash;
	cache->hits += hit;
	cache->misses += !hit;
	return hit;
}
