/**
 * @file completion_cache.h
 * Remembers which requests ended well a short time ago, on which version of their service. Such a
 * request doesn't crash the upstreams that run it.
 *
 * A table of fixed size; a newer entry replaces an older one in its place, so what it doesn't know may
 * have ended well all the same.
 */
#ifndef DRAGONFLYWHARF_COMPLETION_CACHE_H
#define DRAGONFLYWHARF_COMPLETION_CACHE_H

#include <stdbool.h>
#include <stdint.h>

#include <dragonflywharf/fingerprint.h>

#ifdef __cplusplus
extern "C" {
#endif

#define DW_COMPLETION_CACHE_ENTRIES 4096

/** Zero-initialise. */
struct dw_completion_cache {
	struct dw_completion {
		uint64_t key; /**< of request and version */
		uint64_t at_us;
	} entries[DW_COMPLETION_CACHE_ENTRIES];
};

/** A run of the request ended well. */
void dw_completion_cache_add(struct dw_completion_cache *cache, struct dw_fingerprint request,
			     const char *version, uint64_t now_us);

/** Whether one is known to have ended well on this version at or after @p since_us. */
bool dw_completion_cache_has(const struct dw_completion_cache *cache, struct dw_fingerprint request,
			     const char *version, uint64_t since_us);

#ifdef __cplusplus
}
#endif

#endif
