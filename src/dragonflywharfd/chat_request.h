/**
 * @file chat_request.h
 * A chat-completions request from its arrival to its end: queue, cascade, attempts, billing.
 */
#ifndef DAEMON_CHAT_REQUEST_H
#define DAEMON_CHAT_REQUEST_H

#include "dragonflywharfd/daemon.h"

/** Takes over the exchange of an authenticated caller of @p organisation. */
void chat_request_start(struct daemon *daemon, struct dw_http_exchange *exchange,
			const struct dw_organisation *organisation);

#endif
