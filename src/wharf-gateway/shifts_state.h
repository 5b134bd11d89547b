/**
 * @file shifts_state.h
 * The state of a service's rollout, shared by the modules that handle it: shifts.c (orders, records read,
 * counts) and shift_records.c (records written).
 */
#ifndef GATEWAY_SHIFTS_STATE_H
#define GATEWAY_SHIFTS_STATE_H

#include <uthash.h>

#include "wharf-gateway/shifts.h"

/** Between two looks at the rollouts for what has to be written. */
#define SHIFT_CHECK_PERIOD_MS 200

/** Keys: the prefix and the service. */
#define SHIFT_PROGRESS_PREFIX "wharf/progress/"
/** Keys: the prefix, the service, a slash and the instance. */
#define SHIFT_EVIDENCE_PREFIX "wharf/evidence/"

/* Lengths of the arrays in an evidence record. */
#define SHIFT_LOAD_FIELDS (2 + 2 * DW_SHIFT_LOAD_LEVELS)
#define SHIFT_ROUTE_FIELDS (1 + 4 * DW_SHIFT_SIDE_COUNT)

struct peer_evidence {
	char instance[DW_ENGINE_TEXT_BYTES];
	struct dw_shift_evidence evidence;
	struct peer_evidence *next;
};

/* Write state of a record in the store. */
struct stored_record {
	uint64_t revision; /**< of the key, as last read or written; 0: it doesn't exist */
	uint64_t read_revision; /**< the same, as last read */
	/** Revision that a write found in its place; no more writes until the record was read. */
	uint64_t unread_revision;
	uint64_t write_due_us; /**< when this instance will write; 0: no write is needed */
	bool in_flight;
	bool is_rewrite; /**< what is due was lost in a restore */
};

/* What the store's status record says. */
struct stored_status {
	enum dw_shift_state state; /**< NONE: there is no record */
	char target[DW_ENGINE_TEXT_BYTES];
	bool is_unjudged; /**< it was read with an era's first state, which isn't complete yet */
};

struct service_shift {
	struct shifts *owner;
	uint64_t number; /**< of the rollouts of the service that this instance has begun */
	struct dw_shift shift;
	struct peer_evidence *peers;
	struct stored_record status;
	struct stored_status stored;
	bool is_recorded; /**< the store has, or had, the rollout's outcome */
	struct stored_record progress;
	struct stored_record evidence;
	/** The order was in the store with records of its progress: other instances had begun. */
	bool is_late;
	uint32_t questions; /**< how often the others were asked for their pins */
	bool is_writer; /**< this instance wrote the rollout's last shared record */
	uint32_t written_progress; /**< progress in the store, in thousandths */
	/* Counts of the new version in this instance's evidence record in the store. */
	uint32_t written_bad_or_slow;
	uint32_t written_answers;
	uint32_t written_proof; /**< dw_shift_proof_answers() when the record was written */
	uint64_t evidence_at_us;
	bool is_proof_told; /**< the counts that may prove the new version good were written */
	bool is_proof_in_flight; /**< they are being written */
	uint64_t proof_retry_at_us; /**< after a failed write; 0: none failed */
	enum dw_shift_state written_state; /**< of this rollout, as the store has it */
	bool is_evidence_lost; /**< this instance's, in the first state of an era */
	UT_hash_handle hh; /**< keyed by shift.order.service */
};

/** A record was read; @p revision 0: it doesn't exist. */
void shift_records_read(struct stored_record *record, uint64_t revision);

/** Writes what a restore has lost, and all that names the order if that was written again. */
void shift_records_rewrite(struct service_shift *service, uint64_t now_us);

/** Writes the records that are due: status, progress and this instance's evidence. */
void shift_records_write(struct service_shift *service, uint64_t now_us);

#endif
