#include "port/etcd_json.h"

#include <errno.h>
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <json-c/json.h>
#include <sodium.h>

#define BASE64 sodium_base64_VARIANT_ORIGINAL
#define MAX_JSON_DEPTH 16

static void add_bytes(struct json_object *object, const char *field, const void *bytes, size_t len)
{
	size_t size = sodium_base64_ENCODED_LEN(len, BASE64);
	char *text = malloc(size);

	sodium_bin2base64(text, size, bytes, len, BASE64);
	json_object_object_add(object, field, json_object_new_string(text));
	free(text);
}

static void add_u64(struct json_object *object, const char *field, uint64_t value)
{
	char text[24];

	snprintf(text, sizeof(text), "%" PRIu64, value);
	json_object_object_add(object, field, json_object_new_string(text));
}

static void add_string(struct json_object *object, const char *field, const char *text)
{
	json_object_object_add(object, field, json_object_new_string(text));
}

/* Adds key and range_end for all keys with a prefix. range_end is exclusive: it is the prefix with
 * its last byte incremented, or a single zero byte for "up to the end of the key space". */
static void add_prefix(struct json_object *object, const char *prefix)
{
	size_t len = strlen(prefix);
	char *end;

	while (len > 0 && (uint8_t)prefix[len - 1] == UINT8_MAX)
		len--;
	if (len == 0) {
		add_bytes(object, "key", *prefix ? prefix : "", *prefix ? strlen(prefix) : 1);
		add_bytes(object, "range_end", "", 1);
		return;
	}
	end = strndup(prefix, len);
	end[len - 1]++;
	add_bytes(object, "key", prefix, strlen(prefix));
	add_bytes(object, "range_end", end, len);
	free(end);
}

static char *serialize_and_free(struct json_object *object)
{
	char *text = strdup(json_object_to_json_string_ext(object, JSON_C_TO_STRING_PLAIN));

	json_object_put(object);
	return text;
}

char *dw_etcd_json_range(const struct dw_store_range *range)
{
	struct json_object *object = json_object_new_object();

	if (range->exact)
		add_bytes(object, "key", range->prefix, strlen(range->prefix));
	else
		add_prefix(object, range->prefix);
	if (range->may_be_stale)
		json_object_object_add(object, "serializable", json_object_new_boolean(true));
	if (range->from_revision)
		add_u64(object, "min_mod_revision", range->from_revision);
	return serialize_and_free(object);
}

static struct json_object *new_array_with(struct json_object *item)
{
	struct json_object *array = json_object_new_array();

	json_object_array_add(array, item);
	return array;
}

static struct json_object *new_object_with(const char *field, struct json_object *inner)
{
	struct json_object *object = json_object_new_object();

	json_object_object_add(object, field, inner);
	return object;
}

char *dw_etcd_json_put(const struct dw_store_put *put)
{
	struct json_object *txn = json_object_new_object();
	struct json_object *compare = json_object_new_object();
	struct json_object *success = json_object_new_object();
	struct json_object *failure = json_object_new_object();
	size_t key_len = strlen(put->key);

	add_bytes(compare, "key", put->key, key_len);
	add_string(compare, "target", "MOD");
	add_string(compare, "result", "EQUAL");
	add_u64(compare, "mod_revision", put->expected_revision);
	add_bytes(success, "key", put->key, key_len);
	add_bytes(success, "value", put->value, put->value_len);
	if (put->lease_id)
		add_u64(success, "lease", put->lease_id);
	add_bytes(failure, "key", put->key, key_len);
	json_object_object_add(failure, "keys_only", json_object_new_boolean(1));
	json_object_object_add(txn, "compare", new_array_with(compare));
	json_object_object_add(txn, "success",
			       new_array_with(new_object_with("request_put", success)));
	json_object_object_add(txn, "failure",
			       new_array_with(new_object_with("request_range", failure)));
	return serialize_and_free(txn);
}

char *dw_etcd_json_lease_grant(uint64_t ttl_s)
{
	struct json_object *object = json_object_new_object();

	add_u64(object, "TTL", ttl_s);
	return serialize_and_free(object);
}

