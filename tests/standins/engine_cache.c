#include "standins/engine_cache.h"

#include <string.h>

#include <xxhash.h>

#define PREFIX_BYTES 256

bool engine_cache_touch(struct engine_cache *cache, const char *prompt)
{
	uint64_t hash = XXH64(prompt, strnlen(prompt, PREFIX_BYTES), 0);
	size_t index = 0;
	bool hit;

	if (cache->capacity == 0)
		return false;
	while (index < cache->count && cache->hashes[index] != hash)
		index++;
	hit = index < cache->count;
	if (!hit && cache->count < cache->capacity)
		cache->count++;
	if (!hit)
		index = cache->count - 1;
	memmove(&cache->hashes[1], &cache->hashes[0], index * sizeof(cache->hashes[0]));
	cache->hashes[0] = hash;
	cache->hits += hit;
	cache->misses += !hit;
	return hit;
}
