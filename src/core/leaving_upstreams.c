#include <dragonflywharf/leaving_upstreams.h>

#include <stdlib.h>
#include <string.h>

/* Sends of what is new, and the rounds between them. */
#define SENDS 3
/* An own lifetime is sent again in each such round for as long as it is remembered, for instances that
 * start. It is in force at an instance that counts as in touch before that. */
#define REPEAT_ROUNDS 20

struct leaving {
	struct dw_crash_upstream upstream;
	uint64_t heard_at_us;
	bool is_own;
	struct dw_news_schedule news;
};

struct dw_leaving_upstreams {
	struct leaving
		entries[DW_LEAVING_UPSTREAMS_MAX]; /* in the order in which they became known */
	size_t count;
};

static const uint32_t send_pauses[SENDS] = { 1, 5, REPEAT_ROUNDS };
static const struct dw_news_pace pace = { SENDS, send_pauses };

struct dw_leaving_upstreams *dw_leaving_upstreams_new(void)
{
	struct dw_leaving_upstreams *leaving = calloc(1, sizeof(*leaving));

	if (!leaving)
		abort();
	return leaving;
}

void dw_leaving_upstreams_free(struct dw_leaving_upstreams *leaving)
{
	free(leaving);
}

/* The index of a lifetime; their count if it isn't known. */
static size_t find(const struct dw_leaving_upstreams *leaving, struct dw_crash_upstream upstream)
{
	size_t i = 0;

	while (i < leaving->count &&
	       (leaving->entries[i].upstream.id != upstream.id ||
		leaving->entries[i].upstream.incarnation != upstream.incarnation))
		i++;
	return i;
}

static void remove_oldest(struct dw_leaving_upstreams *leaving)
{
	leaving->count--;
	memmove(&leaving->entries[0], &leaving->entries[1],
		leaving->count * sizeof(leaving->entries[0]));
}

bool dw_leaving_add(struct dw_leaving_upstreams *leaving, struct dw_crash_upstream upstream,
		    bool is_own, enum dw_spread_scope scope, uint64_t now_us)
{
	size_t at = find(leaving, upstream);
	struct leaving *entry = &leaving->entries[at];

	if (at < leaving->count) {
		entry->heard_at_us = now_us;
		entry->is_own = entry->is_own || is_own;
		return false;
	}
	if (leaving->count == DW_LEAVING_UPSTREAMS_MAX)
		remove_oldest(leaving);
	entry = &leaving->entries[leaving->count++];
	*entry = (struct leaving){
		.upstream = upstream,
		.heard_at_us = now_us,
		.is_own = is_own,
	};
	dw_news_schedule_start(&entry->news, &pace, scope);
	return true;
}

bool dw_leaving_has(const struct dw_leaving_upstreams *leaving, struct dw_crash_upstream upstream)
{
	return find(leaving, upstream) < leaving->count;
}

/* Whether it has to be sent in this round; notes that it is. */
static bool take_sends(struct leaving *entry, enum dw_spread_scope scope, uint32_t round)
{
	bool is_due = dw_news_schedule_take(&entry->news, &pace, scope, round);
	bool is_repeat_due = dw_news_schedule_repeat(&entry->news, scope, round, REPEAT_ROUNDS);

	return is_due || (is_repeat_due && entry->is_own);
}

size_t dw_leaving_take_news(struct dw_leaving_upstreams *leaving, enum dw_spread_scope scope,
			    uint32_t round, struct dw_crash_upstream *out, size_t max)
{
	size_t count = 0;

	for (size_t i = 0; i < leaving->count && count < max; i++) {
		if (take_sends(&leaving->entries[i], scope, round))
			out[count++] = leaving->entries[i].upstream;
	}
	return count;
}

void dw_leaving_expire(struct dw_leaving_upstreams *leaving, uint64_t now_us)
{
	size_t kept = 0;

	for (size_t i = 0; i < leaving->count; i++) {
		if (now_us <= leaving->entries[i].heard_at_us + DW_LEAVING_KEPT_US)
			leaving->entries[kept++] = leaving->entries[i];
	}
	leaving->count = kept;
}

size_t dw_leaving_count(const struct dw_leaving_upstreams *leaving)
{
	return leaving->count;
}
