#include "dragonflywharfd/session_sync.h"

#include <stdlib.h>
#include <string.h>

#include "dragonflywharfd/peer_bus.h"
#include "net/msgpack_read.h"

#define SESSION_OWNERS 2
/** A query is resolved without the owners that haven't replied within this time. */
#define REPLY_TIMEOUT_US (150 * DW_US_PER_MS)
#define EXPIRE_MAX_PER_TICK 64U
/** Query id of a message that wants no reply. */
#define QUERY_ID_NONE 0

enum entry_field {
	ENTRY_QUERY_ID,
	ENTRY_ID,
	ENTRY_VERSION,
	ENTRY_MOVES,
	ENTRY_ASSIGNED,
	ENTRY_INSTANCE_ID,
	ENTRY_INCARNATION,
	ENTRY_FIELD_COUNT
};

/* A request that waits for the owners' replies. */
struct query {
	uint64_t query_id;
	struct dw_session_id id;
	uint64_t deadline_us;
	uint32_t missing_replies;
	session_resolved_callback resolved;
	void *owner;
	struct query *next;
};

struct session_sync {
	struct daemon *daemon;
	struct query *queries; /* short list, ordered by deadline */
	uint64_t next_query_id;
};

struct session_sync *session_sync_new(struct daemon *daemon)
{
	struct session_sync *sync = calloc(1, sizeof(*sync));

	if (!sync)
		abort();
	sync->daemon = daemon;
	sync->next_query_id = QUERY_ID_NONE + 1;
	return sync;
}

static void send_entry(struct session_sync *sync, uint64_t instance_id, enum peer_message_type type,
		       uint64_t query_id, const struct dw_session_entry *entry)
{
	struct peer_message_buffer buffer;

	peer_message_buffer_init(&buffer);
	msgpack_pack_array(&buffer.packer, ENTRY_FIELD_COUNT);
	msgpack_pack_uint64(&buffer.packer, query_id);
	msgpack_pack_bin_with_body(&buffer.packer, entry->id.bytes, sizeof(entry->id.bytes));
	dw_msgpack_pack_string(&buffer.packer, entry->version);
	msgpack_pack_uint32(&buffer.packer, entry->moves);
	msgpack_pack_uint64(&buffer.packer, entry->assigned_us);
	msgpack_pack_uint64(&buffer.packer, entry->member.instance_id);
	msgpack_pack_uint64(&buffer.packer, entry->member.incarnation);
	peer_bus_send(sync->daemon, instance_id, type, &buffer);
	peer_message_buffer_clear(&buffer);
}

static bool read_entry(const msgpack_object *value, uint64_t *query_id,
		       struct dw_session_entry *entry)
{
	const msgpack_object *fields = dw_msgpack_read_array(value, ENTRY_FIELD_COUNT);
	uint64_t moves = 0;

	memset(entry, 0, sizeof(*entry));
	if (!fields || fields[ENTRY_ID].type != MSGPACK_OBJECT_BIN ||
	    fields[ENTRY_ID].via.bin.size != sizeof(entry->id.bytes) ||
	    !dw_msgpack_read_uint(&fields[ENTRY_QUERY_ID], UINT64_MAX, query_id) ||
	    !dw_msgpack_read_string(&fields[ENTRY_VERSION], entry->version,
				    sizeof(entry->version)) ||
	    !dw_msgpack_read_uint(&fields[ENTRY_MOVES], UINT32_MAX, &moves) ||
	    !dw_msgpack_read_uint(&fields[ENTRY_ASSIGNED], UINT64_MAX, &entry->assigned_us) ||
	    !dw_msgpack_read_uint(&fields[ENTRY_INSTANCE_ID], UINT64_MAX,
				  &entry->member.instance_id) ||
	    !dw_msgpack_read_uint(&fields[ENTRY_INCARNATION], UINT64_MAX,
				  &entry->member.incarnation))
		return false;
	memcpy(entry->id.bytes, fields[ENTRY_ID].via.bin.ptr, sizeof(entry->id.bytes));
	entry->moves = (uint32_t)moves;
	return true;
}

/* Merges into this daemon's table; returns the result, or @p entry if the table has none. */
static const struct dw_session_entry *merge(struct session_sync *sync,
					    const struct dw_session_entry *entry)
{
	const struct dw_session_entry *merged =
		dw_session_table_merge(sync->daemon->sessions, entry, dw_clock_now_us());

	return merged ? merged : entry;
}

