/**
 * @file exchange_reply.h
 * The end of a request: its final answer, the log lines of its attempts and its end, and the release of its memory.
 *
 * The attempt has ended before, and has been counted for the rollout.
 */
#ifndef GATEWAY_EXCHANGE_REPLY_H
#define GATEWAY_EXCHANGE_REPLY_H

#include "wharf-gateway/exchange_state.h"

/** Shortest Retry-After that is sent to a refused caller. */
#define RETRY_AFTER_MIN_MS 200

/** Ends the exchange without answering the caller; its memory is freed later, from the loop. */
void exchange_close(struct exchange *exchange);
/** Logs the end of the request; @p status 0 if the caller got no answer. */
void exchange_log_end(struct exchange *exchange, enum dw_event event, int status,
		      const char *reason);
/** Logs an attempt that ended without an answer to pass on. */
void exchange_log_attempt_failed(const struct exchange *exchange, enum dw_attempt_outcome outcome,
				 enum dw_policy_verdict verdict, bool may_retry);
/** Pins the request's session to the version of its engine, or renews the pin. */
void exchange_pin_session(struct exchange *exchange);

/* The final answers; all but exchange_reply_error() also close the exchange. */

/** Sends an error that the gateway itself raises; needs no exchange. */
void exchange_reply_error(struct caller *caller, int status, const char *phrase,
			  enum dw_status error, enum not_run not_run, const char *message,
			  uint32_t retry_after_ms);
/** Answers 503: no engine has run the request. */
void exchange_refuse(struct exchange *exchange, enum dw_status error, const char *reason);
/** Answers with an error that says that an engine may have run the request. */
void exchange_fail(struct exchange *exchange, int status, const char *phrase, enum dw_status error,
		   const char *reason);
/** Closes the caller's connection: the answer was partly sent and can't be completed. */
void exchange_break_off(struct exchange *exchange, const char *reason);
/** Sends the rest of the engine's answer to the caller and completes it. */
void exchange_pass_on(struct exchange *exchange);

#endif
