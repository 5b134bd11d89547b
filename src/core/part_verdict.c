#include "core/part_state.h"

#include <stdlib.h>

/* With so many crashes, a request that was there each time is not looked for any more. */
#define CRASHES_OF_SEVERAL 5

uint32_t dw_part_count_crashes(const struct dw_part_quarantine *quarantine,
			       const struct dw_part *part, uint64_t now_us)
{
	uint32_t count = 0;

	for (uint32_t i = 0; part && i < part->crash_count; i++)
		count += dw_part_crash_counts(quarantine, &part->crashes[i], now_us);
	return count;
}

static int compare_times(const void *left, const void *right)
{
	uint64_t a = *(const uint64_t *)left;
	uint64_t b = *(const uint64_t *)right;

	return (a > b) - (a < b);
}

/* Counts crashes that were found together once. */
static uint32_t count_apart(const struct dw_part_quarantine *quarantine, const struct dw_part *part,
			    uint64_t now_us)
{
	uint64_t found_us[DW_PART_CRASHES_KEPT];
	uint64_t first_us = 0;
	uint32_t apart = 0;
	size_t count = 0;

	for (uint32_t i = 0; i < part->crash_count; i++) {
		if (dw_part_crash_counts(quarantine, &part->crashes[i], now_us))
			found_us[count++] = part->crashes[i].found_at_us;
	}
	qsort(found_us, count, sizeof(found_us[0]), compare_times);
	for (size_t i = 0; i < count; i++) {
		if (i > 0 && found_us[i] < first_us + DW_PART_TOGETHER_US)
			continue;
		first_us = found_us[i];
		apart++;
	}
	return apart;
}

bool dw_part_crash_has_request(const struct dw_part_crash *crash, uint64_t request)
{
	for (uint32_t i = 0; i < crash->request_count; i++) {
		if (crash->requests[i] == request)
			return true;
	}
	return crash->has_more_requests;
}

/* Whether the request may have been there at each crash. */
static bool is_common(const struct dw_part_quarantine *quarantine, const struct dw_part *part,
		      uint64_t request, uint64_t now_us)
{
	for (uint32_t i = 0; i < part->crash_count; i++) {
		if (dw_part_crash_counts(quarantine, &part->crashes[i], now_us) &&
		    !dw_part_crash_has_request(&part->crashes[i], request))
			return false;
	}
	return true;
}

/* Whether no single request may have caused all crashes. */
static bool has_several_requests(const struct dw_part_quarantine *quarantine,
				 const struct dw_part *part, uint64_t now_us)
{
	if (dw_part_count_crashes(quarantine, part, now_us) >= CRASHES_OF_SEVERAL)
		return true;
	for (uint32_t i = 0; i < part->crash_count; i++) {
		const struct dw_part_crash *crash = &part->crashes[i];

		if (!dw_part_crash_counts(quarantine, crash, now_us))
			continue;
		for (uint32_t k = 0; k < crash->request_count; k++) {
			if (is_common(quarantine, part, crash->requests[k], now_us))
				return false;
		}
	}
	return true;
}

/* Time from the first crash that counts to the last one. */
static uint64_t span_us(const struct dw_part_quarantine *quarantine, const struct dw_part *part,
			uint64_t now_us)
{
	uint64_t first_us = UINT64_MAX;
	uint64_t last_us = 0;

	for (uint32_t i = 0; i < part->crash_count; i++) {
		uint64_t found_us = part->crashes[i].found_at_us;

		if (!dw_part_crash_counts(quarantine, &part->crashes[i], now_us))
			continue;
		first_us = found_us < first_us ? found_us : first_us;
		last_us = found_us > last_us ? found_us : last_us;
	}
	return last_us > first_us ? last_us - first_us : 0;
}

bool dw_part_has_evidence(const struct dw_part_quarantine *quarantine, const struct dw_part *part,
			  uint64_t now_us)
{
	uint32_t apart = count_apart(quarantine, part, now_us);

	if (apart < DW_PART_CRASHES || !has_several_requests(quarantine, part, now_us))
		return false;
	return !dw_part_quarantine_is_established(quarantine, part->id, now_us) ||
	       (apart >= DW_PART_CRASHES_ESTABLISHED &&
		span_us(quarantine, part, now_us) >= DW_PART_SPAN_ESTABLISHED_US);
}

static bool has_crash(const struct dw_part_quarantine *quarantine, const struct dw_part *part,
		      const struct dw_part_crash *wanted, uint64_t now_us)
{
	for (uint32_t i = 0; i < part->crash_count; i++) {
		const struct dw_part_crash *crash = &part->crashes[i];

		if (crash->upstream_id == wanted->upstream_id &&
		    crash->upstream_incarnation == wanted->upstream_incarnation &&
		    dw_part_crash_counts(quarantine, crash, now_us))
			return true;
	}
	return false;
}

