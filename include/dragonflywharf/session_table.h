/**
 * @file session_table.h
 * Table of the versions of sessions whose callers send a session id instead of a token.
 *
 * A session's home instance keeps its entry, and an instance in another failure domain keeps a
 * copy. Merging the entries of several instances gives the same result in any order. A full table
 * evicts the least recently used entry.
 */
#ifndef DRAGONFLYWHARF_SESSION_TABLE_H
#define DRAGONFLYWHARF_SESSION_TABLE_H

#include <dragonflywharf/entity.h>
#include <dragonflywharf/member_key.h>

#ifdef __cplusplus
extern "C" {
#endif

#define DW_SESSION_ID_BYTES 16

/** BLAKE2b hash of the organisation, the model and the caller's session id. */
struct dw_session_id {
	uint8_t bytes[DW_SESSION_ID_BYTES];
};

struct dw_session_entry {
	struct dw_session_id id;
	char version[DW_NAME_MAX_BYTES + 1];
	/** How often the session was moved off a version that it couldn't use any more. The entry
	 * with more moves wins a merge. */
	uint32_t moves;
	uint64_t assigned_us; /**< wall-clock time; with equal moves the earlier one wins */
	/** Instance that assigned the version. Breaks ties; the version's name breaks the last ones. */
	struct dw_member_key member;
	uint64_t deadline_us; /**< expiry by the local monotonic clock; not sent to peers */
};

struct dw_session_table;

struct dw_session_id dw_session_id_make(const char *organisation, const char *model,
					const char *session);

/** A 64-bit hash for dw_membership_owners(). */
uint64_t dw_session_id_hash(struct dw_session_id id);

/** Creates a table of at most @p capacity entries (at least 1). An entry expires @p lifetime_us
 * after its last use. Returns NULL if out of memory. */
struct dw_session_table *dw_session_table_new(uint32_t capacity, uint64_t lifetime_us);
void dw_session_table_free(struct dw_session_table *table);
uint32_t dw_session_table_count(const struct dw_session_table *table);

/** Returns the session's entry and renews its lifetime; NULL if there is none. Valid until the next
 * call. */
const struct dw_session_entry *dw_session_table_get(struct dw_session_table *table,
						    struct dw_session_id id, uint64_t now_us);

/**
 * Merges an assignment that was made here or received from a peer. Returns the entry that results
 * from the merge; NULL if out of memory.
 */
const struct dw_session_entry *dw_session_table_merge(struct dw_session_table *table,
						      const struct dw_session_entry *entry,
						      uint64_t now_us);

/** Removes at most @p max expired entries and returns their number. */
uint32_t dw_session_table_expire(struct dw_session_table *table, uint64_t now_us, uint32_t max);

/** Visits all entries; used to hand them over to other instances before a planned stop. */
void dw_session_table_visit(const struct dw_session_table *table,
			    void (*visit)(const struct dw_session_entry *entry, void *data),
			    void *data);

#ifdef __cplusplus
}
#endif

#endif
