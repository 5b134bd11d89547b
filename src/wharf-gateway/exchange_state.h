/**
 * @file exchange_state.h
 * The state of one request, shared by the modules that handle it: exchange.c (attempts and retries),
 * exchange_route.c (choice of model and engine), exchange_answer.c (the engine's answer),
 * exchange_reply.c (the final answer to the caller).
 */
#ifndef GATEWAY_EXCHANGE_STATE_H
#define GATEWAY_EXCHANGE_STATE_H

#include <dragonflywharf/event_order.h>
#include <dragonflywharf/fingerprint.h>
#include <dragonflywharf/request_policy.h>
#include <dragonflywharf/version_shift.h>

#include "base/error_json.h"
#include "net/event_stream.h"
#include "platform/request_fields.h"
#include "wharf-gateway/admission_gate.h"
#include "wharf-gateway/attempt.h"
#include "wharf-gateway/exchange.h"

/* A resumable stream that pauses for this long is resumed on another engine. While its engine still
 * sends on other connections, a longer pause is tolerated (SILENCE_MAX_US in exchange.c). A dead
 * engine is detected sooner, by the probes of its TCP connection; a pause alone is mostly a sign of
 * load, and processing the prompt again on another engine adds to that load. */
#define STREAM_GAP_TIMEOUT_US (4 * DW_US_PER_S)
/* The largest model is asked for a better answer only while the budget has at least this many retries,
 * so that retries remain for requests that fail. */
#define RETRIES_RESERVED 3
/* Shortest Retry-After that is sent to a refused caller. */
#define RETRY_AFTER_MIN_MS 200

struct exchange {
	struct router *router;
	struct caller *caller; /**< NULL once it has disconnected or was answered */
	struct caller_request request;
	struct request_fields fields;
	struct dw_catalog *catalog;
	const struct dw_route_rule *route;
	const struct dw_organisation_rule *organisation;
	const struct dw_service_rule *service;
	const char *service_name;
	struct dw_crash_run run; /**< what may crash an engine, see exchange_identify() */
	struct dw_request_policy policy;
	const char *model; /**< chosen by the gateway; NULL: the caller named one */
	uint32_t model_index; /**< of model in route->models; valid if model is set */
	char version[DW_ENGINE_TEXT_BYTES]; /**< of the attempt's engine */
	uint64_t attempt_sent_at_us;
	uint64_t attempt_nominal_us; /**< time to the first byte at an engine of usual speed */
	bool is_load_test; /**< the attempt is part of a rollout's load test */
	uint64_t shift_revision; /**< rollout that counts the attempt as under way; 0: none */
	bool is_wait_counted; /**< the attempt's wait for its first byte was counted */
	uint64_t answer_started_at_us; /**< of the attempt's answer; 0: not started */
	uint32_t load_permille; /**< of the engine's slots, as reported in the answer; 0: unknown */
	char tried[DW_CHOICE_TRIED_MAX][DW_ENGINE_TEXT_BYTES];
	uint32_t tried_count;
	uint32_t send_count;
	struct attempt *attempt;
	enum attempt_connection connection; /**< of the last failed attempt */
	uint64_t connect_deadline_us; /**< by then the attempt must be connected */
	uint64_t last_progress_at_us; /**< when the attempt was sent or last received data */
	uint64_t silence_deadline_us; /**< then a silent attempt is aborted; 0: never */
	/** Until then it is tried again to send the request; 0: not waiting. */
	uint64_t send_wait_deadline_us;
	uint64_t send_retry_at_us; /**< when it is tried next; valid while waiting */
	struct admission_wait wait; /**< its place in the admission queue */
	bool has_suspicion; /**< the request may crash its engine */
	bool is_suspect; /**< it is counted as a suspect while it runs */
	enum dw_choice_suspicion suspicion; /**< valid with has_suspicion */
	struct dw_fingerprint suspect; /**< what makes it one; valid with has_suspicion */
	/** A refused caller isn't told to come back sooner; 0: whenever. */
	uint64_t retry_not_before_us;
	uint64_t first_byte_at_us;
	uv_timer_t timer;
	/** Head of the answer being received. */
	struct http_answer_head {
		uint16_t status;
		struct bytes fields;
		char type[64]; /**< its content type, cut to this length */
		bool is_stream;
		/** Once complete, the answer shows that the engine has run the request and still ran
		 * afterwards: it is signed, and the engine's end wouldn't have completed it too. */
		bool shows_run;
		uint64_t began_at_us; /**< when the first byte of its body came; 0: none yet */
		uint32_t confidence;
	} answer;
	struct bytes buffered_body; /**< not yet sent to the caller */
	struct event_stream events;
	struct dw_event_order order;
	bool is_out_of_order;
	/** The stream is resumed, and its next event hasn't come yet. */
	bool is_continuation_due;
	bool is_finished;
};

