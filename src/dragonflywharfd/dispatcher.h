/**
 * @file dispatcher.h
 * Queues incoming requests and dispatches each to an upstream once a permit is free.
 *
 * A pool is the set of upstreams that serve one version of a model, or one plain service.
 */
#ifndef DAEMON_DISPATCHER_H
#define DAEMON_DISPATCHER_H

#include "dragonflywharfd/daemon.h"

/** An entry of the admission queue, embedded in the request that waits. */
struct queue_entry {
	/** Called when a permit should be free. Returns false if none could be acquired: the entry
	 * is then queued again. */
	bool (*dispatch)(void *owner);
	/** Called when the request can no longer finish by its deadline; it was not dispatched. */
	void (*expired)(void *owner);
	void *owner;
	uint64_t organisation_id;
	enum dw_admission_priority priority;
	uint64_t deadline_us;
	uint64_t service_us; /**< expected time from dispatch to the end of the answer */
	uint32_t pool;
	uint64_t dispatched_at_us;
	dw_admission_handle handle; /**< 0 when not queued */
	bool in_flight; /**< dispatched and not finished yet */
};

struct dispatcher *dispatcher_new(struct daemon *daemon);

/** Updates weights, limits and pools after a change of the ruleset or of the membership. */
void dispatcher_refresh(struct dispatcher *dispatcher);

/** Periodically updates how many requests each pool runs at once, which changes with the
 * upstreams' cold starts and with the permits. */
void dispatcher_tick(struct dispatcher *dispatcher);

/**
 * Queues an entry for the pool of @p model and @p version; a NULL @p version means that @p model
 * names a plain service.
 *
 * @return DW_OK; DW_TIMEOUT or DW_OVERLOADED if the request is refused without having been run.
 */
enum dw_status dispatcher_enqueue(struct dispatcher *dispatcher, struct queue_entry *queue_entry,
				  const char *model, const char *version);

/** Removes a waiting entry, or marks a dispatched one as finished. */
void dispatcher_finish(struct dispatcher *dispatcher, struct queue_entry *queue_entry);

/** Dispatches all entries that can get a permit now; requests permits for the others from peers. */
void dispatcher_pump(struct dispatcher *dispatcher);

size_t dispatcher_waiting(const struct dispatcher *dispatcher);

/** What dispatcher_route() needs to know about a request. */
struct dispatch_request {
	const char *model;
	const char *version; /**< NULL for a plain service named by model */
	struct dw_route_request route;
	struct dw_fingerprint fingerprint;
};

/** The upstream chosen for an attempt, with the permit acquired there. */
struct dispatch_choice {
	struct upstream *upstream;
	struct dw_permit permit;
	uint32_t load;
	/** With DW_UNAVAILABLE: this request is suspected of crashing upstreams and can run once
	 * other suspects have ended. */
	bool retry_later;
};

/**
 * Expected time until @p queue_entry has its answer from the fastest upstream that serves @p request,
 * including the wait for a permit; UINT64_MAX if no upstream is in service.
 */
uint64_t dispatcher_expected_us(struct dispatcher *dispatcher,
				const struct queue_entry *queue_entry,
				const struct dispatch_request *request);

/**
 * Chooses an upstream for a request and acquires a permit there.
 * @return DW_OK, DW_OVERLOADED (no permit now), DW_UNAVAILABLE (no upstream left to try).
 */
enum dw_status dispatcher_route(struct dispatcher *dispatcher,
				const struct dispatch_request *request,
				struct dispatch_choice *choice);

#endif
