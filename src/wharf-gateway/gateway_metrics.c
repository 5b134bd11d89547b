#include "wharf-gateway/gateway_metrics.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>

#include "base/clock.h"
#include "wharf-gateway/admission_gate.h"

struct gauge {
	const char *name;
	const char *help;
	uint64_t value;
};

static const char *const verb_names[DW_STORE_VERB_COUNT] = {
	[DW_STORE_RANGE] = "range",
	[DW_STORE_PUT] = "put",
	[DW_STORE_LEASE_GRANT] = "lease_grant",
	[DW_STORE_LEASE_KEEP_ALIVE] = "lease_keep_alive",
	[DW_STORE_WATCH] = "watch",
};

static void write_store_calls(const struct dw_store *store, FILE *out)
{
	fprintf(out,
		"# HELP dragonflywharf_store_calls_by_kind Calls to the store since the start.\n"
		"# TYPE dragonflywharf_store_calls_by_kind counter\n");
	for (int verb = 0; verb < DW_STORE_VERB_COUNT; verb++)
		fprintf(out, "dragonflywharf_store_calls_by_kind{kind=\"%s\"} %" PRIu64 "\n",
			verb_names[verb], store->calls[verb]);
}

/* Instances that don't read the store learn of an era from the others. */
static uint64_t newest_era(const struct dw_store *store, const struct view *view)
{
	uint64_t known = dw_revision_era(dw_view_log_revision(view->records));

	return known > store->era.newest ? known : store->era.newest;
}

static void write_gauges(const struct gateway_metrics *metrics, FILE *out)
{
	const struct router *router = metrics->router;
	const struct view *view = router->view;
	const struct peers *peers = &view->peers;
	const struct dw_caller_budget *callers = metrics->caller_budget;
	const struct dw_view_place *place = &view->source.place;
	uint64_t now_us = dw_clock_now_us();
	uint64_t known_at_us = view_config_known_at_us(view);
	const struct gauge gauges[] = {
		{ "config_version", "Version of the configuration in force",
		  view_catalog(view) ? dw_catalog_version(view_catalog(view)) : 0 },
		{ "config_age_ms", "Time since the configuration was known to be the newest",
		  known_at_us > 0 ? (now_us - known_at_us) / DW_US_PER_MS : 0 },
		{ "config_unreadable", "1 while a newer configuration can't be read",
		  view->is_config_unreadable },
		{ "config_defects", "Parts of the configuration in force that can't be read",
		  view->catalog ? dw_catalog_defect_count(view->catalog) : 0 },
		{ "store_reached", "1 while the store answers this instance's own watch",
		  view->is_store_reached },
		{ "store_calls", "Calls to the store since the start",
		  dw_store_calls(metrics->store) },
		{ "store_abandoned_bytes",
		  "Bytes of the store's answers that didn't come to their end",
		  metrics->store->abandoned_bytes },
		{ "view_revision", "Revision of the store up to which all changes are known",
		  dw_revision_number(dw_view_log_revision(view->records)) },
		{ "view_era", "Era of that revision",
		  dw_era_name(dw_revision_era(dw_view_log_revision(view->records))) },
		{ "store_era", "Era of the store, as it calls it; 0: also if it has none",
		  dw_era_name(newest_era(metrics->store, view)) },
		{ "store_restores", "Restores that this instance has seen", view->restore.count },
		{ "store_late_answers", "Answers of the store from before its last restore",
		  metrics->store->era.late_answers },
		{ "store_bad_eras", "Answers of the store whose era was missing or wrong",
		  metrics->store->era.bad_answers },
		{ "view_kept", "Records in force that the store has lost",
		  dw_view_log_kept_count(view->records) },
		{ "view_admitted", "1 once no newer configuration is known to be in force",
		  view->restore.is_admitted },
		{ "view_rereads", "Reads of all keys of the store since the start", view->rereads },
		{ "view_answer_behind", "1 while answers are older than this copy",
		  view->is_answer_behind },
		{ "view_answers_behind", "Answers that were, since the start",
		  view->answers_behind },
		{ "view_records_ignored", "Records of answers that were older than the known ones",
		  view->records_ignored },
		{ "view_hops", "Instances between this one and the store, as of the last proof",
		  view->hops },
		{ "view_reads_store", "1 while this instance reads the store itself",
		  view->source.is_reading },
		{ "view_rank", "Rank in the order in which instances become readers", place->rank },
		{ "view_requests", "Requests for records to other instances since the start",
		  metrics->view_sync->requests },
		{ "view_request_failures", "Those of them that failed",
		  metrics->view_sync->failures },
		{ "view_answers", "Answers with records to other instances since the start",
		  metrics->view_server->answers },
		{ "view_answer_bytes", "Bytes of their bodies",
		  metrics->view_server->answer_bytes },
		{ "members", "Instances known as members, including this one", place->members },
		{ "instances_assumed", "Instances among which common limits are divided",
		  peers_estimated_instances(peers, now_us) },
		{ "peer_datagrams", "Datagrams sent to other instances since the start",
		  peers->datagrams_sent },
		{ "peer_datagram_bytes", "Bytes in them", peers->bytes_sent },
		{ "engines_usable", "Engines that may be sent requests",
		  dw_engine_set_count_usable(view->engines, NULL, now_us) },
		{ "domains_evacuated", "Failure domains taken out", view->evacuated.count },
		{ "engines_ended", "Engines that this instance found ended, since the start",
		  view->guard.engines_ended },
		{ "crash_probes", "Engines probed to find out whether they have ended",
		  view->guard.probes },
		{ "requests_suspected", "Requests under which one engine has ended",
		  dw_quarantine_suspect_count(view->guard.quarantine, now_us) },
		{ "requests_quarantined", "Requests that aren't sent, as engines ended under them",
		  dw_quarantine_count(view->guard.quarantine, now_us) },
		{ "parts_suspected", "Parts of prompts under which engines have ended",
		  dw_part_quarantine_suspect_count(view->guard.parts.quarantine, now_us) },
		{ "parts_quarantined",
		  "Parts whose requests aren't sent, as engines ended under them",
		  dw_part_quarantine_count(view->guard.parts.quarantine, now_us) },
		{ "engines_leaving", "Lifetimes of engines that said that they leave",
		  dw_leaving_count(view->leaving) },
		{ "pause_waits", "Requests that waited as all engines had asked for a pause",
		  router->pause_waits },
		{ "pause_refusals", "Requests refused for that", router->pause_refusals },
		{ "caller_bytes", "Bytes held for callers", callers->bytes },
		{ "caller_bytes_limit", "Most bytes that may be held for them",
		  callers->max_bytes },
		{ "caller_connections", "Connections of callers", callers->connections },
		{ "caller_connections_limit", "Most connections of callers",
		  callers->max_connections },
		{ "callers_rejected",
		  "Connections and requests rejected for want of either, since the start",
		  callers->rejected },
		{ "callers_ended", "Connections without progress ended to make room",
		  callers->ended },
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

char *gateway_metrics_text(const struct gateway_metrics *metrics, size_t *len)
{
	const struct router *router = metrics->router;
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
	write_gauges(metrics, out);
	admission_gate_write_metrics(router->admission, out);
	write_store_calls(metrics->store, out);
	fclose(out);
	return text;
}
