/**
 * @file share.h
 * Distributed concurrency limiter: enforces each upstream's limit on concurrent requests across all
 * instances of a group.
 *
 * A limit of n is represented by n slots. Each slot is owned by the roster member with the highest
 * rendezvous hash (Thaler and Ravishankar, "Using name-based mappings to increase hit rates",
 * 1998). The owner uses the slot for its own requests or lends it to one borrower at a time.
 *
 * Safety doesn't depend on clocks. A slot stays taken until its request has ended and the borrower
 * has reported that. After a change of owner, the new owner waits until the previous owner hands
 * the slot over or all members of the epoch have declared the slots they hold. The times passed to
 * these functions only control retries and the return of idle loans.
 *
 * Usage: call dw_share_new(), dw_share_set_roster(), and dw_share_set_upstream() for each upstream.
 * Then call dw_share_acquire(), dw_share_release(), dw_share_want(), dw_share_receive() and
 * dw_share_tick() as needed. After each of these calls, send all messages that
 * dw_share_next_message() returns.
 */
#ifndef DRAGONFLYWHARF_SHARE_H
#define DRAGONFLYWHARF_SHARE_H

#include "dragonflywharf/member_key.h"
#include "dragonflywharf/roster.h"
#include "dragonflywharf/status.h"

#ifdef __cplusplus
extern "C" {
#endif

#define DW_SHARE_SLOTS_MAX 1024 /**< maximum limit of one upstream */
#define DW_SHARE_UPSTREAMS_MAX 65536
#define DW_SHARE_ENTRIES_MAX 8192 /**< maximum entries in one declaration */
#define DW_SHARE_ASKS_PER_UPSTREAM 4
#define DW_SHARE_ASKS_MAX 256 /**< maximum outstanding borrow requests of one instance */
#define DW_SHARE_ASK_US UINT64_C(250000) /**< timeout of a borrow request */
#define DW_SHARE_DENIED_US UINT64_C(20000) /**< backoff after all owners have denied */
/** How long a borrower may reuse a loan. Must be shorter than an owner queues a waiting borrower
 * (half of DW_SHARE_ASK_US), so that all instances get a turn if the limit is lower than the number
 * of instances. */
#define DW_SHARE_LOAN_US UINT64_C(100000)
#define DW_SHARE_POLL_US UINT64_C(1000000) /**< interval between requests for a declaration */

/** Allows one request to run at one upstream until the permit is released. */
struct dw_permit {
	uint64_t upstream_id;
	uint64_t hold_seq;
	uint32_t slot;
};

enum dw_share_message_kind {
	DW_SHARE_ASK, /**< borrow request: lend a slot if one is free now */
	DW_SHARE_WAIT, /**< borrow request: lend the next slot that becomes free */
	DW_SHARE_GRANT, /**< lends a slot to the receiver */
	DW_SHARE_DENY, /**< no slot is free */
	DW_SHARE_RETURN, /**< the loan has ended */
	/** The sender has adopted the epoch; lists the receiver's slots that it holds and the slots
	 * that it hands over. */
	DW_SHARE_DECLARE,
	DW_SHARE_MESSAGE_KIND_COUNT
};

enum dw_share_entry_kind {
	DW_SHARE_HELD, /**< the sender holds this slot, which the receiver owns */
	DW_SHARE_HANDED_FREE, /**< the sender, the previous owner, hands over a free slot */
	DW_SHARE_HANDED_LENT, /**< the previous owner hands over a slot lent to `borrower` */
	DW_SHARE_ENTRY_KIND_COUNT
};

struct dw_share_entry {
	uint64_t upstream_id;
	uint64_t hold_seq; /**< assigned by the holder to this hold */
	uint16_t slot;
	uint8_t kind; /**< enum dw_share_entry_kind */
	uint8_t borrower; /**< DW_SHARE_HANDED_LENT only: index in the roster */
};

struct dw_share_message {
	enum dw_share_message_kind kind;
	uint64_t epoch; /**< the sender's epoch */
	uint64_t digest; /**< digest of the sender's roster */
	union {
		/** All kinds except DECLARE; `slot` is used by GRANT and RETURN only. */
		struct {
			uint64_t upstream_id;
			uint64_t hold_seq;
			uint16_t slot;
		} loan;
		struct {
			uint64_t seq; /**< increases with each declaration of the sender */
			uint64_t floor_seq; /**< the sender refuses grants up to this hold_seq */
			bool complete; /**< lists all holds: a slot not listed isn't held */
			bool answer_wanted; /**< the receiver replies with its own declaration */
			uint32_t entry_count;
			struct dw_share_entry *entries; /**< freed by dw_share_message_clear() */
		} declare;
	};
};

/** Frees the entries of a declaration. */
void dw_share_message_clear(struct dw_share_message *message);

struct dw_share_status {
	uint32_t limit; /**< the limit in effect: the normal or the cold limit */
	uint32_t owned; /**< owned slots within the limit */
	uint32_t free; /**< owned slots within the limit that may be used or lent now */
	uint32_t unsettled; /**< owned slots that a previous owner or borrower may still use */
	uint32_t lent;
	uint32_t borrowed; /**< borrowed slots, in use or idle */
	uint32_t in_flight;
	uint32_t borrow_requests; /**< outstanding borrow requests */
};

struct dw_share;

/** Returns NULL if out of memory. */
struct dw_share *dw_share_new(struct dw_member_key self);
void dw_share_free(struct dw_share *limiter);

/**
 * Adopts a roster read from the store. Must not be called with a roster that was only proposed.
 * @return DW_OK if adopted or already current; DW_STALE for an older epoch; DW_CONFLICT if it
 * differs from the current roster of the same epoch; DW_INVALID_ARGUMENT or DW_TOO_LARGE if
 * malformed.
 */
enum dw_status dw_share_set_roster(struct dw_share *limiter, const struct dw_roster *roster,
				   uint64_t now_us);

/** The adopted epoch. */
uint64_t dw_share_epoch(const struct dw_share *limiter);

/** The highest epoch seen in a message or adopted; if above the adopted one, read the store. */
uint64_t dw_share_epoch_seen(const struct dw_share *limiter);

/** True if all members have sent a complete declaration in the current epoch. */
bool dw_share_settled(const struct dw_share *limiter);

/** Adds an upstream or changes its limits. A limit of 0 allows no requests. */
enum dw_status dw_share_set_upstream(struct dw_share *limiter, uint64_t upstream_id, uint32_t limit,
				     uint32_t cold_limit);

/** Sets which limit applies. A new upstream is cold. */
enum dw_status dw_share_set_cold(struct dw_share *limiter, uint64_t upstream_id, bool cold);

/**
 * Takes a permit on a free owned slot or an idle loan.
 * @return DW_OVERLOADED if neither is available (call dw_share_want() then); DW_NOT_FOUND for an
 * unknown upstream; DW_UNAVAILABLE if this instance isn't in the roster or after dw_share_leave().
 */
enum dw_status dw_share_acquire(struct dw_share *limiter, uint64_t upstream_id, uint64_t now_us,
				struct dw_permit *out);

/**
 * Releases a permit after its request has ended at the upstream or if it was never sent.
 * @return DW_STALE if the permit isn't held.
 */
enum dw_status dw_share_release(struct dw_share *limiter, const struct dw_permit *permit,
				uint64_t now_us);

/**
 * Requests up to @p count slots from other owners, limited by DW_SHARE_ASKS_PER_UPSTREAM and
 * DW_SHARE_ASKS_MAX. Call again while requests are waiting.
 */
void dw_share_want(struct dw_share *limiter, uint64_t upstream_id, uint32_t count, uint64_t now_us);

/**
 * Reports whether a member is reachable, according to the transport or the failure detector. No
 * slots are requested from an unreachable member; there is no other effect. Members are initially
 * reachable.
 */
void dw_share_set_reachable(struct dw_share *limiter, struct dw_member_key member, bool reachable);

/**
 * Handles a message from the authenticated peer @p from.
 * @return DW_STALE if it belongs to another epoch or run, DW_INVALID_ARGUMENT if malformed. In both
 * cases only dw_share_epoch_seen() may change.
 */
enum dw_status dw_share_receive(struct dw_share *limiter, struct dw_member_key from,
				const struct dw_share_message *message, uint64_t now_us);

/** Returns idle loans, expires borrow requests and queues requests for declarations, when due. */
void dw_share_tick(struct dw_share *limiter, uint64_t now_us);

/** Time of the next required dw_share_tick(); UINT64_MAX if none. */
uint64_t dw_share_deadline_us(const struct dw_share *limiter);

/**
 * Removes the next message from the send queue; the caller frees it with dw_share_message_clear().
 * @return false if the queue is empty.
 */
bool dw_share_next_message(struct dw_share *limiter, struct dw_member_key *to,
			   struct dw_share_message *out);

/**
 * Removes the next upstream from the list of those whose waiting requests should be retried: a
 * slot may have become usable, a limit changed or a borrow request was denied.
 * @return false if the list is empty.
 */
bool dw_share_next_ready(struct dw_share *limiter, uint64_t *upstream_id);

/** Graceful shutdown: takes no more permits or loans; idle loans are returned at the next tick. */
void dw_share_leave(struct dw_share *limiter);

/**
 * True after dw_share_leave() when no request is in flight and no loan is held. The instance may
 * then announce itself as released.
 */
bool dw_share_released(const struct dw_share *limiter);

enum dw_status dw_share_upstream_status(const struct dw_share *limiter, uint64_t upstream_id,
					struct dw_share_status *out);

/**
 * The number of free owned slots and idle loans; sets @p limit to the limit in effect. Includes
 * idle loans that are due for return, which dw_share_acquire() doesn't use.
 */
uint32_t dw_share_usable(const struct dw_share *limiter, uint64_t upstream_id, uint32_t *limit);

/** Memory used by @p limiter, in bytes. */
uint64_t dw_share_state_bytes(const struct dw_share *limiter);

#ifdef __cplusplus
}
#endif

#endif
