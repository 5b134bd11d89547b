/**
 * @file request_policy.h
 * What becomes of one request after each thing that happens to it: sent, sent again elsewhere,
 * passed on, refused, failed.
 *
 * The policy holds what may be said truthfully: a refusal claims that the request has not run, so
 * it is given only where no upstream may have begun to work on it.
 */
#ifndef DRAGONFLYWHARF_REQUEST_POLICY_H
#define DRAGONFLYWHARF_REQUEST_POLICY_H

#include <dragonflywharf/catalog.h>

#ifdef __cplusplus
extern "C" {
#endif

#define DW_POLICY_TRIED_MAX 8

struct dw_request_policy {
	enum dw_route_kind kind;
	bool is_idempotent;
	uint32_t max_runs; /**< upstreams that may run it */
	uint32_t runs; /**< upstreams that may have run it so far */
	uint32_t rejections; /**< sends that provably did not run */
	uint64_t deadline_us; /**< the caller's, or the route's time limit if that is sooner */
	bool has_response_started; /**< a part of an answer has gone to the caller */
};

/** How an attempt ended. */
enum dw_attempt_outcome {
	DW_ATTEMPT_NOT_SENT, /**< no connection was made */
	DW_ATTEMPT_REJECTED, /**< not run, by the upstream's own word */
	DW_ATTEMPT_WRONG_INSTANCE, /**< another upstream has the address; not run */
	DW_ATTEMPT_NO_ANSWER, /**< the connection ended, or its time passed, without an answer */
	DW_ATTEMPT_CUT, /**< the answer broke off */
	DW_ATTEMPT_INVALID, /**< bytes that are no answer to this request */
	DW_ATTEMPT_SERVER_ERROR, /**< a whole answer of 5xx */
	DW_ATTEMPT_DROPPED, /**< answered, but a better answer is wanted */
	DW_ATTEMPT_OUTCOME_COUNT
};

const char *dw_attempt_outcome_name(enum dw_attempt_outcome end);

enum dw_policy_verdict {
	DW_POLICY_SEND_AGAIN,
	DW_POLICY_PASS_ON, /**< give the upstream's own answer to the caller */
	DW_POLICY_REFUSE, /**< 503: the request has not run and will not */
	DW_POLICY_FAIL, /**< 502: it may have run */
	DW_POLICY_EXPIRE, /**< 504: out of time, it may have run */
	DW_POLICY_BREAK_OFF, /**< the answer has begun: end it visibly incomplete */
	DW_POLICY_VERDICT_COUNT
};

const char *dw_policy_verdict_name(enum dw_policy_verdict verdict);

/** @p caller_deadline_us 0: the caller gave none. */
void dw_request_policy_init(struct dw_request_policy *policy, const struct dw_route_rule *route,
			    uint64_t caller_deadline_us, uint64_t now_us);

/** Whether the request may be sent now; false once the runs or the time are used up. */
bool dw_request_policy_may_send(const struct dw_request_policy *policy, uint64_t now_us);

/** The request goes out to an upstream: from now on it may run. */
void dw_request_policy_sent(struct dw_request_policy *policy);

/**
 * An attempt ended. @p may_retry: the retry budget has room and an upstream is left.
 * PASS_ON follows only SERVER_ERROR.
 */
enum dw_policy_verdict dw_request_policy_ended(struct dw_request_policy *policy,
					       enum dw_attempt_outcome end, bool may_retry,
					       uint64_t now_us);

/** What to answer when no upstream can take the request, or its time has passed. */
enum dw_policy_verdict dw_request_policy_give_up(const struct dw_request_policy *policy,
						 uint64_t now_us);

#ifdef __cplusplus
}
#endif

#endif
