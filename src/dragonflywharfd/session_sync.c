#include "dragonflywharfd/session_sync.h"

#include <stdlib.h>
#include <string.h>

#include "dragonflywharfd/peer_bus.h"
#include "net/msgpack_read.h"

#define HOMES 2
/** A home that doesn't answer in this time is done without. */
#define ANSWER_US (150 * DW_US_PER_MS)
#define EXPIRE_MAX 64U
/** Ticket of a message that wants no answer. */
#define TICKET_NONE 0

enum entry_field {
	ENTRY_TICKET,
	ENTRY_ID,
	ENTRY_VERSION,
	ENTRY_MOVES,
	ENTRY_ASSIGNED,
	ENTRY_INSTANCE_ID,
	ENTRY_INCARNATION,
	ENTRY_FIELD_COUNT
};

struct waiting {
	uint64_t ticket;
	struct dw_session_id id;
	uint64_t deadline_us;
	uint32_t missing; /* answers still to come */
	session_resolved resolved;
	void *owner;
	struct waiting *next;
};

struct session_sync {
	struct daemon *daemon;
	struct waiting *waiting; /* few, in the order of their deadlines */
	uint64_t next_ticket;
};

struct session_sync *session_sync_new(struct daemon *daemon)
{
	struct session_sync *sync = calloc(1, sizeof(*sync));

	if (!sync)
		abort();
	sync->daemon = daemon;
	sync->next_ticket = TICKET_NONE + 1;
	return sync;
}

static void send_entry(struct session_sync *sync, uint64_t instance_id, enum peer_message type,
		       uint64_t ticket, const struct dw_session_entry *entry)
{
	struct peer_message_buffer buffer;

	peer_message_buffer_init(&buffer);
	msgpack_pack_array(&buffer.packer, ENTRY_FIELD_COUNT);
	msgpack_pack_uint64(&buffer.packer, ticket);
	msgpack_pack_bin_with_body(&buffer.packer, entry->id.bytes, sizeof(entry->id.bytes));
	dw_msgpack_pack_text(&buffer.packer, entry->version);
	msgpack_pack_uint32(&buffer.packer, entry->moves);
	msgpack_pack_uint64(&buffer.packer, entry->assigned_us);
	msgpack_pack_uint64(&buffer.packer, entry->member.instance_id);
	msgpack_pack_uint64(&buffer.packer, entry->member.incarnation);
	peer_bus_send(sync->daemon, instance_id, type, &buffer);
	peer_message_buffer_clear(&buffer);
}

static bool read_entry(const msgpack_object *value, uint64_t *ticket,
		       struct dw_session_entry *entry)
{
	const msgpack_object *fields = dw_msgpack_fields(value, ENTRY_FIELD_COUNT);
	uint64_t moves = 0;

	memset(entry, 0, sizeof(*entry));
	if (!fields || fields[ENTRY_ID].type != MSGPACK_OBJECT_BIN ||
	    fields[ENTRY_ID].via.bin.size != sizeof(entry->id.bytes) ||
	    !dw_msgpack_number(&fields[ENTRY_TICKET], UINT64_MAX, ticket) ||
	    !dw_msgpack_text(&fields[ENTRY_VERSION], entry->version, sizeof(entry->version)) ||
	    !dw_msgpack_number(&fields[ENTRY_MOVES], UINT32_MAX, &moves) ||
	    !dw_msgpack_number(&fields[ENTRY_ASSIGNED], UINT64_MAX, &entry->assigned_us) ||
	    !dw_msgpack_number(&fields[ENTRY_INSTANCE_ID], UINT64_MAX,
			       &entry->member.instance_id) ||
	    !dw_msgpack_number(&fields[ENTRY_INCARNATION], UINT64_MAX, &entry->member.incarnation))
		return false;
	memcpy(entry->id.bytes, fields[ENTRY_ID].via.bin.ptr, sizeof(entry->id.bytes));
	entry->moves = (uint32_t)moves;
	return true;
}

static const struct dw_session_entry *merge(struct session_sync *sync,
					    const struct dw_session_entry *entry)
{
	const struct dw_session_entry *standing =
		dw_session_table_merge(sync->daemon->sessions, entry, dw_clock_now_us());

	return standing ? standing : entry;
}

