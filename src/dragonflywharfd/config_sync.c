#include "dragonflywharfd/config_sync.h"

#include <stdlib.h>
#include <string.h>

#include "dragonflywharfd/config_return.h"
#include "dragonflywharfd/dispatcher.h"
#include "dragonflywharfd/peer_bus.h"
#include "dragonflywharfd/upstream_table.h"
#include "net/msgpack_read.h"
#include "net/ruleset_codec.h"

#include <xxhash.h>

/** Daemons per failure domain that watch the store; the others get changes from peers. */
#define WATCHERS_PER_DOMAIN 2U
#define READ_TIMEOUT_US (2 * DW_US_PER_S)
#define WATCH_PERIOD_US (10 * DW_US_PER_S)
#define RETRY_US (300 * DW_US_PER_MS)
/**
 * Minimum time between two pulls, which ask a peer with a higher revision for the missing changes.
 */
#define PULL_PERIOD_US (200 * DW_US_PER_MS)
#define PUSH_FANOUT 4U
/** How long a daemon without a watch waits for the watchers to deliver a change that it wrote. */
#define OWN_WRITE_WAIT_US (1000 * DW_US_PER_MS)
/**
 * A starting daemon asks peers for the configuration before it reads the store, which may have been
 * restored from a backup and be older. How long it waits for them, from its start, depends on what
 * it knows of its peers.
 */
#define STARTUP_NO_CONFIG_WAIT_US (1000 * DW_US_PER_MS) /* no known peer has a configuration */
#define STARTUP_DISCOVERY_WAIT_US (3 * DW_US_PER_S) /* no peer has been discovered yet */
#define STARTUP_PULL_WAIT_US (8 * DW_US_PER_S) /* a peer has a configuration and is asked for it */
#define REVISION_DIGEST_FIELDS 2U

/* Last logged state of a version. */
struct version_state {
	char name[2 * DW_NAME_MAX_BYTES + 2]; /* MODEL/VERSION */
	bool live;
	UT_hash_handle hh;
};

struct config_sync {
	struct daemon *daemon;
	struct dw_store_watch *watch;
	uint64_t read_at_us; /* earliest time of the next read or watch of the store */
	uint64_t started_at_us;
	uint64_t pull_at_us;
	uint64_t written_revision; /* highest one that this daemon wrote; may not be applied yet */
	struct version_state *versions;
	bool reading;
	bool read_again; /* all keys have to be read before the next watch */
	bool store_reachable;
	bool reachability_known; /* store_reachable has been set */
};

bool config_sync_is_ready(const struct config_sync *sync)
{
	return dw_ruleset_count(sync->daemon->ruleset) > 0;
}

bool config_sync_is_store_reachable(const struct config_sync *sync)
{
	return sync->store_reachable;
}

static void set_reachable(struct config_sync *sync, bool reachable)
{
	if (sync->reachability_known && sync->store_reachable == reachable)
		return;
	sync->reachability_known = true;
	sync->store_reachable = reachable;
	dw_log_event(&sync->daemon->log, reachable ? DW_EVENT_STORE_BACK : DW_EVENT_STORE_LOST,
		     DW_INT("revision", dw_ruleset_revision(sync->daemon->ruleset)));
	if (!reachable)
		dw_counters_add(&sync->daemon->counters, DW_COUNTER_STORE_FAILURES, 1);
}

static void on_applied(const char *key, uint64_t mod_revision, bool deleted, void *data)
{
	struct daemon *daemon = data;

	dw_counters_add(&daemon->counters, DW_COUNTER_CONFIG_APPLIED, 1);
	dw_log_event(&daemon->log, DW_EVENT_CONFIG_APPLIED, DW_STR("key", key),
		     DW_INT("mod_revision", mod_revision), DW_INT("deleted", deleted));
}

static void on_refused(const char *key, uint64_t mod_revision, enum dw_status status,
		       const char *message, void *data)
{
	struct daemon *daemon = data;

	dw_counters_add(&daemon->counters, DW_COUNTER_CONFIG_REFUSED, 1);
	dw_log_event(&daemon->log, DW_EVENT_CONFIG_REFUSED, DW_STR("key", key),
		     DW_INT("mod_revision", mod_revision), DW_STR("status", dw_status_name(status)),
		     DW_STR("message", message));
}

