#include "dragonflywharfd/roster_sync.h"

#include <stdlib.h>
#include <string.h>

#include <uthash.h>
#include <xxhash.h>

#include "dragonflywharfd/upstream_table.h"
#include "net/limiter_codec.h"
#include "port/instance_list_http.h"

#define ROSTER_KEY "wharf/roster"
#define CALL_TIMEOUT_US (1000 * DW_US_PER_MS)
#define READ_PERIOD_US (1000 * DW_US_PER_MS)
#define RETRY_US (200 * DW_US_PER_MS)
/** How long the store may have an earlier epoch than peers name; after that it has lost theirs. */
#define BEHIND_US (2 * DW_US_PER_S)
/** A leaving member stops waiting for its removal from the roster after this time. */
#define LEAVE_TIMEOUT_US (3 * DW_US_PER_S)

/* State of one instance in the platform's instance list. */
struct listed_instance {
	char name[DW_INSTANCE_NAME_BYTES];
	uint64_t unlisted_since_us; /* UINT64_MAX while it is listed */
	bool leaving;
	uint64_t last_read; /* value of `reads` at the last read that listed it */
	UT_hash_handle hh;
};

struct roster_sync {
	struct daemon *daemon;
	struct dw_roster roster;
	uint64_t revision; /* modification revision of ROSTER_KEY, for compare-and-swap */
	struct listed_instance *listed;
	struct dw_roster_list_state list;
	uint64_t reads; /* successful reads of the instance list */
	uint64_t read_at_us; /* when ROSTER_KEY is read next */
	uint64_t
		behind_since_us; /* since when peers name a later epoch than the store; 0: they don't */
	uint64_t behind_read_at_us;
	uint64_t leave_deadline_us;
	bool calling; /* a call to the store is in progress */
	bool leaving;
	bool left;
};

static struct listed_instance *find_listed(const struct roster_sync *sync, const char *name)
{
	struct listed_instance *listed;

	HASH_FIND(hh, sync->listed, name, strlen(name), listed);
	return listed;
}

static void update_listed(struct roster_sync *sync, const struct dw_instance *instance)
{
	struct listed_instance *listed = find_listed(sync, instance->name);

	if (!listed) {
		listed = calloc(1, sizeof(*listed));
		if (!listed)
			abort();
		snprintf(listed->name, sizeof(listed->name), "%s", instance->name);
		HASH_ADD_KEYPTR(hh, sync->listed, listed->name, strlen(listed->name), listed);
	}
	listed->unlisted_since_us = UINT64_MAX;
	listed->leaving = instance->state == DW_INSTANCE_LEAVING;
	listed->last_read = sync->reads;
}

static void on_list(struct dw_instance_list *list, enum dw_status status, void *data)
{
	struct roster_sync *sync = data;
	const struct dw_instance_snapshot *snapshot;
	struct listed_instance *listed;
	struct listed_instance *next;

	if (status != DW_OK)
		return;
	snapshot = dw_instance_list_snapshot(list);
	sync->reads++;
	for (size_t i = 0; i < snapshot->count; i++)
		update_listed(sync, &snapshot->instances[i]);
	HASH_ITER(hh, sync->listed, listed, next) {
		if (listed->last_read != sync->reads && listed->unlisted_since_us == UINT64_MAX)
			listed->unlisted_since_us = snapshot->sent_us;
	}
	sync->list.read_at_us = snapshot->sent_us;
	sync->list.listed_count = (uint32_t)snapshot->count;
	upstream_table_refresh(sync->daemon->upstreams);
	daemon_pump(sync->daemon);
}

bool roster_sync_is_listed_leaving(const struct roster_sync *sync, const char *name)
{
	const struct listed_instance *listed = find_listed(sync, name);

	return listed && (listed->leaving || listed->unlisted_since_us != UINT64_MAX);
}

/* A leaving member keeps its place until it has released its slots, and isn't added again. */
static enum dw_roster_condition to_roster_condition(enum dw_member_state state)
{
	static const enum dw_roster_condition conditions[DW_MEMBER_STATE_COUNT] = {
		[DW_MEMBER_ALIVE] = DW_ROSTER_ALIVE,
		[DW_MEMBER_LEAVING] = DW_ROSTER_UNREACHABLE,
		[DW_MEMBER_SUSPECT] = DW_ROSTER_UNREACHABLE,
		[DW_MEMBER_DEAD] = DW_ROSTER_DEAD,
	};

