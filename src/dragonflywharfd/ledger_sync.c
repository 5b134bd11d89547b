#include "dragonflywharfd/ledger_sync.h"

#include <stdlib.h>
#include <string.h>

#include "dragonflywharfd/peer_bus.h"
#include "net/ledger_codec.h"

#define WRITE_TIMEOUT_US (2 * DW_US_PER_S)

/* An answer that is completed once its usage record is safe or counted as exposed. */
struct waiter {
	uint64_t seq;
	ledger_safe_callback safe;
	void *owner;
	struct waiter *next;
};

struct ledger_sync {
	struct daemon *daemon;
	struct dw_ledger *ledger;
	struct waiter *waiters; /* oldest first */
	struct waiter **waiters_end;
	struct dw_member_key holder; /* keeps copies of unwritten records; all 0: no peer does */
	bool pumping;
};

struct ledger_put {
	struct ledger_sync *sync;
	uint64_t id;
};

struct ledger_sync *ledger_sync_start(struct daemon *daemon)
{
	struct dw_ledger_options options = dw_ledger_default_options(daemon->key);
	struct ledger_sync *sync = calloc(1, sizeof(*sync));

	if (!sync || dw_ledger_new(&sync->ledger, &options) != DW_OK)
		abort();
	sync->daemon = daemon;
	sync->waiters_end = &sync->waiters;
	return sync;
}

/* Removes the first waiter of a record from the list; NULL if there is none. */
static struct waiter *remove_waiter(struct ledger_sync *sync, uint64_t seq)
{
	struct waiter **link = &sync->waiters;
	struct waiter *waiter;

	while (*link && (*link)->seq != seq)
		link = &(*link)->next;
	waiter = *link;
	if (!waiter)
		return NULL;
	*link = waiter->next;
	if (sync->waiters_end == &waiter->next)
		sync->waiters_end = link;
	return waiter;
}

static bool notify_waiters(struct ledger_sync *sync)
{
	enum dw_ledger_protection protection;
	bool progressed = false;
	uint64_t seq;

	while (dw_ledger_next_protected(sync->ledger, &seq, &protection)) {
		struct waiter *waiter;

		progressed = true;
		if (protection == DW_LEDGER_EXPOSED)
			dw_counters_add(&sync->daemon->counters, DW_COUNTER_USAGE_EXPOSED, 1);
		while ((waiter = remove_waiter(sync, seq)) != NULL) {
			waiter->safe(waiter->owner);
			free(waiter);
		}
	}
	return progressed;
}

static bool send_messages(struct ledger_sync *sync)
{
	struct dw_ledger_message message;
	struct dw_member_key to;
	bool progressed = false;

	while (dw_ledger_next_message(sync->ledger, dw_clock_now_us(), &to, &message)) {
		struct peer_message_buffer buffer;

		peer_message_buffer_init(&buffer);
		dw_ledger_message_encode(&message, &buffer.bytes);
		peer_bus_send(sync->daemon, to.instance_id, PEER_LEDGER, &buffer);
		peer_message_buffer_clear(&buffer);
		progressed = true;
	}
	return progressed;
}

static void ledger_sync_pump(struct ledger_sync *sync);

static enum dw_status to_status(enum dw_store_outcome outcome)
{
	switch (outcome) {
	case DW_STORE_DONE:
		return DW_OK;
	case DW_STORE_CONFLICT:
		return DW_CONFLICT;
	case DW_STORE_UNKNOWN:
		return DW_UNKNOWN_OUTCOME;
	case DW_STORE_UNAVAILABLE:
	case DW_STORE_REFUSED:
	case DW_STORE_OUTCOME_COUNT:
		break;
	}
	return DW_UNAVAILABLE;
}

static void on_written(const struct dw_store_put_result *result, void *data)
{
	struct ledger_put *put = data;
	struct ledger_sync *sync = put->sync;
	enum dw_status status = to_status(result->outcome);

	if (status == DW_OK || status == DW_CONFLICT)
		dw_log_event(&sync->daemon->log, DW_EVENT_USAGE_WRITTEN,
			     DW_INT("revision", result->revision));
	else
		dw_counters_add(&sync->daemon->counters, DW_COUNTER_STORE_FAILURES, 1);
	dw_ledger_write_done(sync->ledger, put->id, status, dw_clock_now_us());
	free(put);
	ledger_sync_pump(sync);
}

static bool start_writes(struct ledger_sync *sync)
{
	struct dw_ledger_write write;
	bool progressed = false;

	while (dw_ledger_next_write(sync->ledger, dw_clock_now_us(), &write)) {
		struct ledger_put *put = calloc(1, sizeof(*put));
		struct dw_store_put call = {
			.key = write.key,
			.value = write.bytes,
			.value_len = write.len,
			.deadline_us = dw_clock_now_us() + WRITE_TIMEOUT_US,
		};

		if (!put)
			abort();
		put->sync = sync;
		put->id = write.id;
		dw_store_put(sync->daemon->store, &call, on_written, put);
		progressed = true;
	}
	return progressed;
}

/* Completing an answer may append records, which calls this again; `pumping` ends the recursion. */
static void ledger_sync_pump(struct ledger_sync *sync)
{
	bool progressed = true;

	if (sync->pumping)
		return;
	sync->pumping = true;
	while (progressed) {
		progressed = send_messages(sync);
		progressed |= start_writes(sync);
		progressed |= notify_waiters(sync);
	}
	sync->pumping = false;
}

