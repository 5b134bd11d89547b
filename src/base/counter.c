#include "base/counter.h"

#include <inttypes.h>
#include <stdio.h>

struct counter_info {
	const char *name;
	const char *help;
};

static const struct counter_info infos[DW_COUNTER_COUNT] = {
	[DW_COUNTER_REQUESTS] = { "requests", "Requests taken from callers" },
	[DW_COUNTER_REQUESTS_DONE] = { "requests_done", "Requests answered whole" },
	[DW_COUNTER_REQUESTS_REFUSED] = { "requests_refused", "Requests refused, not run" },
	[DW_COUNTER_REQUESTS_FAILED] = { "requests_failed",
					 "Requests that failed after an attempt" },
	[DW_COUNTER_CALLERS_GONE] = { "callers_gone", "Callers that left before the answer's end" },
	[DW_COUNTER_ATTEMPTS] = { "attempts", "Attempts sent to upstreams" },
	[DW_COUNTER_ATTEMPTS_FAILED] = { "attempts_failed", "Attempts that failed" },
	[DW_COUNTER_ATTEMPTS_ABANDONED] = { "attempts_abandoned",
					    "Attempts ended while their engine worked" },
	[DW_COUNTER_RETRIES] = { "retries", "Attempts after a failed one" },
	[DW_COUNTER_RETRIES_DENIED] = { "retries_denied", "Retries that a budget denied" },
	[DW_COUNTER_CASCADE_STEPS] = { "cascade_steps", "Answers rated in a cascade" },
	[DW_COUNTER_CASCADE_RELEASED] = { "cascade_released", "Rated answers released" },
	[DW_COUNTER_CROSSED_ANSWERS] = { "crossed_answers", "Answers to another attempt, dropped" },
	[DW_COUNTER_CONFIG_APPLIED] = { "config_applied", "Configuration items put in force" },
	[DW_COUNTER_CONFIG_REFUSED] = { "config_refused", "Configuration items refused" },
	[DW_COUNTER_USAGE_RECORDS] = { "usage_records", "Usage records appended" },
	[DW_COUNTER_USAGE_EXPOSED] = { "usage_exposed",
				       "Answers ended without a copy of the record" },
	[DW_COUNTER_BAD_INPUTS] = { "bad_inputs", "Malformed inputs refused" },
	[DW_COUNTER_STORE_FAILURES] = { "store_failures", "Failed calls to the key-value service" },
};

char *dw_counters_format(const struct dw_counters *counters, size_t *len)
{
	char *text = NULL;
	FILE *out = open_memstream(&text, len);

	if (!out)
		return NULL;
	for (size_t i = 0; i < DW_COUNTER_COUNT; i++) {
		fprintf(out, "# HELP dragonflywharf_%s_total %s.\n", infos[i].name, infos[i].help);
		fprintf(out, "# TYPE dragonflywharf_%s_total counter\n", infos[i].name);
		fprintf(out, "dragonflywharf_%s_total %" PRIu64 "\n", infos[i].name,
			counters->values[i]);
	}
	fclose(out);
	return text;
}
