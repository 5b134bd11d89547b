/**
 * @file membership_table.c
 * The members known, and the rules by which one record of a member supersedes another.
 */
#include "core/membership_state.h"

#include <stdlib.h>
#include <string.h>

#include <utlist.h>

#define MEMBERS_GROWTH 64

uint64_t dw_membership_random(struct dw_membership *membership)
{
	uint64_t z = membership->random += UINT64_C(0x9e3779b97f4a7c15);

	z = (z ^ (z >> 30)) * UINT64_C(0xbf58476d1ce4e5b9);
	z = (z ^ (z >> 27)) * UINT64_C(0x94d049bb133111eb);
	return z ^ (z >> 31);
}

uint32_t dw_membership_peer_count(const struct dw_membership *membership)
{
	return membership->live_count - 1;
}

uint32_t dw_membership_log_size(const struct dw_membership *membership)
{
	uint32_t bits = 0;

	while ((membership->live_count >> bits) > 0)
		bits++;
	return bits;
}

struct dw_member_entry *dw_membership_find_entry(const struct dw_membership *membership,
						 uint64_t instance_id)
{
	struct dw_member_entry *slot;

	HASH_FIND(hh, membership->table, &instance_id, sizeof(instance_id), slot);
	return slot;
}

struct dw_member_entry *dw_membership_find_run(const struct dw_membership *membership,
					       struct dw_member_key key)
{
	struct dw_member_entry *slot = dw_membership_find_entry(membership, key.instance_id);

	return slot && dw_member_key_equal(slot->member.key, key) ? slot : NULL;
}

static void tell(struct dw_membership *membership, const struct dw_member *member, bool is_new)
{
	struct dw_member_event_node *node = calloc(1, sizeof(*node));

	if (!node)
		return;
	node->event.member = *member;
	node->event.is_new = is_new;
	DL_APPEND(membership->events, node);
}

void dw_membership_queue_update(struct dw_membership *membership, struct dw_member_entry *slot)
{
	slot->sends = 0;
	if (slot->is_queued)
		return;
	slot->is_queued = true;
	DL_APPEND(membership->updates, slot);
}

static void set_deadlines(struct dw_membership *membership, struct dw_member_entry *slot,
			  uint64_t now_us)
{
	const struct dw_membership_options *options = &membership->options;

	slot->to_verify = false;
	if (slot->member.state == DW_MEMBER_SUSPECT)
		slot->suspect_deadline_us =
			now_us + options->probe_period_us * dw_membership_log_size(membership);
	if (slot->member.state == DW_MEMBER_DEAD)
		slot->forget_deadline_us = now_us + options->dead_retention_us;
}

/* Takes over a record that supersedes the one held. */
static void take(struct dw_membership *membership, struct dw_member_entry *slot,
		 const struct dw_member *record, bool is_new, uint64_t now_us)
{
	bool was_dead = slot->member.state == DW_MEMBER_DEAD;
	bool changed = is_new || slot->member.state != record->state;
	uint64_t revision = is_new ? 0 : slot->member.applied_revision;

	slot->member = *record;
	if (slot->member.applied_revision < revision)
		slot->member.applied_revision = revision;
	membership->live_count += was_dead && record->state != DW_MEMBER_DEAD;
	membership->live_count -= !was_dead && record->state == DW_MEMBER_DEAD;
	set_deadlines(membership, slot, now_us);
	dw_membership_queue_update(membership, slot);
	if (changed)
		tell(membership, &slot->member, is_new);
}

void dw_membership_set_state(struct dw_membership *membership, struct dw_member_entry *slot,
			     enum dw_member_state state, uint64_t now_us)
{
	struct dw_member record = slot->member;

	record.state = state;
	take(membership, slot, &record, false, now_us);
}

static bool grow(struct dw_membership *membership)
{
	uint32_t capacity = membership->count + MEMBERS_GROWTH;
	struct dw_member_entry **members;
	uint64_t *ring;

	if (membership->count % MEMBERS_GROWTH > 0)
		return true;
	members = realloc(membership->members, capacity * sizeof(struct dw_member_entry *));
	if (!members)
		return false;
	membership->members = members;
	ring = realloc(membership->ring, capacity * sizeof(*ring));
	if (!ring)
		return false;
	membership->ring = ring;
	membership->ring_capacity = capacity;
	return true;
}

/* A new member gets a random place in the rest of the round, as in the paper. */
static void add_to_ring(struct dw_membership *membership, uint64_t instance_id)
{
	uint32_t rest, place;

	/* Members that were forgotten may still stand in the ring; the next round takes it in. */
	if (membership->ring_count >= membership->ring_capacity)
		return;
	rest = membership->ring_count - membership->ring_at + 1;
	place = membership->ring_at + (uint32_t)(dw_membership_random(membership) % rest);

	membership->ring[membership->ring_count++] = membership->ring[place];
	membership->ring[place] = instance_id;
}

