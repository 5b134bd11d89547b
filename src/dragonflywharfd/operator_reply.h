/**
 * @file operator_reply.h
 * Replies of the operator service, shared by operator_api.c and operator_put.c.
 */
#ifndef DAEMON_OPERATOR_REPLY_H
#define DAEMON_OPERATOR_REPLY_H

#include "dragonflywharfd/daemon.h"
#include "proto/operator.pb-c.h"

/** Sends a protobuf message with status 200. */
void operator_reply(struct dw_http_exchange *exchange, const ProtobufCMessage *message);

#endif
