/**
 * @file rater_http.h
 * Adapter of rater.h to a service that takes POST /rate {"organisation", "model", "version",
 * "prompt", "answer"} and answers {"score_permille": n}.
 */
#ifndef WHARF_PORT_RATER_HTTP_H
#define WHARF_PORT_RATER_HTTP_H

#include "net/http_client.h"
#include "port/rater.h"

#ifdef __cplusplus
extern "C" {
#endif

/** The client must outlive the rater. */
struct dw_rater *dw_rater_http_new(struct dw_http_client *client, const char *ip, uint16_t port);

/** Frees a rater that has no ratings under way. */
void dw_rater_http_free(struct dw_rater *rater);

#ifdef __cplusplus
}
#endif

#endif
