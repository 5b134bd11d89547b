/**
 * @file run.h
 * Replays a trace under one strategy as a discrete-event simulation.
 */
#ifndef WHARF_REPLAY_RUN_H
#define WHARF_REPLAY_RUN_H

#include "wharf-replay/metrics.h"
#include "wharf-replay/strategy.h"
#include "wharf-replay/trace.h"

/* Replays the trace; fills @p results, which has room for each request of the trace. */
void run_trace(const struct trace *trace, const struct strategy *strategy, uint64_t seed,
	       struct result *results, struct metrics *metrics);

/*
 * Compares the results with a naive reference that knows the whole state: requests are forbidden
 * exactly if the organisation may not use the model, only permitted models answer, the version
 * follows from the session and the roll-out weights until a version is held, and only a request
 * without a session may be run again on another version.
 * @return the number of results that differ; the index of the first one in @p first.
 */
size_t run_compare_with_naive(const struct trace *trace, const struct result *results,
			      const struct metrics *metrics, size_t *first);

#endif
