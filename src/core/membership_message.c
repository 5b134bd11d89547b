/**
 * @file membership_message.c
 * Messages between members: sending, piggybacked updates and receiving.
 */
#include "core/membership_state.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include <utlist.h>

#define SENDS_PER_LOG 3 /* an update is sent 3 log2(n + 1) times */
#define SYNC_PERIODS 10 /* minimum probe periods between requests for a member list */

struct dw_member_queued_message *dw_membership_send_to(struct dw_membership *membership,
						       enum dw_member_message_kind kind,
						       const struct dw_member_address *to,
						       uint64_t sequence)
{
	struct dw_member_queued_message *outgoing = calloc(1, sizeof(*outgoing));

	if (!outgoing)
		return NULL;
	outgoing->kind = kind;
	outgoing->to = *to;
	outgoing->sequence = sequence;
	DL_APPEND(membership->outbox, outgoing);
	return outgoing;
}

struct dw_member_queued_message *dw_membership_send(struct dw_membership *membership,
						    enum dw_member_message_kind kind,
						    const struct dw_member *to, uint64_t sequence)
{
	struct dw_member_address address = { .port = to->port };
	struct dw_member_queued_message *outgoing;

	memcpy(address.ip, to->ip, sizeof(address.ip));
	outgoing = dw_membership_send_to(membership, kind, &address, sequence);
	if (outgoing)
		outgoing->to_key = to->key;
	return outgoing;
}

void dw_membership_send_sync(struct dw_membership *membership, const struct dw_member *to)
{
	uint32_t first;

	for (first = 0; first < membership->count; first += membership->options.updates_max) {
		struct dw_member_queued_message *outgoing =
			dw_membership_send(membership, DW_MEMBER_SYNC, to, 0);

		if (outgoing)
			outgoing->first = first;
	}
}

static void add_update(struct dw_member_message *message, const struct dw_member_entry *entry)
{
	message->updates[message->update_count++] = entry->member;
}

/* The queued update that was sent the fewest times and isn't in the message yet. */
static struct dw_member_entry *least_sent(const struct dw_membership *membership,
					  const struct dw_member_message *message)
{
	struct dw_member_entry *entry, *least = NULL;
	uint32_t i;

	DL_FOREACH(membership->updates, entry) {
		if (least && least->sends <= entry->sends)
			continue;
		for (i = 0; i < message->update_count; i++)
			if (message->updates[i].key.instance_id == entry->member.key.instance_id)
				break;
		if (i == message->update_count)
			least = entry;
	}
	return least;
}

static void add_piggyback(struct dw_membership *membership, struct dw_member_message *message)
{
	uint32_t max_sends = SENDS_PER_LOG * dw_membership_log_size(membership);

	while (membership->updates && message->update_count < DW_MEMBER_PIGGYBACK_MAX &&
	       message->update_count < membership->options.updates_max) {
		struct dw_member_entry *entry = least_sent(membership, message);

		if (!entry)
			return;
		add_update(message, entry);
		entry->sends++;
		if (entry->sends < max_sends)
			continue;
		entry->is_queued = false;
		DL_DELETE(membership->updates, entry);
	}
}

/* Tells a receiver that is suspected or considered dead so, as it must know that to refute it. */
static void add_suspicion(const struct dw_membership *membership, struct dw_member_message *message)
{
	const struct dw_member_entry *entry =
		dw_membership_find_entry(membership, message->to_key.instance_id);

	if (entry &&
	    (entry->member.state == DW_MEMBER_SUSPECT || entry->member.state == DW_MEMBER_DEAD))
		add_update(message, entry);
}

static void add_members(const struct dw_membership *membership, struct dw_member_message *message,
			uint32_t first)
{
	uint32_t end = first + membership->options.updates_max;
	uint32_t i;

	for (i = first; i < membership->count && i < end; i++)
		if (membership->members[i]->member.state != DW_MEMBER_DEAD)
			add_update(message, membership->members[i]);
}

bool dw_membership_next_message(struct dw_membership *membership, struct dw_member_message *message)
{
	struct dw_member_queued_message *outgoing = membership->outbox;

	if (!outgoing)
		return false;
	DL_DELETE(membership->outbox, outgoing);
	memset(message, 0, sizeof(*message));
	message->kind = outgoing->kind;
	message->to = outgoing->to;
	message->to_key = outgoing->to_key;
	message->sequence = outgoing->sequence;
	message->want_sync = outgoing->want_sync;
	message->target = outgoing->target;
	message->sender = membership->self->member;
	if (outgoing->kind == DW_MEMBER_SYNC) {
		add_members(membership, message, outgoing->first);
	} else {
		add_suspicion(membership, message);
		add_piggyback(membership, message);
	}
	free(outgoing);
	return true;
}

bool dw_membership_next_event(struct dw_membership *membership, struct dw_member_event *event)
{
	struct dw_member_event_node *node = membership->events;

	if (!node)
		return false;
	DL_DELETE(membership->events, node);
	*event = node->event;
	free(node);
	return true;
}

