/**
 * @file once_commit.c
 * Store operations of the journal: reads, and writes that commit all pending changes of a shard at
 * once (group commit).
 */
#include <string.h>
#include <stdlib.h>

#include <utlist.h>

#include "core/once_state.h"

#define MAX_CONSECUTIVE_FAILURES 2
#define MAX_BACKOFF_SHIFT 5

static bool ticket_owns(const struct dw_once *once, const struct dw_once_ticket *ticket,
			const struct dw_once_record *record)
{
	return record->sequence == ticket->id &&
	       dw_member_key_equal(record->owner, once->options.self);
}

static struct dw_once_ticket *find_abandoned_owner(const struct dw_once *once,
						   const struct dw_once_shard_cache *cache,
						   const struct dw_once_record *record)
{
	struct dw_once_ticket *ticket;

	DL_FOREACH(cache->tickets, ticket) {
		if (ticket->state == DW_ONCE_TICKET_ABANDONED && ticket_owns(once, ticket, record))
			return ticket;
	}
	return NULL;
}

static void dispatch(struct dw_once *once, struct dw_once_ticket *ticket, struct dw_once_time time)
{
	if (time.now_us >= ticket->deadline_us) {
		dw_once_refuse(once, ticket, DW_TIMEOUT);
		return;
	}
	ticket->state = DW_ONCE_TICKET_DISPATCHED;
	dw_once_keep(once, ticket, time);
	once->counters.dispatches++;
	dw_once_queue_decision(once, &(struct dw_once_decision){
					     .ticket = ticket->id,
					     .kind = DW_ONCE_DISPATCH,
					     .status = DW_OK,
				     });
}

/* The key's record belongs to another intent: reports the state of that call. */
static void decide_from_record(struct dw_once *once, struct dw_once_ticket *ticket,
			       const struct dw_once_record *record, struct dw_once_time time)
{
	struct dw_once_decision decision = { .ticket = ticket->id };

	if (!dw_fingerprint_equal(record->fingerprint, ticket->fingerprint)) {
		decision.kind = DW_ONCE_MISMATCH;
		decision.status = DW_CONFLICT;
	} else if (record->state == DW_ONCE_STATE_DONE) {
		decision.kind = DW_ONCE_REPLAY;
		decision.status = DW_OK;
		decision.answer.http_status = record->http_status;
		memcpy(decision.answer.content_type, record->content_type,
		       sizeof(record->content_type));
		decision.answer.body = (const char *)record->body;
		decision.answer.body_bytes = record->body_bytes;
		once->counters.replays++;
	} else if (record->state == DW_ONCE_STATE_INTENT &&
		   time.wall_us < record->unknown_after_us) {
		decision.kind = DW_ONCE_IN_PROGRESS;
		decision.status = DW_CONFLICT;
	} else {
		decision.kind = DW_ONCE_OUTCOME_UNKNOWN;
		decision.status = DW_UNKNOWN_OUTCOME;
	}
	dw_once_queue_decision(once, &decision);
	dw_once_remove_ticket(once, ticket);
}

static void resolve_waiting(struct dw_once *once, struct dw_once_shard_cache *cache,
			    struct dw_once_ticket *ticket, struct dw_once_time time)
{
	struct dw_once_record *record = dw_once_shard_find(&cache->records, ticket->key);

	if (record && record->expires_at_us + once->options.max_clock_skew_us < time.wall_us)
		record = NULL;
	if (!record || find_abandoned_owner(once, cache, record)) {
		ticket->key_unused = ticket->reread && time.now_us >= once->settled_at_us;
		if (ticket->conflicts > once->options.max_conflicts)
			dw_once_refuse(once, ticket, DW_OVERLOADED);
		return;
	}
	if (ticket_owns(once, ticket, record)) {
		dispatch(once, ticket, time);
		return;
	}
	ticket->key_unused = false;
	if (record->state != DW_ONCE_STATE_DONE && !ticket->reread) {
		/*
		 * The cached record may be outdated: the other call may have ended since. Reads the
		 * shard once more before deciding.
		 */
		ticket->reread = true;
		cache->valid = false;
		return;
	}
	decide_from_record(once, ticket, record, time);
}

