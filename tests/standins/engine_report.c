#include "standins/engine_report.h"

#include <stddef.h>

void engine_report_add(struct engine_report *report, const struct engine_load *load)
{
	report->samples[report->count++ % ENGINE_REPORT_SAMPLES] = *load;
}

const struct engine_load *engine_report_at(const struct engine_report *report, uint64_t at_us)
{
	uint64_t oldest = 0;

	if (report->count == 0)
		return NULL;
	if (report->count > ENGINE_REPORT_SAMPLES)
		oldest = report->count - ENGINE_REPORT_SAMPLES;
	for (uint64_t i = report->count - 1; i > oldest; i--) {
		const struct engine_load *sample = &report->samples[i % ENGINE_REPORT_SAMPLES];

		if (sample->at_us <= at_us)
			return sample;
	}
	return &report->samples[oldest % ENGINE_REPORT_SAMPLES];
}
