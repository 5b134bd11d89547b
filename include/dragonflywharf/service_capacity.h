/**
 * @file service_capacity.h
 * How much of a service's capacity one instance may use, from what it sees: the loads that engines reported
 * in their responses or that other instances passed on, and its own requests since.
 *
 * All instances apply the same rule to nearly the same reports, so that their shares add up to the capacity
 * without a coordinator. A report's weight falls linearly with its age; an engine without a fresh
 * report counts as neither full nor free.
 */
#ifndef DRAGONFLYWHARF_SERVICE_CAPACITY_H
#define DRAGONFLYWHARF_SERVICE_CAPACITY_H

#include <dragonflywharf/engine.h>

#ifdef __cplusplus
extern "C" {
#endif

/** Sum over the engines that may serve the same requests. Zero-initialise. */
struct dw_service_capacity {
	uint32_t engines;
	uint32_t full_engines; /**< have at least one round of work more than they run */
	uint64_t slots;
	uint64_t free_slots;
};

/** Adds an engine. One without a known number of slots is never full. */
void dw_service_capacity_add(struct dw_service_capacity *capacity, const struct dw_engine *engine,
			     uint64_t now_us);

/** Whether all engines are full, so that a request sent now would wait there behind others. */
bool dw_service_capacity_is_short(const struct dw_service_capacity *capacity);

/**
 * Time between two requests that this instance releases from its queue: all instances together release what
 * the engines complete, and fill slots that are free within 100 ms.
 * @param run_us how long a request occupies a slot
 * @param instances that share the service; 0 counts as 1
 */
uint64_t dw_service_capacity_interval_us(const struct dw_service_capacity *capacity,
					 uint64_t run_us, uint32_t instances);

#ifdef __cplusplus
}
#endif

#endif
