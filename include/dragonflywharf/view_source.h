/**
 * @file view_source.h
 * Decides, for one instance, when it reads the store itself and which other instance it asks for
 * records. Time is an argument; nothing is sent here.
 *
 * Each answer proves that the instance's copy was current at some moment. The age of that proof
 * drives all decisions: an instance whose proof grows too old asks its next source, and later reads
 * the store itself. Instances do the latter one after the other, in the order of their ranks, with
 * twice as many of them after each step: the store meets few at once, and the last of them still has
 * the change within the time limit. A proof that came from another instance is dated from before the
 * request, so messages that were held up can't make it look younger.
 */
#ifndef DRAGONFLYWHARF_VIEW_SOURCE_H
#define DRAGONFLYWHARF_VIEW_SOURCE_H

#include <stdbool.h>

#include <dragonflywharf/view_tree.h>

#ifdef __cplusplus
extern "C" {
#endif

/** All in microseconds, derived from the time limit for applying a change. */
struct dw_view_timing {
	uint64_t poll_interval_us; /**< of a reader: least time between two calls */
	uint64_t poll_wait_us; /**< of a reader: most time between two proofs */
	uint64_t hold_us; /**< an instance with nothing new answers after this time */
	uint64_t pull_timeout_us; /**< a source that hasn't answered by then has failed */
	uint64_t stale_us; /**< age of a proof from which another source is asked */
	uint64_t takeover_us; /**< age of the proof at which the first other instances read */
	uint64_t takeover_step_us; /**< after each step, twice as many instances may read */
	uint64_t retry_us; /**< pause between calls to an unreachable store, for non-readers */
};

struct dw_view_timing dw_view_timing_from(uint64_t change_applied_us);

enum dw_view_origin { DW_VIEW_FROM_STORE, DW_VIEW_FROM_PEER, DW_VIEW_ORIGIN_COUNT };

/** A source that failed, and when it may be asked again. */
struct dw_view_failed_source {
	uint64_t instance_id; /**< 0: unused */
	uint64_t avoid_until_us;
	uint32_t failures; /**< in a row */
};

struct dw_view_source {
	struct dw_view_timing timing;
	struct dw_view_place place;
	uint64_t started_at_us;
	/** This instance is one that starting instances ask first, so it doesn't wait for others. */
	bool is_seed;
	bool has_seeds; /**< there should be other instances, even if none is known yet */
	uint64_t confirmed_at_us[DW_VIEW_ORIGIN_COUNT]; /**< newest proof of each; 0: none */
	struct dw_view_failed_source failed[DW_VIEW_SOURCES_MAX];
	uint64_t asked; /**< the source asked last; 0: none */
	bool wants_memory; /**< to ask a source even if the store serves this instance */
	uint64_t behind_since_us; /**< since when no source has the changes that are missing; 0 */
	bool is_reading;
	uint64_t reading_since_us;
};

/**
 * @param started_at_us from when the instance may take part; a random delay here spreads instances
 * that start together and know no other one.
 */
void dw_view_source_init(struct dw_view_source *source, uint64_t change_applied_us,
			 uint64_t started_at_us);

/** The time limit for applying a change has changed. */
void dw_view_source_set_limit(struct dw_view_source *source, uint64_t change_applied_us);

/** The members, and with them the place of this instance, have changed. */
void dw_view_source_place(struct dw_view_source *source, const struct dw_view_place *place);

/** The copy was current at @p confirmed_at_us according to the store or to the source asked. */
void dw_view_source_confirmed(struct dw_view_source *source, enum dw_view_origin origin,
			      uint64_t confirmed_at_us, uint64_t now_us);
/**
 * The source asked last doesn't remember all changes that this instance lacks. Their number is small
 * and that of all records may be large, so the store is asked for them first.
 */
void dw_view_source_behind(struct dw_view_source *source, uint64_t now_us);
/** Whether the store is being asked for missing changes, so that no source is asked meanwhile. */
bool dw_view_source_waits_for_store(const struct dw_view_source *source, uint64_t now_us);
/** Whether to ask a source for all records, as neither it nor the store had the changes. */
bool dw_view_source_wants_all(const struct dw_view_source *source, uint64_t now_us);
/** The source asked last didn't answer, or not properly. */
void dw_view_source_failed(struct dw_view_source *source, uint64_t now_us);

/** Whether this instance reads the store now. */
bool dw_view_source_reads_store(struct dw_view_source *source, uint64_t now_us);
/** Whether it reads the store because of its rank, rather than for want of a better source. */
bool dw_view_source_is_reader(const struct dw_view_source *source);
/** The instance to ask next; 0: none now. */
uint64_t dw_view_source_next(struct dw_view_source *source, uint64_t now_us);

/** The newest proof; 0: none yet. */
uint64_t dw_view_source_confirmed_at_us(const struct dw_view_source *source);

/**
 * Dates a proof received from another instance.
 * @param requested_at_us this instance's clock before it sent the request
 * @param held_us time for which the source held the request
 * @param age_us age of the source's proof when it answered
 * @return 0 if that can't be: the proof would be older than this instance's clock, or the request
 * was held for longer than it took
 */
uint64_t dw_view_relayed_proof_us(uint64_t requested_at_us, uint64_t held_us, uint64_t age_us,
				  uint64_t now_us);

#ifdef __cplusplus
}
#endif

#endif
