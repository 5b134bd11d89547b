#include <dragonflywharf/spread.h>

#include <stdlib.h>
#include <string.h>

/* Up to this size every instance sends to all others. */
#define DIRECT_MEMBERS_MAX 24
/* A relay that was silent for this long is replaced by the next one. */
#define SILENCE_US UINT64_C(1500000)

struct spread_member {
	uint64_t instance_id;
	uint64_t domain_key;
	uint32_t domain_rank;
	uint64_t heard_at_us; /* 0: never */
};

struct dw_spread {
	struct spread_member *members; /* by failure domain, in its order */
	struct spread_member **by_id; /* the same, by instance_id */
	uint32_t count;
	struct spread_member self;
};

struct dw_spread *dw_spread_new(void)
{
	struct dw_spread *spread = calloc(1, sizeof(*spread));

	if (!spread)
		abort();
	return spread;
}

void dw_spread_free(struct dw_spread *spread)
{
	if (!spread)
		return;
	free(spread->members);
	free(spread->by_id);
	free(spread);
}

static int compare_ids(const void *left, const void *right)
{
	uint64_t a = (*(struct spread_member *const *)left)->instance_id;
	uint64_t b = (*(struct spread_member *const *)right)->instance_id;

	return (a > b) - (a < b);
}

static struct spread_member *find(const struct dw_spread *spread, uint64_t id)
{
	struct spread_member key = { .instance_id = id };
	struct spread_member *key_at = &key;
	struct spread_member **found = NULL;

	if (spread->count > 0)
		found = bsearch(&key_at, spread->by_id, spread->count, sizeof(*spread->by_id),
				compare_ids);
	return found ? *found : NULL;
}

void dw_spread_place(struct dw_spread *spread, const struct dw_view_member *members, uint32_t count,
		     uint64_t self)
{
	struct dw_view_ranked *ranked = calloc(count + 1, sizeof(*ranked));
	struct spread_member *placed = calloc(count + 1, sizeof(*placed));
	struct spread_member **by_id = calloc(count + 1, sizeof(*by_id));

	if (!ranked || !placed || !by_id)
		abort();
	dw_view_rank_domains(members, count, ranked);
	for (uint32_t i = 0; i < count; i++) {
		const struct spread_member *known = find(spread, ranked[i].member.instance_id);

		placed[i].instance_id = ranked[i].member.instance_id;
		placed[i].domain_key = ranked[i].member.domain_key;
		placed[i].domain_rank = ranked[i].domain_rank;
		placed[i].heard_at_us = known ? known->heard_at_us : 0;
		by_id[i] = &placed[i];
		if (placed[i].instance_id == self)
			spread->self = placed[i];
	}
	qsort(by_id, count, sizeof(*by_id), compare_ids);
	free(ranked);
	free(spread->members);
	free(spread->by_id);
	spread->members = placed;
	spread->by_id = by_id;
	spread->count = count;
}

static bool is_direct(const struct dw_spread *spread)
{
	return spread->count <= DIRECT_MEMBERS_MAX;
}

bool dw_spread_is_relay(const struct dw_spread *spread)
{
	return !is_direct(spread) && spread->self.domain_rank < DW_SPREAD_RELAYS;
}

enum dw_spread_scope dw_spread_received(struct dw_spread *spread, uint64_t from, uint64_t now_us)
{
	struct spread_member *member = find(spread, from);

	if (!member)
		return DW_SPREAD_NOWHERE;
	member->heard_at_us = now_us;
	if (!dw_spread_is_relay(spread))
		return DW_SPREAD_NOWHERE;
	if (member->domain_key != spread->self.domain_key)
		return DW_SPREAD_IN_DOMAIN;
	/* Another relay of the failure domain has sent them to all. */
	return member->domain_rank < DW_SPREAD_RELAYS ? DW_SPREAD_NOWHERE : DW_SPREAD_EVERYWHERE;
}

static bool is_heard(const struct spread_member *member, uint64_t now_us)
{
	return member->heard_at_us > 0 && now_us < member->heard_at_us + SILENCE_US;
}

/* The relay to use of the failure domain whose members begin at @p first. If none was heard from, they
 * are tried in turn. */
static uint64_t choose_relay(const struct dw_spread *spread, uint32_t first, uint64_t now_us)
{
	uint32_t relays = 0;

	while (first + relays < spread->count && relays < DW_SPREAD_RELAYS &&
	       spread->members[first + relays].domain_rank == relays)
		relays++;
	for (uint32_t i = 0; i < relays; i++) {
		if (is_heard(&spread->members[first + i], now_us))
			return spread->members[first + i].instance_id;
	}
	return spread->members[first + (now_us / SILENCE_US) % relays].instance_id;
}

/* Sends to one relay of this failure domain, or of each of the others. */
static void send_to_relays(const struct dw_spread *spread, bool in_own_domain, uint64_t now_us,
			   void (*send)(uint64_t to, void *data), void *data)
{
	for (uint32_t i = 0; i < spread->count; i++) {
		const struct spread_member *member = &spread->members[i];
		bool is_own = member->domain_key == spread->self.domain_key;

		if (member->domain_rank == 0 && is_own == in_own_domain)
			send(choose_relay(spread, i, now_us), data);
	}
}

static void send_to_all(const struct dw_spread *spread, bool in_own_domain,
			void (*send)(uint64_t to, void *data), void *data)
{
	for (uint32_t i = 0; i < spread->count; i++) {
		const struct spread_member *member = &spread->members[i];

		if (member->instance_id != spread->self.instance_id &&
		    (!in_own_domain || member->domain_key == spread->self.domain_key))
			send(member->instance_id, data);
	}
}

void dw_spread_targets(const struct dw_spread *spread, enum dw_spread_scope scope, uint64_t now_us,
		       void (*send)(uint64_t to, void *data), void *data)
{
	if (is_direct(spread)) {
		send_to_all(spread, false, send, data);
		return;
	}
	switch (scope) {
	case DW_SPREAD_NOWHERE:
		break;
	case DW_SPREAD_IN_DOMAIN:
		send_to_all(spread, true, send, data);
		break;
	case DW_SPREAD_TO_DOMAINS:
		send_to_relays(spread, false, now_us, send, data);
		break;
	case DW_SPREAD_EVERYWHERE:
		send_to_relays(spread, true, now_us, send, data);
		break;
	}
}
