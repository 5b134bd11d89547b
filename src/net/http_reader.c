#include "net/http_reader.h"

#include <stdlib.h>
#include <string.h>
#include <strings.h>

#define TEXT_FIRST_BYTES 1024

const char *http_head_get(const struct http_head *head, const char *name)
{
	for (size_t i = 0; i < head->field_count; i++) {
		if (strcasecmp(head->fields[i].name, name) == 0)
			return head->fields[i].value;
	}
	return NULL;
}

static bool list_holds(const char *list, const char *token)
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

bool http_head_connection_lists(const struct http_head *head, const char *token)
{
	for (size_t i = 0; i < head->field_count; i++) {
		if (strcasecmp(head->fields[i].name, "Connection") == 0 &&
		    list_holds(head->fields[i].value, token))
			return true;
	}
	return false;
}

static void text_put(struct http_reader *reader, const char *bytes, size_t len)
{
	if (reader->text_len + len + 1 > reader->text_size) {
		size_t size = reader->text_size ? reader->text_size : TEXT_FIRST_BYTES;

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

static uint32_t text_begin(struct http_reader *reader)
{
	if (reader->text_len > 0)
		text_put(reader, "", 1);
	return (uint32_t)reader->text_len;
}

static int on_target(http_parser *parser, const char *at, size_t len)
{
	struct http_reader *reader = parser->data;

	if (reader->text_len == 0)
		reader->target_offset = 0;
	text_put(reader, at, len);
	return 0;
}

static int on_field(http_parser *parser, const char *at, size_t len)
{
	struct http_reader *reader = parser->data;
	struct http_head *head = &reader->head;

	if (!reader->in_head)
		return 0; /* a trailer: dropped, as nothing in it may change the message */
	if (reader->in_value || head->field_count == 0) {
		if (head->field_count == HTTP_READER_FIELDS_MAX) {
			reader->refusal = DW_TOO_LARGE;
			return 1;
		}
		reader->offsets[2 * head->field_count] = text_begin(reader);
		head->field_count++;
		reader->in_value = false;
		/* The value's place, in case that it is empty and no value callback comes. */
		reader->offsets[2 * head->field_count - 1] = UINT32_MAX;
	}
	text_put(reader, at, len);
	return 0;
}

static int on_value(http_parser *parser, const char *at, size_t len)
{
	struct http_reader *reader = parser->data;
	uint32_t *offset = &reader->offsets[2 * reader->head.field_count - 1];

	if (!reader->in_head)
		return 0;
	if (!reader->in_value) {
		*offset = text_begin(reader);
		reader->in_value = true;
	}
	text_put(reader, at, len);
	return 0;
}

static size_t count_fields(const struct http_head *head, const char *name)
{
	size_t count = 0;

	for (size_t i = 0; i < head->field_count; i++)
		count += strcasecmp(head->fields[i].name, name) == 0;
	return count;
}

/* The parser takes spaces as a part of a name; others cut them off. */
static bool are_names_clear(const struct http_head *head)
{
	for (size_t i = 0; i < head->field_count; i++) {
		const char *name = head->fields[i].name;

		if (!*name || name[strcspn(name, " \t")])
			return false;
	}
	return true;
}

/* Framing that two parsers may read differently. */
static bool is_framing_clear(const struct http_reader *reader)
{
	const struct http_head *head = &reader->head;
	const char *coding = http_head_get(head, "Transfer-Encoding");

	if (count_fields(head, "Content-Length") > 1 || count_fields(head, "Transfer-Encoding") > 1)
		return false;
	if (coding && (strcasecmp(coding, "chunked") != 0 || head->has_length))
		return false;
	if (reader->kind == HTTP_READER_RESPONSE)
		return true;
	return count_fields(head, "Host") == 1 && reader->parser.http_major == 1 &&
	       head->target[0] == '/';
}

static void resolve_texts(struct http_reader *reader)
{
	struct http_head *head = &reader->head;

	text_put(reader, "", 1);
	head->target = reader->text + reader->target_offset;
	for (size_t i = 0; i < head->field_count; i++) {
		uint32_t value = reader->offsets[2 * i + 1];

		head->fields[i].name = reader->text + reader->offsets[2 * i];
		head->fields[i].value = value == UINT32_MAX ? "" : reader->text + value;
	}
}

/* A response with neither a length nor chunks ends when its connection does. */
static bool is_framed_by_close(const struct http_reader *reader)
{
	uint16_t status = reader->head.status;

	return reader->kind == HTTP_READER_RESPONSE && !reader->skip_body && status >= 200 &&
	       status != 204 && status != 304 && !reader->head.has_length &&
	       !http_head_get(&reader->head, "Transfer-Encoding");
}

static int on_headers_complete(http_parser *parser)
{
	struct http_reader *reader = parser->data;
	struct http_head *head = &reader->head;

	reader->in_head = false;
	resolve_texts(reader);
	head->status = (uint16_t)parser->status_code;
	head->method = reader->kind == HTTP_READER_REQUEST
			       ? http_method_str((enum http_method)parser->method)
			       : "";
	head->has_length = http_head_get(head, "Content-Length") != NULL;
	head->length_bytes = head->has_length ? parser->content_length : 0;
	head->keep_alive = http_should_keep_alive(parser) != 0;
	head->ends_with_connection = is_framed_by_close(reader);
	if (!are_names_clear(head) || !is_framing_clear(reader) || parser->upgrade) {
		reader->refusal = DW_INVALID_ARGUMENT;
		return -1;
	}
	if (!reader->calls->on_head(reader->owner, head)) {
		reader->refusal = DW_CANCELLED;
		return -1;
	}
	return reader->skip_body ? 1 : 0;
}

static int on_body(http_parser *parser, const char *at, size_t len)
{
	struct http_reader *reader = parser->data;

	if (reader->calls->on_body(reader->owner, at, len))
		return 0;
	reader->refusal = DW_CANCELLED;
	return -1;
}

static int on_message_complete(http_parser *parser)
{
	struct http_reader *reader = parser->data;

	reader->ended = true;
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
	reader->ended = false;
	reader->line_start = false;
	reader->previous = '\0';
	reader->refusal = DW_OK;
}

void http_reader_init(struct http_reader *reader, enum http_reader_kind kind, size_t max_head_bytes,
		      const struct http_reader_calls *calls, void *owner)
{
	memset(reader, 0, sizeof(*reader));
	reader->kind = kind;
	reader->max_head_bytes = max_head_bytes;
	reader->calls = calls;
	reader->owner = owner;
	http_reader_next(reader);
}

void http_reader_close(struct http_reader *reader)
{
	free(reader->text);
	reader->text = NULL;
	reader->text_size = 0;
}

/*
 * Looks at the raw bytes of a head before the parser does. @return how many of them belong to it,
 * or 0 with reader->refusal set.
 */
static size_t check_head(struct http_reader *reader, const char *bytes, size_t len)
{
	size_t i;

	for (i = 0; i < len; i++) {
		char c = bytes[i];
		bool line_ends = c == '\n';

		if (++reader->head_bytes > reader->max_head_bytes) {
			reader->refusal = DW_TOO_LARGE;
			return 0;
		}
		if ((line_ends && reader->previous != '\r') ||
		    (!line_ends && reader->previous == '\r') || c == '\0' ||
		    (reader->line_start && (c == ' ' || c == '\t'))) {
			reader->refusal = DW_INVALID_ARGUMENT;
			return 0;
		}
		if (reader->line_start && line_ends && reader->head_bytes > 2)
			return i + 1;
		/* A CR at the start of a line leaves line_start set, so that CRLF CRLF ends it. */
		if (c != '\r' || !reader->line_start)
			reader->line_start = line_ends;
		reader->previous = c;
	}
	return len;
}

static enum dw_status execute(struct http_reader *reader, const char *bytes, size_t len,
			      size_t *used)
{
	size_t n = http_parser_execute(&reader->parser, &parser_settings, bytes, len);
	enum http_errno error = HTTP_PARSER_ERRNO(&reader->parser);

	*used = n;
	if (error == HPE_PAUSED && reader->ended)
		return DW_OK;
	if (reader->refusal != DW_OK)
		return dw_fail(reader->refusal, "message refused");
	if (error != HPE_OK)
		return dw_fail(error == HPE_HEADER_OVERFLOW ? DW_TOO_LARGE : DW_INVALID_ARGUMENT,
			       "malformed message: %s", http_errno_description(error));
	return DW_OK;
}

static enum dw_status feed_head(struct http_reader *reader, const char *bytes, size_t len,
				size_t *used)
{
	size_t head_len = check_head(reader, bytes, len);

	if (head_len == 0)
		return dw_fail(reader->refusal, "malformed head");
	return execute(reader, bytes, head_len, used);
}

enum dw_status http_reader_feed(struct http_reader *reader, const char *bytes, size_t len,
				size_t *used)
{
	enum dw_status status = DW_OK;
	size_t at = 0;

	/* An empty line before a request is allowed, once a message has ended. */
	while (!reader->started && at < len && (bytes[at] == '\r' || bytes[at] == '\n'))
		at++;
	while (at < len && !reader->ended && status == DW_OK) {
		size_t n = 0;

		reader->started = true;
		status = reader->in_head ? feed_head(reader, bytes + at, len - at, &n)
					 : execute(reader, bytes + at, len - at, &n);
		at += n;
	}
	*used = at;
	if (reader->ended && status == DW_OK)
		reader->calls->on_end(reader->owner);
	return status;
}

enum dw_status http_reader_eof(struct http_reader *reader)
{
	if (!reader->started)
		return DW_OK;
	if (reader->in_head)
		return dw_fail(DW_UPSTREAM_FAILED, "closed within a head");
	http_parser_execute(&reader->parser, &parser_settings, NULL, 0);
	if (!reader->ended)
		return dw_fail(DW_UPSTREAM_FAILED, "closed within a body");
	reader->calls->on_end(reader->owner);
	return DW_OK;
}