/* Sends to the owners of the session other than this daemon; returns the number of messages. */
static uint32_t send_to_owners(struct session_sync *sync, uint64_t query_id,
			       const struct dw_session_entry *entry)
{
	struct daemon *daemon = sync->daemon;
	const struct dw_member *owners[SESSION_OWNERS];
	size_t count =
		dw_membership_owners(daemon->membership, dw_session_id_hash(entry->id), owners);
	uint32_t sent = 0;

	for (size_t i = 0; i < count; i++) {
		if (dw_member_key_equal(owners[i]->key, daemon->key))
			continue;
		send_entry(sync, owners[i]->key.instance_id, PEER_SESSION_QUERY, query_id, entry);
		sent++;
	}
	return sent;
}

void session_sync_put(struct session_sync *sync, const struct dw_session_entry *entry)
{
	struct dw_session_entry merged = *merge(sync, entry);

	send_to_owners(sync, QUERY_ID_NONE, &merged);
}

/* The link in the list that points to @p query, or the last link for NULL. */
static struct query **find_link(struct session_sync *sync, const struct query *query)
{
	struct query **link = &sync->queries;

	while (*link != query)
		link = &(*link)->next;
	return link;
}

void session_sync_resolve(struct session_sync *sync, const struct dw_session_entry *proposed,
			  session_resolved_callback resolved, void *owner)
{
	struct dw_session_entry merged = *merge(sync, proposed);
	struct query *query = calloc(1, sizeof(*query));

	if (!query)
		abort();
	query->query_id = sync->next_query_id++;
	query->id = proposed->id;
	query->deadline_us = dw_clock_now_us() + REPLY_TIMEOUT_US;
	query->resolved = resolved;
	query->owner = owner;
	query->missing_replies = send_to_owners(sync, query->query_id, &merged);
	if (query->missing_replies == 0) {
		free(query);
		resolved(&merged, owner);
		return;
	}
	*find_link(sync, NULL) = query;
}

/* Passes the merged assignment to the request and to the owners, which may have another one. */
static void resolve_query(struct session_sync *sync, struct query *query)
{
	const struct dw_session_entry *merged =
		dw_session_table_get(sync->daemon->sessions, query->id, dw_clock_now_us());
	struct dw_session_entry copy = { .id = query->id };

	if (merged)
		copy = *merged;
	*find_link(sync, query) = query->next;
	send_to_owners(sync, QUERY_ID_NONE, &copy);
	query->resolved(&copy, query->owner);
	free(query);
}

enum dw_status session_sync_receive_query(struct session_sync *sync, uint64_t instance_id,
					  const msgpack_object *value)
{
	struct dw_session_entry entry;
	struct dw_session_entry merged;
	uint64_t query_id;

	if (!read_entry(value, &query_id, &entry))
		return dw_fail(DW_INVALID_ARGUMENT,
			       "session entry of a query: a field is missing or out of bounds");
	merged = *merge(sync, &entry);
	if (query_id != QUERY_ID_NONE)
		send_entry(sync, instance_id, PEER_SESSION_REPLY, query_id, &merged);
	return DW_OK;
}

enum dw_status session_sync_receive_reply(struct session_sync *sync, const msgpack_object *value)
{
	struct dw_session_entry entry;
	struct query *query;
	uint64_t query_id;

	if (!read_entry(value, &query_id, &entry))
		return dw_fail(DW_INVALID_ARGUMENT,
			       "session entry of a reply: a field is missing or out of bounds");
	merge(sync, &entry);
	for (query = sync->queries; query && query->query_id != query_id;)
		query = query->next;
	if (!query)
		return DW_OK;
	query->missing_replies--;
	if (query->missing_replies == 0)
		resolve_query(sync, query);
	return DW_OK;
}

void session_sync_tick(struct session_sync *sync)
{
	uint64_t now_us = dw_clock_now_us();
	struct query *query = sync->queries;

	/* The list is ordered by deadline, because all queries have the same timeout. */
	while (query && now_us >= query->deadline_us) {
		struct query *next = query->next;

		resolve_query(sync, query);
		query = next;
	}
	dw_session_table_expire(sync->daemon->sessions, now_us, EXPIRE_MAX_PER_TICK);
}
