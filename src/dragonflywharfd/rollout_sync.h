/**
 * @file rollout_sync.h
 * Automatic holds for instances that missed them: new ones, and those behind a cut.
 *
 * News travels by gossip (peer_bus.h), but a held version has no more answers and so no more news.
 */
#ifndef DAEMON_ROLLOUT_SYNC_H
#define DAEMON_ROLLOUT_SYNC_H

#include "dragonflywharfd/daemon.h"

/** Tells a new run of an instance all evidence, if this is one of the few that shall. */
void rollout_sync_member_new(struct daemon *daemon, const struct dw_member *member);

/** Tells the holds in force to a random member now and then. */
void rollout_sync_tick(struct daemon *daemon);

#endif
