/**
 * @file once_commit.c
 * The store operations of the journal: reads, and writes that commit a group of changes at once.
 */
#include <string.h>
#include <stdlib.h>

#include <utlist.h>

#include "core/once_state.h"

#define FAILURES_BEFORE_REFUSAL 2
#define MAX_BACKOFF_SHIFT 5

static bool ticket_owns(const struct dw_once *once, const struct dw_once_ticket *ticket,
			const struct dw_once_record *record)
{
	return record->sequence == ticket->id &&
	       dw_member_key_equal(record->owner, once->options.self);
}

static struct dw_once_ticket *abandoned_owner(const struct dw_once *once,
					      const struct dw_once_shard_cache *view,
					      const struct dw_once_record *record)
{
	struct dw_once_ticket *ticket;

	DL_FOREACH(view->tickets, ticket) {
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
	once->counters.dispatches++;
	dw_once_queue_decision(once, &(struct dw_once_decision){
					     .ticket = ticket->id,
					     .kind = DW_ONCE_DISPATCH,
					     .status = DW_OK,
				     });
}

/* The key has another intent's record: tell the caller what became of it. */
static void decide_by_record(struct dw_once *once, struct dw_once_ticket *ticket,
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
	} else if (record->state == DW_ONCE_STATE_INTENT && time.wall_us < record->settles_at_us) {
		decision.kind = DW_ONCE_IN_PROGRESS;
		decision.status = DW_CONFLICT;
	} else {
		decision.kind = DW_ONCE_OUTCOME_UNKNOWN;
		decision.status = DW_UNKNOWN_OUTCOME;
	}
	dw_once_queue_decision(once, &decision);
	dw_once_remove_ticket(once, ticket);
}

static void settle_waiting(struct dw_once *once, struct dw_once_shard_cache *view,
			   struct dw_once_ticket *ticket, struct dw_once_time time)
{
	struct dw_once_record *record = dw_once_shard_find(&view->records, ticket->key);

	if (record && record->expires_at_us + once->options.max_clock_skew_us < time.wall_us)
		record = NULL;
	if (!record || abandoned_owner(once, view, record)) {
		ticket->key_unused = ticket->reread;
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
		/* The view may be old; what another instance holds may have ended since. */
		ticket->reread = true;
		view->known = false;
		return;
	}
	decide_by_record(once, ticket, record, time);
}

static void settle_finished(struct dw_once *once, struct dw_once_shard_cache *view,
			    struct dw_once_ticket *ticket)
{
	const struct dw_once_record *record = dw_once_shard_find(&view->records, ticket->key);

	if (!record || !ticket_owns(once, ticket, record) || record->state == DW_ONCE_STATE_INTENT)
		return;
	if (!ticket->answered)
		dw_once_queue_decision(once, &(struct dw_once_decision){
						     .ticket = ticket->id,
						     .kind = DW_ONCE_OUTCOME_STORED,
						     .status = DW_OK,
					     });
	dw_once_remove_ticket(once, ticket);
}

/* A write that was expected at a revision which has passed can't take effect any more. */
static void settle_abandoned(struct dw_once *once, struct dw_once_shard_cache *view,
			     struct dw_once_ticket *ticket)
{
	const struct dw_once_record *record = dw_once_shard_find(&view->records, ticket->key);

	if (record && ticket_owns(once, ticket, record))
		return;
	if (view->revision > ticket->written_at_revision)
		dw_once_remove_ticket(once, ticket);
}

void dw_once_resolve_ticket(struct dw_once *once, struct dw_once_ticket *ticket,
			    struct dw_once_time time)
{
	struct dw_once_shard_cache *view = &once->views[ticket->shard];

	if (!view->known || view->operation_id != 0)
		return;
	switch (ticket->state) {
	case DW_ONCE_TICKET_WAITING:
		settle_waiting(once, view, ticket, time);
		break;
	case DW_ONCE_TICKET_FINISHED:
		settle_finished(once, view, ticket);
		break;
	case DW_ONCE_TICKET_ABANDONED:
		settle_abandoned(once, view, ticket);
		break;
	case DW_ONCE_TICKET_DISPATCHED:
	case DW_ONCE_TICKET_STATE_COUNT:
		break;
	}
}

void dw_once_resolve_tickets(struct dw_once *once, struct dw_once_shard_cache *view,
			     struct dw_once_time time)
{
	struct dw_once_ticket *ticket;
	struct dw_once_ticket *next;

	DL_FOREACH_SAFE(view->tickets, ticket, next)
		dw_once_resolve_ticket(once, ticket, time);
}

bool dw_once_shard_cache_has_work(const struct dw_once_shard_cache *view)
{
	const struct dw_once_ticket *ticket;

	if (view->operation_id != 0)
		return false;
	DL_FOREACH(view->tickets, ticket) {
		if (ticket->state != DW_ONCE_TICKET_DISPATCHED)
			return true;
	}
	return false;
}

