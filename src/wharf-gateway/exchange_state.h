/**
 * @file exchange_state.h
 * The state of one request, shared by the modules that carry it out: exchange.c (attempts),
 * exchange_route.c (where to), exchange_answer.c (what comes back), exchange_reply.c (the end).
 */
#ifndef GATEWAY_EXCHANGE_STATE_H
#define GATEWAY_EXCHANGE_STATE_H

#include <dragonflywharf/event_order.h>
#include <dragonflywharf/request_policy.h>

#include "base/error_json.h"
#include "net/event_stream.h"
#include "platform/request_fields.h"
#include "wharf-gateway/attempt.h"
#include "wharf-gateway/exchange.h"

/* A resumable stream goes on elsewhere after such a pause; while its engine is heard on other
 * connections, only after a longer one. An engine that is gone shows sooner, by the probes of its
 * connection; a pause alone mostly tells of load, which reading the prompt again elsewhere adds to. */
#define STREAM_GAP_TIMEOUT_US (4 * DW_US_PER_S)
/* Repeats that a better answer leaves to requests that fail. */
#define RETRIES_RESERVED 3
/* Refused callers come back no sooner. */
#define RETRY_AFTER_MIN_MS 200

struct exchange {
	struct router *router;
	struct caller *caller; /**< NULL once it has left or was answered */
	struct caller_request request;
	struct request_fields fields;
	struct dw_catalog *catalog;
	const struct dw_route_rule *route;
	const struct dw_organisation_rule *organisation;
	const struct dw_service_rule *service;
	const char *service_name;
	struct dw_request_policy policy;
	const char *model; /**< that the gateway chose; NULL: the caller's */
	uint32_t rung; /**< of the route's models, with model */
	char version[DW_ENGINE_TEXT_BYTES]; /**< of the attempt's engine */
	uint64_t sent_at_us; /**< the attempt */
	uint64_t expected_us; /**< until its answer's first byte */
	uint64_t begun_at_us; /**< its answer; 0: not yet */
	uint32_t load_permille; /**< of its engine's slots, as the answer told; 0: not told */
	char tried[DW_CHOICE_TRIED_MAX][DW_ENGINE_TEXT_BYTES];
	uint32_t tried_count;
	uint32_t sends;
	struct attempt *attempt;
	uint64_t connect_due_us; /**< the attempt's connection must stand by then */
	uint64_t silent_since_us;
	uint64_t silence_due_us; /**< the attempt is given up then unless it answers; 0: never */
	uint64_t rate_due_us; /**< waiting for a cold engine's rate until then; 0: not waiting */
	uint64_t first_byte_at_us;
	uv_timer_t timer;
	/* The answer in progress. */
	struct http_answer_head {
		uint16_t status;
		struct bytes fields;
		bool is_stream;
		uint32_t confidence;
	} answer;
	struct bytes held; /**< body not passed on yet */
	struct event_stream events;
	struct dw_event_order order;
	bool is_out_of_order;
	bool is_over;
};

/** Closes it; the answer, if there is one still, is the caller's. */
void exchange_close(struct exchange *exchange);
void exchange_log_end(struct exchange *exchange, enum dw_event event, int status,
		      const char *reason);
/** The session uses the version of its request's engine from now on, or until now. */
void exchange_pin_session(struct exchange *exchange);

/* exchange_reply.c: the request's final answer. Each of these ends the exchange. */

/** Answers that the gateway gives itself; for a caller without an exchange too. */
void exchange_reply_error(struct caller *caller, int status, const char *phrase,
			  enum dw_status error, enum not_run not_run, const char *message,
			  uint32_t retry_after_ms);
/** 503: the request has not run. */
void exchange_refuse(struct exchange *exchange, enum dw_status error, const char *reason);
/** An error after which the request may have run. */
void exchange_fail(struct exchange *exchange, int status, const char *phrase, enum dw_status error,
		   const char *reason);
/** The answer has begun and can't be completed. */
void exchange_break_off(struct exchange *exchange, const char *reason);
/** The engine's answer is whole. */
void exchange_pass_on(struct exchange *exchange);

/* exchange_route.c: where the request may go and goes. */

/** Finds route and organisation; false with the reason where it isn't allowed. */
bool exchange_admit(struct exchange *exchange, const char **reason, int *status,
		    enum dw_status *error);
/** Hash of the session, or of the request where it has none. */
uint64_t exchange_split_hash(const struct exchange *exchange);
/** Which of the route's models is asked first; the caller's choice stays where it made one. */
void exchange_choose_model(struct exchange *exchange, uint64_t now_us);
void exchange_init_choice(struct exchange *exchange, struct dw_choice_request *choice,
			  uint64_t now_us);
enum dw_choice_result exchange_choose_engine(struct exchange *exchange,
					     struct dw_choice_request *choice,
					     struct dw_choice_selection *chosen);
/** 0 first to 9 last; negative: the engine has no use for it. */
int exchange_urgency(const struct exchange *exchange);

/* exchange_answer.c: the engine's answer as it comes. */

extern const struct attempt_callbacks exchange_attempt_callbacks;
/** Something came of the attempt: it is given up unless more does within @p limit_us. */
void exchange_restart_silence_timeout(struct exchange *exchange, uint64_t limit_us);
/** An attempt has ended with an answer or a failure that tells of its engine's version. */
void exchange_count_version_result(struct exchange *exchange, bool failed);
/** Whether an end tells against the version; silence and time limits tell of load as well. */
bool exchange_counts_as_version_failure(const struct exchange *exchange,
					enum dw_attempt_outcome end);

/* exchange.c: attempts, one after the other. */

/** An attempt has ended: sends again, answers or fails, as the policy says. */
void exchange_after_attempt(struct exchange *exchange, enum dw_attempt_outcome end);
/** Sets the timer for whatever comes first: the request's end, the attempt's, the next look. */
void exchange_set_timer(struct exchange *exchange);

#endif
