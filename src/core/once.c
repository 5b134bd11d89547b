#include <dragonflywharf/once.h>

#include <stdlib.h>
#include <string.h>

#include <utlist.h>
#include <xxhash.h>

#include "core/once_state.h"

struct dw_once_options dw_once_default_options(struct dw_member_key self)
{
	return (struct dw_once_options){
		.self = self,
		.shard_count = 64,
		.max_shard_bytes = 256 * 1024,
		.max_answer_bytes = 4 * 1024,
		.max_tickets = 1024,
		.max_conflicts = 8,
		.group_interval_us = UINT64_C(20000),
		.retry_interval_us = UINT64_C(10000),
		.outcome_wait_us = UINT64_C(500000),
		.intent_timeout_us = UINT64_C(60000000),
		.lifetime_us = UINT64_C(86400000000),
		.max_clock_skew_us = UINT64_C(5000000),
		.keep_us = UINT64_C(120000000),
		.max_kept = 2048,
		.settle_us = UINT64_C(3000000),
	};
}

static bool options_valid(const struct dw_once_options *options)
{
	return options->shard_count > 0 && options->max_tickets > 0 &&
	       options->max_shard_bytes <= DW_ONCE_SHARD_MAX_BYTES &&
	       options->max_answer_bytes < options->max_shard_bytes &&
	       options->retry_interval_us > 0 &&
	       options->intent_timeout_us + 2 * options->max_clock_skew_us < options->lifetime_us;
}

enum dw_status dw_once_new(struct dw_once **out, const struct dw_once_options *options)
{
	struct dw_once *once;

	*out = NULL;
	if (!options_valid(options))
		return dw_fail(DW_INVALID_ARGUMENT,
			       "at-most-once journal: options out of range: shard_count %u, "
			       "max_tickets %u, max_shard_bytes %u, max_answer_bytes %u, "
			       "retry_interval_us %llu, or "
			       "intent_timeout_us %llu for lifetime_us %llu",
			       options->shard_count, options->max_tickets, options->max_shard_bytes,
			       options->max_answer_bytes,
			       (unsigned long long)options->retry_interval_us,
			       (unsigned long long)options->intent_timeout_us,
			       (unsigned long long)options->lifetime_us);
	once = calloc(1, sizeof(*once));
	if (!once)
		return dw_fail(DW_NO_MEMORY, "at-most-once journal: out of memory");
	once->options = *options;
	once->caches = calloc(options->shard_count, sizeof(*once->caches));
	if (!once->caches) {
		free(once);
		return dw_fail(DW_NO_MEMORY, "at-most-once journal: out of memory");
	}
	msgpack_sbuffer_init(&once->buffer);
	*out = once;
	return DW_OK;
}

static void free_queued_decision(struct dw_once_queued_decision *queued)
{
	if (!queued)
		return;
	free(queued->body);
	free(queued);
}

void dw_once_free(struct dw_once *once)
{
	struct dw_once_queued_decision *queued;
	struct dw_once_queued_decision *next_queued;
	struct dw_once_ticket *ticket;
	struct dw_once_ticket *next;

	if (!once)
		return;
	HASH_ITER(hh, once->tickets, ticket, next)
		dw_once_remove_ticket(once, ticket);
	DL_FOREACH_SAFE(once->decisions, queued, next_queued)
		free_queued_decision(queued);
	free_queued_decision(once->last_decision);
	dw_once_forget_all(once);
	msgpack_sbuffer_destroy(&once->buffer);
	free(once->caches);
	free(once);
}

static struct dw_once_ticket *ticket_by_id(const struct dw_once *once, uint64_t id)
{
	struct dw_once_ticket *ticket;

	HASH_FIND(hh, once->tickets, &id, sizeof(id), ticket);
	return ticket;
}

/* Aborts if memory runs out: a lost decision would leave its caller without an answer. */
void dw_once_queue_decision(struct dw_once *once, const struct dw_once_decision *decision)
{
	struct dw_once_queued_decision *queued = calloc(1, sizeof(*queued));

	if (!queued)
		abort();
	queued->decision = *decision;
	if (decision->answer.body) {
		queued->body = malloc((size_t)decision->answer.body_bytes + 1);
		if (!queued->body)
			abort();
		memcpy(queued->body, decision->answer.body, decision->answer.body_bytes);
		queued->body[decision->answer.body_bytes] = 0;
		queued->decision.answer.body = (const char *)queued->body;
	}
	DL_APPEND(once->decisions, queued);
}

void dw_once_remove_ticket(struct dw_once *once, struct dw_once_ticket *ticket)
{
	struct dw_once_shard_cache *cache = &once->caches[ticket->shard];

	HASH_DEL(once->tickets, ticket);
	DL_DELETE(cache->tickets, ticket);
	free(ticket->body);
	free(ticket);
	if (!cache->tickets) {
		dw_once_shard_clear(&cache->records);
		cache->valid = false;
	}
}

