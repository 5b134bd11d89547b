#include <dragonflywharf/abandoned_runs.h>

#include <stdbool.h>
#include <string.h>

static bool is_at(const struct dw_abandoned_run *run, struct dw_crash_upstream upstream)
{
	return run->upstream.id == upstream.id && run->upstream.incarnation == upstream.incarnation;
}

static struct dw_abandoned_run *find_place(struct dw_abandoned_runs *runs,
					   const struct dw_abandoned_run *wanted)
{
	for (uint32_t i = 0; i < DW_ABANDONED_RUNS_MAX; i++) {
		struct dw_abandoned_run *run = &runs->runs[i];

		if (is_at(run, wanted->upstream) &&
		    dw_fingerprint_equal(run->request, wanted->request))
			return run;
	}
	return &runs->runs[runs->next++ % DW_ABANDONED_RUNS_MAX];
}

void dw_abandoned_runs_add(struct dw_abandoned_runs *runs, const struct dw_abandoned_run *run,
			   const struct dw_part_set *parts)
{
	struct dw_abandoned_run *place = find_place(runs, run);
	struct dw_part_set *kept = &runs->parts[place - runs->runs];

	*place = *run;
	if (parts)
		*kept = *parts;
	else
		kept->count = 0;
}

static void remove_run(struct dw_abandoned_run *run)
{
	memset(run, 0, sizeof(*run));
}

/* Whether the upstream may have ended under the run. */
static bool counts(const struct dw_abandoned_run *run, const struct dw_upstream_end *end)
{
	uint64_t counts_until_us = run->abandoned_at_us + DW_ABANDONED_RUN_COUNTS_US;

	if (run->sent_at_us > end->ended_at_us)
		return false;
	if (end->ended_at_us <= counts_until_us)
		return true;
	return end->alive_at_us < counts_until_us &&
	       end->ended_at_us <= run->abandoned_at_us + DW_ABANDONED_RUN_SILENT_US;
}

uint32_t dw_abandoned_runs_take(struct dw_abandoned_runs *runs, struct dw_crash_upstream upstream,
				const struct dw_upstream_end *end, struct dw_crash_run *out,
				uint32_t max)
{
	uint32_t count = 0;

	for (uint32_t i = 1; i <= DW_ABANDONED_RUNS_MAX; i++) {
		uint32_t at = (runs->next - i) % DW_ABANDONED_RUNS_MAX;
		struct dw_abandoned_run *run = &runs->runs[at];

		if (!is_at(run, upstream))
			continue;
		if (counts(run, end) && count < max)
			out[count++] = (struct dw_crash_run){ run->request, true, runs->parts[at] };
		remove_run(run);
	}
	return count;
}

uint64_t dw_abandoned_runs_count_until_us(const struct dw_abandoned_runs *runs,
					  struct dw_crash_upstream upstream)
{
	uint64_t until_us = 0;

	for (uint32_t i = 0; i < DW_ABANDONED_RUNS_MAX; i++) {
		const struct dw_abandoned_run *run = &runs->runs[i];
		uint64_t run_until_us = run->abandoned_at_us + DW_ABANDONED_RUN_COUNTS_US;

		if (is_at(run, upstream) && run_until_us > until_us)
			until_us = run_until_us;
	}
	return until_us;
}
