/**
 * @file ledger.h
 * Usage records for billing: each request is billed exactly once.
 *
 * The instance that served a request, the owner, appends one record. The owner's records that
 * aren't in the platform's store yet are its tail. A peer in another failure domain, the holder,
 * keeps a copy of the tail; the end of an answer is passed on only after its record is copied. The
 * owner writes batches of the tail to the store under keys that are created once and never changed.
 * If the owner dies, the holder writes the copies that it has. Duplicates do no harm: the fold
 * counts each pair of organisation and request id once.
 *
 * Usage: call dw_ledger_reserve() when a request is admitted and dw_ledger_append() before the last
 * bytes of its answer. Hold those bytes back until dw_ledger_next_protected() returns the record's
 * sequence number. After every call into this module, send all messages from
 * dw_ledger_next_message() to the peers and the batch from dw_ledger_next_write() to the store.
 */
#ifndef DRAGONFLYWHARF_LEDGER_H
#define DRAGONFLYWHARF_LEDGER_H

#include <dragonflywharf/fingerprint.h>
#include <dragonflywharf/member_key.h>
#include <dragonflywharf/status.h>

#ifdef __cplusplus
extern "C" {
#endif

#define DW_USAGE_NAME_BYTES 65
#define DW_LEDGER_KEY_BYTES 80
#define DW_LEDGER_MESSAGE_RECORDS 64

struct dw_ledger;

/** Usage of one request, as it is billed. */
struct dw_usage_record {
	struct dw_fingerprint request_id;
	char organisation[DW_USAGE_NAME_BYTES];
	char model[DW_USAGE_NAME_BYTES];
	char version[DW_USAGE_NAME_BYTES];
	uint32_t prompt_tokens;
	uint32_t completion_tokens;
	uint64_t cost_micros;
	uint64_t finished_at_us; /**< wall clock */
};

struct dw_ledger_options {
	struct dw_member_key self;
	/** own records reserved or not yet written; further requests are refused */
	uint32_t max_tail_records;
	uint32_t max_held_records; /**< copies kept for peers; further copies aren't acknowledged */
	uint32_t max_batch_records;
	uint64_t write_interval_us; /**< minimum time between two batches */
	/** delay before an unacknowledged copy is resent or a failed write is retried */
	uint64_t retry_interval_us;
	/**
	 * an answer waits at most this long for protection, then it is released as
	 * DW_LEDGER_EXPOSED
	 */
	uint64_t max_protection_wait_us;
	uint64_t
		keep_us; /**< how long written batches are kept, to write them again into a restored store */
	uint32_t max_kept_bytes; /**< of all kept batches; the oldest is dropped first */
};

enum dw_ledger_message_kind {
	DW_LEDGER_COPY, /**< owner's records from seq on, to be held by the receiver */
	DW_LEDGER_ACK, /**< all of owner's records up to seq are held by the sender or written */
	DW_LEDGER_TRIM, /**< owner has written its records up to written_seq */
	DW_LEDGER_MESSAGE_KIND_COUNT
};

struct dw_ledger_message {
	enum dw_ledger_message_kind kind;
	struct dw_member_key owner; /**< owner of the tail that the message is about */
	uint64_t written_seq; /**< COPY, TRIM: the holder drops the records up to this one */
	uint64_t seq; /**< COPY: first record in the message; ACK: last acknowledged record */
	uint32_t record_count; /**< COPY only */
	struct dw_usage_record records[DW_LEDGER_MESSAGE_RECORDS];
};

/**
 * A batch to create in the store. If the key exists already, the batch was written before, which
 * counts as success.
 */
struct dw_ledger_write {
	uint64_t id;
	char key[DW_LEDGER_KEY_BYTES];
	const uint8_t *bytes; /**< copy before the next call into this module */
	size_t len;
};

/** How a record was protected against the loss of this instance when its answer was released. */
enum dw_ledger_protection {
	DW_LEDGER_COPIED, /**< a peer holds a copy */
	DW_LEDGER_WRITTEN, /**< the record is in the store */
	/** neither happened within max_protection_wait_us; counted in dw_ledger_counters.exposed */
	DW_LEDGER_EXPOSED,
	DW_LEDGER_PROTECTION_COUNT
};

struct dw_ledger_counters {
	uint64_t appended;
	uint64_t repeated; /**< appends whose request id is already in the tail */
	uint64_t written;
	uint64_t batches;
	uint64_t adopted;
	uint64_t exposed;
	uint64_t refused;
	uint64_t
		written_again; /**< batches that were written again after a restore, or were still there */
	uint64_t dropped; /**< kept batches that were dropped before keep_us, for max_kept_bytes */
};

enum dw_status dw_ledger_new(struct dw_ledger **out, const struct dw_ledger_options *options);
void dw_ledger_free(struct dw_ledger *ledger);

/**
 * Defaults: 16,384 own records and 16,384 copies for peers, a batch of up to 1,024 records every 2
 * s, which is kept for 120 s.
 */
struct dw_ledger_options dw_ledger_default_options(struct dw_member_key self);

/**
 * Reserves space for one record. @return DW_OK, or DW_OVERLOADED: the request must be refused, and
 * is provably not run.
 */
enum dw_status dw_ledger_reserve(struct dw_ledger *ledger);
/** Releases the reservation of a request that isn't billed. */
void dw_ledger_unreserve(struct dw_ledger *ledger);

/**
 * Appends a record, using up one reservation. Sets @p seq to the record's sequence number; a record
 * whose request id is already in the tail gets the number of the first one.
 */
enum dw_status dw_ledger_append(struct dw_ledger *ledger, const struct dw_usage_record *record,
				uint64_t now_us, uint64_t *seq);

/**
 * Returns how a record is protected now, or DW_LEDGER_PROTECTION_COUNT if it isn't yet and its
 * answer must not end. Must be checked after an append: a repeated record may have been protected,
 * and returned by dw_ledger_next_protected(), before.
 */
enum dw_ledger_protection dw_ledger_protection_of(const struct dw_ledger *ledger, uint64_t seq);

/**
 * Gets the next record whose answer may end, in order of sequence numbers. Ignore numbers that no
 * append returned: those records were adopted from a dead member.
 */
bool dw_ledger_next_protected(struct dw_ledger *ledger, uint64_t *seq,
			      enum dw_ledger_protection *protection);

/**
 * Sets the peer in another failure domain that holds the copies; NULL if no such peer can be
 * reached.
 */
void dw_ledger_set_holder(struct dw_ledger *ledger, const struct dw_member_key *holder,
			  uint64_t now_us);

/** Gets the next message and its receiver. @return false if there is none. */
bool dw_ledger_next_message(struct dw_ledger *ledger, uint64_t now_us, struct dw_member_key *to,
			    struct dw_ledger_message *message);

/**
 * Handles a message from the authenticated peer @p from.
 *
 * @return DW_OK, DW_INVALID_ARGUMENT, DW_OVERLOADED (no space for its copy), DW_STALE or
 * DW_NO_MEMORY.
 */
enum dw_status dw_ledger_receive(struct dw_ledger *ledger, const struct dw_member_key *from,
				 const struct dw_ledger_message *message, uint64_t now_us);

/**
 * Reports that a member is dead or has left. This instance adopts the copies of its tail: they join
 * the own tail and are written from it.
 */
void dw_ledger_member_dead(struct dw_ledger *ledger, const struct dw_member_key *member,
			   uint64_t now_us);

/**
 * Gets the next batch to create in the store. @return false if none is due or one is in progress.
 */
bool dw_ledger_next_write(struct dw_ledger *ledger, uint64_t now_us, struct dw_ledger_write *write);

/**
 * Reports the result of a write. DW_OK and DW_CONFLICT (the key exists) both mean written; after
 * any other status the same batch is written again.
 */
void dw_ledger_write_done(struct dw_ledger *ledger, uint64_t id, enum dw_status status,
			  uint64_t now_us);

/**
 * The store came back from an older copy, which may lack batches that were written: those that are kept are due again. A batch
 * that is still there counts as written.
 */
void dw_ledger_store_restored(struct dw_ledger *ledger, uint64_t now_us);
/** Number of batches that are due again. */
size_t dw_ledger_due_again(const struct dw_ledger *ledger);

/** Handles expired deadlines. */
void dw_ledger_tick(struct dw_ledger *ledger, uint64_t now_us);
uint64_t dw_ledger_deadline_us(const struct dw_ledger *ledger);

/**
 * Makes all batches due at once, for a graceful shutdown, which then waits until
 * dw_ledger_unwritten() is 0.
 */
void dw_ledger_flush(struct dw_ledger *ledger, uint64_t now_us);
/** Number of own and adopted records that aren't in the store yet. */
size_t dw_ledger_unwritten(const struct dw_ledger *ledger);

struct dw_ledger_counters dw_ledger_read_counters(const struct dw_ledger *ledger);

/**
 * Decodes a batch and calls @p each for every record; stops at the first failure of @p each.
 *
 * @return DW_OK, DW_TOO_LARGE, DW_INVALID_ARGUMENT or the failure of @p each.
 */
enum dw_status dw_usage_batch_decode(const uint8_t *bytes, size_t len,
				     enum dw_status (*each)(const struct dw_usage_record *record,
							    void *data),
				     void *data);

/** Totals of one organisation, model and version. */
struct dw_ledger_total {
	char organisation[DW_USAGE_NAME_BYTES];
	char model[DW_USAGE_NAME_BYTES];
	char version[DW_USAGE_NAME_BYTES];
	uint64_t requests;
	uint64_t prompt_tokens;
	uint64_t completion_tokens;
	uint64_t cost_micros;
};

/** Folds usage records into totals. Records are deduplicated by organisation and request id. */
struct dw_ledger_fold;
struct dw_ledger_fold *dw_ledger_fold_new(void);
void dw_ledger_fold_free(struct dw_ledger_fold *fold);
/**
 * Adds a record. Of two records of one request the one that finished first counts, in whichever
 * order they are added.
 */
enum dw_status dw_ledger_fold_add(struct dw_ledger_fold *fold,
				  const struct dw_usage_record *record);
/** Adds all records of an encoded batch. */
enum dw_status dw_ledger_fold_batch(struct dw_ledger_fold *fold, const uint8_t *bytes, size_t len);
/** Calls @p each for every total, sorted by organisation, model and version. */
enum dw_status dw_ledger_fold_totals(const struct dw_ledger_fold *fold,
				     void (*each)(const struct dw_ledger_total *total, void *data),
				     void *data);

#ifdef __cplusplus
}
#endif

#endif
