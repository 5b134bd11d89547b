/**
 * @file once_restore.c
 * What an instance remembers of its own calls, and how it returns to a store that came back from an older copy.
 */
#include <stdlib.h>
#include <string.h>

#include <utlist.h>

#include "core/once_state.h"

static struct dw_once_kept *find_kept(const struct dw_once *once, uint64_t id)
{
	struct dw_once_kept *kept;

	HASH_FIND(hh, once->kept, &id, sizeof(id), kept);
	return kept;
}

static struct dw_once_ticket *find_ticket(const struct dw_once *once, uint64_t id)
{
	struct dw_once_ticket *ticket;

	HASH_FIND(hh, once->tickets, &id, sizeof(id), ticket);
	return ticket;
}

static void remove_kept(struct dw_once *once, struct dw_once_kept *kept)
{
	HASH_DEL(once->kept, kept);
	free(kept->record.body);
	free(kept);
}

/* The oldest come first; a call whose ticket hasn't ended stays. */
static void trim_kept(struct dw_once *once, uint64_t now_us)
{
	struct dw_once_kept *kept;
	struct dw_once_kept *next;
	size_t count = HASH_COUNT(once->kept);

	HASH_ITER(hh, once->kept, kept, next) {
		bool expired = kept->until_us <= now_us;

		if (!expired && count <= once->options.max_kept)
			return;
		if (find_ticket(once, kept->id))
			continue;
		if (!expired)
			once->counters.forgotten++;
		remove_kept(once, kept);
		count--;
	}
}

/* Aborts if memory runs out: the call is about to be sent. */
void dw_once_keep(struct dw_once *once, const struct dw_once_ticket *ticket,
		  struct dw_once_time time)
{
	struct dw_once_kept *kept = calloc(1, sizeof(*kept));

	if (!kept)
		abort();
	kept->id = ticket->id;
	kept->shard = ticket->shard;
	kept->until_us = time.now_us + once->options.keep_us;
	kept->record = (struct dw_once_record){
		.key = ticket->key,
		.fingerprint = ticket->fingerprint,
		.state = DW_ONCE_STATE_INTENT,
		.owner = once->options.self,
		.sequence = ticket->id,
		.unknown_after_us = time.wall_us + once->options.intent_timeout_us,
		.expires_at_us = ticket->expires_at_us,
	};
	HASH_ADD(hh, once->kept, id, sizeof(kept->id), kept);
	trim_kept(once, time.now_us);
}

void dw_once_keep_outcome(struct dw_once *once, const struct dw_once_ticket *ticket,
			  struct dw_once_time time)
{
	struct dw_once_kept *kept = find_kept(once, ticket->id);
	struct dw_once_record *record;

	if (!kept)
		return;
	record = &kept->record;
	record->state = ticket->outcome;
	record->http_status = ticket->answer.http_status;
	memcpy(record->content_type, ticket->answer.content_type, sizeof(record->content_type));
	if (ticket->body && !record->body) {
		record->body = malloc((size_t)ticket->answer.body_bytes + 1);
		if (!record->body)
			abort();
		memcpy(record->body, ticket->body, ticket->answer.body_bytes);
		record->body_bytes = ticket->answer.body_bytes;
	}
	kept->until_us = time.now_us + once->options.keep_us;
	HASH_DEL(once->kept, kept);
	HASH_ADD(hh, once->kept, id, sizeof(kept->id), kept);
}

void dw_once_forget(struct dw_once *once, uint64_t id)
{
	struct dw_once_kept *kept = find_kept(once, id);

	if (kept)
		remove_kept(once, kept);
}

void dw_once_forget_all(struct dw_once *once)
{
	struct dw_once_kept *kept = once->kept;
	struct dw_once_kept *next;

	HASH_CLEAR(hh, once->kept);
	for (; kept; kept = next) {
		next = kept->hh.next;
		free(kept->record.body);
		free(kept);
	}
}

bool dw_once_lacks_kept(const struct dw_once *once, uint32_t shard, uint64_t wall_us)
{
	const struct dw_once_shard *records = &once->caches[shard].records;
	const struct dw_once_kept *kept;

	for (kept = once->kept; kept; kept = kept->hh.next) {
		if (kept->shard == shard && kept->record.expires_at_us > wall_us &&
		    !find_ticket(once, kept->id) && !dw_once_shard_find(records, kept->record.key))
			return true;
	}
	return false;
}

/* A ticket without a caller: its outcome is written by the same rules as that of a call that has just ended. */
static void add_ticket_of_kept(struct dw_once *once, const struct dw_once_kept *kept)
{
	const struct dw_once_record *record = &kept->record;
	struct dw_once_ticket *ticket = calloc(1, sizeof(*ticket));

	if (!ticket)
		abort();
	ticket->id = kept->id;
	ticket->state = DW_ONCE_TICKET_FINISHED;
	ticket->shard = kept->shard;
	ticket->key = record->key;
	ticket->fingerprint = record->fingerprint;
	ticket->expires_at_us = record->expires_at_us;
	ticket->written = true;
	ticket->answered = true;
	ticket->outcome =
		record->state == DW_ONCE_STATE_INTENT ? DW_ONCE_STATE_UNKNOWN : record->state;
	ticket->answer.http_status = record->http_status;
	memcpy(ticket->answer.content_type, record->content_type, sizeof(record->content_type));
	if (record->body) {
		ticket->body = malloc((size_t)record->body_bytes + 1);
		if (!ticket->body)
			abort();
		memcpy(ticket->body, record->body, record->body_bytes);
		ticket->answer.body_bytes = record->body_bytes;
	}
	HASH_ADD(hh, once->tickets, id, sizeof(ticket->id), ticket);
	DL_APPEND(once->caches[ticket->shard].tickets, ticket);
}

void dw_once_store_back(struct dw_once *once, struct dw_once_time time)
{
	once->settled_at_us = time.now_us + once->options.settle_us;
}

void dw_once_store_restored(struct dw_once *once, struct dw_once_time time)
{
	const struct dw_once_kept *kept;
	struct dw_once_ticket *ticket;

	once->counters.restores++;
	once->settled_at_us = time.now_us + once->options.settle_us;
	for (kept = once->kept; kept; kept = kept->hh.next) {
		if (!find_ticket(once, kept->id) && kept->record.expires_at_us > time.wall_us)
			add_ticket_of_kept(once, kept);
	}
	for (ticket = once->tickets; ticket; ticket = ticket->hh.next) {
		ticket->restore_due = ticket->state == DW_ONCE_TICKET_DISPATCHED;
		ticket->reread = false;
		ticket->key_unused = false;
	}
	for (uint32_t i = 0; i < once->options.shard_count; i++) {
		struct dw_once_shard_cache *cache = &once->caches[i];

		cache->valid = false;
		cache->highest_revision = 0;
		cache->failures = 0;
		cache->operation_void = cache->operation_id != 0;
		cache->next_operation_at_us = time.now_us;
	}
}
