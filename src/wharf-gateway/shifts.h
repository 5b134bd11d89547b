/**
 * @file shifts.h
 * The version shifts of all services: takes the records that concern them, writes this instance's
 * evidence, the shared progress and the outcome.
 *
 * Keys of our own in the store: "wharf/progress/SERVICE" holds how far the time of an order has run,
 * for instances that start meanwhile; "wharf/evidence/SERVICE/INSTANCE" what an instance has seen.
 */
#ifndef GATEWAY_SHIFTS_H
#define GATEWAY_SHIFTS_H

#include <uv.h>

#include <dragonflywharf/session_pins.h>
#include <dragonflywharf/version_shift.h>

#include "base/log.h"
#include "port/store.h"

struct service_shift;

struct shifts {
	struct dw_log *log;
	const char *instance;
	struct dw_store *store; /**< set by shifts_start() */
	struct service_shift *services;
	struct dw_session_pins *pins;
	uv_timer_t timer;
	uint64_t random;
};

void shifts_init(struct shifts *shifts, struct dw_log *log, const char *instance);
/** Begins to write; records may come before. */
void shifts_start(struct shifts *shifts, uv_loop_t *loop, struct dw_store *store, uint64_t seed);

/** An order was written. */
void shifts_apply_order(struct shifts *shifts, const struct dw_shift_order *order, uint64_t now_us);
void shifts_apply_status(struct shifts *shifts, const char *service, enum dw_shift_state state,
			 const char *target, uint64_t revision);
/** A record under our own keys, or a deleted one; others are ignored. */
void shifts_apply_record(struct shifts *shifts, const struct dw_store_event *event,
			 uint64_t now_us);

/** The service's shift, NULL if there is none. */
const struct dw_shift *shifts_find(struct shifts *shifts, const char *service);

/** An answer of a version of a service came, or failed to. */
void shifts_count_answer(struct shifts *shifts, const char *service, const char *version,
			 const struct dw_shift_answer *answer, uint64_t now_us);

#endif
