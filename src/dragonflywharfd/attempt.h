/**
 * @file attempt.h
 * One attempt to run a request at an upstream.
 *
 * An attempt owns a permit and releases it only once the request must have ended at the upstream.
 * It rejects an answer that carries another attempt's id, and a streamed answer without its end.
 */
#ifndef DAEMON_ATTEMPT_H
#define DAEMON_ATTEMPT_H

#include "dragonflywharfd/dispatcher.h"

enum attempt_mode {
	ATTEMPT_BUFFERED, /**< the complete answer is passed to on_end */
	ATTEMPT_STREAMED, /**< each event is passed to on_event as it arrives */
	ATTEMPT_MODE_COUNT
};

/** The outcome of an attempt. */
struct attempt_end {
	/** DW_OK only for a complete answer to this attempt, with any HTTP status. */
	enum dw_status status;
	enum dw_http_progress progress;
	int http_status;
	const char *content_type;
	/** Not sent because the upstream became cold or was removed after the permit was acquired;
	 * the same upstream may be tried again. */
	bool send_refused;
	bool has_length; /**< the answer had a content-length, so that truncation is detected */
	/** A refusal without an id on a connection that was used before: it may answer an earlier
	 * request, and says nothing about whether this one runs. */
	bool may_be_earlier_refusal;
	const char *body; /**< with ATTEMPT_BUFFERED, or of an error answer */
	size_t body_len;
	/** For a complete answer with status 200, the owner may set the token counts here. They
	 * update the estimate of the upstream's speed. */
	struct dw_load_sample *sample;
};

/** The strings and the choice need to stay valid only during attempt_start(). */
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
	const char *request_id; /**< the same for all attempts of a request */
	const char *idempotency_key; /**< NULL if there is none */
	struct dw_fingerprint fingerprint;
	uint64_t deadline_us;
	/** With ATTEMPT_STREAMED, called for each event; @p raw is the event as received. */
	void (*on_event)(const char *data, size_t data_len, const char *raw, size_t raw_len,
			 void *owner);
	/** Called once unless the attempt was abandoned; the attempt is freed when it returns. */
	void (*on_end)(const struct attempt_end *end, void *owner);
	void *owner;
};

struct attempt;

struct attempt *attempt_start(struct daemon *daemon, const struct attempt_options *options);

/** Records that a token arrived, to measure the time to the first one. */
void attempt_token_received(struct attempt *attempt);

/** Stops and resumes reading from the upstream: back-pressure for a slow caller. */
void attempt_pause(struct attempt *attempt);
void attempt_resume(struct attempt *attempt);

/** Cancels the request at the upstream; no callback follows. */
void attempt_abandon(struct attempt *attempt);

#endif