static void resolve_finished(struct dw_once *once, struct dw_once_shard_cache *cache,
			     struct dw_once_ticket *ticket)
{
	const struct dw_once_record *record = dw_once_shard_find(&cache->records, ticket->key);

	if (!record)
		return;
	if (!ticket_owns(once, ticket, record)) {
		/* Only possible if a restored store had lost the record, and another call has used its key since. */
		once->counters.taken_over++;
		if (!ticket->answered)
			dw_once_queue_decision(once, &(struct dw_once_decision){
							     .ticket = ticket->id,
							     .kind = DW_ONCE_OUTCOME_NOT_STORED,
							     .status = DW_CONFLICT,
						     });
		dw_once_remove_ticket(once, ticket);
		return;
	}
	if (record->state == DW_ONCE_STATE_INTENT)
		return;
	if (!ticket->answered)
		dw_once_queue_decision(once, &(struct dw_once_decision){
						     .ticket = ticket->id,
						     .kind = DW_ONCE_OUTCOME_STORED,
						     .status = DW_OK,
					     });
	dw_once_remove_ticket(once, ticket);
}

/*
 * Once the shard's revision is past the one that a write expected, that write can't take effect any
 * more, so the ticket is freed.
 */
static void resolve_abandoned(struct dw_once *once, struct dw_once_shard_cache *cache,
			      struct dw_once_ticket *ticket)
{
	const struct dw_once_record *record = dw_once_shard_find(&cache->records, ticket->key);

	if (record && ticket_owns(once, ticket, record))
		return;
	if (cache->revision > ticket->written_at_revision)
		dw_once_remove_ticket(once, ticket);
}

void dw_once_resolve_ticket(struct dw_once *once, struct dw_once_ticket *ticket,
			    struct dw_once_time time)
{
	struct dw_once_shard_cache *cache = &once->caches[ticket->shard];

	if (!cache->valid || cache->operation_id != 0)
		return;
	switch (ticket->state) {
	case DW_ONCE_TICKET_WAITING:
		resolve_waiting(once, cache, ticket, time);
		break;
	case DW_ONCE_TICKET_FINISHED:
		resolve_finished(once, cache, ticket);
		break;
	case DW_ONCE_TICKET_ABANDONED:
		resolve_abandoned(once, cache, ticket);
		break;
	case DW_ONCE_TICKET_DISPATCHED:
		if (ticket->restore_due && dw_once_shard_find(&cache->records, ticket->key))
			ticket->restore_due = false;
		break;
	case DW_ONCE_TICKET_STATE_COUNT:
		break;
	}
}

void dw_once_resolve_tickets(struct dw_once *once, struct dw_once_shard_cache *cache,
			     struct dw_once_time time)
{
	struct dw_once_ticket *ticket;
	struct dw_once_ticket *next;

	DL_FOREACH_SAFE(cache->tickets, ticket, next)
		dw_once_resolve_ticket(once, ticket, time);
}

bool dw_once_shard_cache_has_work(const struct dw_once_shard_cache *cache)
{
	const struct dw_once_ticket *ticket;

	if (cache->operation_id != 0)
		return false;
	DL_FOREACH(cache->tickets, ticket) {
		if (ticket->state != DW_ONCE_TICKET_DISPATCHED || ticket->restore_due)
			return true;
	}
	return false;
}

static bool apply_intent(struct dw_once *once, struct dw_once_shard_cache *cache,
			 struct dw_once_ticket *ticket, struct dw_once_time time)
{
	const struct dw_once_options *options = &once->options;
	size_t bytes = dw_once_shard_bytes(&cache->records, options->max_answer_bytes);
	struct dw_once_record record = {
		.key = ticket->key,
		.fingerprint = ticket->fingerprint,
		.state = DW_ONCE_STATE_INTENT,
		.owner = options->self,
		.sequence = ticket->id,
		.unknown_after_us = time.wall_us + options->intent_timeout_us,
		.expires_at_us = time.wall_us + options->lifetime_us,
	};

