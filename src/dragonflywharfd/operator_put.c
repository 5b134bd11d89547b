#include "dragonflywharfd/operator_put.h"

#include <stdlib.h>
#include <string.h>

#include "dragonflywharfd/config_return.h"
#include "dragonflywharfd/config_sync.h"
#include "dragonflywharfd/operator_reply.h"

#define CALL_TIMEOUT_US (2 * DW_US_PER_S)
#define STORE_KEY_BYTES (DW_ENTITY_KEY_BYTES + sizeof(CONFIG_PREFIX))

struct operator_put {
	struct daemon *daemon;
	struct dw_http_exchange *exchange; /* NULL if the operator has disconnected */
	Dragonflywharf__PutRequest *request;
	char key[STORE_KEY_BYTES];
	uint64_t applied_revision; /* of this daemon when the write was sent */
	bool outcome_unknown; /* the write was sent, but its answer was lost */
};

static void on_disconnect(struct dw_http_exchange *exchange, void *data)
{
	struct operator_put *put = data;

	put->exchange = NULL;
}

static void reply(struct operator_put *put, Dragonflywharf__PutOutcome outcome, uint64_t revision,
		  const char *message)
{
	static const char *const names[] = { "done", "conflict", "unknown", "refused" };
	Dragonflywharf__PutResponse response = DRAGONFLYWHARF__PUT_RESPONSE__INIT;

	response.outcome = outcome;
	response.revision = revision;
	response.message = (char *)message;
	dw_log_event(&put->daemon->log, DW_EVENT_CONFIG_CHANGED, DW_STR("key", put->key),
		     DW_STR("outcome", names[outcome]), DW_INT("revision", revision),
		     DW_STR("change_id", put->request->change_id));
	if (outcome == DRAGONFLYWHARF__PUT_OUTCOME__PUT_DONE)
		config_sync_expect_revision(put->daemon->config_sync, revision);
	if (put->exchange)
		operator_reply(put->exchange, &response.base);
	dragonflywharf__put_request__free_unpacked(put->request, NULL);
	free(put);
}

/* True if the value in the store was written by this change. */
static bool is_own_change(const struct operator_put *put, const struct dw_store_entry *entry)
{
	Dragonflywharf__Entity *entity =
		dragonflywharf__entity__unpack(NULL, entry->value_len, entry->value);
	bool own = entity && strcmp(entity->change_id, put->request->change_id) == 0;

	if (entity)
		dragonflywharf__entity__free_unpacked(entity, NULL);
	return own;
}

static void on_read_again(const struct dw_store_range_result *result, void *data)
{
	struct operator_put *put = data;
	uint64_t revision = 0;

	if (result->status != DW_OK && result->status != DW_NOT_FOUND) {
		reply(put,
		      put->outcome_unknown ? DRAGONFLYWHARF__PUT_OUTCOME__PUT_UNKNOWN
					   : DRAGONFLYWHARF__PUT_OUTCOME__PUT_CONFLICT,
		      0, "can't read the key-value service");
		return;
	}
	if (result->count > 0)
		revision = result->entries[0].mod_revision;
	if (result->count > 0 && is_own_change(put, &result->entries[0]))
		reply(put, DRAGONFLYWHARF__PUT_OUTCOME__PUT_DONE, revision, "");
	else if (put->outcome_unknown && revision != put->request->expected_revision)
		/* Another write came later; whether ours was applied before it isn't known. */
		reply(put, DRAGONFLYWHARF__PUT_OUTCOME__PUT_UNKNOWN, revision,
		      "the key was changed again; this change may have been applied before");
	else if (put->outcome_unknown)
		reply(put, DRAGONFLYWHARF__PUT_OUTCOME__PUT_REFUSED, revision,
		      "the write was not applied; send it again");
	else
		reply(put, DRAGONFLYWHARF__PUT_OUTCOME__PUT_CONFLICT, revision,
		      "the key's revision is not the expected one");
}

static void read_again(struct operator_put *put)
{
	dw_store_get(put->daemon->store, put->key, dw_clock_now_us() + CALL_TIMEOUT_US,
		     on_read_again, put);
}

/*
 * The new revision is above the one applied before, unless the store was restored from a backup and this
 * answer is the first to show it: the change is written over, or applied if no instance has had a later one.
 */
