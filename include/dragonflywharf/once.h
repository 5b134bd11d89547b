/**
 * @file once.h
 * Non-idempotent calls run at most once for each (organisation, service, idempotency key).
 *
 * The intent to run a call is committed in the platform's key-value service before the call is
 * dispatched. Intents live in journal shards; a shard is one value, changed only by compare-and-
 * swap on its revision, so that a stale writer is fenced by the revision. An intent never changes
 * its owner: only the ticket that committed it gets DW_ONCE_DISPATCH, once. A lost answer of a
 * compare-and-swap is re-read and never guessed.
 *
 * Use: dw_once_begin() for each call; then after every call into this module take all
 * dw_once_next_operation() to the store and all dw_once_next_decision() to the callers. Report
 * each operation's end with dw_once_complete(). Call dw_once_tick() at dw_once_deadline_us().
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
	uint32_t shard_count; /**< the same on all instances, for the journal's whole life */
	uint32_t max_shard_bytes; /**< a full shard refuses new intents; at most 1,000,000 */
	uint32_t max_answer_bytes; /**< longer answers are kept without their body */
	uint32_t max_tickets; /**< bound on calls and unwritten outcomes in memory */
	uint32_t max_conflicts; /**< compare-and-swaps lost in a row before a call is refused */
	uint64_t group_interval_us; /**< least time between two writes of one shard */
	uint64_t retry_interval_us; /**< wait after a store failure or a conflict, with jitter */
	uint64_t outcome_wait_us; /**< how long an answer waits for its outcome's commit */
	uint64_t intent_timeout_us; /**< an intent older than this (wall clock) counts as unknown */
	uint64_t lifetime_us; /**< a record is kept this long (wall clock) */
	uint64_t max_clock_skew_us; /**< bound on the difference of two instances' wall clocks */
};

/** Both clocks and fresh random bits, as one argument. */
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
	uint64_t deadline_us; /**< monotonic; never dispatched after it */
};

/** A service's answer, whole. */
struct dw_once_answer {
	uint16_t http_status;
	char content_type[DW_ONCE_CONTENT_TYPE_BYTES];
	const char *body; /**< NULL if the body wasn't kept (too long) */
	uint32_t body_bytes;
};

enum dw_once_decision_kind {
	DW_ONCE_DISPATCH, /**< run it: said at most once for a key, over all instances */
	DW_ONCE_REPLAY, /**< send the kept answer */
	DW_ONCE_IN_PROGRESS, /**< another call with this key is under way; not sent again */
	DW_ONCE_OUTCOME_UNKNOWN, /**< it may have run; never sent again */
	DW_ONCE_MISMATCH, /**< the key was used with another path or body */
	DW_ONCE_REFUSED, /**< this call hasn't run and never will */
	DW_ONCE_OUTCOME_STORED, /**< after dw_once_finish(): answer the caller, ticket ended */
	DW_ONCE_OUTCOME_NOT_STORED, /**< as KEPT, but the outcome isn't written yet */
	DW_ONCE_DECISION_KIND_COUNT
};

/** What to do for a ticket. All but DISPATCH end the ticket for the caller of this module. */
struct dw_once_decision {
	uint64_t ticket;
	enum dw_once_decision_kind kind;
	/** DW_OK, DW_UNAVAILABLE, DW_OVERLOADED, DW_TIMEOUT, DW_CONFLICT or DW_UNKNOWN_OUTCOME */
	enum dw_status status;
	/**
	 * REFUSED only: the key had no record when the journal was last read. If false, an earlier
	 * call with this key may have run, though this one hasn't: "not run" then holds for this
	 * call and must not be said of the key.
	 */
	bool key_unused;
	struct dw_once_answer answer; /**< REPLAY only; its body lives until the next call here */
};

enum dw_once_operation_kind { DW_ONCE_READ, DW_ONCE_CAS, DW_ONCE_OPERATION_KIND_COUNT };

