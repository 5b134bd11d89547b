/**
 * @file rater_http.h
 * Implements rater.h over HTTP: POST /rate {"organisation", "model", "version", "prompt",
 * "answer"}; the response is {"score_permille": n}.
 */
#ifndef WHARF_PORT_RATER_HTTP_H
#define WHARF_PORT_RATER_HTTP_H

#include "net/http_client.h"
#include "port/rater.h"

#ifdef __cplusplus
extern "C" {
#endif

/** Creates a rater that sends to @p ip:@p port. The client must outlive it. */
struct dw_rater *dw_rater_http_new(struct dw_http_client *client, const char *ip, uint16_t port);

/** Frees a rater that has no ratings in progress. */
void dw_rater_http_free(struct dw_rater *rater);

#ifdef __cplusplus
}
#endif

#endif
