/**
 * @file operator_api.h
 * The operator service of proto/operator.proto, as unary HTTP POSTs of the Connect protocol.
 */
#ifndef DAEMON_OPERATOR_API_H
#define DAEMON_OPERATOR_API_H

#include "dragonflywharfd/daemon.h"

/** Starts the operators' HTTP server, which also serves /metrics. */
enum dw_status operator_api_start(struct daemon *daemon);

#endif
