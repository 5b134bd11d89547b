/**
 * @file ledger.h
 * Usage records: each request is billed once.
 *
 * The instance that served a request appends one record. A copy of the unwritten tail is kept by a
 * peer in another failure domain before the end of the answer is passed on; batches of the tail
 * are written to the platform's store under keys that are created once. When the owner dies, the
 * peer writes what it holds. Duplicates are harmless: the fold is a union by organisation and
 * request id.
 *
 * Use: dw_ledger_reserve() when a request is admitted; dw_ledger_append() before its answer's last
 * bytes; hold those back until dw_ledger_next_protected() names its sequence. After every call
 * take dw_ledger_next_message() to the peers and dw_ledger_next_write() to the store.
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
	uint32_t max_tail_records; /**< own records reserved or unwritten; beyond it: refused */
	uint32_t
		max_held_records; /**< copies kept for peers; beyond it copies aren't acknowledged */
	uint32_t max_batch_records;
	uint64_t write_interval_us; /**< least time between two batches */
	uint64_t retry_interval_us; /**< until an unacknowledged copy or failed write is repeated */
	uint64_t max_protection_wait_us; /**< after it an answer goes out exposed */
};

enum dw_ledger_message_kind {
	DW_LEDGER_COPY, /**< records of owner from seq on, to be held */
	DW_LEDGER_ACK, /**< each of owner's records up to seq is held by the sender or written */
	DW_LEDGER_TRIM, /**< owner has written its records up to written_seq */
	DW_LEDGER_MESSAGE_KIND_COUNT
};

struct dw_ledger_message {
	enum dw_ledger_message_kind kind;
	struct dw_member_key owner; /**< whose tail it is about */
	uint64_t written_seq; /**< COPY, TRIM: holders drop records up to it */
	uint64_t seq; /**< COPY: of the first record; ACK: the last one */
	uint32_t record_count; /**< COPY only */
	struct dw_usage_record records[DW_LEDGER_MESSAGE_RECORDS];
};

/** A batch to be created in the store; create-only: an existing key is a success. */
struct dw_ledger_write {
	uint64_t id;
	char key[DW_LEDGER_KEY_BYTES];
	const uint8_t *bytes; /**< copy before the next call here */
	size_t len;
};

/** How a record was kept when its answer was let go. */
enum dw_ledger_protection {
	DW_LEDGER_COPIED, /**< a peer holds it */
	DW_LEDGER_WRITTEN, /**< it is in the store */
	DW_LEDGER_EXPOSED, /**< neither, within the bounded wait; counted */
	DW_LEDGER_PROTECTION_COUNT
};

struct dw_ledger_counters {
	uint64_t appended;
	uint64_t repeated; /**< appended again with a request id of the tail */
	uint64_t written;
	uint64_t batches;
	uint64_t adopted;
	uint64_t exposed;
	uint64_t refused;
};

enum dw_status dw_ledger_new(struct dw_ledger **out, const struct dw_ledger_options *options);
void dw_ledger_free(struct dw_ledger *ledger);

/** 16,384 records of its own and as many for peers, batches of 1,024 each 2 s. */
struct dw_ledger_options dw_ledger_default_options(struct dw_member_key self);

/** Room for one record. @return DW_OK, or DW_OVERLOADED: refuse the request, truly not run. */
enum dw_status dw_ledger_reserve(struct dw_ledger *ledger);
/** Gives room back for a request that isn't billed. */
void dw_ledger_unreserve(struct dw_ledger *ledger);

/** Appends a record into reserved room; @p seq names it. A repeat gets the first one's seq. */
enum dw_status dw_ledger_append(struct dw_ledger *ledger, const struct dw_usage_record *record,
				uint64_t now_us, uint64_t *seq);

/**
 * How a record is kept by now; DW_LEDGER_PROTECTION_COUNT: not yet, its answer must not end. To be
 * asked after an append, as a repeat may be protected already.
 */
