/**
 * @file ledger_state.h
 * The state behind struct dw_ledger, shared by ledger.c (tail, batches) and ledger_peer.c (copies).
 */
#ifndef WHARF_CORE_LEDGER_STATE_H
#define WHARF_CORE_LEDGER_STATE_H

#include <msgpack.h>
#include <uthash.h>

#include "core/record_replica.h"

#ifdef __cplusplus
extern "C" {
#endif

/** A record of the own tail. Adopted records join it, so they are copied and written alike. */
struct dw_ledger_entry {
	struct dw_usage_record record;
	uint64_t seq;
	uint64_t protect_by_us;
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

/** The holder of the own tail's copies. Sequences count from 1. */
struct dw_ledger_holder {
	struct dw_member_key key;
	bool present;
	uint64_t sent_seq;
	uint64_t acked_seq;
	uint64_t trimmed_seq; /**< the written_seq that it was told */
	uint64_t resend_at_us;
};

struct dw_ledger {
	struct dw_ledger_options options;
	struct dw_ledger_entry *tail; /**< unwritten, by seq */
	struct dw_ledger_entry *by_id;
	struct dw_replica_table held;
	struct dw_ledger_holder holder;
	struct dw_ledger_ack *acks;
	uint64_t last_seq;
	uint64_t written_seq;
	uint64_t copied_seq; /**< copied to some holder at the time */
	uint64_t exposed_seq; /**< waited long enough */
	uint64_t reported_seq; /**< named by dw_ledger_next_protected() */
	uint32_t reserved;
	uint64_t sealed_seq; /**< last record of the batch that is being written; 0: none */
	uint64_t batch_seq;
	bool write_under_way;
	uint64_t write_at_us; /**< UINT64_MAX: nothing to write */
	bool flushing;
	msgpack_sbuffer buffer;
	struct dw_ledger_counters counters;
};

/** Appends a record to the own tail, unless the tail has its request id already. */
enum dw_status dw_ledger_add(struct dw_ledger *ledger, const struct dw_usage_record *record,
			     uint64_t now_us, uint64_t *seq);

/** Makes a write due after the interval that fits the state. */
void dw_ledger_schedule_write(struct dw_ledger *ledger, uint64_t now_us);

#ifdef __cplusplus
}
#endif

#endif