void dw_once_refuse(struct dw_once *once, struct dw_once_ticket *ticket, enum dw_status status)
{
	once->counters.refusals++;
	dw_once_queue_decision(once, &(struct dw_once_decision){
					     .ticket = ticket->id,
					     .kind = DW_ONCE_REFUSED,
					     .status = status,
					     .key_unused = ticket->key_unused,
				     });
	if (ticket->written)
		ticket->state = DW_ONCE_TICKET_ABANDONED;
	else
		dw_once_remove_ticket(once, ticket);
}

/* Finds the ticket of a key among those that aren't abandoned. An instance has at most one. */
static const struct dw_once_ticket *find_active_ticket(const struct dw_once_shard_cache *cache,
						       struct dw_fingerprint key)
{
	const struct dw_once_ticket *ticket;

	DL_FOREACH(cache->tickets, ticket) {
		if (ticket->state != DW_ONCE_TICKET_ABANDONED &&
		    dw_fingerprint_equal(ticket->key, key))
			return ticket;
	}
	return NULL;
}

static void decide_from_active_ticket(struct dw_once *once, uint64_t id,
				      const struct dw_once_request *request,
				      const struct dw_once_ticket *active)
{
	struct dw_once_decision decision = { .ticket = id };

	if (!dw_fingerprint_equal(request->fingerprint, active->fingerprint)) {
		decision.kind = DW_ONCE_MISMATCH;
		decision.status = DW_CONFLICT;
	} else if (active->state != DW_ONCE_TICKET_FINISHED) {
		decision.kind = DW_ONCE_IN_PROGRESS;
		decision.status = DW_CONFLICT;
	} else if (active->outcome == DW_ONCE_STATE_UNKNOWN) {
		decision.kind = DW_ONCE_OUTCOME_UNKNOWN;
		decision.status = DW_UNKNOWN_OUTCOME;
	} else {
		decision.kind = DW_ONCE_REPLAY;
		decision.status = DW_OK;
		decision.answer = active->answer;
		decision.answer.body = (const char *)active->body;
		once->counters.replays++;
	}
	dw_once_queue_decision(once, &decision);
}

static uint32_t shard_index_of_key(const struct dw_once *once, struct dw_fingerprint key)
{
	return (uint32_t)(XXH64(&key, sizeof(key), 0) % once->options.shard_count);
}

static struct dw_fingerprint key_fingerprint(const struct dw_once_request *request)
{
	struct dw_fingerprint_part parts[] = {
		{ request->organisation, strlen(request->organisation) },
		{ request->service, strlen(request->service) },
		{ request->key, strlen(request->key) },
	};

	return dw_fingerprint_of(parts, 3);
}

uint32_t dw_once_shard_index(const struct dw_once *once, const struct dw_once_request *request)
{
	return shard_index_of_key(once, key_fingerprint(request));
}

static enum dw_status add_ticket(struct dw_once *once, uint64_t id, struct dw_fingerprint key,
				 const struct dw_once_request *request, struct dw_once_time time)
{
	struct dw_once_ticket *ticket = calloc(1, sizeof(*ticket));

	if (!ticket)
		return dw_fail(DW_NO_MEMORY, "at-most-once journal: out of memory");
	ticket->id = id;
	ticket->state = DW_ONCE_TICKET_WAITING;
	ticket->shard = shard_index_of_key(once, key);
	ticket->key = key;
	ticket->fingerprint = request->fingerprint;
	ticket->deadline_us = request->deadline_us;
	HASH_ADD(hh, once->tickets, id, sizeof(ticket->id), ticket);
	DL_APPEND(once->caches[ticket->shard].tickets, ticket);
	dw_once_resolve_ticket(once, ticket, time);
	return DW_OK;
}

enum dw_status dw_once_begin(struct dw_once *once, const struct dw_once_request *request,
			     struct dw_once_time time, uint64_t *ticket)
{
	struct dw_fingerprint key = key_fingerprint(request);
	const struct dw_once_ticket *active =
		find_active_ticket(&once->caches[shard_index_of_key(once, key)], key);

	*ticket = 0;
	if (request->key[0] == 0)
		return dw_fail(DW_INVALID_ARGUMENT,
			       "at-most-once call: the idempotency key is empty");
	if (request->deadline_us > time.now_us + once->options.lifetime_us / 2)
		return dw_fail(
			DW_INVALID_ARGUMENT,
			"at-most-once call: the deadline is more than half a record lifetime away");
	if (!active && HASH_COUNT(once->tickets) >= once->options.max_tickets)
		return dw_fail(DW_OVERLOADED,
			       "at-most-once journal: %u calls in progress, the maximum",
			       once->options.max_tickets);
	*ticket = ++once->last_ticket;
	if (active) {
		decide_from_active_ticket(once, *ticket, request, active);
		return DW_OK;
	}
	return add_ticket(once, *ticket, key, request, time);
}

bool dw_once_may_send(const struct dw_once *once, uint64_t ticket, uint64_t now_us)
{
	const struct dw_once_ticket *found = ticket_by_id(once, ticket);

	return found && found->state == DW_ONCE_TICKET_DISPATCHED && now_us < found->deadline_us;
}

