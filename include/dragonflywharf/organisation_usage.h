/**
 * @file organisation_usage.h
 * Which organisations have lately used more than their fair share of what one instance sends.
 *
 * Counts of sent requests by organisation, in a table of fixed size (a count-min sketch of two rows). As only what
 * was sent counts, an organisation that is held back for its use is favoured again once the others have
 * caught up.
 */
#ifndef DRAGONFLYWHARF_ORGANISATION_USAGE_H
#define DRAGONFLYWHARF_ORGANISATION_USAGE_H

#include <stdbool.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

#define DW_USAGE_ROWS 2
#define DW_USAGE_CELLS 256

/** Zero-initialise. */
struct dw_organisation_usage {
	uint16_t cells[DW_USAGE_ROWS][DW_USAGE_CELLS];
	uint32_t total; /**< sum of a row */
	uint32_t used_cells; /**< of the first row: about the number of organisations */
};

/** A request of the organisation was sent. */
void dw_organisation_usage_sent(struct dw_organisation_usage *usage, uint64_t organisation_id);

/** Whether the organisation has lately used over twice the mean; false while little is known. */
bool dw_organisation_usage_is_over(const struct dw_organisation_usage *usage,
				   uint64_t organisation_id);

#ifdef __cplusplus
}
#endif

#endif
