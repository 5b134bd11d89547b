/**
 * @file part_quarantine.h
 * Finds parts of prompts that crash the upstreams that begin to answer requests with them, whatever else
 * these requests hold.
 *
 * A crash is evidence against the parts of all requests that ran on the upstream. A run that ended
 * well, and whose answer began after the crash, clears its parts of it. What is left is added up over
 * requests that differ: the parts under which upstreams ended again and again and with which no
 * request ended well. Parts that were there each time can't be told apart; a request is refused only if
 * it holds all of them.
 *
 * Crashes that are found within DW_PART_TOGETHER_US count once, as upstreams may end together for
 * a reason of their own. Crashes under a single request count against that request (quarantine.h), not
 * against its parts. A part with which requests ended well lately needs more crashes: it stands in much
 * of the traffic, so it was there when upstreams ended for other reasons.
 *
 * Instances merge their evidence. Running out of memory loses evidence.
 */
#ifndef DRAGONFLYWHARF_PART_QUARANTINE_H
#define DRAGONFLYWHARF_PART_QUARANTINE_H

#include <stdbool.h>

#include <dragonflywharf/fingerprint.h>
#include <dragonflywharf/news_schedule.h>
#include <dragonflywharf/prefix_cache.h>

#ifdef __cplusplus
extern "C" {
#endif

/** Crashes after which a part is quarantined. */
#define DW_PART_CRASHES 3
/** The same for a part with which requests ended well lately. */
#define DW_PART_CRASHES_ESTABLISHED 5
/** Of these, the first and the last are at least so far apart: runs had time to end well. */
#define DW_PART_SPAN_ESTABLISHED_US 2000000
/** Crashes kept for a part; further ones change nothing. */
#define DW_PART_CRASHES_KEPT 8
/** Requests kept for a crash. */
#define DW_PART_REQUESTS_KEPT 4
/** Pieces of news that tell all about a part's crashes, at most. */
#define DW_PART_EVIDENCE_MAX (DW_PART_CRASHES_KEPT * (DW_PART_REQUESTS_KEPT + 1))
/** Crashes that are found within this time of the first of them count once. */
#define DW_PART_TOGETHER_US 50000

/** The parts of a prompt that other requests may share: all but the last, each with its service. */
struct dw_part_set {
	struct dw_fingerprint parts[DW_PROMPT_PARTS_MAX];
	uint32_t count;
};

/** Sets the parts of a request to @p service. The same part at another service is another one, as other
 * programs run there. */
void dw_part_set_init(struct dw_part_set *set, const char *service, const struct dw_prompt *prompt);

enum dw_part_news_kind {
	DW_PART_CRASHED, /**< an upstream crashed under requests with the part */
	DW_PART_RECORDED, /**< the same, from a record that holds all crashes and their ages */
	DW_PART_WITHDRAWN, /**< it hadn't crashed after all */
	DW_PART_ENDED_WELL, /**< a request with the part ended well */
	DW_PART_NEWS_KIND_COUNT
};

/** What instances tell each other about a part. */
struct dw_part_news {
	enum dw_part_news_kind kind;
	struct dw_fingerprint part;
	uint64_t upstream_id; /**< CRASHED, WITHDRAWN */
	uint64_t upstream_incarnation; /**< CRASHED, WITHDRAWN */
	/** CRASHED: hash of a request with the part that ran there; 0: more than are kept */
	uint64_t request;
	uint64_t version; /**< hash of the upstream's version; 0: unknown */
	/** CRASHED: since it was found; ENDED_WELL: since the answer began. When it was sent; a
	 * duration, because clocks of peers aren't compared */
	uint64_t age_us;
	bool is_established; /**< CRASHED: requests with the part ended well lately */
};

struct dw_part_options {
	uint32_t max_parts; /**< when full, the one with the least evidence is evicted */
	uint64_t lifetime_us; /**< of evidence, and of the memory of runs that ended well */
};

/** Defaults: 4,096 parts, 10 minutes. */
struct dw_part_options dw_part_quarantine_default_options(void);

struct dw_part_quarantine;

/** Aborts if out of memory. */
struct dw_part_quarantine *dw_part_quarantine_new(const struct dw_part_options *options);
void dw_part_quarantine_free(struct dw_part_quarantine *quarantine);

/** What may be done with a request, in the order of severity. */
enum dw_part_verdict {
	DW_PARTS_SOUND,
	/** An upstream has crashed under a part that isn't known to be sound, and no other part explains
	 * more crashes: its requests run where the others with the part run, if that is possible. */
	DW_PARTS_WATCHED,
	/** Several upstreams have crashed at the same time: the same, but never on the last upstream. */
	DW_PARTS_SUSPECT,
	/** The next crash may decide: its requests run on one upstream, or not now. */
	DW_PARTS_DOUBTFUL,
	DW_PARTS_QUARANTINED, /**< must be refused */
	DW_PART_VERDICT_COUNT
};

/** @param cause the part that decides, unless the verdict is SOUND; the same at all instances */
enum dw_part_verdict dw_part_quarantine_check(const struct dw_part_quarantine *quarantine,
					      const struct dw_part_set *set, uint64_t now_us,
					      struct dw_fingerprint *cause);

/**
 * Merges news of this instance or of another one, to be told to @p scope.
 * @return whether they change the evidence
 */
bool dw_part_quarantine_merge(struct dw_part_quarantine *quarantine,
			      const struct dw_part_news *news, enum dw_spread_scope scope,
			      uint64_t now_us);

/** Whether requests with the part ended well lately, as far as is known here. */
bool dw_part_quarantine_is_established(const struct dw_part_quarantine *quarantine,
				       struct dw_fingerprint id, uint64_t now_us);

/**
 * A run ended well on an upstream of @p version, whose answer began at @p began_at_us.
 * @return number of parts that it cleared of crashes
 */
uint32_t dw_part_quarantine_ended_well(struct dw_part_quarantine *quarantine,
				       const struct dw_part_set *set, uint64_t version,
				       uint64_t began_at_us, uint64_t now_us);

/** Withdraws all evidence against a part, here only. @return whether there was any */
bool dw_part_quarantine_lift(struct dw_part_quarantine *quarantine, struct dw_fingerprint id,
			     uint64_t now_us);

/** Takes up to @p max news that have to be sent to @p scope in this round. @return their number */
size_t dw_part_quarantine_take_news(struct dw_part_quarantine *quarantine,
				    enum dw_spread_scope scope, uint32_t round, uint64_t now_us,
				    struct dw_part_news *out, size_t max);

/** Copies what counts against a part: a piece of news for each crash and request. @return their number */
uint32_t dw_part_quarantine_evidence(const struct dw_part_quarantine *quarantine,
				     struct dw_fingerprint id, uint64_t now_us,
				     struct dw_part_news out[DW_PART_EVIDENCE_MAX]);

/** Number of crashes that count against a part. */
uint32_t dw_part_quarantine_crash_count(const struct dw_part_quarantine *quarantine,
					struct dw_fingerprint id, uint64_t now_us);

/** Whether there is enough evidence against the part to refuse requests with it. */
bool dw_part_quarantine_is_quarantined(const struct dw_part_quarantine *quarantine,
				       struct dw_fingerprint id, uint64_t now_us);

/** Removes what has expired. */
void dw_part_quarantine_tick(struct dw_part_quarantine *quarantine, uint64_t now_us);

/** Number of parts with evidence that doesn't suffice. */
size_t dw_part_quarantine_suspect_count(const struct dw_part_quarantine *quarantine,
					uint64_t now_us);
size_t dw_part_quarantine_count(const struct dw_part_quarantine *quarantine, uint64_t now_us);

#ifdef __cplusplus
}
#endif

#endif
