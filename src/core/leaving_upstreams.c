#include <dragonflywharf/leaving_upstreams.h>

#include <stdlib.h>

#include <utlist.h>

/* The two directions in which news are sent: within the failure domain, and to the others. */
#define DIRECTIONS 2
/* Sends of what is new, and the rounds between them. */
#define SENDS 3
/* An own lifetime is sent again in each such round for as long as it is remembered, for instances that
 * start. It is in force at an instance that counts as in touch before that. */
#define REPEAT_ROUNDS 20

struct leaving {
	struct dw_crash_upstream upstream;
	uint64_t heard_at_us;
	bool is_own;
	uint8_t sends_left[DIRECTIONS];
	uint32_t next_round[DIRECTIONS];
	struct leaving *prev;
	struct leaving *next;
};

struct dw_leaving_upstreams {
	struct leaving *first; /* in the order in which they became known */
	size_t count;
};

static const uint32_t send_pauses[SENDS] = { 1, 5, REPEAT_ROUNDS };

struct dw_leaving_upstreams *dw_leaving_upstreams_new(void)
{
	struct dw_leaving_upstreams *leaving = calloc(1, sizeof(*leaving));

	if (!leaving)
		abort();
	return leaving;
}

static void remove_entry(struct dw_leaving_upstreams *leaving, struct leaving *entry)
{
	DL_DELETE(leaving->first, entry);
	leaving->count--;
	free(entry);
}

void dw_leaving_upstreams_free(struct dw_leaving_upstreams *leaving)
{
	while (leaving->first)
		remove_entry(leaving, leaving->first);
	free(leaving);
}

static struct leaving *find(const struct dw_leaving_upstreams *leaving,
			    struct dw_crash_upstream upstream)
{
	struct leaving *entry;

	DL_FOREACH(leaving->first, entry) {
		if (entry->upstream.id == upstream.id &&
		    entry->upstream.incarnation == upstream.incarnation)
			return entry;
	}
	return NULL;
}

bool dw_leaving_add(struct dw_leaving_upstreams *leaving, struct dw_crash_upstream upstream,
		    bool is_own, enum dw_spread_scope scope, uint64_t now_us)
{
	struct leaving *entry = find(leaving, upstream);

	if (entry) {
		entry->heard_at_us = now_us;
		entry->is_own = entry->is_own || is_own;
		return false;
	}
	if (leaving->count == DW_LEAVING_UPSTREAMS_MAX)
		remove_entry(leaving, leaving->first);
	entry = calloc(1, sizeof(*entry));
	if (!entry)
		abort();
	entry->upstream = upstream;
	entry->heard_at_us = now_us;
	entry->is_own = is_own;
	entry->sends_left[0] = scope & DW_SPREAD_IN_DOMAIN ? SENDS : 0;
	entry->sends_left[1] = scope & DW_SPREAD_TO_DOMAINS ? SENDS : 0;
	DL_APPEND(leaving->first, entry);
	leaving->count++;
	return true;
}

bool dw_leaving_has(const struct dw_leaving_upstreams *leaving, struct dw_crash_upstream upstream)
{
	return find(leaving, upstream) != NULL;
}

/* Whether it has to be sent in this direction in this round; notes that it is. */
static bool take_send(struct leaving *entry, int direction, uint32_t round)
{
	if (round < entry->next_round[direction])
		return false;
	if (entry->sends_left[direction] > 0) {
		entry->next_round[direction] =
			round + send_pauses[SENDS - entry->sends_left[direction]];
		entry->sends_left[direction]--;
		return true;
	}
	entry->next_round[direction] = round + REPEAT_ROUNDS;
	return entry->is_own;
}

static bool take_sends(struct leaving *entry, enum dw_spread_scope scope, uint32_t round)
{
	bool is_due = false;

	if (scope & DW_SPREAD_IN_DOMAIN)
		is_due |= take_send(entry, 0, round);
	if (scope & DW_SPREAD_TO_DOMAINS)
		is_due |= take_send(entry, 1, round);
	return is_due;
}

size_t dw_leaving_take_news(struct dw_leaving_upstreams *leaving, enum dw_spread_scope scope,
			    uint32_t round, struct dw_crash_upstream *out, size_t max)
{
	struct leaving *entry;
	size_t count = 0;

	DL_FOREACH(leaving->first, entry) {
		if (count == max)
			break;
		if (take_sends(entry, scope, round))
			out[count++] = entry->upstream;
	}
	return count;
}

void dw_leaving_expire(struct dw_leaving_upstreams *leaving, uint64_t now_us)
{
	struct leaving *entry;
	struct leaving *next;

	DL_FOREACH_SAFE(leaving->first, entry, next) {
		if (now_us > entry->heard_at_us + DW_LEAVING_KEPT_US)
			remove_entry(leaving, entry);
	}
}

size_t dw_leaving_count(const struct dw_leaving_upstreams *leaving)
{
	return leaving->count;
}
