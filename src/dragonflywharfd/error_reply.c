#include "dragonflywharfd/error_reply.h"

#include <stdlib.h>
#include <string.h>

/* A request that may have run is never answered with a status that promises that it hasn't. */
static enum dw_status status_without_promise(enum dw_status status, enum not_run not_run)
{
	if (not_run == NOT_RUN_PROVEN || !error_status_is_refusal(error_http_status(status)))
		return status;
	return DW_UPSTREAM_FAILED;
}

void error_reply(struct dw_http_exchange *exchange, enum dw_status requested_status,
		 enum not_run not_run, const char *message)
{
	enum dw_status status = status_without_promise(requested_status, not_run);
	char *text = error_json(status, not_run, message);

	dw_http_respond(exchange, error_http_status(status), "application/json", text,
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
