#include "wharf-gateway/presence.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <uthash.h>

#include "base/clock.h"

#define PREFIX "wharf/instances/"
#define KEY_BYTES 200
#define LEASE_S 15
#define RENEW_PERIOD_MS 5000
#define CALL_TIMEOUT_US (900 * DW_US_PER_MS)
/* Number of instances assumed until all have had time to register after this one has read the keys. */
#define STARTUP_INSTANCES 128
#define STARTUP_US (4 * DW_US_PER_S)
/* Added to the count for instances that run without a key: starting ones, and ones whose lease has
 * lapsed. The larger of the two is added. */
#define UNCOUNTED_PERCENT 30
#define UNCOUNTED_MIN 3

struct presence_peer {
	char *instance;
	struct dw_endpoint address;
	UT_hash_handle hh;
};

void presence_init(struct presence *presence, struct dw_log *log, const char *instance,
		   const struct dw_endpoint *peer_address)
{
	memset(presence, 0, sizeof(*presence));
	presence->log = log;
	presence->instance = instance;
	presence->peer_address = peer_address;
}

void presence_close(struct presence *presence)
{
	struct presence_peer *peer = presence->peers;
	struct presence_peer *next;

	HASH_CLEAR(hh, presence->peers);
	for (; peer; peer = next) {
		next = peer->hh.next;
		free(peer->instance);
		free(peer);
	}
}

bool presence_has_peer_ip(const struct presence *presence, const char *ip)
{
	for (const struct presence_peer *at = presence->peers; at; at = at->hh.next) {
		if (strcmp(at->address.ip, ip) == 0)
			return true;
	}
	return false;
}

void presence_for_each_peer(const struct presence *presence,
			    void (*each)(const struct dw_endpoint *peer, void *data), void *data)
{
	for (const struct presence_peer *at = presence->peers; at; at = at->hh.next) {
		if (at->address.port != 0)
			each(&at->address, data);
	}
}

static void remove_peer(struct presence *presence, struct presence_peer *peer)
{
	HASH_DEL(presence->peers, peer);
	free(peer->instance);
	free(peer);
}

/* Updates a peer from its key, whose value is its address; an invalid value counts as no address. */
static void apply_peer(struct presence *presence, const char *instance,
		       const struct dw_store_event *event)
{
	struct presence_peer *peer;

	HASH_FIND_STR(presence->peers, instance, peer);
	if (event->deleted) {
		if (peer)
			remove_peer(presence, peer);
		return;
	}
	if (!peer) {
		peer = calloc(1, sizeof(*peer));
		if (!peer)
			abort();
		peer->instance = strdup(instance);
		HASH_ADD_KEYPTR(hh, presence->peers, peer->instance, strlen(peer->instance), peer);
	}
	if (dw_endpoint_parse((const char *)event->entry.value, &peer->address) != DW_OK)
		peer->address.port = 0;
}

void presence_apply_record(struct presence *presence, const struct dw_store_event *event,
			   bool was_there)
{
	const char *key = event->entry.key;

	if (strncmp(key, PREFIX, strlen(PREFIX)) != 0)
		return;
	if (!event->deleted && !was_there)
		presence->instances++;
	if (event->deleted && was_there && presence->instances > 0)
		presence->instances--;
	if (strcmp(key + strlen(PREFIX), presence->instance) == 0)
		presence->key_revision = event->deleted ? 0 : event->entry.mod_revision;
	else
		apply_peer(presence, key + strlen(PREFIX), event);
}

void presence_mark_counted(struct presence *presence, uint64_t now_us)
{
	if (presence->counted_at_us == 0)
		presence->counted_at_us = now_us;
}

uint32_t presence_estimated_instances(const struct presence *presence, uint64_t now_us)
{
	uint32_t uncounted = presence->instances * UNCOUNTED_PERCENT / 100;

	if (presence->counted_at_us == 0 || now_us < presence->counted_at_us + STARTUP_US)
		return STARTUP_INSTANCES;
	return presence->instances + (uncounted > UNCOUNTED_MIN ? uncounted : UNCOUNTED_MIN);
}

static void on_written(const struct dw_store_put_result *result, void *data)
{
	struct presence *presence = data;

	presence->is_call_pending = false;
	if (result->outcome == DW_STORE_DONE || result->outcome == DW_STORE_CONFLICT)
		presence->key_revision = result->revision;
	if (result->outcome != DW_STORE_DONE)
		presence->lease_id = 0; /* the next period requests a new lease */
}

static void write_key(struct presence *presence)
{
	char key[KEY_BYTES];
	char value[32];
	struct dw_store_put put = {
		.key = key,
		.value = (const uint8_t *)value,
		.expected_revision = presence->key_revision,
		.lease_id = presence->lease_id,
		.deadline_us = dw_clock_now_us() + CALL_TIMEOUT_US,
	};

	snprintf(key, sizeof(key), PREFIX "%s", presence->instance);
	snprintf(value, sizeof(value), "%s:%u", presence->peer_address->ip,
		 presence->peer_address->port);
	put.value_len = strlen(value);
	presence->is_call_pending = true;
	dw_store_put(presence->store, &put, on_written, presence);
}

static void on_granted(const struct dw_store_lease_result *result, void *data)
{
	struct presence *presence = data;

	presence->is_call_pending = false;
	if (result->status != DW_OK)
		return;
	presence->lease_id = result->lease_id;
	write_key(presence);
}

static void on_renewed(const struct dw_store_lease_result *result, void *data)
{
	struct presence *presence = data;

	presence->is_call_pending = false;
	if (result->status != DW_NOT_FOUND)
		return;
	/* The lease has expired, and the store has deleted the key with it. */
	presence->lease_id = 0;
	presence->key_revision = 0;
}

static void on_renew_timer(uv_timer_t *timer)
{
	struct presence *presence = timer->data;
	uint64_t deadline_us = dw_clock_now_us() + CALL_TIMEOUT_US;

	if (presence->is_call_pending)
		return;
	presence->is_call_pending = true;
	if (presence->lease_id == 0)
		dw_store_lease_grant(presence->store, LEASE_S, deadline_us, on_granted, presence);
	else
		dw_store_lease_keep_alive(presence->store, presence->lease_id, deadline_us,
					  on_renewed, presence);
}

void presence_start(struct presence *presence, uv_loop_t *loop, struct dw_store *store)
{
	presence->store = store;
	uv_timer_init(loop, &presence->timer);
	presence->timer.data = presence;
	uv_timer_start(&presence->timer, on_renew_timer, 0, RENEW_PERIOD_MS);
}