char *dw_etcd_json_lease_keep_alive(uint64_t lease_id)
{
	struct json_object *object = json_object_new_object();

	add_u64(object, "ID", lease_id);
	return serialize_and_free(object);
}

char *dw_etcd_json_watch(const char *prefix, uint64_t start_revision)
{
	struct json_object *create = json_object_new_object();

	add_prefix(create, prefix);
	if (start_revision)
		add_u64(create, "start_revision", start_revision);
	return serialize_and_free(new_object_with("create_request", create));
}

static struct json_object *parse_object(const char *body, size_t len)
{
	struct json_tokener *tokener = json_tokener_new_ex(MAX_JSON_DEPTH);
	struct json_object *object = json_tokener_parse_ex(tokener, body, (int)len);
	bool complete = json_tokener_get_error(tokener) == json_tokener_success;

	json_tokener_free(tokener);
	if (complete && json_object_is_type(object, json_type_object))
		return object;
	json_object_put(object);
	return NULL;
}

static struct json_object *get_field(struct json_object *object, const char *field)
{
	struct json_object *value = NULL;

	json_object_object_get_ex(object, field, &value);
	return value;
}

/* Returns false if the field is present but not an unsigned integer. */
static bool read_u64(struct json_object *object, const char *field, uint64_t *out)
{
	struct json_object *value = get_field(object, field);
	const char *text;
	char *end;

	*out = 0;
	if (!value)
		return true;
	text = json_object_get_string(value);
	if (!text || *text < '0' || *text > '9')
		return false;
	errno = 0;
	*out = strtoull(text, &end, 10);
	return errno == 0 && *end == '\0';
}

static bool read_bool(struct json_object *object, const char *field)
{
	return json_object_get_boolean(get_field(object, field));
}

/* Decodes a base64 field into a new NUL-terminated buffer. NULL if it is malformed. */
static uint8_t *read_bytes(struct json_object *object, const char *field, size_t *len)
{
	struct json_object *value = get_field(object, field);
	size_t text_len = value ? (size_t)json_object_get_string_len(value) : 0;
	const char *text = value ? json_object_get_string(value) : "";
	uint8_t *bytes = malloc(text_len + 1);

	*len = 0;
	if (value &&
	    (!json_object_is_type(value, json_type_string) ||
	     sodium_base642bin(bytes, text_len, text, text_len, NULL, len, NULL, BASE64))) {
		free(bytes);
		return NULL;
	}
	bytes[*len] = '\0';
	return bytes;
}

static bool read_header(struct json_object *object, struct dw_etcd_reply *reply)
{
	struct json_object *header = get_field(object, "header");

	return header && read_u64(header, "revision", &reply->revision) &&
	       read_u64(header, "cluster_id", &reply->cluster_id);
}

static bool read_entry(struct json_object *kv, struct dw_store_entry *entry)
{
	size_t key_len;

	entry->key = (const char *)read_bytes(kv, "key", &key_len);
	entry->value = read_bytes(kv, "value", &entry->value_len);
	return entry->key && strlen(entry->key) == key_len && key_len > 0 && entry->value &&
	       read_u64(kv, "mod_revision", &entry->mod_revision) &&
	       read_u64(kv, "create_revision", &entry->create_revision) &&
	       read_u64(kv, "lease", &entry->lease_id);
}

/* Returns false for an unknown type. An absent type is PUT, the zero value of the enum. */
static bool parse_event_type(struct json_object *event, bool *deleted)
{
	struct json_object *type = get_field(event, "type");
	const char *text = type ? json_object_get_string(type) : "PUT";

	*deleted = text && strcmp(text, "DELETE") == 0;
	return *deleted || (text && strcmp(text, "PUT") == 0);
}

/* Reads an array of entries, or, if @p events is set, of events with the entry in field "kv". */
static bool read_entries(struct json_object *array, bool events, struct dw_etcd_reply *reply)
{
	size_t count;

	if (!array)
		return true;
	if (!json_object_is_type(array, json_type_array))
		return false;
	count = json_object_array_length(array);
	reply->events = calloc(count ? count : 1, sizeof(*reply->events));
	for (size_t i = 0; i < count; i++) {
		struct json_object *item = json_object_array_get_idx(array, i);
		struct dw_store_event *out = &reply->events[i];
		struct json_object *kv = events ? get_field(item, "kv") : item;

		reply->count = i + 1;
		if (events && !parse_event_type(item, &out->deleted))
			return false;
		if (!kv || !read_entry(kv, &out->entry))
			return false;
	}
	return true;
}

