/**
 * @file dispatcher.h
 * The queue at the door and the turn of each waiting request.
 *
 * A pool is what one version of a model, or one plain service, runs on.
 */
#ifndef DAEMON_DISPATCHER_H
#define DAEMON_DISPATCHER_H

#include "dragonflywharfd/daemon.h"

/** A place in the queue, embedded in the request that waits. */
struct turn {
	/** A permit may be had: dispatch now. False if it couldn't be had after all. */
	bool (*dispatch)(void *owner);
	/** It can no longer finish by its deadline; it has not run. */
	void (*expired)(void *owner);
	void *owner;
	uint64_t organisation_id;
	enum dw_admission_priority priority;
	uint64_t deadline_us;
	uint64_t service_us;
	uint32_t pool;
	uint64_t popped_at_us;
	dw_admission_handle handle; /**< 0 when not queued */
	bool in_flight;
};

struct dispatcher *dispatcher_new(struct daemon *daemon);

/** Re-reads weights, limits and pools after a change of the ruleset or of the membership. */
void dispatcher_refresh(struct dispatcher *dispatcher);

/** Re-reads at times what each pool runs at once, which moves with warmth and permits. */
void dispatcher_tick(struct dispatcher *dispatcher);

/**
 * Queues a turn for the pool of @p model and @p version, or of the service @p model with @p version
 * NULL. @return DW_OK, DW_TIMEOUT, DW_OVERLOADED: refused, not run.
 */
enum dw_status dispatcher_enqueue(struct dispatcher *dispatcher, struct turn *turn,
				  const char *model, const char *version);

/** Takes a waiting turn out, or ends one that was dispatched. */
void dispatcher_done(struct dispatcher *dispatcher, struct turn *turn);

/** Gives turns to all that can be served now, and asks peers for permits for the others. */
void dispatcher_pump(struct dispatcher *dispatcher);

size_t dispatcher_waiting(const struct dispatcher *dispatcher);

struct dispatch_request {
	const char *model;
	const char *version; /**< NULL for a plain service named by model */
	struct dw_route_request route;
	struct dw_fingerprint fingerprint;
};

struct dispatch_choice {
	struct upstream *upstream;
	struct dw_permit permit;
	uint32_t load;
	/** With DW_UNAVAILABLE: a suspected request has an upstream once other suspects ended. */
	bool later;
};

/**
 * Expected time until @p turn would have its answer from the quickest upstream that serves
 * @p request, its wait for a permit included; UINT64_MAX if there is no upstream in service.
 */
uint64_t dispatcher_expected_us(struct dispatcher *dispatcher, const struct turn *turn,
				const struct dispatch_request *request);

/**
 * Chooses an upstream of the pool and takes a permit there.
 * @return DW_OK, DW_OVERLOADED (no permit now), DW_UNAVAILABLE (no upstream left to try).
 */
enum dw_status dispatcher_route(struct dispatcher *dispatcher,
				const struct dispatch_request *request,
				struct dispatch_choice *choice);

#endif
