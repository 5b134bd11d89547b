/**
 * @file error_reply.h
 * Typed JSON errors to callers and operators. docs/ERRORS.md lists them.
 */
#ifndef DAEMON_ERROR_REPLY_H
#define DAEMON_ERROR_REPLY_H

#include "dragonflywharfd/daemon.h"

/** Whether a refusal may say that the request has not run. */
enum not_run {
	NOT_RUN_UNPROVEN, /**< it may have run */
	NOT_RUN_PROVEN,
	NOT_RUN_COUNT
};

/** Answers with the error @p status, whose text is @p message. */
void error_reply(struct dw_http_exchange *exchange, enum dw_status status, enum not_run not_run,
		 const char *message);

/** Counts and logs a request's end without an answer: refused if it has not run, else failed. */
void error_count_end(struct daemon *daemon, const char *request, const char *organisation,
		     enum dw_status status, enum not_run not_run, const char *message);

/** HTTP status of an error. */
int error_http_status(enum dw_status status);

/** The error as one JSON text; freed by the caller. */
char *error_json(enum dw_status status, enum not_run not_run, const char *message);

#endif
