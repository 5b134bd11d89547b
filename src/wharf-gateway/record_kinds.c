#include "wharf-gateway/record_kinds.h"

#include "base/clock.h"

/* What is known against a request. */
enum request_level { LEVEL_NONE, LEVEL_SUSPICION, LEVEL_QUARANTINE };

/* Places of the values of a crash under a request, behind engine and incarnation. */
enum request_value { REQUEST_IS_ABANDONED = 2 };

/* The same under a part. */
enum part_value {
	PART_REQUEST = 2,
	PART_VERSION,
	PART_AGE_MS,
	PART_IS_ESTABLISHED,
	PART_VALUE_COUNT
};

_Static_assert((int)PART_VALUE_COUNT <= QUARANTINE_RECORD_VALUES_MAX, "the values fit");
_Static_assert(DW_PART_EVIDENCE_MAX <= QUARANTINE_RECORD_CRASHES_MAX, "the crashes fit");
_Static_assert(DW_QUARANTINE_CRASHES <= QUARANTINE_RECORD_CRASHES_MAX, "the crashes fit");

static uint32_t request_level(const void *evidence, struct dw_fingerprint key, uint64_t now_us)
{
	if (dw_quarantine_check(evidence, key, now_us) != DW_OK)
		return LEVEL_QUARANTINE;
	return dw_quarantine_is_suspect(evidence, key, now_us) ? LEVEL_SUSPICION : LEVEL_NONE;
}

static uint32_t request_stored_level(const struct quarantine_record_crash *crashes, uint32_t count)
{
	if (count == 0)
		return LEVEL_NONE;
	for (uint32_t i = 0; i < count; i++) {
		if (crashes[i].values[REQUEST_IS_ABANDONED] != 0)
			return LEVEL_SUSPICION;
	}
	return count < DW_QUARANTINE_CRASHES ? LEVEL_SUSPICION : LEVEL_QUARANTINE;
}

static uint32_t request_crashes(const void *evidence, struct dw_fingerprint key, uint64_t now_us,
				struct quarantine_record_crash out[QUARANTINE_RECORD_CRASHES_MAX])
{
	struct dw_quarantine_evidence pieces[DW_QUARANTINE_CRASHES];
	uint32_t count = dw_quarantine_pieces(evidence, key, now_us, pieces);
	bool is_suspicion = request_level(evidence, key, now_us) == LEVEL_SUSPICION;

	for (uint32_t i = 0; i < count; i++) {
		out[i] = (struct quarantine_record_crash){
			.values = { pieces[i].upstream_id, pieces[i].upstream_incarnation },
			.count = REQUEST_IS_ABANDONED,
		};
		/* That the crashes of a quarantine count was decided with times that aren't stored. */
		if (pieces[i].is_abandoned && is_suspicion)
			out[i].values[out[i].count++] = 1;
	}
	return count;
}

struct dw_quarantine_evidence request_record_evidence(struct dw_fingerprint request,
						      const struct quarantine_record_crash *crash)
{
	return (struct dw_quarantine_evidence){
		.fingerprint = request,
		.upstream_id = crash->values[0],
		.upstream_incarnation = crash->values[1],
		.remaining_us = QUARANTINE_LIFETIME_S * DW_US_PER_S,
		.is_abandoned = crash->values[REQUEST_IS_ABANDONED] != 0,
	};
}

static uint32_t part_level(const void *evidence, struct dw_fingerprint key, uint64_t now_us)
{
	struct dw_part_news crashes[DW_PART_EVIDENCE_MAX];

	return dw_part_quarantine_evidence(evidence, key, now_us, crashes);
}

static uint32_t part_stored_level(const struct quarantine_record_crash *crashes, uint32_t count)
{
	return count;
}

static uint32_t part_crashes(const void *evidence, struct dw_fingerprint key, uint64_t now_us,
			     struct quarantine_record_crash out[QUARANTINE_RECORD_CRASHES_MAX])
{
	struct dw_part_news crashes[DW_PART_EVIDENCE_MAX];
	uint32_t count = dw_part_quarantine_evidence(evidence, key, now_us, crashes);

	for (uint32_t i = 0; i < count; i++) {
		out[i] = (struct quarantine_record_crash){
			.values = { crashes[i].upstream_id, crashes[i].upstream_incarnation,
				    [PART_REQUEST] = crashes[i].request,
				    [PART_VERSION] = crashes[i].version,
				    [PART_AGE_MS] = crashes[i].age_us / DW_US_PER_MS,
				    [PART_IS_ESTABLISHED] = crashes[i].is_established },
			.count = PART_VALUE_COUNT,
		};
	}
	return count;
}

struct dw_part_news part_record_news(struct dw_fingerprint part,
				     const struct quarantine_record_crash *crash)
{
	uint64_t age_ms = crash->values[PART_AGE_MS];

	return (struct dw_part_news){
		.kind = DW_PART_RECORDED,
		.part = part,
		.upstream_id = crash->values[0],
		.upstream_incarnation = crash->values[1],
		.request = crash->values[PART_REQUEST],
		.version = crash->values[PART_VERSION],
		.age_us = age_ms < QUARANTINE_LIFETIME_S * 1000 ? age_ms * DW_US_PER_MS : 0,
		.is_established = crash->values[PART_IS_ESTABLISHED] != 0,
	};
}

const struct quarantine_record_kind request_record_kind = {
	.prefix = "wharf/quarantine/",
	.rewrite = ERA_REWRITE_QUARANTINE,
	.level = request_level,
	.stored_level = request_stored_level,
	.crashes = request_crashes,
};

const struct quarantine_record_kind part_record_kind = {
	.prefix = "wharf/quarantined-parts/",
	.rewrite = ERA_REWRITE_PART,
	.level = part_level,
	.stored_level = part_stored_level,
	.crashes = part_crashes,
};