static bool write_intent(struct dw_once *once, struct dw_once_shard_cache *view,
			 struct dw_once_ticket *ticket, struct dw_once_time time)
{
	const struct dw_once_options *options = &once->options;
	size_t bytes = dw_once_shard_bytes(&view->records, options->max_answer_bytes);
	struct dw_once_record record = {
		.key = ticket->key,
		.fingerprint = ticket->fingerprint,
		.state = DW_ONCE_STATE_INTENT,
		.owner = options->self,
		.sequence = ticket->id,
		.settles_at_us = time.wall_us + options->intent_timeout_us,
		.expires_at_us = time.wall_us + options->lifetime_us,
	};

	if (bytes + dw_once_shard_intent_bytes(options->max_answer_bytes) >
		    options->max_shard_bytes ||
	    dw_once_shard_add(&view->records, &record) != DW_OK) {
		dw_once_refuse(once, ticket, DW_OVERLOADED);
		return false;
	}
	ticket->written = true;
	ticket->expires_at_us = record.expires_at_us;
	return true;
}

/* A record that is gone (a store that was restored) is written anew: the outcome is the truth. */
static struct dw_once_record *outcome_record(struct dw_once *once, struct dw_once_shard_cache *view,
					     struct dw_once_ticket *ticket)
{
	struct dw_once_record record = {
		.key = ticket->key,
		.fingerprint = ticket->fingerprint,
		.owner = once->options.self,
		.sequence = ticket->id,
		.expires_at_us = ticket->expires_at_us,
	};
	struct dw_once_record *found = dw_once_shard_find(&view->records, ticket->key);

	if (found)
		return ticket_owns(once, ticket, found) ? found : NULL;
	if (dw_once_shard_add(&view->records, &record) != DW_OK)
		return NULL;
	return &view->records.records[view->records.count - 1];
}

static bool write_outcome(struct dw_once *once, struct dw_once_shard_cache *view,
			  struct dw_once_ticket *ticket)
{
	struct dw_once_record *record = outcome_record(once, view, ticket);

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

/* An abandoned ticket always takes part: the new revision fences off its delayed write. */
static bool write_removal(struct dw_once *once, struct dw_once_shard_cache *view,
			  struct dw_once_ticket *ticket)
{
	struct dw_once_record *record = dw_once_shard_find(&view->records, ticket->key);

	if (record && ticket_owns(once, ticket, record))
		dw_once_shard_remove(&view->records, record);
	return true;
}

/* Changes one kind of ticket; removals go first, so that a waiting ticket finds its key free. */
static bool write_tickets(struct dw_once *once, struct dw_once_shard_cache *view,
			  enum dw_once_ticket_state state, struct dw_once_time time)
{
	struct dw_once_ticket *ticket;
	struct dw_once_ticket *next;
	bool any = false;

	DL_FOREACH_SAFE(view->tickets, ticket, next) {
		bool part = false;

		if (ticket->state != state)
			continue;
		if (state == DW_ONCE_TICKET_ABANDONED)
			part = write_removal(once, view, ticket);
		else if (state == DW_ONCE_TICKET_FINISHED)
			part = write_outcome(once, view, ticket);
		else if (state == DW_ONCE_TICKET_WAITING)
			part = write_intent(once, view, ticket, time);
		if (!part)
			continue;
		ticket->in_write = true;
		ticket->written_at_revision = view->revision;
		any = true;
	}
	return any;
}

static bool build_write(struct dw_once *once, struct dw_once_shard_cache *view,
			struct dw_once_time time)
{
	uint64_t margin_us = once->options.max_clock_skew_us;
	bool any;

	if (time.wall_us > margin_us)
		dw_once_shard_expire(&view->records, time.wall_us - margin_us);
	any = write_tickets(once, view, DW_ONCE_TICKET_ABANDONED, time);
	any |= write_tickets(once, view, DW_ONCE_TICKET_FINISHED, time);
	any |= write_tickets(once, view, DW_ONCE_TICKET_WAITING, time);
	return any;
}

static void back_off(struct dw_once *once, struct dw_once_shard_cache *view, uint32_t tries,
		     struct dw_once_time time)
{
	uint32_t shift = tries < MAX_BACKOFF_SHIFT ? tries : MAX_BACKOFF_SHIFT;
	uint64_t most_us = once->options.retry_interval_us << shift;

	view->not_before_us = time.now_us + most_us / 2 + time.random % (most_us / 2 + 1);
}

/* Calls that wait for an intent are refused when the store has failed twice in a row. */
static void operation_failed(struct dw_once *once, struct dw_once_shard_cache *view,
			     struct dw_once_time time)
{
	struct dw_once_ticket *ticket;
	struct dw_once_ticket *next;

