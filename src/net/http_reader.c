#include "net/http_reader.h"

#include <stdlib.h>
#include <string.h>
#include <strings.h>

#define TEXT_INITIAL_BYTES 1024
/* Others are no status codes (RFC 9110, section 15). */
#define STATUS_MIN 100
#define STATUS_MAX 599
#define STATUS_DIGITS 3

const char *http_head_get(const struct http_head *head, const char *name)
{
	for (size_t i = 0; i < head->field_count; i++) {
		if (strcasecmp(head->fields[i].name, name) == 0)
			return head->fields[i].value;
	}
	return NULL;
}

static bool list_contains_token(const char *list, const char *token)
{
	size_t len = strlen(token);

	while (*list) {
		size_t item_len;

		list += strspn(list, " \t,");
		item_len = strcspn(list, " \t,");
		if (item_len == len && strncasecmp(list, token, len) == 0)
			return true;
		list += item_len;
	}
	return false;
}

bool http_head_connection_has_token(const struct http_head *head, const char *token)
{
	for (size_t i = 0; i < head->field_count; i++) {
		if (strcasecmp(head->fields[i].name, "Connection") == 0 &&
		    list_contains_token(head->fields[i].value, token))
			return true;
	}
	return false;
}

static void text_append(struct http_reader *reader, const char *bytes, size_t len)
{
	if (reader->text_len + len + 1 > reader->text_size) {
		size_t size = reader->text_size ? reader->text_size : TEXT_INITIAL_BYTES;

		while (size < reader->text_len + len + 1)
			size *= 2;
		reader->text = realloc(reader->text, size);
		if (!reader->text)
			abort();
		reader->text_size = size;
	}
	memcpy(reader->text + reader->text_len, bytes, len);
	reader->text_len += len;
}

static uint32_t text_start_string(struct http_reader *reader)
{
	if (reader->text_len > 0)
		text_append(reader, "", 1);
	return (uint32_t)reader->text_len;
}

static int on_target(http_parser *parser, const char *at, size_t len)
{
	struct http_reader *reader = parser->data;

	if (reader->text_len == 0)
		reader->target_offset = 0;
	text_append(reader, at, len);
	return 0;
}

static int on_field(http_parser *parser, const char *at, size_t len)
{
	struct http_reader *reader = parser->data;
	struct http_head *head = &reader->head;

	if (!reader->in_head)
		return 0; /* a trailer field: dropped, because it must not change the message */
	if (reader->in_value || head->field_count == 0) {
		if (head->field_count == HTTP_READER_FIELDS_MAX) {
			reader->error_status = DW_TOO_LARGE;
			return 1;
		}
		reader->offsets[2 * head->field_count] = text_start_string(reader);
		head->field_count++;
		reader->in_value = false;
		/* Marks an empty value, for which the parser may not call on_value(). */
		reader->offsets[2 * head->field_count - 1] = UINT32_MAX;
	}
	text_append(reader, at, len);
	return 0;
}

static int on_value(http_parser *parser, const char *at, size_t len)
{
	struct http_reader *reader = parser->data;
	uint32_t *offset = &reader->offsets[2 * reader->head.field_count - 1];

	if (!reader->in_head)
		return 0;
	if (!reader->in_value) {
		*offset = text_start_string(reader);
		reader->in_value = true;
	}
	text_append(reader, at, len);
	return 0;
}

static size_t count_fields(const struct http_head *head, const char *name)
{
	size_t count = 0;

	for (size_t i = 0; i < head->field_count; i++)
		count += strcasecmp(head->fields[i].name, name) == 0;
	return count;
}

/* http-parser accepts spaces in a field name where other parsers strip them, so that the two may
 * disagree about which field is meant. */
static bool are_field_names_valid(const struct http_head *head)
{
	for (size_t i = 0; i < head->field_count; i++) {
		const char *name = head->fields[i].name;

		if (!*name || name[strcspn(name, " \t")])
			return false;
	}
	return true;
}

/* Whether two parsers would read the same message from this head: at most one length, in a response a status
 * code and, in a request, exactly one Host field, HTTP/1.x and a target that is a path. */
static bool is_message_unambiguous(const struct http_reader *reader)
{
	const struct http_head *head = &reader->head;
	const char *coding = http_head_get(head, "Transfer-Encoding");

	if (count_fields(head, "Content-Length") > 1 || count_fields(head, "Transfer-Encoding") > 1)
		return false;
	if (coding && (strcasecmp(coding, "chunked") != 0 || head->has_content_length))
		return false;
	if (reader->kind == HTTP_READER_RESPONSE)
		return reader->status_digits == STATUS_DIGITS && head->status >= STATUS_MIN &&
		       head->status <= STATUS_MAX;
	return count_fields(head, "Host") == 1 && reader->parser.http_major == 1 &&
	       head->target[0] == '/';
}

