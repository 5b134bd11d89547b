/**
 * @file connection_monitor.h
 * Monitors an upstream by an idle connection, whose end shows at once that the upstream may have
 * restarted.
 *
 * Load reports are periodic: an upstream can restart between two of them, and requests would still
 * be sent under its warm limit. The kernel closes the connections of a process that ends, so the
 * end of this one is visible before a new process can receive a request.
 */
#ifndef DAEMON_CONNECTION_MONITOR_H
#define DAEMON_CONNECTION_MONITOR_H

#include <uv.h>

#include <dragonflywharf/status.h>

struct connection_monitor;

/** Called when the connection is established and when it ends. */
typedef void (*connection_monitor_callback)(bool open, void *data);

/** Connects, and reconnects whenever the connection ends, until connection_monitor_stop(). */
struct connection_monitor *connection_monitor_start(uv_loop_t *loop, const char *ip, uint16_t port,
						    connection_monitor_callback changed,
						    void *data);

/**
 * Checks the socket now, without waiting for the event loop to report the end of the connection;
 * calls the callback if it has ended.
 * @return true if the connection is open
 */
bool connection_monitor_check(struct connection_monitor *monitor);

bool connection_monitor_is_connected(const struct connection_monitor *monitor);

/** Closes the connection and frees the monitor; the callback isn't called any more. */
void connection_monitor_stop(struct connection_monitor *monitor);

#endif
