#include "wharf-gateway/gateway_metrics.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>

#include "base/clock.h"

struct gauge {
	const char *name;
	const char *help;
	uint64_t value;
};

static void write_gauges(const struct router *router, const struct dw_store *store, FILE *out)
{
	const struct view *view = router->view;
	uint64_t now_us = dw_clock_now_us();
	const struct gauge gauges[] = {
		{ "config_version", "Version of the configuration in force",
		  view_catalog(view) ? dw_catalog_version(view_catalog(view)) : 0 },
		{ "config_age_ms", "Time since the configuration was known to be the newest",
		  view->confirmed_at_us > 0 ? (now_us - view->confirmed_at_us) / DW_US_PER_MS : 0 },
		{ "store_reached", "1 while the store answers", view->is_store_reached },
		{ "store_calls", "Calls to the store since the start", dw_store_calls(store) },
		{ "engines_usable", "Engines that may be sent requests",
		  dw_engine_set_count_usable(view->engines, NULL, now_us) },
		{ "domains_evacuated", "Failure domains taken out", view->evacuated.count },
		{ "requests_in_progress", "Requests being answered", router->in_progress },
		{ "engine_connections", "Connections made to engines since the start",
		  http_pool_connections_opened(router->pool) },
	};

	for (size_t i = 0; i < sizeof(gauges) / sizeof(gauges[0]); i++) {
		fprintf(out, "# HELP dragonflywharf_%s %s.\n", gauges[i].name, gauges[i].help);
		fprintf(out, "# TYPE dragonflywharf_%s gauge\n", gauges[i].name);
		fprintf(out, "dragonflywharf_%s %" PRIu64 "\n", gauges[i].name, gauges[i].value);
	}
}

char *gateway_metrics_text(const struct router *router, const struct dw_store *store, size_t *len)
{
	size_t counters_len;
	char *counters = dw_counters_format(router->counters, &counters_len);
	char *text = NULL;
	FILE *out = open_memstream(&text, len);

	if (!out) {
		free(counters);
		return NULL;
	}
	if (counters)
		fwrite(counters, 1, counters_len, out);
	free(counters);
	histogram_write(&router->first_byte, "first_byte", "From a request to its first byte", out);
	histogram_write(&router->whole_answer, "whole_answer", "From a request to its end", out);
	histogram_write(&router->refusal, "refusal", "From a request to its refusal", out);
	write_gauges(router, store, out);
	fclose(out);
	return text;
}
