/**
 * @file part_state.h
 * The evidence against parts of prompts, shared by part_quarantine.c (keeps and merges it) and
 * part_verdict.c (judges by it).
 */
#ifndef CORE_PART_STATE_H
#define CORE_PART_STATE_H

#include <uthash.h>

#include <dragonflywharf/part_quarantine.h>

/** Parts with which requests ended well lately; a newer one replaces an older one in its place. */
#define ENDED_PARTS 4096

struct dw_part_crash {
	uint64_t upstream_id;
	uint64_t upstream_incarnation;
	uint64_t requests[DW_PART_REQUESTS_KEPT];
	uint32_t request_count;
	bool has_more_requests; /* than are kept */
	uint64_t version;
	uint64_t found_at_us;
	bool is_withdrawn; /* the upstream runs, or a request with the part ended well later */
	bool is_withdrawal_told; /* the upstream runs: the others have to know */
	struct dw_news_schedule news;
};

/* The answer of a run that ended well. */
struct dw_part_ended {
	struct dw_fingerprint part;
	uint64_t version;
	uint64_t began_at_us; /* 0: none */
};

/* A part under which an upstream has crashed. */
struct dw_part {
	struct dw_fingerprint id;
	struct dw_part_crash crashes[DW_PART_CRASHES_KEPT];
	uint32_t crash_count;
	bool is_established; /* as another instance knows */
	struct dw_part_ended ended; /* that cleared it last */
	struct dw_news_schedule ended_news;
	UT_hash_handle hh;
};

struct dw_part_quarantine {
	struct dw_part_options options;
	struct dw_part *parts;
	struct dw_part_ended ended[ENDED_PARTS];
};

struct dw_part *dw_part_find(const struct dw_part_quarantine *quarantine, struct dw_fingerprint id);
/** Whether the crash is evidence now. */
bool dw_part_crash_counts(const struct dw_part_quarantine *quarantine,
			  const struct dw_part_crash *crash, uint64_t now_us);
uint32_t dw_part_count_crashes(const struct dw_part_quarantine *quarantine,
			       const struct dw_part *part, uint64_t now_us);
/** Whether the request may have been there. */
bool dw_part_crash_has_request(const struct dw_part_crash *crash, uint64_t request);
/** Whether the evidence against the part alone suffices. */
bool dw_part_has_evidence(const struct dw_part_quarantine *quarantine, const struct dw_part *part,
			  uint64_t now_us);

#endif
