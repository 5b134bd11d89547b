/**
 * @file roster_sync.h
 * Keeps the roster of the share group: reads it, proposes changes, tells the share module.
 */
#ifndef DAEMON_ROSTER_SYNC_H
#define DAEMON_ROSTER_SYNC_H

#include "dragonflywharfd/daemon.h"

struct roster_sync *roster_sync_start(struct daemon *daemon);

void roster_sync_tick(struct roster_sync *sync);

/** Takes this daemon out of the roster, once its share is released. */
void roster_sync_leave(struct roster_sync *sync);

/** True once the leaving has been written, or given up for lack of the store. */
bool roster_sync_left(const struct roster_sync *sync);

/** True if this run stands in the roster: without that it gets no permits. */
bool roster_sync_is_member(const struct roster_sync *sync);

/** True if the platform's list says that the upstream @p name leaves or has left. */
bool roster_sync_listed_leaving(const struct roster_sync *sync, const char *name);

#endif
