#include "wharfctl/operator_client.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <json-c/json.h>

#include "base/clock.h"

#define CALL_TIMEOUT_US (10 * DW_US_PER_S)
#define RESPONSE_MAX_BYTES (64U << 20)
#define HTTP_FIELD_BYTES 512

struct call {
	bool done;
	enum dw_status status;
	enum dw_http_progress progress;
	const ProtobufCMessageDescriptor *response_type;
	ProtobufCMessage *response;
};

void operator_client_init(struct operator_client *client, const struct dw_endpoint_list *servers,
			  const char *key)
{
	uv_loop_init(&client->loop);
	client->http = dw_http_client_new(&client->loop);
	client->servers = *servers;
	client->key = key;
}

static enum dw_status status_by_name(const char *name)
{
	for (int i = 0; i < DW_STATUS_COUNT; i++) {
		if (strcmp(dw_status_name((enum dw_status)i), name) == 0)
			return (enum dw_status)i;
	}
	return DW_INTERNAL;
}

static enum dw_status parse_error_response(const struct dw_http_fetch_result *result)
{
	struct json_object *root = json_tokener_parse(result->body);
	struct json_object *error = NULL;
	struct json_object *type = NULL;
	struct json_object *message = NULL;
	enum dw_status status;

	if (!json_object_is_type(root, json_type_object) ||
	    !json_object_object_get_ex(root, "error", &error) ||
	    !json_object_object_get_ex(error, "type", &type) ||
	    !json_object_object_get_ex(error, "message", &message)) {
		json_object_put(root);
		return dw_fail(DW_INTERNAL,
			       "the server responded with HTTP status %d and no valid error object",
			       result->result.http_status);
	}
	status = dw_fail(status_by_name(json_object_get_string(type)), "%s",
			 json_object_get_string(message));
	json_object_put(root);
	return status;
}

static void on_fetch_done(const struct dw_http_fetch_result *result, void *data)
{
	struct call *call = data;

	call->done = true;
	call->progress = result->result.progress;
	call->status = result->result.status;
	if (call->status != DW_OK) {
		dw_fail(call->status, "no complete response: %s", dw_status_name(call->status));
	} else if (result->result.http_status != 200) {
		call->status = parse_error_response(result);
	} else {
		call->response = protobuf_c_message_unpack(
			call->response_type, NULL, result->body_len, (const uint8_t *)result->body);
		if (!call->response)
			call->status = dw_fail(DW_INTERNAL, "cannot decode the response");
	}
}

static void call_server(struct operator_client *client, const struct dw_endpoint *server,
			const char *method, const uint8_t *body, size_t len, struct call *call)
{
	char path[HTTP_FIELD_BYTES];
	char bearer[HTTP_FIELD_BYTES];
	struct dw_http_name_value headers[] = {
		{ "content-type", "application/proto" },
		{ "authorization", bearer },
	};
	struct dw_http_call_options options = {
		.ip = server->ip,
		.port = server->port,
		.method = "POST",
		.path = path,
		.headers = headers,
		.header_count = 2,
		.body = (const char *)body,
		.body_len = len,
		.deadline_us = dw_clock_now_us() + CALL_TIMEOUT_US,
	};

	snprintf(path, sizeof(path), "/dragonflywharf.Operator/%s", method);
	snprintf(bearer, sizeof(bearer), "Bearer %s", client->key);
	call->done = false;
	dw_http_fetch(client->http, &options, RESPONSE_MAX_BYTES, on_fetch_done, call);
	while (!call->done)
		uv_run(&client->loop, UV_RUN_ONCE);
}

enum dw_status operator_client_call(struct operator_client *client, const char *method,
				    const ProtobufCMessage *request,
				    const ProtobufCMessageDescriptor *response_type,
				    ProtobufCMessage **response)
{
	size_t len = protobuf_c_message_get_packed_size(request);
	uint8_t *body = malloc(len + 1);
	struct call call = { .response_type = response_type, .status = DW_UNAVAILABLE };

	if (!body)
		abort();
	protobuf_c_message_pack(request, body);
	for (uint32_t i = 0; i < client->servers.count; i++) {
		call_server(client, &client->servers.items[i], method, body, len, &call);
		if (call.status != DW_UNAVAILABLE || call.progress != DW_HTTP_NOT_SENT)
			break;
	}
	free(body);
	*response = call.response;
	return call.status;
}
