/**
 * @file store_history.h
 * The key-value service came back from an older copy: tells the modules of this instance, and peers, which may not have
 * seen it. docs/design/store-restore.md says what each of them does.
 */
#ifndef DAEMON_STORE_HISTORY_H
#define DAEMON_STORE_HISTORY_H

#include "dragonflywharfd/daemon.h"

/** Sets the store's callback; the modules must have been started. */
void store_history_start(struct daemon *daemon);

/** A peer or a module has seen it. */
void store_history_receive(struct daemon *daemon);

#endif
