/**
 * @file run.h
 * One replay of a trace under one strategy, as a discrete-event run.
 */
#ifndef WHARF_REPLAY_RUN_H
#define WHARF_REPLAY_RUN_H

#include "wharf-replay/metrics.h"
#include "wharf-replay/strategy.h"
#include "wharf-replay/trace.h"

/* Replays; @p results has a row for each request of the trace and is filled in. */
void run_trace(const struct trace *trace, const struct strategy *strategy, uint64_t seed,
	       struct result *results, struct metrics *metrics);

/*
 * Compares with a naive version of perfect knowledge: whether each request is permitted, that only
 * permitted models answered, and the version that its session and the roll-out weights give, until
 * a version is held; only a request without a session may have been run again on another. @return how many results differ, the first one in @p first.
 */
size_t run_compare_with_naive(const struct trace *trace, const struct result *results,
			      const struct metrics *metrics, size_t *first);

#endif
