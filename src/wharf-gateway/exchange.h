/**
 * @file exchange.h
 * One request of a caller from its arrival to its final answer.
 *
 * Carries out what the decision library says: which route, which engine, whether to send again, what
 * to answer. It owns the attempt in progress and the request's one timer.
 */
#ifndef GATEWAY_EXCHANGE_H
#define GATEWAY_EXCHANGE_H

#include "wharf-gateway/caller.h"
#include "wharf-gateway/router.h"

struct exchange;

/** @return NULL if the request was answered within the call. */
struct exchange *exchange_start(struct router *router, struct caller *caller,
				const struct caller_request *request);

/** The caller left: stops all work on the request at once. */
void exchange_caller_left(struct exchange *exchange);
/** The caller has read what was waiting for it. */
void exchange_caller_drained(struct exchange *exchange);

#endif
