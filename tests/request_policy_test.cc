#include <gtest/gtest.h>

#include <random>

#include <dragonflywharf/request_policy.h>

namespace
{

constexpr uint64_t MS = 1000;

dw_request_policy policy_of(dw_route_kind kind, bool resumable, uint32_t attempts)
{
	dw_route_rule route{};
	route.kind = kind;
	route.is_resumable = resumable;
	route.max_attempts = attempts;
	route.timeout_ms = 1000;
	dw_request_policy policy;
	dw_request_policy_init(&policy, &route, 0, 0);
	return policy;
}

TEST(RequestPolicy, UnsafeRequestThatMayHaveRunIsNeitherRetriedNorRefused)
{
	for (int outcome = 0; outcome < DW_ATTEMPT_OUTCOME_COUNT; outcome++) {
		dw_request_policy policy = policy_of(DW_ROUTE_UNSAFE, false, 3);
		dw_request_policy_sent(&policy);
		dw_policy_verdict verdict = dw_request_policy_ended(
			&policy, (dw_attempt_outcome)outcome, true, 10 * MS);
		switch (outcome) {
		case DW_ATTEMPT_NOT_SENT:
		case DW_ATTEMPT_REJECTED:
		case DW_ATTEMPT_WRONG_INSTANCE:
			EXPECT_EQ(verdict, DW_POLICY_SEND_AGAIN)
				<< dw_attempt_outcome_name((dw_attempt_outcome)outcome);
			break;
		case DW_ATTEMPT_SERVER_ERROR:
			EXPECT_EQ(verdict, DW_POLICY_PASS_ON);
			break;
		default:
			EXPECT_EQ(verdict, DW_POLICY_FAIL)
				<< dw_attempt_outcome_name((dw_attempt_outcome)outcome);
		}
	}
}

TEST(RequestPolicy, SafeRequestIsRetriedWithinItsAttempts)
{
	dw_request_policy policy = policy_of(DW_ROUTE_SAFE, false, 2);
	dw_request_policy_sent(&policy);
	EXPECT_EQ(dw_request_policy_ended(&policy, DW_ATTEMPT_SERVER_ERROR, true, MS),
		  DW_POLICY_SEND_AGAIN);
	dw_request_policy_sent(&policy);
	EXPECT_EQ(dw_request_policy_ended(&policy, DW_ATTEMPT_SERVER_ERROR, true, MS),
		  DW_POLICY_PASS_ON);
}

/* Guards against a 503 that is passed on, with its promise, although the upstream has run the request. */
TEST(RequestPolicy, ARefusalThatNothingProvesIsNeitherPassedOnNorGivenAsOnesOwn)
{
	for (int kind = 0; kind < DW_ROUTE_KIND_COUNT; kind++) {
		for (bool resumable : { false, true }) {
			dw_request_policy policy = policy_of((dw_route_kind)kind, resumable, 2);
			dw_policy_verdict verdict = DW_POLICY_SEND_AGAIN;
			uint32_t sends = 0;
			while (verdict == DW_POLICY_SEND_AGAIN) {
				dw_request_policy_sent(&policy);
				sends++;
				verdict = dw_request_policy_ended(
					&policy, DW_ATTEMPT_UNPROVEN_REFUSAL, true, MS);
			}
			EXPECT_EQ(verdict, DW_POLICY_FAIL);
			EXPECT_EQ(sends, policy.is_idempotent ? 2U : 1U);
		}
	}
}

/* Guards against a server error that is broken off before its end because part of it was passed on. */
TEST(RequestPolicy, AServerErrorThatHasStartedIsPassedOnToItsEnd)
{
	dw_request_policy policy = policy_of(DW_ROUTE_UNSAFE, false, 1);
	dw_request_policy_sent(&policy);
	policy.has_response_started = true;
	EXPECT_EQ(dw_request_policy_ended(&policy, DW_ATTEMPT_SERVER_ERROR, true, MS),
		  DW_POLICY_PASS_ON);
}

TEST(RequestPolicy, NoRetryWithoutBudget)
{
	dw_request_policy policy = policy_of(DW_ROUTE_SAFE, false, 3);
	dw_request_policy_sent(&policy);
	EXPECT_EQ(dw_request_policy_ended(&policy, DW_ATTEMPT_REJECTED, false, MS),
		  DW_POLICY_REFUSE);
}

TEST(RequestPolicy, RejectionsAreNotRunsButAreLimited)
{
	dw_request_policy policy = policy_of(DW_ROUTE_SAFE, false, 1);
	int sends = 0;
	dw_policy_verdict verdict = DW_POLICY_SEND_AGAIN;
	while (verdict == DW_POLICY_SEND_AGAIN) {
		dw_request_policy_sent(&policy);
		sends++;
		verdict = dw_request_policy_ended(&policy, DW_ATTEMPT_REJECTED, true, MS);
	}
	EXPECT_EQ(verdict, DW_POLICY_REFUSE);
	EXPECT_LE(sends, 3);
	EXPECT_EQ(policy.runs, 0U);
}

TEST(RequestPolicy, StartedResponseEndsRecognisablyIncomplete)
{
	dw_request_policy policy = policy_of(DW_ROUTE_STREAM, false, 3);
	dw_request_policy_sent(&policy);
	policy.has_response_started = true;
	EXPECT_EQ(dw_request_policy_ended(&policy, DW_ATTEMPT_CUT, true, MS), DW_POLICY_BREAK_OFF);
	policy = policy_of(DW_ROUTE_STREAM, true, 3);
	dw_request_policy_sent(&policy);
	policy.has_response_started = true;
	policy.is_stream_started = true;
	EXPECT_EQ(dw_request_policy_ended(&policy, DW_ATTEMPT_CUT, true, MS), DW_POLICY_SEND_AGAIN);
}

/* A long error on a resumable stream's route breaks off: a stream can't continue it. */
TEST(RequestPolicy, AStartedErrorOnAStreamsRouteIsNeverRetried)
{
	dw_request_policy policy = policy_of(DW_ROUTE_STREAM, true, 3);
	dw_request_policy_sent(&policy);
	policy.has_response_started = true;
	EXPECT_EQ(dw_request_policy_ended(&policy, DW_ATTEMPT_CUT, true, MS), DW_POLICY_BREAK_OFF);
}

/* A long plain response is forwarded as it arrives; if it is truncated, another upstream's response
 * can't continue at that point. */
TEST(RequestPolicy, StartedPlainResponseIsNeverRetried)
{
	dw_request_policy policy = policy_of(DW_ROUTE_SAFE, false, 3);
	dw_request_policy_sent(&policy);
	policy.has_response_started = true;
	EXPECT_EQ(dw_request_policy_ended(&policy, DW_ATTEMPT_CUT, true, MS), DW_POLICY_BREAK_OFF);
}

TEST(RequestPolicy, EarlierOfCallerDeadlineAndRouteLimitApplies)
{
	dw_route_rule route{};
	route.kind = DW_ROUTE_SAFE;
	route.max_attempts = 2;
	route.timeout_ms = 400;
	dw_request_policy policy;
	dw_request_policy_init(&policy, &route, 900 * MS, 100 * MS);
	EXPECT_EQ(policy.deadline_us, 500 * MS);
	dw_request_policy_init(&policy, &route, 300 * MS, 100 * MS);
	EXPECT_EQ(policy.deadline_us, 300 * MS);
	EXPECT_FALSE(dw_request_policy_may_send(&policy, 300 * MS));
	EXPECT_EQ(dw_request_policy_give_up(&policy, 300 * MS), DW_POLICY_REFUSE);
	dw_request_policy_sent(&policy);
	EXPECT_EQ(dw_request_policy_give_up(&policy, 300 * MS), DW_POLICY_EXPIRE);
}

/* Over random attempts: a request that may have run is never refused, and no more upstreams than
 * its attempt limit may have run it. */
TEST(RequestPolicy, RequestThatMayHaveRunIsNeverRefused)
{
	std::mt19937_64 random(11);
	for (int round = 0; round < 20000; round++) {
		dw_route_kind kind = (dw_route_kind)(random() % DW_ROUTE_KIND_COUNT);
		uint32_t attempts = 1 + random() % 4;
		dw_request_policy policy = policy_of(kind, random() % 2, attempts);
		uint32_t may_have_run = 0;
		dw_policy_verdict verdict = DW_POLICY_SEND_AGAIN;
		uint64_t now_us = 0;
		while (verdict == DW_POLICY_SEND_AGAIN) {
			now_us += random() % (400 * MS);
			if (!dw_request_policy_may_send(&policy, now_us)) {
				verdict = dw_request_policy_give_up(&policy, now_us);
				break;
			}
			dw_request_policy_sent(&policy);
			auto outcome = (dw_attempt_outcome)(random() % DW_ATTEMPT_OUTCOME_COUNT);
			if (outcome > DW_ATTEMPT_WRONG_INSTANCE)
				may_have_run++;
			verdict = dw_request_policy_ended(&policy, outcome, random() % 4 != 0,
							  now_us);
		}
		ASSERT_LE(may_have_run, policy.is_idempotent ? attempts : 1U);
		if (verdict == DW_POLICY_REFUSE) {
			ASSERT_EQ(may_have_run, 0U);
		}
	}
}

} // namespace
