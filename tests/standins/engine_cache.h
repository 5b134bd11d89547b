/**
 * @file engine_cache.h
 * The engine stand-in's cache of prompt prefixes: a bounded list with LRU eviction.
 */
#ifndef TESTS_STANDINS_ENGINE_CACHE_H
#define TESTS_STANDINS_ENGINE_CACHE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#define ENGINE_CACHE_MAX 1024

struct engine_cache {
	uint64_t hashes[ENGINE_CACHE_MAX]; /**< most recently used first */
	size_t count;
	size_t capacity;
	uint64_t hits;
	uint64_t misses;
};

/** Makes the prompt's prefix the most recent entry, adding it if absent. True if it was cached. */
bool engine_cache_touch(struct engine_cache *cache, const char *prompt);

#endif
