#include <dragonflywharf/completion_cache.h>

#include <string.h>

#include <dragonflywharf/rendezvous.h>

static uint64_t key_of(struct dw_fingerprint request, const char *version)
{
	return request.low ^
	       dw_rendezvous_score(request.high, dw_rendezvous_key(version, strlen(version)));
}

void dw_completion_cache_add(struct dw_completion_cache *cache, struct dw_fingerprint request,
			     const char *version, uint64_t now_us)
{
	uint64_t key = key_of(request, version);

	cache->entries[key % DW_COMPLETION_CACHE_ENTRIES] = (struct dw_completion){ key, now_us };
}

bool dw_completion_cache_has(const struct dw_completion_cache *cache, struct dw_fingerprint request,
			     const char *version, uint64_t since_us)
{
	uint64_t key = key_of(request, version);
	const struct dw_completion *entry = &cache->entries[key % DW_COMPLETION_CACHE_ENTRIES];

	return entry->key == key && entry->at_us >= since_us && entry->at_us > 0;
}
