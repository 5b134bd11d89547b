#include "standins/kv_call.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <sodium.h>

#include "base/clock.h"
#include "standins/json.h"

#define BASE64 sodium_base64_VARIANT_ORIGINAL
#define HTTP_OK 200
#define HTTP_BAD_REQUEST 400
#define HTTP_NOT_FOUND 404

static void set_id(struct json_object *object, const char *field, uint64_t value)
{
	char text[24];

	snprintf(text, sizeof(text), "%" PRIu64, value);
	json_set_text(object, field, text);
}

struct json_object *kv_error(int code, const char *message)
{
	struct json_object *error = json_object_new_object();

	json_set_text(error, "error", message);
	json_set_text(error, "message", message);
	json_object_object_add(error, "code", json_object_new_int(code));
	return error;
}

static struct json_object *invalid(int *status, const char *message)
{
	*status = HTTP_BAD_REQUEST;
	return kv_error(KV_CODE_INVALID, message);
}

struct json_object *kv_header(const struct kv_service *service)
{
	struct json_object *header = json_object_new_object();

	json_set_text(header, "cluster_id", "1");
	json_set_text(header, "member_id", "1");
	set_id(header, "revision", service->table->revision);
	return header;
}

static struct json_object *new_response(const struct kv_service *service)
{
	struct json_object *response = json_object_new_object();

	json_object_object_add(response, "header", kv_header(service));
	return response;
}

struct json_object *kv_entry_json(const struct kv_entry *entry)
{
	struct json_object *kv = json_object_new_object();
	size_t size = sodium_base64_ENCODED_LEN(entry->key.len, BASE64);
	char *key = malloc(size);

	sodium_bin2base64(key, size, entry->key.base, entry->key.len, BASE64);
	json_set_text(kv, "key", key);
	free(key);
	set_id(kv, "mod_revision", entry->mod_revision);
	if (entry->deleted)
		return kv;
	set_id(kv, "create_revision", entry->create_revision);
	set_id(kv, "version", entry->version);
	json_set_text(kv, "value", entry->value);
	if (entry->lease_id)
		set_id(kv, "lease", entry->lease_id);
	return kv;
}

static bool read_bytes(struct json_object *object, const char *field, struct kv_bytes *bytes)
{
	const char *text = json_text(object, field, "");
	size_t text_len = strlen(text);
	uint8_t *base = malloc(text_len + 1);
	size_t len = 0;
	bool valid =
		sodium_base642bin(base, text_len, text, text_len, NULL, &len, NULL, BASE64) == 0;

	bytes->base = base;
	bytes->len = len;
	return valid;
}

bool kv_read_range(struct json_object *object, struct kv_range *range)
{
	bool key = read_bytes(object, "key", &range->key);
	bool end = read_bytes(object, "range_end", &range->end);

	return key && end && range->key.len > 0;
}

void kv_range_clear(struct kv_range *range)
{
	free(range->key.base);
	free(range->end.base);
}

static struct json_object *do_range(struct kv_service *service, struct json_object *body,
				    int *status)
{
	struct json_object *response = new_response(service);
	struct json_object *kvs = json_object_new_array();
	uint64_t from = json_u64(body, "min_mod_revision", 0);
	struct kv_range range;

	json_object_object_add(response, "kvs", kvs);
	if (!kv_read_range(body, &range)) {
		json_object_put(response);
		response = invalid(status, "etcdserver: key is not provided");
	}
	for (size_t i = 0; *status == HTTP_OK && i < service->table->count; i++) {
		const struct kv_entry *entry = &service->table->entries[i];

		if (kv_range_contains(&range, &entry->key) && entry->mod_revision >= from)
			json_object_array_add(kvs, kv_entry_json(entry));
	}
	if (*status == HTTP_OK)
		set_id(response, "count", json_object_array_length(kvs));
	kv_range_clear(&range);
	return response;
}

static bool compare_holds(const struct kv_service *service, struct json_object *compare)
{
	static const struct {
		const char *target;
		const char *field;
	} targets[] = {
		{ "MOD", "mod_revision" },
		{ "CREATE", "create_revision" },
		{ "VERSION", "version" },
	};
	const char *target = json_text(compare, "target", "VERSION");
	const char *result = json_text(compare, "result", "EQUAL");
	const struct kv_entry *entry;
	uint64_t actual[3] = { 0 };
	struct kv_range range;
	size_t target_index = 0;
	uint64_t wanted;

	kv_read_range(compare, &range);
	entry = kv_table_find(service->table, &range.key);
	kv_range_clear(&range);
	if (entry) {
		actual[0] = entry->mod_revision;
		actual[1] = entry->create_revision;
		actual[2] = entry->version;
	}
	while (target_index < 2 && strcmp(targets[target_index].target, target) != 0)
		target_index++;
	wanted = json_u64(compare, targets[target_index].field, 0);
	if (strcmp(result, "GREATER") == 0)
		return actual[target_index] > wanted;
	if (strcmp(result, "LESS") == 0)
		return actual[target_index] < wanted;
	return (actual[target_index] == wanted) == (strcmp(result, "NOT_EQUAL") != 0);
}

static bool lease_is_missing(const struct kv_service *service, uint64_t id)
{
	for (size_t i = 0; i < service->lease_count; i++) {
		if (service->leases[i].id == id)
			return false;
	}
	return id != 0;
}

static struct json_object *op_put(struct kv_service *service, struct json_object *put,
				  uint64_t revision)
{
	struct kv_range range;

	kv_read_range(put, &range);
	kv_table_put(service->table, &range.key, json_text(put, "value", ""),
		     json_u64(put, "lease", 0), revision);
	kv_range_clear(&range);
	return json_object_new_object();
}

