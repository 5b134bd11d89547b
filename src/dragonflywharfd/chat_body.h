/**
 * @file chat_body.h
 * Parses the body of a chat-completions request and the parts of the answer that the daemon uses.
 */
#ifndef DAEMON_CHAT_BODY_H
#define DAEMON_CHAT_BODY_H

#include <json-c/json.h>

#include <dragonflywharf/entity.h>

/** A parsed request body. */
struct chat_body {
	struct json_object *root; /**< NULL until parsed; owned */
	char model[DW_NAME_MAX_BYTES + 1];
	char version[DW_NAME_MAX_BYTES + 1]; /**< "" if the caller named none */
	bool stream;
	bool wants_usage; /**< the caller requested usage in the stream */
	uint32_t max_tokens; /**< 0 if not given */
	uint32_t prompt_tokens; /**< estimate from the messages' length */
	uint64_t affinity; /**< hash of the first messages, for prefix-cache routing */
};

/** Token counts for billing an answer. */
struct chat_usage {
	uint32_t prompt_tokens;
	uint32_t completion_tokens;
	bool is_reported; /**< the upstream reported them */
};

/** Parses and checks a body. DW_INVALID_ARGUMENT with a message that names the invalid field. */
enum dw_status chat_body_parse(struct chat_body *body, const char *text, size_t len,
			       const char *organisation);

void chat_body_clear(struct chat_body *body);

/** Serializes the body for an upstream that runs @p model / @p version; freed by the caller. */
char *chat_body_for_upstream(const struct chat_body *body, const char *model, const char *version,
			     bool stream);

/** Returns the messages as JSON text, for the rating service; freed by the caller. */
char *chat_body_prompt(const struct chat_body *body);

/**
 * Parses an unstreamed answer. DW_UPSTREAM_FAILED if it isn't a complete chat completion.
 * @p content, if not NULL, gets the first choice's text; freed by the caller.
 */
enum dw_status chat_answer_read(const char *text, size_t len, struct chat_usage *usage,
				char **content);

/**
 * Parses the data of one event of a streamed answer into @p usage. @p content gets the first
 * choice's text, NULL if there is none; freed by the caller.
 */
enum dw_status chat_chunk_read(const char *text, size_t len, struct chat_usage *usage,
			       char **content);

/** Converts an unstreamed answer to stream events with the end marker; freed by the caller. */
char *chat_answer_as_stream(const char *text, size_t len);

#endif
