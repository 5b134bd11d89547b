/**
 * @file ledger_state.h
 * Internal state of struct dw_ledger, shared by ledger.c (tail, batches) and ledger_peer.c
 * (copies).
 */
#ifndef WHARF_CORE_LEDGER_STATE_H
#define WHARF_CORE_LEDGER_STATE_H

#include <msgpack.h>
#include <uthash.h>

#include "core/record_replica.h"

#ifdef __cplusplus
extern "C" {
#endif

/**
 * A record of the own tail. Adopted records join the tail too, so they are copied and written in
 * the same way.
 */
struct dw_ledger_entry {
	struct dw_usage_record record;
	uint64_t seq;
	uint64_t protection_deadline_us;
	struct dw_ledger_entry *prev;
	struct dw_ledger_entry *next;
	UT_hash_handle hh;
};

struct dw_ledger_ack {
	struct dw_member_key to;
	uint64_t seq;
	struct dw_ledger_ack *prev;
	struct dw_ledger_ack *next;
};

/** A batch that was written, as a restored store may lack it. */
struct dw_ledger_batch {
	uint64_t seq;
	uint64_t until_us;
	bool due; /**< to be written again */
	uint8_t *bytes;
	size_t len;
	UT_hash_handle hh;
};

/** The peer that holds copies of the own tail. Sequence numbers start at 1. */
struct dw_ledger_holder {
	struct dw_member_key key;
	bool present;
	uint64_t sent_seq;
	uint64_t acked_seq;
	uint64_t trimmed_seq; /**< the last written_seq that was sent to it */
	uint64_t resend_at_us;
};

struct dw_ledger {
	struct dw_ledger_options options;
	struct dw_ledger_entry *tail; /**< records not yet written, in order of seq */
	struct dw_ledger_entry *by_id;
	struct dw_replica_table held;
	struct dw_ledger_holder holder;
	struct dw_ledger_ack *acks;
	uint64_t last_seq;
	uint64_t written_seq;
	/** last record that the holder acknowledged; set to written_seq when the holder changes */
	uint64_t copied_seq;
	uint64_t exposed_seq; /**< records up to it have waited max_protection_wait_us */
	uint64_t reported_seq; /**< returned last by dw_ledger_next_protected() */
	uint32_t reserved;
	uint64_t batch_end_seq; /**< last record of the batch in progress; 0: none */
	uint64_t batch_seq;
	bool write_in_progress;
	bool write_void; /**< it began before a restore, and may be lost */
	struct dw_ledger_batch *kept; /**< by seq, oldest first */
	size_t kept_bytes;
	uint64_t again_seq; /**< the kept batch that is being written; 0: none */
	bool again_void; /**< that write began before a restore */
	uint64_t again_at_us; /**< earliest time of the next one */
	uint64_t write_at_us; /**< time of the next write; UINT64_MAX: none is due */
	bool flushing;
	msgpack_sbuffer buffer;
	struct dw_ledger_counters counters;
};

/**
 * Appends a record to the own tail. If the tail already has its request id, only returns that
 * record's @p seq.
 */
enum dw_status dw_ledger_add(struct dw_ledger *ledger, const struct dw_usage_record *record,
			     uint64_t now_us, uint64_t *seq);

/** Schedules the next write after the interval that the holder and the size of the tail require. */
void dw_ledger_schedule_write(struct dw_ledger *ledger, uint64_t now_us);

/** Keeps the bytes of the batch that has just been written. */
void dw_ledger_keep_batch(struct dw_ledger *ledger, uint64_t now_us);

/** The next kept batch to write again; NULL if none is due or one is in progress. */
struct dw_ledger_batch *dw_ledger_next_again(struct dw_ledger *ledger, uint64_t now_us);

/** Reports the result of writing one again. */
void dw_ledger_again_done(struct dw_ledger *ledger, uint64_t seq, enum dw_status status,
			  uint64_t now_us);

/** Frees all kept batches. */
void dw_ledger_drop_kept(struct dw_ledger *ledger);

#ifdef __cplusplus
}
#endif

#endif
