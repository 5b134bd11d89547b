#include <dragonflywharf/silence.h>

#define US_PER_MS UINT64_C(1000)
#define US_PER_S UINT64_C(1000000)

/* Callers abandon a stream after the longest of these without an event. */
#define PATIENCE_MIN_US (2 * US_PER_S)
#define PATIENCE_PER_LATENCY UINT64_C(4)
#define PATIENCE_PER_GAP UINT64_C(8)
/* Time that an upstream has to notice its closed connection: the limit is 400 ms, and the notice takes up to
 * 4 ms between failure domains. */
#define NOTICE_US (450 * US_PER_MS)
/* A stream leaves a silent upstream so long before its caller does: the notice, and 500 ms for the first event
 * of the next upstream. */
#define STREAM_LEAD_US (NOTICE_US + 500 * US_PER_MS)
/* No stream leaves sooner, on routes with short targets either: processing its prompt again adds to the load
 * that mostly causes the silence. */
#define STREAM_LIMIT_MIN_US (4 * US_PER_S)

/* A safe request, or a stream whose response hasn't started, is retried after this silence plus
 * EXPECTED_FACTOR times the expected time to the first byte: an engine that hangs answers nothing, and with
 * the longer limit of streams in progress such requests reached their deadline. */
#define SAFE_LIMIT_US (700 * US_PER_MS)
#define SAFE_PROMPT_LIMIT_US (3 * US_PER_S)
#define EXPECTED_FACTOR 3
/* The same once its response has started. */
#define SAFE_STARTED_LIMIT_US (4 * US_PER_S)
/* While its upstream has sent on other connections so recently, it isn't retried before this silence. */
#define SAFE_ALIVE_LIMIT_US (8 * US_PER_S)
#define ALIVE_WITHIN_US (2 * US_PER_S)

/* An older load report says nothing about capacity. */
#define LOAD_MAX_AGE_US (3 * US_PER_S)

static uint64_t larger(uint64_t a, uint64_t b)
{
	return a > b ? a : b;
}

uint64_t dw_silence_patience_us(const struct dw_route_rule *route)
{
	uint64_t latency_us = PATIENCE_PER_LATENCY * route->target_latency_ms * US_PER_MS;
	uint64_t gap_us = PATIENCE_PER_GAP * route->target_gap_ms * US_PER_MS;

	return larger(PATIENCE_MIN_US, larger(latency_us, gap_us));
}

/* Whether another upstream could take over after what the caller has received. */
static bool can_continue(const struct dw_request_policy *policy)
{
	return policy->is_idempotent &&
	       (!policy->has_response_started || policy->is_stream_started);
}

uint64_t dw_silence_limit_us(const struct dw_silence_attempt *attempt)
{
	const struct dw_request_policy *policy = attempt->policy;

	if (!can_continue(policy) || policy->runs >= policy->max_runs)
		return 0;
	if (policy->kind == DW_ROUTE_STREAM && attempt->has_answer_started)
		return larger(dw_silence_patience_us(attempt->route) - STREAM_LEAD_US,
			      STREAM_LIMIT_MIN_US);
	if (attempt->has_answer_started)
		return SAFE_STARTED_LIMIT_US;
	return (attempt->has_prompt ? SAFE_PROMPT_LIMIT_US : SAFE_LIMIT_US) +
	       EXPECTED_FACTOR * attempt->expected_us;
}

bool dw_silence_should_wait(const struct dw_silence_state *state, uint64_t now_us)
{
	const struct dw_request_policy *policy = state->policy;
	uint64_t resend_at_us = dw_silence_resend_at_us(policy->kind, now_us);

	if (state->is_reading_paused || state->retries_left == 0 || !state->other ||
	    !can_continue(policy) || !dw_request_policy_may_send(policy, resend_at_us))
		return true;
	if (policy->kind == DW_ROUTE_STREAM && !dw_silence_has_capacity(state->other, now_us))
		return true;
	if (policy->kind == DW_ROUTE_STREAM && state->has_answer_started)
		return false;
	return now_us < state->silent_since_us + SAFE_ALIVE_LIMIT_US &&
	       state->upstream_last_byte_at_us + ALIVE_WITHIN_US > now_us;
}

uint64_t dw_silence_resend_at_us(enum dw_route_kind kind, uint64_t now_us)
{
	return kind == DW_ROUTE_STREAM ? now_us + NOTICE_US : now_us;
}

uint64_t dw_silence_wait_goal_us(const struct dw_route_rule *route,
				 const struct dw_request_policy *policy, uint64_t arrived_at_us,
				 uint64_t last_progress_at_us)
{
	uint64_t goal_us = policy->is_stream_started
				   ? last_progress_at_us + dw_silence_patience_us(route)
				   : arrived_at_us + route->target_latency_ms * US_PER_MS;

	return goal_us < policy->deadline_us ? goal_us : policy->deadline_us;
}

bool dw_silence_has_capacity(const struct dw_engine *engine, uint64_t now_us)
{
	const struct dw_engine_load *load = &engine->load;

	if (!dw_engine_is_usable(engine, now_us) || dw_engine_is_paused(engine, now_us) ||
	    !dw_engine_has_room(engine, now_us) || now_us < engine->ejected_until_us)
		return false;
	if (load->reported_at_us == 0 || load->slots == 0 ||
	    now_us >= load->reported_at_us + LOAD_MAX_AGE_US)
		return true;
	return load->waiting == 0 && load->running + engine->sent_since_load < load->slots;
}
