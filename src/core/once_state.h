/**
 * @file once_state.h
 * Internal state of struct dw_once, shared by once.c (tickets) and once_commit.c (store
 * operations).
 */
#ifndef WHARF_CORE_ONCE_STATE_H
#define WHARF_CORE_ONCE_STATE_H

#include <uthash.h>

#include "core/once_shard.h"

#ifdef __cplusplus
extern "C" {
#endif

enum dw_once_ticket_state {
	DW_ONCE_TICKET_WAITING, /**< the intent isn't known to be committed */
	DW_ONCE_TICKET_DISPATCHED,
	DW_ONCE_TICKET_FINISHED, /**< the outcome isn't known to be committed */
	/**
	 * Never sent, and the caller has been told so; the intent may be in the store or a delayed
	 * write may still put it there.
	 */
	DW_ONCE_TICKET_ABANDONED,
	DW_ONCE_TICKET_STATE_COUNT
};

struct dw_once_ticket {
	uint64_t id; /**< also the sequence number of its intent */
	enum dw_once_ticket_state state;
	uint32_t shard;
	struct dw_fingerprint key;
	struct dw_fingerprint fingerprint;
	uint64_t deadline_us;
	/**
	 * FINISHED: when the caller gets DW_ONCE_OUTCOME_NOT_STORED if the outcome isn't committed
	 */
	uint64_t answer_deadline_us;
	/** wall clock; expiry of the record, set when it is first written */
	uint64_t expires_at_us;
	uint64_t written_at_revision; /**< expected revision of the last write that included it */
	uint32_t conflicts;
	bool restore_due; /**< DISPATCHED: a restored store may lack the intent */
	bool written; /**< a write has included its intent */
	bool in_write; /**< the write in progress includes it */
	bool reread; /**< a read of its shard was started after the ticket was created */
	bool key_unused; /**< that read found no record of the key */
	bool answered; /**< FINISHED: the caller has its decision */
	enum dw_once_record_state outcome;
	struct dw_once_answer answer;
	uint8_t *body; /**< owned; body of the answer */
	struct dw_once_ticket *prev; /**< other tickets of the same shard */
	struct dw_once_ticket *next;
	UT_hash_handle hh;
};

/** This instance's cached copy of one shard; kept only while the shard has tickets. */
struct dw_once_shard_cache {
	struct dw_once_shard records;
	uint64_t revision;
	/** highest ever seen; a read that returns a lower one, as after a restore, fails */
	uint64_t highest_revision;
	bool valid; /**< false: the shard must be read before the cached copy is used */
	uint32_t failures; /**< consecutive failed operations */
	uint64_t next_operation_at_us; /**< earliest start of the next operation */
	uint64_t operation_id; /**< the operation in progress; 0: none */
	enum dw_once_operation_kind operation_kind;
	bool operation_void; /**< it began before a restore: its result says nothing */
	struct dw_once_ticket *tickets;
};

/** A call that this instance dispatched lately: what a restored store may lack. */
struct dw_once_kept {
	uint64_t id; /**< of its ticket, which may have ended */
	uint32_t shard;
	uint64_t until_us; /**< monotonic; not before its ticket has ended */
	struct dw_once_record record; /**< owns its body */
	UT_hash_handle hh;
};

struct dw_once_queued_decision {
	struct dw_once_decision decision;
	uint8_t *body; /**< owned */
	struct dw_once_queued_decision *prev;
	struct dw_once_queued_decision *next;
};

struct dw_once {
	struct dw_once_options options;
	struct dw_once_shard_cache *caches;
	struct dw_once_ticket *tickets; /**< by id */
	struct dw_once_kept *kept; /**< by id, oldest first */
	uint64_t settled_at_us; /**< no dispatch before */
	struct dw_once_queued_decision *decisions;
	/** the decision that the caller took last; owns the body that the caller reads */
	struct dw_once_queued_decision *last_decision;
	msgpack_sbuffer buffer; /**< encoded value of the last write */
	uint64_t last_ticket;
	uint64_t last_operation;
	uint32_t next_shard; /**< where the search for the next operation starts, for fairness */
	struct dw_once_counters counters;
};

/** Remembers the call of a ticket that is being dispatched. */
void dw_once_keep(struct dw_once *once, const struct dw_once_ticket *ticket,
		  struct dw_once_time time);

/** Updates what is remembered with the outcome of a finished ticket. */
void dw_once_keep_outcome(struct dw_once *once, const struct dw_once_ticket *ticket,
			  struct dw_once_time time);

/** Forgets a call that provably wasn't sent. */
void dw_once_forget(struct dw_once *once, uint64_t id);

void dw_once_forget_all(struct dw_once *once);

/** Whether a shard that was read lacks a remembered record of an ended call. */
bool dw_once_lacks_kept(const struct dw_once *once, uint32_t shard, uint64_t wall_us);

/** Queues a decision for the caller; the body of a REPLAY is copied. */
void dw_once_queue_decision(struct dw_once *once, const struct dw_once_decision *decision);

/** Frees a ticket; with the last ticket of a shard, its cached records too. */
void dw_once_remove_ticket(struct dw_once *once, struct dw_once_ticket *ticket);

/**
 * Refuses the call of a ticket, which will never run. If a write has included the intent, the
 * ticket becomes ABANDONED until the intent is known to be removed; otherwise it is freed.
 */
void dw_once_refuse(struct dw_once *once, struct dw_once_ticket *ticket, enum dw_status status);

/**
 * Advances the shard's tickets as far as the cached records allow. Does nothing while the cache is
 * invalid or an operation is in progress.
 */
void dw_once_resolve_tickets(struct dw_once *once, struct dw_once_shard_cache *cache,
			     struct dw_once_time time);

/** As dw_once_resolve_tickets(), for one ticket; may free it. */
void dw_once_resolve_ticket(struct dw_once *once, struct dw_once_ticket *ticket,
			    struct dw_once_time time);

/** Whether the shard needs a read or a write and no operation is in progress. */
bool dw_once_shard_cache_has_work(const struct dw_once_shard_cache *cache);

#ifdef __cplusplus
}
#endif

#endif
