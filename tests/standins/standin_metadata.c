/**
 * @file standin_metadata.c
 * In-memory stand-in for the platform's metadata store: keys with revisions, conditional
 * transactions, long-polling watches and a bounded history.
 *
 * Faults:
 * - outage: calls get 503, and the connections of open watches are closed
 * - silent: calls get no response and have no effect
 * - slow: calls are executed n ms late
 * - answer_lost: a write is executed, then the connection is closed without a response
 *
 * Admin calls: POST /admin/put {"key", "value"} writes a key as an operator does, /admin/delete
 * {"key"} deletes one, /admin/compact discards the history, /admin/backup keeps a copy, /admin/restore comes back from
 * it: what was written since is gone, leases too, revisions are given out again, and the era rises by one. All answers
 * have the era. After /admin/deafen {"names_newest"} watches get no events of changes, until /admin/compact cuts them;
 * answers at the end of a wait have the store's newest revision, or else the last one of which the watches were told.
 */
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <sodium.h>

#include "base/clock.h"
#include "standins/json.h"
#include "standins/kv_table.h"
#include "standins/standin.h"

#define MAX_PAGE_ITEMS 20
#define KEY_BUFFER_BYTES 256
#define FIRST_REVISION 10
#define FIRST_ERA 1

struct watch {
	struct standin_request *request;
	char prefix[KEY_BUFFER_BYTES];
	uint64_t after_revision;
	struct watch *next;
};

struct metadata {
	struct kv_table *table;
	struct kv_table *backup; /* NULL: none yet */
	uint64_t era;
	struct watch *watches;
	bool is_deaf; /* watches get no events after told_revision */
	bool names_newest; /* in answers at the end of a wait while they are */
	uint64_t told_revision; /* valid with is_deaf */
	uint64_t last_lease;
	uint64_t last_lease_of_backup;
	struct json_object *calls; /* count by the last part of the path */
};

static const char *const fault_kinds[] = { "outage", "silent", "slow", "answer_lost", NULL };

static struct metadata *metadata_of(const struct standin *standin)
{
	return standin->data;
}

static int hex_digit(char c)
{
	return c >= '0' && c <= '9' ? c - '0' : (c | 0x20) - 'a' + 10;
}

/* Decoded value of a query parameter; "" if it is missing. */
static void query_param(const char *query, const char *name, char *out, size_t size)
{
	size_t name_len = strlen(name);
	size_t len = 0;

	*out = '\0';
	while (query && *query) {
		if (strncmp(query, name, name_len) == 0 && query[name_len] == '=')
			break;
		query = strchr(query, '&');
		query = query ? query + 1 : NULL;
	}
	if (!query || !*query)
		return;
	for (query += name_len + 1; *query && *query != '&' && len + 1 < size; query++) {
		if (*query == '%' && query[1] && query[2]) {
			out[len++] = (char)(hex_digit(query[1]) * 16 + hex_digit(query[2]));
			query += 2;
		} else {
			out[len++] = *query;
		}
	}
	out[len] = '\0';
}

static bool has_prefix(const struct kv_entry *entry, const char *prefix)
{
	size_t len = strlen(prefix);

	return entry->key.len >= len && memcmp(entry->key.base, prefix, len) == 0;
}

static struct json_object *item_json(const struct kv_entry *entry)
{
	struct json_object *item = json_object_new_object();

	json_object_object_add(
		item, "Key",
		json_object_new_string_len((const char *)entry->key.base, (int)entry->key.len));
	json_set_u64(item, "Revision", entry->mod_revision);
	if (entry->deleted) {
		json_object_object_add(item, "Tombstone", json_object_new_boolean(true));
		return item;
	}
	json_set_text(item, "Value", entry->value);
	json_object_object_add(item, "CreateRevision",
			       json_object_new_int64((int64_t)entry->create_revision));
	json_object_object_add(item, "Revision",
			       json_object_new_int64((int64_t)entry->mod_revision));
	json_object_object_add(item, "Lease", json_object_new_int64((int64_t)entry->lease_id));
	return item;
}

static void set_number(struct json_object *object, const char *name, uint64_t value)
{
	json_object_object_add(object, name, json_object_new_int64((int64_t)value));
}

static struct kv_bytes key_bytes(const char *key)
{
	return (struct kv_bytes){ .base = (uint8_t *)key, .len = strlen(key) };
}

