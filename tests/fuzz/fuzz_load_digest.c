#include <stdio.h>
#include <stdlib.h>

#include <dragonflywharf/load_digest.h>

int LLVMFuzzerTestOneInput(const uint8_t *bytes, size_t len);

/* Arbitrary datagrams must not crash the reader or set a load with a report time in the future. */
int LLVMFuzzerTestOneInput(const uint8_t *bytes, size_t len)
{
	struct dw_engine_set *set = dw_engine_set_new();
	struct dw_engine_entry entry = { .id = "e" };
	const uint64_t now_us = 10000000;

	dw_engine_set_put(set, &entry, 0);
	dw_load_digest_read(set, DW_SPREAD_EVERYWHERE, bytes, len, now_us);
	if (dw_engine_set_first(set)->load.reported_at_us > now_us)
		abort();
	dw_engine_set_free(set);
	return 0;
}