static void on_written(struct operator_put *put, uint64_t revision)
{
	bool store_is_stale = revision <= put->applied_revision ||
			      config_return_is_behind(put->daemon->config_return);

	if (store_is_stale)
		config_sync_report_stale(put->daemon->config_sync, revision);
	reply(put,
	      store_is_stale ? DRAGONFLYWHARF__PUT_OUTCOME__PUT_UNKNOWN
			     : DRAGONFLYWHARF__PUT_OUTCOME__PUT_DONE,
	      revision,
	      store_is_stale ? "the store is older than the configuration in force; write the "
			       "change again"
			     : "");
}

static void on_put(const struct dw_store_put_result *result, void *data)
{
	struct operator_put *put = data;

	switch (result->outcome) {
	case DW_STORE_DONE:
		on_written(put, result->revision);
		break;
	case DW_STORE_UNKNOWN:
		put->outcome_unknown = true;
		read_again(put);
		break;
	case DW_STORE_CONFLICT:
		/* This change may have been written before, by a call whose answer was lost. */
		read_again(put);
		break;
	case DW_STORE_UNAVAILABLE:
		reply(put, DRAGONFLYWHARF__PUT_OUTCOME__PUT_REFUSED, 0,
		      "can't reach the key-value service; nothing was written");
		break;
	case DW_STORE_REFUSED:
	case DW_STORE_OUTCOME_COUNT:
		reply(put, DRAGONFLYWHARF__PUT_OUTCOME__PUT_REFUSED, 0,
		      "the key-value service refused the write");
		break;
	}
}

/* The store may show less than what is in force: a change of that would take back what it lacks. */
static bool is_based_on_older(const struct operator_put *put)
{
	struct dw_ruleset_item item;

	return dw_ruleset_get(put->daemon->ruleset, put->key + strlen(CONFIG_PREFIX), &item) &&
	       item.mod_revision > put->request->expected_revision;
}

static void write_entity(struct operator_put *put)
{
	Dragonflywharf__Entity *entity = put->request->entity;
	size_t len;
	uint8_t *bytes;
	struct dw_store_put call = {
		.key = put->key,
		.expected_revision = put->request->expected_revision,
		.deadline_us = dw_clock_now_us() + CALL_TIMEOUT_US,
	};

	/* An unset string points to a constant of protobuf-c, which must not be freed. */
	if (entity->change_id != protobuf_c_empty_string)
		free(entity->change_id);
	entity->change_id = strdup(put->request->change_id);
	len = dragonflywharf__entity__get_packed_size(entity);
	bytes = malloc(len + 1);
	if (!bytes || !entity->change_id)
		abort();
	dragonflywharf__entity__pack(entity, bytes);
	put->applied_revision = dw_ruleset_revision(put->daemon->ruleset);
	call.value = bytes;
	call.value_len = len;
	dw_store_put(put->daemon->store, &call, on_put, put);
	free(bytes);
}

void operator_put_start(struct daemon *daemon, struct dw_http_exchange *exchange,
			Dragonflywharf__PutRequest *request)
{
	struct operator_put *put = calloc(1, sizeof(*put));
	char key[DW_ENTITY_KEY_BYTES] = "";
	enum dw_status status;

	if (!put)
		abort();
	put->daemon = daemon;
	put->exchange = exchange;
	put->request = request;
	dw_http_on_disconnect(exchange, on_disconnect, put);
	if (!request->entity)
		status = dw_fail(DW_INVALID_ARGUMENT, "entity: is required");
	else
		status = dw_entity_check(request->entity);
	if (status == DW_OK)
		status = dw_entity_key(request->entity, key);
	snprintf(put->key, sizeof(put->key), CONFIG_PREFIX "%s", key);
	if (status == DW_OK &&
	    (request->change_id[0] == '\0' || strlen(request->change_id) > DW_CHANGE_ID_MAX_BYTES))
		status = dw_fail(DW_INVALID_ARGUMENT, "change_id: expected 1 to %d bytes",
				 DW_CHANGE_ID_MAX_BYTES);
	if (status != DW_OK) {
		dw_counters_add(&daemon->counters, DW_COUNTER_BAD_INPUTS, 1);
		reply(put, DRAGONFLYWHARF__PUT_OUTCOME__PUT_REFUSED, 0, dw_last_message());
		return;
	}
	if (config_return_is_behind(daemon->config_return))
		reply(put, DRAGONFLYWHARF__PUT_OUTCOME__PUT_REFUSED, 0,
		      "the key-value service came back from an older copy; nothing was written, "
		      "try again in some seconds");
	else if (is_based_on_older(put))
		read_again(put);
	else
		write_entity(put);
}
