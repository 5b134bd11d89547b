#include <dragonflywharf/service_capacity.h>

/* After this time a report says nothing about the engine's load. */
#define REPORT_MAX_AGE_US UINT64_C(1000000)
/* Free slots are filled within this time: longer than a report takes to reach the other instances by
 * a response, so that they see the slots being taken. */
#define FILL_US UINT64_C(100000)
/* Longer runs count as this long, so that no product overflows. */
#define RUN_MAX_US UINT64_C(60000000)
#define INTERVAL_MAX_US UINT64_C(1000000)

void dw_service_capacity_add(struct dw_service_capacity *capacity, const struct dw_engine *engine,
			     uint64_t now_us)
{
	const struct dw_engine_load *load = &engine->load;
	uint64_t slots = load->slots > 0 ? load->slots : engine->entry.slots;
	uint64_t age_us = now_us > load->reported_at_us ? now_us - load->reported_at_us : 0;
	uint64_t busy = (uint64_t)load->running + load->waiting + engine->sent_since_load;
	uint64_t weight_us;

	capacity->engines++;
	capacity->slots += slots;
	if (load->reported_at_us == 0 || age_us >= REPORT_MAX_AGE_US || slots == 0)
		return;
	weight_us = REPORT_MAX_AGE_US - age_us;
	if (busy < slots)
		capacity->free_slots += (slots - busy) * weight_us / REPORT_MAX_AGE_US;
	else if ((busy - slots) * weight_us / REPORT_MAX_AGE_US >= slots)
		capacity->full_engines++;
}

bool dw_service_capacity_is_short(const struct dw_service_capacity *capacity)
{
	return capacity->engines > 0 && capacity->full_engines == capacity->engines;
}

uint64_t dw_service_capacity_interval_us(const struct dw_service_capacity *capacity,
					 uint64_t run_us, uint32_t instances)
{
	uint64_t bounded_us = run_us < RUN_MAX_US ? run_us : RUN_MAX_US;
	/* Requests that all instances may release in FILL_US x bounded_us microseconds. */
	uint64_t released = capacity->slots * FILL_US + capacity->free_slots * bounded_us;
	uint64_t interval_us;

	if (released == 0)
		return 0;
	interval_us = bounded_us * FILL_US * (instances > 0 ? instances : 1) / released;
	return interval_us < INTERVAL_MAX_US ? interval_us : INTERVAL_MAX_US;
}
