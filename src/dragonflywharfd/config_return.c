#include "dragonflywharfd/config_return.h"

#include <stdlib.h>
#include <string.h>

#include "dragonflywharfd/config_sync.h"

#define CALL_TIMEOUT_US (2 * DW_US_PER_S)
#define RETRY_US (300 * DW_US_PER_MS)
/** Its changes raise the store's revision. */
#define RAISE_KEY "wharf/raise"
/** Writes in a row within one tick, which bounds the rate of all writes of this module. */
#define WRITES_PER_TICK 4U
/** How long peers have to tell what they have in force, before anything of it is written again. */
#define LEARN_US (2 * DW_US_PER_S)
/** The other watchers check after this time that nothing is missing. */
#define CHECK_US (10 * DW_US_PER_S)
/** How long after the revision was raised absent keys are kept. */
#define KEEP_ABSENT_US (60 * DW_US_PER_S)
/** Those that raise the revision if the first one doesn't, as it may be cut off from the store, start this far apart. */
#define TURN_US (3 * DW_US_PER_S)

enum step {
	STEP_NONE,
	STEP_RAISE, /* the store's revision is at or below one in force */
	STEP_WRITE, /* above it; it may lack some of the configuration */
};

struct config_return {
	struct daemon *daemon;
	enum step step;
	bool calling;
	uint64_t at_us; /* earliest time of the next call */
	uint64_t raise_at_us; /* until then another instance raises the revision */
	uint64_t restored_at_us;
	uint64_t keep_absent_until_us;
	uint64_t raise_revision; /* of RAISE_KEY, for compare-and-swap */
	uint32_t writes; /* in this tick */
	uint32_t written; /* keys, since the restore */
};

/* What the store lacks, as found by one reading. */
struct pass {
	struct config_return *self;
	const struct dw_store_range_result *store;
	struct dw_store_put put; /* of the first key that is missing; none if its key is NULL */
	char key[DW_ENTITY_KEY_BYTES + sizeof(CONFIG_PREFIX)];
};

struct config_return *config_return_new(struct daemon *daemon)
{
	struct config_return *self = calloc(1, sizeof(*self));

	if (!self)
		abort();
	self->daemon = daemon;
	return self;
}

bool config_return_is_behind(const struct config_return *self)
{
	return self->step == STEP_RAISE;
}

bool config_return_keeps_absent(const struct config_return *self)
{
	return self->step == STEP_RAISE || dw_clock_now_us() < self->keep_absent_until_us;
}

void config_return_store_restored(struct config_return *self)
{
	self->step = STEP_RAISE;
	self->restored_at_us = dw_clock_now_us();
	self->at_us = self->restored_at_us;
	self->raise_at_us = 0;
	self->raise_revision = 0;
	self->written = 0;
}

/* The highest revision in force at this instance or, as far as it knows, at another. */
static uint64_t highest_in_force(const struct daemon *daemon)
{
	uint64_t highest = dw_ruleset_revision(daemon->ruleset);

	for (size_t i = 0; i < dw_membership_count(daemon->membership); i++) {
		const struct dw_member *member = dw_membership_at(daemon->membership, i);

		if (member->state != DW_MEMBER_DEAD && member->applied_revision > highest)
			highest = member->applied_revision;
	}
	return highest;
}

/* Live instances whose turn is before this one's. */
static uint32_t writers_before(const struct daemon *daemon)
{
	uint32_t count = 0;

	for (size_t i = 0; i < dw_membership_count(daemon->membership); i++) {
		const struct dw_member *member = dw_membership_at(daemon->membership, i);

		count += member->state == DW_MEMBER_ALIVE &&
			 member->key.instance_id < daemon->key.instance_id;
	}
	return count;
}

/* One instance does the work; if views differ, several may, as each write is conditional. */
static bool is_writer(const struct daemon *daemon)
{
	return writers_before(daemon) == 0;
}

static bool may_raise(const struct config_return *self)
{
	uint64_t now_us = dw_clock_now_us();

	return now_us >= self->raise_at_us &&
	       now_us >= self->restored_at_us + writers_before(self->daemon) * TURN_US;
}

/* The later its turn, the more rarely an instance tries, as all may be waiting while one writes. */
static void leave_to_other_writer(struct config_return *self)
{
	self->raise_at_us = dw_clock_now_us() + (1 + writers_before(self->daemon)) * TURN_US;
}

static void proceed(struct config_return *self);

