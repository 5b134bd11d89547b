/**
 * @file exchange_answer.h
 * Receives the engine's answer: forwards streams, holds back plain answers, and counts what the answer says
 * about its engine's version.
 */
#ifndef GATEWAY_EXCHANGE_ANSWER_H
#define GATEWAY_EXCHANGE_ANSWER_H

#include "wharf-gateway/exchange_state.h"

/** Is told how an attempt ended; the exchange has no attempt any more. */
struct exchange_listener {
	/** The answer is complete and may be passed on. */
	void (*on_answered)(struct exchange *exchange);
	/** There is no answer to pass on, or it is a server error that may be retried. */
	void (*on_attempt_failed)(struct exchange *exchange, enum dw_attempt_outcome outcome);
};

/** Of the attempts; their owner is the exchange, whose listener must be set. */
extern const struct attempt_callbacks exchange_attempt_callbacks;

/** The attempt is sent: counts it for the service's rollout, if one is running. */
void exchange_count_version_sent(struct exchange *exchange);
/** The attempt ended; @p is_good: with a complete answer. Later calls have no effect. */
void exchange_count_version_end(struct exchange *exchange, bool is_good);
/** Counts the attempt's wait for its first byte, which has come or won't be waited for any more. */
void exchange_count_version_wait(struct exchange *exchange);
/** Counts the attempt's result as evidence about its engine's version. */
void exchange_count_version_result(struct exchange *exchange, bool failed);
/** Whether this result counts as a failure of the version; timeouts don't, as load causes them too. */
bool exchange_counts_as_version_failure(const struct exchange *exchange,
					enum dw_attempt_outcome outcome);

#endif
