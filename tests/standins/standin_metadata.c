/**
 * @file standin_metadata.c
 * In-memory stand-in for the platform's metadata store: keys with revisions, conditional
 * transactions, leases, long-polling watches and a bounded history.
 *
 * Faults:
 * - outage: calls get 503, and the connections of open watches are closed
 * - silent: calls get no response and have no effect
 * - slow: calls are n ms in transit and executed after that, also if their caller has left or the store was restored
 * - late: answers are n ms in transit, with what was true when the call was executed
 * - answer_lost: a write is executed, then the connection is closed without a response
 * - watches_kept: an outage and a restore don't close the connections of open watches, which go on from their revision
 * - gone_lost: an answer 410 isn't sent
 * - stale_reads: reads that allow it are n to 2n ms old
 * - era_missing, era_unreadable, era_lower: in this way the era of an answer is wrong
 *
 * Admin calls: POST /admin/put {"key", "value"} writes a key as an operator does, /admin/delete
 * {"key"} deletes one, /admin/compact discards the history, /admin/backup keeps a copy, /admin/restore comes back from
 * it: what was written since is gone, leases too, revisions are given out again, and the era rises by one. Leases of the
 * copy run on from where they were. All answers have the era. After /admin/deafen {"names_newest"} watches get no events
 * of changes, until /admin/compact cuts them; answers at the end of a wait have the store's newest revision, or else the
 * last one of which the watches were told. /admin/era {"era"} sets the era.
 */
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <sodium.h>

#include "base/clock.h"
#include "standins/json.h"
#include "standins/kv_table.h"
#include "standins/lease_set.h"
#include "standins/standin.h"

#define MAX_PAGE_ITEMS 20
#define CALL_PREFIX "/dragonflywharf/"
#define TICK_MS 20
#define KEY_BUFFER_BYTES 256
#define FIRST_REVISION 10
#define FIRST_ERA 1

struct watch {
	struct standin_request *request;
	char prefix[KEY_BUFFER_BYTES];
	uint64_t after_revision;
	uint64_t era;
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
	struct lease_set leases;
	struct lease_set leases_of_backup;
	uint64_t backup_at_us;
	struct kv_table *older[2]; /* for stale reads, the oldest first; NULL: none yet */
	uint64_t copied_at_us;
	uv_timer_t tick;
	struct json_object *calls; /* count by the first part of the path */
};

/* An answer in transit. */
struct late_answer {
	int status;
	struct json_object *body;
};

static const char *const fault_kinds[] = { "outage",	     "silent",	    "slow",
					   "late",	     "answer_lost", "watches_kept",
					   "gone_lost",	     "stale_reads", "era_missing",
					   "era_unreadable", "era_lower",   NULL };

static struct metadata *metadata_of(const struct standin *standin)
{
	return standin->data;
}

static bool has_fault(struct standin_request *request, const char *kind)
{
	return fault_set_consume(&request->standin->faults, kind, request->path) != NULL;
}

static void add_era(struct standin_request *request)
{
	uint64_t era = metadata_of(request->standin)->era;
	char text[24];

	if (!request->exchange || has_fault(request, "era_missing"))
		return;
	if (has_fault(request, "era_lower"))
		era--;
	snprintf(text, sizeof(text), "%" PRIu64, era);
	dw_http_add_header(request->exchange, "Store-Era",
			   has_fault(request, "era_unreadable") ? "x1" : text);
}

static void on_late_end(struct standin_request *request)
{
	struct late_answer *late = request->data;

	standin_answer(request, late->status, late->body);
	free(late);
}

static void answer(struct standin_request *request, int status, struct json_object *body)
{
	const struct fault *fault =
		fault_set_consume(&request->standin->faults, "late", request->path);
	struct late_answer *late;

	add_era(request);
	if (!fault) {
		standin_answer(request, status, body);
		return;
	}
	late = malloc(sizeof(*late));
	if (!late)
		abort();
	*late = (struct late_answer){ .status = status, .body = body };
	request->data = late;
	standin_delay(request, fault->n * DW_US_PER_MS, on_late_end);
}

