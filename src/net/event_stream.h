/**
 * @file event_stream.h
 * Splits a server-sent event stream into its events.
 */
#ifndef WHARF_NET_EVENT_STREAM_H
#define WHARF_NET_EVENT_STREAM_H

#include <dragonflywharf/status.h>

#define EVENT_STREAM_MAX_BYTES (1U << 20)

/** Bytes that don't make a whole event yet. Zero-initialise before use. */
struct event_stream {
	char *base;
	size_t len;
	size_t capacity;
};

/** Gets each event's data field and the event's raw bytes, its blank line included. */
typedef void (*event_stream_event)(const char *data, size_t data_len, const char *raw,
				   size_t raw_len, void *context);

/** Takes bytes in. DW_TOO_LARGE if one event is over the bound. */
enum dw_status event_stream_feed(struct event_stream *stream, const char *bytes, size_t len,
				 event_stream_event event, void *context);

void event_stream_clear(struct event_stream *stream);

#endif