/** Ends the exchange without answering the caller; its memory is freed later, from the loop. */
void exchange_close(struct exchange *exchange);
/** Logs the end of the request; @p status 0 if the caller got no answer. */
void exchange_log_end(struct exchange *exchange, enum dw_event event, int status,
		      const char *reason);
/** Pins the request's session to the version of its engine, or renews the pin. */
void exchange_pin_session(struct exchange *exchange);

/** Bytes of the text that names the parts of a prompt, including the NUL. */
#define EXCHANGE_PARTS_TEXT_BYTES (DW_PROMPT_PARTS_MAX * 17 + 1)
/** Writes the ids of the prompt's parts, as the caller wrote them, for the log. */
void exchange_parts_text(const struct exchange *exchange, char out[EXCHANGE_PARTS_TEXT_BYTES]);

/* exchange_reply.c: the final answer. All but exchange_reply_error() also close the exchange. */

/** Sends an error that the gateway itself raises; needs no exchange. */
void exchange_reply_error(struct caller *caller, int status, const char *phrase,
			  enum dw_status error, enum not_run not_run, const char *message,
			  uint32_t retry_after_ms);
/** Answers 503: no engine has run the request. */
void exchange_refuse(struct exchange *exchange, enum dw_status error, const char *reason);
/** Answers with an error that says that an engine may have run the request. */
void exchange_fail(struct exchange *exchange, int status, const char *phrase, enum dw_status error,
		   const char *reason);
/** Closes the caller's connection: the answer was partly sent and can't be completed. */
void exchange_break_off(struct exchange *exchange, const char *reason);
/** Sends the rest of the engine's answer to the caller and completes it. */
void exchange_pass_on(struct exchange *exchange);

/* exchange_route.c: authorisation, choice of model and engine. */

/** Finds the route and checks the API key; on false, sets the error to answer with. */
bool exchange_admit(struct exchange *exchange, const char **reason, int *status,
		    enum dw_status *error);
/** Sets what a repeat of the request has in common with it, at any instance: its fingerprint, and the
 * parts of its prompt that other requests may have too. */
void exchange_identify(struct exchange *exchange);
/** Hash of the session, or of the attempt id if there is none; decides traffic splits. */
uint64_t exchange_split_hash(const struct exchange *exchange);
/** Chooses the first model to try if the caller left the choice to the gateway. */
void exchange_choose_model(struct exchange *exchange, uint64_t now_us);
/** Fills in the input of dw_engine_choose(). */
void exchange_init_choice(struct exchange *exchange, struct dw_choice_request *choice,
			  uint64_t now_us);
/** Chooses an engine, following the version rollout of the service if one is in progress. */
enum dw_choice_result exchange_choose_engine(struct exchange *exchange,
					     struct dw_choice_request *choice,
					     struct dw_choice_selection *chosen);
/** 0 (served first) to 9 (last); negative: the engine doesn't order requests by it. */
int exchange_urgency(const struct exchange *exchange);

/* exchange_answer.c: receiving the engine's answer. */

extern const struct attempt_callbacks exchange_attempt_callbacks;
/** Restarts the silence timeout: without data within @p limit_us, the attempt is aborted. */
void exchange_restart_silence_timeout(struct exchange *exchange, uint64_t limit_us);
/** The attempt is sent: counts it for the service's rollout, if one is running. */
void exchange_count_version_sent(struct exchange *exchange);
/** The attempt ended; @p is_good: with a complete answer. Later calls have no effect. */
void exchange_count_version_end(struct exchange *exchange, bool is_good);
/** Counts the attempt's wait for its first byte, which has come or won't be waited for any more. */
void exchange_count_version_wait(struct exchange *exchange);
/** Counts the attempt's result as evidence about its engine's version. */
void exchange_count_version_result(struct exchange *exchange, bool failed);
/** Whether this result counts as a failure of the version; timeouts don't, as load causes them too. */
bool exchange_counts_as_version_failure(const struct exchange *exchange,
					enum dw_attempt_outcome outcome);

/* exchange.c: attempts, one at a time. */

/** Handles the end of an attempt: retries, answers or fails, as the request policy decides. */
void exchange_after_attempt(struct exchange *exchange, enum dw_attempt_outcome outcome);
/** Sets the timer to the earliest of the request's deadline, the attempt's and the next poll. */
void exchange_set_timer(struct exchange *exchange);

#endif