static void log_version_state(struct config_sync *sync, const Dragonflywharf__Version *version)
{
	bool live = version->state == DRAGONFLYWHARF__VERSION_STATE__VERSION_LIVE;
	char name[2 * DW_NAME_MAX_BYTES + 2];
	struct version_state *state;

	snprintf(name, sizeof(name), "%s/%s", version->model, version->name);
	HASH_FIND_STR(sync->versions, name, state);
	if (state && state->live == live)
		return;
	if (!state) {
		state = calloc(1, sizeof(*state));
		if (!state)
			abort();
		memcpy(state->name, name, sizeof(name));
		HASH_ADD_STR(sync->versions, name, state);
	}
	state->live = live;
	dw_log_event(&sync->daemon->log, live ? DW_EVENT_VERSION_LIVE : DW_EVENT_VERSION_WITHDRAWN,
		     DW_STR("version", name));
}

static void apply_version(const struct dw_ruleset_item *item, void *data)
{
	struct config_sync *sync = data;
	struct daemon *daemon = sync->daemon;
	Dragonflywharf__Entity *entity =
		dragonflywharf__entity__unpack(NULL, item->len, item->bytes);
	const Dragonflywharf__Version *version;
	uint64_t model_id;

	if (!entity)
		return;
	version = entity->version;
	if (entity->kind_case == DRAGONFLYWHARF__ENTITY__KIND_VERSION) {
		model_id = XXH64(version->model, strlen(version->model), 0);
		dw_rollout_set_version(daemon->rollout,
				       XXH64(version->name, strlen(version->name), model_id),
				       model_id, version->release_order);
		log_version_state(sync, version);
	}
	dragonflywharf__entity__free_unpacked(entity, NULL);
}

/* Updates the modules that depend on the ruleset. */
static void notify_modules(struct config_sync *sync)
{
	struct daemon *daemon = sync->daemon;

	dw_ruleset_visit_prefix(daemon->ruleset, "version/", apply_version, sync);
	upstream_table_refresh(daemon->upstreams);
	dispatcher_refresh(daemon->dispatcher);
	daemon_pump(daemon);
}

static void push_to_peers(struct config_sync *sync, const struct dw_ruleset_delta *delta)
{
	struct peer_message_buffer buffer;

	peer_message_buffer_init(&buffer);
	dw_ruleset_delta_pack(&buffer.packer, delta);
	peer_bus_gossip(sync->daemon, PUSH_FANOUT, PEER_CONFIG_DELTA, &buffer);
	peer_message_buffer_clear(&buffer);
}

/* Applies a delta or snapshot; forwards a delta that changed something to peers. */
static enum dw_status apply(struct config_sync *sync, const struct dw_ruleset_delta *delta)
{
	struct daemon *daemon = sync->daemon;
	struct dw_ruleset_result result;
	enum dw_status status;

	dw_ruleset_keep_absent(daemon->ruleset, config_return_keeps_absent(daemon->config_return));
	if (delta->snapshot)
		status = dw_ruleset_apply_snapshot(daemon->ruleset, delta->to_revision,
						   delta->items, delta->count, &result);
	else
		status = dw_ruleset_apply_delta(daemon->ruleset, delta->from_revision,
						delta->to_revision, delta->items, delta->count,
						&result);
	if (status != DW_OK)
		return status;
	dw_membership_set_revision(daemon->membership, dw_ruleset_revision(daemon->ruleset));
	/* Forwarding known changes would make peers resend them to each other forever. */
	if (result.applied == 0)
		return DW_OK;
	notify_modules(sync);
	/* A snapshot is as large as the configuration; peers pull what they lack of it instead. */
	if (!delta->snapshot)
		push_to_peers(sync, delta);
	return DW_OK;
}

