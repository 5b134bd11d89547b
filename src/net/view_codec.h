/**
 * @file view_codec.h
 * Encoding of the answer in which one instance passes records of the store to another.
 *
 * The answer is a msgpack array: version of this encoding, revision, first known revision of its era, hops, 1 if these are
 * all records or 2 if they are changes over a gap, else 0, time held, age of the proof or nil, time since the end of the
 * store's last outage or nil, since the begin and the end of the last time from which proofs may lack changes or nil, the
 * records, and 1 if the answer tells of the past, and the source knows of it what instances that run for long know, else 0.
 *
 * A record is an array of key, revision, value, the revision that it is kept over, as the store has lost it in a restore,
 * or 0, the last value of a deleted key or nil, and for how long it has been deleted. In place of the value there is nil
 * for a deleted key, and for a packed value (value_codec) an array of the revision of its base, 0 without one, and bytes.
 * Revisions hold the store's era.
 *
 * An instance of version 2 would take such a revision for one of the store, so it gets no answer (404); nor does one
 * of version 3, which doesn't know of gaps.
 */
#ifndef WHARF_NET_VIEW_CODEC_H
#define WHARF_NET_VIEW_CODEC_H

#include <msgpack.h>

#include <dragonflywharf/status.h>
#include <dragonflywharf/view_log.h>

#ifdef __cplusplus
extern "C" {
#endif

#define VIEW_CODEC_VERSION 4
#define VIEW_ANSWER_MAX_BYTES (UINT64_C(32) << 20)

struct view_answer {
	uint64_t revision; /**< all changes up to it are known with these records */
	uint64_t era_begin; /**< first revision of its era that was known */
	uint32_t hops; /**< instances between the source and the store */
	bool is_snapshot; /**< these are all records: keys that aren't listed don't exist */
	/** Changes that were undone in between aren't known to the source (dw_view_log_has_gap_after()). */
	bool is_over_gap;
	uint64_t held_us; /**< for how long the source held the request */
	bool has_proof; /**< the source's copy was current age_us before the answer */
	uint64_t age_us;
	bool had_outage; /**< the store came back store_back_us before the answer */
	uint64_t store_back_us;
	bool has_gap; /**< proofs from gap_from_us to gap_until_us before the answer may lack changes */
	uint64_t gap_from_us;
	uint64_t gap_until_us;
	/** The answer tells of the past, and its source hasn't just started, or was told by one that hasn't. */
	bool has_memory;
	uint64_t now_us; /**< for view_answer_pack(): when the answer is made */
	/** For view_answer_pack(): also deletions, of whatever revision, since this time, and the last values of all
	 * deleted keys; 0: none, and only last values that the receiver may not know. */
	uint64_t deleted_since_us;
	bool with_kept; /**< for view_answer_pack(): also all kept records and those that replaced some,
			  * of whatever revision */
	/** Only set by view_answer_unpack(). A packed one has no value. */
	struct dw_view_record *records;
	size_t record_count;
	char *text; /**< memory of the records */
};

/** Packs the answer with the records of @p log newer than @p after, or all that exist. */
void view_answer_pack(msgpack_packer *packer, const struct view_answer *answer,
		      const struct dw_view_log *log, uint64_t after);

/**
 * Unpacks an answer; on DW_OK the caller must call view_answer_free().
 * @return DW_TOO_LARGE, or DW_INVALID_ARGUMENT if it is malformed or of another version.
 */
enum dw_status view_answer_unpack(const uint8_t *bytes, size_t len, struct view_answer *answer);
void view_answer_free(struct view_answer *answer);

#ifdef __cplusplus
}
#endif

#endif
