#include <dragonflywharf/request_policy.h>

#include <string.h>

#define US_PER_MS UINT64_C(1000)

/* Rejected attempts don't run, but each retry uses up the retry budget shared by all requests. */
#define REJECTIONS_MAX 3
/* Time limit for a route that sets none, so that its requests end even without a caller's deadline.
 */
#define DEFAULT_TIMEOUT_MS 60000
/* With less time left than this, an upstream can't answer in time. */
#define SEND_MIN_LEFT_US (20 * US_PER_MS)

static const char *const outcome_names[DW_ATTEMPT_OUTCOME_COUNT] = {
	[DW_ATTEMPT_NOT_SENT] = "not_sent",
	[DW_ATTEMPT_REJECTED] = "rejected",
	[DW_ATTEMPT_WRONG_INSTANCE] = "wrong_instance",
	[DW_ATTEMPT_NO_ANSWER] = "no_answer",
	[DW_ATTEMPT_CUT] = "cut",
	[DW_ATTEMPT_INVALID] = "invalid",
	[DW_ATTEMPT_SERVER_ERROR] = "server_error",
	[DW_ATTEMPT_UNPROVEN_REFUSAL] = "unproven_refusal",
	[DW_ATTEMPT_UNPROVEN_MISDIRECTION] = "unproven_misdirection",
	[DW_ATTEMPT_DROPPED] = "dropped",
};

static const char *const verdict_names[DW_POLICY_VERDICT_COUNT] = {
	[DW_POLICY_SEND_AGAIN] = "send_again", [DW_POLICY_PASS_ON] = "pass_on",
	[DW_POLICY_REFUSE] = "refuse",	       [DW_POLICY_FAIL] = "fail",
	[DW_POLICY_EXPIRE] = "expire",	       [DW_POLICY_BREAK_OFF] = "break_off",
};

const char *dw_attempt_outcome_name(enum dw_attempt_outcome outcome)
{
	return outcome < DW_ATTEMPT_OUTCOME_COUNT ? outcome_names[outcome] : "unknown";
}

const char *dw_policy_verdict_name(enum dw_policy_verdict verdict)
{
	return verdict < DW_POLICY_VERDICT_COUNT ? verdict_names[verdict] : "unknown";
}

void dw_request_policy_init(struct dw_request_policy *policy, const struct dw_route_rule *route,
			    uint64_t caller_deadline_us, uint64_t now_us)
{
	uint32_t timeout_ms = route->timeout_ms > 0 ? route->timeout_ms : DEFAULT_TIMEOUT_MS;

	memset(policy, 0, sizeof(*policy));
	policy->kind = route->kind;
	policy->is_idempotent = route->kind == DW_ROUTE_SAFE ||
				(route->kind == DW_ROUTE_STREAM && route->is_resumable);
	policy->max_runs =
		policy->is_idempotent && route->max_attempts > 1 ? route->max_attempts : 1;
	policy->deadline_us = now_us + timeout_ms * US_PER_MS;
	if (caller_deadline_us > 0 && caller_deadline_us < policy->deadline_us)
		policy->deadline_us = caller_deadline_us;
}

bool dw_request_policy_may_send(const struct dw_request_policy *policy, uint64_t now_us)
{
	return policy->runs < policy->max_runs && policy->rejections < REJECTIONS_MAX &&
	       now_us + SEND_MIN_LEFT_US < policy->deadline_us;
}

void dw_request_policy_sent(struct dw_request_policy *policy)
{
	policy->runs++;
}

/* The attempt that just ended is known not to have run. */
static void count_rejection(struct dw_request_policy *policy)
{
	if (policy->runs > 0)
		policy->runs--;
	policy->rejections++;
}

enum dw_policy_verdict dw_request_policy_give_up(const struct dw_request_policy *policy,
						 uint64_t now_us)
{
	if (policy->has_response_started)
		return DW_POLICY_BREAK_OFF;
	if (policy->runs == 0)
		return DW_POLICY_REFUSE;
	return now_us >= policy->deadline_us ? DW_POLICY_EXPIRE : DW_POLICY_FAIL;
}

enum dw_policy_verdict dw_request_policy_ended(struct dw_request_policy *policy,
					       enum dw_attempt_outcome outcome, bool may_retry,
					       uint64_t now_us)
{
	bool has_not_run = false;
	/* Only the event ids of a stream tell where another response has to continue. */
	bool can_continue = !policy->has_response_started || policy->is_stream_started;

	switch (outcome) {
	case DW_ATTEMPT_NOT_SENT:
	case DW_ATTEMPT_REJECTED:
	case DW_ATTEMPT_WRONG_INSTANCE:
		count_rejection(policy);
		has_not_run = true;
		break;
	case DW_ATTEMPT_NO_ANSWER:
	case DW_ATTEMPT_CUT:
	case DW_ATTEMPT_INVALID:
	case DW_ATTEMPT_SERVER_ERROR:
	case DW_ATTEMPT_UNPROVEN_REFUSAL:
	case DW_ATTEMPT_UNPROVEN_MISDIRECTION:
	case DW_ATTEMPT_DROPPED:
	case DW_ATTEMPT_OUTCOME_COUNT:
		break;
	}
	if (may_retry && can_continue && (has_not_run || policy->is_idempotent) &&
	    dw_request_policy_may_send(policy, now_us))
		return DW_POLICY_SEND_AGAIN;
	if (outcome == DW_ATTEMPT_SERVER_ERROR && !policy->is_stream_started)
		return DW_POLICY_PASS_ON;
	return dw_request_policy_give_up(policy, now_us);
}
