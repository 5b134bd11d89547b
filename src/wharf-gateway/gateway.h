/**
 * @file gateway.h
 * The gateway process: listeners, readiness and metrics, signals, graceful shutdown.
 */
#ifndef GATEWAY_GATEWAY_H
#define GATEWAY_GATEWAY_H

#include "wharf-gateway/gateway_settings.h"

/** Exit codes of the process. */
enum gateway_exit { GATEWAY_STOPPED = 0, GATEWAY_START_FAILED = 3, GATEWAY_STOP_TIMED_OUT = 4 };

/** Runs the gateway until SIGTERM or SIGINT. @p path is the settings file, reloaded on SIGHUP. */
enum gateway_exit gateway_run(const struct gateway_settings *settings, const char *path);

#endif
