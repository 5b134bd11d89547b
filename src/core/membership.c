#include "core/membership_state.h"

#include <stdlib.h>
#include <string.h>

#include <utlist.h>

#define DEFAULT_PROBE_PERIOD_US UINT64_C(1000000)
#define DEFAULT_PROBE_TIMEOUT_US UINT64_C(300000)
#define DEFAULT_INDIRECT_COUNT 3
#define DEFAULT_DEAD_RETENTION_US UINT64_C(600000000)
#define DEFAULT_PAUSE_THRESHOLD_US UINT64_C(2000000)

/* Periods are probe periods. */
#define GRACE_PERIODS 3 /* after a pause; failed probes don't count during these */
#define UNREACHED_PROBE_PERIODS 5 /* periods between probes of a dead member and of seeds */
#define SEEDS_PROBED_MAX 3 /* unknown seeds probed at once; each may send its whole member list */
/* Members probed in one check because another member disagrees on whether they are dead. */
#define VERIFY_MAX 16
#define CHECKS_PER_PERIOD 4 /* checks of the members' deadlines in a probe period */
#define INITIAL_SYNC_PERIOD_MAX 32 /* member lists are requested in periods 2, 4, 8, 16 and 32 */
#define LEAVE_FANOUT 32 /* members that are informed directly when this one leaves */

static uint64_t or_default(uint64_t value, uint64_t fallback)
{
	return value > 0 ? value : fallback;
}

static void set_options(struct dw_membership *membership,
			const struct dw_membership_options *options)
{
	struct dw_membership_options *own = &membership->options;

	*own = *options;
	own->probe_period_us = or_default(own->probe_period_us, DEFAULT_PROBE_PERIOD_US);
	own->probe_timeout_us = or_default(own->probe_timeout_us, DEFAULT_PROBE_TIMEOUT_US);
	own->indirect_count = (uint32_t)or_default(own->indirect_count, DEFAULT_INDIRECT_COUNT);
	own->dead_retention_us = or_default(own->dead_retention_us, DEFAULT_DEAD_RETENTION_US);
	own->pause_threshold_us = or_default(own->pause_threshold_us, DEFAULT_PAUSE_THRESHOLD_US);
	if (own->updates_max == 0 || own->updates_max > DW_MEMBER_UPDATES_MAX)
		own->updates_max = DW_MEMBER_UPDATES_MAX;
}

static bool is_self_valid(const struct dw_member *self)
{
	return dw_name_valid(self->name) && dw_name_valid(self->failure_domain) &&
	       dw_ipv4_valid(self->ip) && self->state == DW_MEMBER_ALIVE;
}

struct dw_membership *dw_membership_new(const struct dw_membership_options *options,
					uint64_t now_us)
{
	struct dw_membership *membership;

	if (!is_self_valid(&options->self) || options->seed_count > DW_MEMBERSHIP_SEEDS_MAX)
		return NULL;
	membership = calloc(1, sizeof(*membership));
	if (!membership)
		return NULL;
	set_options(membership, options);
	membership->last_tick_us = now_us;
	membership->next_period_us = now_us;
	membership->random = options->self.key.instance_id ^ options->self.key.incarnation;
	dw_membership_merge(membership, &options->self, now_us);
	membership->self = dw_membership_find_entry(membership, options->self.key.instance_id);
	if (!membership->self) {
		dw_membership_free(membership);
		return NULL;
	}
	return membership;
}

void dw_membership_free(struct dw_membership *membership)
{
	struct dw_member_queued_message *outgoing, *next_outgoing;
	struct dw_member_event_node *event, *next_event;
	uint32_t i;

	if (!membership)
		return;
	HASH_CLEAR(hh, membership->table);
	for (i = 0; i < membership->count; i++)
		free(membership->members[i]);
	DL_FOREACH_SAFE(membership->outbox, outgoing, next_outgoing)
		free(outgoing);
	DL_FOREACH_SAFE(membership->events, event, next_event)
		free(event);
	free(membership->members);
	free(membership->probe_order);
	free(membership);
}

static bool in_grace(const struct dw_membership *membership, uint64_t now_us)
{
	return now_us < membership->grace_deadline_us;
}

/*
 * Replies that arrived while this process was paused haven't been read, so the state of the other
 * members is unknown. Gives them time to reply again before any is declared dead.
 */
static void start_pause_grace(struct dw_membership *membership, uint64_t now_us)
{
	uint64_t period_us = membership->options.probe_period_us;
	uint32_t i;

	membership->grace_deadline_us = now_us + GRACE_PERIODS * period_us;
	membership->probe.is_active = false;
	for (i = 0; i < membership->count; i++) {
		struct dw_member_entry *entry = membership->members[i];

		if (entry->member.state == DW_MEMBER_SUSPECT)
			entry->suspect_deadline_us = membership->grace_deadline_us +
						     period_us * dw_membership_log_size(membership);
	}
}

