/**
 * @file http_client.h
 * HTTP/1.1 calls on h2o's client and libuv, with a deadline and a typed end.
 *
 * Exactly one on_done follows each dw_http_call(), also after dw_http_cancel() (not from within
 * that call). A chunked answer that was cut short can look complete here: who needs a whole answer
 * checks its own end marker.
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

/** How far a call had come when it ended. */
enum dw_http_progress {
	DW_HTTP_NOT_SENT, /**< no byte reached the peer: provably not run */
	DW_HTTP_SENT, /**< the request may have been read */
	DW_HTTP_ANSWERED, /**< at least the answer's head came */
	DW_HTTP_PROGRESS_COUNT
};

struct dw_http_result {
	enum dw_status
		status; /**< DW_OK, DW_UNAVAILABLE, DW_UPSTREAM_FAILED, DW_TIMEOUT, DW_CANCELLED */
	enum dw_http_progress progress;
	int http_status; /**< 0 if no head came */
};

struct dw_http_call_options {
	const char *ip; /**< numeric IPv4 address */
	uint16_t port;
	const char *method;
	const char *path; /**< with the query */
	const struct dw_http_name_value *headers;
	size_t header_count;
	const char *body; /**< copied */
	size_t body_len;
	uint64_t deadline_us; /**< on the monotonic clock; 0 for none */
	/** Asked when the connection stands, before any byte is sent; false ends the call with
	 * DW_UNAVAILABLE, not sent. May be NULL. */
	bool (*may_send)(struct dw_http_call *call, void *data);
	/** The answer's head; headers through dw_http_call_header(). May be NULL. */
	void (*on_head)(struct dw_http_call *call, int http_status, void *data);
	/** A part of the answer's body. May be NULL. */
	void (*on_body)(struct dw_http_call *call, const char *bytes, size_t len, void *data);
	void (*on_done)(struct dw_http_call *call, const struct dw_http_result *result, void *data);
	void *data;
};

/** A client with a pool of kept connections for each address. */
struct dw_http_client *dw_http_client_new(uv_loop_t *loop);

/** Starts a call; the callbacks run later from the loop. */
struct dw_http_call *dw_http_call(struct dw_http_client *client,
				  const struct dw_http_call_options *options);

/** A header of the answer (lower-case name), valid only within on_head; NULL if absent. */
const char *dw_http_call_header(struct dw_http_call *call, const char *name);

/** Ends the call and closes its connection; on_done tells DW_CANCELLED. */
void dw_http_cancel(struct dw_http_call *call);

/** Stops reading the answer until dw_http_resume(), for back-pressure. */
void dw_http_pause(struct dw_http_call *call);
void dw_http_resume(struct dw_http_call *call);

/** Collects a whole answer and tells it once; a convenience over dw_http_call(). */
struct dw_http_fetch_result {
	struct dw_http_result end;
	const char *body; /**< NUL-terminated, valid within the callback */
	size_t body_len;
};

typedef void (*dw_http_fetched)(const struct dw_http_fetch_result *result, void *data);

/** As dw_http_call(), but only on_done's counterpart @p fetched is called; body at most
 * @p max_body_bytes, more ends with DW_TOO_LARGE. */
void dw_http_fetch(struct dw_http_client *client, const struct dw_http_call_options *options,
		   size_t max_body_bytes, dw_http_fetched fetched, void *data);

#ifdef __cplusplus
}
#endif

#endif
