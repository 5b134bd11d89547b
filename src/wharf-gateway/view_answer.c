#include "wharf-gateway/view_answer.h"

#include "base/clock.h"

/* The store may come back from a copy that is some seconds old. */
#define DELETIONS_TOLD_US (30 * DW_US_PER_S)

bool view_answer_is_in_store(const struct view *view, uint64_t after)
{
	return after > 0 && dw_view_log_revision(view->records) > 0 &&
	       (!dw_view_log_covers(view->records, after) ||
		!dw_view_log_is_small(view->records, after));
}

static void add_times(struct view_answer *answer, const struct view *view, uint64_t now_us)
{
	if (answer->has_proof)
		answer->age_us = now_us - view->confirmed_at_us;
	if (answer->had_outage)
		answer->store_back_us = now_us - view->outage.ended_at_us;
	if (answer->has_gap) {
		answer->gap_from_us = now_us - view->unheard.from_us;
		answer->gap_until_us = now_us - view->unheard.until_us;
	}
}

static uint64_t deleted_since_us(enum view_ask asked, uint64_t revision, uint64_t now_us)
{
	if (asked != VIEW_ASK_MEMORY || dw_revision_era(revision) == 0)
		return 0;
	return now_us > DELETIONS_TOLD_US ? now_us - DELETIONS_TOLD_US : 1;
}

struct view_answer view_answer_make(const struct view *view, uint64_t after, enum view_ask asked,
				    uint64_t arrived_at_us, uint64_t now_us)
{
	uint64_t revision = dw_view_log_revision(view->records);
	struct view_answer answer = {
		.revision = revision,
		.era_begin = view->restore.era_begin,
		.hops = view->hops,
		/* Without a copy there is nothing to tell, above all not that no key exists. */
		.is_snapshot = revision > 0 && !dw_view_log_covers(view->records, after),
		.is_over_gap = dw_view_log_has_gap_after(view->records, after),
		.now_us = now_us,
		.held_us = now_us - arrived_at_us,
		.has_proof = view->confirmed_at_us > 0,
		.had_outage = view->outage.ended_at_us > 0,
		.has_gap = view->unheard.until_us > 0,
		/* Only who asked for it has it after this answer. */
		.has_memory =
			asked == VIEW_ASK_MEMORY && view_restore_has_memory(&view->restore, now_us),
		.with_kept = asked != VIEW_ASK_CHANGES ||
			     dw_revision_era(after) < dw_revision_era(revision),
		.deleted_since_us = deleted_since_us(asked, revision, now_us),
	};

	add_times(&answer, view, now_us);
	return answer;
}