	return conditions[state];
}

static uint32_t observe(struct roster_sync *sync, struct dw_roster_observation *observations,
			uint32_t max)
{
	struct daemon *daemon = sync->daemon;
	uint32_t count = 0;

	for (size_t i = 0; i < dw_membership_count(daemon->membership) && count < max; i++) {
		const struct dw_member *member = dw_membership_at(daemon->membership, i);
		const struct listed_instance *listed = find_listed(sync, member->name);
		struct dw_roster_observation *observation = &observations[count++];
		bool is_self = dw_member_key_equal(member->key, daemon->key);

		memset(observation, 0, sizeof(*observation));
		observation->member.key = member->key;
		snprintf(observation->member.name, sizeof(observation->member.name), "%s",
			 member->name);
		observation->condition = to_roster_condition(member->state);
		/*
		 * An instance adds only itself. A peer that doesn't know yet that an instance has
		 * left would add it again, and the slots of that instance would be idle until it
		 * has been unlisted for long enough.
		 */
		if (observation->condition == DW_ROSTER_ALIVE &&
		    dw_roster_find_instance(&sync->roster, member->key.instance_id) < 0)
			observation->condition = DW_ROSTER_UNREACHABLE;
		if (is_self)
			observation->condition =
				sync->leaving ? DW_ROSTER_RELEASED : DW_ROSTER_ALIVE;
		observation->was_listed = listed != NULL;
		observation->unlisted_since_us = listed ? listed->unlisted_since_us : UINT64_MAX;
	}
	return count;
}

static void apply_roster(struct roster_sync *sync, const struct dw_roster *roster,
			 uint64_t revision)
{
	struct daemon *daemon = sync->daemon;

	sync->revision = revision;
	if (roster->epoch <= sync->roster.epoch)
		return;
	if (dw_limiter_set_roster(daemon->limiter, roster, dw_clock_now_us()) != DW_OK) {
		dw_log_event(&daemon->log, DW_EVENT_CONFIG_REFUSED, DW_STR("key", ROSTER_KEY),
			     DW_STR("message", dw_last_message()));
		return;
	}
	sync->roster = *roster;
	dw_log_event(&daemon->log, DW_EVENT_ROSTER_CHANGED, DW_INT("epoch", roster->epoch),
		     DW_INT("members", roster->member_count));
	if (sync->leaving && dw_roster_find(roster, daemon->key) < 0)
		sync->left = true;
}

static void propose(struct roster_sync *sync, const struct dw_roster *current, bool always);

/*
 * Proposes the roster that follows the stored one. A stored one that isn't the one in force here, nor later, is of
 * another history than this instance's: the store came back from an older copy, and others may have joined since. Both
 * are merged then, under an epoch that neither has used.
 */
static void follow_roster(struct roster_sync *sync, const struct dw_roster *stored)
{
	static struct dw_roster merged;
	uint64_t epoch_seen = dw_limiter_epoch_seen(sync->daemon->limiter);
	bool same = stored->epoch == sync->roster.epoch &&
		    dw_roster_digest(stored) == dw_roster_digest(&sync->roster);
	bool lost = epoch_seen > stored->epoch && sync->behind_since_us != 0 &&
		    dw_clock_now_us() >= sync->behind_since_us + BEHIND_US;

	if (same && !lost)
		propose(sync, &sync->roster, false);
	else if (dw_roster_merge(&sync->roster, stored, epoch_seen, &merged) == DW_OK)
		propose(sync, &merged, true);
}

static void on_read(const struct dw_store_range_result *result, void *data)
{
	struct roster_sync *sync = data;
	msgpack_unpacked value;
	static struct dw_roster roster;
	size_t used = 0;

	bool readable = false;

	sync->calling = false;
	sync->read_at_us = dw_clock_now_us() + READ_PERIOD_US;
	if (result->status == DW_NOT_FOUND) {
		sync->revision = 0;
		roster = (struct dw_roster){ 0 };
		readable = true;
	} else if (result->status == DW_OK) {
		const struct dw_store_entry *entry = &result->entries[0];

		msgpack_unpacked_init(&value);
		if (msgpack_unpack_next(&value, (const char *)entry->value, entry->value_len,
					&used) == MSGPACK_UNPACK_SUCCESS &&
		    dw_roster_unpack(&value.data, &roster) == DW_OK) {
			readable = true;
			apply_roster(sync, &roster, entry->mod_revision);
		}
		msgpack_unpacked_destroy(&value);
	} else {
		sync->read_at_us = dw_clock_now_us() + RETRY_US;
		return;
	}
	if (readable)
		follow_roster(sync, &roster);
	daemon_pump(sync->daemon);
}

