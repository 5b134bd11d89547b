/**
 * @file operator_api.h
 * The operators' remote procedures (proto/operator.proto) as unary Connect-protocol POSTs.
 */
#ifndef DAEMON_OPERATOR_API_H
#define DAEMON_OPERATOR_API_H

#include "dragonflywharfd/daemon.h"

/** Starts to take operators; also serves /metrics. */
enum dw_status operator_api_start(struct daemon *daemon);

#endif
