#include <dragonflywharf/admission_terms.h>

#define US_PER_MS UINT64_C(1000)
/* Priorities for each level of organisation priority; the route's priority chooses among them. The urgency
 * that model engines are sent is the same number. */
#define ORGANISATION_STEP 3
/* A short queue passes within this time, also for requests with a short target latency. */
#define WAIT_MIN_US (250 * US_PER_MS)
/* After a start, a request waits for this part of its remaining time though it will be late. A caller that
 * is refused then still has time for another attempt. */
#define DEADLINE_PART 3
/* Least time that an engine needs. */
#define LEAD_MIN_US (20 * US_PER_MS)
/* The configuration mostly arrives some hundred milliseconds after a start. */
#define FIRST_CONFIG_MAX_US (1500 * US_PER_MS)

uint32_t dw_admission_priority_of(const struct dw_route_rule *route,
				  const struct dw_organisation_rule *organisation)
{
	uint32_t priority = route->priority;

	if (organisation && organisation->has_priority) {
		uint32_t step = priority < ORGANISATION_STEP ? priority : ORGANISATION_STEP - 1;

		if (organisation->priority >= DW_ADMISSION_LEVELS)
			return DW_ADMISSION_LEVELS - 1;
		priority = organisation->priority * ORGANISATION_STEP + step;
	}
	return priority < DW_ADMISSION_LEVELS ? priority : DW_ADMISSION_LEVELS - 1;
}

static uint64_t max_u64(uint64_t a, uint64_t b)
{
	return a > b ? a : b;
}

static uint64_t subtract(uint64_t from_us, uint64_t us)
{
	return from_us > us ? from_us - us : 0;
}

struct dw_admission_terms dw_admission_terms_of(const struct dw_admission_request *request,
						uint64_t now_us)
{
	uint64_t lead_us = request->lead_us > LEAD_MIN_US ? request->lead_us : LEAD_MIN_US;
	uint64_t target_us = request->arrived_at_us + request->route->target_latency_ms * US_PER_MS;
	bool has_target = request->route->target_latency_ms > 0;
	uint64_t latest_us = subtract(request->deadline_us, lead_us);
	struct dw_admission_terms terms = {
		.priority = dw_admission_priority_of(request->route, request->organisation),
		.in_time_until_us = has_target ? subtract(target_us, lead_us) : 0,
	};

	terms.wait_until_us = now_us + WAIT_MIN_US;
	if (request->is_after_start)
		terms.wait_until_us =
			max_u64(terms.wait_until_us,
				now_us + subtract(request->deadline_us, now_us) / DEADLINE_PART);
	terms.wait_until_us = max_u64(terms.wait_until_us, terms.in_time_until_us);
	if (terms.wait_until_us > latest_us)
		terms.wait_until_us = latest_us;
	return terms;
}

uint64_t dw_admission_first_config_until_us(uint64_t arrived_at_us, uint64_t deadline_us)
{
	uint64_t wait_us = FIRST_CONFIG_MAX_US;

	if (deadline_us > 0 && subtract(deadline_us, arrived_at_us) / 2 < wait_us)
		wait_us = subtract(deadline_us, arrived_at_us) / 2;
	return arrived_at_us + wait_us;
}

enum dw_capacity_class dw_admission_class_of(const struct dw_admission_entry *entry,
					     const struct dw_admission_floor *floor,
					     const struct dw_organisation_usage *usage,
					     uint64_t now_us)
{
	int class_ = DW_CAPACITY_FAVOURED;

	if (entry->in_time_until_us > 0 && now_us > entry->in_time_until_us)
		return DW_CAPACITY_LATE;
	if (dw_admission_floor_has_more_urgent(floor, entry->priority) &&
	    !(dw_admission_floor_starving(floor) >> entry->priority & 1))
		class_++;
	if (dw_organisation_usage_is_over(usage, entry->organisation_id))
		class_++;
	return (enum dw_capacity_class)class_;
}
