/**
 * @file membership_table.c
 * Table of known members and the rules for merging records of a member.
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
	struct dw_member_entry *entry;

	HASH_FIND(hh, membership->table, &instance_id, sizeof(instance_id), entry);
	return entry;
}

struct dw_member_entry *dw_membership_find_run(const struct dw_membership *membership,
					       struct dw_member_key key)
{
	struct dw_member_entry *entry = dw_membership_find_entry(membership, key.instance_id);

	return entry && dw_member_key_equal(entry->member.key, key) ? entry : NULL;
}

static void add_event(struct dw_membership *membership, const struct dw_member *member, bool is_new)
{
	struct dw_member_event_node *node = calloc(1, sizeof(*node));

	if (!node)
		return;
	node->event.member = *member;
	node->event.is_new = is_new;
	DL_APPEND(membership->events, node);
}

void dw_membership_queue_update(struct dw_membership *membership, struct dw_member_entry *entry)
{
	entry->sends = 0;
	if (entry->is_queued)
		return;
	entry->is_queued = true;
	DL_APPEND(membership->updates, entry);
}

static void set_deadlines(struct dw_membership *membership, struct dw_member_entry *entry,
			  uint64_t now_us)
{
	const struct dw_membership_options *options = &membership->options;

	entry->to_verify = false;
	if (entry->member.state == DW_MEMBER_SUSPECT)
		entry->suspect_deadline_us =
			now_us + options->probe_period_us * dw_membership_log_size(membership);
	if (entry->member.state == DW_MEMBER_DEAD)
		entry->forget_deadline_us = now_us + options->dead_retention_us;
}

/* Replaces the stored record of a member. */
static void replace_record(struct dw_membership *membership, struct dw_member_entry *entry,
			   const struct dw_member *record, bool is_new, uint64_t now_us)
{
	bool was_dead = entry->member.state == DW_MEMBER_DEAD;
	bool changed = is_new || entry->member.state != record->state;
	uint64_t revision = is_new ? 0 : entry->member.applied_revision;

	entry->member = *record;
	if (entry->member.applied_revision < revision)
		entry->member.applied_revision = revision;
	membership->live_count += was_dead && record->state != DW_MEMBER_DEAD;
	membership->live_count -= !was_dead && record->state == DW_MEMBER_DEAD;
	set_deadlines(membership, entry, now_us);
	dw_membership_queue_update(membership, entry);
	if (changed)
		add_event(membership, &entry->member, is_new);
}

void dw_membership_set_state(struct dw_membership *membership, struct dw_member_entry *entry,
			     enum dw_member_state state, uint64_t now_us)
{
	struct dw_member record = entry->member;

	record.state = state;
	replace_record(membership, entry, &record, false, now_us);
}

static bool reserve_entry(struct dw_membership *membership)
{
	uint32_t capacity = membership->count + MEMBERS_GROWTH;
	struct dw_member_entry **members;
	uint64_t *probe_order;

	if (membership->count % MEMBERS_GROWTH > 0)
		return true;
	members = realloc(membership->members, capacity * sizeof(struct dw_member_entry *));
	if (!members)
		return false;
	membership->members = members;
	probe_order = realloc(membership->probe_order, capacity * sizeof(*probe_order));
	if (!probe_order)
		return false;
	membership->probe_order = probe_order;
	membership->probe_order_capacity = capacity;
	return true;
}

/* Inserts a new member at a random place in the rest of the probing round, as in the paper. */
static void add_to_probe_order(struct dw_membership *membership, uint64_t instance_id)
{
	uint32_t positions, position;

	/*
	 * Forgotten members may still fill the array; then the new one is added in the next round.
	 */
	if (membership->probe_order_count >= membership->probe_order_capacity)
		return;
	positions = membership->probe_order_count - membership->probe_order_index + 1;
	position = membership->probe_order_index +
		   (uint32_t)(dw_membership_random(membership) % positions);

	membership->probe_order[membership->probe_order_count++] =
		membership->probe_order[position];
	membership->probe_order[position] = instance_id;
}

static struct dw_member_entry *add_entry(struct dw_membership *membership,
					 const struct dw_member *record)
{
	struct dw_member_entry *entry;

	if (membership->count >= DW_MEMBERSHIP_MAX || !reserve_entry(membership))
		return NULL;
	entry = calloc(1, sizeof(*entry));
	if (!entry)
		return NULL;
	entry->member = *record;
	HASH_ADD(hh, membership->table, member.key.instance_id, sizeof(uint64_t), entry);
	membership->members[membership->count++] = entry;
	membership->live_count++;
	return entry;
}

