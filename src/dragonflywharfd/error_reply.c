#include "dragonflywharfd/error_reply.h"

#include <stdlib.h>
#include <string.h>

#define STATUS_BAD_GATEWAY 502

/* A request that may have run is never answered with a status that promises that it hasn't. */
static int http_status_of(enum dw_status status, enum not_run not_run)
{
	int http_status = error_http_status(status);

	if (not_run == NOT_RUN_PROVEN || !error_status_is_refusal(http_status))
		return http_status;
	return STATUS_BAD_GATEWAY;
}

void error_reply(struct dw_http_exchange *exchange, enum dw_status status, enum not_run not_run,
		 const char *message)
{
	char *text = error_json(status, not_run, message);

	dw_http_respond(exchange, http_status_of(status, not_run), "application/json", text,
			strlen(text));
	free(text);
}

void error_log_request_end(struct daemon *daemon, const char *request, const char *organisation,
			   enum dw_status status, enum not_run not_run, const char *message)
{
	bool refused = not_run == NOT_RUN_PROVEN;

	dw_counters_add(&daemon->counters,
			refused ? DW_COUNTER_REQUESTS_REFUSED : DW_COUNTER_REQUESTS_FAILED, 1);
	dw_log_event(&daemon->log, refused ? DW_EVENT_REQUEST_REFUSED : DW_EVENT_REQUEST_FAILED,
		     DW_STR("request", request), DW_STR("organisation", organisation),
		     DW_STR("status", dw_status_name(status)), DW_STR("message", message),
		     DW_INT("not_run", refused));
}
