/**
 * @file chat_request_state.h
 * The state of a chat request, shared by the modules that carry it through its stages.
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

struct chat_step {
	char model[DW_NAME_MAX_BYTES + 1];
	char version[DW_NAME_MAX_BYTES + 1];
};

struct chat_request {
	struct daemon *daemon;
	struct dw_http_exchange *exchange; /* NULL once answered or left */
	char organisation[DW_NAME_MAX_BYTES + 1];
	uint64_t organisation_id;
	char id[CHAT_ID_BYTES]; /* the same for all attempts, in logs and headers */
	struct dw_fingerprint request_id; /* what it is billed under */
	struct dw_fingerprint fingerprint; /* what it is quarantined under */
	struct chat_body body;
	uint64_t deadline_us;
	uint64_t received_us;
	struct turn turn;

	struct chat_step
		steps[DW_CASCADE_STEPS_MAX]; /* in the plan's order; the last is asked for */
	size_t step_count;
	size_t step;
	uint32_t quality_target_permille;
	bool session_moved;
	uint64_t work_id; /* the kind of work, for the cascade's rates */
	bool in_session; /* it keeps its version until that is held */
	bool rates_first; /* this answer is rated before its release, as its version is watched */
	/* A watched version that answered badly: the request runs once more, on another one. */
	char avoided_version[DW_NAME_MAX_BYTES + 1];
	bool has_session_id; /* the caller names its session, without a token */
	struct dw_session_entry session;

	struct attempt *attempt;
	uint64_t tried[CHAT_ATTEMPTS_MAX];
	size_t tried_count;
	uint32_t crash_retries;
	bool may_have_run; /* some attempt was sent */
	bool answer_started; /* bytes have gone to the caller */
	struct attempt_end failed; /* the latest failed attempt, without its texts */
	bool broke; /* its connection broke: a crash, perhaps */
	bool judged; /* whether it was one was known at the last look */
	uint64_t verdict_deadline_us;
	uv_timer_t retry_timer;

	struct chat_usage usage;
	uint32_t content_events;
	char *content; /* text of the answer, for rating */
	size_t content_len;
	char *tail; /* what is held back until the usage record is safe */
	size_t tail_len;

	bool reserved; /* room in the ledger */
	bool ended;
	uint32_t pending; /* callbacks that still refer to this request */
};

/** The version that the current step runs. */
struct chat_step *chat_request_step(struct chat_request *request);

/** The current step runs the model that was asked for: nothing cheaper is left to try. */
static inline bool chat_request_at_last_step(const struct chat_request *request)
{
	return request->step + 1 == request->step_count;
}

/** Ends the request without an answer: tells the caller a typed error, or cuts its stream. */
void chat_request_fail(struct chat_request *request, enum dw_status status, const char *message);

/** Ends all but the answer to the caller. */
void chat_request_end(struct chat_request *request);

/** Frees the request once it has ended and nothing refers to it. */
void chat_request_settle(struct chat_request *request);

/** Goes on to the next step of the cascade. */
void chat_request_next_step(struct chat_request *request);

/** Whether the current step's answer is to be rated before its release: a watched version's. */
bool chat_request_rates_first(struct chat_request *request);

/**
 * Queues the request again on another version of the model, after a bad answer of a watched one.
 * False if it may not: no other version, no time, no budget; the answer then stands.
 */
bool chat_request_run_again(struct chat_request *request);

/** A whole plain answer of the current step has come. */
void chat_answer_plain(struct chat_request *request, const char *body, size_t len);

/** An event of a streamed answer has come. */
void chat_answer_event(struct chat_request *request, const char *data, size_t data_len,
		       const char *raw, size_t raw_len);

/** The streamed answer is whole. */
void chat_answer_streamed(struct chat_request *request);

/** Counts the outcome of an answer of the model that was asked for, and holds the version if the evidence says so. */
void chat_rating_count(struct daemon *daemon, const char *model, const char *version,
		       enum dw_rollout_outcome outcome);

/** Adds a part of the answer's text, as far as it is rated. */
void chat_rating_add_content(struct chat_request *request, const char *text, size_t len);

/** Rates a released answer in the background, a share of them. */
void chat_rating_sample(struct chat_request *request);

/**
 * Rates an unreleased answer; @p done tells whether it may be released. Without a rating an answer
 * of the model that was asked for may, a cheaper one's may not.
 */
void chat_rating_decide(struct chat_request *request, const char *content,
			void (*done)(struct chat_request *request, bool release));

#endif
