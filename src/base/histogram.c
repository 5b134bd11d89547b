#include "base/histogram.h"

#include <inttypes.h>

#define US_PER_MS UINT64_C(1000)

static const uint32_t bounds_ms[HISTOGRAM_BUCKETS] = { 1,   2,	 5,    10,   20,   50,	  100,
						       200, 500, 1000, 2000, 5000, 10000, 20000 };

void histogram_add(struct histogram *histogram, uint64_t value_us)
{
	int bucket = 0;

	while (bucket < HISTOGRAM_BUCKETS && value_us > bounds_ms[bucket] * US_PER_MS)
		bucket++;
	histogram->counts[bucket]++;
	histogram->sum_us += value_us;
}

void histogram_write(const struct histogram *histogram, const char *name, const char *help,
		     FILE *out)
{
	uint64_t count = 0;

	fprintf(out, "# HELP dragonflywharf_%s_seconds %s.\n", name, help);
	fprintf(out, "# TYPE dragonflywharf_%s_seconds histogram\n", name);
	for (int i = 0; i < HISTOGRAM_BUCKETS; i++) {
		count += histogram->counts[i];
		fprintf(out, "dragonflywharf_%s_seconds_bucket{le=\"%g\"} %" PRIu64 "\n", name,
			bounds_ms[i] / 1000.0, count);
	}
	count += histogram->counts[HISTOGRAM_BUCKETS];
	fprintf(out, "dragonflywharf_%s_seconds_bucket{le=\"+Inf\"} %" PRIu64 "\n", name, count);
	fprintf(out, "dragonflywharf_%s_seconds_sum %g\n", name, histogram->sum_us / 1e6);
	fprintf(out, "dragonflywharf_%s_seconds_count %" PRIu64 "\n", name, count);
}
