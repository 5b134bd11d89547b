/**
 * @file share.h
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
#ifndef DRAGONFLYWHARF_SHARE_H
#define DRAGONFLYWHARF_SHARE_H

#include "dragonflywharf/member_key.h"
#include "dragonflywharf/roster.h"
#include "dragonflywharf/status.h"

#ifdef __cplusplus
extern "C" {
#endif

#define DW_SHARE_SLOTS_MAX 1024 /**< highest limit of one upstream */
#define DW_SHARE_UPSTREAMS_MAX 65536
#define DW_SHARE_ENTRIES_MAX 8192 /**< entries in one declaration */
#define DW_SHARE_ASKS_PER_UPSTREAM 4
#define DW_SHARE_ASKS_MAX 256 /**< outstanding asks of one instance */
#define DW_SHARE_ASK_US UINT64_C(250000) /**< an ask is given up after this */
#define DW_SHARE_DENIED_US UINT64_C(20000) /**< pause after all owners have refused */
/** A loan may be used again until then: less than a waiter stays (half of DW_SHARE_ASK_US), so that
 * turns go round at a limit below the number of instances. */
#define DW_SHARE_LOAN_US UINT64_C(100000)
#define DW_SHARE_POLL_US UINT64_C(1000000) /**< between requests for a declaration */

/** The right to run one request at one upstream, until it is released. */
struct dw_permit {
	uint64_t upstream_id;
	uint64_t hold_seq;
	uint32_t slot;
};

enum dw_share_message_kind {
	DW_SHARE_ASK, /**< lend me a slot that is free now */
	DW_SHARE_WAIT, /**< lend me the next one that becomes free */
	DW_SHARE_GRANT, /**< here is one */
	DW_SHARE_DENY, /**< none is free */
	DW_SHARE_RETURN, /**< the loan has ended */
	DW_SHARE_DECLARE, /**< epoch adopted, all that I hold of your slots, slots handed over */
	DW_SHARE_MESSAGE_KIND_COUNT
};

enum dw_share_entry_kind {
	DW_SHARE_HELD, /**< the sender holds this slot of the receiver */
	DW_SHARE_HANDED_FREE, /**< the sender, its former owner, hands it over free */
	DW_SHARE_HANDED_LENT, /**< handed over while lent to `borrower` */
	DW_SHARE_ENTRY_KIND_COUNT
};

struct dw_share_entry {
	uint64_t upstream_id;
	uint64_t hold_seq; /**< the holder's number of this hold */
	uint16_t slot;
	uint8_t kind; /**< enum dw_share_entry_kind */
	uint8_t borrower; /**< index in the roster, for DW_SHARE_HANDED_LENT */
};

struct dw_share_message {
	enum dw_share_message_kind kind;
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
			struct dw_share_entry *entries; /**< freed by dw_share_message_clear() */
		} declare;
	};
};

/** Frees what the message owns. */
void dw_share_message_clear(struct dw_share_message *message);

struct dw_share_status {
	uint32_t limit; /**< in force now: the limit, or the cold one */
	uint32_t owned; /**< of the slots in force */
	uint32_t free; /**< owned ones that may be used or lent now */
	uint32_t unsettled; /**< owned, former holders not yet known */
	uint32_t lent;
	uint32_t borrowed; /**< running or idle */
	uint32_t in_flight;
	uint32_t borrow_requests;
};

struct dw_share;

/** NULL without memory. */
struct dw_share *dw_share_new(struct dw_member_key self);
void dw_share_free(struct dw_share *share);

/**
 * Adopts a roster read from the store (never one that was only proposed).
 * @return DW_STALE for an older epoch, DW_CONFLICT for another content of the present one,
 * DW_INVALID_ARGUMENT for a malformed one; DW_OK also if it is the present one.
 */
enum dw_status dw_share_set_roster(struct dw_share *share, const struct dw_roster *roster,
				   uint64_t now_us);

/** The epoch adopted, and the highest one seen in a message: if that is higher, read the store. */
uint64_t dw_share_epoch(const struct dw_share *share);
uint64_t dw_share_epoch_seen(const struct dw_share *share);

/** True when all members have declared themselves in the present epoch. */
bool dw_share_settled(const struct dw_share *share);

/** Registers an upstream or changes its limits; a limit of 0 gives no permits. */
enum dw_status dw_share_set_upstream(struct dw_share *share, uint64_t upstream_id, uint32_t limit,
				     uint32_t cold_limit);

/** Upstreams are cold until this says otherwise. */
enum dw_status dw_share_set_cold(struct dw_share *share, uint64_t upstream_id, bool cold);

/**
 * Takes a permit from an own slot or an idle loan.
 * @return DW_OVERLOADED if there is none here now (then dw_share_want()), DW_NOT_FOUND for an
 * unknown upstream, DW_UNAVAILABLE without a roster that names this instance or after leave.
 */
enum dw_status dw_share_acquire(struct dw_share *share, uint64_t upstream_id, uint64_t now_us,
				struct dw_permit *out);

/** The request has ended at the upstream, or was never sent. DW_STALE if not held. */
enum dw_status dw_share_release(struct dw_share *share, const struct dw_permit *permit,
				uint64_t now_us);

/** Asks other owners, bounded, for up to @p count more slots; call again while requests wait. */
void dw_share_want(struct dw_share *share, uint64_t upstream_id, uint32_t count, uint64_t now_us);

/**
 * The connection to a member is up or down, as the transport or the failure detector sees it. A
 * member that is down isn't asked for slots; nothing else follows from it. All start as up.
 */
void dw_share_set_reachable(struct dw_share *share, struct dw_member_key member, bool reachable);

/**
 * Takes in a message of the authenticated peer @p from.
 * @return DW_STALE if it belongs to another epoch or run, DW_INVALID_ARGUMENT if malformed; both
 * leave the state as it was.
 */
enum dw_status dw_share_receive(struct dw_share *share, struct dw_member_key from,
				const struct dw_share_message *message, uint64_t now_us);

/** Returns idle loans, gives up asks and requests declarations that are due. */
void dw_share_tick(struct dw_share *share, uint64_t now_us);

/** When dw_share_tick() is next needed; UINT64_MAX if it isn't. */
uint64_t dw_share_deadline_us(const struct dw_share *share);

/** Takes the next message to send; the caller clears it. False if there is none. */
bool dw_share_next_message(struct dw_share *share, struct dw_member_key *to,
			   struct dw_share_message *out);

/** Upstreams for which a slot became usable here since the last call; false if there are none. */
bool dw_share_next_ready(struct dw_share *share, uint64_t *upstream_id);

/** Graceful stop: no more permits or loans; idle loans go back at the next tick. */
void dw_share_leave(struct dw_share *share);

/** True after leave when no request runs and no loan is held: may be announced as released. */
bool dw_share_released(const struct dw_share *share);

enum dw_status dw_share_upstream_status(const struct dw_share *share, uint64_t upstream_id,
					struct dw_share_status *out);

/** Permits that dw_share_acquire() would give now, one after another, and the limit in force. */
uint32_t dw_share_usable(const struct dw_share *share, uint64_t upstream_id, uint32_t *limit);

/** Bytes held by @p share. */
uint64_t dw_share_state_bytes(const struct dw_share *share);

#ifdef __cplusplus
}
#endif

#endif
