/**
 * @file membership.h
 * Group membership and failure detection by the SWIM protocol (Das, Gupta and Motivala, "SWIM:
 * Scalable Weakly-consistent Infection-style Process Group Membership Protocol", 2002), as a state
 * machine without I/O. Includes the suspicion mechanism, round-robin probing and piggybacked
 * updates.
 *
 * Differences from the paper:
 * - A member that was declared dead but still runs, for example after a pause, can refute that with
 *   a higher refutation number.
 * - A member reported dead by another member is only suspected at first.
 * - Dead members that are still remembered are probed from time to time, so that the two sides of a
 *   network partition find each other after it ends.
 * - A member can announce that it is leaving (DW_MEMBER_LEAVING).
 *
 * See docs/design/membership.md for measurements.
 */
#ifndef DRAGONFLYWHARF_MEMBERSHIP_H
#define DRAGONFLYWHARF_MEMBERSHIP_H

#include <dragonflywharf/entity.h>
#include <dragonflywharf/member_key.h>

#ifdef __cplusplus
extern "C" {
#endif

#define DW_MEMBER_IP_BYTES 16 /**< IPv4 address as text, including the NUL */
#define DW_MEMBER_UPDATES_MAX 32 /**< maximum updates in one message */
#define DW_MEMBER_PIGGYBACK_MAX 24 /**< maximum updates on a PING, PING_REQ or ACK */
#define DW_MEMBERSHIP_MAX 4096 /**< maximum known members, including dead ones */
#define DW_MEMBERSHIP_SEEDS_MAX 32

enum dw_member_state {
	DW_MEMBER_ALIVE,
	DW_MEMBER_LEAVING, /**< alive but shutting down; takes no new work */
	DW_MEMBER_SUSPECT, /**< probes failed or reported dead by another member; may refute it */
	DW_MEMBER_DEAD,
	DW_MEMBER_STATE_COUNT
};

struct dw_member {
	struct dw_member_key key;
	char name[DW_NAME_MAX_BYTES + 1];
	char ip[DW_MEMBER_IP_BYTES];
	uint16_t port; /**< port of the peer protocol */
	char failure_domain[DW_NAME_MAX_BYTES + 1];
	enum dw_member_state state;
	bool leaving; /**< has announced that it is leaving; stays set while it is suspect */
	uint32_t refutation; /**< increased by the member itself to refute a suspicion */
	uint64_t applied_revision; /**< highest configuration revision reported by this run */
};

struct dw_member_address {
	char ip[DW_MEMBER_IP_BYTES];
	uint16_t port;
};

enum dw_member_message_kind {
	DW_MEMBER_PING, /**< answered by an ACK with the same sequence number */
	DW_MEMBER_ACK,
	DW_MEMBER_PING_REQ, /**< asks the receiver to probe `target` and relay the ACK */
	DW_MEMBER_SYNC, /**< a part of the sender's member list */
	DW_MEMBER_MESSAGE_KIND_COUNT
};

/** A message between members, received or to be sent. */
struct dw_member_message {
	enum dw_member_message_kind kind;
	struct dw_member_address to; /**< destination; not encoded */
	struct dw_member_key to_key; /**< zero for a seed not yet known as a member; not encoded */
	uint64_t sequence;
	bool want_sync; /**< requests the receiver's member list */
	struct dw_member sender;
	struct dw_member_key target; /**< PING_REQ only: the member to probe */
	uint8_t update_count;
	struct dw_member updates[DW_MEMBER_UPDATES_MAX];
};

struct dw_membership_options {
	struct dw_member self; /**< its state must be DW_MEMBER_ALIVE */
	struct dw_member_address seeds[DW_MEMBERSHIP_SEEDS_MAX];
	uint32_t seed_count;
	uint64_t probe_period_us; /**< 0: default of 1 s */
	uint64_t probe_timeout_us; /**< timeout of a direct probe; 0: default of 300 ms */
	uint32_t indirect_count; /**< members asked for an indirect probe; 0: default of 3 */
	uint64_t
		dead_retention_us; /**< how long dead members are remembered; 0: default of 10 min */
	uint64_t pause_threshold_us; /**< gap between ticks treated as a pause; 0: default of 2 s */
	uint32_t updates_max; /**< in one message, which must fit a datagram; 0: the maximum */
	/**
	 * This process is known to be the only run of its instance: if a later run is reported,
	 * the clock was set back between the two, and this one takes a higher incarnation.
	 */
	bool is_only_run;
};

/** Reports that a member's state changed or a new run replaced an earlier one. */
struct dw_member_event {
	struct dw_member member;
	bool is_new; /**< not known before, or with a higher incarnation */
};

struct dw_membership;

/** Returns NULL if out of memory or if the options are invalid. */
struct dw_membership *dw_membership_new(const struct dw_membership_options *options,
					uint64_t now_us);
void dw_membership_free(struct dw_membership *membership);

/**
 * Sends due probes and handles expired deadlines. Call every 50 to 100 ms, each time with a new
 * random number in @p random.
 */
void dw_membership_tick(struct dw_membership *membership, uint64_t now_us, uint64_t random);

/** Handles a received message. Returns DW_INVALID_ARGUMENT, without effect, if it is invalid. */
enum dw_status dw_membership_receive(struct dw_membership *membership,
				     const struct dw_member_message *message, uint64_t now_us);

/**
 * Removes the next message from the send queue. After each tick and receive, call this until the
 * queue is empty. The protocol tolerates lost messages.
 * @return false if the queue is empty.
 */
bool dw_membership_next_message(struct dw_membership *membership,
				struct dw_member_message *message);

/** Removes the next event from the event queue; false if the queue is empty. */
bool dw_membership_next_event(struct dw_membership *membership, struct dw_member_event *event);

/** Announces to many members at once that this one is leaving; updates inform the others. */
void dw_membership_leave(struct dw_membership *membership, uint64_t now_us);

/** Sets the configuration revision that this member reports in its messages. */
void dw_membership_set_revision(struct dw_membership *membership, uint64_t applied_revision);

/**
 * Adds an address, from the settings or the platform's instance list, that is probed until a member
 * is known there.
 */
void dw_membership_add_seed(struct dw_membership *membership, const struct dw_member_address *seed);

/** This member's own record. */
const struct dw_member *dw_membership_self(const struct dw_membership *membership);

/** Number of known members, including this one and dead ones. */
size_t dw_membership_count(const struct dw_membership *membership);

/**
 * A known member by index or by instance_id, or NULL. The pointer is valid until the next call that
 * changes the membership.
 */
const struct dw_member *dw_membership_at(const struct dw_membership *membership, size_t index);
const struct dw_member *dw_membership_find(const struct dw_membership *membership,
					   uint64_t instance_id);

/** Number of members that are alive, leaving or suspect, including this one. */
size_t dw_membership_live_count(const struct dw_membership *membership);

/** Highest configuration revision reported by a member that isn't dead; 0 if none. */
uint64_t dw_membership_highest_revision(const struct dw_membership *membership);

/** True if this member is one of the @p k members of @p failure_domain that watch the store. */
bool dw_membership_is_watcher(const struct dw_membership *membership, const char *failure_domain,
			      uint32_t k);

/**
 * Finds the owner of @p key_hash and a second one, in another failure domain if possible, by
 * rendezvous hashing over the members that are neither dead nor leaving.
 * @return the number found, 0 to 2.
 */
size_t dw_membership_owners(const struct dw_membership *membership, uint64_t key_hash,
			    const struct dw_member *owners[2]);

/** True if a later run of this instance exists; this process must then stop. */
bool dw_membership_is_replaced(const struct dw_membership *membership);

/**
 * True during the grace period that follows a pause, i.e. a gap between ticks longer than
 * pause_threshold_us.
 */
bool dw_membership_in_pause_grace(const struct dw_membership *membership, uint64_t now_us);

#ifdef __cplusplus
}
#endif

#endif
