#include "core/record_replica.h"

#include <stdlib.h>
#include <string.h>

#define FIRST_CAPACITY 64

void dw_replica_table_clear(struct dw_replica_table *table)
{
	for (uint32_t i = 0; i < table->count; i++) {
		free(table->replicas[i].records);
		table->replicas[i].records = NULL;
	}
	table->count = 0;
	table->records = 0;
}

struct dw_record_replica *dw_replica_table_find(struct dw_replica_table *table,
						struct dw_member_key owner)
{
	for (uint32_t i = 0; i < table->count; i++) {
		if (dw_member_key_equal(table->replicas[i].owner, owner))
			return &table->replicas[i];
	}
	return NULL;
}

static struct dw_record_replica *oldest_empty(struct dw_replica_table *table)
{
	struct dw_record_replica *oldest = NULL;

	for (uint32_t i = 0; i < table->count; i++) {
		struct dw_record_replica *tail = &table->replicas[i];

		if (tail->count == 0 &&
		    (!oldest || tail->owner.incarnation < oldest->owner.incarnation))
			oldest = tail;
	}
	return oldest;
}

struct dw_record_replica *dw_replica_table_open(struct dw_replica_table *table,
						struct dw_member_key owner)
{
	struct dw_record_replica *tail = dw_replica_table_find(table, owner);

	if (tail)
		return tail;
	if (table->count < DW_REPLICA_MAX_OWNERS)
		tail = &table->replicas[table->count++];
	else
		tail = oldest_empty(table);
	if (!tail)
		return NULL;
	free(tail->records);
	*tail = (struct dw_record_replica){ .owner = owner };
	return tail;
}

static bool grow(struct dw_record_replica *tail)
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

enum dw_status dw_record_replica_append(struct dw_replica_table *table,
					struct dw_record_replica *tail,
					const struct dw_ledger_message *message)
{
	dw_record_replica_trim(table, tail, message->written_seq);
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

void dw_record_replica_trim(struct dw_replica_table *table, struct dw_record_replica *tail,
			    uint64_t written_seq)
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
