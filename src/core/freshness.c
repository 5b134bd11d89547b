#include <dragonflywharf/freshness.h>

/* Part of the revocation time, from the last confirmation on, in which requests with keys are
 * served. A request's arrival counts, which is later than the time at which the caller sent it. The
 * rest of the revocation time allows for clocks that run at different speeds. */
#define SERVED_PERMILLE 900

/* Longest wait of one call of the watch: this part of the revocation time, but at most
 * WAIT_MAX_US. */
#define WAIT_PERMILLE 400
#define WAIT_MAX_US UINT64_C(2000000)

void dw_freshness_gap_found(struct dw_freshness_gap *gap, const struct dw_freshness_gap *found,
			    uint64_t confirmed_at_us)
{
	struct dw_freshness_gap known = *gap;

	if (found->until_us <= known.until_us)
		return;
	*gap = *found;
	/* Without a proof between the two, the earlier one still counts. */
	if (known.until_us > 0 && confirmed_at_us <= known.until_us &&
	    known.from_us < found->from_us)
		gap->from_us = known.from_us;
}

uint64_t dw_freshness_proven_us(const struct dw_freshness_gap *gap, uint64_t confirmed_at_us)
{
	if (confirmed_at_us > gap->until_us || confirmed_at_us < gap->from_us)
		return confirmed_at_us;
	return gap->from_us;
}

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