	if (bytes + dw_once_shard_intent_bytes(options->max_answer_bytes) >
		    options->max_shard_bytes ||
	    dw_once_shard_add(&cache->records, &record) != DW_OK) {
		dw_once_refuse(once, ticket, DW_OVERLOADED);
		return false;
	}
	ticket->written = true;
	ticket->expires_at_us = record.expires_at_us;
	return true;
}

/*
 * Finds or recreates the record of a finished call. The record can be missing after the store was
 * restored from a backup; it is written again because the outcome is known.
 */
static struct dw_once_record *outcome_record(struct dw_once *once,
					     struct dw_once_shard_cache *cache,
					     struct dw_once_ticket *ticket)
{
	struct dw_once_record record = {
		.key = ticket->key,
		.fingerprint = ticket->fingerprint,
		.owner = once->options.self,
		.sequence = ticket->id,
		.expires_at_us = ticket->expires_at_us,
	};
	struct dw_once_record *found = dw_once_shard_find(&cache->records, ticket->key);

	if (found)
		return ticket_owns(once, ticket, found) ? found : NULL;
	if (dw_once_shard_add(&cache->records, &record) != DW_OK)
		return NULL;
	once->counters.written_again++;
	return &cache->records.records[cache->records.count - 1];
}

static bool apply_outcome(struct dw_once *once, struct dw_once_shard_cache *cache,
			  struct dw_once_ticket *ticket)
{
	struct dw_once_record *record = outcome_record(once, cache, ticket);

	if (!record)
		return false;
	record->state = ticket->outcome;
	record->http_status = ticket->answer.http_status;
	memcpy(record->content_type, ticket->answer.content_type, sizeof(record->content_type));
	if (ticket->body && !record->body) {
		record->body = malloc((size_t)ticket->answer.body_bytes + 1);
		if (record->body) {
			memcpy(record->body, ticket->body, ticket->answer.body_bytes);
			record->body_bytes = ticket->answer.body_bytes;
		}
	}
	return true;
}

/* The intent of a call that runs, and that a restored store lacks. */
static bool apply_lost_intent(struct dw_once *once, struct dw_once_shard_cache *cache,
			      struct dw_once_ticket *ticket, struct dw_once_time time)
{
	struct dw_once_record record = {
		.key = ticket->key,
		.fingerprint = ticket->fingerprint,
		.state = DW_ONCE_STATE_INTENT,
		.owner = once->options.self,
		.sequence = ticket->id,
		.unknown_after_us = time.wall_us + once->options.intent_timeout_us,
		.expires_at_us = ticket->expires_at_us,
	};

	if (!ticket->restore_due || dw_once_shard_find(&cache->records, ticket->key) ||
	    dw_once_shard_add(&cache->records, &record) != DW_OK)
		return false;
	once->counters.written_again++;
	return true;
}

/*
 * Always counts as a change, even if the record is absent: the write raises the shard's revision,
 * which makes a delayed write of the abandoned intent fail.
 */
static bool apply_removal(struct dw_once *once, struct dw_once_shard_cache *cache,
			  struct dw_once_ticket *ticket)
{
	struct dw_once_record *record = dw_once_shard_find(&cache->records, ticket->key);

	if (record && ticket_owns(once, ticket, record))
		dw_once_shard_remove(&cache->records, record);
	return true;
}

/*
 * Applies the changes of all tickets in @p state to the cached records. Abandoned tickets come
 * first, so that a waiting ticket for the same key finds the key free.
 */
static bool apply_tickets(struct dw_once *once, struct dw_once_shard_cache *cache,
			  enum dw_once_ticket_state state, struct dw_once_time time)
{
	struct dw_once_ticket *ticket;
	struct dw_once_ticket *next;
	bool changed = false;

	DL_FOREACH_SAFE(cache->tickets, ticket, next) {
		bool included = false;

		if (ticket->state != state)
			continue;
		if (state == DW_ONCE_TICKET_ABANDONED)
			included = apply_removal(once, cache, ticket);
		else if (state == DW_ONCE_TICKET_FINISHED)
			included = apply_outcome(once, cache, ticket);
		else if (state == DW_ONCE_TICKET_DISPATCHED)
			included = apply_lost_intent(once, cache, ticket, time);
		else if (state == DW_ONCE_TICKET_WAITING)
			included = apply_intent(once, cache, ticket, time);
		if (!included)
			continue;
		ticket->in_write = true;
		ticket->written_at_revision = cache->revision;
		changed = true;
	}
	return changed;
}