/* Converts a store entry to a ruleset item, whose key has no prefix. */
static struct dw_ruleset_item to_ruleset_item(const struct dw_store_entry *entry, bool deleted)
{
	struct dw_ruleset_item item = {
		.key = entry->key + strlen(CONFIG_PREFIX),
		.mod_revision = entry->mod_revision,
		.deleted = deleted,
		.bytes = entry->value,
		.len = entry->value_len,
	};

	return item;
}

void config_sync_report_stale(struct config_sync *sync, uint64_t revision)
{
	uint64_t known = dw_ruleset_revision(sync->daemon->ruleset);

	if (revision > known)
		return;
	dw_log_event(&sync->daemon->log, DW_EVENT_CONFIG_REFUSED, DW_STR("key", CONFIG_PREFIX),
		     DW_INT("mod_revision", revision), DW_INT("known", known),
		     DW_STR("message", "the store is older than the configuration in force"));
	dw_counters_add(&sync->daemon->counters, DW_COUNTER_CONFIG_REFUSED, 1);
}

static void on_read(const struct dw_store_range_result *result, void *data)
{
	struct config_sync *sync = data;
	struct dw_ruleset_delta delta = { .snapshot = true, .to_revision = result->revision };

	sync->reading = false;
	set_reachable(sync, result->status == DW_OK);
	sync->read_at_us = dw_clock_now_us() + RETRY_US;
	if (result->status != DW_OK)
		return;
	sync->read_again = false;
	delta.count = result->count;
	delta.items = calloc(result->count + 1, sizeof(*delta.items));
	if (!delta.items)
		abort();
	for (size_t i = 0; i < result->count; i++)
		delta.items[i] = to_ruleset_item(&result->entries[i], false);
	if (apply(sync, &delta) == DW_STALE)
		config_sync_report_stale(sync, result->revision);
	free(delta.items);
}

static void read_store(struct config_sync *sync)
{
	sync->reading = true;
	dw_store_range(sync->daemon->store, CONFIG_PREFIX, 0, dw_clock_now_us() + READ_TIMEOUT_US,
		       on_read, sync);
}

static void on_events(struct dw_store_watch *watch, const struct dw_store_event *events,
		      size_t count, void *data)
{
	struct config_sync *sync = data;
	struct dw_ruleset_delta delta = {
		.from_revision = dw_ruleset_revision(sync->daemon->ruleset),
		.count = count,
	};

	delta.items = calloc(count + 1, sizeof(*delta.items));
	if (!delta.items)
		abort();
	for (size_t i = 0; i < count; i++) {
		delta.items[i] = to_ruleset_item(&events[i].entry, events[i].deleted);
		if (delta.items[i].mod_revision > delta.to_revision)
			delta.to_revision = delta.items[i].mod_revision;
	}
	set_reachable(sync, true);
	/* Peers may have delivered the same changes already. */
	if (delta.to_revision > delta.from_revision)
		apply(sync, &delta);
	free(delta.items);
}

static void on_up_to_date(struct dw_store_watch *watch, uint64_t revision, uint64_t confirmed_at_us,
			  void *data)
{
	set_reachable(data, true);
}

static void on_ended(struct dw_store_watch *watch, enum dw_status status, uint64_t next_revision,
		     void *data)
{
	struct config_sync *sync = data;

	sync->watch = NULL;
	/*
	 * DW_TIMEOUT is the normal end of the watch's period, DW_STALE means that the store has
	 * compacted the history; any other status is an outage.
	 */
	if (status != DW_TIMEOUT && status != DW_STALE)
		set_reachable(sync, false);
	sync->read_at_us = dw_clock_now_us() + (status == DW_TIMEOUT ? 0 : RETRY_US);
	if (status == DW_STALE && !sync->reading &&
	    !config_return_is_behind(sync->daemon->config_return))
		read_store(sync);
}

static void start_watch(struct config_sync *sync)
{
	struct dw_store_watch_options options = {
		.prefix = CONFIG_PREFIX,
		.from_revision = dw_ruleset_revision(sync->daemon->ruleset) + 1,
		.deadline_us = dw_clock_now_us() + WATCH_PERIOD_US,
		.on_events = on_events,
		.on_up_to_date = on_up_to_date,
		.on_ended = on_ended,
		.data = sync,
	};

	sync->watch = dw_store_watch(sync->daemon->store, &options);
}