static void resolve_strings(struct http_reader *reader)
{
	struct http_head *head = &reader->head;

	text_append(reader, "", 1);
	head->target = reader->text + reader->target_offset;
	for (size_t i = 0; i < head->field_count; i++) {
		uint32_t value = reader->offsets[2 * i + 1];

		head->fields[i].name = reader->text + reader->offsets[2 * i];
		head->fields[i].value = value == UINT32_MAX ? "" : reader->text + value;
	}
}

/* Whether the message ends after its head, whatever its fields say (RFC 9112, section 6.3). */
static bool is_without_body(const struct http_reader *reader)
{
	uint16_t status = reader->head.status;

	return reader->kind == HTTP_READER_RESPONSE &&
	       (reader->skip_body || status < 200 || status == 204 || status == 304);
}

/* A response with neither Content-Length nor chunks ends when the connection is closed. */
static bool is_delimited_by_close(const struct http_reader *reader)
{
	return reader->kind == HTTP_READER_RESPONSE && !reader->head.has_no_body &&
	       !reader->head.has_content_length &&
	       !http_head_get(&reader->head, "Transfer-Encoding");
}

/* A request may offer another protocol; none is supported, so the offer is ignored (RFC 9110, section
 * 7.8). A response that switches answers no offer, and CONNECT isn't supported either. */
static bool switches_protocol(http_parser *parser)
{
	if (parser->type == HTTP_REQUEST && parser->method != HTTP_CONNECT)
		parser->upgrade = 0;
	return parser->upgrade != 0;
}

static int on_headers_complete(http_parser *parser)
{
	struct http_reader *reader = parser->data;
	struct http_head *head = &reader->head;

	reader->in_head = false;
	resolve_strings(reader);
	head->status = (uint16_t)parser->status_code;
	head->method = reader->kind == HTTP_READER_REQUEST
			       ? http_method_str((enum http_method)parser->method)
			       : "";
	head->has_content_length = http_head_get(head, "Content-Length") != NULL;
	head->content_length = head->has_content_length ? parser->content_length : 0;
	head->has_no_body = is_without_body(reader);
	/* Set before http_should_keep_alive(), which else expects a body that ends with the connection. */
	if (head->has_no_body)
		parser->flags |= F_SKIPBODY;
	head->keep_alive = http_should_keep_alive(parser) != 0;
	head->ends_at_close = is_delimited_by_close(reader);
	if (!are_field_names_valid(head) || !is_message_unambiguous(reader) ||
	    switches_protocol(parser)) {
		reader->error_status = DW_INVALID_ARGUMENT;
		return -1;
	}
	if (!reader->callbacks->on_head(reader->owner, head)) {
		reader->error_status = DW_CANCELLED;
		return -1;
	}
	return head->has_no_body ? 1 : 0;
}

static int on_body(http_parser *parser, const char *at, size_t len)
{
	struct http_reader *reader = parser->data;

	if (reader->callbacks->on_body(reader->owner, at, len))
		return 0;
	reader->error_status = DW_CANCELLED;
	return -1;
}

static int on_message_complete(http_parser *parser)
{
	struct http_reader *reader = parser->data;

	reader->is_complete = true;
	http_parser_pause(parser, 1);
	return 0;
}

static const http_parser_settings parser_settings = {
	.on_url = on_target,
	.on_header_field = on_field,
	.on_header_value = on_value,
	.on_headers_complete = on_headers_complete,
	.on_body = on_body,
	.on_message_complete = on_message_complete,
};

void http_reader_next(struct http_reader *reader)
{
	http_parser_init(&reader->parser,
			 reader->kind == HTTP_READER_REQUEST ? HTTP_REQUEST : HTTP_RESPONSE);
	reader->parser.data = reader;
	memset(&reader->head, 0, sizeof(reader->head));
	reader->text_len = 0;
	reader->target_offset = 0;
	reader->head_bytes = 0;
	reader->in_value = false;
	reader->in_head = true;
	reader->started = false;
	reader->is_complete = false;
	reader->line_start = false;
	reader->previous = '\0';
	reader->status_line_spaces = 0;
	reader->status_digits = 0;
	reader->error_status = DW_OK;
}

