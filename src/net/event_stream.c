#include "net/event_stream.h"

#include <stdlib.h>
#include <string.h>

#define DATA_PREFIX "data:"

static void stream_append(struct event_stream *stream, const char *bytes, size_t len)
{
	if (stream->len + len > stream->capacity) {
		stream->capacity = (stream->len + len) * 2;
		stream->base = realloc(stream->base, stream->capacity);
		if (!stream->base)
			abort();
	}
	memcpy(stream->base + stream->len, bytes, len);
	stream->len += len;
}

/* Length of the first complete event including its blank line; 0 if there is none yet. */
static size_t first_event_len(const char *base, size_t len)
{
	for (size_t i = 1; i < len; i++) {
		if (base[i] != '\n')
			continue;
		if (base[i - 1] == '\n')
			return i + 1;
		if (i >= 2 && base[i - 1] == '\r' && base[i - 2] == '\n')
			return i + 1;
	}
	return 0;
}

static void emit_event(const char *raw, size_t len, event_stream_callback on_event, void *context)
{
	const char *data = raw;
	size_t data_len;

	if (len < strlen(DATA_PREFIX) || strncmp(raw, DATA_PREFIX, strlen(DATA_PREFIX)) != 0) {
		on_event("", 0, raw, len, context);
		return;
	}
	data += strlen(DATA_PREFIX);
	if (*data == ' ')
		data++;
	data_len = len - (size_t)(data - raw);
	while (data_len > 0 && (data[data_len - 1] == '\n' || data[data_len - 1] == '\r'))
		data_len--;
	on_event(data, data_len, raw, len, context);
}

enum dw_status event_stream_feed(struct event_stream *stream, const char *bytes, size_t len,
				 event_stream_callback on_event, void *context)
{
	size_t at = 0;
	size_t n;

	stream_append(stream, bytes, len);
	while ((n = first_event_len(stream->base + at, stream->len - at)) > 0) {
		emit_event(stream->base + at, n, on_event, context);
		at += n;
	}
	stream->len -= at;
	if (at > 0 && stream->len > 0)
		memmove(stream->base, stream->base + at, stream->len);
	if (stream->len > EVENT_STREAM_MAX_BYTES)
		return dw_fail(DW_TOO_LARGE,
			       "an incomplete server-sent event exceeds the size limit");
	return DW_OK;
}

void event_stream_clear(struct event_stream *stream)
{
	free(stream->base);
	memset(stream, 0, sizeof(*stream));
}
