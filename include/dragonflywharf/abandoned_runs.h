/**
 * @file abandoned_runs.h
 * Remembers the runs of requests that this instance gave up lately: the caller left, a deadline passed,
 * or another answer is wanted. Most upstreams stop such a run when its connection closes, some go on
 * and may end under it a little later, when nothing connects the request with its upstream any more.
 *
 * An upstream may also fall silent under a run and come back seconds later as a new lifetime; that it has ended
 * becomes known only then. A run counts for such an end if the upstream showed no life after it was given up.
 *
 * A ring of fixed size: under a flood the oldest runs are forgotten first.
 */
#ifndef DRAGONFLYWHARF_ABANDONED_RUNS_H
#define DRAGONFLYWHARF_ABANDONED_RUNS_H

#include <stdint.h>

#include <dragonflywharf/crash_check.h>
#include <dragonflywharf/fingerprint.h>

#ifdef __cplusplus
extern "C" {
#endif

#define DW_ABANDONED_RUNS_MAX 1024
/** An upstream that ends later than this after a run was given up didn't end under it. */
#define DW_ABANDONED_RUN_COUNTS_US UINT64_C(1000000)
/** So long after it the end of an upstream that is silent may become known. */
#define DW_ABANDONED_RUN_SILENT_US UINT64_C(8000000)

/** The end of an upstream: between two times. */
struct dw_upstream_end {
	uint64_t alive_at_us; /**< when it last showed life, as far as known here; 0: never */
	uint64_t ended_at_us; /**< by then it had ended */
};

struct dw_abandoned_run {
	struct dw_crash_upstream upstream;
	struct dw_fingerprint request;
	uint64_t sent_at_us;
	uint64_t abandoned_at_us;
};

/** Zero-initialise. */
struct dw_abandoned_runs {
	struct dw_abandoned_run runs[DW_ABANDONED_RUNS_MAX]; /**< ring buffer; upstream 0: none */
	struct dw_part_set parts[DW_ABANDONED_RUNS_MAX]; /**< of the run in the same place */
	uint32_t next;
};

/**
 * Adds a run; one of the same request on the same upstream is replaced.
 * @param parts of the request's prompt; NULL: none
 */
void dw_abandoned_runs_add(struct dw_abandoned_runs *runs, const struct dw_abandoned_run *run,
			   const struct dw_part_set *parts);

/**
 * Removes the upstream's runs, and returns those under which it may have ended.
 * @return number of runs written to @p out, the last ones given up first
 */
uint32_t dw_abandoned_runs_take(struct dw_abandoned_runs *runs, struct dw_crash_upstream upstream,
				const struct dw_upstream_end *end, struct dw_crash_run *out,
				uint32_t max);

/** Until when the upstream's end would count for one of its runs; 0: it has none. */
uint64_t dw_abandoned_runs_count_until_us(const struct dw_abandoned_runs *runs,
					  struct dw_crash_upstream upstream);

#ifdef __cplusplus
}
#endif

#endif
