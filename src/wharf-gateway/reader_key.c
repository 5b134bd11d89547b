#include "wharf-gateway/reader_key.h"

#include <stdio.h>
#include <string.h>

#include "base/clock.h"

#define PREFIX "wharf/readers/"
#define KEY_BYTES 200
#define LEASE_S 60
#define RENEW_PERIOD_US (20 * DW_US_PER_S)
#define CHECK_PERIOD_MS 2000
#define CALL_TIMEOUT_US (900 * DW_US_PER_MS)

void reader_key_init(struct reader_key *key, const char *instance,
		     const struct dw_endpoint *peer_address, struct era_guard *era_guard)
{
	memset(key, 0, sizeof(*key));
	key->instance = instance;
	key->peer_address = peer_address;
	key->era_guard = era_guard;
}

bool reader_key_apply(struct reader_key *key, const struct dw_store_event *event,
		      struct dw_endpoint *address)
{
	const char *name = event->entry.key;

	if (strncmp(name, PREFIX, strlen(PREFIX)) != 0)
		return false;
	if (strcmp(name + strlen(PREFIX), key->instance) == 0) {
		key->key_revision = event->deleted ? 0 : event->entry.mod_revision;
		return false;
	}
	return !event->deleted &&
	       dw_endpoint_parse((const char *)event->entry.value, address) == DW_OK;
}

void reader_key_store_restored(struct reader_key *key)
{
	key->is_rewrite = key->lease_id != 0 || key->key_revision > 0;
	key->lease_id = 0;
}

static void on_written(const struct dw_store_put_result *result, void *data)
{
	struct reader_key *key = data;

	key->is_call_pending = false;
	if (result->outcome == DW_STORE_DONE || result->outcome == DW_STORE_CONFLICT)
		key->key_revision = result->revision;
	if (result->outcome != DW_STORE_DONE) {
		key->lease_id = 0; /* the next period requests a new lease */
		return;
	}
	key->renew_at_us = dw_clock_now_us() + RENEW_PERIOD_US;
	if (key->is_rewrite && key->lease_id != 0) {
		key->is_rewrite = false;
		era_guard_count_rewrite(key->era_guard, ERA_REWRITE_READER_KEY);
	}
}

static void write_key(struct reader_key *key)
{
	char name[KEY_BYTES];
	char value[32];
	struct dw_store_put put = {
		.key = name,
		.value = (const uint8_t *)value,
		.expected_revision = key->key_revision,
		.lease_id = key->lease_id,
		.deadline_us = dw_clock_now_us() + CALL_TIMEOUT_US,
	};

	snprintf(name, sizeof(name), PREFIX "%s", key->instance);
	snprintf(value, sizeof(value), "%s:%u", key->peer_address->ip, key->peer_address->port);
	put.value_len = strlen(value);
	key->is_call_pending = true;
	era_guard_condition(key->era_guard, &put);
	dw_store_put(key->store, &put, on_written, key);
}

static void on_granted(const struct dw_store_lease_result *result, void *data)
{
	struct reader_key *key = data;

	key->is_call_pending = false;
	if (result->status != DW_OK || !era_guard_allows_writes(key->era_guard))
		return;
	key->lease_id = result->lease_id;
	write_key(key);
}

static void on_renewed(const struct dw_store_lease_result *result, void *data)
{
	struct reader_key *key = data;

	key->is_call_pending = false;
	if (result->status == DW_OK)
		key->renew_at_us = dw_clock_now_us() + RENEW_PERIOD_US;
	if (result->status != DW_NOT_FOUND)
		return;
	/* The lease has expired, and the store has deleted the key with it. */
	key->lease_id = 0;
	key->key_revision = 0;
}

static void on_check_timer(uv_timer_t *timer)
{
	struct reader_key *key = timer->data;
	uint64_t now_us = dw_clock_now_us();
	uint64_t deadline_us = now_us + CALL_TIMEOUT_US;

	if (key->is_call_pending || !key->is_reader(key->owner) ||
	    !era_guard_allows_writes(key->era_guard))
		return;
	if (key->lease_id == 0) {
		key->is_call_pending = true;
		dw_store_lease_grant(key->store, LEASE_S, deadline_us, on_granted, key);
	} else if (now_us >= key->renew_at_us) {
		key->is_call_pending = true;
		dw_store_lease_keep_alive(key->store, key->lease_id, deadline_us, on_renewed, key);
	}
}

void reader_key_start(struct reader_key *key, uv_loop_t *loop, struct dw_store *store,
		      bool (*is_reader)(void *owner), void *owner)
{
	key->store = store;
	key->is_reader = is_reader;
	key->owner = owner;
	uv_timer_init(loop, &key->timer);
	key->timer.data = key;
	uv_timer_start(&key->timer, on_check_timer, CHECK_PERIOD_MS, CHECK_PERIOD_MS);
}
