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

#ifdef __cplusplus
}
#endif

#endif
