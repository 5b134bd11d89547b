#include <dragonflywharf/freshness.h>

/* Requests with keys are no longer served after this part of the revocation time, counted up to
 * their arrival, which is later than the time at which the caller sent them. The rest allows for
 * clocks that run at different speeds. */
#define SERVED_PERMILLE 900

/* Longest wait of one call of the watch, as a part of the revocation time, and its upper limit. */
#define WAIT_PERMILLE 400
#define WAIT_MAX_US UINT64_C(2000000)

bool dw_freshness_allows(uint64_t confirmed_at_us, uint64_t arrived_at_us, uint64_t revocation_us)
{
	uint64_t limit_us = revocation_us * SERVED_PERMILLE / 1000;

	return confirmed_at_us > 0 && arrived_at_us < confirmed_at_us + limit_us;
}

uint64_t dw_freshness_max_wait_us(uint64_t revocation_us)
{
	uint64_t wait_us = revocation_us * WAIT_PERMILLE / 1000;

	return wait_us < WAIT_MAX_US ? wait_us : WAIT_MAX_US;
}

uint64_t dw_freshness_next_wait_us(uint64_t confirmed_at_us, uint64_t now_us, uint64_t wait_us)
{
	uint64_t due_us = confirmed_at_us + wait_us;

	return due_us > now_us ? due_us - now_us : 0;
}
