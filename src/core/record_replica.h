/**
 * @file record_replica.h
 * The copies of other owners' unwritten usage records that this instance holds.
 */
#ifndef WHARF_CORE_RECORD_REPLICA_H
#define WHARF_CORE_RECORD_REPLICA_H

#include <dragonflywharf/ledger.h>

#ifdef __cplusplus
extern "C" {
#endif

/** Owners remembered at most; the oldest run of which nothing is held makes room. */
#define DW_REPLICA_MAX_OWNERS 512

/** A contiguous run of one owner's records, up to last_seq. */
struct dw_record_replica {
	struct dw_member_key owner;
	uint64_t last_seq; /**< every record up to it is held here, written or adopted */
	struct dw_usage_record *records;
	uint32_t count;
	uint32_t capacity;
	bool owner_is_dead; /**< the owner is gone: what still arrives is adopted at once */
};

struct dw_replica_table {
	struct dw_record_replica replicas[DW_REPLICA_MAX_OWNERS];
	uint32_t count;
	uint32_t records; /**< over all owners */
	uint32_t max_records;
};

void dw_replica_table_clear(struct dw_replica_table *table);

/** @return the owner's tail, or NULL. */
struct dw_record_replica *dw_replica_table_find(struct dw_replica_table *table,
						struct dw_member_key owner);

/** As find, but makes an empty one; NULL without room. */
struct dw_record_replica *dw_replica_table_open(struct dw_replica_table *table,
						struct dw_member_key owner);

/** Takes a copy's records that continue the tail; a gap is left for the owner to send again.
 * @return DW_OK, DW_OVERLOADED or DW_NO_MEMORY. */
enum dw_status dw_record_replica_append(struct dw_replica_table *table,
					struct dw_record_replica *tail,
					const struct dw_ledger_message *message);

/** Drops records up to @p written_seq. */
void dw_record_replica_trim(struct dw_replica_table *table, struct dw_record_replica *tail,
			    uint64_t written_seq);

#ifdef __cplusplus
}
#endif

#endif