static void answer_error(struct standin_request *request, int status, const char *message)
{
	struct json_object *body = json_object_new_object();

	json_set_text(body, "error", message);
	answer(request, status, body);
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
		answer_error(request, 404, "key not found");
		return;
	}
	body = item_json(entry);
	set_number(body, "StoreRevision", metadata->table->revision);
	answer(request, 200, body);
}

/* Reads that allow it may be older than the newest change. */
static const struct kv_table *table_to_read(struct standin_request *request,
					    const struct metadata *metadata, const char *query)
{
	char number[8];

	query_param(query, "Serializable", number, sizeof(number));
	if (strcmp(number, "1") == 0 && metadata->older[0] && has_fault(request, "stale_reads"))
		return metadata->older[0];
	return metadata->table;
}

static void answer_range(struct standin_request *request, struct metadata *metadata,
			 const char *query)
{
	struct json_object *body = json_object_new_object();
	struct json_object *items = json_object_new_array();
	char prefix[KEY_BUFFER_BYTES];
	char after_key[KEY_BUFFER_BYTES];
	const struct kv_table *table = table_to_read(request, metadata, query);
	size_t count = 0;
	bool has_more = false;

	query_param(query, "PathPrefix", prefix, sizeof(prefix));
	query_param(query, "After", after_key, sizeof(after_key));
	for (size_t i = 0; i < table->count; i++) {
		const struct kv_entry *entry = &table->entries[i];
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
	set_number(body, "StoreRevision", table->revision);
	answer(request, 200, body);
}

/*
 * Answers a watch with the events after its revision, or with 410 if these were compacted; one that began before a
 * restore isn't asked. Without events it is answered only if @p wait_ended. @return whether it was answered
 */
static bool answer_watch(struct metadata *metadata, const struct watch *watch, bool wait_ended)
{
	struct standin_request *request = watch->request;
	uint64_t after_revision = watch->after_revision;
	const struct kv_table *table = metadata->table;
	uint64_t last = metadata->is_deaf ? metadata->told_revision : table->revision;
	struct json_object *events;
	struct json_object *body;

	if (watch->era == metadata->era &&
	    (after_revision < table->compact_revision || after_revision > table->revision)) {
		/* Without a response the caller times out, as in the fault "silent". */
		if (!has_fault(request, "gone_lost"))
			answer_error(request, 410, "no history from this revision");
		return true;
	}
	events = json_object_new_array();
	for (size_t i = kv_table_history_from(table, after_revision + 1); i < table->history_count;
	     i++) {
		if (table->history[i].mod_revision <= last &&
		    has_prefix(&table->history[i], watch->prefix))
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
	answer(request, 200, body);
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
	answer_watch(metadata, &watch, true);
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
	watch->era = metadata->era;
	query_param(query, "PathPrefix", watch->prefix, sizeof(watch->prefix));
	query_param(query, "After", number, sizeof(number));
	watch->after_revision = strtoull(number, NULL, 10);
	query_param(query, "WaitMs", number, sizeof(number));
	wait_ms = strtoull(number, NULL, 10);
	if (answer_watch(metadata, watch, wait_ms == 0)) {
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
		if (watch.request->exchange && answer_watch(metadata, &watch, false))
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

static bool leases_exist(const struct metadata *metadata, struct json_object *puts)
{
	for (size_t i = 0; puts && i < json_object_array_length(puts); i++) {
		uint64_t id = json_u64(json_object_array_get_idx(puts, i), "Lease", 0);

		if (id != 0 && !lease_set_has(&metadata->leases, id))
			return false;
	}
	return true;
}

static void answer_transaction(struct standin_request *request, struct metadata *metadata)
{
	struct json_object *items = json_object_new_array();
	struct json_object *puts = json_field(request->body, "Puts");
	struct json_object *body = json_object_new_object();

	if (!conditions_match(metadata, json_field(request->body, "ExpectedRevision"), items)) {
		json_object_object_add(body, "Items", items);
		answer(request, 412, body);
		return;
	}
	json_object_put(items);
	if (!leases_exist(metadata, puts)) {
		json_object_put(body);
		answer_error(request, 404, "no such lease");
		return;
	}
	metadata->table->revision++;
	for (size_t i = 0; puts && i < json_object_array_length(puts); i++) {
		struct json_object *put = json_object_array_get_idx(puts, i);

		put_base64(metadata, json_text(put, "Key", ""), json_text(put, "Value", ""),
			   json_u64(put, "Lease", 0));
	}
	set_number(body, "Revision", metadata->table->revision);
	if (has_fault(request, "answer_lost")) {
		json_object_put(body);
		add_era(request);
		standin_close_connection(request);
	} else {
		answer(request, 200, body);
	}
	notify_watches(metadata);
}

static void answer_lease(struct standin_request *request, struct metadata *metadata)
{
	uint64_t ttl_ms = json_u64(request->body, "TtlMs", 0);
	uint64_t id = lease_set_grant(&metadata->leases, ttl_ms * DW_US_PER_MS, dw_clock_now_us());
	struct json_object *body;

	if (id == 0) {
		answer_error(request, 429, "too many leases");
		return;
	}
	body = json_object_new_object();
	set_number(body, "Lease", id);
	set_number(body, "TtlMs", ttl_ms);
	answer(request, 200, body);
}

static uint64_t lease_in_path(const struct standin_request *request)
{
	return strtoull(strrchr(request->path, '/') + 1, NULL, 10);
}

static void answer_keep(struct standin_request *request, struct metadata *metadata)
{
	if (lease_set_renew(&metadata->leases, lease_in_path(request), dw_clock_now_us()))
		answer(request, 200, json_object_new_object());
	else
		answer_error(request, 404, "no such lease");
}

static void delete_keys_of(struct metadata *metadata, uint64_t lease)
{
	kv_table_delete_by_lease(metadata->table, lease);
	notify_watches(metadata);
}

static void answer_lease_end(struct standin_request *request, struct metadata *metadata)
{
	uint64_t lease = lease_in_path(request);

	if (!lease_set_end(&metadata->leases, lease)) {
		answer_error(request, 404, "no such lease");
		return;
	}
	answer(request, 200, json_object_new_object());
	delete_keys_of(metadata, lease);
}

/* The part of the path that names the call. */
static void call_name(const struct standin_request *request, char *out, size_t size)
{
	const char *name = request->path;

	if (strncmp(name, CALL_PREFIX, strlen(CALL_PREFIX)) == 0)
		name += strlen(CALL_PREFIX);
	snprintf(out, size, "%.*s", (int)strcspn(name, "/"), name);
}

static void execute_call(struct standin_request *request)
{
	struct metadata *metadata = metadata_of(request->standin);
	const char *query = request->exchange ? dw_http_query(request->exchange) : NULL;
	char name[KEY_BUFFER_BYTES];

	call_name(request, name, sizeof(name));
	if (!request->exchange && strcmp(request->method, "GET") == 0)
		standin_request_free(request);
	else if (strcmp(name, "kv-key") == 0)
		answer_key(request, metadata, query);
	else if (strcmp(name, "kv-range") == 0)
		answer_range(request, metadata, query);
	else if (strcmp(name, "kv-watch") == 0)
		start_watch(request, metadata, query);
	else if (strcmp(name, "kv-txn") == 0)
		answer_transaction(request, metadata);
	else if (strcmp(name, "kv-lease") == 0)
		answer_lease(request, metadata);
	else if (strcmp(name, "kv-keep") == 0)
		answer_keep(request, metadata);
	else if (strcmp(name, "kv-lease-end") == 0)
		answer_lease_end(request, metadata);
	else
		answer_error(request, 404, "unknown path");
}

static void on_request(struct standin_request *request)
{
	struct standin *standin = request->standin;
	const struct fault *slow = fault_set_consume(&standin->faults, "slow", request->path);
	char name[KEY_BUFFER_BYTES];

	call_name(request, name, sizeof(name));
	json_increment(metadata_of(standin)->calls, name, 1);
	if (has_fault(request, "silent"))
		return; /* the caller times out; the request is freed when it disconnects */
	if (has_fault(request, "outage"))
		answer_error(request, 503, "unavailable");
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

static void close_watches(struct standin *standin)
{
	struct metadata *metadata = metadata_of(standin);

	if (fault_set_find(&standin->faults, "watches_kept", ""))
		return;
	while (metadata->watches) {
		struct standin_request *request = metadata->watches->request;

		remove_watch(&metadata->watches);
		add_era(request);
		standin_close_connection(request);
	}
}

static void admin_backup(struct standin_request *request, struct metadata *metadata)
{
	kv_table_free(metadata->backup);
	metadata->backup = kv_table_backup(metadata->table);
	metadata->leases_of_backup = metadata->leases;
	metadata->backup_at_us = dw_clock_now_us();
	standin_answer(request, 200, json_object_new_object());
}

static void forget_older(struct metadata *metadata)
{
	for (size_t i = 0; i < 2; i++) {
		kv_table_free(metadata->older[i]);
		metadata->older[i] = NULL;
	}
}

static void admin_restore(struct standin_request *request, struct metadata *metadata)
{
	if (!metadata->backup) {
		standin_answer_error(request, 404, "there is no copy");
		return;
	}
	close_watches(request->standin);
	forget_older(metadata);
	kv_table_free(metadata->table);
	metadata->table = kv_table_backup(metadata->backup);
	metadata->table->compact_revision = metadata->table->revision;
	metadata->leases = metadata->leases_of_backup;
	lease_set_postpone(&metadata->leases, dw_clock_now_us() - metadata->backup_at_us);
	metadata->era++;
	standin_answer(request, 200, json_object_new_object());
}

static void admin_era(struct standin_request *request, struct metadata *metadata)
{
	metadata->era = json_u64(request->body, "era", FIRST_ERA);
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
		close_watches(request->standin);
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
	} else if (strcmp(request->path, "/admin/era") == 0) {
		admin_era(request, metadata);
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
	json_set_u64(stats, "era", metadata_of(standin)->era);
	json_set_u64(stats, "leases", metadata_of(standin)->leases.count);
}

/* An outage closes the connections of open watches. */
static void on_fault(struct standin *standin, const char *kind)
{
	if (strcmp(kind, "outage") == 0)
		close_watches(standin);
}

static void on_tick(uv_timer_t *timer)
{
	struct standin *standin = timer->data;
	struct metadata *metadata = metadata_of(standin);
	const struct fault *stale = fault_set_find(&standin->faults, "stale_reads", "");
	uint64_t now_us = dw_clock_now_us();
	uint64_t lease;

	while ((lease = lease_set_take_expired(&metadata->leases, now_us)))
		delete_keys_of(metadata, lease);
	if (!stale || now_us < metadata->copied_at_us + stale->n * DW_US_PER_MS)
		return;
	kv_table_free(metadata->older[0]);
	metadata->older[0] = metadata->older[1];
	metadata->older[1] = kv_table_backup(metadata->table);
	metadata->copied_at_us = now_us;
}

static void on_start(struct standin *standin)
{
	struct metadata *metadata = metadata_of(standin);

	uv_timer_init(standin->loop, &metadata->tick);
	metadata->tick.data = standin;
	uv_timer_start(&metadata->tick, on_tick, TICK_MS, TICK_MS);
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
		.on_start = on_start,
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