enum dw_status ledger_sync_reserve(struct ledger_sync *sync)
{
	return dw_ledger_reserve(sync->ledger);
}

void ledger_sync_unreserve(struct ledger_sync *sync)
{
	dw_ledger_unreserve(sync->ledger);
}

void ledger_sync_append(struct ledger_sync *sync, const struct dw_usage_record *record,
			ledger_safe_callback safe, void *owner)
{
	struct waiter *waiter = calloc(1, sizeof(*waiter));
	struct daemon *daemon = sync->daemon;
	enum dw_status status;

	if (!waiter)
		abort();
	waiter->safe = safe;
	waiter->owner = owner;
	status = dw_ledger_append(sync->ledger, record, dw_clock_now_us(), &waiter->seq);
	if (status != DW_OK) {
		dw_counters_add(&daemon->counters, DW_COUNTER_USAGE_EXPOSED, 1);
		free(waiter);
		safe(owner);
		return;
	}
	dw_counters_add(&daemon->counters, DW_COUNTER_USAGE_RECORDS, 1);
	dw_log_event(&daemon->log, DW_EVENT_USAGE_RECORDED,
		     DW_STR("organisation", record->organisation), DW_STR("model", record->model),
		     DW_STR("version", record->version), DW_INT("seq", waiter->seq),
		     DW_INT("request_low", record->request_id.low),
		     DW_INT("completion_tokens", record->completion_tokens));
	if (dw_ledger_protection_of(sync->ledger, waiter->seq) != DW_LEDGER_PROTECTION_COUNT) {
		/* A duplicate of a safe record: dw_ledger_next_protected() won't return it. */
		free(waiter);
		safe(owner);
		return;
	}
	*sync->waiters_end = waiter;
	sync->waiters_end = &waiter->next;
	/* Without a peer to hold a copy, the record isn't safe until it is in the store. */
	if (sync->holder.instance_id == 0)
		dw_ledger_flush(sync->ledger, dw_clock_now_us());
	ledger_sync_pump(sync);
}

void ledger_sync_receive(struct ledger_sync *sync, const struct dw_peer_identity *from,
			 const struct dw_peer_payload *payload)
{
	static struct dw_ledger_message message;

	if (dw_ledger_message_decode(payload->bytes, payload->len, &message) != DW_OK) {
		dw_counters_add(&sync->daemon->counters, DW_COUNTER_BAD_INPUTS, 1);
		return;
	}
	dw_ledger_receive(sync->ledger, &from->key, &message, dw_clock_now_us());
	ledger_sync_pump(sync);
}

void ledger_sync_handle_dead_member(struct ledger_sync *sync, struct dw_member_key member)
{
	dw_log_event(&sync->daemon->log, DW_EVENT_USAGE_ADOPTED,
		     DW_INT("instance_id", member.instance_id));
	dw_ledger_member_dead(sync->ledger, &member, dw_clock_now_us());
	ledger_sync_pump(sync);
}

/* A holder in another failure domain is preferred, as it survives the loss of this one. */
static uint32_t holder_rank(const struct daemon *daemon, const struct dw_member *member)
{
	if (strcmp(member->failure_domain, daemon->settings.failure_domain) != 0)
		return 2;
	return 1;
}

/* Picks the next live member by instance id, in another failure domain if there is one. */
static void choose_holder(struct ledger_sync *sync)
{
	struct daemon *daemon = sync->daemon;
	const struct dw_member *best = NULL;
	uint64_t best_distance = 0;

	for (size_t i = 0; i < dw_membership_count(daemon->membership); i++) {
		const struct dw_member *member = dw_membership_at(daemon->membership, i);
		uint64_t distance = member->key.instance_id - daemon->key.instance_id;

		if (member->state != DW_MEMBER_ALIVE ||
		    dw_member_key_equal(member->key, daemon->key))
			continue;
		if (best && (holder_rank(daemon, member) < holder_rank(daemon, best) ||
			     (holder_rank(daemon, member) == holder_rank(daemon, best) &&
			      distance > best_distance)))
			continue;
		best = member;
		best_distance = distance;
	}
	if (best && dw_member_key_equal(best->key, sync->holder))
		return;
	memset(&sync->holder, 0, sizeof(sync->holder));
	if (best)
		sync->holder = best->key;
	dw_ledger_set_holder(sync->ledger, best ? &sync->holder : NULL, dw_clock_now_us());
}

void ledger_sync_store_restored(struct ledger_sync *sync)
{
	dw_ledger_store_restored(sync->ledger, dw_clock_now_us());
	ledger_sync_pump(sync);
}

void ledger_sync_tick(struct ledger_sync *sync)
{
	choose_holder(sync);
	dw_ledger_tick(sync->ledger, dw_clock_now_us());
	ledger_sync_pump(sync);
}

void ledger_sync_flush(struct ledger_sync *sync)
{
	dw_ledger_flush(sync->ledger, dw_clock_now_us());
	ledger_sync_pump(sync);
}

size_t ledger_sync_unwritten(const struct ledger_sync *sync)
{
	return dw_ledger_unwritten(sync->ledger) + dw_ledger_due_again(sync->ledger);
}
