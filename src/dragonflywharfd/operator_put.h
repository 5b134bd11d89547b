/**
 * @file operator_put.h
 * An operator's change: compare-and-swap on the entity's key, with a typed outcome.
 *
 * After a lost answer the key is read again and the change id looked for, so that the operator
 * hears what is known: done, conflict, or truly unknown.
 */
#ifndef DAEMON_OPERATOR_PUT_H
#define DAEMON_OPERATOR_PUT_H

#include "dragonflywharfd/daemon.h"
#include "proto/operator.pb-c.h"

/** Takes over the exchange and the request, which it frees. */
void operator_put_start(struct daemon *daemon, struct dw_http_exchange *exchange,
			Dragonflywharf__PutRequest *request);

#endif