/* Sends to the session's homes other than this daemon; returns how many there are. */
static uint32_t send_to_homes(struct session_sync *sync, uint64_t ticket,
			      const struct dw_session_entry *entry)
{
	struct daemon *daemon = sync->daemon;
	const struct dw_member *homes[HOMES];
	size_t count =
		dw_membership_owners(daemon->membership, dw_session_id_hash(entry->id), homes);
	uint32_t sent = 0;

	for (size_t i = 0; i < count; i++) {
		if (dw_member_key_equal(homes[i]->key, daemon->key))
			continue;
		send_entry(sync, homes[i]->key.instance_id, PEER_SESSION_ASK, ticket, entry);
		sent++;
	}
	return sent;
}

void session_sync_put(struct session_sync *sync, const struct dw_session_entry *entry)
{
	struct dw_session_entry standing = *merge(sync, entry);

	send_to_homes(sync, TICKET_NONE, &standing);
}

/* Where the list points to @p waiting; its end for NULL. */
static struct waiting **place_of(struct session_sync *sync, const struct waiting *waiting)
{
	struct waiting **at = &sync->waiting;

	while (*at != waiting)
		at = &(*at)->next;
	return at;
}

void session_sync_resolve(struct session_sync *sync, const struct dw_session_entry *proposed,
			  session_resolved resolved, void *owner)
{
	struct dw_session_entry standing = *merge(sync, proposed);
	struct waiting *waiting = calloc(1, sizeof(*waiting));

	if (!waiting)
		abort();
	waiting->ticket = sync->next_ticket++;
	waiting->id = proposed->id;
	waiting->deadline_us = dw_clock_now_us() + ANSWER_US;
	waiting->resolved = resolved;
	waiting->owner = owner;
	waiting->missing = send_to_homes(sync, waiting->ticket, &standing);
	if (waiting->missing == 0) {
		free(waiting);
		resolved(&standing, owner);
		return;
	}
	*place_of(sync, NULL) = waiting;
}

/* What stands now is told to the request, and to a home that knew otherwise by its merge. */
static void end_waiting(struct session_sync *sync, struct waiting *waiting)
{
	const struct dw_session_entry *standing =
		dw_session_table_get(sync->daemon->sessions, waiting->id, dw_clock_now_us());
	struct dw_session_entry copy = { .id = waiting->id };

	if (standing)
		copy = *standing;
	*place_of(sync, waiting) = waiting->next;
	send_to_homes(sync, TICKET_NONE, &copy);
	waiting->resolved(&copy, waiting->owner);
	free(waiting);
}

enum dw_status session_sync_asked(struct session_sync *sync, uint64_t instance_id,
				  const msgpack_object *value)
{
	struct dw_session_entry entry;
	struct dw_session_entry standing;
	uint64_t ticket;

	if (!read_entry(value, &ticket, &entry))
		return dw_fail(DW_INVALID_ARGUMENT, "session: a field is out of bounds");
	standing = *merge(sync, &entry);
	if (ticket != TICKET_NONE)
		send_entry(sync, instance_id, PEER_SESSION_ENTRY, ticket, &standing);
	return DW_OK;
}

enum dw_status session_sync_answered(struct session_sync *sync, const msgpack_object *value)
{
	struct dw_session_entry entry;
	struct waiting *waiting;
	uint64_t ticket;

	if (!read_entry(value, &ticket, &entry))
		return dw_fail(DW_INVALID_ARGUMENT, "session: a field is out of bounds");
	merge(sync, &entry);
	for (waiting = sync->waiting; waiting && waiting->ticket != ticket;)
		waiting = waiting->next;
	if (!waiting)
		return DW_OK;
	waiting->missing--;
	if (waiting->missing == 0)
		end_waiting(sync, waiting);
	return DW_OK;
}

void session_sync_tick(struct session_sync *sync)
{
	uint64_t now_us = dw_clock_now_us();
	struct waiting *waiting = sync->waiting;

	/* The list is in the order of deadlines, as all waits are of one length. */
	while (waiting && now_us >= waiting->deadline_us) {
		struct waiting *next = waiting->next;

		end_waiting(sync, waiting);
		waiting = next;
	}
	dw_session_table_expire(sync->daemon->sessions, now_us, EXPIRE_MAX);
}
