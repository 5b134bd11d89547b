/**
 * @file http_link.h
 * A client connection to one HTTP/1.1 server: one request at a time, answers read strictly.
 *
 * Links to a server are kept in a pool while idle. Bytes that arrive on an idle link belong to no
 * request, so they close it. Deadlines are the owner's: it calls http_link_abort() when one passes.
 */
#ifndef WHARF_NET_HTTP_LINK_H
#define WHARF_NET_HTTP_LINK_H

#include <uv.h>

#include "base/settings.h"
#include "net/http_reader.h"

#ifdef __cplusplus
extern "C" {
#endif

enum http_link_failure {
	HTTP_LINK_NOT_CONNECTED, /**< nothing was sent: the server can't have seen the request */
	HTTP_LINK_NO_ANSWER, /**< closed or reset before the head of an answer */
	HTTP_LINK_CUT, /**< closed or reset within an answer */
	HTTP_LINK_MALFORMED, /**< bytes that are no answer */
	HTTP_LINK_FAILURE_COUNT
};

const char *http_link_failure_name(enum http_link_failure failure);

struct http_link_calls {
	/** The head of an answer. @return false to drop the link: on_failed follows. */
	bool (*on_head)(void *owner, const struct http_head *head);
	bool (*on_body)(void *owner, const char *bytes, size_t len);
	/** The answer is complete; the owner then releases the link. */
	void (*on_end)(void *owner);
	/** The link is closing by itself; the owner must forget it. */
	void (*on_failed)(void *owner, enum http_link_failure failure);
};

struct http_link;
struct http_pool;

struct http_pool_options {
	uv_loop_t *loop;
	uint32_t max_idle; /**< links to one server kept while idle */
	uint32_t idle_timeout_ms; /**< at most; a server's shorter Keep-Alive goes first */
	uint32_t unanswered_timeout_ms; /**< bytes without an acknowledgement end the connection */
	size_t max_head_bytes;
};

struct http_pool *http_pool_new(const struct http_pool_options *options);
/** Closes all idle links; links in use must have been released or aborted. */
void http_pool_free(struct http_pool *pool);

/**
 * A link to @p server for one request: an idle one, or a new one. @p fresh asks for a new one.
 * The request is sent as soon as the connection stands.
 */
struct http_link *http_pool_send(struct http_pool *pool, const struct dw_endpoint *server,
				 bool fresh, const void *request, size_t len,
				 const struct http_link_calls *calls, void *owner);

/** Whether the connection stands, so that the request may have been read. */
bool http_link_is_connected(const struct http_link *link);

/** The answer has ended: the link goes back to the pool, or is closed if it can't be reused. */
void http_link_release(struct http_link *link);

/** Closes the link at once, with whatever was in progress; no callback follows. */
void http_link_abort(struct http_link *link);

/** Stops or resumes reading the answer, for a slow receiver. */
void http_link_pause(struct http_link *link, bool paused);

/** Connections made since the start. */
uint64_t http_pool_connections(const struct http_pool *pool);

#ifdef __cplusplus
}
#endif

#endif
