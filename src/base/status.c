#include <dragonflywharf/status.h>

#include <stdarg.h>
#include <stdio.h>

#define MESSAGE_BYTES 256

static const char *const status_names[DW_STATUS_COUNT] = {
	[DW_OK] = "ok",
	[DW_INVALID_ARGUMENT] = "invalid_argument",
	[DW_TOO_LARGE] = "too_large",
	[DW_UNAUTHENTICATED] = "unauthenticated",
	[DW_FORBIDDEN] = "forbidden",
	[DW_NOT_FOUND] = "not_found",
	[DW_CONFLICT] = "conflict",
	[DW_STALE] = "stale",
	[DW_WITHDRAWN] = "withdrawn",
	[DW_UNAVAILABLE] = "unavailable",
	[DW_OVERLOADED] = "overloaded",
	[DW_TIMEOUT] = "timeout",
	[DW_UNKNOWN_OUTCOME] = "unknown_outcome",
	[DW_QUARANTINED] = "quarantined",
	[DW_NO_CONFIGURATION] = "no_configuration",
	[DW_UPSTREAM_FAILED] = "upstream_failed",
	[DW_CANCELLED] = "cancelled",
	[DW_NO_MEMORY] = "no_memory",
	[DW_INTERNAL] = "internal",
};

static _Thread_local char last_message[MESSAGE_BYTES];

const char *dw_status_name(enum dw_status status)
{
	if ((unsigned int)status >= DW_STATUS_COUNT)
		return "unknown";
	return status_names[status];
}

enum dw_status dw_fail(enum dw_status status, const char *format, ...)
{
	va_list args;

	va_start(args, format);
	vsnprintf(last_message, sizeof(last_message), format, args);
	va_end(args);
	return status;
}

const char *dw_last_message(void)
{
	return last_message;
}
