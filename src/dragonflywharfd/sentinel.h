/**
 * @file sentinel.h
 * Monitors an upstream by an idle connection, whose end shows at once that the upstream may have
 * restarted.
 *
 * Load reports are periodic: an upstream can restart between two of them, and requests would still
 * be sent under its warm limit. The kernel closes the connections of a process that ends, so the
 * end of this one is visible before a new process can receive a request.
 */
#ifndef DAEMON_SENTINEL_H
#define DAEMON_SENTINEL_H

#include <uv.h>

#include <dragonflywharf/status.h>

struct sentinel;

/** Called when the connection is established and when it ends. */
typedef void (*sentinel_changed)(bool open, void *data);

/** Connects, and reconnects whenever the connection ends, until sentinel_close(). */
struct sentinel *sentinel_open(uv_loop_t *loop, const char *ip, uint16_t port,
			       sentinel_changed changed, void *data);

/**
 * Checks the socket now, without waiting for the event loop to report the end of the connection;
 * calls the callback if it has ended.
 * @return true if the connection is open
 */
bool sentinel_look(struct sentinel *monitor);

bool sentinel_is_open(const struct sentinel *monitor);

/** Closes the connection and frees the monitor; the callback isn't called any more. */
void sentinel_close(struct sentinel *monitor);

#endif