static void answer_key(struct standin_request *request, struct metadata *metadata,
		       const char *query)
{
	char key[KEY_BUFFER_BYTES];
	struct kv_bytes bytes;
	const struct kv_entry *entry;
	struct json_object *body;

	query_param(query, "Key", key, sizeof(key));
	bytes = key_bytes(key);
	entry = kv_table_find(metadata->table, &bytes);
	if (!entry) {
		standin_answer_error(request, 404, "key not found");
		return;
	}
	body = item_json(entry);
	set_number(body, "StoreRevision", metadata->table->revision);
	standin_answer(request, 200, body);
}

static void answer_range(struct standin_request *request, struct metadata *metadata,
			 const char *query)
{
	struct json_object *body = json_object_new_object();
	struct json_object *items = json_object_new_array();
	char prefix[KEY_BUFFER_BYTES];
	char after_key[KEY_BUFFER_BYTES];
	size_t count = 0;
	bool has_more = false;

	query_param(query, "PathPrefix", prefix, sizeof(prefix));
	query_param(query, "After", after_key, sizeof(after_key));
	for (size_t i = 0; i < metadata->table->count; i++) {
		const struct kv_entry *entry = &metadata->table->entries[i];
		char key[KEY_BUFFER_BYTES];

		snprintf(key, sizeof(key), "%.*s", (int)entry->key.len,
			 (const char *)entry->key.base);
		if (!has_prefix(entry, prefix) || (*after_key && strcmp(key, after_key) <= 0))
			continue;
		if (count == MAX_PAGE_ITEMS) {
			has_more = true;
			break;
		}
		json_object_array_add(items, item_json(entry));
		count++;
	}
	json_object_object_add(body, "Items", items);
	json_object_object_add(body, "HasMore", json_object_new_boolean(has_more));
	set_number(body, "StoreRevision", metadata->table->revision);
	standin_answer(request, 200, body);
}

/*
 * Answers a watch with the events after @p after_revision, or with 410 if these were compacted.
 * Without events it is answered only if @p wait_ended. @return whether it was answered
 */
static bool answer_watch(struct metadata *metadata, struct standin_request *request,
			 const char *prefix, uint64_t after_revision, bool wait_ended)
{
	const struct kv_table *table = metadata->table;
	uint64_t last = metadata->is_deaf ? metadata->told_revision : table->revision;
	struct json_object *events;
	struct json_object *body;

	if (after_revision < table->compact_revision || after_revision > table->revision) {
		standin_answer_error(request, 410, "no history from this revision");
		return true;
	}
	events = json_object_new_array();
	for (size_t i = kv_table_history_from(table, after_revision + 1); i < table->history_count;
	     i++) {
		if (table->history[i].mod_revision <= last &&
		    has_prefix(&table->history[i], prefix))
			json_object_array_add(events, item_json(&table->history[i]));
	}
	if (json_object_array_length(events) == 0 && !wait_ended) {
		json_object_put(events);
		return false;
	}
	body = json_object_new_object();
	json_object_object_add(body, "events", events);
	if (last < after_revision || metadata->names_newest)
		last = table->revision;
	set_number(body, "StoreRevision", last);
	standin_answer(request, 200, body);
	return true;
}

static struct watch **find_watch(struct metadata *metadata, const struct standin_request *request)
{
	struct watch **at = &metadata->watches;

	while (*at && (*at)->request != request)
		at = &(*at)->next;
	return at;
}

static void remove_watch(struct watch **at)
{
	struct watch *watch = *at;

	*at = watch->next;
	free(watch);
}

static void on_wait_end(struct standin_request *request)
{
	struct metadata *metadata = metadata_of(request->standin);
	struct watch **at = find_watch(metadata, request);
	struct watch watch;

	if (!*at) {
		standin_request_free(request);
		return;
	}
	watch = **at;
	remove_watch(at);
	answer_watch(metadata, request, watch.prefix, watch.after_revision, true);
}

static void start_watch(struct standin_request *request, struct metadata *metadata,
			const char *query)
{
	struct watch *watch = calloc(1, sizeof(*watch));
	char number[32];
	uint64_t wait_ms;

	if (!watch)
		abort();
	watch->request = request;
	query_param(query, "PathPrefix", watch->prefix, sizeof(watch->prefix));
	query_param(query, "After", number, sizeof(number));
	watch->after_revision = strtoull(number, NULL, 10);
	query_param(query, "WaitMs", number, sizeof(number));
	wait_ms = strtoull(number, NULL, 10);
	if (answer_watch(metadata, request, watch->prefix, watch->after_revision, wait_ms == 0)) {
		free(watch);
		return;
	}
	watch->next = metadata->watches;
	metadata->watches = watch;
	standin_delay(request, wait_ms * DW_US_PER_MS, on_wait_end);
}

