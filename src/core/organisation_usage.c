#include <dragonflywharf/organisation_usage.h>

/* Less says nothing about shares. */
#define TOTAL_MIN 16
/* The counts are halved here, so that they follow the use. */
#define TOTAL_MAX 256
#define OVER_FACTOR 2
#define CELL_BITS 8

static uint32_t cell_of(uint64_t organisation_id, int row)
{
	return organisation_id >> (row * CELL_BITS) & (DW_USAGE_CELLS - 1);
}

static void halve(struct dw_organisation_usage *usage)
{
	usage->total = 0;
	usage->used_cells = 0;
	for (int i = 0; i < DW_USAGE_CELLS; i++) {
		for (int row = 0; row < DW_USAGE_ROWS; row++)
			usage->cells[row][i] /= 2;
		usage->total += usage->cells[0][i];
		usage->used_cells += usage->cells[0][i] > 0;
	}
}

void dw_organisation_usage_sent(struct dw_organisation_usage *usage, uint64_t organisation_id)
{
	usage->used_cells += usage->cells[0][cell_of(organisation_id, 0)] == 0;
	for (int row = 0; row < DW_USAGE_ROWS; row++)
		usage->cells[row][cell_of(organisation_id, row)]++;
	if (++usage->total >= TOTAL_MAX)
		halve(usage);
}

bool dw_organisation_usage_is_over(const struct dw_organisation_usage *usage,
				   uint64_t organisation_id)
{
	uint32_t used = UINT32_MAX;

	if (usage->total < TOTAL_MIN || usage->used_cells < 2)
		return false;
	for (int row = 0; row < DW_USAGE_ROWS; row++) {
		uint32_t count = usage->cells[row][cell_of(organisation_id, row)];

		used = count < used ? count : used;
	}
	return used * usage->used_cells > OVER_FACTOR * usage->total;
}
