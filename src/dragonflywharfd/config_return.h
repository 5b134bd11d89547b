/**
 * @file config_return.h
 * After the key-value service came back from an older copy: raises its revision above every revision in force, then
 * writes again what it lacks of the configuration. docs/design/store-restore.md gives the reasons.
 */
#ifndef DAEMON_CONFIG_RETURN_H
#define DAEMON_CONFIG_RETURN_H

#include "dragonflywharfd/daemon.h"

struct config_return *config_return_new(struct daemon *daemon);

void config_return_store_restored(struct config_return *self);

void config_return_tick(struct config_return *self);

/**
 * True while the store's revision may be at or below one in force: a change that is written now would be ignored, and
 * its snapshots are older than what is in force.
 */
bool config_return_is_behind(const struct config_return *self);

/** True while keys that are in force may be absent from the store without having been deleted. */
bool config_return_keeps_absent(const struct config_return *self);

#endif
