/**
 * @file http_reader.h
 * Strict incremental parser for HTTP/1.1 requests and responses.
 *
 * Parsing itself is done by http-parser. Input that http-parser accepts but a proxy must not pass
 * on is rejected here: bare line feeds, folded header lines, repeated framing or Host fields, and
 * ambiguous message lengths. All of these could be used for request smuggling.
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
	const char *name; /**< spelled as received, NUL-terminated */
	const char *value;
};

/** Head of a message; its strings are valid until the reader starts the next message. */
struct http_head {
	const char *method; /**< requests only */
	const char *target; /**< requests only */
	uint16_t status; /**< responses only */
	bool keep_alive; /**< the connection may carry another message */
	bool has_content_length; /**< a Content-Length field is present */
	bool has_no_body; /**< a response that ends after its head, because of its status or the request's method */
	bool ends_at_close; /**< a response without a length or chunks, which ends when its connection closes */
	uint64_t content_length; /**< value of Content-Length; valid if has_content_length is set */
	struct http_field fields[HTTP_READER_FIELDS_MAX];
	size_t field_count;
};

/** Value of the first field named @p name, compared without case; NULL if there is none. */
const char *http_head_get(const struct http_head *head, const char *name);

/** Whether a Connection field lists @p token, compared without case. */
bool http_head_connection_has_token(const struct http_head *head, const char *token);

struct http_reader;

struct http_reader_callbacks {
	/** A head was parsed. @return false to stop: http_reader_feed() returns DW_CANCELLED. */
	bool (*on_head)(void *owner, const struct http_head *head);
	/** A chunk of the body, with the transfer coding removed. @return false to stop. */
	bool (*on_body)(void *owner, const char *bytes, size_t len);
	/** The message is complete; http_reader_feed() returns after this call. */
	void (*on_end)(void *owner);
};

struct http_reader {
	http_parser parser;
	enum http_reader_kind kind;
	const struct http_reader_callbacks *callbacks;
	void *owner;
	struct http_head head;
	char *text; /**< names, values and target, NUL-separated */
	size_t text_len;
	size_t text_size;
	/** Of each field's name and value in text, alternating; UINT32_MAX for an empty value. */
	uint32_t offsets[2 * HTTP_READER_FIELDS_MAX];
	uint32_t target_offset;
	size_t head_bytes; /**< raw bytes of the head received so far */
	size_t max_head_bytes;
	bool in_value;
	bool in_head;
	bool started; /**< at least one byte of the current message was received */
	bool is_complete; /**< the current message is complete */
	bool skip_body; /**< set by the owner: responses are to HEAD, so they have no body */
	bool line_start; /**< the next raw byte of the head starts a line */
	char previous; /**< last raw byte of the head */
	uint32_t status_line_spaces; /**< ends of words in the first line, up to the second */
	uint32_t
		status_digits; /**< characters of the second word: of a response, its status code */
	enum dw_status error_status; /**< why a callback or check stopped the parser */
};

void http_reader_init(struct http_reader *reader, enum http_reader_kind kind, size_t max_head_bytes,
		      const struct http_reader_callbacks *callbacks, void *owner);

void http_reader_close(struct http_reader *reader);

/** Resets the parser for the next message of the connection. */
void http_reader_next(struct http_reader *reader);

/**
 * Parses input up to the end of the current message. @p used gets the number of bytes consumed.
 * @return DW_OK, DW_INVALID_ARGUMENT if the message is malformed, DW_TOO_LARGE if the head exceeds
 * a limit, or DW_CANCELLED if a callback returned false.
 */
enum dw_status http_reader_feed(struct http_reader *reader, const char *bytes, size_t len,
				size_t *used);

/**
 * Tells the parser that the peer closed the connection.
 * @return DW_OK if this completes the message or none had started, DW_UPSTREAM_FAILED if the
 * message is incomplete.
 */
enum dw_status http_reader_eof(struct http_reader *reader);

#ifdef __cplusplus
}
#endif

#endif
