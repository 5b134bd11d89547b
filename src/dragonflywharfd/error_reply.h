/**
 * @file error_reply.h
 * Sends typed JSON errors to callers and operators. docs/ERRORS.md lists them.
 */
#ifndef DAEMON_ERROR_REPLY_H
#define DAEMON_ERROR_REPLY_H

#include "base/error_json.h"
#include "dragonflywharfd/daemon.h"

/** Sends an error reply with @p status and the text @p message. */
void error_reply(struct dw_http_exchange *exchange, enum dw_status status, enum not_run not_run,
		 const char *message);

/** Counts and logs a request that ends with an error: refused if it has not run, else failed. */
void error_log_request_end(struct daemon *daemon, const char *request, const char *organisation,
			   enum dw_status status, enum not_run not_run, const char *message);

#endif
