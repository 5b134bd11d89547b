/**
 * @file chat_body.h
 * The body of a chat-completions call, and the parts of its answer that the daemon reads.
 */
#ifndef DAEMON_CHAT_BODY_H
#define DAEMON_CHAT_BODY_H

#include <json-c/json.h>

#include <dragonflywharf/entity.h>

/** A caller's request, parsed. */
struct chat_body {
	struct json_object *root; /**< NULL until parsed; owned */
	char model[DW_NAME_MAX_BYTES + 1];
	char version[DW_NAME_MAX_BYTES + 1]; /**< "" unless the caller asked for one */
	bool stream;
	bool wants_usage; /**< asked for usage in a stream */
	uint32_t max_tokens; /**< 0 if not given */
	uint32_t prompt_tokens; /**< estimate from the messages' length */
	uint64_t affinity; /**< hash of the leading messages */
};

/** Tokens that an answer was billed for. */
struct chat_usage {
	uint32_t prompt_tokens;
	uint32_t completion_tokens;
	bool known;
};

/** Parses and checks. DW_INVALID_ARGUMENT with the field at fault. */
enum dw_status chat_body_parse(struct chat_body *body, const char *text, size_t len,
			       const char *organisation);

void chat_body_clear(struct chat_body *body);

/** The body for an upstream that runs @p model / @p version; freed by the caller. */
char *chat_body_for_upstream(const struct chat_body *body, const char *model, const char *version,
			     bool stream);

/** The messages as one text, for the rating service; freed by the caller. */
char *chat_body_prompt(const struct chat_body *body);

/**
 * Reads a plain answer. DW_UPSTREAM_FAILED if it isn't one whole chat completion.
 * @p content, if not NULL, gets the first choice's text; freed by the caller.
 */
enum dw_status chat_answer_read(const char *text, size_t len, struct chat_usage *usage,
				char **content);

/**
 * Reads the data of one event of a streamed answer into @p usage. @p content gets the first
 * choice's text, NULL if there is none; freed by the caller.
 */
enum dw_status chat_chunk_read(const char *text, size_t len, struct chat_usage *usage,
			       char **content);

/** A plain answer's text as the events of a stream, end marker included; freed by the caller. */
char *chat_answer_as_stream(const char *text, size_t len);

#endif
