/**
 * @file session_table.h
 * Versions of the sessions whose callers send only a session id.
 *
 * A session's home instance keeps its entry, and an instance of another failure domain a copy.
 * Entries of two instances merge to the same one in any order. Bounded: the least recently used
 * entry gives way.
 */
#ifndef DRAGONFLYWHARF_SESSION_TABLE_H
#define DRAGONFLYWHARF_SESSION_TABLE_H

#include <dragonflywharf/entity.h>
#include <dragonflywharf/member_key.h>

#ifdef __cplusplus
extern "C" {
#endif

#define DW_SESSION_ID_BYTES 16

/** BLAKE2b of organisation, model and the caller's session id. */
struct dw_session_id {
	uint8_t bytes[DW_SESSION_ID_BYTES];
};

struct dw_session_entry {
	struct dw_session_id id;
	char version[DW_NAME_MAX_BYTES + 1];
	uint32_t moves; /**< times the session left a withdrawn version; the higher wins */
	uint64_t assigned_us; /**< wall clock of the assignment; at equal moves the lower wins */
	struct dw_member_key member; /**< who assigned; breaks the last tie */
	uint64_t deadline_us; /**< expiry on the owner's monotonic clock; not sent to peers */
};

struct dw_session_table;

struct dw_session_id dw_session_id_make(const char *organisation, const char *model,
					const char *session);

/** A 64-bit hash for dw_membership_owners(). */
uint64_t dw_session_id_hash(struct dw_session_id id);

/** At most @p capacity entries (at least 1), each kept @p lifetime_us after its last use. */
struct dw_session_table *dw_session_table_new(uint32_t capacity, uint64_t lifetime_us);
void dw_session_table_free(struct dw_session_table *table);
uint32_t dw_session_table_count(const struct dw_session_table *table);

/** The session's entry, renewed; NULL if there is none. Valid until the next call. */
const struct dw_session_entry *dw_session_table_get(struct dw_session_table *table,
						    struct dw_session_id id, uint64_t now_us);

/**
 * Takes in an assignment, own or a peer's; returns the entry that stands after it.
 * NULL without memory.
 */
const struct dw_session_entry *dw_session_table_merge(struct dw_session_table *table,
						      const struct dw_session_entry *entry,
						      uint64_t now_us);

/** Drops expired entries, at most @p max; returns how many. */
uint32_t dw_session_table_expire(struct dw_session_table *table, uint64_t now_us, uint32_t max);

/** Visits all live entries, for a hand-over at a planned stop. */
void dw_session_table_visit(const struct dw_session_table *table,
			    void (*visit)(const struct dw_session_entry *entry, void *data),
			    void *data);

#ifdef __cplusplus
}
#endif

#endif
