/**
 * @file exchange_state.h
 * The state of one request, and the modules that handle it. Each calls only those after it in this list:
 * exchange.c (attempts and retries), exchange_answer.h (the engine's answer), exchange_silence.h (engines that
 * send nothing), exchange_route.c (choice of model and engine), exchange_reply.h (the final answer to the
 * caller).
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

/* The largest model is asked for a better answer only while the budget has at least this many retries,
 * so that retries remain for requests that fail. */
#define RETRIES_RESERVED 3

struct exchange_listener;

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
	uint64_t shift_number; /**< rollout that counts the attempt as under way; 0: none */
	bool is_wait_counted; /**< the attempt's wait for its first byte was counted */
	uint64_t answer_started_at_us; /**< of the attempt's answer; 0: not started */
	uint32_t load_permille; /**< of the engine's slots, as reported in the answer; 0: unknown */
	char tried[DW_CHOICE_TRIED_MAX][DW_ENGINE_TEXT_BYTES];
	uint32_t tried_count;
	uint32_t send_count;
	struct attempt *attempt;
	const struct exchange_listener *listener; /**< is told how the attempt ends */
	enum attempt_connection connection; /**< of the last failed attempt */
	bool has_timed_prompt; /**< the attempt's engine has a prompt to process */
	uint64_t expected_us; /**< time to the attempt's first byte, as estimated by the choice */
	uint64_t connect_deadline_us; /**< by then the attempt must be connected */
	uint64_t last_progress_at_us; /**< when the attempt was sent or last received data */
	uint64_t silence_deadline_us; /**< then a silent attempt is checked; 0: never */
	/** The request isn't sent again before that: the engine of a silent attempt was told then. */
	uint64_t send_not_before_us;
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
	uint64_t last_event_at_us; /**< when the last event was passed on; 0: none yet */
	uint64_t longest_gap_us; /**< longest pause between two events that were passed on */
	uv_timer_t timer;
	/** Head of the answer being received. */
	struct http_answer_head {
		uint16_t status;
		struct bytes fields;
		char type[64]; /**< its content type, cut to this length */
		bool is_stream;
		bool has_no_body; /**< it ends after its head */
		/** Its status would promise the caller that the request hasn't run, but the request may have run:
		 * the answer isn't passed on. */
		bool is_unproven_refusal;
		uint64_t dropped_bytes; /**< of its body */
		size_t length; /**< as the engine stated it; valid with has_no_body */
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

/* exchange_route.c: authorisation, choice of model and engine. */

/** What a request is answered that isn't admitted. */
struct exchange_denial {
	int status;
	const char *phrase;
	enum dw_status error;
	const char *reason;
};

/** Finds the route and checks the API key. @return NULL if the request is admitted */
const struct exchange_denial *exchange_admit(struct exchange *exchange);
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

#endif
