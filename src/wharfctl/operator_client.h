/**
 * @file operator_client.h
 * Blocking calls of the operators' remote procedures.
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
	struct dw_endpoint_list servers; /**< tried in turn */
	const char *key; /**< the operator's bearer key */
};

void operator_client_init(struct operator_client *client, const struct dw_endpoint_list *servers,
			  const char *key);

/**
 * Calls @p method; a server that can't be reached is passed over.
 * @return DW_OK with @p answer unpacked, freed by the caller; else the server's error.
 */
enum dw_status operator_client_call(struct operator_client *client, const char *method,
				    const ProtobufCMessage *request,
				    const ProtobufCMessageDescriptor *answer_type,
				    ProtobufCMessage **answer);

#endif