/* Whether @p other was there at each crash of @p part. */
static bool covers(const struct dw_part_quarantine *quarantine, const struct dw_part *other,
		   const struct dw_part *part, uint64_t now_us)
{
	for (uint32_t i = 0; i < part->crash_count; i++) {
		if (dw_part_crash_counts(quarantine, &part->crashes[i], now_us) &&
		    !has_crash(quarantine, other, &part->crashes[i], now_us))
			return false;
	}
	return true;
}

static bool has_part(const struct dw_part_set *set, struct dw_fingerprint id)
{
	for (uint32_t i = 0; i < set->count; i++) {
		if (dw_fingerprint_equal(set->parts[i], id))
			return true;
	}
	return false;
}

/* How well a part that the request doesn't hold explains the crashes. */
enum explanation { EXPLAINED_BY_NONE, EXPLAINED_AS_WELL, EXPLAINED_BETTER };

/* A part that is known from runs that ended well explains none of the crashes under one that isn't. */
static enum explanation explain(const struct dw_part_quarantine *quarantine,
				const struct dw_part_set *set, const struct dw_part *part,
				uint64_t now_us)
{
	bool is_established = dw_part_quarantine_is_established(quarantine, part->id, now_us);
	uint32_t crashes = dw_part_count_crashes(quarantine, part, now_us);
	enum explanation best = EXPLAINED_BY_NONE;
	const struct dw_part *other;

	for (other = quarantine->parts; other; other = other->hh.next) {
		if (other == part || has_part(set, other->id) ||
		    !covers(quarantine, other, part, now_us) ||
		    (!is_established &&
		     dw_part_quarantine_is_established(quarantine, other->id, now_us)))
			continue;
		if (dw_part_count_crashes(quarantine, other, now_us) > crashes)
			return EXPLAINED_BETTER;
		best = EXPLAINED_AS_WELL;
	}
	return best;
}

static enum dw_part_verdict judge(const struct dw_part_quarantine *quarantine,
				  const struct dw_part_set *set, const struct dw_part *part,
				  uint64_t now_us)
{
	bool is_established = dw_part_quarantine_is_established(quarantine, part->id, now_us);
	uint32_t crashes = dw_part_count_crashes(quarantine, part, now_us);
	enum explanation explanation;

	if (crashes == 0 || (is_established && crashes < DW_PART_CRASHES_ESTABLISHED))
		return DW_PARTS_SOUND;
	explanation = explain(quarantine, set, part, now_us);
	if (explanation == EXPLAINED_BETTER)
		return DW_PARTS_SOUND;
	if (crashes == 1 || explanation == EXPLAINED_AS_WELL)
		return is_established ? DW_PARTS_SOUND : DW_PARTS_WATCHED;
	if (dw_part_has_evidence(quarantine, part, now_us))
		return DW_PARTS_QUARANTINED;
	if (is_established)
		return DW_PARTS_SOUND;
	return count_apart(quarantine, part, now_us) < DW_PART_CRASHES - 1 ? DW_PARTS_SUSPECT
									   : DW_PARTS_DOUBTFUL;
}

/* An order of the parts of a request that is the same at all instances. */
static bool is_smaller(struct dw_fingerprint a, struct dw_fingerprint b)
{
	return a.high != b.high ? a.high < b.high : a.low < b.low;
}

enum dw_part_verdict dw_part_quarantine_check(const struct dw_part_quarantine *quarantine,
					      const struct dw_part_set *set, uint64_t now_us,
					      struct dw_fingerprint *cause)
{
	enum dw_part_verdict worst = DW_PARTS_SOUND;
	uint32_t most_crashes = 0;

	for (uint32_t i = 0; quarantine->parts && i < set->count; i++) {
		const struct dw_part *part = dw_part_find(quarantine, set->parts[i]);
		enum dw_part_verdict verdict =
			part ? judge(quarantine, set, part, now_us) : DW_PARTS_SOUND;
		uint32_t crashes = dw_part_count_crashes(quarantine, part, now_us);

		if (verdict == DW_PARTS_SOUND || verdict < worst ||
		    (verdict == worst && crashes < most_crashes) ||
		    (verdict == worst && crashes == most_crashes &&
		     !is_smaller(set->parts[i], *cause)))
			continue;
		worst = verdict;
		most_crashes = crashes;
		*cause = set->parts[i];
	}
	return worst;
}
