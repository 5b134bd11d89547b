/**
 * @file sentinel.h
 * An idle connection to an upstream, whose end tells at once that the upstream may have restarted.
 *
 * Load reports come with a period; between two of them an upstream can restart unseen, and requests
 * would go to it under its warm limit. The kernel closes the connections of a process that ends, so
 * this one's end comes before a new process can take any request.
 */
#ifndef DAEMON_SENTINEL_H
#define DAEMON_SENTINEL_H

#include <uv.h>

#include <dragonflywharf/status.h>

struct sentinel;

/** Told when the connection opens and when it ends; from the loop. */
typedef void (*sentinel_changed)(bool open, void *data);

/** Connects, and connects again after each end until it is closed. */
struct sentinel *sentinel_open(uv_loop_t *loop, const char *ip, uint16_t port,
			       sentinel_changed changed, void *data);

/** Looks at the connection now, before the loop would tell of its end; false if it isn't open. */
bool sentinel_look(struct sentinel *sentinel);

bool sentinel_is_open(const struct sentinel *sentinel);

/** Ends it; no callback follows. */
void sentinel_close(struct sentinel *sentinel);

#endif