static bool prepare_write(struct dw_once *once, struct dw_once_shard_cache *cache,
			  struct dw_once_time time)
{
	uint64_t margin_us = once->options.max_clock_skew_us;
	bool changed;

	if (time.wall_us > margin_us)
		dw_once_shard_expire(&cache->records, time.wall_us - margin_us);
	changed = apply_tickets(once, cache, DW_ONCE_TICKET_ABANDONED, time);
	changed |= apply_tickets(once, cache, DW_ONCE_TICKET_FINISHED, time);
	changed |= apply_tickets(once, cache, DW_ONCE_TICKET_DISPATCHED, time);
	if (time.now_us >= once->settled_at_us)
		changed |= apply_tickets(once, cache, DW_ONCE_TICKET_WAITING, time);
	return changed;
}

static void back_off(struct dw_once *once, struct dw_once_shard_cache *cache, uint32_t attempts,
		     struct dw_once_time time)
{
	uint32_t shift = attempts < MAX_BACKOFF_SHIFT ? attempts : MAX_BACKOFF_SHIFT;
	uint64_t max_delay_us = once->options.retry_interval_us << shift;

	cache->next_operation_at_us =
		time.now_us + max_delay_us / 2 + time.random % (max_delay_us / 2 + 1);
}

/* Waiting calls are refused when the store has failed MAX_CONSECUTIVE_FAILURES times in a row. */
static void operation_failed(struct dw_once *once, struct dw_once_shard_cache *cache,
			     struct dw_once_time time)
{
	struct dw_once_ticket *ticket;
	struct dw_once_ticket *next;

	cache->valid = false;
	cache->failures++;
	back_off(once, cache, cache->failures, time);
	if (cache->failures < MAX_CONSECUTIVE_FAILURES)
		return;
	DL_FOREACH_SAFE(cache->tickets, ticket, next) {
		if (ticket->state == DW_ONCE_TICKET_WAITING)
			dw_once_refuse(once, ticket, DW_UNAVAILABLE);
	}
}

/*
 * After any failure the shard is read again before the next write, because the intent may have been
 * stored. This holds for a conflict too: a transport that sent the write twice conflicts with
 * itself.
 */
static void write_failed(struct dw_once *once, struct dw_once_shard_cache *cache,
			 enum dw_status status, struct dw_once_time time)
{
	struct dw_once_ticket *ticket;
	uint32_t conflicts = 0;

	DL_FOREACH(cache->tickets, ticket) {
		if (ticket->in_write && status == DW_CONFLICT)
			ticket->conflicts++;
		if (ticket->conflicts > conflicts)
			conflicts = ticket->conflicts;
		ticket->in_write = false;
	}
	if (status != DW_CONFLICT) {
		if (status != DW_UNAVAILABLE)
			once->counters.lost_responses++;
		operation_failed(once, cache, time);
		return;
	}
	once->counters.conflicts++;
	cache->valid = false;
	back_off(once, cache, conflicts, time);
}

/* Encodes the shard's value; running out of memory is treated as a failure of the store. */
static bool encode_write(struct dw_once *once, struct dw_once_shard_cache *cache,
			 struct dw_once_time time)
{
	msgpack_sbuffer_clear(&once->buffer);
	if (dw_once_shard_encode(&cache->records, &once->buffer) == DW_OK)
		return true;
	write_failed(once, cache, DW_UNAVAILABLE, time);
	return false;
}

static bool start_operation(struct dw_once *once, uint32_t shard, struct dw_once_time time,
			    struct dw_once_operation *operation)
{
	struct dw_once_shard_cache *cache = &once->caches[shard];
	struct dw_once_ticket *ticket;

