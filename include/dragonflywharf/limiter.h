/**
 * @file limiter.h
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
 * Usage: call dw_limiter_new(), dw_limiter_set_roster(), and dw_limiter_set_upstream() for each
 * upstream. Then call dw_limiter_acquire(), dw_limiter_release(), dw_limiter_request_slots(),
 * dw_limiter_receive() and dw_limiter_tick() as needed. After each of these calls, send all
 * messages that dw_limiter_next_message() returns.
 */
#ifndef DRAGONFLYWHARF_LIMITER_H
#define DRAGONFLYWHARF_LIMITER_H

#include "dragonflywharf/member_key.h"
#include "dragonflywharf/roster.h"
#include "dragonflywharf/status.h"

#ifdef __cplusplus
extern "C" {
#endif

#define DW_LIMITER_SLOTS_MAX 1024 /**< maximum limit of one upstream */
#define DW_LIMITER_UPSTREAMS_MAX 65536
#define DW_LIMITER_ENTRIES_MAX 8192 /**< maximum entries in one declaration */
#define DW_LIMITER_BORROW_REQUESTS_PER_UPSTREAM 4
#define DW_LIMITER_BORROW_REQUESTS_MAX                                                             \
	256 /**< maximum outstanding borrow requests of one instance */
#define DW_LIMITER_BORROW_TIMEOUT_US UINT64_C(250000) /**< timeout of a borrow request */
#define DW_LIMITER_DENIED_BACKOFF_US UINT64_C(20000) /**< backoff after all owners have denied */
/** How long a borrower may reuse a loan. Must be shorter than the time for which an owner queues a
 * waiting borrower (half of DW_LIMITER_BORROW_TIMEOUT_US), so that all instances get a turn if the
 * limit is lower than the number of instances. */
#define DW_LIMITER_LOAN_REUSE_US UINT64_C(100000)
#define DW_LIMITER_DECLARATION_POLL_US                                                             \
	UINT64_C(1000000) /**< interval between requests for a declaration */

/** Allows one request to run at one upstream until the permit is released. */
struct dw_permit {
	uint64_t upstream_id;
	uint64_t hold_seq;
	uint32_t slot;
};

enum dw_limiter_message_kind {
	DW_LIMITER_BORROW, /**< borrow request: lend a slot if one is free now */
	DW_LIMITER_BORROW_WAIT, /**< borrow request: lend the next slot that becomes free */
	DW_LIMITER_GRANT, /**< lends a slot to the receiver */
	DW_LIMITER_DENY, /**< no slot is free */
	DW_LIMITER_RETURN, /**< the loan has ended */
	/** The sender has adopted the epoch; lists the receiver's slots that it holds and the slots
	 * that it hands over. */
	DW_LIMITER_DECLARE,
	DW_LIMITER_MESSAGE_KIND_COUNT
};

enum dw_limiter_entry_kind {
	DW_LIMITER_HELD, /**< the sender holds this slot, which the receiver owns */
	DW_LIMITER_HANDOVER_FREE, /**< the sender, the previous owner, hands over a free slot */
	DW_LIMITER_HANDOVER_LENT, /**< the previous owner hands over a slot lent to `borrower` */
	DW_LIMITER_ENTRY_KIND_COUNT
};

struct dw_limiter_entry {
	uint64_t upstream_id;
	uint64_t hold_seq; /**< assigned by the holder to this hold */
	uint16_t slot;
	uint8_t kind; /**< enum dw_limiter_entry_kind */
	uint8_t borrower; /**< DW_LIMITER_HANDOVER_LENT only: its index in the roster */
};

struct dw_limiter_message {
	enum dw_limiter_message_kind kind;
	uint64_t epoch; /**< the sender's epoch */
	uint64_t digest; /**< digest of the sender's roster */
	union {
		/** All kinds except DECLARE. `hold_seq` is the number that the borrower gave to its
		 * borrow request and, once granted, to the hold; `slot` is used by GRANT and RETURN
		 * only. */
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
			struct dw_limiter_entry
				*entries; /**< freed by dw_limiter_message_clear() */
		} declare;
	};
};

/** Frees the entries of a declaration. */
void dw_limiter_message_clear(struct dw_limiter_message *message);

struct dw_limiter_status {
	uint32_t limit; /**< the limit in effect: the normal or the cold limit */
	uint32_t owned; /**< owned slots within the limit */
	uint32_t free; /**< owned slots within the limit that may be used or lent now */
	uint32_t unsettled; /**< owned slots that a previous owner or borrower may still use */
	uint32_t lent;
	uint32_t borrowed; /**< borrowed slots, in use or idle */
	uint32_t in_flight;
	uint32_t borrow_requests; /**< outstanding borrow requests */
};

struct dw_limiter;

/** Returns NULL if out of memory. */
struct dw_limiter *dw_limiter_new(struct dw_member_key self);
void dw_limiter_free(struct dw_limiter *limiter);

