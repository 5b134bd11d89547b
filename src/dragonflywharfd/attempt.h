/**
 * @file attempt.h
 * One try of one request at one upstream.
 *
 * An attempt owns its permit and gives it back only when the request has surely ended at the
 * upstream. Its answer is checked to be its own (attempt id) and, for a stream, to be whole.
 */
#ifndef DAEMON_ATTEMPT_H
#define DAEMON_ATTEMPT_H

#include "dragonflywharfd/dispatcher.h"

enum attempt_mode {
	ATTEMPT_BUFFERED, /**< the whole answer is told at the end */
	ATTEMPT_STREAMED, /**< events are told as they come */
	ATTEMPT_MODE_COUNT
};

struct attempt_end {
	/** DW_OK only for a whole answer to this attempt, whatever its HTTP status. */
	enum dw_status status;
	enum dw_http_progress progress;
	int http_status;
	const char *content_type;
	/** Not sent, as the upstream turned cold meanwhile: it may be tried again. */
	bool withheld;
	bool has_length; /**< the answer said its length, so that a cut one is told */
	const char *body; /**< ATTEMPT_BUFFERED, or an error's body */
	size_t body_len;
	/** Of a whole answer of status 200 the owner may tell here the tokens that it cost: the
	 * upstream's speed is learned from it. */
	struct dw_load_sample *sample;
};

struct attempt_options {
	enum attempt_mode mode;
	const struct dispatch_choice *choice;
	const char *method;
	const char *path;
	const char *content_type;
	const char *body;
	size_t body_len;
	const char *organisation;
	const char *serves; /**< "model/version" or a service's name, for the log */
	const char *request_id; /**< text, the same for all attempts of a request */
	const char *idempotency_key; /**< NULL if there is none */
	struct dw_fingerprint fingerprint;
	uint64_t deadline_us;
	/** ATTEMPT_STREAMED: one event, with its raw bytes. */
	void (*on_event)(const char *data, size_t data_len, const char *raw, size_t raw_len,
			 void *owner);
	/** Runs once, unless the attempt was abandoned; the attempt is freed after it. */
	void (*on_end)(const struct attempt_end *end, void *owner);
	void *owner;
};

struct attempt;

struct attempt *attempt_start(struct daemon *daemon, const struct attempt_options *options);

/** Tells the attempt that a token came; for the time to the first one. */
void attempt_token(struct attempt *attempt);

/** Stops reading from the upstream, and goes on: back-pressure of a slow caller. */
void attempt_pause(struct attempt *attempt);
void attempt_resume(struct attempt *attempt);

/** Cancels at the upstream; the owner hears no more of it. */
void attempt_abandon(struct attempt *attempt);

#endif