enum dw_ledger_protection dw_ledger_protection_of(const struct dw_ledger *ledger, uint64_t seq);

/** Names the next record whose answer may end; in order of seq. Unknown ones were adopted. */
bool dw_ledger_next_protected(struct dw_ledger *ledger, uint64_t *seq,
			      enum dw_ledger_protection *protection);

/** The peer in another failure domain that holds copies; NULL if none can be reached. */
void dw_ledger_set_holder(struct dw_ledger *ledger, const struct dw_member_key *holder,
			  uint64_t now_us);

/** Next message and the member it goes to; false if there is none. */
bool dw_ledger_next_message(struct dw_ledger *ledger, uint64_t now_us, struct dw_member_key *to,
			    struct dw_ledger_message *message);

/** A message from the authenticated peer @p from. @return DW_OK, DW_INVALID_ARGUMENT,
 * DW_OVERLOADED (no room for its copy) or DW_STALE. */
enum dw_status dw_ledger_receive(struct dw_ledger *ledger, const struct dw_member_key *from,
				 const struct dw_ledger_message *message, uint64_t now_us);

/** A run of an instance is over (dead, or left): its held tail is written by this one. */
void dw_ledger_member_dead(struct dw_ledger *ledger, const struct dw_member_key *member,
			   uint64_t now_us);

/** Next batch to create in the store; at most one under way. */
bool dw_ledger_next_write(struct dw_ledger *ledger, uint64_t now_us, struct dw_ledger_write *write);

/** End of a write: DW_OK and DW_CONFLICT (the key exists) both mean written; else repeated. */
void dw_ledger_write_done(struct dw_ledger *ledger, uint64_t id, enum dw_status status,
			  uint64_t now_us);

/** Handles deadlines that have passed. */
void dw_ledger_tick(struct dw_ledger *ledger, uint64_t now_us);
uint64_t dw_ledger_deadline_us(const struct dw_ledger *ledger);

/** Graceful stop: batches are due at once. Wait for dw_ledger_unwritten() to be 0. */
void dw_ledger_flush(struct dw_ledger *ledger, uint64_t now_us);
/** Own and adopted records that aren't in the store. */
size_t dw_ledger_unwritten(const struct dw_ledger *ledger);

struct dw_ledger_counters dw_ledger_read_counters(const struct dw_ledger *ledger);

/** Reads a batch value. @return DW_OK, DW_TOO_LARGE or DW_INVALID_ARGUMENT. */
enum dw_status dw_usage_batch_decode(const uint8_t *bytes, size_t len,
				     enum dw_status (*each)(const struct dw_usage_record *record,
							    void *data),
				     void *data);

/** Totals of one organisation and version. */
struct dw_ledger_total {
	char organisation[DW_USAGE_NAME_BYTES];
	char model[DW_USAGE_NAME_BYTES];
	char version[DW_USAGE_NAME_BYTES];
	uint64_t requests;
	uint64_t prompt_tokens;
	uint64_t completion_tokens;
	uint64_t cost_micros;
};

/** The union of usage records by organisation and request id. */
struct dw_ledger_fold;
struct dw_ledger_fold *dw_ledger_fold_new(void);
void dw_ledger_fold_free(struct dw_ledger_fold *fold);
/** Of two records of one request the one that finished first counts, whatever the order. */
enum dw_status dw_ledger_fold_add(struct dw_ledger_fold *fold,
				  const struct dw_usage_record *record);
/** Adds the records of a batch value. */
enum dw_status dw_ledger_fold_batch(struct dw_ledger_fold *fold, const uint8_t *bytes, size_t len);
/** Calls @p each for every total, sorted by names. */
enum dw_status dw_ledger_fold_totals(const struct dw_ledger_fold *fold,
				     void (*each)(const struct dw_ledger_total *total, void *data),
				     void *data);

#ifdef __cplusplus
}
#endif

#endif
