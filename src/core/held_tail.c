#include "core/held_tail.h"

#include <stdlib.h>
#include <string.h>

#define FIRST_CAPACITY 64

static void remove_tail(struct dw_held_table *table, struct dw_held_tail *tail)
{
	HASH_DEL(table->tails, tail);
	table->records -= tail->count;
	free(tail->records);
	free(tail);
}

void dw_held_table_clear(struct dw_held_table *table)
{
	struct dw_held_tail *tail;
	struct dw_held_tail *next;

	HASH_ITER(hh, table->tails, tail, next)
		remove_tail(table, tail);
}

struct dw_held_tail *dw_held_table_find(struct dw_held_table *table, struct dw_member_key owner)
{
	struct dw_held_tail *tail;

	HASH_FIND(hh, table->tails, &owner, sizeof(owner), tail);
	return tail;
}

/* uthash iterates in order of insertion, so the first empty tail is the oldest. */
static bool make_room(struct dw_held_table *table)
{
	struct dw_held_tail *tail;
	struct dw_held_tail *next;

	if (HASH_COUNT(table->tails) < DW_HELD_MAX_OWNERS)
		return true;
	HASH_ITER(hh, table->tails, tail, next) {
		if (tail->count == 0) {
			remove_tail(table, tail);
			return true;
		}
	}
	return false;
}

struct dw_held_tail *dw_held_table_open(struct dw_held_table *table, struct dw_member_key owner)
{
	struct dw_held_tail *tail = dw_held_table_find(table, owner);

	if (tail || !make_room(table))
		return tail;
	tail = calloc(1, sizeof(*tail));
	if (!tail)
		return NULL;
	tail->owner = owner;
	HASH_ADD(hh, table->tails, owner, sizeof(tail->owner), tail);
	return tail;
}

static bool grow(struct dw_held_tail *tail)
{
	uint32_t capacity = tail->capacity ? tail->capacity * 2 : FIRST_CAPACITY;
	struct dw_usage_record *records;

	if (tail->count < tail->capacity)
		return true;
	records = realloc(tail->records, capacity * sizeof(*records));
	if (!records)
		return false;
	tail->records = records;
	tail->capacity = capacity;
	return true;
}

enum dw_status dw_held_tail_copy(struct dw_held_table *table, struct dw_held_tail *tail,
				 const struct dw_ledger_message *message)
{
	dw_held_tail_trim(table, tail, message->written_seq);
	for (uint32_t i = 0; i < message->record_count; i++) {
		if (message->seq + i != tail->last_seq + 1)
			continue;
		if (table->records >= table->max_records)
			return dw_fail(DW_OVERLOADED, "ledger: no room for a peer's records");
		if (!grow(tail))
			return dw_fail(DW_NO_MEMORY, "ledger: no memory");
		tail->records[tail->count++] = message->records[i];
		table->records++;
		tail->last_seq++;
	}
	return DW_OK;
}

void dw_held_tail_trim(struct dw_held_table *table, struct dw_held_tail *tail, uint64_t written_seq)
{
	uint64_t first_seq = tail->last_seq - tail->count + 1;
	uint64_t drop = written_seq + 1 > first_seq ? written_seq + 1 - first_seq : 0;

	if (drop > tail->count)
		drop = tail->count;
	tail->count -= (uint32_t)drop;
	table->records -= (uint32_t)drop;
	if (drop > 0 && tail->count > 0)
		memmove(tail->records, tail->records + drop, tail->count * sizeof(*tail->records));
	if (written_seq > tail->last_seq)
		tail->last_seq = written_seq;
}
