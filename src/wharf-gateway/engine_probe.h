/**
 * @file engine_probe.h
 * Finds out whether an engine's process still runs, or ends soon, by a connection on which nothing is
 * sent.
 *
 * A process that ends may still accept a connection when its first ones break, so the connection has to
 * stay open for a moment; if it doesn't, the engine is probed again. One that accepts and closes several
 * in turn runs, and has too many.
 */
#ifndef GATEWAY_ENGINE_PROBE_H
#define GATEWAY_ENGINE_PROBE_H

#include <uv.h>

#include <dragonflywharf/engine.h>

#ifdef __cplusplus
extern "C" {
#endif

enum engine_probe_result {
	ENGINE_PROBE_REFUSED, /**< nothing listens at its address */
	ENGINE_PROBE_CONNECTED, /**< it accepts connections and keeps them open */
	ENGINE_PROBE_CLOSED, /**< it accepts connections and closes them */
	ENGINE_PROBE_UNDECIDED, /**< no answer */
	ENGINE_PROBE_RESULT_COUNT
};

/** Called once for each probe; @p engine_id is the engine's, @p started_at_us when it was made. */
typedef void (*engine_probe_done)(void *owner, const char *engine_id,
				  enum engine_probe_result result, uint64_t started_at_us);

/** How long a connection stays open at least if the process runs. */
#define ENGINE_PROBE_HOLD_MS 20

/** @param hold_ms how long the first connection is kept open; it is replaced if it breaks */
void engine_probe_start(uv_loop_t *loop, const struct dw_engine *engine, uint32_t hold_ms,
			engine_probe_done done, void *owner);

#ifdef __cplusplus
}
#endif

#endif
