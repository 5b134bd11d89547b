/**
 * @file caller.h
 * A connection of a caller: reads requests one after another, hands each to the owner of the
 * listener, and carries its answer back.
 *
 * While a request is being answered, the connection is read on, so that a caller that leaves is
 * noticed at once; what it sends meanwhile waits for its turn.
 */
#ifndef GATEWAY_CALLER_H
#define GATEWAY_CALLER_H

#include <uv.h>

#include <dragonflywharf/catalog.h>

#include "base/bytes.h"
#include "net/http_reader.h"

struct caller;

/** All open connections of a listener. Zero-initialise. */
struct caller_list {
	struct caller *first;
	uint32_t count;
};

/** A whole request; it stays as it is until its answer has ended. */
struct caller_request {
	const struct http_head *head;
	const char *body;
	size_t body_len;
	uint64_t arrived_at_us; /**< of its last byte */
};

struct caller_callbacks {
	/** A request was read. @return what on_left and on_drained get for it. */
	void *(*on_request)(void *owner, struct caller *caller,
			    const struct caller_request *request);
	/** The caller left before the answer's end; the request is over. */
	void (*on_left)(void *request);
	/** The answer's bytes have gone out, after caller_is_congested() was seen. */
	void (*on_drained)(void *request);
	/** Limits in force for a new request. */
	const struct dw_caller_limits *(*limits)(void *owner);
	/** Whether connections are to close after the answer in progress. */
	bool (*is_stopping)(void *owner);
};

/** Takes a connection from a listener into @p list; it frees itself when it has closed. */
void caller_accept(uv_stream_t *listener, struct caller_list *list,
		   const struct caller_callbacks *calls, void *owner);

/**
 * Begins an answer: @p fields are lines "Name: value" without framing. @p length is the body's, or
 * CALLER_CHUNKED if it isn't known.
 */
#define CALLER_CHUNKED SIZE_MAX
void caller_begin(struct caller *caller, int status, const char *reason, const struct bytes *fields,
		  size_t length);
void caller_write(struct caller *caller, const void *data, size_t len);
/** The answer is whole; the connection goes on, or closes if it was to close. */
void caller_end(struct caller *caller);
/** The answer can't be completed: closes so that the caller sees it as cut. */
void caller_break_off(struct caller *caller);

/** So much is unsent that the source should pause until on_drained. */
bool caller_is_congested(const struct caller *caller);

/** Closes the connections on which no request is in progress. */
void caller_list_close_idle(struct caller_list *list);

#endif
