/**
 * @file shifts.h
 * Version rollouts ("shifts") of all services: reads their records from the store, and writes this
 * instance's evidence, the shared progress and the outcome.
 *
 * The gateway's own keys in the store: "wharf/progress/SERVICE" is the elapsed part of an order's
 * duration, for instances that start during the rollout; "wharf/evidence/SERVICE/INSTANCE" holds
 * struct dw_shift_evidence for the answers that an instance got from the new and the old version,
 * earlier processes of the instance included. Both name the order by its number in the store
 * (dw_revision_number()) and its target, so that instances pool what they know if they have learnt of it in different
 * eras.
 */
#ifndef GATEWAY_SHIFTS_H
#define GATEWAY_SHIFTS_H

#include <uv.h>

#include <dragonflywharf/session_pins.h>
#include <dragonflywharf/version_shift.h>

#include "base/log.h"
#include "port/store.h"
#include "wharf-gateway/era_guard.h"

struct service_shift;

struct shifts {
	struct dw_log *log;
	const char *instance;
	struct era_guard *era_guard;
	struct dw_store *store; /**< set by shifts_start() */
	struct service_shift *services;
	struct dw_session_pins *pins;
	uv_timer_t timer;
	uint64_t random;
	uint64_t run; /**< number of this process, in its evidence records */
	uint64_t started_at_us;
	struct dw_view_place place; /**< of this instance at the last restore */
	uint64_t restored_at_us; /**< when this instance learned of it; 0: it has seen none */
};

void shifts_init(struct shifts *shifts, struct dw_log *log, const char *instance,
		 struct era_guard *era_guard);
/** Starts writing records; records from the store may be passed in earlier. */
void shifts_start(struct shifts *shifts, uv_loop_t *loop, struct dw_store *store, uint64_t seed);

/**
 * Starts a rollout, unless it is the known one. If an operator writes the known order again after a restore, the
 * rollout goes on where it was.
 */
void shifts_apply_order(struct shifts *shifts, const struct dw_shift_order *order, uint64_t now_us);
/** The status record of a rollout was written. */
void shifts_apply_status(struct shifts *shifts, const char *service, enum dw_shift_state state,
			 const char *target, uint64_t revision);
/** The status record of a rollout was deleted, or lost. */
void shifts_apply_status_deleted(struct shifts *shifts, const char *service);

/** The records of an era's first state were applied. What the status records say counts from now on: which of them are
 * older than the order isn't known before. */
void shifts_entered_era(struct shifts *shifts, uint64_t now_us);
/**
 * The same, and the store came back from an older copy. What is known here isn't lowered by it; status, progress and
 * evidence that it has lost are written again.
 */
void shifts_store_restored(struct shifts *shifts, const struct dw_view_place *place,
			   uint64_t now_us);

/** A progress or evidence record was written or deleted; other keys are ignored. */
void shifts_apply_record(struct shifts *shifts, const struct dw_store_event *event,
			 uint64_t now_us);

/** Records that a request of the session starts or ends on this version. */
void shifts_pin_session(struct shifts *shifts, const char *service, const char *session,
			const char *version, uint64_t now_us);

/** Whether this process started so late in the service's rollout that it may not know the version of a
 * session that is younger than @p session_us: all that are older have told theirs again or ended. */
bool shifts_may_lack_pins(struct shifts *shifts, const char *service, uint64_t session_us,
			  uint64_t now_us);

/** The service's rollout, NULL if there is none. */
const struct dw_shift *shifts_find(struct shifts *shifts, const char *service);

/** A request that is sent to a version of a service. */
struct shift_request {
	uint64_t number; /**< as returned by shifts_count_sent(); 0: not counted */
	const char *version;
	const char *route;
	uint64_t sent_at_us;
	bool is_load_test;
};

/**
 * Counts a request that is sent to a version of a service.
 * @return number of the rollout that counts it as under way; 0: none is running, or the request
 * loads an engine for the load test
 */
uint64_t shifts_count_sent(struct shifts *shifts, const char *service,
			   const struct shift_request *request);

/** The request ended; @p is_good: with a complete answer, in which the engine reported @p
 * load_permille (0: unknown). */
void shifts_count_end(struct shifts *shifts, const char *service,
		      const struct shift_request *request, bool is_good, uint32_t load_permille,
		      uint64_t now_us);

/** Counts a wait for the first byte of one version of a service, see dw_shift_count_wait(), and the
 * load that the engine reported with it (0: unknown). */
void shifts_count_wait(struct shifts *shifts, const char *service,
		       const struct shift_request *request, const struct dw_shift_wait *wait,
		       uint32_t load_permille, uint64_t now_us);

/** Counts an answer or a failure of one version of a service; the load is needed with a failure only. */
void shifts_count_answer(struct shifts *shifts, const char *service,
			 const struct shift_request *request, const struct dw_shift_answer *answer,
			 uint64_t now_us);

#endif
