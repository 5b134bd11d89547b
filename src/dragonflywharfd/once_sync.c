#include "dragonflywharfd/once_sync.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <uthash.h>

#include "dragonflywharfd/store_history.h"

#define CALL_TIMEOUT_US (1500 * DW_US_PER_MS)
#define KEY_BYTES 48

struct ticket {
	uint64_t id;
	once_decision_callback decided;
	void *owner;
	UT_hash_handle hh;
};

struct once_sync {
	struct daemon *daemon;
	struct dw_once *once;
	struct ticket *tickets;
	bool pumping;
};

struct call {
	struct once_sync *sync;
	uint64_t id;
};

static struct dw_once_time time_now(struct once_sync *sync)
{
	struct dw_once_time time = {
		.now_us = dw_clock_now_us(),
		.wall_us = dw_clock_wall_us(),
		.random = daemon_random(sync->daemon),
	};

	return time;
}

struct once_sync *once_sync_start(struct daemon *daemon)
{
	struct dw_once_options options = dw_once_default_options(daemon->key);
	struct once_sync *sync = calloc(1, sizeof(*sync));

	if (!sync || dw_once_new(&sync->once, &options) != DW_OK)
		abort();
	sync->daemon = daemon;
	return sync;
}

static void once_sync_pump(struct once_sync *sync);

static void complete_operation(struct call *call, const struct dw_once_completion *completion)
{
	struct once_sync *sync = call->sync;
	uint64_t restores = dw_once_read_counters(sync->once).restores;

	if (completion->status == DW_UNAVAILABLE || completion->status == DW_UNKNOWN_OUTCOME)
		dw_counters_add(&sync->daemon->counters, DW_COUNTER_STORE_FAILURES, 1);
	dw_once_complete(sync->once, completion, time_now(sync));
	if (dw_once_read_counters(sync->once).restores != restores)
		store_history_receive(sync->daemon);
	free(call);
	once_sync_pump(sync);
}

static void on_read(const struct dw_store_range_result *result, void *data)
{
	struct call *call = data;
	struct dw_once_completion completion = { .id = call->id, .status = result->status };

	if (result->status == DW_OK && result->count > 0) {
		completion.revision = result->entries[0].mod_revision;
		completion.bytes = result->entries[0].value;
		completion.len = result->entries[0].value_len;
	} else if (result->status == DW_NOT_FOUND) {
		completion.status = DW_OK;
	}
	complete_operation(call, &completion);
}

static void on_put(const struct dw_store_put_result *result, void *data)
{
	static const enum dw_status statuses[DW_STORE_OUTCOME_COUNT] = {
		[DW_STORE_DONE] = DW_OK,
		[DW_STORE_CONFLICT] = DW_CONFLICT,
		[DW_STORE_UNKNOWN] = DW_UNKNOWN_OUTCOME,
		[DW_STORE_UNAVAILABLE] = DW_UNAVAILABLE,
		[DW_STORE_REFUSED] = DW_UNAVAILABLE,
	};
	struct call *call = data;
	struct dw_once_completion completion = {
		.id = call->id,
		.status = statuses[result->outcome],
		.revision = result->revision,
	};

	complete_operation(call, &completion);
}

static void start_operation(struct once_sync *sync, const struct dw_once_operation *operation)
{
	uint64_t deadline_us = dw_clock_now_us() + CALL_TIMEOUT_US;
	struct call *call = calloc(1, sizeof(*call));
	char key[KEY_BYTES];

	if (!call)
		abort();
	call->sync = sync;
	call->id = operation->id;
	snprintf(key, sizeof(key), ONCE_PREFIX "%04" PRIu32, operation->shard);
	if (operation->kind == DW_ONCE_READ) {
		dw_store_get(sync->daemon->store, key, deadline_us, on_read, call);
	} else {
		struct dw_store_put put = {
			.key = key,
			.value = operation->bytes,
			.value_len = operation->len,
			.expected_revision = operation->expected_revision,
			.deadline_us = deadline_us,
		};

		dw_store_put(sync->daemon->store, &put, on_put, call);
	}
}

static void deliver_decision(struct once_sync *sync, const struct dw_once_decision *decision)
{
	struct ticket *ticket;

	HASH_FIND(hh, sync->tickets, &decision->ticket, sizeof(decision->ticket), ticket);
	if (ticket)
		ticket->decided(decision, ticket->owner);
	else if (decision->kind == DW_ONCE_DISPATCH)
		/* The caller disconnected before anything was sent: the key may be used again. */
		dw_once_release(sync->once, decision->ticket, time_now(sync));
}

/* A decision may begin or end tickets, which calls this again; `pumping` ends the recursion. */
static void once_sync_pump(struct once_sync *sync)
{
	struct dw_once_operation operation;
	struct dw_once_decision decision;
	bool progressed = true;

	if (sync->pumping)
		return;
	sync->pumping = true;
	while (progressed) {
		progressed = false;
		while (dw_once_next_operation(sync->once, time_now(sync), &operation)) {
			start_operation(sync, &operation);
			progressed = true;
		}
		while (dw_once_next_decision(sync->once, &decision)) {
			deliver_decision(sync, &decision);
			progressed = true;
		}
	}
	sync->pumping = false;
}

enum dw_status once_sync_begin(struct once_sync *sync, const struct dw_once_request *request,
			       once_decision_callback decided, void *owner, uint64_t *ticket_id)
{
	struct ticket *ticket;
	enum dw_status status;

	status = dw_once_begin(sync->once, request, time_now(sync), ticket_id);
	if (status != DW_OK)
		return status;
	ticket = calloc(1, sizeof(*ticket));
	if (!ticket)
		abort();
	ticket->id = *ticket_id;
	ticket->decided = decided;
	ticket->owner = owner;
	HASH_ADD(hh, sync->tickets, id, sizeof(ticket->id), ticket);
	once_sync_pump(sync);
	return DW_OK;
}

bool once_sync_may_send(struct once_sync *sync, uint64_t ticket)
{
	return dw_once_may_send(sync->once, ticket, dw_clock_now_us());
}

void once_sync_finish(struct once_sync *sync, uint64_t ticket, const struct dw_once_answer *answer)
{
	dw_once_finish(sync->once, ticket, answer, time_now(sync));
	once_sync_pump(sync);
}

void once_sync_release(struct once_sync *sync, uint64_t ticket)
{
	dw_once_release(sync->once, ticket, time_now(sync));
	once_sync_detach(sync, ticket);
	once_sync_pump(sync);
}

void once_sync_detach(struct once_sync *sync, uint64_t ticket_id)
{
	struct ticket *ticket;

	HASH_FIND(hh, sync->tickets, &ticket_id, sizeof(ticket_id), ticket);
	if (!ticket)
		return;
	HASH_DEL(sync->tickets, ticket);
	free(ticket);
}

void once_sync_store_back(struct once_sync *sync)
{
	dw_once_store_back(sync->once, time_now(sync));
}

void once_sync_store_restored(struct once_sync *sync)
{
	dw_once_store_restored(sync->once, time_now(sync));
	once_sync_pump(sync);
}

void once_sync_tick(struct once_sync *sync)
{
	if (dw_clock_now_us() >= dw_once_deadline_us(sync->once))
		dw_once_tick(sync->once, time_now(sync));
	once_sync_pump(sync);
}

size_t once_sync_pending(const struct once_sync *sync)
{
	return dw_once_pending(sync->once);
}