static void read_roster(struct roster_sync *sync)
{
	sync->calling = true;
	dw_store_get(sync->daemon->store, ROSTER_KEY, dw_clock_now_us() + CALL_TIMEOUT_US, on_read,
		     sync);
}

static void on_proposed(const struct dw_store_put_result *result, void *data)
{
	struct roster_sync *sync = data;

	/* Whatever the outcome, the value in the store is authoritative, so it is read again. */
	sync->calling = false;
	sync->read_at_us = result->outcome == DW_STORE_DONE ? 0 : dw_clock_now_us() + RETRY_US;
	if (result->outcome == DW_STORE_DONE)
		read_roster(sync);
}

/* With @p always, also if the members stay as they are. */
static void propose(struct roster_sync *sync, const struct dw_roster *current, bool always)
{
	static struct dw_roster_observation observations[DW_ROSTER_MEMBERS_MAX];
	static struct dw_roster next;
	enum dw_status status;
	uint32_t count;
	msgpack_sbuffer bytes;
	msgpack_packer packer;
	struct dw_store_put put = {
		.key = ROSTER_KEY,
		.expected_revision = sync->revision,
		.deadline_us = dw_clock_now_us() + CALL_TIMEOUT_US,
	};

	if (sync->left || sync->calling)
		return;
	count = observe(sync, observations, DW_ROSTER_MEMBERS_MAX);
	status = dw_roster_propose(current, observations, count, &sync->list, dw_clock_now_us(),
				   &next);
	if (status == DW_NOT_FOUND && always) {
		next = *current;
		next.epoch++;
		status = dw_roster_check(&next);
	}
	if (status != DW_OK)
		return;
	msgpack_sbuffer_init(&bytes);
	msgpack_packer_init(&packer, &bytes, msgpack_sbuffer_write);
	dw_roster_pack(&packer, &next);
	put.value = (const uint8_t *)bytes.data;
	put.value_len = bytes.size;
	sync->calling = true;
	dw_store_put(sync->daemon->store, &put, on_proposed, sync);
	msgpack_sbuffer_destroy(&bytes);
}

struct roster_sync *roster_sync_start(struct daemon *daemon)
{
	struct roster_sync *sync = calloc(1, sizeof(*sync));
	struct dw_instance_list_options options = {
		.period_us = daemon->settings.list_period_ms * DW_US_PER_MS,
		.read_timeout_us = CALL_TIMEOUT_US,
		.on_read = on_list,
		.data = sync,
	};

	if (!sync)
		abort();
	sync->daemon = daemon;
	if (daemon->settings.instance_list.port != 0)
		daemon->instance_list = dw_instance_list_http_new(
			&daemon->loop, daemon->client, daemon->settings.instance_list.ip,
			daemon->settings.instance_list.port, &options);
	return sync;
}

void roster_sync_tick(struct roster_sync *sync)
{
	uint64_t now_us = dw_clock_now_us();
	bool behind = dw_limiter_epoch_seen(sync->daemon->limiter) > sync->roster.epoch;

	if (sync->leaving && now_us >= sync->leave_deadline_us)
		sync->left = true;
	if (!behind)
		sync->behind_since_us = 0;
	else if (sync->behind_since_us == 0)
		sync->behind_since_us = now_us;
	/* At once when peers name a later epoch, and then not more often than after a failure. */
	if (behind && sync->behind_since_us != now_us && now_us < sync->behind_read_at_us)
		behind = false;
	if (behind)
		sync->behind_read_at_us = now_us + RETRY_US;
	if (!sync->calling && (behind || now_us >= sync->read_at_us))
		read_roster(sync);
}

void roster_sync_leave(struct roster_sync *sync)
{
	if (sync->leaving)
		return;
	sync->leaving = true;
	sync->leave_deadline_us = dw_clock_now_us() + LEAVE_TIMEOUT_US;
	sync->read_at_us = 0;
}

bool roster_sync_is_member(const struct roster_sync *sync)
{
	return dw_roster_find(&sync->roster, sync->daemon->key) >= 0;
}

bool roster_sync_has_left(const struct roster_sync *sync)
{
	return sync->left;
}
