/**
 * @file instance_list_http.h
 * Implements instance_list.h for a platform that serves its instances at GET /instances.
 *
 * Response: {"generation": n, "instances": [{"name", "ip", "port", "failure_domain", "role":
 * "entry|engine|service", "state": "live|leaving"}]}; all fields are required.
 */
#ifndef WHARF_PORT_INSTANCE_LIST_HTTP_H
#define WHARF_PORT_INSTANCE_LIST_HTTP_H

#include "net/http_client.h"
#include "port/instance_list.h"

#ifdef __cplusplus
extern "C" {
#endif

/** Starts polling @p ip:@p port. The client must outlive the list. */
struct dw_instance_list *dw_instance_list_http_new(uv_loop_t *loop, struct dw_http_client *client,
						   const char *ip, uint16_t port,
						   const struct dw_instance_list_options *options);

/** Parses a response. DW_INVALID_ARGUMENT if malformed or empty. The caller frees @p instances. */
enum dw_status dw_instance_list_parse(const char *body, size_t len, uint64_t *generation,
				      struct dw_instance **instances, size_t *count);

#ifdef __cplusplus
}
#endif

#endif
