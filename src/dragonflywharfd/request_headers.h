/**
 * @file request_headers.h
 * Parses the request headers that chat and plain services share, and keeps the retry budgets.
 */
#ifndef DAEMON_REQUEST_HEADERS_H
#define DAEMON_REQUEST_HEADERS_H

#include "dragonflywharfd/daemon.h"

/**
 * Reads x-request-timeout-ms and x-priority, with defaults for missing and invalid values. The
 * request id is made from idempotency-key, or random without one.
 */
void request_headers_read(struct daemon *daemon, struct dw_http_exchange *exchange,
			  const char *organisation, struct dw_fingerprint *request_id,
			  uint64_t *deadline_us, enum dw_admission_priority *priority);

/** Returns an organisation's retry budget; NULL if the maximum number of budgets is in use. */
struct dw_retry_budget *request_headers_budget(struct daemon *daemon, uint64_t organisation_id);

/** Adds a fraction of a retry to the organisation's retry budget, for an answered request. */
void request_headers_credit_budget(struct daemon *daemon, uint64_t organisation_id);

#endif
