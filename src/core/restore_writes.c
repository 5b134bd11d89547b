#include <dragonflywharf/restore_writes.h>

/* Readers learn of an era first and the others some hundred milliseconds later, and as long again
 * after a write. */
#define READER_STEP_US UINT64_C(300000)
#define FIRST_STEP_US UINT64_C(1500000)
#define STEP_US UINT64_C(1000000)

/* Steps of doubling until instances of this rank write. */
static uint32_t step_of(const struct dw_view_place *place)
{
	uint32_t readers = place->readers > 0 ? place->readers : 1;
	uint32_t step = 0;

	while (step < 31 && place->rank >= (uint64_t)readers << (step + 1))
		step++;
	return step;
}

uint64_t dw_restore_write_delay_us(const struct dw_view_place *place, uint64_t random)
{
	if (place->rank < place->readers)
		return place->rank * READER_STEP_US + random % (READER_STEP_US / 2);
	return FIRST_STEP_US + step_of(place) * STEP_US + random % STEP_US;
}