static bool read_range(struct json_object *object, struct dw_etcd_reply *reply)
{
	return read_header(object, reply) && read_entries(get_field(object, "kvs"), false, reply);
}

static bool read_put(struct json_object *object, struct dw_etcd_reply *reply)
{
	struct json_object *responses = get_field(object, "responses");
	struct json_object *response;
	struct json_object *range;

	reply->succeeded = read_bool(object, "succeeded");
	if (!read_header(object, reply))
		return false;
	if (reply->succeeded)
		return true;
	if (!json_object_is_type(responses, json_type_array))
		return false;
	response = json_object_array_get_idx(responses, 0);
	range = response ? get_field(response, "response_range") : NULL;
	return range && read_entries(get_field(range, "kvs"), false, reply);
}

static bool read_lease(struct json_object *object, struct dw_etcd_reply *reply)
{
	return read_header(object, reply) && read_u64(object, "ID", &reply->lease_id) &&
	       read_u64(object, "TTL", &reply->ttl_s);
}

static bool read_streamed_lease(struct json_object *object, struct dw_etcd_reply *reply)
{
	struct json_object *result = get_field(object, "result");

	return result && read_lease(result, reply);
}

static bool read_watch(struct json_object *object, struct dw_etcd_reply *reply)
{
	struct json_object *result = get_field(object, "result");

	if (!result || !read_header(result, reply))
		return false;
	reply->created = read_bool(result, "created");
	reply->canceled = read_bool(result, "canceled");
	return read_u64(result, "compact_revision", &reply->compact_revision) &&
	       read_entries(get_field(result, "events"), true, reply);
}

static enum dw_status parse_with(const char *body, size_t len, struct dw_etcd_reply *reply,
				 bool (*read)(struct json_object *, struct dw_etcd_reply *))
{
	struct json_object *object = parse_object(body, len);
	bool valid;

	memset(reply, 0, sizeof(*reply));
	valid = object && read(object, reply);
	json_object_put(object);
	if (valid)
		return DW_OK;
	dw_etcd_reply_clear(reply);
	return dw_fail(DW_INVALID_ARGUMENT, "malformed response from the key-value service");
}

enum dw_status dw_etcd_parse_range(const char *body, size_t len, struct dw_etcd_reply *reply)
{
	return parse_with(body, len, reply, read_range);
}

enum dw_status dw_etcd_parse_put(const char *body, size_t len, struct dw_etcd_reply *reply)
{
	return parse_with(body, len, reply, read_put);
}

enum dw_status dw_etcd_parse_lease_grant(const char *body, size_t len, struct dw_etcd_reply *reply)
{
	return parse_with(body, len, reply, read_lease);
}

enum dw_status dw_etcd_parse_lease_keep_alive(const char *body, size_t len,
					      struct dw_etcd_reply *reply)
{
	return parse_with(body, len, reply, read_streamed_lease);
}

enum dw_status dw_etcd_parse_watch(const char *line, size_t len, struct dw_etcd_reply *reply)
{
	return parse_with(line, len, reply, read_watch);
}

void dw_etcd_parse_error(const char *body, size_t len, struct dw_etcd_error *error)
{
	struct json_object *object = parse_object(body, len);
	struct json_object *message;
	uint64_t code = 0;

	memset(error, 0, sizeof(*error));
	if (!object)
		return;
	message = get_field(object, "message");
	if (read_u64(object, "code", &code))
		error->code = (enum dw_etcd_code)code;
	if (message)
		snprintf(error->message, sizeof(error->message), "%s",
			 json_object_get_string(message));
	json_object_put(object);
}

void dw_etcd_reply_clear(struct dw_etcd_reply *reply)
{
	for (size_t i = 0; i < reply->count; i++) {
		free((void *)reply->events[i].entry.key);
		free((void *)reply->events[i].entry.value);
	}
	free(reply->events);
	memset(reply, 0, sizeof(*reply));
}
