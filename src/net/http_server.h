/**
 * @file http_server.h
 * HTTP/1.1 server built on h2o and libuv.
 *
 * A handler gets a struct dw_http_exchange for each request and responds immediately or later:
 * with a complete response by dw_http_respond(), or in chunks by dw_http_stream_start(),
 * dw_http_stream_write() and dw_http_stream_end(). The server owns the exchange. The callback set
 * by dw_http_on_disconnect() runs once, if the client disconnects before the response has ended. After
 * that callback, or after the end of the response, the exchange must not be used.
 */
#ifndef WHARF_NET_HTTP_SERVER_H
#define WHARF_NET_HTTP_SERVER_H

#include <uv.h>

#include <dragonflywharf/caller_budget.h>
#include <dragonflywharf/status.h>

#ifdef __cplusplus
extern "C" {
#endif

struct dw_http_server;
struct dw_http_exchange;

typedef void (*dw_http_handler)(struct dw_http_exchange *exchange, void *data);
typedef void (*dw_http_exchange_callback)(struct dw_http_exchange *exchange, void *data);

struct dw_http_options {
	const char *ip; /**< numeric IPv4 address to bind */
	uint16_t port; /**< 0 binds any free port, see dw_http_server_port() */
	size_t max_body_bytes; /**< larger requests get 413 */
	bool has_caller_limits; /**< false: what is held for callers isn't limited */
	struct dw_caller_limits_of_machine caller_limits;
	dw_http_handler handler; /**< called for every request */
	void *data;
};

/** Binds and starts accepting connections. @p out is set to NULL on failure. */
enum dw_status dw_http_server_start(struct dw_http_server **out, uv_loop_t *loop,
				    const struct dw_http_options *options);

/** The bound port. */
uint16_t dw_http_server_port(const struct dw_http_server *server);

/** Shuts down all open connections immediately, as if the process had been killed: what has arrived on them, or waits
 * to be accepted, is dropped. New connections are still accepted. */
void dw_http_server_abort_connections(struct dw_http_server *server);

/** Closes each connection after its next response. New connections are still accepted. */
void dw_http_server_disable_keep_alive(struct dw_http_server *server);

/** Like dw_http_server_disable_keep_alive(), and also closes the listener. Requests in progress run to
 * their end. */
void dw_http_server_stop_accepting(struct dw_http_server *server);

/** Number of requests in progress. */
size_t dw_http_server_active(const struct dw_http_server *server);

/** Request method. All strings of a request are NUL-terminated and live as long as the exchange. */
const char *dw_http_method(const struct dw_http_exchange *exchange);
/** Path without the query. */
const char *dw_http_path(const struct dw_http_exchange *exchange);
/** Query without the question mark; "" if there is none. */
const char *dw_http_query(const struct dw_http_exchange *exchange);
/** Value of the header @p name, compared without case, but "host" must be given in lower case; NULL
 * if absent. */
const char *dw_http_header(struct dw_http_exchange *exchange, const char *name);
/** Request body of @p len bytes, which need not be NUL-terminated; "" if there is none. */
const char *dw_http_body(const struct dw_http_exchange *exchange, size_t *len);

/** Sets the callback for a client that disconnects before the response has ended. */
void dw_http_on_disconnect(struct dw_http_exchange *exchange,
			   dw_http_exchange_callback on_disconnect, void *data);

/** Adds a response header; call it before the response starts. Both strings are copied. */
void dw_http_add_header(struct dw_http_exchange *exchange, const char *name, const char *value);

/** Sends a complete response and ends the exchange. */
void dw_http_respond(struct dw_http_exchange *exchange, int status, const char *content_type,
		     const char *body, size_t len);

/** Starts a chunked response of unknown length. */
void dw_http_stream_start(struct dw_http_exchange *exchange, int status, const char *content_type);

/** Queues a chunk of the response body; the bytes are copied. */
void dw_http_stream_write(struct dw_http_exchange *exchange, const char *bytes, size_t len);

/** Sets a callback that runs each time all queued bytes have been written to the client. */
void dw_http_on_drained(struct dw_http_exchange *exchange, dw_http_exchange_callback on_drained,
			void *data);

/** Number of queued bytes not yet written to the client, for back-pressure. */
size_t dw_http_stream_queued(const struct dw_http_exchange *exchange);

/**
 * Ends the response and the exchange. If @p complete is false, the connection is closed without
 * the final chunk, so that the client can tell that the response is incomplete.
 */
void dw_http_stream_end(struct dw_http_exchange *exchange, bool complete);

#ifdef __cplusplus
}
#endif

#endif