/** A store operation on the value of @ref shard. At most one under way a shard. */
struct dw_once_operation {
	uint64_t id;
	enum dw_once_operation_kind kind;
	uint32_t shard;
	uint64_t expected_revision; /**< CAS only; 0: the value must be absent */
	const uint8_t *bytes; /**< CAS only; copy before the next call here */
	size_t len;
};

struct dw_once_completion {
	uint64_t id; /**< of the operation */
	/**
	 * READ: DW_OK, or any failure. CAS: DW_OK, DW_CONFLICT (revision differs, not taken),
	 * DW_UNAVAILABLE (provably not taken), DW_UNKNOWN_OUTCOME (answer lost); others are taken
	 * as DW_UNKNOWN_OUTCOME.
	 */
	enum dw_status status;
	uint64_t revision; /**< DW_OK: the value's revision; READ: 0 if absent */
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
};

/** @return DW_OK, DW_INVALID_ARGUMENT or DW_NO_MEMORY. */
enum dw_status dw_once_new(struct dw_once **out, const struct dw_once_options *options);
void dw_once_free(struct dw_once *once);

/** Options that suit a few calls a second: 64 shards, 256 KB a shard, 24 hours. */
struct dw_once_options dw_once_default_options(struct dw_member_key self);

/** @return DW_OK and a ticket, DW_INVALID_ARGUMENT or DW_OVERLOADED; a failure is "not run". */
enum dw_status dw_once_begin(struct dw_once *once, const struct dw_once_request *request,
			     struct dw_once_time time, uint64_t *ticket);

/**
 * The journal shard of a call, the same on all instances. Calls of a shard that come to one
 * instance share its writes; any instance may take any call.
 */
uint32_t dw_once_shard_index(const struct dw_once *once, const struct dw_once_request *request);

/**
 * To be asked just before the bytes of a dispatched call are sent, also before a second try after
 * an attempt that was provably not sent (only the owning ticket may try again).
 */
bool dw_once_may_send(const struct dw_once *once, uint64_t ticket, uint64_t now_us);

/**
 * Tells a dispatched call's outcome; a KEPT or UNKEPT decision follows. A NULL @p answer says that
 * the outcome is unknown: sent, but no whole answer came.
 * @return DW_OK, DW_NOT_FOUND or DW_NO_MEMORY.
 */
enum dw_status dw_once_finish(struct dw_once *once, uint64_t ticket,
			      const struct dw_once_answer *answer, struct dw_once_time time);

/**
 * Gives back a dispatched call of which provably no byte was sent. Its intent is removed with the
 * shard's next write, and the key may then run. The ticket ends; "not run" is true.
 * @return DW_OK or DW_NOT_FOUND.
 */
enum dw_status dw_once_release(struct dw_once *once, uint64_t ticket, struct dw_once_time time);

/** Next store operation to start; false if there is none now. */
bool dw_once_next_operation(struct dw_once *once, struct dw_once_time time,
			    struct dw_once_operation *operation);

/** Reports an operation's end. Each operation must be completed exactly once. */
void dw_once_complete(struct dw_once *once, const struct dw_once_completion *completion,
		      struct dw_once_time time);

/** Next decision; false if there is none now. */
bool dw_once_next_decision(struct dw_once *once, struct dw_once_decision *decision);

/** Handles deadlines that have passed. */
void dw_once_tick(struct dw_once *once, struct dw_once_time time);

/** Earliest monotonic time at which dw_once_tick() or an operation is due; UINT64_MAX if none. */
uint64_t dw_once_deadline_us(const struct dw_once *once);

/** Tickets that run or still need the store, also without a caller; a graceful stop waits for 0. */
size_t dw_once_pending(const struct dw_once *once);

struct dw_once_counters dw_once_read_counters(const struct dw_once *once);

#ifdef __cplusplus
}
#endif

#endif