static bool is_member_valid(const struct dw_member *member)
{
	return (unsigned int)member->state < DW_MEMBER_STATE_COUNT && dw_name_valid(member->name) &&
	       dw_name_valid(member->failure_domain) && dw_ipv4_valid(member->ip) &&
	       member->port > 0 && member->refutation < UINT32_MAX;
}

static enum dw_status check_message(const struct dw_member_message *message)
{
	uint32_t i;

	if ((unsigned int)message->kind >= DW_MEMBER_MESSAGE_KIND_COUNT)
		return dw_fail(DW_INVALID_ARGUMENT, "member message: unknown kind %d",
			       (int)message->kind);
	if (message->update_count > DW_MEMBER_UPDATES_MAX)
		return dw_fail(DW_INVALID_ARGUMENT,
			       "member message: %u updates exceed the maximum of %d",
			       message->update_count, DW_MEMBER_UPDATES_MAX);
	if (!is_member_valid(&message->sender) || message->sender.state == DW_MEMBER_DEAD ||
	    message->sender.state == DW_MEMBER_SUSPECT)
		return dw_fail(DW_INVALID_ARGUMENT,
			       "member message: invalid record of the sender, instance %016" PRIx64
			       ", state %d",
			       message->sender.key.instance_id, (int)message->sender.state);
	for (i = 0; i < message->update_count; i++)
		if (!is_member_valid(&message->updates[i]))
			return dw_fail(
				DW_INVALID_ARGUMENT,
				"member message: invalid record in update %u, instance %016" PRIx64
				", state %d",
				i, message->updates[i].key.instance_id,
				(int)message->updates[i].state);
	return DW_OK;
}

static void receive_ack(struct dw_membership *membership, const struct dw_member_message *message)
{
	uint32_t i;

	if (membership->probe.is_active && membership->probe.sequence == message->sequence)
		membership->probe.is_acked = true;
	for (i = 0; i < DW_MEMBER_RELAYS_MAX; i++) {
		struct dw_member_relay *relay = &membership->relays[i];
		struct dw_member_entry *requester;

		if (relay->sequence == 0 || relay->sequence != message->sequence)
			continue;
		requester = dw_membership_find_run(membership, relay->requester);
		if (requester)
			dw_membership_send(membership, DW_MEMBER_ACK, &requester->member,
					   relay->requester_sequence);
		relay->sequence = 0;
		return;
	}
}

static void receive_ping_req(struct dw_membership *membership,
			     const struct dw_member_message *message)
{
	struct dw_member_entry *target = dw_membership_find_run(membership, message->target);
	struct dw_member_relay *relay = &membership->relays[membership->next_relay];

	if (!target)
		return;
	membership->next_relay = (membership->next_relay + 1) % DW_MEMBER_RELAYS_MAX;
	*relay = (struct dw_member_relay){
		.sequence = ++membership->sequence,
		.requester = message->sender.key,
		.requester_sequence = message->sequence,
	};
	dw_membership_send(membership, DW_MEMBER_PING, &target->member, relay->sequence);
}

/* A returning member may be part of a network partition that has ended: requests its list. */
static void request_sync(struct dw_membership *membership, const struct dw_member *from,
			 uint64_t now_us)
{
	struct dw_member_queued_message *outgoing;

	if (now_us < membership->next_sync_us)
		return;
	membership->next_sync_us = now_us + SYNC_PERIODS * membership->options.probe_period_us;
	outgoing = dw_membership_send(membership, DW_MEMBER_PING, from, ++membership->sequence);
	if (outgoing)
		outgoing->want_sync = true;
}

static bool is_known_dead(const struct dw_membership *membership, const struct dw_member *sender)
{
	const struct dw_member_entry *entry =
		dw_membership_find_entry(membership, sender->key.instance_id);

	return entry && entry->member.state == DW_MEMBER_DEAD;
}

enum dw_status dw_membership_receive(struct dw_membership *membership,
				     const struct dw_member_message *message, uint64_t now_us)
{
	const struct dw_member *sender = &message->sender;
	enum dw_status status = check_message(message);
	bool was_dead;
	uint32_t i;

	if (status)
		return status;
	was_dead = is_known_dead(membership, sender);
	dw_membership_merge(membership, sender, now_us);
	if (sender->key.instance_id == membership->self->member.key.instance_id)
		return DW_OK;
	for (i = 0; i < message->update_count; i++)
		dw_membership_merge(membership, &message->updates[i], now_us);
	if (was_dead && !is_known_dead(membership, sender))
		request_sync(membership, sender, now_us);
	if (message->kind == DW_MEMBER_PING)
		dw_membership_send(membership, DW_MEMBER_ACK, sender, message->sequence);
	else if (message->kind == DW_MEMBER_ACK)
		receive_ack(membership, message);
	else if (message->kind == DW_MEMBER_PING_REQ)
		receive_ping_req(membership, message);
	if (message->want_sync)
		dw_membership_send_sync(membership, sender);
	return DW_OK;
}
