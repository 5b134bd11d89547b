#include "core/evidence.h"

#include <stdlib.h>
#include <string.h>

#define FIRST_CAPACITY 8

bool tally_is_valid(const struct tally *tally)
{
	return tally->bad <= tally->answers && tally->errors <= tally->answers - tally->bad;
}

static bool is_before(struct dw_member_key a, struct dw_member_key b)
{
	if (a.instance_id != b.instance_id)
		return a.instance_id < b.instance_id;
	return a.incarnation < b.incarnation;
}

/* Where the member's counter is or would be. */
static uint32_t position_of(const struct evidence *evidence, struct dw_member_key member)
{
	uint32_t low = 0;
	uint32_t high = evidence->count;

	while (low < high) {
		uint32_t middle = low + (high - low) / 2;

		if (is_before(evidence->counters[middle].member, member))
			low = middle + 1;
		else
			high = middle;
	}
	return low;
}

static struct counter *find(const struct evidence *evidence, struct dw_member_key member)
{
	uint32_t position = position_of(evidence, member);

	if (position == evidence->count ||
	    !dw_member_key_equal(evidence->counters[position].member, member))
		return NULL;
	return &evidence->counters[position];
}

struct tally evidence_get(const struct evidence *evidence, struct dw_member_key member)
{
	const struct counter *counter = find(evidence, member);

	return counter ? counter->tally : (struct tally){ 0 };
}

static bool grow(struct evidence *evidence)
{
	uint32_t capacity = evidence->capacity ? 2 * evidence->capacity : FIRST_CAPACITY;
	struct counter *counters =
		realloc(evidence->counters, capacity * sizeof(*evidence->counters));

	if (!counters)
		return false;
	evidence->counters = counters;
	evidence->capacity = capacity;
	return true;
}

/* A dropped run must not be counted twice if a peer tells of it again: hence the floor. */
static bool drop_stalest(struct evidence *evidence, struct dw_member_key self)
{
	struct counter *stalest = NULL;

	for (uint32_t i = 0; i < evidence->count; i++) {
		struct counter *counter = &evidence->counters[i];

		if (!dw_member_key_equal(counter->member, self) &&
		    (!stalest || counter->changed_seq < stalest->changed_seq))
			stalest = counter;
	}
	if (!stalest)
		return false;
	if (stalest->member.incarnation > evidence->floor_incarnation)
		evidence->floor_incarnation = stalest->member.incarnation;
	evidence->changed -= stalest->changed;
	evidence->count--;
	memmove(stalest, stalest + 1,
		(size_t)(evidence->counters + evidence->count - stalest) * sizeof(*stalest));
	return true;
}

static struct counter *add(struct evidence *evidence, struct dw_member_key member,
			   struct dw_member_key self, uint32_t members_max)
{
	struct counter *counter;

	if (member.incarnation <= evidence->floor_incarnation && !dw_member_key_equal(member, self))
		return NULL;
	if (evidence->count >= members_max && !drop_stalest(evidence, self))
		return NULL;
	if (evidence->count == evidence->capacity && !grow(evidence))
		return NULL;
	counter = &evidence->counters[position_of(evidence, member)];
	memmove(counter + 1, counter,
		(size_t)(evidence->counters + evidence->count - counter) * sizeof(*counter));
	evidence->count++;
	*counter = (struct counter){ .member = member };
	return counter;
}

static bool raise(uint64_t *value, uint64_t to, uint64_t *sum)
{
	if (to <= *value)
		return false;
	*sum += to - *value;
	*value = to;
	return true;
}

bool evidence_merge(struct evidence *evidence, struct dw_member_key member,
		    const struct tally *tally, struct dw_member_key self, uint32_t members_max)
{
	struct counter *counter = find(evidence, member);
	bool changed;

	if (!counter)
		counter = add(evidence, member, self, members_max);
	if (!counter)
		return false;
	changed = raise(&counter->tally.answers, tally->answers, &evidence->sum.answers);
	changed |= raise(&counter->tally.bad, tally->bad, &evidence->sum.bad);
	changed |= raise(&counter->tally.errors, tally->errors, &evidence->sum.errors);
	if (!changed)
		return false;
	evidence->changed += !counter->changed;
	counter->changed = true;
	counter->changed_seq = ++evidence->seq;
	return true;
}

const struct counter *evidence_take_changed(struct evidence *evidence)
{
	struct counter *counter;

	if (!evidence->changed)
		return NULL;
	do {
		evidence->scan = (evidence->scan + 1) % evidence->count;
		counter = &evidence->counters[evidence->scan];
	} while (!counter->changed);
	counter->changed = false;
	evidence->changed--;
	return counter;
}

void evidence_clear(struct evidence *evidence)
{
	free(evidence->counters);
	memset(evidence, 0, sizeof(*evidence));
}