	view->known = false;
	view->failures++;
	back_off(once, view, view->failures, time);
	if (view->failures < FAILURES_BEFORE_REFUSAL)
		return;
	DL_FOREACH_SAFE(view->tickets, ticket, next) {
		if (ticket->state == DW_ONCE_TICKET_WAITING)
			dw_once_refuse(once, ticket, DW_UNAVAILABLE);
	}
}

/*
 * Whatever the failure, the shard is read again before the next write: the intent may be there.
 * A conflict, too, can be one with the own write, sent twice by a transport.
 */
static void write_failed(struct dw_once *once, struct dw_once_shard_cache *view,
			 enum dw_status status, struct dw_once_time time)
{
	struct dw_once_ticket *ticket;
	uint32_t conflicts = 0;

	DL_FOREACH(view->tickets, ticket) {
		if (ticket->in_write && status == DW_CONFLICT)
			ticket->conflicts++;
		if (ticket->conflicts > conflicts)
			conflicts = ticket->conflicts;
		ticket->in_write = false;
	}
	if (status != DW_CONFLICT) {
		if (status != DW_UNAVAILABLE)
			once->counters.lost_responses++;
		operation_failed(once, view, time);
		return;
	}
	once->counters.conflicts++;
	view->known = false;
	back_off(once, view, conflicts, time);
}

/* No memory for the value: as if the store had failed. */
static bool encode_write(struct dw_once *once, struct dw_once_shard_cache *view,
			 struct dw_once_time time)
{
	msgpack_sbuffer_clear(&once->buffer);
	if (dw_once_shard_encode(&view->records, &once->buffer) == DW_OK)
		return true;
	write_failed(once, view, DW_UNAVAILABLE, time);
	return false;
}

static bool start_operation(struct dw_once *once, uint32_t shard, struct dw_once_time time,
			    struct dw_once_operation *operation)
{
	struct dw_once_shard_cache *view = &once->views[shard];
	struct dw_once_ticket *ticket;

	*operation = (struct dw_once_operation){ .kind = DW_ONCE_READ, .shard = shard };
	dw_once_resolve_tickets(once, view, time);
	if (!dw_once_shard_cache_has_work(view))
		return false;
	if (view->known) {
		if (!build_write(once, view, time)) {
			view->not_before_us = time.now_us + once->options.retry_interval_us;
			return false;
		}
		if (!encode_write(once, view, time))
			return false;
		operation->kind = DW_ONCE_CAS;
		operation->expected_revision = view->revision;
		operation->bytes = (const uint8_t *)once->buffer.data;
		operation->len = once->buffer.size;
		view->not_before_us = time.now_us + once->options.group_interval_us;
		once->counters.writes++;
	} else {
		DL_FOREACH(view->tickets, ticket)
			ticket->reread = true;
		once->counters.reads++;
	}
	operation->id = ++once->last_operation * once->options.shard_count + shard;
	view->operation_id = operation->id;
	view->operation_kind = operation->kind;
	return true;
}

bool dw_once_next_operation(struct dw_once *once, struct dw_once_time time,
			    struct dw_once_operation *operation)
{
	uint32_t count = once->options.shard_count;

	for (uint32_t i = 0; i < count; i++) {
		uint32_t shard = (once->next_shard + i) % count;
		struct dw_once_shard_cache *view = &once->views[shard];

		if (!view->tickets || view->not_before_us > time.now_us ||
		    !dw_once_shard_cache_has_work(view))
			continue;
		if (start_operation(once, shard, time, operation)) {
			once->next_shard = (shard + 1) % count;
			return true;
		}
	}
	return false;
}

static void read_done(struct dw_once *once, struct dw_once_shard_cache *view,
		      const struct dw_once_completion *completion, struct dw_once_time time)
{
	dw_once_shard_clear(&view->records);
	if (!view->tickets)
		return;
	if (completion->status != DW_OK || completion->revision < view->highest_revision ||
	    dw_once_shard_decode(&view->records, completion->bytes, completion->len) != DW_OK) {
		operation_failed(once, view, time);
		return;
	}
	view->failures = 0;
	view->known = true;
	view->revision = completion->revision;
	view->highest_revision = completion->revision;
	dw_once_resolve_tickets(once, view, time);
}

static void write_done(struct dw_once *once, struct dw_once_shard_cache *view,
		       const struct dw_once_completion *completion, struct dw_once_time time)
{
	struct dw_once_ticket *ticket;

	if (completion->status != DW_OK) {
		write_failed(once, view, completion->status, time);
		return;
	}
	view->failures = 0;
	view->revision = completion->revision;
	view->highest_revision = completion->revision;
	DL_FOREACH(view->tickets, ticket)
		ticket->in_write = false;
	dw_once_resolve_tickets(once, view, time);
}

void dw_once_complete(struct dw_once *once, const struct dw_once_completion *completion,
		      struct dw_once_time time)
{
	struct dw_once_shard_cache *view = &once->views[completion->id % once->options.shard_count];

	if (completion->id == 0 || view->operation_id != completion->id)
		return;
	view->operation_id = 0;
	if (view->operation_kind == DW_ONCE_READ)
		read_done(once, view, completion, time);
	else
		write_done(once, view, completion, time);
}