/**
 * Adopts a roster read from the store. Must not be called with a roster that was only proposed.
 * @return DW_OK if adopted or already current; DW_STALE for an older epoch; DW_CONFLICT if it
 * differs from the current roster of the same epoch; DW_INVALID_ARGUMENT or DW_TOO_LARGE if
 * malformed.
 */
enum dw_status dw_limiter_set_roster(struct dw_limiter *limiter, const struct dw_roster *roster,
				     uint64_t now_us);

/** The adopted epoch. */
uint64_t dw_limiter_epoch(const struct dw_limiter *limiter);

/** The highest epoch seen in a message or adopted; if above the adopted one, read the store. */
uint64_t dw_limiter_epoch_seen(const struct dw_limiter *limiter);

/** True if all members have sent a complete declaration in the current epoch. */
bool dw_limiter_is_settled(const struct dw_limiter *limiter);

/** Adds an upstream or changes its limits. A limit of 0 allows no requests. */
enum dw_status dw_limiter_set_upstream(struct dw_limiter *limiter, uint64_t upstream_id,
				       uint32_t limit, uint32_t cold_limit);

/** Sets which limit applies. A new upstream is cold. */
enum dw_status dw_limiter_set_cold(struct dw_limiter *limiter, uint64_t upstream_id, bool cold);

/**
 * Takes a permit on a free owned slot or an idle loan.
 * @return DW_OVERLOADED if neither is available (call dw_limiter_request_slots() then);
 * DW_NOT_FOUND for an unknown upstream; DW_UNAVAILABLE if this instance isn't in the roster or
 * after dw_limiter_leave().
 */
enum dw_status dw_limiter_acquire(struct dw_limiter *limiter, uint64_t upstream_id, uint64_t now_us,
				  struct dw_permit *out);

/**
 * Releases a permit after its request has ended at the upstream or if it was never sent.
 * @return DW_STALE if the permit isn't held.
 */
enum dw_status dw_limiter_release(struct dw_limiter *limiter, const struct dw_permit *permit,
				  uint64_t now_us);

/**
 * Requests up to @p count slots from other owners, limited by
 * DW_LIMITER_BORROW_REQUESTS_PER_UPSTREAM and DW_LIMITER_BORROW_REQUESTS_MAX. Call again while
 * requests are waiting.
 */
void dw_limiter_request_slots(struct dw_limiter *limiter, uint64_t upstream_id, uint32_t count,
			      uint64_t now_us);

/**
 * Reports whether a member is reachable, according to the transport or the failure detector. No
 * slots are requested from an unreachable member; there is no other effect. Members are initially
 * reachable.
 */
void dw_limiter_set_reachable(struct dw_limiter *limiter, struct dw_member_key member,
			      bool reachable);

/**
 * Handles a message from the authenticated peer @p from.
 * @return DW_STALE if it is a duplicate or belongs to another run or epoch (a RETURN of any epoch
 * is accepted), DW_INVALID_ARGUMENT if malformed. In both cases only dw_limiter_epoch_seen() may
 * change.
 */
enum dw_status dw_limiter_receive(struct dw_limiter *limiter, struct dw_member_key from,
				  const struct dw_limiter_message *message, uint64_t now_us);

/** Returns idle loans, expires borrow requests and queues requests for declarations, when due. */
void dw_limiter_tick(struct dw_limiter *limiter, uint64_t now_us);

/** Time of the next required dw_limiter_tick(); UINT64_MAX if none. */
uint64_t dw_limiter_deadline_us(const struct dw_limiter *limiter);

/**
 * Removes the next message from the send queue; the caller frees it with
 * dw_limiter_message_clear().
 * @return false if the queue is empty.
 */
bool dw_limiter_next_message(struct dw_limiter *limiter, struct dw_member_key *to,
			     struct dw_limiter_message *out);

/**
 * Removes the next upstream from the list of those whose waiting requests should be retried: a
 * slot may have become usable, a limit changed or a borrow request was denied.
 * @return false if the list is empty.
 */
bool dw_limiter_next_ready(struct dw_limiter *limiter, uint64_t *upstream_id);

/** Graceful shutdown: takes no more permits or loans; idle loans are returned at the next tick. */
void dw_limiter_leave(struct dw_limiter *limiter);

/**
 * True after dw_limiter_leave() when no request is in flight and no loan is held. The instance may
 * then announce itself as released.
 */
bool dw_limiter_is_released(const struct dw_limiter *limiter);

enum dw_status dw_limiter_upstream_status(const struct dw_limiter *limiter, uint64_t upstream_id,
					  struct dw_limiter_status *out);

/**
 * The number of free owned slots and idle loans; sets @p limit to the limit in effect. Includes
 * idle loans that are due for return, which dw_limiter_acquire() doesn't use.
 */
uint32_t dw_limiter_available_permits(const struct dw_limiter *limiter, uint64_t upstream_id,
				      uint32_t *limit);

/** Memory used by @p limiter, in bytes. */
uint64_t dw_limiter_state_bytes(const struct dw_limiter *limiter);

#ifdef __cplusplus
}
#endif

#endif
