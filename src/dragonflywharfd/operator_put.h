/**
 * @file operator_put.h
 * Writes an operator's change to the store by compare-and-swap on the entity's key.
 *
 * If the store's answer is lost, the key is read again and compared by change id, so that the
 * outcome is reported as done, refused or conflict wherever it can be known, and else as unknown.
 */
#ifndef DAEMON_OPERATOR_PUT_H
#define DAEMON_OPERATOR_PUT_H

#include "dragonflywharfd/daemon.h"
#include "proto/operator.pb-c.h"

/**
 * Validates and writes the change, then replies. Takes ownership of the exchange and of @p request.
 */
void operator_put_start(struct daemon *daemon, struct dw_http_exchange *exchange,
			Dragonflywharf__PutRequest *request);

#endif
