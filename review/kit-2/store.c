#include "store.h"

#include <inttypes.h>
#include <pthread.h>
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include <json-c/json.h>

#include "harness.h"

#define ITEMS_MAX 256
#define EVENTS_MAX 4096
#define KEY_BYTES 208
#define MS_PER_S 1000
#define NS_PER_MS 1000000

struct item {
	char key[KEY_BYTES];
	char *value; /* in base64 */
	uint64_t revision;
	uint64_t create_revision;
	uint64_t lease;
};

struct event {
	char key[KEY_BYTES];
	char *value; /* in base64; NULL: removed */
	uint64_t revision;
	uint64_t create_revision;
};

static struct item items[ITEMS_MAX];
static size_t item_count;
static struct event events[EVENTS_MAX];
static size_t event_count;
static uint64_t revision = 100;
static uint64_t last_lease = 1000;
static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static pthread_cond_t changed = PTHREAD_COND_INITIALIZER;

static char *copy(const char *text)
{
	char *result = strdup(text);

	if (!result)
		abort();
	return result;
}

static char *base64(const char *text)
{
	static const char digits[] =
		"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
	size_t len = strlen(text);
	char *out = calloc(1, (len + 2) / 3 * 4 + 1);
	size_t used = 0;

	if (!out)
		abort();
	for (size_t i = 0; i < len; i += 3) {
		uint32_t bits = (uint32_t)(unsigned char)text[i] << 16;

		bits |= i + 1 < len ? (uint32_t)(unsigned char)text[i + 1] << 8 : 0;
		bits |= i + 2 < len ? (uint32_t)(unsigned char)text[i + 2] : 0;
		out[used++] = digits[bits >> 18 & 63];
		out[used++] = digits[bits >> 12 & 63];
		out[used++] = i + 1 < len ? digits[bits >> 6 & 63] : '=';
		out[used++] = i + 2 < len ? digits[bits & 63] : '=';
	}
	return out;
}

static struct item *find(const char *key)
{
	for (size_t i = 0; i < item_count; i++) {
		if (strcmp(items[i].key, key) == 0)
			return &items[i];
	}
	return NULL;
}

static void add_event(const struct item *item, bool is_removed)
{
	struct event *event = &events[event_count++];

	if (event_count == EVENTS_MAX)
		abort();
	snprintf(event->key, sizeof(event->key), "%s", item->key);
	event->value = is_removed ? NULL : copy(item->value);
	event->revision = revision;
	event->create_revision = item->create_revision;
}

/* With the lock held, within the current revision. */
static void put(const char *key, const char *value, uint64_t lease)
{
	struct item *item = find(key);

	if (!item) {
		if (item_count == ITEMS_MAX)
			abort();
		item = &items[item_count++];
		memset(item, 0, sizeof(*item));
		snprintf(item->key, sizeof(item->key), "%s", key);
		item->create_revision = revision;
	}
	free(item->value);
	item->value = copy(value);
	item->revision = revision;
	item->lease = lease;
	add_event(item, false);
}

static void remove_key(const char *key)
{
	struct item *item = find(key);

	if (!item)
		return;
	add_event(item, true);
	free(item->value);
	*item = items[--item_count];
}

void store_put(const char *key, const char *value)
{
	char *encoded = base64(value);

	pthread_mutex_lock(&lock);
	revision++;
	put(key, encoded, 0);
	pthread_cond_broadcast(&changed);
	pthread_mutex_unlock(&lock);
	free(encoded);
	record("store: %s is written and acknowledged", key);
}

void store_remove(const char *key)
{
	pthread_mutex_lock(&lock);
	revision++;
	remove_key(key);
	pthread_cond_broadcast(&changed);
	pthread_mutex_unlock(&lock);
	record("store: %s is removed", key);
}

static struct json_object *item_json(const struct item *item)
{
	struct json_object *json = json_object_new_object();

	json_object_object_add(json, "Key", json_object_new_string(item->key));
	json_object_object_add(json, "Value", json_object_new_string(item->value));
	json_object_object_add(json, "Revision", json_object_new_uint64(item->revision));
	json_object_object_add(json, "CreateRevision",
			       json_object_new_uint64(item->create_revision));
	json_object_object_add(json, "Lease", json_object_new_uint64(item->lease));
	return json;
}

static struct json_object *event_json(const struct event *event)
{
	struct json_object *json = json_object_new_object();

