/**
 * @file silence.h
 * Decides how long to wait for an upstream that sends nothing, and when a request may be sent elsewhere
 * instead.
 *
 * Silence says little about an upstream: one that runs out of memory preempts runs for seconds and then
 * resumes them, while its connections stay open. A dead one shows on its connection. So a stream stays where
 * it is for nearly as long as its caller waits for the next event, and leaves only for an upstream that has
 * capacity. See docs/design/silence.md.
 */
#ifndef DRAGONFLYWHARF_SILENCE_H
#define DRAGONFLYWHARF_SILENCE_H

#include <dragonflywharf/engine.h>
#include <dragonflywharf/request_policy.h>

#ifdef __cplusplus
extern "C" {
#endif

/** How long a caller waits for the next event of a stream before it abandons it. */
uint64_t dw_silence_patience_us(const struct dw_route_rule *route);

/** An attempt that waits for its upstream. */
struct dw_silence_attempt {
	const struct dw_route_rule *route;
	const struct dw_request_policy *policy;
	bool has_prompt;
	bool has_answer_started; /**< the response's head has arrived */
	uint64_t expected_us; /**< time to the first byte, as estimated by the choice */
};

/** After this time without a byte, dw_silence_should_wait() is to be asked; 0: never. */
uint64_t dw_silence_limit_us(const struct dw_silence_attempt *attempt);

/** What is known when an attempt has been silent for longer than its limit. */
struct dw_silence_state {
	const struct dw_request_policy *policy;
	uint32_t retries_left; /**< in the service's budget */
	bool is_reading_paused; /**< the response isn't read, as the caller is slow */
	uint64_t silent_since_us;
	uint64_t upstream_last_byte_at_us; /**< on any connection of this instance */
	/** The upstream that would get the request now; NULL: none. */
	const struct dw_engine *other;
	bool has_answer_started; /**< the head of the response has come */
};

/** Whether to go on waiting; if not, the attempt may be aborted. */
bool dw_silence_should_wait(const struct dw_silence_state *state, uint64_t now_us);

/**
 * When the request may be sent to another upstream after an attempt was aborted now because of its silence.
 * The first upstream sees its connection closed and stops working on the request before that.
 */
uint64_t dw_silence_resend_at_us(enum dw_route_kind kind, uint64_t now_us);

/**
 * Until when a request waits for upstreams that want a pause: for its response-time goal, or, if it is a stream
 * that has begun, for as long as its caller waits for the next event; at most until its deadline.
 */
uint64_t dw_silence_wait_goal_us(const struct dw_route_rule *route,
				 const struct dw_request_policy *policy, uint64_t arrived_at_us,
				 uint64_t last_progress_at_us);

/** Whether an upstream is known or likely to take one more request without queuing it. */
bool dw_silence_has_capacity(const struct dw_engine *engine, uint64_t now_us);

#ifdef __cplusplus
}
#endif

#endif
