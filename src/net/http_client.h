/**
 * @file http_client.h
 * HTTP/1.1 client built on h2o's client and libuv, with a deadline for each request.
 *
 * on_done is called exactly once for each dw_http_call(), also after dw_http_cancel(), but never
 * from within dw_http_call() or dw_http_cancel(). A truncated chunked response can look complete
 * here: a user that needs the complete response must check an end marker in the body.
 */
#ifndef WHARF_NET_HTTP_CLIENT_H
#define WHARF_NET_HTTP_CLIENT_H

#include <uv.h>

#include <dragonflywharf/status.h>

#ifdef __cplusplus
extern "C" {
#endif

struct dw_http_client;
struct dw_http_call;

struct dw_http_name_value {
	const char *name;
	const char *value;
};

/** How far a request had progressed when it ended. */
enum dw_http_progress {
	DW_HTTP_NOT_SENT, /**< no byte was sent, so the server cannot have executed it */
	DW_HTTP_SENT, /**< the server may have read the request */
	DW_HTTP_RESPONSE_STARTED, /**< at least the response head was received */
	DW_HTTP_PROGRESS_COUNT
};

struct dw_http_result {
	/** DW_OK, DW_UNAVAILABLE, DW_UPSTREAM_FAILED, DW_TIMEOUT, DW_CANCELLED or
	 * DW_INVALID_ARGUMENT (not a numeric IPv4 address). */
	enum dw_status status;
	enum dw_http_progress progress;
	int http_status; /**< 0 if no response head was received */
};

struct dw_http_call_options {
	const char *ip; /**< numeric IPv4 address */
	uint16_t port;
	const char *method; /**< not copied: must stay valid until the request is sent */
	const char *path; /**< includes the query string */
	const struct dw_http_name_value *headers;
	size_t header_count;
	const char *body; /**< copied */
	size_t body_len;
	uint64_t deadline_us; /**< on the monotonic clock; 0 disables the deadline */
	/** Called when the connection is established, before any byte is sent. Returning false ends
	 * the call with DW_UNAVAILABLE and DW_HTTP_NOT_SENT. May be NULL. */
	bool (*may_send)(struct dw_http_call *call, void *data);
	/** The response head; dw_http_call_header() returns its headers. May be NULL. */
	void (*on_head)(struct dw_http_call *call, int http_status, void *data);
	/** A chunk of the response body. May be NULL. */
	void (*on_body)(struct dw_http_call *call, const char *bytes, size_t len, void *data);
	void (*on_done)(struct dw_http_call *call, const struct dw_http_result *result, void *data);
	void *data;
};

/** Creates a client that keeps a pool of persistent connections for each server address. */
struct dw_http_client *dw_http_client_new(uv_loop_t *loop);

/** Starts a request; the callbacks run later from the event loop. */
struct dw_http_call *dw_http_call(struct dw_http_client *client,
				  const struct dw_http_call_options *options);

/**
 * Value of the response header @p name, compared without case; NULL if absent. Call it only within
 * on_head. The value is truncated to 1023 bytes and is overwritten when the same thread calls this
 * function again.
 */
const char *dw_http_call_header(struct dw_http_call *call, const char *name);

/** Whether the connection may have carried another request before this one. */
bool dw_http_call_may_be_reused(const struct dw_http_call *call);

/** Aborts the request and closes its connection; on_done reports DW_CANCELLED. */
void dw_http_cancel(struct dw_http_call *call);

/** Stops reading the response until dw_http_resume() is called, to apply back-pressure. */
void dw_http_pause(struct dw_http_call *call);
void dw_http_resume(struct dw_http_call *call);

/** Result of dw_http_fetch(): the complete response body. */
struct dw_http_fetch_result {
	struct dw_http_result result;
	const char *body; /**< NUL-terminated, valid within the callback */
	size_t body_len;
};

typedef void (*dw_http_fetch_callback)(const struct dw_http_fetch_result *result, void *data);

/**
 * Sends a request and buffers the complete response body. Like dw_http_call(), but @p callback
 * replaces the callbacks in @p options and is called once, at the end. A body of more than
 * @p max_body_bytes ends the request with DW_TOO_LARGE.
 */
void dw_http_fetch(struct dw_http_client *client, const struct dw_http_call_options *options,
		   size_t max_body_bytes, dw_http_fetch_callback callback, void *data);

#ifdef __cplusplus
}
#endif

#endif
