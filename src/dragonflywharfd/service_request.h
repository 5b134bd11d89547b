/**
 * @file service_request.h
 * A call of a plain service: repeated on failure if idempotent, else run at most once.
 */
#ifndef DAEMON_SERVICE_REQUEST_H
#define DAEMON_SERVICE_REQUEST_H

#include "dragonflywharfd/daemon.h"

#define SERVICE_PREFIX "/services/"

/** Takes over the exchange of an authenticated caller; its path begins with SERVICE_PREFIX. */
void service_request_start(struct daemon *daemon, struct dw_http_exchange *exchange,
			   const struct dw_organisation *organisation);

#endif
