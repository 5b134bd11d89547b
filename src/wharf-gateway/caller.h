/**
 * @file caller.h
 * The connection of a caller (HTTP/1.1 server side): reads one request at a time, passes it to the
 * owner of the listener and sends its answer.
 *
 * The connection is also read while a request is being answered, so that a disconnect is noticed at
 * once; pipelined input is buffered until the answer has ended.
 */
#ifndef GATEWAY_CALLER_H
#define GATEWAY_CALLER_H

#include <uv.h>

#include <dragonflywharf/caller_budget.h>
#include <dragonflywharf/catalog.h>

#include "base/bytes.h"
#include "net/http_reader.h"

struct caller;

/** The open connections of a listener. Zero-initialise. */
struct caller_list {
	struct caller *first;
	uint32_t count;
	struct dw_caller_budget *budget; /**< NULL: what is held for them isn't limited */
};

/** A complete request; its pointers are valid until its answer has ended. */
struct caller_request {
	const struct http_head *head;
	const char *body;
	size_t body_len;
	uint64_t arrived_at_us; /**< when its last byte arrived */
};

struct caller_callbacks {
	/** A request was read. @return the argument of on_disconnect and on_drained. */
	void *(*on_request)(void *owner, struct caller *caller,
			    const struct caller_request *request);
	/** The caller disconnected before the end of the answer; the request has ended. */
	void (*on_disconnect)(void *request);
	/** The output queue has drained after caller_is_congested() returned true. */
	void (*on_drained)(void *request);
	/** The process ends: the request has to be answered now. NULL: not needed. */
	void (*on_stop)(void *request);
	/** The limits in force; a new configuration may change them between two calls. */
	const struct dw_caller_limits *(*limits)(void *owner);
	/** Whether to close connections after the answer in progress. */
	bool (*is_stopping)(void *owner);
};

/** Accepts a connection and adds it to @p list; it is freed when it has closed. */
void caller_accept(uv_stream_t *listener, struct caller_list *list,
		   const struct caller_callbacks *callbacks, void *owner);

#define CALLER_CHUNKED SIZE_MAX

/**
 * Sends the head of an answer. An answer to HEAD, and one with the status 1xx, 204 or 304, gets no body,
 * whatever is written afterwards. @p fields has header lines "Name: value" without Content-Length and
 * Transfer-Encoding; @p length is the body's length, or CALLER_CHUNKED if it isn't known.
 */
void caller_begin(struct caller *caller, int status, const char *reason, const struct bytes *fields,
		  size_t length);
/** Sends a part of the body, as a chunk if the length wasn't known. */
void caller_write(struct caller *caller, const void *data, size_t len);
/** Ends the answer; the connection is kept alive unless the caller or a stop asks to close it. */
void caller_end(struct caller *caller);
/** Closes the connection in the middle of an answer, so that the caller sees it as incomplete. */
void caller_break_off(struct caller *caller);

/** The engine's Content-Length, for a forwarded answer without a body. */
void caller_set_answer_length(struct caller *caller, bool has_length, uint64_t length);

/** Notes that the owner buffers this much of the answer. @return whether to send it now, as memory is short */
bool caller_must_flush(struct caller *caller, size_t buffered_bytes);

/** Whether the output queue is so long that the sender should pause until on_drained. */
bool caller_is_congested(struct caller *caller);

/** Closes the connections without a request in progress. */
void caller_list_close_idle(struct caller_list *list);
/** Calls on_stop for each request that is being answered. */
void caller_list_stop_requests(struct caller_list *list);

#endif
