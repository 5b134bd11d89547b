/**
 * @file service_capacity.h
 * How much of a service's capacity one instance may use, from what it sees: the loads that engines reported
 * in their responses or that other instances passed on, and its own requests since.
 *
 * All instances apply the same rule to nearly the same reports, so that their shares add up to the capacity
 * without a coordinator. Few requests wait at one instance at a time, so the order among instances comes
 * from limits: the less a request is favoured, the less work it lets wait at the engines (trunk
 * reservation). A report's weight falls linearly with its age; an engine without a fresh report has room.
 */
#ifndef DRAGONFLYWHARF_SERVICE_CAPACITY_H
#define DRAGONFLYWHARF_SERVICE_CAPACITY_H

#include <dragonflywharf/engine.h>

#ifdef __cplusplus
extern "C" {
#endif

/** How much a request is favoured while its engines are short of capacity. */
enum dw_capacity_class {
	DW_CAPACITY_FAVOURED,
	DW_CAPACITY_NORMAL,
	DW_CAPACITY_YIELDING,
	DW_CAPACITY_LATE, /**< its answer won't be in time: it gets what nobody else needs */
	DW_CAPACITY_CLASS_COUNT
};

/** Sum over the engines that may serve the same requests. Zero-initialise. */
struct dw_service_capacity {
	uint32_t engines;
	uint64_t slots;
	uint64_t free_slots;
	/** Work beyond the slots of the engine with the least of it, in thousandths of its slots. */
	uint64_t backlog_permille;
};

/** Adds an engine. One without a known number of slots has room. */
void dw_service_capacity_add(struct dw_service_capacity *capacity, const struct dw_engine *engine,
			     uint64_t now_us);

/**
 * Whether a request of this class may be sent; always if there is no engine, which the choice tells.
 * @param random varies the limit among instances, so that they don't all send or all wait by the same
 * report; to be kept for about the time between two reports
 */
bool dw_service_capacity_has_room(const struct dw_service_capacity *capacity,
				  enum dw_capacity_class class_, uint64_t random);

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