	json_object_object_add(json, "Key", json_object_new_string(event->key));
	json_object_object_add(json, "Revision", json_object_new_uint64(event->revision));
	if (!event->value) {
		json_object_object_add(json, "Tombstone", json_object_new_boolean(true));
		return json;
	}
	json_object_object_add(json, "Value", json_object_new_string(event->value));
	json_object_object_add(json, "CreateRevision",
			       json_object_new_uint64(event->create_revision));
	json_object_object_add(json, "Lease", json_object_new_uint64(0));
	return json;
}

/* Sends and frees an answer. */
static bool answer_json(int fd, int status, struct json_object *json)
{
	bool is_sent =
		send_json(fd, status, json_object_to_json_string_ext(json, JSON_C_TO_STRING_PLAIN));

	json_object_put(json);
	return is_sent;
}

static bool answer_key(int fd, const struct message *request)
{
	struct json_object *json = NULL;
	char key[KEY_BYTES] = "";

	message_parameter(request, "Key", key, sizeof(key));
	pthread_mutex_lock(&lock);
	if (find(key)) {
		json = item_json(find(key));
		json_object_object_add(json, "StoreRevision", json_object_new_uint64(revision));
	}
	pthread_mutex_unlock(&lock);
	return json ? answer_json(fd, 200, json) : send_json(fd, 404, "{}");
}

static int compare_items(const void *a, const void *b)
{
	return strcmp(((const struct item *)a)->key, ((const struct item *)b)->key);
}

static bool answer_range(int fd, const struct message *request)
{
	struct json_object *json = json_object_new_object();
	struct json_object *array = json_object_new_array();
	char prefix[KEY_BYTES] = "";
	char after[KEY_BYTES] = "";

	message_parameter(request, "PathPrefix", prefix, sizeof(prefix));
	message_parameter(request, "After", after, sizeof(after));
	pthread_mutex_lock(&lock);
	qsort(items, item_count, sizeof(items[0]), compare_items);
	for (size_t i = 0; i < item_count; i++) {
		if (strncmp(items[i].key, prefix, strlen(prefix)) == 0 &&
		    strcmp(items[i].key, after) > 0)
			json_object_array_add(array, item_json(&items[i]));
	}
	json_object_object_add(json, "StoreRevision", json_object_new_uint64(revision));
	pthread_mutex_unlock(&lock);
	json_object_object_add(json, "Items", array);
	json_object_object_add(json, "HasMore", json_object_new_boolean(false));
	return answer_json(fd, 200, json);
}

/* With the lock held. */
static struct json_object *events_after(const char *prefix, uint64_t after)
{
	struct json_object *array = json_object_new_array();

	for (size_t i = 0; i < event_count; i++) {
		if (events[i].revision > after &&
		    strncmp(events[i].key, prefix, strlen(prefix)) == 0)
			json_object_array_add(array, event_json(&events[i]));
	}
	return array;
}

static bool answer_watch(int fd, const struct message *request)
{
	struct json_object *json = json_object_new_object();
	struct json_object *array;
	char prefix[KEY_BYTES] = "";
	char number[32] = "0";
	struct timespec end;
	uint64_t after;
	uint64_t wait_ms;

	message_parameter(request, "PathPrefix", prefix, sizeof(prefix));
	message_parameter(request, "After", number, sizeof(number));
	after = strtoull(number, NULL, 10);
	snprintf(number, sizeof(number), "0");
	message_parameter(request, "WaitMs", number, sizeof(number));
	wait_ms = strtoull(number, NULL, 10);
	clock_gettime(CLOCK_REALTIME, &end);
	end.tv_sec += (time_t)(wait_ms / MS_PER_S);
	end.tv_nsec += (long)(wait_ms % MS_PER_S) * NS_PER_MS;
	if (end.tv_nsec >= MS_PER_S * NS_PER_MS) {
		end.tv_nsec -= MS_PER_S * NS_PER_MS;
		end.tv_sec++;
	}
	pthread_mutex_lock(&lock);
	array = events_after(prefix, after);
	while (json_object_array_length(array) == 0 &&
	       pthread_cond_timedwait(&changed, &lock, &end) == 0) {
		json_object_put(array);
		array = events_after(prefix, after);
	}
	json_object_object_add(json, "StoreRevision", json_object_new_uint64(revision));
	pthread_mutex_unlock(&lock);
	json_object_object_add(json, "events", array);
	return answer_json(fd, 200, json);
}

