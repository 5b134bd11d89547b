/**
 * @file membership.h
 * Which instances are there: the SWIM protocol (Das, Gupta and Motivala, "SWIM: Scalable
 * Weakly-consistent Infection-style Process Group Membership Protocol", 2002) as a pure state
 * machine, with its suspicion mechanism, round-robin probing and piggy-backed updates.
 *
 * It differs from the paper in that a member declared dead that still runs (it was paused) refutes
 * with a higher refutation number, as its run isn't over; in that no member takes another's word
 * for a death, but suspects first; in that remembered dead members are probed now and then, so that
 * two halves find each other after a cut; and in LEAVING, which a member says of itself. docs/design/membership.md has the figures.
 */
#ifndef DRAGONFLYWHARF_MEMBERSHIP_H
#define DRAGONFLYWHARF_MEMBERSHIP_H

#include <dragonflywharf/entity.h>
#include <dragonflywharf/member_key.h>

#ifdef __cplusplus
extern "C" {
#endif

#define DW_MEMBER_IP_BYTES 16 /**< numeric IPv4 text with the NUL */
#define DW_MEMBER_UPDATES_MAX 32 /**< updates in one message */
#define DW_MEMBER_PIGGYBACK_MAX 24 /**< updates on a probe or its answer */
#define DW_MEMBERSHIP_MAX 4096 /**< members known, dead ones included */
#define DW_MEMBERSHIP_SEEDS_MAX 32

enum dw_member_state {
	DW_MEMBER_ALIVE,
	DW_MEMBER_LEAVING, /**< alive, stops by plan, wants no new work */
	DW_MEMBER_SUSPECT, /**< probes failed; may still refute */
	DW_MEMBER_DEAD,
	DW_MEMBER_STATE_COUNT
};

struct dw_member {
	struct dw_member_key key;
	char name[DW_NAME_MAX_BYTES + 1];
	char ip[DW_MEMBER_IP_BYTES];
	uint16_t port; /**< of the peers' protocol */
	char failure_domain[DW_NAME_MAX_BYTES + 1];
	enum dw_member_state state;
	bool leaving; /**< has said so; kept while suspect */
	uint32_t refutation; /**< raised by the member itself to refute a suspicion */
	uint64_t applied_revision; /**< configuration revision, as last heard */
};

struct dw_member_address {
	char ip[DW_MEMBER_IP_BYTES];
	uint16_t port;
};

enum dw_member_message_kind {
	DW_MEMBER_PING, /**< answer with an ACK of the same sequence */
	DW_MEMBER_ACK,
	DW_MEMBER_PING_REQ, /**< probe target for the sender and pass the ACK on */
	DW_MEMBER_SYNC, /**< a part of the sender's list of members */
	DW_MEMBER_MESSAGE_KIND_COUNT
};

/** One message between members; also the one to send, with its address. */
struct dw_member_message {
	enum dw_member_message_kind kind;
	struct dw_member_address to; /**< where to send it; not encoded */
	struct dw_member_key to_key; /**< zero for a seed that isn't known yet; not encoded */
	uint64_t sequence;
	bool want_sync; /**< the receiver shall send its list */
	struct dw_member sender;
	struct dw_member_key target; /**< of a PING_REQ: whom to probe */
	uint8_t update_count;
	struct dw_member updates[DW_MEMBER_UPDATES_MAX];
};

struct dw_membership_options {
	struct dw_member self; /**< state ALIVE */
	struct dw_member_address seeds[DW_MEMBERSHIP_SEEDS_MAX];
	uint32_t seed_count;
	uint64_t probe_period_us; /**< 0 takes 1 s */
	uint64_t probe_timeout_us; /**< of a direct probe; 0 takes 300 ms */
	uint32_t indirect_count; /**< members asked to probe too; 0 takes 3 */
	uint64_t dead_retention_us; /**< 0 takes 10 min */
	uint64_t pause_threshold_us; /**< a gap between ticks that means a pause; 0 takes 2 s */
};

/** A member's state changed, or a new run replaced an earlier one. */
struct dw_member_event {
	struct dw_member member;
	bool is_new; /**< not known before, or a later incarnation */
};

struct dw_membership;

/** NULL without memory or with an invalid self. */
struct dw_membership *dw_membership_new(const struct dw_membership_options *options,
					uint64_t now_us);
void dw_membership_free(struct dw_membership *membership);

/** Drives probes and deadlines; call every 50 to 100 ms. @p random is fresh for each call. */
void dw_membership_tick(struct dw_membership *membership, uint64_t now_us, uint64_t random);

/** Takes in a message. Errors: DW_INVALID_ARGUMENT, without effect. */
enum dw_status dw_membership_receive(struct dw_membership *membership,
				     const struct dw_member_message *message, uint64_t now_us);

/**
 * Takes the next message to send; false if there is none. Drain it after each tick and receive.
 * Messages may be lost.
 */
bool dw_membership_next_message(struct dw_membership *membership,
				struct dw_member_message *message);

/** Takes the next change of state; false if there is none. */
bool dw_membership_next_event(struct dw_membership *membership, struct dw_member_event *event);

/** Says that this member leaves, to many members at once; updates carry it to the others. */
void dw_membership_leave(struct dw_membership *membership, uint64_t now_us);

/** The revision that this member's messages tell. */
void dw_membership_set_revision(struct dw_membership *membership, uint64_t applied_revision);

/** Adds an address to probe until a member is known there (settings, the platform's list). */
void dw_membership_add_seed(struct dw_membership *membership, const struct dw_member_address *seed);

/** This member's own record. */
const struct dw_member *dw_membership_self(const struct dw_membership *membership);

/** Known members, this one and dead ones included; the pointer lives until the next call. */
size_t dw_membership_count(const struct dw_membership *membership);
const struct dw_member *dw_membership_at(const struct dw_membership *membership, size_t index);
const struct dw_member *dw_membership_find(const struct dw_membership *membership,
					   uint64_t instance_id);

/** Members that are alive, leaving or suspect, this one included. */
size_t dw_membership_live_count(const struct dw_membership *membership);

/** Highest applied revision told by a member that isn't dead; 0 if none. */
uint64_t dw_membership_highest_revision(const struct dw_membership *membership);

/** True if this member is among the @p k of its failure domain that watch the store. */
bool dw_membership_is_watcher(const struct dw_membership *membership, const char *failure_domain,
			      uint32_t k);

/**
 * The home of @p key_hash among the alive members and a second one, of another failure domain
 * where there is one. Returns how many were found, 0 to 2.
 */
size_t dw_membership_owners(const struct dw_membership *membership, uint64_t key_hash,
			    const struct dw_member *homes[2]);

/** True if a later run of this instance was heard of: this one is to stop. */
bool dw_membership_is_replaced(const struct dw_membership *membership);

/** True if the ticks stopped for longer than the pause bound and the grace after it runs. */
bool dw_membership_in_pause_grace(const struct dw_membership *membership, uint64_t now_us);

#ifdef __cplusplus
}
#endif

#endif