/* After a write, answers the watches that it concerns. */
static void notify_watches(struct metadata *metadata)
{
	struct watch **at = &metadata->watches;

	while (*at) {
		struct watch watch = **at;

		/* A watch whose caller has disconnected is removed when its wait ends. */
		if (watch.request->exchange && answer_watch(metadata, watch.request, watch.prefix,
							    watch.after_revision, false))
			remove_watch(at);
		else
			at = &(*at)->next;
	}
}

static void put_base64(struct metadata *metadata, const char *key, const char *value,
		       uint64_t lease_id)
{
	struct kv_bytes bytes = key_bytes(key);

	kv_table_put(metadata->table, &bytes, value, lease_id, metadata->table->revision);
}

static bool conditions_match(struct metadata *metadata, struct json_object *conditions,
			     struct json_object *items)
{
	bool matches = true;

	for (size_t i = 0; conditions && i < json_object_array_length(conditions); i++) {
		struct json_object *condition = json_object_array_get_idx(conditions, i);
		struct kv_bytes key = key_bytes(json_text(condition, "Key", ""));
		const struct kv_entry *entry = kv_table_find(metadata->table, &key);

		if ((entry ? entry->mod_revision : 0) != json_u64(condition, "Revision", 0))
			matches = false;
		if (entry)
			json_object_array_add(items, item_json(entry));
	}
	return matches;
}

static void answer_transaction(struct standin_request *request, struct metadata *metadata)
{
	struct json_object *items = json_object_new_array();
	struct json_object *puts = json_field(request->body, "Puts");
	struct json_object *body = json_object_new_object();

	if (!conditions_match(metadata, json_field(request->body, "ExpectedRevision"), items)) {
		json_object_object_add(body, "Items", items);
		standin_answer(request, 412, body);
		return;
	}
	json_object_put(items);
	metadata->table->revision++;
	for (size_t i = 0; puts && i < json_object_array_length(puts); i++) {
		struct json_object *put = json_object_array_get_idx(puts, i);

		put_base64(metadata, json_text(put, "Key", ""), json_text(put, "Value", ""),
			   json_u64(put, "Lease", 0));
	}
	set_number(body, "Revision", metadata->table->revision);
	if (fault_set_consume(&request->standin->faults, "answer_lost", request->path)) {
		json_object_put(body);
		standin_close_connection(request);
	} else {
		standin_answer(request, 200, body);
	}
	notify_watches(metadata);
}

/* Leases don't expire here. */
static void answer_lease(struct standin_request *request, struct metadata *metadata)
{
	struct json_object *body = json_object_new_object();

	set_number(body, "Lease", ++metadata->last_lease);
	set_number(body, "TtlMs", json_u64(request->body, "TtlMs", 0));
	standin_answer(request, 200, body);
}

static void execute_call(struct standin_request *request)
{
	struct metadata *metadata = metadata_of(request->standin);
	const char *query = request->exchange ? dw_http_query(request->exchange) : NULL;
	const char *call_name = strrchr(request->path, '/') + 1;

	if (!request->exchange)
		standin_request_free(request);
	else if (strcmp(call_name, "kv-key") == 0)
		answer_key(request, metadata, query);
	else if (strcmp(call_name, "kv-range") == 0)
		answer_range(request, metadata, query);
	else if (strcmp(call_name, "kv-watch") == 0)
		start_watch(request, metadata, query);
	else if (strcmp(call_name, "kv-txn") == 0)
		answer_transaction(request, metadata);
	else if (strcmp(call_name, "kv-lease") == 0)
		answer_lease(request, metadata);
	else
		standin_answer_error(request, 404, "unknown path");
}

static void add_era(struct standin_request *request)
{
	char text[24];

	snprintf(text, sizeof(text), "%" PRIu64, metadata_of(request->standin)->era);
	dw_http_add_header(request->exchange, "Store-Era", text);
}

static void on_request(struct standin_request *request)
{
	struct standin *standin = request->standin;
	const struct fault *slow = fault_set_consume(&standin->faults, "slow", request->path);

	json_increment(metadata_of(standin)->calls, strrchr(request->path, '/') + 1, 1);
	add_era(request);
	if (fault_set_consume(&standin->faults, "silent", request->path))
		return; /* the caller times out; the request is freed when it disconnects */
	if (fault_set_consume(&standin->faults, "outage", request->path))
		standin_answer_error(request, 503, "unavailable");
	else if (slow)
		standin_delay(request, slow->n * DW_US_PER_MS, execute_call);
	else
		execute_call(request);
}