static void expire_members(struct dw_membership *membership, uint64_t now_us)
{
	uint32_t i = 0;

	while (i < membership->count) {
		struct dw_member_entry *entry = membership->members[i];

		if (entry->member.state == DW_MEMBER_SUSPECT &&
		    now_us >= entry->suspect_deadline_us)
			dw_membership_set_state(membership, entry, DW_MEMBER_DEAD, now_us);
		if (entry->member.state == DW_MEMBER_DEAD && now_us >= entry->forget_deadline_us)
			dw_membership_remove(membership, i);
		else
			i++;
	}
}

static bool is_peer(const struct dw_membership *membership, const struct dw_member_entry *entry)
{
	return entry != membership->self && entry->member.state != DW_MEMBER_DEAD;
}

static void start_probe_round(struct dw_membership *membership)
{
	uint32_t i;

	membership->probe_order_index = 0;
	membership->probe_order_count = 0;
	for (i = 0; i < membership->count; i++)
		if (is_peer(membership, membership->members[i]))
			membership->probe_order[membership->probe_order_count++] =
				membership->members[i]->member.key.instance_id;
	for (i = membership->probe_order_count; i > 1; i--) {
		uint32_t j = (uint32_t)(dw_membership_random(membership) % i);
		uint64_t swapped = membership->probe_order[i - 1];

		membership->probe_order[i - 1] = membership->probe_order[j];
		membership->probe_order[j] = swapped;
	}
}

static struct dw_member_entry *next_target(struct dw_membership *membership)
{
	if (membership->probe_order_index >= membership->probe_order_count)
		start_probe_round(membership);
	while (membership->probe_order_index < membership->probe_order_count) {
		struct dw_member_entry *entry = dw_membership_find_entry(
			membership, membership->probe_order[membership->probe_order_index++]);

		if (entry && is_peer(membership, entry))
			return entry;
	}
	return NULL;
}

/* A new member requests the member list several times, as the first may have been incomplete. */
static bool wants_sync(const struct dw_membership *membership)
{
	uint64_t period = membership->period_count;

	return period >= 2 && period <= INITIAL_SYNC_PERIOD_MAX && (period & (period - 1)) == 0;
}

static void start_probe(struct dw_membership *membership, uint64_t now_us)
{
	struct dw_member_entry *target = next_target(membership);
	struct dw_member_queued_message *outgoing;

	membership->probe.is_active = false;
	if (!target)
		return;
	membership->probe = (struct dw_member_probe){
		.is_active = true,
		.target = target->member.key,
		.sequence = ++membership->sequence,
		.direct_deadline_us = now_us + membership->options.probe_timeout_us,
	};
	outgoing = dw_membership_send(membership, DW_MEMBER_PING, &target->member,
				      membership->sequence);
	if (outgoing)
		outgoing->want_sync = wants_sync(membership);
}

/* Asks other members to probe the target. */
static void probe_indirectly(struct dw_membership *membership)
{
	struct dw_member_probe *probe = &membership->probe;
	uint32_t start = (uint32_t)(dw_membership_random(membership) % membership->count);
	uint32_t sent = 0, i;

	probe->is_indirect = true;
	for (i = 0; i < membership->count && sent < membership->options.indirect_count; i++) {
		struct dw_member_entry *entry =
			membership->members[(start + i) % membership->count];
		struct dw_member_queued_message *outgoing;

		if (!is_peer(membership, entry) || entry->member.state == DW_MEMBER_SUSPECT ||
		    dw_member_key_equal(entry->member.key, probe->target))
			continue;
		outgoing = dw_membership_send(membership, DW_MEMBER_PING_REQ, &entry->member,
					      probe->sequence);
		if (outgoing)
			outgoing->target = probe->target;
		sent++;
	}
}

/* Suspects the target of the last probe if it hasn't replied. */
static void evaluate_probe(struct dw_membership *membership, uint64_t now_us)
{
	struct dw_member_entry *entry =
		dw_membership_find_run(membership, membership->probe.target);

	if (!membership->probe.is_active || membership->probe.is_acked || !entry)
		return;
	if (in_grace(membership, now_us))
		return;
	if (entry->member.state == DW_MEMBER_ALIVE || entry->member.state == DW_MEMBER_LEAVING)
		dw_membership_set_state(membership, entry, DW_MEMBER_SUSPECT, now_us);
}

static bool is_address_known(const struct dw_membership *membership,
			     const struct dw_member_address *address)
{
	uint32_t i;

	for (i = 0; i < membership->count; i++) {
		const struct dw_member *member = &membership->members[i]->member;

		if (member->state != DW_MEMBER_DEAD && member->port == address->port &&
		    strcmp(member->ip, address->ip) == 0)
			return true;
	}
	return false;
}

