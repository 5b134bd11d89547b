#include <dragonflywharf/service_capacity.h>

/* After this time a report says nothing about the engine's load. */
#define REPORT_MAX_AGE_US UINT64_C(1000000)
/* Free slots are filled within this time. */
#define FILL_US UINT64_C(100000)
/* Longer runs count as this long, so that no product overflows. */
#define RUN_MAX_US UINT64_C(60000000)
#define INTERVAL_MAX_US UINT64_C(1000000)

/* Means of the limits of backlog_permille up to which a request is sent. In the model of admission_fleet_test, lower ones
 * (800, 400, 120) lost 4 in 100 of the less urgent answers in time at nine tenths of the capacity. */
static const uint64_t limits[DW_CAPACITY_CLASS_COUNT] = {
	[DW_CAPACITY_FAVOURED] = 1000,
	[DW_CAPACITY_NORMAL] = 700,
	[DW_CAPACITY_YIELDING] = 250,
	[DW_CAPACITY_LATE] = 10,
};
/* The limit in force is between half and one and a half of the mean. */
#define LIMIT_MIN_PERMILLE 500
#define LIMIT_RANGE_PERMILLE 1000

void dw_service_capacity_add(struct dw_service_capacity *capacity, const struct dw_engine *engine,
			     uint64_t now_us)
{
	const struct dw_engine_load *load = &engine->load;
	uint64_t slots = load->slots > 0 ? load->slots : engine->entry.slots;
	uint64_t age_us = now_us > load->reported_at_us ? now_us - load->reported_at_us : 0;
	uint64_t busy = (uint64_t)load->running + load->waiting + engine->sent_since_load;
	uint64_t weight_us = 0;
	uint64_t backlog_permille = 0;

	if (load->reported_at_us > 0 && age_us < REPORT_MAX_AGE_US)
		weight_us = REPORT_MAX_AGE_US - age_us;
	if (busy > slots && slots > 0)
		backlog_permille = (busy - slots) * weight_us / (REPORT_MAX_AGE_US / 1000) / slots;
	busy = (busy < slots ? busy : slots) * weight_us / REPORT_MAX_AGE_US;
	capacity->free_slots += slots - busy;
	if (capacity->engines++ == 0 || backlog_permille < capacity->backlog_permille)
		capacity->backlog_permille = backlog_permille;
	capacity->slots += slots;
}

bool dw_service_capacity_has_room(const struct dw_service_capacity *capacity,
				  enum dw_capacity_class class_, uint64_t random)
{
	uint64_t limit_permille = LIMIT_MIN_PERMILLE + random % LIMIT_RANGE_PERMILLE;

	return capacity->backlog_permille * 1000 < limits[class_] * limit_permille;
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
