/**
 * @file roster_sync.h
 * Keeps the roster in the store up to date and passes it to the limiter.
 */
#ifndef DAEMON_ROSTER_SYNC_H
#define DAEMON_ROSTER_SYNC_H

#include "dragonflywharfd/daemon.h"

struct roster_sync *roster_sync_start(struct daemon *daemon);

void roster_sync_tick(struct roster_sync *sync);

/** Starts to remove this daemon from the roster; to be called once its permits are released. */
void roster_sync_leave(struct roster_sync *sync);

/** True once this daemon was removed from the roster, or the removal timed out. */
bool roster_sync_has_left(const struct roster_sync *sync);

/** True if the roster lists this run of the instance; otherwise it gets no permits. */
bool roster_sync_is_member(const struct roster_sync *sync);

/** True if the platform's instance list shows upstream @p name as leaving or no longer lists it. */
bool roster_sync_is_listed_leaving(const struct roster_sync *sync, const char *name);

#endif
