/**
 * @file attempt.h
 * One attempt to get a request answered by an engine: sends it and receives the answer, skips answers
 * to other requests on the connection, and updates the engine's statistics.
 */
#ifndef GATEWAY_ATTEMPT_H
#define GATEWAY_ATTEMPT_H

#include <dragonflywharf/request_policy.h>

#include "platform/response_fields.h"
#include "wharf-gateway/router.h"

struct attempt;

/** How the connection of a failed attempt ended. */
enum attempt_connection {
	ATTEMPT_CONNECTION_KEPT, /**< open, or closed by this instance */
	ATTEMPT_CONNECTION_REFUSED, /**< nothing listens at the engine's address */
	ATTEMPT_CONNECTION_CLOSED, /**< closed or reset by the engine's machine */
	ATTEMPT_CONNECTION_SILENT, /**< nothing was heard from the engine's machine */
	ATTEMPT_CONNECTION_COUNT
};

const char *attempt_connection_name(enum attempt_connection connection);

/** Why this instance ended an attempt that its engine was still working on. */
enum attempt_abandonment {
	ATTEMPT_CALLER_LEFT,
	ATTEMPT_DEADLINE_PASSED, /**< of the request */
	ATTEMPT_ENGINE_SILENT, /**< for longer than expected */
	ATTEMPT_ANSWER_DROPPED, /**< a larger model is asked instead */
	ATTEMPT_ANSWER_INVALID, /**< the answer can't be used */
	ATTEMPT_INSTANCE_STOPS,
	ATTEMPT_ABANDONMENT_COUNT
};

struct attempt_callbacks {
	/** The head of the answer to this request. @return false to drop it: on_failed follows. */
	bool (*on_head)(void *owner, const struct http_head *head,
			const struct response_fields *fields);
	bool (*on_body)(void *owner, const char *bytes, size_t len);
	/** The answer is complete; the attempt has been freed. */
	void (*on_end)(void *owner);
	/** The attempt ended without a complete answer and has been freed. */
	void (*on_failed)(void *owner, enum dw_attempt_outcome outcome,
			  enum attempt_connection connection);
};

struct attempt_options {
	const struct dw_choice_selection *chosen;
	const char *attempt_id; /**< the caller's, which the answer must echo */
	const void *request;
	size_t request_len;
	const struct dw_crash_run *run; /**< what may crash the engine; copied */
	bool is_suspect; /**< it may crash the engine, see crash_guard.h */
	struct dw_fingerprint suspect; /**< what makes it one; valid with is_suspect */
	bool requires_signature; /**< a successful answer must bear the engine's signature */
	struct dw_model_speed *speed; /**< updated by the answer; may be NULL */
	struct dw_work_stats *work_stats; /**< the same; NULL: requests aren't placed by cost */
};

/**
 * Starts an attempt. @return NULL if no connection could be started, which counts as
 * DW_ATTEMPT_NOT_SENT; no callback follows then.
 */
struct attempt *attempt_start(struct router *router, const struct attempt_options *options,
			      const struct attempt_callbacks *callbacks, void *owner);

/** Closes the connection at once and frees the attempt; no callback follows. @p engine_outcome is
 * recorded in the engine's statistics. */
void attempt_abort(struct attempt *attempt, enum attempt_abandonment why,
		   enum dw_engine_outcome engine_outcome);

bool attempt_is_connected(const struct attempt *attempt);
const struct dw_engine *attempt_engine(const struct attempt *attempt);
/** Stops or resumes reading the answer, for a slow caller. */
void attempt_pause(struct attempt *attempt, bool paused);
bool attempt_is_paused(const struct attempt *attempt);

#endif