void http_reader_init(struct http_reader *reader, enum http_reader_kind kind, size_t max_head_bytes,
		      const struct http_reader_callbacks *callbacks, void *owner)
{
	memset(reader, 0, sizeof(*reader));
	reader->kind = kind;
	reader->max_head_bytes = max_head_bytes;
	reader->callbacks = callbacks;
	reader->owner = owner;
	http_reader_next(reader);
}

void http_reader_close(struct http_reader *reader)
{
	free(reader->text);
	reader->text = NULL;
	reader->text_size = 0;
}

/* Counts the characters of a response's status code, which the parser also takes with leading zeros. */
static void count_status_digit(struct http_reader *reader, char c)
{
	if (c == ' ' || c == '\r')
		reader->status_line_spaces++;
	else if (reader->status_line_spaces == 1)
		reader->status_digits++;
}

/*
 * Checks raw bytes of a head before they are parsed. @return how many of them belong to the head,
 * or 0 with reader->error_status set.
 */
static size_t validate_head(struct http_reader *reader, const char *bytes, size_t len)
{
	size_t i;

	for (i = 0; i < len; i++) {
		char c = bytes[i];
		bool line_ends = c == '\n';

		if (++reader->head_bytes > reader->max_head_bytes) {
			reader->error_status = DW_TOO_LARGE;
			return 0;
		}
		if ((line_ends && reader->previous != '\r') ||
		    (!line_ends && reader->previous == '\r') || c == '\0' ||
		    (reader->line_start && (c == ' ' || c == '\t'))) {
			reader->error_status = DW_INVALID_ARGUMENT;
			return 0;
		}
		if (reader->status_line_spaces < 2)
			count_status_digit(reader, c);
		if (reader->line_start && line_ends && reader->head_bytes > 2)
			return i + 1;
		/* A CR at the start of a line leaves line_start set, so that an empty line ends the head. */
		if (c != '\r' || !reader->line_start)
			reader->line_start = line_ends;
		reader->previous = c;
	}
	return len;
}

static enum dw_status parse(struct http_reader *reader, const char *bytes, size_t len, size_t *used)
{
	size_t n = http_parser_execute(&reader->parser, &parser_settings, bytes, len);
	enum http_errno error = HTTP_PARSER_ERRNO(&reader->parser);

	*used = n;
	if (error == HPE_PAUSED && reader->is_complete)
		return DW_OK;
	if (reader->error_status != DW_OK)
		return dw_fail(reader->error_status,
			       "HTTP message rejected: invalid or ambiguous head, too many fields, "
			       "or stopped by a callback");
	if (error != HPE_OK)
		return dw_fail(error == HPE_HEADER_OVERFLOW ? DW_TOO_LARGE : DW_INVALID_ARGUMENT,
			       "malformed HTTP message: %s", http_errno_description(error));
	return DW_OK;
}

static enum dw_status parse_head(struct http_reader *reader, const char *bytes, size_t len,
				 size_t *used)
{
	size_t head_len = validate_head(reader, bytes, len);

	if (head_len == 0)
		return dw_fail(reader->error_status, "malformed or oversized HTTP message head");
	return parse(reader, bytes, head_len, used);
}

enum dw_status http_reader_feed(struct http_reader *reader, const char *bytes, size_t len,
				size_t *used)
{
	enum dw_status status = DW_OK;
	size_t at = 0;

	/* Line ends before a message are skipped, as RFC 9112, section 2.2, advises for requests. */
	while (!reader->started && at < len && (bytes[at] == '\r' || bytes[at] == '\n'))
		at++;
	while (at < len && !reader->is_complete && status == DW_OK) {
		size_t n = 0;

		reader->started = true;
		status = reader->in_head ? parse_head(reader, bytes + at, len - at, &n)
					 : parse(reader, bytes + at, len - at, &n);
		at += n;
	}
	*used = at;
	if (reader->is_complete && status == DW_OK)
		reader->callbacks->on_end(reader->owner);
	return status;
}

enum dw_status http_reader_eof(struct http_reader *reader)
{
	if (!reader->started)
		return DW_OK;
	if (reader->in_head)
		return dw_fail(DW_UPSTREAM_FAILED, "connection closed within an HTTP message head");
	http_parser_execute(&reader->parser, &parser_settings, NULL, 0);
	if (!reader->is_complete)
		return dw_fail(DW_UPSTREAM_FAILED, "connection closed within an HTTP message body");
	reader->callbacks->on_end(reader->owner);
	return DW_OK;
}
