/**
 * @file admission_floor.h
 * The least that each priority of a pool is served, so that more urgent requests can't starve it: a
 * third as often as all together, so that it isn't below a quarter. A priority below that is served first until it is
 * above it.
 */
#ifndef DRAGONFLYWHARF_ADMISSION_FLOOR_H
#define DRAGONFLYWHARF_ADMISSION_FLOOR_H

#include <dragonflywharf/admission.h>

#ifdef __cplusplus
extern "C" {
#endif

/** Recent ends by priority; older ones lose weight. Zero-initialise. */
struct dw_admission_floor {
	uint32_t served[DW_ADMISSION_LEVELS];
	uint32_t refused[DW_ADMISSION_LEVELS];
	uint32_t count; /**< since the weights were halved */
};

/** A request was sent to an engine. */
void dw_admission_floor_served(struct dw_admission_floor *floor, uint32_t priority);
/** A request was refused for want of capacity. */
void dw_admission_floor_refused(struct dw_admission_floor *floor, uint32_t priority);

/** Bit mask of the priorities below their floor; 0 if there is none. */
uint32_t dw_admission_floor_starving(const struct dw_admission_floor *floor);

/** Whether requests of a more urgent priority have ended lately. */
bool dw_admission_floor_has_more_urgent(const struct dw_admission_floor *floor, uint32_t priority);

#ifdef __cplusplus
}
#endif

#endif
