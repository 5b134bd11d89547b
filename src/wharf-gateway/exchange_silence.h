/**
 * @file exchange_silence.h
 * Executes the decisions of dragonflywharf/silence.h: how long an attempt may send nothing.
 */
#ifndef GATEWAY_EXCHANGE_SILENCE_H
#define GATEWAY_EXCHANGE_SILENCE_H

#include "wharf-gateway/exchange_state.h"

/** The attempt was sent or has received something: its silence begins anew. */
void exchange_silence_restart(struct exchange *exchange);
/** Whether a connected attempt that has passed its limit is waited for; if so, it is checked again soon. */
bool exchange_silence_should_wait(struct exchange *exchange, uint64_t now_us);

#endif
