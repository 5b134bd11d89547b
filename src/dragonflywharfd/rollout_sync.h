/**
 * @file rollout_sync.h
 * Evidence and holds for a new run of an instance, which has heard none of the news.
 */
#ifndef DAEMON_ROLLOUT_SYNC_H
#define DAEMON_ROLLOUT_SYNC_H

#include "dragonflywharfd/daemon.h"

/** Tells a new run of an instance all evidence, if this is one of the few that shall. */
void rollout_sync_member_new(struct daemon *daemon, const struct dw_member *member);

#endif
