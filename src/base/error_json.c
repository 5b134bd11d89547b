#include "base/error_json.h"

#include <stdlib.h>
#include <string.h>

#include <json-c/json.h>

static const int http_statuses[DW_STATUS_COUNT] = {
	[DW_OK] = 200,
	[DW_INVALID_ARGUMENT] = 400,
	[DW_TOO_LARGE] = 413,
	[DW_UNAUTHENTICATED] = 401,
	[DW_FORBIDDEN] = 403,
	[DW_NOT_FOUND] = 404,
	[DW_CONFLICT] = 409,
	[DW_STALE] = 409,
	[DW_WITHDRAWN] = 410,
	[DW_UNAVAILABLE] = 503,
	[DW_OVERLOADED] = 503,
	[DW_TIMEOUT] = 504,
	[DW_UNKNOWN_OUTCOME] = 502,
	[DW_QUARANTINED] = 422,
	[DW_NO_CONFIGURATION] = 503,
	[DW_UPSTREAM_FAILED] = 502,
	[DW_CANCELLED] = 499,
	[DW_NO_MEMORY] = 500,
	[DW_INTERNAL] = 500,
};

int error_http_status(enum dw_status status)
{
	return (unsigned int)status < DW_STATUS_COUNT ? http_statuses[status] : 500;
}

bool error_status_is_refusal(int http_status)
{
	switch (http_status) {
	case 408:
	case 421:
	case 429:
	case 503:
		return true;
	default:
		return false;
	}
}

char *error_json(enum dw_status status, enum not_run not_run, const char *message)
{
	struct json_object *root = json_object_new_object();
	struct json_object *error = json_object_new_object();
	char *text;

	json_object_object_add(error, "type", json_object_new_string(dw_status_name(status)));
	json_object_object_add(error, "code", json_object_new_int((int)status));
	json_object_object_add(error, "message", json_object_new_string(message));
	json_object_object_add(error, "not_run",
			       json_object_new_boolean(not_run == NOT_RUN_PROVEN));
	json_object_object_add(root, "error", error);
	text = strdup(json_object_to_json_string_ext(root, JSON_C_TO_STRING_PLAIN));
	json_object_put(root);
	if (!text)
		abort();
	return text;
}