enum dw_status config_sync_receive_delta(struct config_sync *sync, const msgpack_object *value)
{
	struct dw_ruleset_delta delta;
	enum dw_status status = dw_ruleset_delta_unpack(value, &delta);

	if (status != DW_OK)
		return status;
	status = apply(sync, &delta);
	if (status == DW_UNAVAILABLE)
		sync->pull_at_us = 0;
	dw_ruleset_delta_clear(&delta);
	return status;
}

/* Sends a pull or a confirmation: a revision and the digest of the live keys. */
static void send_revision_digest(struct config_sync *sync, uint64_t instance_id,
				 enum peer_message_type type, uint64_t revision, uint64_t digest)
{
	struct peer_message_buffer buffer;

	peer_message_buffer_init(&buffer);
	msgpack_pack_array(&buffer.packer, REVISION_DIGEST_FIELDS);
	msgpack_pack_uint64(&buffer.packer, revision);
	msgpack_pack_uint64(&buffer.packer, digest);
	peer_bus_send(sync->daemon, instance_id, type, &buffer);
	peer_message_buffer_clear(&buffer);
}

static bool read_revision_digest(const msgpack_object *value, uint64_t *revision, uint64_t *digest)
{
	const msgpack_object *fields = dw_msgpack_read_array(value, REVISION_DIGEST_FIELDS);

	return fields && dw_msgpack_read_uint(&fields[0], UINT64_MAX, revision) &&
	       dw_msgpack_read_uint(&fields[1], UINT64_MAX, digest);
}

enum dw_status config_sync_receive_confirm(struct config_sync *sync, const msgpack_object *value)
{
	struct daemon *daemon = sync->daemon;
	uint64_t revision;
	uint64_t digest;

	if (!read_revision_digest(value, &revision, &digest))
		return dw_fail(DW_INVALID_ARGUMENT,
			       "config confirm: expected a revision and a digest");
	if (dw_ruleset_confirm_revision(daemon->ruleset, revision, digest) == DW_OK)
		dw_membership_set_revision(daemon->membership, revision);
	return DW_OK;
}

static void append_item(const struct dw_ruleset_item *item, void *data)
{
	struct dw_ruleset_delta *delta = data;

	delta->items = realloc(delta->items, (delta->count + 1) * sizeof(*delta->items));
	if (!delta->items)
		abort();
	delta->items[delta->count++] = *item;
}

enum dw_status config_sync_receive_pull(struct config_sync *sync, uint64_t instance_id,
					const msgpack_object *value)
{
	struct daemon *daemon = sync->daemon;
	struct dw_ruleset_delta delta = { .to_revision = dw_ruleset_revision(daemon->ruleset) };
	struct peer_message_buffer buffer;
	uint64_t digest;

	if (!read_revision_digest(value, &delta.from_revision, &digest))
		return dw_fail(DW_INVALID_ARGUMENT,
			       "config pull: expected a revision and a digest");
	if (delta.to_revision <= delta.from_revision)
		return DW_OK;
	if (digest == dw_ruleset_digest(daemon->ruleset)) {
		send_revision_digest(sync, instance_id, PEER_CONFIG_CONFIRM, delta.to_revision,
				     digest);
		return DW_OK;
	}
	dw_ruleset_items_since(daemon->ruleset, delta.from_revision, append_item, &delta,
			       &delta.snapshot);
	peer_message_buffer_init(&buffer);
	dw_ruleset_delta_pack(&buffer.packer, &delta);
	peer_bus_send(daemon, instance_id, PEER_CONFIG_DELTA, &buffer);
	peer_message_buffer_clear(&buffer);
	free(delta.items);
	return DW_OK;
}