static void probe_seeds(struct dw_membership *membership)
{
	uint32_t count = membership->options.seed_count;
	uint32_t start = (uint32_t)dw_membership_random(membership);
	uint32_t sent = 0, i;

	for (i = 0; i < count && sent < SEEDS_PROBED_MAX; i++) {
		const struct dw_member_address *seed =
			&membership->options.seeds[(start % count + i) % count];
		struct dw_member_queued_message *outgoing;

		if (is_address_known(membership, seed))
			continue;
		outgoing = dw_membership_send_to(membership, DW_MEMBER_PING, seed,
						 ++membership->sequence);
		if (outgoing)
			outgoing->want_sync = true;
		sent++;
	}
}

static void probe_dead_member(struct dw_membership *membership)
{
	uint32_t start = (uint32_t)(dw_membership_random(membership) % membership->count);
	uint32_t i;

	for (i = 0; i < membership->count; i++) {
		const struct dw_member *member =
			&membership->members[(start + i) % membership->count]->member;

		if (member->state != DW_MEMBER_DEAD)
			continue;
		dw_membership_send(membership, DW_MEMBER_PING, member, ++membership->sequence);
		return;
	}
}

static void verify_members(struct dw_membership *membership)
{
	uint32_t sent = 0, i;

	for (i = 0; i < membership->count && sent < VERIFY_MAX; i++) {
		struct dw_member_entry *entry = membership->members[i];

		if (!entry->to_verify)
			continue;
		entry->to_verify = false;
		dw_membership_send(membership, DW_MEMBER_PING, &entry->member,
				   ++membership->sequence);
		sent++;
	}
}

static void start_period(struct dw_membership *membership, uint64_t now_us)
{
	bool has_no_peers = dw_membership_peer_count(membership) == 0;

	/* Instances that start together find each other as soon as the seeds listen. */
	membership->next_period_us = now_us + (has_no_peers ? membership->options.probe_timeout_us
							    : membership->options.probe_period_us);
	evaluate_probe(membership, now_us);
	start_probe(membership, now_us);
	if (has_no_peers || membership->period_count % UNREACHED_PROBE_PERIODS == 0) {
		probe_seeds(membership);
		probe_dead_member(membership);
	}
	membership->period_count++;
}

void dw_membership_tick(struct dw_membership *membership, uint64_t now_us, uint64_t random)
{
	struct dw_member_probe *probe = &membership->probe;

	membership->random ^= random;
	if (now_us > membership->last_tick_us + membership->options.pause_threshold_us)
		start_pause_grace(membership, now_us);
	membership->last_tick_us = now_us;
	if (now_us >= membership->next_check_us) {
		membership->next_check_us =
			now_us + membership->options.probe_period_us / CHECKS_PER_PERIOD;
		expire_members(membership, now_us);
		verify_members(membership);
	}
	if (probe->is_active && !probe->is_acked && !probe->is_indirect &&
	    now_us >= probe->direct_deadline_us)
		probe_indirectly(membership);
	if (now_us >= membership->next_period_us)
		start_period(membership, now_us);
}

void dw_membership_leave(struct dw_membership *membership, uint64_t now_us)
{
	struct dw_member *self = &membership->self->member;
	uint32_t start, i, sent = 0;

	if (self->leaving)
		return;
	self->leaving = true;
	self->refutation++;
	dw_membership_set_state(membership, membership->self, DW_MEMBER_LEAVING, now_us);
	start = (uint32_t)(dw_membership_random(membership) % membership->count);
	for (i = 0; i < membership->count && sent < LEAVE_FANOUT; i++) {
		struct dw_member_entry *entry =
			membership->members[(start + i) % membership->count];

		if (!is_peer(membership, entry))
			continue;
		dw_membership_send(membership, DW_MEMBER_PING, &entry->member,
				   ++membership->sequence);
		sent++;
	}
}

void dw_membership_set_revision(struct dw_membership *membership, uint64_t applied_revision)
{
	membership->self->member.applied_revision = applied_revision;
}

void dw_membership_add_seed(struct dw_membership *membership, const struct dw_member_address *seed)
{
	struct dw_membership_options *options = &membership->options;
	uint32_t i;

	if (!dw_ipv4_valid(seed->ip))
		return;
	for (i = 0; i < options->seed_count; i++)
		if (options->seeds[i].port == seed->port &&
		    strcmp(options->seeds[i].ip, seed->ip) == 0)
			return;
	if (options->seed_count < DW_MEMBERSHIP_SEEDS_MAX) {
		options->seeds[options->seed_count++] = *seed;
		return;
	}
	i = (uint32_t)(dw_membership_random(membership) % DW_MEMBERSHIP_SEEDS_MAX);
	options->seeds[i] = *seed;
}

bool dw_membership_in_pause_grace(const struct dw_membership *membership, uint64_t now_us)
{
	return in_grace(membership, now_us);
}
