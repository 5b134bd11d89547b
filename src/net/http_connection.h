/**
 * @file http_connection.h
 * Client connections to HTTP/1.1 servers, with a pool of idle connections.
 *
 * A connection carries one request at a time and parses responses strictly. Data that arrives on an
 * idle connection belongs to no request, so the connection is closed. There are no request
 * timeouts here: the owner calls http_connection_abort() when its deadline passes.
 */
#ifndef WHARF_NET_HTTP_CONNECTION_H
#define WHARF_NET_HTTP_CONNECTION_H

#include <uv.h>

#include "base/settings.h"
#include "net/http_reader.h"

#ifdef __cplusplus
extern "C" {
#endif

enum http_connection_failure {
	HTTP_CONNECTION_NOT_ESTABLISHED, /**< nothing was sent, so the server cannot have seen the request */
	HTTP_CONNECTION_NO_RESPONSE, /**< closed or reset before a response head was received */
	/** After a response head: closed, reset, malformed, or a callback returned false. */
	HTTP_CONNECTION_TRUNCATED_RESPONSE,
	HTTP_CONNECTION_MALFORMED_RESPONSE, /**< the server sent no valid response head */
	HTTP_CONNECTION_FAILURE_COUNT
};

const char *http_connection_failure_name(enum http_connection_failure failure);

struct http_connection_callbacks {
	/** A response head was received. @return false to close the connection: on_failed follows. */
	bool (*on_head)(void *owner, const struct http_head *head);
	/** A chunk of the response body. @return false to close the connection: on_failed follows. */
	bool (*on_body)(void *owner, const char *bytes, size_t len);
	/** The response is complete; the owner then calls http_connection_release(). */
	void (*on_end)(void *owner);
	/** The connection failed and is being closed; the owner must not use it any more. */
	void (*on_failed)(void *owner, enum http_connection_failure failure);
};

struct http_connection;
struct http_pool;

struct http_pool_options {
	uv_loop_t *loop;
	uint32_t max_idle; /**< limit of idle connections to one server */
	uint32_t idle_timeout_ms; /**< unless the server's Keep-Alive timeout is shorter */
	uint32_t unacknowledged_timeout_ms; /**< see tcp_socket_set_options() */
	size_t max_head_bytes;
};

struct http_pool *http_pool_new(const struct http_pool_options *options);
/** Closes all idle connections; those in use must have been released or aborted before. */
void http_pool_free(struct http_pool *pool);

/**
 * Sends a request to @p server on an idle connection, or on a new one if there is none. A new connection
 * sends it once it is established. Whether the response may have a body is told by the request's method.
 * @param key identifies the request; connections that http_connection_avoid() keeps from it aren't used
 * @return the connection, or NULL if it could not be opened.
 */
struct http_connection *http_pool_send(struct http_pool *pool, const struct dw_endpoint *server,
				       uint64_t key, const void *request, size_t len,
				       const struct http_connection_callbacks *callbacks,
				       void *owner);

/** Whether the connection has carried another request before this one. */
bool http_connection_is_reused(const struct http_connection *connection);

/**
 * Keeps later requests with this key off the connection: a response to the one in progress that comes once
 * more couldn't be told from theirs. Some others are kept off as well.
 */
void http_connection_avoid(struct http_connection *connection, uint64_t key);

/** Whether the connection is established, so that the server may have read the request. */
bool http_connection_is_established(const struct http_connection *connection);

/**
 * Why the connection failed, as a libuv error: UV_ECONNREFUSED, UV_ECONNRESET, UV_EOF, UV_ETIMEDOUT
 * and others; 0 if the response was malformed or rejected. Only within on_failed.
 */
int http_connection_error(const struct http_connection *connection);

/** Returns the connection to the pool after its response, or closes it if it cannot be reused. */
void http_connection_release(struct http_connection *connection);

/** Closes the connection immediately, even within a request; no callback follows. */
void http_connection_abort(struct http_connection *connection);

/** Stops or resumes reading the response, to apply back-pressure. */
void http_connection_set_paused(struct http_connection *connection, bool paused);

/** Number of connections opened since the pool was created. */
uint64_t http_pool_connections_opened(const struct http_pool *pool);

#ifdef __cplusplus
}
#endif

#endif
