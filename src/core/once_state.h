/**
 * @file once_state.h
 * The state behind struct dw_once, shared by once.c (tickets) and once_commit.c (store operations).
 */
#ifndef WHARF_CORE_ONCE_STATE_H
#define WHARF_CORE_ONCE_STATE_H

#include <uthash.h>

#include "core/once_shard.h"

#ifdef __cplusplus
extern "C" {
#endif

enum dw_once_ticket_state {
	DW_ONCE_TICKET_WAITING, /**< its intent isn't known to be committed */
	DW_ONCE_TICKET_DISPATCHED,
	DW_ONCE_TICKET_FINISHED, /**< its outcome isn't known to be committed */
	/** Never dispatched, its caller was told; its intent may be in the store or arrive there. */
	DW_ONCE_TICKET_ABANDONED,
	DW_ONCE_TICKET_STATE_COUNT
};

struct dw_once_ticket {
	uint64_t id; /**< also the sequence of its intent */
	enum dw_once_ticket_state state;
	uint32_t shard;
	struct dw_fingerprint key;
	struct dw_fingerprint fingerprint;
	uint64_t deadline_us;
	uint64_t answer_deadline_us; /**< FINISHED: when the caller is answered without a commit */
	uint64_t expires_at_us; /**< wall clock; end of its record, set when it is first written */
	uint64_t written_at_revision; /**< the expected revision of its last write */
	uint32_t conflicts;
	bool written; /**< its intent was part of a write */
	bool in_write; /**< part of the write under way */
	bool reread; /**< a read of its shard was started after it */
	bool key_unused; /**< such a read found no record of its key */
	bool answered; /**< FINISHED: the caller has its decision */
	enum dw_once_state outcome;
	struct dw_once_answer answer;
	uint8_t *body; /**< owned */
	struct dw_once_ticket *prev; /**< in its shard */
	struct dw_once_ticket *next;
	UT_hash_handle hh;
};

/** What this instance knows of one shard; kept only while it has tickets. */
struct dw_once_shard_cache {
	struct dw_once_shard records;
	uint64_t revision;
	uint64_t highest_revision; /**< ever seen; a lower one is a store that went back */
	bool known;
	uint32_t failures; /**< operations failed in a row */
	uint64_t not_before_us; /**< of the next operation */
	uint64_t operation_id; /**< under way; 0: none */
	enum dw_once_operation_kind operation_kind;
	struct dw_once_ticket *tickets;
};

struct dw_once_queued_decision {
	struct dw_once_decision decision;
	uint8_t *body; /**< owned */
	struct dw_once_queued_decision *prev;
	struct dw_once_queued_decision *next;
};

struct dw_once {
	struct dw_once_options options;
	struct dw_once_shard_cache *views;
	struct dw_once_ticket *tickets; /**< by id */
	struct dw_once_queued_decision *decisions;
	struct dw_once_queued_decision *taken; /**< its body was lent to the caller */
	msgpack_sbuffer buffer; /**< of the last write */
	uint64_t last_ticket;
	uint64_t last_operation;
	uint32_t next_shard; /**< where the search for work starts, for fairness */
	struct dw_once_counters counters;
};

/** Queues a decision; a REPLAY's body is copied. */
void dw_once_queue_decision(struct dw_once *once, const struct dw_once_decision *decision);

/** Forgets a ticket, and its shard's view with the last one. */
void dw_once_remove_ticket(struct dw_once *once, struct dw_once_ticket *ticket);

/** Tells the caller that the ticket's call never runs; the ticket is dropped or abandoned. */
void dw_once_refuse(struct dw_once *once, struct dw_once_ticket *ticket, enum dw_status status);

/** Compares the shard's tickets with its view, if known, and decides what can be. */
void dw_once_resolve_tickets(struct dw_once *once, struct dw_once_shard_cache *view,
			     struct dw_once_time time);

/** As dw_once_resolve_tickets() for one ticket, which may be dropped. */
void dw_once_resolve_ticket(struct dw_once *once, struct dw_once_ticket *ticket,
			    struct dw_once_time time);

/** Whether the shard has something to read or write. */
bool dw_once_shard_cache_has_work(const struct dw_once_shard_cache *view);

#ifdef __cplusplus
}
#endif

#endif