enum dw_status dw_once_finish(struct dw_once *once, uint64_t ticket,
			      const struct dw_once_answer *answer, struct dw_once_time time)
{
	struct dw_once_ticket *found = ticket_by_id(once, ticket);

	if (!found || found->state != DW_ONCE_TICKET_DISPATCHED)
		return dw_fail(DW_NOT_FOUND,
			       "at-most-once journal: ticket %llu has no dispatched call",
			       (unsigned long long)ticket);
	found->outcome = answer ? DW_ONCE_STATE_DONE : DW_ONCE_STATE_UNKNOWN;
	if (answer && answer->body && answer->body_bytes <= once->options.max_answer_bytes) {
		found->body = malloc((size_t)answer->body_bytes + 1);
		if (!found->body)
			return dw_fail(DW_NO_MEMORY, "at-most-once journal: out of memory");
		memcpy(found->body, answer->body, answer->body_bytes);
		found->answer.body_bytes = answer->body_bytes;
	}
	if (answer) {
		found->answer.http_status = answer->http_status;
		memcpy(found->answer.content_type, answer->content_type,
		       DW_ONCE_CONTENT_TYPE_BYTES - 1);
	}
	found->state = DW_ONCE_TICKET_FINISHED;
	dw_once_keep_outcome(once, found, time);
	found->answer_deadline_us = time.now_us + once->options.outcome_wait_us;
	return DW_OK;
}

enum dw_status dw_once_release(struct dw_once *once, uint64_t ticket, struct dw_once_time time)
{
	struct dw_once_ticket *found = ticket_by_id(once, ticket);

	if (!found || found->state != DW_ONCE_TICKET_DISPATCHED)
		return dw_fail(DW_NOT_FOUND,
			       "at-most-once journal: ticket %llu has no dispatched call",
			       (unsigned long long)ticket);
	found->state = DW_ONCE_TICKET_ABANDONED;
	dw_once_forget(once, ticket);
	dw_once_resolve_ticket(once, found, time);
	return DW_OK;
}

bool dw_once_next_decision(struct dw_once *once, struct dw_once_decision *decision)
{
	struct dw_once_queued_decision *first = once->decisions;

	free_queued_decision(once->last_decision);
	once->last_decision = NULL;
	if (!first)
		return false;
	DL_DELETE(once->decisions, first);
	once->last_decision = first;
	*decision = first->decision;
	return true;
}

static void tick_ticket(struct dw_once *once, struct dw_once_ticket *ticket,
			struct dw_once_time time)
{
	bool ended = ticket->state == DW_ONCE_TICKET_FINISHED ||
		     ticket->state == DW_ONCE_TICKET_ABANDONED;

	if (ticket->state == DW_ONCE_TICKET_WAITING && time.now_us >= ticket->deadline_us) {
		dw_once_refuse(once, ticket, DW_TIMEOUT);
		return;
	}
	if (ticket->state == DW_ONCE_TICKET_FINISHED && !ticket->answered &&
	    time.now_us >= ticket->answer_deadline_us) {
		ticket->answered = true;
		once->counters.outcomes_not_stored++;
		dw_once_queue_decision(once, &(struct dw_once_decision){
						     .ticket = ticket->id,
						     .kind = DW_ONCE_OUTCOME_NOT_STORED,
						     .status = DW_UNAVAILABLE,
					     });
	}
	if (ended && !ticket->in_write && time.wall_us >= ticket->expires_at_us)
		dw_once_remove_ticket(once, ticket);
}

void dw_once_tick(struct dw_once *once, struct dw_once_time time)
{
	struct dw_once_ticket *ticket;
	struct dw_once_ticket *next;

	HASH_ITER(hh, once->tickets, ticket, next)
		tick_ticket(once, ticket, time);
}

static uint64_t earlier(uint64_t a_us, uint64_t b_us)
{
	return a_us < b_us ? a_us : b_us;
}

uint64_t dw_once_deadline_us(const struct dw_once *once)
{
	const struct dw_once_ticket *ticket;
	uint64_t due_us = UINT64_MAX;

	for (ticket = once->tickets; ticket; ticket = ticket->hh.next) {
		const struct dw_once_shard_cache *cache = &once->caches[ticket->shard];

		if (ticket->state == DW_ONCE_TICKET_WAITING)
			due_us = earlier(due_us, ticket->deadline_us);
		if (ticket->state == DW_ONCE_TICKET_FINISHED && !ticket->answered)
			due_us = earlier(due_us, ticket->answer_deadline_us);
		if (cache->operation_id != 0 ||
		    (ticket->state == DW_ONCE_TICKET_DISPATCHED && !ticket->restore_due))
			continue;
		due_us = earlier(due_us, cache->next_operation_at_us);
	}
	return due_us;
}

size_t dw_once_pending(const struct dw_once *once)
{
	return HASH_COUNT(once->tickets);
}

struct dw_once_counters dw_once_read_counters(const struct dw_once *once)
{
	return once->counters;
}
