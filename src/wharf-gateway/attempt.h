/**
 * @file attempt.h
 * One send of a request to an engine: the connection, and the answer as far as it concerns this
 * request. Keeps the engine's counts.
 */
#ifndef GATEWAY_ATTEMPT_H
#define GATEWAY_ATTEMPT_H

#include <dragonflywharf/request_policy.h>

#include "platform/response_fields.h"
#include "wharf-gateway/router.h"

struct attempt;

struct attempt_callbacks {
	/** The engine's answer to this request begins. @return false: drop it, on_over follows. */
	bool (*on_head)(void *owner, const struct http_head *head,
			const struct response_fields *fields);
	bool (*on_body)(void *owner, const char *bytes, size_t len);
	/** The answer is complete; the attempt is over. */
	void (*on_end)(void *owner);
	/** The attempt is over without a complete answer. */
	void (*on_over)(void *owner, enum dw_attempt_outcome end);
};

struct attempt_options {
	const struct dw_choice_selection *chosen;
	const char *attempt_id; /**< the caller's, which the answer must echo */
	const void *request;
	size_t request_len;
	bool fresh; /**< over a new connection */
	bool wants_seal; /**< a success must bear the engine's signature */
	struct dw_model_speed *speed; /**< to learn from the answer; may be NULL */
};

/** NULL: no connection could be begun, which counts as DW_ATTEMPT_NOT_SENT; no callback follows. */
struct attempt *attempt_start(struct router *router, const struct attempt_options *options,
			      const struct attempt_callbacks *calls, void *owner);

/** Gives the attempt up: closes its connection at once; no callback follows. */
void attempt_abort(struct attempt *attempt, enum dw_engine_outcome outcome);

bool attempt_is_connected(const struct attempt *attempt);
bool attempt_answer_started(const struct attempt *attempt);
const struct dw_engine *attempt_engine(const struct attempt *attempt);
void attempt_pause(struct attempt *attempt, bool paused);

#endif
