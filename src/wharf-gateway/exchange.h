/**
 * @file exchange.h
 * Handles one request of a caller from its arrival to its final answer.
 *
 * The decision library chooses the route and the engine and decides whether to retry and what to
 * answer; the exchange executes these decisions. It owns the attempt in progress and the request's
 * only timer.
 */
#ifndef GATEWAY_EXCHANGE_H
#define GATEWAY_EXCHANGE_H

#include "wharf-gateway/caller.h"
#include "wharf-gateway/router.h"

struct exchange;

/** Starts handling a request. @return NULL if the request was answered within the call. */
struct exchange *exchange_start(struct router *router, struct caller *caller,
				const struct caller_request *request);

/** Aborts the request because its caller has disconnected. */
void exchange_caller_disconnected(struct exchange *exchange);
/** Answers or breaks off the request at once, as the instance ends. */
void exchange_stop(struct exchange *exchange);
/** Resumes reading the engine's answer: the caller's output queue has drained. */
void exchange_caller_drained(struct exchange *exchange);

#endif
