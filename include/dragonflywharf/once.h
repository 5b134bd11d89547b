/**
 * @file once.h
 * At-most-once execution of non-idempotent calls, by (organisation, service, idempotency key).
 *
 * Before a call is dispatched, its intent is committed to the platform's key-value service. Intents
 * are stored in journal shards. A shard is one value that is changed only by compare-and-swap on
 * its revision, so a writer with an outdated revision is rejected. The owner of an intent never
 * changes: only the ticket that committed it gets DW_ONCE_DISPATCH, and gets it once. If the
 * response to a compare-and-swap is lost, the shard is read again; the result is never assumed.
 *
 * Usage: call dw_once_begin() for each call. After every call into this module, pass all operations
 * from dw_once_next_operation() to the store and all decisions from dw_once_next_decision() to the
 * callers. Report the result of each operation with dw_once_complete(). Call dw_once_tick() at
 * dw_once_deadline_us().
 */
#ifndef DRAGONFLYWHARF_ONCE_H
#define DRAGONFLYWHARF_ONCE_H

#include <dragonflywharf/fingerprint.h>
#include <dragonflywharf/member_key.h>
#include <dragonflywharf/status.h>

#ifdef __cplusplus
extern "C" {
#endif

#define DW_ONCE_CONTENT_TYPE_BYTES 64

struct dw_once;

struct dw_once_options {
	struct dw_member_key self;
	/** must be the same on all instances and never change for an existing journal */
	uint32_t shard_count;
	uint32_t max_shard_bytes; /**< a full shard refuses new intents; at most 1,000,000 */
	uint32_t max_answer_bytes; /**< longer answers are stored without their body */
	uint32_t max_tickets; /**< limit on calls and unwritten outcomes in memory */
	/** a call is refused after more lost compare-and-swaps than this */
	uint32_t max_conflicts;
	uint64_t group_interval_us; /**< minimum time between two writes of one shard */
	/** base delay after a store failure or a conflict; backoff and jitter apply */
	uint64_t retry_interval_us;
	/** maximum time an answer is held back until its outcome is committed */
	uint64_t outcome_wait_us;
	/** an intent older than this (wall clock) counts as of unknown outcome */
	uint64_t intent_timeout_us;
	uint64_t lifetime_us; /**< time to live of a record (wall clock) */
	/** maximum difference between the wall clocks of two instances */
	uint64_t max_clock_skew_us;
	/** how long this instance remembers its own calls, to write them again into a restored store */
	uint64_t keep_us;
	uint32_t max_kept; /**< maximum number of calls remembered; the oldest is forgotten first */
	/** after a restore no call is dispatched for this long: others write theirs again */
	uint64_t settle_us;
};

/**
 * Current time and random bits, passed in because this module reads neither clock nor random
 * source.
 */
struct dw_once_time {
	uint64_t now_us; /**< monotonic */
	uint64_t wall_us;
	uint64_t random;
};

struct dw_once_request {
	const char *organisation;
	const char *service;
	const char *key; /**< the caller's Idempotency-Key */
	struct dw_fingerprint fingerprint; /**< of path and body */
	uint64_t deadline_us; /**< monotonic; the call isn't dispatched after it */
};

/** A service's complete HTTP response. */
struct dw_once_answer {
	uint16_t http_status;
	char content_type[DW_ONCE_CONTENT_TYPE_BYTES];
	const char *body; /**< NULL if the body wasn't stored because it is too long */
	uint32_t body_bytes;
};

enum dw_once_decision_kind {
	DW_ONCE_DISPATCH, /**< run the call; issued at most once for a key, over all instances */
	DW_ONCE_REPLAY, /**< send the stored answer of the earlier call */
	DW_ONCE_IN_PROGRESS, /**< another call with this key is in progress; this one isn't sent */
	DW_ONCE_OUTCOME_UNKNOWN, /**< the call may have run; it is never sent again */
	DW_ONCE_MISMATCH, /**< the key was used before with another path or body */
	DW_ONCE_REFUSED, /**< this call hasn't run and never will */
	/** after dw_once_finish(): the outcome is stored; send the answer; ends the ticket */
	DW_ONCE_OUTCOME_STORED,
	/** as DW_ONCE_OUTCOME_STORED, but the outcome isn't stored yet */
	DW_ONCE_OUTCOME_NOT_STORED,
	DW_ONCE_DECISION_KIND_COUNT
};

/**
 * What the caller of this module has to do for a ticket. Every kind but DISPATCH ends the ticket
 * for it.
 */
struct dw_once_decision {
	uint64_t ticket;
	enum dw_once_decision_kind kind;
	/** DW_OK, DW_UNAVAILABLE, DW_OVERLOADED, DW_TIMEOUT, DW_CONFLICT or DW_UNKNOWN_OUTCOME */
	enum dw_status status;
	/**
	 * REFUSED only: true if the key had no record when the journal was last read. If false, an
	 * earlier call with this key may have run although this call hasn't: "not run" may then be
	 * reported for this call, but not for the key.
	 */
	bool key_unused;
	/** REPLAY only; the body is valid until the next call into this module */
	struct dw_once_answer answer;
};

enum dw_once_operation_kind { DW_ONCE_READ, DW_ONCE_CAS, DW_ONCE_OPERATION_KIND_COUNT };

/** A store operation on the value of @ref shard. At most one per shard is in progress. */
struct dw_once_operation {
	uint64_t id;
	enum dw_once_operation_kind kind;
	uint32_t shard;
	uint64_t expected_revision; /**< CAS only; 0: the value must not exist yet */
	const uint8_t *bytes; /**< CAS only; copy before the next call into this module */
	size_t len;
};

struct dw_once_completion {
	uint64_t id; /**< dw_once_operation.id */
	/**
	 * READ: DW_OK or any failure. CAS: DW_OK, DW_CONFLICT (the revision differs, not applied),
	 * DW_UNAVAILABLE (known not to be applied) or DW_UNKNOWN_OUTCOME (the response was lost);
	 * any other status counts as DW_UNKNOWN_OUTCOME.
	 */
	enum dw_status status;
	/** if DW_OK: the value's revision; READ: 0 if the value doesn't exist */
	uint64_t revision;
	const uint8_t *bytes; /**< READ */
	size_t len;
};

struct dw_once_counters {
	uint64_t reads;
	uint64_t writes;
	uint64_t conflicts;
	uint64_t lost_responses;
	uint64_t dispatches;
	uint64_t replays;
	uint64_t refusals;
	uint64_t outcomes_not_stored;
	uint64_t restores; /**< dw_once_store_restored(), and restores that a shard has shown */
	uint64_t written_again; /**< records that a restored store lacked or had as older */
	uint64_t forgotten; /**< calls dropped from memory before keep_us, for max_kept */
	uint64_t
		taken_over; /**< records lost by a restore whose key another call has taken since */
};

/** @return DW_OK, DW_INVALID_ARGUMENT or DW_NO_MEMORY. */
enum dw_status dw_once_new(struct dw_once **out, const struct dw_once_options *options);
void dw_once_free(struct dw_once *once);

/** Defaults for a few calls per second: 64 shards of up to 256 KB, records kept for 24 hours. */
struct dw_once_options dw_once_default_options(struct dw_member_key self);

/**
 * Starts a call. On failure it has not run ("not run").
 *
 * @return DW_OK and a ticket, DW_INVALID_ARGUMENT, DW_OVERLOADED or DW_NO_MEMORY.
 */
enum dw_status dw_once_begin(struct dw_once *once, const struct dw_once_request *request,
			     struct dw_once_time time, uint64_t *ticket);

/**
 * Returns the journal shard of a call, which is the same on all instances. Any instance may take
 * any call; calls of one shard that go to the same instance share its writes.
 */
uint32_t dw_once_shard_index(const struct dw_once *once, const struct dw_once_request *request);

/**
 * Whether a dispatched call may be sent. Must be checked immediately before its bytes are sent, and
 * again before a retry of an attempt that was provably not sent. Only the ticket that owns the
 * intent may retry.
 */
bool dw_once_may_send(const struct dw_once *once, uint64_t ticket, uint64_t now_us);

/**
 * Reports the outcome of a dispatched call; a DW_ONCE_OUTCOME_STORED or DW_ONCE_OUTCOME_NOT_STORED
 * decision follows. A NULL @p answer means that the outcome is unknown: the call was sent, but no
 * complete answer was received.
 *
 * @return DW_OK, DW_NOT_FOUND or DW_NO_MEMORY.
 */
enum dw_status dw_once_finish(struct dw_once *once, uint64_t ticket,
			      const struct dw_once_answer *answer, struct dw_once_time time);

/**
 * Cancels a dispatched call of which provably no byte was sent. Its intent is removed by the next
 * write of the shard, after which the key can run. Ends the ticket; the caller may report "not
 * run".
 *
 * @return DW_OK or DW_NOT_FOUND.
 */
enum dw_status dw_once_release(struct dw_once *once, uint64_t ticket, struct dw_once_time time);

/** Gets the next store operation to start. @return false if none is due. */
bool dw_once_next_operation(struct dw_once *once, struct dw_once_time time,
			    struct dw_once_operation *operation);

/** Reports the result of an operation, exactly once for each. */
void dw_once_complete(struct dw_once *once, const struct dw_once_completion *completion,
		      struct dw_once_time time);

/** Takes the next decision. @return false if there is none. */
bool dw_once_next_decision(struct dw_once *once, struct dw_once_decision *decision);

/** Handles expired deadlines. */
void dw_once_tick(struct dw_once *once, struct dw_once_time time);

/**
 * The store came back from an older copy, which may lack records and give out revisions again. Results of
 * operations in progress are ignored, every shard is read again, what this instance remembers is written
 * again, and no call gets DW_ONCE_DISPATCH before settle_us have passed.
 */
void dw_once_store_restored(struct dw_once *once, struct dw_once_time time);

/**
 * The store answers again after an outage. It may be an older copy that lacks what this instance has never seen, so
 * no call gets DW_ONCE_DISPATCH before settle_us have passed: an instance that sees it writes its records again, and
 * tells the others.
 */
void dw_once_store_back(struct dw_once *once, struct dw_once_time time);

/**
 * Earliest monotonic time at which dw_once_tick() or a store operation is due; UINT64_MAX if none.
 */
uint64_t dw_once_deadline_us(const struct dw_once *once);

/**
 * Number of tickets that are running or still need the store, with or without a waiting caller. A
 * graceful shutdown waits until it is 0.
 */
size_t dw_once_pending(const struct dw_once *once);

struct dw_once_counters dw_once_read_counters(const struct dw_once *once);

#ifdef __cplusplus
}
#endif

#endif
