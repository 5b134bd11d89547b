/**
 * @file caller_api.h
 * The callers' HTTP interface: who calls, and which kind of request it is.
 */
#ifndef DAEMON_CALLER_API_H
#define DAEMON_CALLER_API_H

#include "dragonflywharfd/daemon.h"

/** Starts to take callers. */
enum dw_status caller_api_start(struct daemon *daemon);

#endif