void dw_membership_remove(struct dw_membership *membership, uint32_t index)
{
	struct dw_member_entry *entry = membership->members[index];

	if (entry->is_queued)
		DL_DELETE(membership->updates, entry);
	HASH_DEL(membership->table, entry);
	membership->members[index] = membership->members[--membership->count];
	free(entry);
}

static void merge_self(struct dw_membership *membership, const struct dw_member *record)
{
	struct dw_member *self = &membership->self->member;

	if (record->key.incarnation > self->key.incarnation) {
		if (!membership->options.is_only_run) {
			membership->is_replaced = true;
		} else if (record->key.incarnation < UINT64_MAX) {
			self->key.incarnation = record->key.incarnation + 1;
			dw_membership_queue_update(membership, membership->self);
		}
	}
	if (record->key.incarnation != self->key.incarnation)
		return;
	if (record->state != DW_MEMBER_SUSPECT && record->state != DW_MEMBER_DEAD)
		return;
	if (record->refutation < self->refutation)
		return;
	self->refutation = record->refutation + 1;
	dw_membership_queue_update(membership, membership->self);
}

/* For records of the same run: the higher refutation wins; if equal, the worse state. */
static bool supersedes(const struct dw_member *record, const struct dw_member *stored)
{
	if (record->refutation != stored->refutation)
		return record->refutation > stored->refutation;
	return record->state > stored->state;
}

static void merge_new(struct dw_membership *membership, const struct dw_member *record,
		      uint64_t now_us)
{
	struct dw_member_entry *entry;

	/*
	 * Otherwise members would keep passing on records of dead members that were already
	 * forgotten.
	 */
	if (record->state == DW_MEMBER_DEAD)
		return;
	entry = add_entry(membership, record);
	if (!entry)
		return;
	if (membership->self) {
		add_to_probe_order(membership, record->key.instance_id);
		replace_record(membership, entry, record, true, now_us);
	}
}

/*
 * Turns a reported death into a suspicion, so that the member is probed before it is declared dead.
 * Otherwise, after a network partition, each side would apply the deaths that the other side had
 * declared during it.
 */
static struct dw_member death_as_suspicion(const struct dw_member *record)
{
	struct dw_member merged = *record;

	if (merged.state == DW_MEMBER_DEAD)
		merged.state = DW_MEMBER_SUSPECT;
	return merged;
}

static void merge_run(struct dw_membership *membership, struct dw_member_entry *entry,
		      const struct dw_member *record, uint64_t now_us)
{
	const struct dw_member merged = death_as_suspicion(record);
	struct dw_member *stored = &entry->member;

	if (stored->applied_revision < record->applied_revision)
		stored->applied_revision = record->applied_revision;
	if (supersedes(&merged, stored)) {
		replace_record(membership, entry, &merged, false, now_us);
		entry->to_verify = record->state == DW_MEMBER_DEAD;
	} else if (stored->state == DW_MEMBER_DEAD && record->state != DW_MEMBER_DEAD) {
		entry->to_verify = record->refutation == stored->refutation;
	}
}

/* A later run proves that the earlier run has ended, even if its death was never detected. */
static void report_earlier_run_dead(struct dw_membership *membership,
				    const struct dw_member_entry *entry)
{
	struct dw_member ended = entry->member;

	if (ended.state == DW_MEMBER_DEAD)
		return;
	ended.state = DW_MEMBER_DEAD;
	add_event(membership, &ended, false);
}

void dw_membership_merge(struct dw_membership *membership, const struct dw_member *record,
			 uint64_t now_us)
{
	struct dw_member_entry *entry =
		dw_membership_find_entry(membership, record->key.instance_id);
	struct dw_member merged;

	if (!entry) {
		merge_new(membership, record, now_us);
		return;
	}
	if (entry == membership->self) {
		merge_self(membership, record);
		return;
	}
	if (record->key.incarnation < entry->member.key.incarnation)
		return;
	if (record->key.incarnation == entry->member.key.incarnation) {
		merge_run(membership, entry, record, now_us);
		return;
	}
	report_earlier_run_dead(membership, entry);
	merged = death_as_suspicion(record);
	replace_record(membership, entry, &merged, true, now_us);
}
