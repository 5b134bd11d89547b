/**
 * @file rollout_sync.h
 * Sends the roll-out evidence and holds to a newly started instance, which missed the
 * earlier messages.
 */
#ifndef DAEMON_ROLLOUT_SYNC_H
#define DAEMON_ROLLOUT_SYNC_H

#include "dragonflywharfd/daemon.h"

/**
 * Sends all evidence and holds to a new member if this daemon is one of the few senders chosen for
 * it.
 */
void rollout_sync_send_to_new_member(struct daemon *daemon, const struct dw_member *member);

#endif
