/**
 * @file service_request.h
 * A request to a plain service: retried on failure if idempotent, otherwise run at most once.
 */
#ifndef DAEMON_SERVICE_REQUEST_H
#define DAEMON_SERVICE_REQUEST_H

#include "dragonflywharfd/daemon.h"

#define SERVICE_PREFIX "/services/"

/**
 * Starts a request and takes ownership of the exchange. The caller was authenticated, and the path
 * begins with SERVICE_PREFIX.
 */
void service_request_start(struct daemon *daemon, struct dw_http_exchange *exchange,
			   const struct dw_organisation *organisation);

#endif
