/**
 * @file http_server.h
 * An HTTP/1.1 server on h2o and libuv, reduced to what the programs need.
 *
 * A handler gets a struct dw_http_exchange and answers it now or later, whole with
 * dw_http_respond() or in parts with dw_http_stream_start/write/end(). The exchange belongs to the
 * server. Its on_gone callback runs once, when the caller's connection has ended before the answer
 * did; after it, or after the answer's end, the exchange must not be touched.
 */
#ifndef WHARF_NET_HTTP_SERVER_H
#define WHARF_NET_HTTP_SERVER_H

#include <uv.h>

#include <dragonflywharf/status.h>

#ifdef __cplusplus
extern "C" {
#endif

struct dw_http_server;
struct dw_http_exchange;

typedef void (*dw_http_handler)(struct dw_http_exchange *exchange, void *data);
typedef void (*dw_http_gone)(struct dw_http_exchange *exchange, void *data);

struct dw_http_options {
	const char *ip; /**< numeric IPv4 address to bind */
	uint16_t port; /**< 0 takes a free one, see dw_http_server_port() */
	size_t max_body_bytes; /**< larger requests get 413 */
	dw_http_handler handler; /**< called for every request */
	void *data;
};

/** Binds and starts to accept. @p out is NULL on failure. */
enum dw_status dw_http_server_start(struct dw_http_server **out, uv_loop_t *loop,
				    const struct dw_http_options *options);

uint16_t dw_http_server_port(const struct dw_http_server *server);

/** Closes all connections now, as the end of the process would; new ones are still accepted. */
void dw_http_server_cut_connections(struct dw_http_server *server);

/** From now on each connection ends with its next answer; new ones are still accepted. */
void dw_http_server_end_connections(struct dw_http_server *server);

/** The same, and accepts no more; requests under way go on to their end. */
void dw_http_server_stop_accepting(struct dw_http_server *server);

/** Requests that have a handler's answer outstanding. */
size_t dw_http_server_active(const struct dw_http_server *server);

/** The request's parts. Text is NUL-terminated and lives as long as the exchange. */
const char *dw_http_method(const struct dw_http_exchange *exchange);
/** Path without the query. */
const char *dw_http_path(const struct dw_http_exchange *exchange);
/** Query without the question mark; "" if there is none. */
const char *dw_http_query(const struct dw_http_exchange *exchange);
/** Value of the header @p name (lower case); NULL if absent. */
const char *dw_http_header(struct dw_http_exchange *exchange, const char *name);
const char *dw_http_body(const struct dw_http_exchange *exchange, size_t *len);

/** Sets who is told when the caller goes away. */
void dw_http_on_gone(struct dw_http_exchange *exchange, dw_http_gone gone, void *data);

/** Adds an answer header; call before the answer starts. Texts are copied. */
void dw_http_add_header(struct dw_http_exchange *exchange, const char *name, const char *value);

/** Sends a whole answer; ends the exchange. */
void dw_http_respond(struct dw_http_exchange *exchange, int status, const char *content_type,
		     const char *body, size_t len);

/** Starts an answer of unknown length (chunked). */
void dw_http_stream_start(struct dw_http_exchange *exchange, int status, const char *content_type);

/** Queues bytes of the answer; copied. */
void dw_http_stream_write(struct dw_http_exchange *exchange, const char *bytes, size_t len);

/** Sets who is told each time the caller has taken what was queued. */
void dw_http_on_drained(struct dw_http_exchange *exchange, dw_http_gone drained, void *data);

/** Bytes queued that the caller hasn't taken yet, for back-pressure. */
size_t dw_http_stream_queued(const struct dw_http_exchange *exchange);

/**
 * Ends the answer; ends the exchange. With @p whole false the connection is cut without the end
 * marker, so that the caller can tell that the answer is not whole.
 */
void dw_http_stream_end(struct dw_http_exchange *exchange, bool whole);

#ifdef __cplusplus
}
#endif

#endif
