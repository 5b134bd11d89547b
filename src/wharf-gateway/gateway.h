/**
 * @file gateway.h
 * The process: listeners, readiness, signals, the planned stop.
 */
#ifndef GATEWAY_GATEWAY_H
#define GATEWAY_GATEWAY_H

#include "wharf-gateway/gateway_settings.h"

enum gateway_exit { GATEWAY_STOPPED = 0, GATEWAY_START_FAILED = 3, GATEWAY_STOP_TIMED_OUT = 4 };

/** Runs until a signal ends it. @p path is the settings file, read again on SIGHUP. */
enum gateway_exit gateway_run(const struct gateway_settings *settings, const char *path);

#endif
