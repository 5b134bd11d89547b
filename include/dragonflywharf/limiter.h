/**
 * @file limiter.h
 * Load limits of upstreams, held over all instances of a share group together.
 *
 * A limit of n is n slots. A slot is owned by the roster's member with the highest rendezvous hash
 * (Thaler and Ravishankar, "Using name-based mappings to increase hit rates", 1998). The owner uses
 * it for its own requests or lends it to one borrower at a time. Safety rests on no clock: a slot
 * is taken until its request has ended and its borrower has said so, and a new epoch's owner waits
 * until the former one has handed the slot over, or all members of the epoch have declared what
 * they hold. Times given to these functions only pace retries and the return of idle loans.
 *
 * Order of use: new, set_roster, set_upstream for each; then acquire, release, want, receive and
 * tick as things happen; after each of them drain the outbox with next_message.
 */
#ifndef DRAGONFLYWHARF_LIMITER_H
#define DRAGONFLYWHARF_LIMITER_H

#include "dragonflywharf/member_key.h"
#include "dragonflywharf/roster.h"
#include "dragonflywharf/status.h"

#ifdef __cplusplus
extern "C" {
#endif

#define DW_LIMITER_SLOTS_MAX 1024 /**< highest limit of one upstream */
#define DW_LIMITER_UPSTREAMS_MAX 65536
#define DW_LIMITER_ENTRIES_MAX 8192 /**< entries in one declaration */
#define DW_LIMITER_BORROW_REQUESTS_PER_UPSTREAM 4
#define DW_LIMITER_BORROW_REQUESTS_MAX 256 /**< outstanding asks of one instance */
#define DW_LIMITER_BORROW_TIMEOUT_US UINT64_C(250000) /**< an ask is given up after this */
#define DW_LIMITER_DENIED_BACKOFF_US UINT64_C(20000) /**< pause after all owners have refused */
/** A loan may be used again until then: less than a waiter stays (half of DW_LIMITER_BORROW_TIMEOUT_US), so that
 * turns go round at a limit below the number of instances. */
#define DW_LIMITER_LOAN_REUSE_US UINT64_C(100000)
#define DW_LIMITER_DECLARATION_POLL_US UINT64_C(1000000) /**< between requests for a declaration */

/** The right to run one request at one upstream, until it is released. */
struct dw_permit {
	uint64_t upstream_id;
	uint64_t hold_seq;
	uint32_t slot;
};

enum dw_limiter_message_kind {
	DW_LIMITER_BORROW, /**< lend me a slot that is free now */
	DW_LIMITER_BORROW_WAIT, /**< lend me the next one that becomes free */
	DW_LIMITER_GRANT, /**< here is one */
	DW_LIMITER_DENY, /**< none is free */
	DW_LIMITER_RETURN, /**< the loan has ended */
	DW_LIMITER_DECLARE, /**< epoch adopted, all that I hold of your slots, slots handed over */
	DW_LIMITER_MESSAGE_KIND_COUNT
};

enum dw_limiter_entry_kind {
	DW_LIMITER_HELD, /**< the sender holds this slot of the receiver */
	DW_LIMITER_HANDOVER_FREE, /**< the sender, its former owner, hands it over free */
	DW_LIMITER_HANDOVER_LENT, /**< handed over while lent to `borrower` */
	DW_LIMITER_ENTRY_KIND_COUNT
};

struct dw_limiter_entry {
	uint64_t upstream_id;
	uint64_t hold_seq; /**< the holder's number of this hold */
	uint16_t slot;
	uint8_t kind; /**< enum dw_limiter_entry_kind */
	uint8_t borrower; /**< index in the roster, for DW_LIMITER_HANDOVER_LENT */
};

struct dw_limiter_message {
	enum dw_limiter_message_kind kind;
	uint64_t epoch; /**< the sender's */
	uint64_t digest; /**< of the sender's roster */
	union {
		/** All but DECLARE; `slot` has a meaning in GRANT and RETURN only. */
		struct {
			uint64_t upstream_id;
			uint64_t hold_seq;
			uint16_t slot;
		} loan;
		struct {
			uint64_t seq; /**< grows with each declaration of the sender */
			uint64_t floor_seq; /**< no grant up to this hold_seq will be accepted */
			bool complete; /**< all holds are named: what isn't named isn't held */
			bool answer_wanted;
			uint32_t entry_count;
			struct dw_limiter_entry
				*entries; /**< freed by dw_limiter_message_clear() */
		} declare;
	};
};

/** Frees what the message owns. */
void dw_limiter_message_clear(struct dw_limiter_message *message);

struct dw_limiter_status {
	uint32_t limit; /**< in force now: the limit, or the cold one */
	uint32_t owned; /**< of the slots in force */
	uint32_t free; /**< owned ones that may be used or lent now */
	uint32_t unsettled; /**< owned, former holders not yet known */
	uint32_t lent;
	uint32_t borrowed; /**< running or idle */
	uint32_t in_flight;
	uint32_t borrow_requests;
};

struct dw_limiter;

/** NULL without memory. */
struct dw_limiter *dw_limiter_new(struct dw_member_key self);
void dw_limiter_free(struct dw_limiter *share);

/**
 * Adopts a roster read from the store (never one that was only proposed).
 * @return DW_STALE for an older epoch, DW_CONFLICT for another content of the present one,
 * DW_INVALID_ARGUMENT for a malformed one; DW_OK also if it is the present one.
 */
enum dw_status dw_limiter_set_roster(struct dw_limiter *share, const struct dw_roster *roster,
				     uint64_t now_us);

/** The epoch adopted, and the highest one seen in a message: if that is higher, read the store. */
uint64_t dw_limiter_epoch(const struct dw_limiter *share);
uint64_t dw_limiter_epoch_seen(const struct dw_limiter *share);

/** True when all members have declared themselves in the present epoch. */
bool dw_limiter_is_settled(const struct dw_limiter *share);

/** Registers an upstream or changes its limits; a limit of 0 gives no permits. */
enum dw_status dw_limiter_set_upstream(struct dw_limiter *share, uint64_t upstream_id,
				       uint32_t limit, uint32_t cold_limit);

/** Upstreams are cold until this says otherwise. */
enum dw_status dw_limiter_set_cold(struct dw_limiter *share, uint64_t upstream_id, bool cold);

/**
 * Takes a permit from an own slot or an idle loan.
 * @return DW_OVERLOADED if there is none here now (then dw_limiter_request_slots()), DW_NOT_FOUND for an
 * unknown upstream, DW_UNAVAILABLE without a roster that names this instance or after leave.
 */
enum dw_status dw_limiter_acquire(struct dw_limiter *share, uint64_t upstream_id, uint64_t now_us,
				  struct dw_permit *out);

/** The request has ended at the upstream, or was never sent. DW_STALE if not held. */
enum dw_status dw_limiter_release(struct dw_limiter *share, const struct dw_permit *permit,
				  uint64_t now_us);

/** Asks other owners, bounded, for up to @p count more slots; call again while requests wait. */
void dw_limiter_request_slots(struct dw_limiter *share, uint64_t upstream_id, uint32_t count,
			      uint64_t now_us);

/**
 * The connection to a member is up or down, as the transport or the failure detector sees it. A
 * member that is down isn't asked for slots; nothing else follows from it. All start as up.
 */
void dw_limiter_set_reachable(struct dw_limiter *share, struct dw_member_key member,
			      bool reachable);

/**
 * Takes in a message of the authenticated peer @p from.
 * @return DW_STALE if it belongs to another epoch or run, DW_INVALID_ARGUMENT if malformed; both
 * leave the state as it was.
 */
enum dw_status dw_limiter_receive(struct dw_limiter *share, struct dw_member_key from,
				  const struct dw_limiter_message *message, uint64_t now_us);

/** Returns idle loans, gives up asks and requests declarations that are due. */
void dw_limiter_tick(struct dw_limiter *share, uint64_t now_us);

/** When dw_limiter_tick() is next needed; UINT64_MAX if it isn't. */
uint64_t dw_limiter_deadline_us(const struct dw_limiter *share);

/** Takes the next message to send; the caller clears it. False if there is none. */
bool dw_limiter_next_message(struct dw_limiter *share, struct dw_member_key *to,
			     struct dw_limiter_message *out);

/** Upstreams for which a slot became usable here since the last call; false if there are none. */
bool dw_limiter_next_ready(struct dw_limiter *share, uint64_t *upstream_id);

/** Graceful stop: no more permits or loans; idle loans go back at the next tick. */
void dw_limiter_leave(struct dw_limiter *share);

/** True after leave when no request runs and no loan is held: may be announced as released. */
bool dw_limiter_is_released(const struct dw_limiter *share);

enum dw_status dw_limiter_upstream_status(const struct dw_limiter *share, uint64_t upstream_id,
					  struct dw_limiter_status *out);

/** Permits that dw_limiter_acquire() would give now, one after another, and the limit in force. */
uint32_t dw_limiter_available_permits(const struct dw_limiter *share, uint64_t upstream_id,
				      uint32_t *limit);

/** Bytes held by @p share. */
uint64_t dw_limiter_state_bytes(const struct dw_limiter *share);

#ifdef __cplusplus
}
#endif

#endif
