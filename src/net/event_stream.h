/**
 * @file event_stream.h
 * Incremental parser that splits a server-sent event stream into events.
 */
#ifndef WHARF_NET_EVENT_STREAM_H
#define WHARF_NET_EVENT_STREAM_H

#include <dragonflywharf/status.h>

/** Limit for the buffered bytes of one incomplete event. */
#define EVENT_STREAM_MAX_BYTES (1U << 20)

/** Buffer for the bytes of an incomplete event. Zero-initialise before use. */
struct event_stream {
	char *base;
	size_t len;
	size_t capacity;
};

/**
 * Called for each complete event.
 *
 * @p raw is the event as received, including the blank line that ends it. @p data is what follows
 * a leading "data:" and one optional space, without trailing line ends; it is empty if the event
 * starts with another field.
 */
typedef void (*event_stream_callback)(const char *data, size_t data_len, const char *raw,
				      size_t raw_len, void *context);

/**
 * Parses received bytes and calls @p on_event for each complete event.
 * @return DW_OK, or DW_TOO_LARGE if more than EVENT_STREAM_MAX_BYTES of an incomplete event are
 * buffered.
 */
enum dw_status event_stream_feed(struct event_stream *stream, const char *bytes, size_t len,
				 event_stream_callback on_event, void *context);

/** Frees the buffer and resets the stream. */
void event_stream_clear(struct event_stream *stream);

#endif
