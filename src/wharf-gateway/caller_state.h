/**
 * @file caller_state.h
 * The state of a caller's connection, shared by the modules that handle it: caller.c (connection and requests),
 * caller_response.c (responses, and the end of the connection after the last one), caller_room.c (what is held for the
 * caller, and whom to end to make room).
 */
#ifndef GATEWAY_CALLER_STATE_H
#define GATEWAY_CALLER_STATE_H

#include <dragonflywharf/caller_budget.h>

#include "wharf-gateway/caller.h"

/* A caller that was rejected for want of memory or connections may return after this time, by which
 * stalled callers can be ended. */
#define CALLER_RETRY_AFTER_MS 1500

#define CALLER_HEAD_METHOD "HEAD "

enum caller_state {
	CALLER_IDLE, /**< no byte of the next request has arrived */
	CALLER_READING,
	CALLER_ANSWERING,
	CALLER_LINGERING, /**< the last answer was sent; input is discarded */
	CALLER_CLOSING,
	CALLER_STATE_COUNT
};

struct caller {
	uv_tcp_t tcp;
	uv_timer_t timer;
	uint32_t handles_open;
	const struct caller_callbacks *callbacks;
	void *owner;
	enum caller_state state;
	struct http_reader reader;
	struct bytes body;
	struct bytes pipelined; /**< input received while a request was being answered */
	void *request; /**< returned by on_request, while answering */
	bool has_input; /**< a byte has arrived since the last answer, so the head's time limit runs */
	char method[sizeof(CALLER_HEAD_METHOD) - 1]; /**< first bytes of the request line */
	uint32_t method_len; /**< of these have arrived */
	bool is_refused; /**< the request being read was already answered with an error */
	bool is_chunked; /**< the answer in progress */
	bool has_no_body; /**< the answer in progress: its status or the request's method excludes one */
	bool close_after;
	bool is_paused; /**< reading is stopped: too much pipelined input */
	bool is_awaiting_drain; /**< the output queue was congested: on_drained is due */
	bool is_feeding; /**< caller_feed() is on the stack */
	bool has_answer_length; /**< answer_length is the engine's Content-Length */
	uint64_t answer_length;
	size_t buffered_bytes; /**< of its answer, by the owner; see caller_must_flush() */
	uint64_t transfer_began_at_us; /**< of the body, or of the end of the answer */
	uint64_t transferred_bytes;
	size_t unread_bytes; /**< when the end of the answer was last checked */
	uint64_t unread_at_us; /**< when that has last become less */
	bool has_account;
	struct dw_caller_account account;
	struct caller_list *list;
	struct caller *prev;
	struct caller *next;
};

/* caller.c */

void caller_close(struct caller *caller);
/** Answers a request that can't be read to its end with an error and closes the connection. */
void caller_refuse(struct caller *caller, int status, const char *reason, enum dw_status error,
		   const char *message, uint32_t retry_after_ms);
/** The answer has ended: reads the next request. */
void caller_wait_for_request(struct caller *caller);
/** Goes on reading input that waited for the end of the answer. */
void caller_resume_input(struct caller *caller);

/* caller_response.c */

/** Writes bytes as they are. */
void caller_send(struct caller *caller, const struct bytes *bytes);
/** Whether the output queue is over its limit now. */
bool caller_output_is_full(const struct caller *caller);
/** Bytes that the caller hasn't read yet, as far as this machine knows. */
size_t caller_unread_bytes(const struct caller *caller);
/** From now on it is checked whether the caller reads what is unread. */
void caller_expect_reading(struct caller *caller);
/** Shuts down the sending side and closes the connection once the caller has read the rest. */
void caller_linger(struct caller *caller);
/**
 * Whether the caller still reads the end of its answer, so that a timer that has expired is due again.
 * @return false if nothing is unread, or it has stopped reading or is too slow
 */
bool caller_still_reads(struct caller *caller);

/* caller_room.c: without an account in the list, everything is accepted. */

/** Adds the connection to the account. */
enum dw_caller_admission caller_room_open(struct caller *caller);
void caller_room_close(struct caller *caller);
/** Notes what is held for the caller now. */
void caller_room_update(struct caller *caller);
/** Makes room for @p more bytes by ending stalled callers. @return false if there is none. */
bool caller_room_make(struct caller *caller, size_t more);
/** The caller has sent or read bytes. */
void caller_room_moved(struct caller *caller, size_t bytes);
bool caller_room_is_tight(const struct caller *caller);
/** Rejects the request, which hasn't been handed on, or the connection. */
void caller_room_reject(struct caller *caller);

#endif