	*operation = (struct dw_once_operation){ .kind = DW_ONCE_READ, .shard = shard };
	dw_once_resolve_tickets(once, cache, time);
	if (!dw_once_shard_cache_has_work(cache))
		return false;
	if (cache->valid) {
		if (!prepare_write(once, cache, time)) {
			cache->next_operation_at_us = time.now_us + once->options.retry_interval_us;
			return false;
		}
		if (!encode_write(once, cache, time))
			return false;
		operation->kind = DW_ONCE_CAS;
		operation->expected_revision = cache->revision;
		operation->bytes = (const uint8_t *)once->buffer.data;
		operation->len = once->buffer.size;
		cache->next_operation_at_us = time.now_us + once->options.group_interval_us;
		once->counters.writes++;
	} else {
		DL_FOREACH(cache->tickets, ticket)
			ticket->reread = true;
		once->counters.reads++;
	}
	operation->id = ++once->last_operation * once->options.shard_count + shard;
	cache->operation_id = operation->id;
	cache->operation_kind = operation->kind;
	return true;
}

bool dw_once_next_operation(struct dw_once *once, struct dw_once_time time,
			    struct dw_once_operation *operation)
{
	uint32_t count = once->options.shard_count;

	for (uint32_t i = 0; i < count; i++) {
		uint32_t shard = (once->next_shard + i) % count;
		struct dw_once_shard_cache *cache = &once->caches[shard];

		if (!cache->tickets || cache->next_operation_at_us > time.now_us ||
		    !dw_once_shard_cache_has_work(cache))
			continue;
		if (start_operation(once, shard, time, operation)) {
			once->next_shard = (shard + 1) % count;
			return true;
		}
	}
	return false;
}

static void read_done(struct dw_once *once, struct dw_once_shard_cache *cache,
		      const struct dw_once_completion *completion, struct dw_once_time time)
{
	dw_once_shard_clear(&cache->records);
	if (!cache->tickets)
		return;
	/* One operation of a shard is in progress at a time, so a lower revision is an older copy. */
	if (completion->status == DW_OK && completion->revision < cache->highest_revision) {
		dw_once_store_restored(once, time);
		return;
	}
	if (completion->status != DW_OK ||
	    dw_once_shard_decode(&cache->records, completion->bytes, completion->len) != DW_OK) {
		operation_failed(once, cache, time);
		return;
	}
	cache->failures = 0;
	cache->valid = true;
	cache->revision = completion->revision;
	cache->highest_revision = completion->revision;
	/* The revisions that were lost may have been given out again since, a lost record shows it nevertheless. */
	if (dw_once_lacks_kept(once, (uint32_t)(cache - once->caches), time.wall_us)) {
		dw_once_store_restored(once, time);
		return;
	}
	dw_once_resolve_tickets(once, cache, time);
}

static void write_done(struct dw_once *once, struct dw_once_shard_cache *cache,
		       const struct dw_once_completion *completion, struct dw_once_time time)
{
	struct dw_once_ticket *ticket;

	if (completion->status != DW_OK) {
		write_failed(once, cache, completion->status, time);
		return;
	}
	cache->failures = 0;
	cache->revision = completion->revision;
	cache->highest_revision = completion->revision;
	DL_FOREACH(cache->tickets, ticket)
		ticket->in_write = false;
	dw_once_resolve_tickets(once, cache, time);
}

/* A write may have been applied before or after the restore: the next read shows it. */
static void void_operation(struct dw_once_shard_cache *cache)
{
	struct dw_once_ticket *ticket;

	cache->valid = false;
	DL_FOREACH(cache->tickets, ticket)
		ticket->in_write = false;
}

void dw_once_complete(struct dw_once *once, const struct dw_once_completion *completion,
		      struct dw_once_time time)
{
	struct dw_once_shard_cache *cache =
		&once->caches[completion->id % once->options.shard_count];

	if (completion->id == 0 || cache->operation_id != completion->id)
		return;
	cache->operation_id = 0;
	if (cache->operation_void) {
		cache->operation_void = false;
		void_operation(cache);
		return;
	}
	if (cache->operation_kind == DW_ONCE_READ)
		read_done(once, cache, completion, time);
	else
		write_done(once, cache, completion, time);
}
