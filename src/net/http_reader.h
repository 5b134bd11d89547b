/**
 * @file http_reader.h
 * Strict incremental reader of HTTP/1.1 messages, for both sides of the gateway.
 *
 * Parsing is http-parser's. What that library lets pass and a proxy must not is refused here: bare
 * line feeds, folded header lines, repeated framing or Host fields, a second meaning of the length.
 */
#ifndef WHARF_NET_HTTP_READER_H
#define WHARF_NET_HTTP_READER_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <http_parser.h>

#include <dragonflywharf/status.h>

#ifdef __cplusplus
extern "C" {
#endif

#define HTTP_READER_FIELDS_MAX 96

enum http_reader_kind { HTTP_READER_REQUEST, HTTP_READER_RESPONSE, HTTP_READER_KIND_COUNT };

struct http_field {
	const char *name; /**< as sent, NUL-terminated */
	const char *value;
};

/** Head of a message; the texts live until the reader's next message. */
struct http_head {
	const char *method; /**< requests only */
	const char *target; /**< requests only */
	uint16_t status; /**< responses only */
	bool keep_alive; /**< the connection may carry another message */
	bool has_length; /**< Content-Length was given */
	bool ends_with_connection; /**< a response without any framing */
	uint64_t length_bytes; /**< valid with has_length */
	struct http_field fields[HTTP_READER_FIELDS_MAX];
	size_t field_count;
};

/** Value of the first field of that name, compared without case; NULL if there is none. */
const char *http_head_get(const struct http_head *head, const char *name);

/** Whether the comma-separated list of the Connection fields holds @p token. */
bool http_head_connection_lists(const struct http_head *head, const char *token);

struct http_reader;

struct http_reader_calls {
	/** A head was read. @return false to stop reading: feed() then returns DW_CANCELLED. */
	bool (*on_head)(void *owner, const struct http_head *head);
	/** Bytes of the body without their framing. @return false to stop. */
	bool (*on_body)(void *owner, const char *bytes, size_t len);
	/** The message is complete; feed() returns after it. */
	void (*on_end)(void *owner);
};

struct http_reader {
	http_parser parser;
	enum http_reader_kind kind;
	const struct http_reader_calls *calls;
	void *owner;
	struct http_head head;
	char *text; /**< names, values and target, NUL-separated */
	size_t text_len;
	size_t text_size;
	uint32_t offsets[2 * HTTP_READER_FIELDS_MAX];
	uint32_t target_offset;
	size_t head_bytes; /**< raw bytes of the head so far */
	size_t max_head_bytes;
	bool in_value;
	bool in_head;
	bool started; /**< a byte of the current message was read */
	bool ended; /**< the current message is complete */
	bool skip_body; /**< the answer to a HEAD request has none */
	bool line_start;
	char previous; /**< last raw byte of the head */
	enum dw_status refusal; /**< why a callback stopped the parser */
};

void http_reader_init(struct http_reader *reader, enum http_reader_kind kind, size_t max_head_bytes,
		      const struct http_reader_calls *calls, void *owner);

void http_reader_close(struct http_reader *reader);

/** Gets ready for the next message of the connection. */
void http_reader_next(struct http_reader *reader);

/**
 * Reads up to the end of the current message; @p used tells how far.
 * @return DW_OK, DW_INVALID_ARGUMENT (malformed), DW_TOO_LARGE (head over its limit), DW_CANCELLED.
 */
enum dw_status http_reader_feed(struct http_reader *reader, const char *bytes, size_t len,
				size_t *used);

/**
 * The peer closed its side. @return DW_OK if this completes the message or none had begun,
 * DW_UPSTREAM_FAILED inside a message.
 */
enum dw_status http_reader_eof(struct http_reader *reader);

#ifdef __cplusplus
}
#endif

#endif