static const struct dw_member *find_member_ahead(struct daemon *daemon, uint64_t revision)
{
	size_t count = dw_membership_count(daemon->membership);
	size_t start = count ? daemon_random(daemon) % count : 0;

	for (size_t i = 0; i < count; i++) {
		const struct dw_member *member =
			dw_membership_at(daemon->membership, (start + i) % count);

		if (member->applied_revision > revision && member->state != DW_MEMBER_DEAD &&
		    !dw_member_key_equal(member->key, daemon->key))
			return member;
	}
	return NULL;
}

static void pull_from_peer(struct config_sync *sync)
{
	struct daemon *daemon = sync->daemon;
	uint64_t revision = dw_ruleset_revision(daemon->ruleset);
	const struct dw_member *member = find_member_ahead(daemon, revision);

	if (!member)
		return;
	sync->pull_at_us = dw_clock_now_us() + PULL_PERIOD_US;
	send_revision_digest(sync, member->key.instance_id, PEER_CONFIG_PULL, revision,
			     dw_ruleset_digest(daemon->ruleset));
}

struct config_sync *config_sync_start(struct daemon *daemon)
{
	struct config_sync *sync = calloc(1, sizeof(*sync));
	struct dw_ruleset_observer observer = {
		.changed = on_applied,
		.refused = on_refused,
		.data = daemon,
	};

	if (!sync)
		abort();
	sync->daemon = daemon;
	sync->started_at_us = dw_clock_now_us();
	if (daemon->settings.seeds.count > 0)
		sync->read_at_us = sync->started_at_us + STARTUP_NO_CONFIG_WAIT_US;
	dw_ruleset_set_observer(daemon->ruleset, &observer);
	return sync;
}

void config_sync_expect_revision(struct config_sync *sync, uint64_t revision)
{
	if (revision > sync->written_revision)
		sync->written_revision = revision;
	if (!sync->watch)
		sync->read_at_us = dw_clock_now_us() + OWN_WRITE_WAIT_US;
}

/* True while a starting daemon waits for peers to send the configuration. */
static bool is_waiting_for_peers(const struct config_sync *sync, uint64_t now_us)
{
	struct daemon *daemon = sync->daemon;
	uint64_t limit_us;

	if (dw_ruleset_revision(daemon->ruleset) > 0 || daemon->settings.seeds.count == 0)
		return false;
	if (find_member_ahead(daemon, 0))
		limit_us = STARTUP_PULL_WAIT_US;
	else if (!peer_bus_random_member(daemon))
		limit_us = STARTUP_DISCOVERY_WAIT_US;
	else
		limit_us = STARTUP_NO_CONFIG_WAIT_US;
	return now_us < sync->started_at_us + limit_us;
}

void config_sync_read_again(struct config_sync *sync)
{
	sync->read_again = true;
	if (sync->watch)
		dw_store_watch_cancel(sync->daemon->store, sync->watch);
	sync->watch = NULL;
}

bool config_sync_is_watcher(const struct config_sync *sync)
{
	return dw_membership_is_watcher(sync->daemon->membership,
					sync->daemon->settings.failure_domain, WATCHERS_PER_DOMAIN);
}

void config_sync_tick(struct config_sync *sync)
{
	struct daemon *daemon = sync->daemon;
	uint64_t now_us = dw_clock_now_us();
	bool watcher = config_sync_is_watcher(sync);
	bool behind = sync->written_revision > dw_ruleset_revision(daemon->ruleset);

	if (now_us >= sync->pull_at_us)
		pull_from_peer(sync);
	if (sync->watch && !watcher) {
		dw_store_watch_cancel(daemon->store, sync->watch);
		sync->watch = NULL;
	}
	if (sync->reading || now_us < sync->read_at_us || is_waiting_for_peers(sync, now_us))
		return;
	/* Until its revision has been raised, the store has only what is older, and no watch to give. */
	if (dw_ruleset_revision(daemon->ruleset) > 0 &&
	    config_return_is_behind(daemon->config_return))
		return;
	if (dw_ruleset_revision(daemon->ruleset) == 0 || (behind && !sync->watch) ||
	    (watcher && sync->read_again))
		read_store(sync);
	else if (watcher && !sync->watch)
		start_watch(sync);
}
