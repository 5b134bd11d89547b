#include "core/record_replica.h"

#include <stdlib.h>
#include <string.h>

#define INITIAL_CAPACITY 64

void dw_replica_table_clear(struct dw_replica_table *table)
{
	for (uint32_t i = 0; i < table->count; i++) {
		free(table->replicas[i].records);
		table->replicas[i].records = NULL;
	}
	table->count = 0;
	table->record_count = 0;
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

static struct dw_record_replica *find_oldest_empty(struct dw_replica_table *table)
{
	struct dw_record_replica *oldest = NULL;

	for (uint32_t i = 0; i < table->count; i++) {
		struct dw_record_replica *replica = &table->replicas[i];

		if (replica->count == 0 &&
		    (!oldest || replica->owner.incarnation < oldest->owner.incarnation))
			oldest = replica;
	}
	return oldest;
}

struct dw_record_replica *dw_replica_table_open(struct dw_replica_table *table,
						struct dw_member_key owner)
{
	struct dw_record_replica *replica = dw_replica_table_find(table, owner);

	if (replica)
		return replica;
	if (table->count < DW_REPLICA_MAX_OWNERS)
		replica = &table->replicas[table->count++];
	else
		replica = find_oldest_empty(table);
	if (!replica)
		return NULL;
	free(replica->records);
	*replica = (struct dw_record_replica){ .owner = owner };
	return replica;
}

static bool reserve_record(struct dw_record_replica *replica)
{
	uint32_t capacity = replica->capacity ? replica->capacity * 2 : INITIAL_CAPACITY;
	struct dw_usage_record *records;

	if (replica->count < replica->capacity)
		return true;
	records = realloc(replica->records, capacity * sizeof(*records));
	if (!records)
		return false;
	replica->records = records;
	replica->capacity = capacity;
	return true;
}

enum dw_status dw_record_replica_append(struct dw_replica_table *table,
					struct dw_record_replica *replica,
					const struct dw_ledger_message *message)
{
	dw_record_replica_trim(table, replica, message->written_seq);
	for (uint32_t i = 0; i < message->record_count; i++) {
		if (message->seq + i != replica->last_seq + 1)
			continue;
		if (table->record_count >= table->max_records)
			return dw_fail(DW_OVERLOADED, "ledger: table of peer records is full (%u)",
				       table->max_records);
		if (!reserve_record(replica))
			return dw_fail(DW_NO_MEMORY, "ledger: no memory for a peer's record");
		replica->records[replica->count++] = message->records[i];
		table->record_count++;
		replica->last_seq++;
	}
	return DW_OK;
}

void dw_record_replica_trim(struct dw_replica_table *table, struct dw_record_replica *replica,
			    uint64_t written_seq)
{
	uint64_t first_seq = replica->last_seq - replica->count + 1;
	uint64_t removed = written_seq + 1 > first_seq ? written_seq + 1 - first_seq : 0;

	if (removed > replica->count)
		removed = replica->count;
	replica->count -= (uint32_t)removed;
	table->record_count -= (uint32_t)removed;
	if (removed > 0 && replica->count > 0)
		memmove(replica->records, replica->records + removed,
			replica->count * sizeof(*replica->records));
	if (written_seq > replica->last_seq)
		replica->last_seq = written_seq;
}