static struct dw_member_entry *add_slot(struct dw_membership *membership,
					const struct dw_member *record)
{
	struct dw_member_entry *slot;

	if (membership->count >= DW_MEMBERSHIP_MAX || !grow(membership))
		return NULL;
	slot = calloc(1, sizeof(*slot));
	if (!slot)
		return NULL;
	slot->member = *record;
	HASH_ADD(hh, membership->table, member.key.instance_id, sizeof(uint64_t), slot);
	membership->members[membership->count++] = slot;
	membership->live_count++;
	return slot;
}

void dw_membership_remove(struct dw_membership *membership, uint32_t index)
{
	struct dw_member_entry *slot = membership->members[index];

	if (slot->is_queued)
		DL_DELETE(membership->updates, slot);
	HASH_DEL(membership->table, slot);
	membership->members[index] = membership->members[--membership->count];
	free(slot);
}

static void merge_self(struct dw_membership *membership, const struct dw_member *record)
{
	struct dw_member *self = &membership->self->member;

	if (record->key.incarnation > self->key.incarnation)
		membership->is_replaced = true;
	if (record->key.incarnation != self->key.incarnation)
		return;
	if (record->state != DW_MEMBER_SUSPECT && record->state != DW_MEMBER_DEAD)
		return;
	if (record->refutation < self->refutation)
		return;
	self->refutation = record->refutation + 1;
	dw_membership_queue_update(membership, membership->self);
}

/* Of one run: the higher refutation wins, and at equal ones the worse state. */
static bool supersedes(const struct dw_member *record, const struct dw_member *held)
{
	if (record->refutation != held->refutation)
		return record->refutation > held->refutation;
	return record->state > held->state;
}

static void merge_new(struct dw_membership *membership, const struct dw_member *record,
		      uint64_t now_us)
{
	struct dw_member_entry *slot;

	/* Rumours of members already forgotten would keep each other alive. */
	if (record->state == DW_MEMBER_DEAD)
		return;
	slot = add_slot(membership, record);
	if (!slot)
		return;
	if (membership->self) {
		add_to_ring(membership, record->key.instance_id);
		take(membership, slot, record, true, now_us);
	}
}

/*
 * No member takes another's word for a death: a rumour of one starts a suspicion here, and the
 * member is probed. Else two halves that were cut off would, once they meet, bring each other's
 * old verdicts into force.
 */
static struct dw_member as_rumour(const struct dw_member *record)
{
	struct dw_member rumour = *record;

	if (rumour.state == DW_MEMBER_DEAD)
		rumour.state = DW_MEMBER_SUSPECT;
	return rumour;
}

static void merge_run(struct dw_membership *membership, struct dw_member_entry *slot,
		      const struct dw_member *record, uint64_t now_us)
{
	const struct dw_member rumour = as_rumour(record);
	struct dw_member *held = &slot->member;

	if (held->applied_revision < record->applied_revision)
		held->applied_revision = record->applied_revision;
	if (supersedes(&rumour, held)) {
		take(membership, slot, &rumour, false, now_us);
		slot->to_verify = record->state == DW_MEMBER_DEAD;
	} else if (held->state == DW_MEMBER_DEAD && record->state != DW_MEMBER_DEAD) {
		slot->to_verify = record->refutation == held->refutation;
	}
}

/* A later run of an instance proves the end of the earlier one, whose death may go unseen. */
static void tell_earlier_run_dead(struct dw_membership *membership,
				  const struct dw_member_entry *slot)
{
	struct dw_member ended = slot->member;

	if (ended.state == DW_MEMBER_DEAD)
		return;
	ended.state = DW_MEMBER_DEAD;
	tell(membership, &ended, false);
}

void dw_membership_merge(struct dw_membership *membership, const struct dw_member *record,
			 uint64_t now_us)
{
	struct dw_member_entry *slot =
		dw_membership_find_entry(membership, record->key.instance_id);
	struct dw_member rumour;

	if (!slot) {
		merge_new(membership, record, now_us);
		return;
	}
	if (slot == membership->self) {
		merge_self(membership, record);
		return;
	}
	if (record->key.incarnation < slot->member.key.incarnation)
		return;
	if (record->key.incarnation == slot->member.key.incarnation) {
		merge_run(membership, slot, record, now_us);
		return;
	}
	tell_earlier_run_dead(membership, slot);
	rumour = as_rumour(record);
	take(membership, slot, &rumour, true, now_us);
}