static void on_put(const struct dw_store_put_result *result, void *data)
{
	struct config_return *self = data;
	bool conflict = result->outcome == DW_STORE_CONFLICT;

	self->calling = false;
	if (conflict && self->raise_revision != 0)
		leave_to_other_writer(self);
	if (result->outcome == DW_STORE_DONE || conflict) {
		self->raise_revision = result->revision;
	} else {
		/* It may have been written: the next conflict tells of no other writer. */
		self->raise_revision = 0;
		self->at_us = dw_clock_now_us() + RETRY_US;
	}
	proceed(self);
}

static void write_filler(struct config_return *self)
{
	struct dw_store_put put = {
		.key = RAISE_KEY,
		.value = (const uint8_t *)"",
		.expected_revision = self->raise_revision,
		.deadline_us = dw_clock_now_us() + CALL_TIMEOUT_US,
	};

	self->calling = true;
	self->writes++;
	dw_store_put(self->daemon->store, &put, on_put, self);
}

static int compare_key(const void *key, const void *entry)
{
	return strcmp(key, ((const struct dw_store_entry *)entry)->key);
}

static void check_item(const struct dw_ruleset_item *item, void *data)
{
	struct pass *pass = data;
	char key[sizeof(pass->key)];
	const struct dw_store_entry *entry;

	if (pass->put.key)
		return;
	snprintf(key, sizeof(key), CONFIG_PREFIX "%s", item->key);
	entry = bsearch(key, pass->store->entries, pass->store->count,
			sizeof(*pass->store->entries), compare_key);
	if (entry && entry->mod_revision >= item->mod_revision)
		return;
	memcpy(pass->key, key, sizeof(key));
	pass->put.key = pass->key;
	pass->put.value = item->bytes;
	pass->put.value_len = item->len;
	pass->put.expected_revision = entry ? entry->mod_revision : 0;
}

static void on_written_again(const struct dw_store_put_result *result, void *data)
{
	struct config_return *self = data;

	self->calling = false;
	self->written += result->outcome == DW_STORE_DONE;
	if (result->outcome != DW_STORE_DONE)
		self->at_us = dw_clock_now_us() + RETRY_US;
	proceed(self);
}

static void on_read(const struct dw_store_range_result *result, void *data)
{
	struct config_return *self = data;
	struct pass pass = { .self = self, .store = result };

	self->calling = false;
	/* A restore that this answer has shown starts over. */
	if (self->step != STEP_WRITE)
		return;
	if (result->status != DW_OK) {
		self->at_us = dw_clock_now_us() + RETRY_US;
		return;
	}
	dw_ruleset_visit_prefix(self->daemon->ruleset, "", check_item, &pass);
	if (!pass.put.key) {
		dw_log_event(&self->daemon->log, DW_EVENT_CONFIG_RETURNED,
			     DW_INT("revision", result->revision),
			     DW_INT("written", self->written));
		self->step = STEP_NONE;
		return;
	}
	pass.put.deadline_us = dw_clock_now_us() + CALL_TIMEOUT_US;
	self->calling = true;
	self->writes++;
	dw_store_put(self->daemon->store, &pass.put, on_written_again, self);
}

static void read_store(struct config_return *self)
{
	self->calling = true;
	dw_store_range(self->daemon->store, CONFIG_PREFIX, 0, dw_clock_now_us() + CALL_TIMEOUT_US,
		       on_read, self);
}

static void finish_raise(struct config_return *self, bool writer)
{
	uint64_t now_us = dw_clock_now_us();
	uint64_t learnt_us = self->restored_at_us + LEARN_US;

	self->step = STEP_WRITE;
	self->keep_absent_until_us = now_us + KEEP_ABSENT_US;
	self->at_us = writer ? (now_us > learnt_us ? now_us : learnt_us) : now_us + CHECK_US;
	config_sync_read_again(self->daemon->config_sync);
}

static void proceed(struct config_return *self)
{
	struct daemon *daemon = self->daemon;
	bool writer = is_writer(daemon);

	if (self->step == STEP_NONE || self->calling || self->writes >= WRITES_PER_TICK ||
	    dw_clock_now_us() < self->at_us)
		return;
	if (self->step == STEP_RAISE && daemon->store->revision > highest_in_force(daemon))
		finish_raise(self, writer);
	else if (self->step == STEP_RAISE && may_raise(self))
		write_filler(self);
	else if (self->step == STEP_WRITE && !writer &&
		 !config_sync_is_watcher(daemon->config_sync))
		self->step = STEP_NONE;
	else if (self->step == STEP_WRITE && dw_ruleset_revision(daemon->ruleset) > 0)
		read_store(self);
}

void config_return_tick(struct config_return *self)
{
	self->writes = 0;
	proceed(self);
}
