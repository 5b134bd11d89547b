/**
 * @file chat_request_state.h
 * State of a chat request, shared by the modules that implement its stages.
 */
#ifndef DAEMON_CHAT_REQUEST_STATE_H
#define DAEMON_CHAT_REQUEST_STATE_H

#include "dragonflywharfd/attempt.h"
#include "dragonflywharfd/chat_body.h"
#include "dragonflywharfd/dispatcher.h"
#include "dragonflywharfd/error_reply.h"

#define CHAT_ATTEMPTS_MAX 4
#define CHAT_ID_BYTES 40
#define CHAT_RATED_MAX_BYTES 65536U

/** A step of the cascade: the version of a model that is tried. */
struct chat_step {
	char model[DW_NAME_MAX_BYTES + 1];
	char version[DW_NAME_MAX_BYTES + 1];
};

struct chat_request {
	struct daemon *daemon;
	struct dw_http_exchange *exchange; /* NULL once answered or disconnected */
	char organisation[DW_NAME_MAX_BYTES + 1];
	uint64_t organisation_id;
	char id[CHAT_ID_BYTES]; /* the same for all attempts, in logs and headers */
	struct dw_fingerprint request_id; /* identifies its usage record */
	struct dw_fingerprint fingerprint; /* identifies it in the quarantine */
	struct chat_body body;
	uint64_t deadline_us;
	uint64_t received_us;
	struct queue_entry queue_entry;

	struct chat_step steps[DW_CASCADE_STEPS_MAX]; /* planned; the last is the requested model */
	size_t step_count;
	size_t step;
	uint32_t quality_target_permille;
	bool session_moved;
	uint64_t work_class; /* class of requests for which the cascade learns pass rates */
	bool in_session; /* keeps its version until that is held */
	bool rates_before_release; /* rate this answer before its release, as its version is watched */
	/* The watched version that gave a bad answer: the request runs again on another one. */
	char excluded_version[DW_NAME_MAX_BYTES + 1];
	bool has_session_id; /* the caller sent a session id instead of a token */
	struct dw_session_entry session;

	struct attempt *attempt;
	uint64_t tried[CHAT_ATTEMPTS_MAX];
	size_t tried_count;
	uint32_t crash_retries;
	bool may_have_run; /* an attempt was sent */
	bool answer_started; /* part of the answer was sent to the caller */
	struct attempt_end last_failure; /* the latest failed attempt, without its strings */
	bool connection_lost; /* the failed attempt's connection broke; possibly a crash */
	/* The retry timer queues the request again: other suspected requests run on each upstream
	 * that is left, or the chosen upstream became cold or was removed before the request
	 * was sent. */
	bool waits_for_suspects;
	bool crash_check_done; /* the last poll found that the cause was known */
	uint64_t crash_check_deadline_us; /* from then on the cause counts as unknown */
	uv_timer_t retry_timer;

	struct chat_usage usage;
	uint32_t content_events;
	char *content; /* text of the answer, to be rated */
	size_t content_len;
	char *held_back; /* end of the answer, held back until the ledger confirms the usage record */
	size_t held_back_len;

	bool reserved; /* has space reserved in the ledger */
	bool ended;
	uint32_t pending; /* callbacks that still refer to this request */
};

/** The current step. */
struct chat_step *chat_request_step(struct chat_request *request);

/** Whether the current step runs the requested model, rather than a cheaper one. */
static inline bool chat_request_at_last_step(const struct chat_request *request)
{
	return request->step + 1 == request->step_count;
}

/** Ends the request with an error reply, or by cutting off a stream that has started. */
void chat_request_fail(struct chat_request *request, enum dw_status status, const char *message);

/** Ends the request: leaves the queue, cancels the attempt, frees the ledger's reservation. */
void chat_request_end(struct chat_request *request);

/** Frees the request if it has ended and no callback refers to it. */
void chat_request_free_if_done(struct chat_request *request);

/** Queues the next step of the cascade. */
void chat_request_next_step(struct chat_request *request);

/** Whether to rate the current step's answer before its release, as its version is watched. */
bool chat_request_rates_before_release(struct chat_request *request);

/**
 * Queues the request again on another version of the model after a bad answer from a watched one.
 * Returns false if no other version, too little time or no retry budget is left, or if the queue
 * refuses it; the bad answer is then released.
 */
bool chat_request_rerun(struct chat_request *request);

/** Handles a complete, unstreamed answer to the current step. */
void chat_answer_buffered(struct chat_request *request, const char *body, size_t len);

/** Handles an event of a streamed answer. */
void chat_answer_stream_event(struct chat_request *request, const char *data, size_t data_len,
			      const char *raw, size_t raw_len);

/** Handles the end of a complete streamed answer. */
void chat_answer_stream_ended(struct chat_request *request);

/** Counts an outcome of the requested model's version, and holds the version on enough evidence. */
void chat_rating_count_outcome(struct daemon *daemon, const char *model, const char *version,
			       enum dw_rollout_outcome outcome);

/** Adds to the answer's text that is rated; parts beyond CHAT_RATED_MAX_BYTES are dropped. */
void chat_rating_add_content(struct chat_request *request, const char *text, size_t len);

/** Rates a sample of the released answers in the background. */
void chat_rating_rate_sample(struct chat_request *request);

/**
 * Rates an answer before its release and passes to @p done whether it may be released. If the
 * rating fails, an answer of the requested model is released and one of a cheaper model is not.
 */
void chat_rating_rate_before_release(struct chat_request *request, const char *content,
				     void (*done)(struct chat_request *request, bool release));

#endif
