/**
 * @file record_replica.h
 * Replicas of the usage records of other instances, their owners, which this instance keeps until
 * the records are written to the store.
 */
#ifndef WHARF_CORE_RECORD_REPLICA_H
#define WHARF_CORE_RECORD_REPLICA_H

#include <dragonflywharf/ledger.h>

#ifdef __cplusplus
extern "C" {
#endif

/** Maximum number of owners; beyond it, the empty replica of the oldest incarnation is replaced. */
#define DW_REPLICA_MAX_OWNERS 512

/** A contiguous sequence of one owner's records that ends at last_seq. */
struct dw_record_replica {
	struct dw_member_key owner;
	/** Each record up to it is in records, written to the store, or adopted (see ledger.h). */
	uint64_t last_seq;
	struct dw_usage_record *records;
	uint32_t count;
	uint32_t capacity;
	bool owner_is_dead; /**< the owner is dead: records that still arrive are adopted at once */
};

struct dw_replica_table {
	struct dw_record_replica replicas[DW_REPLICA_MAX_OWNERS];
	uint32_t count;
	uint32_t record_count; /**< of all owners together */
	uint32_t max_records;
};

void dw_replica_table_clear(struct dw_replica_table *table);

/** @return the owner's replica, or NULL. */
struct dw_record_replica *dw_replica_table_find(struct dw_replica_table *table,
						struct dw_member_key owner);

/** Finds the owner's replica or creates an empty one. @return NULL if the table is full. */
struct dw_record_replica *dw_replica_table_open(struct dw_replica_table *table,
						struct dw_member_key owner);

/**
 * Appends the message's records that continue the replica. Records after a gap are skipped; the
 * owner sends them again.
 * @return DW_OK, DW_OVERLOADED or DW_NO_MEMORY.
 */
enum dw_status dw_record_replica_append(struct dw_replica_table *table,
					struct dw_record_replica *replica,
					const struct dw_ledger_message *message);

/** Removes the records up to @p written_seq, which the owner has written. */
void dw_record_replica_trim(struct dw_replica_table *table, struct dw_record_replica *replica,
			    uint64_t written_seq);

#ifdef __cplusplus
}
#endif

#endif