static void admin_put(struct standin_request *request, struct metadata *metadata)
{
	const char *value = json_text(request->body, "value", "");
	size_t size = sodium_base64_encoded_len(strlen(value), sodium_base64_VARIANT_ORIGINAL);
	char *base64 = malloc(size);

	if (!base64)
		abort();
	sodium_bin2base64(base64, size, (const unsigned char *)value, strlen(value),
			  sodium_base64_VARIANT_ORIGINAL);
	metadata->table->revision++;
	put_base64(metadata, json_text(request->body, "key", ""), base64, 0);
	free(base64);
	standin_answer(request, 200, json_object_new_object());
	notify_watches(metadata);
}

static void admin_delete(struct standin_request *request, struct metadata *metadata)
{
	struct kv_range range = { .key = key_bytes(json_text(request->body, "key", "")) };

	metadata->table->revision++;
	kv_table_delete(metadata->table, &range, metadata->table->revision);
	standin_answer(request, 200, json_object_new_object());
	notify_watches(metadata);
}

static void close_watches(struct metadata *metadata)
{
	while (metadata->watches) {
		struct standin_request *request = metadata->watches->request;

		remove_watch(&metadata->watches);
		standin_close_connection(request);
	}
}

static void admin_backup(struct standin_request *request, struct metadata *metadata)
{
	kv_table_free(metadata->backup);
	metadata->backup = kv_table_backup(metadata->table);
	metadata->last_lease_of_backup = metadata->last_lease;
	standin_answer(request, 200, json_object_new_object());
}

/* Calls that wait meanwhile are cut, so that no answer has the era of another table. */
static void admin_restore(struct standin_request *request, struct metadata *metadata)
{
	if (!metadata->backup) {
		standin_answer_error(request, 404, "there is no copy");
		return;
	}
	close_watches(metadata);
	kv_table_free(metadata->table);
	metadata->table = kv_table_backup(metadata->backup);
	metadata->table->compact_revision = metadata->table->revision;
	metadata->last_lease = metadata->last_lease_of_backup;
	metadata->era++;
	standin_answer(request, 200, json_object_new_object());
}

static void admin_deafen(struct standin_request *request, struct metadata *metadata)
{
	metadata->is_deaf = true;
	metadata->names_newest = json_u64(request->body, "names_newest", 0) != 0;
	metadata->told_revision = metadata->table->revision;
	standin_answer(request, 200, json_object_new_object());
}

static void admin_compact(struct standin_request *request, struct metadata *metadata)
{
	kv_table_compact(metadata->table, metadata->table->revision);
	if (metadata->is_deaf)
		close_watches(metadata);
	metadata->is_deaf = false;
	metadata->names_newest = false;
	standin_answer(request, 200, json_object_new_object());
}

static void on_admin(struct standin_request *request)
{
	struct metadata *metadata = metadata_of(request->standin);

	if (strcmp(request->path, "/admin/put") == 0) {
		admin_put(request, metadata);
	} else if (strcmp(request->path, "/admin/delete") == 0) {
		admin_delete(request, metadata);
	} else if (strcmp(request->path, "/admin/backup") == 0) {
		admin_backup(request, metadata);
	} else if (strcmp(request->path, "/admin/restore") == 0) {
		admin_restore(request, metadata);
	} else if (strcmp(request->path, "/admin/compact") == 0) {
		admin_compact(request, metadata);
	} else if (strcmp(request->path, "/admin/deafen") == 0) {
		admin_deafen(request, metadata);
	} else {
		standin_answer_error(request, 404, "unknown path");
	}
}

static void on_stats(struct standin *standin, struct json_object *stats)
{
	json_object_object_add(stats, "calls", json_object_get(metadata_of(standin)->calls));
	json_set_u64(stats, "revision", metadata_of(standin)->table->revision);
}

/* An outage closes the connections of open watches. */
static void on_fault(struct standin *standin, const char *kind)
{
	struct metadata *metadata = metadata_of(standin);

	if (strcmp(kind, "outage") == 0)
		close_watches(metadata);
}

int main(int argc, char **argv)
{
	static struct metadata metadata;
	struct standin standin = {
		.name = "standin_metadata",
		.purpose = "the metadata store of the platform, in memory",
		.fault_kinds = fault_kinds,
		.on_request = on_request,
		.on_admin = on_admin,
		.on_stats = on_stats,
		.on_fault = on_fault,
		.data = &metadata,
	};
	struct standin_common common;
	int rc;

	standin_common_init(&common);
	void *table[] = { common.help, common.version, common.ip, common.port, common.end };
	rc = standin_parse(&standin, &common, table, argc, argv);
	if (rc >= 0)
		return rc;
	metadata.table = kv_table_new();
	metadata.table->revision = FIRST_REVISION;
	metadata.era = FIRST_ERA;
	metadata.calls = json_object_new_object();
	return standin_run(&standin, &common);
}
