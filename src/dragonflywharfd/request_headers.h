/**
 * @file request_headers.h
 * What callers say in headers, the same for chat and for plain services.
 */
#ifndef DAEMON_REQUEST_HEADERS_H
#define DAEMON_REQUEST_HEADERS_H

#include "dragonflywharfd/daemon.h"

/**
 * Reads idempotency-key (else a fresh request id), x-request-timeout-ms and x-priority. Values out
 * of range take the defaults.
 */
void request_headers_read(struct daemon *daemon, struct dw_http_exchange *exchange,
			  const char *organisation, struct dw_fingerprint *request_id,
			  uint64_t *deadline_us, enum dw_admission_priority *priority);

/** The retry budget of an organisation. */
struct dw_retry_budget *request_headers_budget(struct daemon *daemon, uint64_t organisation_id);

/** A request of the organisation was answered: its budget grows by a part of a retry. */
void request_headers_feed_budget(struct daemon *daemon, uint64_t organisation_id);

#endif
