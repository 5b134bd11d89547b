/**
 * @file load_digest.h
 * What an instance has lately heard of engines' loads, as it tells the other instances.
 *
 * Each instance sees a small part of the traffic, and so each engine's load seldom. Loads are told
 * with their age, not their time, as clocks differ; a newer one replaces an older one. A digest that
 * is lost does no harm.
 */
#ifndef DRAGONFLYWHARF_LOAD_DIGEST_H
#define DRAGONFLYWHARF_LOAD_DIGEST_H

#include <dragonflywharf/engine.h>

#ifdef __cplusplus
extern "C" {
#endif

/** Fits a datagram on any link. */
#define DW_LOAD_DIGEST_BYTES 1200

/**
 * Writes the loads that engines' own answers told since the last digest.
 * @return the length, 0 if there is no news. What doesn't fit waits for the next digest.
 */
size_t dw_load_digest_write(struct dw_engine_set *set, uint64_t now_us, uint8_t *out, size_t size);

/** Takes another instance's digest in. DW_INVALID_ARGUMENT: malformed; what came before it holds. */
enum dw_status dw_load_digest_read(struct dw_engine_set *set, const uint8_t *bytes, size_t len,
				   uint64_t now_us);

#ifdef __cplusplus
}
#endif

#endif
