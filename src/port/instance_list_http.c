#include "port/instance_list_http.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <json-c/json.h>

#define HTTP_OK 200
#define MAX_RESPONSE_BYTES ((size_t)16 << 20)

struct list_http {
	struct dw_instance_list list; /* base; must be the first member */
	struct dw_http_client *client;
	char ip[DW_INSTANCE_IP_BYTES];
	uint16_t port;
};

static const char *const role_names[DW_INSTANCE_ROLE_COUNT] = {
	[DW_INSTANCE_ENTRY] = "entry",
	[DW_INSTANCE_ENGINE] = "engine",
	[DW_INSTANCE_SERVICE] = "service",
};

static const char *const state_names[DW_INSTANCE_STATE_COUNT] = {
	[DW_INSTANCE_LIVE] = "live",
	[DW_INSTANCE_LEAVING] = "leaving",
};

/* Copies a string field. False if it is absent, empty, too long or contains a NUL. */
static bool read_string(struct json_object *object, const char *field, char *out, size_t size)
{
	struct json_object *value = NULL;
	size_t len;

	if (!json_object_object_get_ex(object, field, &value) ||
	    !json_object_is_type(value, json_type_string))
		return false;
	len = (size_t)json_object_get_string_len(value);
	if (len == 0 || len >= size || strlen(json_object_get_string(value)) != len)
		return false;
	memcpy(out, json_object_get_string(value), len + 1);
	return true;
}

/* Returns the index of a field's value in @p names, or @p count if it isn't in there. */
static int read_enum(struct json_object *object, const char *field, const char *const *names,
		     int count)
{
	char text[DW_INSTANCE_NAME_BYTES];
	int index = 0;

	if (!read_string(object, field, text, sizeof(text)))
		return count;
	while (index < count && strcmp(names[index], text) != 0)
		index++;
	return index;
}

static bool read_u64(struct json_object *object, const char *field, uint64_t max, uint64_t *out)
{
	struct json_object *value = NULL;

	if (!json_object_object_get_ex(object, field, &value) ||
	    !json_object_is_type(value, json_type_int) || json_object_get_int64(value) < 0)
		return false;
	*out = json_object_get_uint64(value);
	return *out <= max;
}

static bool read_instance(struct json_object *object, struct dw_instance *instance)
{
	struct sockaddr_in address;
	uint64_t port = 0;

	if (!json_object_is_type(object, json_type_object) ||
	    !read_string(object, "name", instance->name, sizeof(instance->name)) ||
	    !read_string(object, "ip", instance->ip, sizeof(instance->ip)) ||
	    !read_string(object, "failure_domain", instance->failure_domain,
			 sizeof(instance->failure_domain)) ||
	    !read_u64(object, "port", UINT16_MAX, &port) || port == 0)
		return false;
	instance->port = (uint16_t)port;
	instance->role = read_enum(object, "role", role_names, DW_INSTANCE_ROLE_COUNT);
	instance->state = read_enum(object, "state", state_names, DW_INSTANCE_STATE_COUNT);
	return instance->role != DW_INSTANCE_ROLE_COUNT &&
	       instance->state != DW_INSTANCE_STATE_COUNT &&
	       uv_ip4_addr(instance->ip, instance->port, &address) == 0;
}

static bool read_list(struct json_object *object, uint64_t *generation,
		      struct dw_instance **instances, size_t *count)
{
	struct json_object *array = NULL;

	if (!json_object_is_type(object, json_type_object) ||
	    !read_u64(object, "generation", UINT64_MAX, generation) ||
	    !json_object_object_get_ex(object, "instances", &array) ||
	    !json_object_is_type(array, json_type_array) || json_object_array_length(array) == 0)
		return false;
	*count = json_object_array_length(array);
	*instances = calloc(*count, sizeof(**instances));
	for (size_t i = 0; i < *count; i++) {
		if (!read_instance(json_object_array_get_idx(array, i), &(*instances)[i]))
			return false;
	}
	return true;
}

enum dw_status dw_instance_list_parse(const char *body, size_t len, uint64_t *generation,
				      struct dw_instance **instances, size_t *count)
{
	struct json_tokener *tokener = json_tokener_new();
	struct json_object *object = json_tokener_parse_ex(tokener, body, (int)len);
	bool valid;

	*instances = NULL;
	*count = 0;
	valid = read_list(object, generation, instances, count);
	json_object_put(object);
	json_tokener_free(tokener);
	if (valid)
		return DW_OK;
	free(*instances);
	*instances = NULL;
	*count = 0;
	return dw_fail(DW_INVALID_ARGUMENT, "the instance list is empty or malformed");
}

static void on_response(const struct dw_http_fetch_result *result, void *data)
{
	struct list_http *http = data;
	enum dw_status status = result->result.status;
	struct dw_instance *instances = NULL;
	uint64_t generation = 0;
	size_t count = 0;

	if (status == DW_OK && result->result.http_status != HTTP_OK)
		status = dw_fail(DW_UPSTREAM_FAILED, "the instance list returned HTTP status %d",
				 result->result.http_status);
	if (status == DW_OK)
		status = dw_instance_list_parse(result->body, result->body_len, &generation,
						&instances, &count);
	dw_instance_list_finish_read(&http->list, status, generation, instances, count);
}

static void http_read(struct dw_instance_list *list, uint64_t deadline_us)
{
	struct list_http *http = (struct list_http *)list;
	struct dw_http_call_options options = {
		.ip = http->ip,
		.port = http->port,
		.method = "GET",
		.path = "/instances",
		.deadline_us = deadline_us,
	};

	dw_http_fetch(http->client, &options, MAX_RESPONSE_BYTES, on_response, http);
}

static void http_free(struct dw_instance_list *list)
{
	free(list);
}

static const struct dw_instance_list_ops http_ops = {
	.read = http_read,
	.free = http_free,
};

struct dw_instance_list *dw_instance_list_http_new(uv_loop_t *loop, struct dw_http_client *client,
						   const char *ip, uint16_t port,
						   const struct dw_instance_list_options *options)
{
	struct list_http *http = calloc(1, sizeof(*http));

	http->client = client;
	snprintf(http->ip, sizeof(http->ip), "%s", ip);
	http->port = port;
	dw_instance_list_init(&http->list, loop, &http_ops, options);
	return &http->list;
}
