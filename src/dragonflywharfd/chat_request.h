/**
 * @file chat_request.h
 * Life cycle of a chat-completions request: queueing, cascade, attempts and billing.
 */
#ifndef DAEMON_CHAT_REQUEST_H
#define DAEMON_CHAT_REQUEST_H

#include "dragonflywharfd/daemon.h"

/** Starts a request and takes ownership of the exchange; the caller was authenticated. */
void chat_request_start(struct daemon *daemon, struct dw_http_exchange *exchange,
			const struct dw_organisation *organisation);

#endif
