/**
 * @file admission_terms.h
 * How urgent a waiting request is and how long it may wait.
 */
#ifndef DRAGONFLYWHARF_ADMISSION_TERMS_H
#define DRAGONFLYWHARF_ADMISSION_TERMS_H

#include <dragonflywharf/admission_floor.h>
#include <dragonflywharf/catalog.h>
#include <dragonflywharf/organisation_usage.h>
#include <dragonflywharf/service_capacity.h>

#ifdef __cplusplus
extern "C" {
#endif

struct dw_admission_request {
	const struct dw_route_rule *route;
	const struct dw_organisation_rule *organisation; /**< NULL: none */
	uint64_t arrived_at_us;
	uint64_t deadline_us;
	bool is_after_start; /**< it has waited for the first configuration */
	uint64_t lead_us; /**< expected time from sending it to what its target latency measures */
};

struct dw_admission_terms {
	uint32_t priority; /**< below DW_ADMISSION_LEVELS */
	uint64_t in_time_until_us; /**< sent later, it misses its target latency; 0: it has none */
	uint64_t wait_until_us; /**< then it is refused */
};

/** The organisation's own priority goes before the route's, which orders requests of equal priority. */
uint32_t dw_admission_priority_of(const struct dw_route_rule *route,
				  const struct dw_organisation_rule *organisation);

/**
 * A request waits while it can still be sent in time, and 250 ms if that is longer, but not so long that
 * it can't be answered by its deadline. After a start, when more requests wait than the engines can serve in
 * time, it waits on for a third of the time that it has left, though it will be late. wait_until_us is before
 * @p now_us if it can't wait.
 */
struct dw_admission_terms dw_admission_terms_of(const struct dw_admission_request *request,
						uint64_t now_us);

/**
 * How much a request is favoured: the less for each of a priority that isn't the most urgent in use nor starving,
 * and an organisation over its share; least if its answer will be late.
 */
enum dw_capacity_class dw_admission_class_of(const struct dw_admission_entry *entry,
					     const struct dw_admission_floor *floor,
					     const struct dw_organisation_usage *usage,
					     uint64_t now_us);

/**
 * Until when a request waits for the first configuration, which alone tells its target latency: half of the
 * caller's time, so that a refused caller can still be served elsewhere, and 1.5 s at most.
 * @param deadline_us the caller's; 0: none was sent
 */
uint64_t dw_admission_first_config_until_us(uint64_t arrived_at_us, uint64_t deadline_us);

#ifdef __cplusplus
}
#endif

#endif