static struct json_object *op_delete(struct kv_service *service, struct json_object *body,
				     uint64_t revision)
{
	struct json_object *response = json_object_new_object();
	struct kv_range range;

	kv_read_range(body, &range);
	set_id(response, "deleted", kv_table_delete(service->table, &range, revision));
	kv_range_clear(&range);
	return response;
}

/* Executes one operation of a txn. All writes of the txn get the same revision. */
static struct json_object *do_op(struct kv_service *service, struct json_object *op,
				 uint64_t revision)
{
	struct json_object *response = json_object_new_object();
	struct json_object *put = json_field(op, "request_put");
	struct json_object *delete_range = json_field(op, "request_delete_range");
	int status = HTTP_OK;

	if (put)
		json_object_object_add(response, "response_put", op_put(service, put, revision));
	else if (delete_range)
		json_object_object_add(response, "response_delete_range",
				       op_delete(service, delete_range, revision));
	else
		json_object_object_add(response, "response_range",
				       do_range(service, json_field(op, "request_range"), &status));
	return response;
}

static const char *check_ops(const struct kv_service *service, struct json_object *ops)
{
	for (size_t i = 0; ops && i < json_object_array_length(ops); i++) {
		struct json_object *put =
			json_field(json_object_array_get_idx(ops, i), "request_put");

		if (lease_is_missing(service, json_u64(put, "lease", 0)))
			return "etcdserver: requested lease not found";
	}
	return NULL;
}

static struct json_object *do_txn(struct kv_service *service, struct json_object *body, int *status)
{
	struct json_object *compares = json_field(body, "compare");
	struct json_object *responses = json_object_new_array();
	size_t history_before = service->table->history_count;
	uint64_t revision = service->table->revision + 1;
	struct json_object *response;
	struct json_object *ops;
	const char *error;
	bool holds = true;

	for (size_t i = 0; compares && i < json_object_array_length(compares); i++)
		holds = holds && compare_holds(service, json_object_array_get_idx(compares, i));
	ops = json_field(body, holds ? "success" : "failure");
	error = check_ops(service, ops);
	if (error) {
		json_object_put(responses);
		*status = HTTP_NOT_FOUND;
		return kv_error(KV_CODE_NOT_FOUND, error);
	}
	for (size_t i = 0; ops && i < json_object_array_length(ops); i++)
		json_object_array_add(responses,
				      do_op(service, json_object_array_get_idx(ops, i), revision));
	if (service->table->history_count > history_before)
		service->table->revision = revision;
	response = new_response(service);
	json_object_object_add(response, "succeeded", json_object_new_boolean(holds));
	json_object_object_add(response, "responses", responses);
	return response;
}

static struct json_object *do_put(struct kv_service *service, struct json_object *body, int *status)
{
	if (lease_is_missing(service, json_u64(body, "lease", 0))) {
		*status = HTTP_NOT_FOUND;
		return kv_error(KV_CODE_NOT_FOUND, "etcdserver: requested lease not found");
	}
	json_object_put(op_put(service, body, ++service->table->revision));
	return new_response(service);
}

static struct json_object *lease_response(const struct kv_service *service, uint64_t id,
					  uint64_t ttl)
{
	struct json_object *response = new_response(service);

	set_id(response, "ID", id);
	set_id(response, "TTL", ttl);
	return response;
}

static struct json_object *do_grant(struct kv_service *service, struct json_object *body,
				    int *status)
{
	struct kv_lease lease = { .ttl_s = json_u64(body, "TTL", 0) };

	if (lease.ttl_s == 0 || service->lease_count == KV_MAX_LEASES)
		return invalid(status,
			       "etcdserver: the lease has a TTL of 0 or there are too many leases");
	lease.id = ++service->next_lease_id;
	lease.expiry_us = dw_clock_now_us() + lease.ttl_s * DW_US_PER_S;
	service->leases[service->lease_count++] = lease;
	return lease_response(service, lease.id, lease.ttl_s);
}

static struct json_object *do_keep_alive(struct kv_service *service, struct json_object *body,
					 int *status)
{
	struct json_object *response = json_object_new_object();
	uint64_t id = json_u64(body, "ID", 0);
	uint64_t ttl_s = 0;

	for (size_t i = 0; i < service->lease_count; i++) {
		struct kv_lease *lease = &service->leases[i];

		if (lease->id == id) {
			ttl_s = lease->ttl_s;
			lease->expiry_us = dw_clock_now_us() + ttl_s * DW_US_PER_S;
		}
	}
	json_object_object_add(response, "result", lease_response(service, id, ttl_s));
	return response;
}

void kv_expire_leases(struct kv_service *service, uint64_t now_us)
{
	for (size_t i = service->lease_count; i-- > 0;) {
		if (service->leases[i].expiry_us > now_us)
			continue;
		kv_table_delete_by_lease(service->table, service->leases[i].id);
		service->leases[i] = service->leases[--service->lease_count];
	}
}

kv_call kv_call_find(const char *path)
{
	static const struct {
		const char *path;
		kv_call call;
	} calls[] = {
		{ "/v3/kv/range", do_range },
		{ "/v3/kv/txn", do_txn },
		{ "/v3/kv/put", do_put },
		{ "/v3/lease/grant", do_grant },
		{ "/v3/lease/keepalive", do_keep_alive },
	};

	for (size_t i = 0; i < sizeof(calls) / sizeof(calls[0]); i++) {
		if (strcmp(calls[i].path, path) == 0)
			return calls[i].call;
	}
	return NULL;
}
