/**
 * @file operator_client.h
 * Blocking client of the Operator service (proto/operator.proto).
 */
#ifndef WHARFCTL_OPERATOR_CLIENT_H
#define WHARFCTL_OPERATOR_CLIENT_H

#include <uv.h>

#include "base/settings.h"
#include "net/http_client.h"
#include "proto/operator.pb-c.h"

struct operator_client {
	uv_loop_t loop;
	struct dw_http_client *http;
	struct dw_endpoint_list servers; /**< tried in order */
	const char *key; /**< the operator's bearer key */
};

void operator_client_init(struct operator_client *client, const struct dw_endpoint_list *servers,
			  const char *key);

/**
 * Calls @p method on the first server that can be reached: the next server is tried only if nothing
 * of the request was sent, so that a change is never sent twice.
 * @return DW_OK with the unpacked message in @p response, freed by the caller; else the error of
 *         the server or of the connection.
 */
enum dw_status operator_client_call(struct operator_client *client, const char *method,
				    const ProtobufCMessage *request,
				    const ProtobufCMessageDescriptor *response_type,
				    ProtobufCMessage **response);

#endif
