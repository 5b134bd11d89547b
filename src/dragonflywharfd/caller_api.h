/**
 * @file caller_api.h
 * The callers' HTTP interface: authenticates each request and passes it to its handler.
 */
#ifndef DAEMON_CALLER_API_H
#define DAEMON_CALLER_API_H

#include "dragonflywharfd/daemon.h"

/** Starts accepting callers' connections. */
enum dw_status caller_api_start(struct daemon *daemon);

#endif
