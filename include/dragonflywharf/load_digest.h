/**
 * @file load_digest.h
 * Datagram with recent engine loads that an instance sends to the other instances.
 *
 * Each instance handles a small part of the traffic and so rarely receives a given engine's load
 * itself. Loads are sent with their age instead of a timestamp, since clocks differ; a newer load
 * replaces an older one. Losing a digest is harmless.
 */
#ifndef DRAGONFLYWHARF_LOAD_DIGEST_H
#define DRAGONFLYWHARF_LOAD_DIGEST_H

#include <dragonflywharf/engine.h>
#include <dragonflywharf/spread.h>

#ifdef __cplusplus
extern "C" {
#endif

/** Maximum size of a digest; fits into one datagram on any link. */
#define DW_LOAD_DIGEST_BYTES 1200

/**
 * Writes the loads that have to be sent to @p scope and notes that they were. Loads that don't fit
 * are left for the next digest.
 * @return the length; 0 if there is nothing new.
 */
size_t dw_load_digest_write(struct dw_engine_set *set, enum dw_spread_scope scope, uint64_t now_us,
			    uint8_t *out, size_t size);

/**
 * Applies another instance's digest; loads that are news here have to be passed on to @p scope.
 * @return DW_OK, or DW_INVALID_ARGUMENT if malformed; entries before the malformed one are applied.
 */
enum dw_status dw_load_digest_read(struct dw_engine_set *set, enum dw_spread_scope scope,
				   const uint8_t *bytes, size_t len, uint64_t now_us);

#ifdef __cplusplus
}
#endif

#endif
