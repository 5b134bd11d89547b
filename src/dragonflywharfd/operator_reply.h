/**
 * @file operator_reply.h
 * Answers of the operators' interface.
 */
#ifndef DAEMON_OPERATOR_REPLY_H
#define DAEMON_OPERATOR_REPLY_H

#include "dragonflywharfd/daemon.h"
#include "proto/operator.pb-c.h"

/** Answers with a packed protobuf message. */
void operator_reply(struct dw_http_exchange *exchange, const ProtobufCMessage *message);

#endif
