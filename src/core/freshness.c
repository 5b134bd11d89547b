#include <dragonflywharf/freshness.h>

/* Keyed requests stop at this part of the revocation time. The moment of their arrival counts, which
 * is after the caller sent them; the rest is for clocks of different speed. */
#define SERVED_PERMILLE 900

#define WAIT_PERMILLE 400
#define WAIT_MOST_US UINT64_C(2000000)

bool dw_freshness_allows(uint64_t proven_at_us, uint64_t arrived_at_us, uint64_t revocation_us)
{
	uint64_t limit_us = revocation_us * SERVED_PERMILLE / 1000;

	return proven_at_us > 0 && arrived_at_us < proven_at_us + limit_us;
}

uint64_t dw_freshness_max_wait_us(uint64_t revocation_us)
{
	uint64_t wait_us = revocation_us * WAIT_PERMILLE / 1000;

	return wait_us < WAIT_MOST_US ? wait_us : WAIT_MOST_US;
}

uint64_t dw_freshness_next_wait_us(uint64_t proven_at_us, uint64_t now_us, uint64_t wait_us)
{
	uint64_t due_us = proven_at_us + wait_us;

	return due_us > now_us ? due_us - now_us : 0;
}