static const char *text_of(struct json_object *json, const char *name)
{
	const char *text = json_object_get_string(json_object_object_get(json, name));

	return text ? text : "";
}

static uint64_t number_of(struct json_object *json, const char *name)
{
	return json_object_get_uint64(json_object_object_get(json, name));
}

/* With the lock held. */
static bool conditions_hold(struct json_object *conditions)
{
	for (size_t i = 0; i < json_object_array_length(conditions); i++) {
		struct json_object *condition = json_object_array_get_idx(conditions, i);
		const struct item *item = find(text_of(condition, "Key"));

		if ((item ? item->revision : 0) != number_of(condition, "Revision"))
			return false;
	}
	return true;
}

static struct json_object *conflict_json(struct json_object *conditions)
{
	struct json_object *json = json_object_new_object();
	struct json_object *array = json_object_new_array();

	for (size_t i = 0; i < json_object_array_length(conditions); i++) {
		const struct item *item =
			find(text_of(json_object_array_get_idx(conditions, i), "Key"));

		if (item)
			json_object_array_add(array, item_json(item));
	}
	json_object_object_add(json, "Items", array);
	return json;
}

static void apply(struct json_object *root)
{
	struct json_object *puts = json_object_object_get(root, "Puts");
	struct json_object *removed = json_object_object_get(root, "Remove");

	revision++;
	for (size_t i = 0; puts && i < json_object_array_length(puts); i++) {
		struct json_object *entry = json_object_array_get_idx(puts, i);

		put(text_of(entry, "Key"), text_of(entry, "Value"), number_of(entry, "Lease"));
	}
	for (size_t i = 0; removed && i < json_object_array_length(removed); i++)
		remove_key(json_object_get_string(json_object_array_get_idx(removed, i)));
	pthread_cond_broadcast(&changed);
}

static bool answer_transaction(int fd, const struct message *request)
{
	struct json_object *root = json_tokener_parse(request->body);
	struct json_object *conditions = json_object_object_get(root, "ExpectedRevision");
	struct json_object *json;
	int status = 200;

	if (!root || !conditions)
		return send_json(fd, 400, "{}");
	pthread_mutex_lock(&lock);
	if (conditions_hold(conditions)) {
		apply(root);
		json = json_object_new_object();
		json_object_object_add(json, "Revision", json_object_new_uint64(revision));
	} else {
		json = conflict_json(conditions);
		status = 412;
	}
	pthread_mutex_unlock(&lock);
	json_object_put(root);
	return answer_json(fd, status, json);
}

static bool answer_lease(int fd, const struct message *request)
{
	struct json_object *root = json_tokener_parse(request->body);
	uint64_t ttl_ms = root ? number_of(root, "TtlMs") : 0;
	char text[96];

	json_object_put(root);
	pthread_mutex_lock(&lock);
	snprintf(text, sizeof(text), "{\"Lease\":%" PRIu64 ",\"TtlMs\":%" PRIu64 "}", ++last_lease,
		 ttl_ms);
	pthread_mutex_unlock(&lock);
	return send_json(fd, 200, text);
}

static bool starts_with(const char *text, const char *prefix)
{
	return strncmp(text, prefix, strlen(prefix)) == 0;
}

static bool answer(int fd, const struct message *request)
{
	const char *target = request->target;

	if (starts_with(target, "/dragonflywharf/kv-key"))
		return answer_key(fd, request);
	if (starts_with(target, "/dragonflywharf/kv-range"))
		return answer_range(fd, request);
	if (starts_with(target, "/dragonflywharf/kv-watch"))
		return answer_watch(fd, request);
	if (starts_with(target, "/dragonflywharf/kv-txn"))
		return answer_transaction(fd, request);
	if (starts_with(target, "/dragonflywharf/kv-lease-end/"))
		return send_json(fd, 200, "{}");
	if (starts_with(target, "/dragonflywharf/kv-lease"))
		return answer_lease(fd, request);
	if (starts_with(target, "/dragonflywharf/kv-keep/"))
		return send_json(fd, 200, "{\"TtlMs\":60000}");
	return send_json(fd, 404, "{}");
}

static void serve(int fd, void *context)
{
	struct input input = { .fd = fd };
	struct message request;
	bool is_open = true;

	while (is_open && message_read(&input, false, &request) == MESSAGE_COMPLETE) {
		is_open = answer(fd, &request);
		message_free(&request);
	}
	free(input.data);
}

uint16_t store_start(void)
{
	return server_start(serve, NULL);
}
