/**
 * @file request_policy.h
 * Retry policy of one request: after each attempt, decides whether to retry, to forward the
 * upstream's response, or to answer with an error, and which one.
 *
 * A 503 response states that the request has not run, so it is sent only if no upstream can have
 * started the request.
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
	bool is_idempotent; /**< may run at several upstreams */
	uint32_t max_runs; /**< maximum number of upstreams that may run it */
	uint32_t runs; /**< number of upstreams that may have run it so far */
	uint32_t rejections; /**< attempts that are known not to have run */
	uint64_t deadline_us; /**< the caller's or the route's, whichever is earlier */
	bool has_response_started; /**< part of a response has been sent to the caller */
	bool is_stream_started; /**< that part consists of complete events, which another can continue */
};

/** Outcome of an attempt. */
enum dw_attempt_outcome {
	DW_ATTEMPT_NOT_SENT, /**< connection failed */
	DW_ATTEMPT_REJECTED, /**< the upstream stated that it did not run the request */
	DW_ATTEMPT_WRONG_INSTANCE, /**< another upstream answered at the address, and stated that it did not run the request */
	DW_ATTEMPT_NO_ANSWER, /**< connection closed or timed out without a response */
	DW_ATTEMPT_CUT, /**< the response was truncated */
	DW_ATTEMPT_INVALID, /**< not a valid response to this request */
	DW_ATTEMPT_SERVER_ERROR, /**< complete 5xx response */
	/** A response whose status promises that the request hasn't run, although the upstream didn't state
	 * that: it may have run. */
	DW_ATTEMPT_UNPROVEN_REFUSAL,
	/** The same from an upstream that says it isn't the one at whose address it is. */
	DW_ATTEMPT_UNPROVEN_MISDIRECTION,
	DW_ATTEMPT_DROPPED, /**< the response was discarded in favour of a better one */
	DW_ATTEMPT_OUTCOME_COUNT
};

const char *dw_attempt_outcome_name(enum dw_attempt_outcome outcome);

enum dw_policy_verdict {
	DW_POLICY_SEND_AGAIN,
	DW_POLICY_PASS_ON, /**< forward the upstream's response to the caller */
	DW_POLICY_REFUSE, /**< 503: the request has not run and will not run */
	DW_POLICY_FAIL, /**< 502: the request may have run */
	DW_POLICY_EXPIRE, /**< 504: deadline exceeded, the request may have run */
	DW_POLICY_BREAK_OFF, /**< the response has started: end it recognisably incomplete */
	DW_POLICY_VERDICT_COUNT
};

const char *dw_policy_verdict_name(enum dw_policy_verdict verdict);

/** @p caller_deadline_us is 0 if the caller set no deadline. */
void dw_request_policy_init(struct dw_request_policy *policy, const struct dw_route_rule *route,
			    uint64_t caller_deadline_us, uint64_t now_us);

/** True if another attempt may be sent now, within the attempt limits and the deadline. */
bool dw_request_policy_may_send(const struct dw_request_policy *policy, uint64_t now_us);

/** The request is sent to an upstream: from now on it may run. */
void dw_request_policy_sent(struct dw_request_policy *policy);

/**
 * An attempt ended. @p may_retry: the retry budget allows a retry and an untried upstream is left.
 * PASS_ON is returned only after SERVER_ERROR.
 */
enum dw_policy_verdict dw_request_policy_ended(struct dw_request_policy *policy,
					       enum dw_attempt_outcome outcome, bool may_retry,
					       uint64_t now_us);

/** The verdict if no upstream can take the request or its deadline has passed. */
enum dw_policy_verdict dw_request_policy_give_up(const struct dw_request_policy *policy,
						 uint64_t now_us);

#ifdef __cplusplus
}
#endif

#endif
