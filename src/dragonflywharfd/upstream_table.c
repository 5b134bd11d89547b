#include "dragonflywharfd/upstream_table.h"

#include <stdlib.h>
#include <string.h>

#include <json-c/json.h>
#include <xxhash.h>

#include "dragonflywharfd/dispatcher.h"
#include "dragonflywharfd/peer_bus.h"
#include "dragonflywharfd/roster_sync.h"

#define REPORT_MAX_BYTES 65536U
#define REPORT_TIMEOUT_US (1000 * DW_US_PER_MS)
/** Reports missed in a row after which an upstream counts as cold. */
#define REPORTS_MISSED 3U
/** Delay from a broken connection to the report that shows whether the upstream crashed. */
#define CRASH_CHECK_DELAY_US (5 * DW_US_PER_MS)

struct upstream_table {
	struct daemon *daemon;
	struct upstream *upstreams;
	uint64_t generation;
	bool configured; /* a refresh has found a configuration */
	struct dw_abandoned_runs abandoned;
};

/* A load report being fetched; the upstream may have been removed when it arrives. */
struct report {
	struct upstream_table *table;
	uint64_t upstream_id;
	uint64_t sent_at_us;
};

struct upstream_table *upstream_table_new(struct daemon *daemon)
{
	struct upstream_table *table = calloc(1, sizeof(*table));

	if (!table)
		abort();
	table->daemon = daemon;
	return table;
}

struct upstream *upstream_table_find(struct upstream_table *table, uint64_t id)
{
	struct upstream *upstream;

	HASH_FIND(hh, table->upstreams, &id, sizeof(id), upstream);
	return upstream;
}

struct upstream *upstream_table_by_name(struct upstream_table *table, const char *name)
{
	return upstream_table_find(table, XXH64(name, strlen(name), 0));
}

void upstream_table_each(struct upstream_table *table,
			 void (*visit)(struct upstream *upstream, void *data), void *data)
{
	struct upstream *upstream;
	struct upstream *next;

	HASH_ITER(hh, table->upstreams, upstream, next) {
		visit(upstream, data);
	}
}

static struct upstream *add_upstream(struct upstream_table *table, const char *name)
{
	struct upstream *upstream = calloc(1, sizeof(*upstream));

	if (!upstream)
		abort();
	upstream->id = XXH64(name, strlen(name), 0);
	snprintf(upstream->name, sizeof(upstream->name), "%s", name);
	upstream->table = table;
	dw_warmup_init(&upstream->warmup);
	upstream->reported_cold = true;
	HASH_ADD(hh, table->upstreams, id, sizeof(upstream->id), upstream);
	return upstream;
}

/* Begins slow start for an upstream that returns, alone or with its failure domain. */
static void set_usable(struct upstream_table *table, struct upstream *upstream, bool usable)
{
	uint64_t now_us = dw_clock_now_us();

	if (usable && !upstream->usable && table->configured) {
		dw_slow_start_begin(&upstream->slow_start, now_us,
				    now_us + DW_SLOW_START_DEFAULT_US);
		dw_log_event(&table->daemon->log, DW_EVENT_UPSTREAM_RETURNED,
			     DW_STR("upstream", upstream->name));
	}
	if (!usable && upstream->usable)
		dw_log_event(&table->daemon->log, DW_EVENT_UPSTREAM_LEAVING,
			     DW_STR("upstream", upstream->name));
	upstream->usable = usable;
}

/* Updates the limiter and the log when the upstream becomes cold or warm. */
static void publish_cold_state(struct upstream_table *table, struct upstream *upstream)
{
	struct daemon *daemon = table->daemon;
	bool cold = !upstream->connection_monitor ||
		    !connection_monitor_is_connected(upstream->connection_monitor) ||
		    dw_warmup_is_cold(&upstream->warmup, dw_clock_now_us());

	if (upstream->is_service || cold == upstream->reported_cold)
		return;
	upstream->reported_cold = cold;
	dw_limiter_set_cold(daemon->limiter, upstream->id, cold);
	dw_log_event(&daemon->log, cold ? DW_EVENT_UPSTREAM_COLD : DW_EVENT_UPSTREAM_WARM,
		     DW_STR("upstream", upstream->name),
		     DW_INT("incarnation", upstream->warmup.incarnation));
}

/* Requests that were given up shortly before the crash are evidence too. @return their number */
static uint32_t record_abandoned(struct upstream_table *table, const struct upstream *upstream,
				 uint64_t crashed_incarnation)
{
	struct daemon *daemon = table->daemon;
	struct dw_crash_upstream crashed = { upstream->id, crashed_incarnation };
	struct dw_crash_run runs[UPSTREAM_LOST_REQUESTS_MAX];
	uint64_t now_us = dw_clock_now_us();
	struct dw_upstream_end end = {
		.alive_at_us = upstream->alive_at_us,
		.ended_at_us = now_us,
	};
	uint32_t count = dw_abandoned_runs_take(&table->abandoned, crashed, &end, runs,
						UPSTREAM_LOST_REQUESTS_MAX);

	for (uint32_t i = 0; i < count; i++) {
		struct dw_quarantine_evidence evidence = {
			.fingerprint = runs[i].request,
			.upstream_id = upstream->id,
			.upstream_incarnation = crashed_incarnation,
			.remaining_us = UINT64_MAX,
			.is_abandoned = true,
		};

		dw_quarantine_merge(daemon->quarantine, &evidence, now_us);
	}
	return count;
}

/* Records a crash of the given incarnation as evidence against the requests that ran on it. */
static void record_crash(struct upstream_table *table, struct upstream *upstream,
			 uint64_t crashed_incarnation)
{
	struct daemon *daemon = table->daemon;
	uint32_t abandoned = record_abandoned(table, upstream, crashed_incarnation);

	if (upstream->lost_request_count == 0 && abandoned == 0)
		return;
	dw_log_event(&daemon->log, DW_EVENT_UPSTREAM_CRASHED, DW_STR("upstream", upstream->name),
		     DW_INT("incarnation", crashed_incarnation),
		     DW_INT("requests", upstream->lost_request_count),
		     DW_INT("abandoned", abandoned));
	dw_quarantine_crashed(daemon->quarantine, upstream->id, crashed_incarnation,
			      upstream->lost_requests, upstream->lost_request_count,
			      dw_clock_now_us());
	upstream->lost_request_count = 0;
}

static void gossip_warmup_evidence(struct upstream_table *table, struct upstream *upstream)
{
	struct dw_warmup_evidence evidence;
	struct peer_message_buffer buffer;

	if (!dw_warmup_export(&upstream->warmup, upstream->id, upstream->cold_period_us,
			      dw_clock_now_us(), &evidence))
		return;
	peer_message_buffer_init(&buffer);
	msgpack_pack_array(&buffer.packer, UPSTREAM_EVIDENCE_FIELDS);
	msgpack_pack_uint64(&buffer.packer, evidence.upstream_id);
	msgpack_pack_uint64(&buffer.packer, evidence.incarnation);
	msgpack_pack_uint32(&buffer.packer, evidence.cold_restarts);
	msgpack_pack_uint64(&buffer.packer, evidence.age_us);
	peer_bus_gossip(table->daemon, DW_MEMBERSHIP_MAX, PEER_WARMUP, &buffer);
	peer_message_buffer_clear(&buffer);
}

static uint64_t report_max_gap_us(const struct upstream_table *table)
{
	return table->daemon->settings.report_period_ms * DW_US_PER_MS * REPORTS_MISSED;
}

static void invalidate_warm_state(struct upstream_table *table, struct upstream *upstream)
{
	upstream->invalidated_at_us = dw_clock_now_us();
	dw_warmup_invalidate(&upstream->warmup);
	publish_cold_state(table, upstream);
}

static void on_connection_changed(bool open, void *data)
{
	struct upstream *upstream = data;

	invalidate_warm_state(upstream->table, upstream);
	/* Fetches at once the report that confirms the warm state or a crash. */
	upstream->next_report_at_us = 0;
	upstream_table_tick(upstream->table);
	daemon_pump(upstream->table->daemon);
}

static void update_connection_monitor(struct upstream_table *table, struct upstream *upstream,
				      const struct dw_upstream *config)
{
	bool address_changed =
		strcmp(upstream->ip, config->ip) != 0 || upstream->port != config->port;

	if (upstream->connection_monitor && address_changed) {
		connection_monitor_stop(upstream->connection_monitor);
		upstream->connection_monitor = NULL;
		dw_warmup_init(&upstream->warmup);
	}
	if (!upstream->connection_monitor && !config->is_service)
		upstream->connection_monitor =
			connection_monitor_start(&table->daemon->loop, config->ip, config->port,
						 on_connection_changed, upstream);
}

static void update_upstream(const struct dw_upstream *config, void *data)
{
	struct upstream_table *table = data;
	struct upstream *upstream = upstream_table_by_name(table, config->name);

	if (!upstream)
		upstream = add_upstream(table, config->name);
	update_connection_monitor(table, upstream, config);
	snprintf(upstream->ip, sizeof(upstream->ip), "%s", config->ip);
	upstream->port = config->port;
	upstream->limit = config->limit;
	upstream->cold_limit = config->cold_limit;
	upstream->cold_period_us = config->cold_period_ms * DW_US_PER_MS;
	upstream->is_service = config->is_service;
	upstream->generation = table->generation;
	upstream->load.slots = config->limit;
	snprintf(upstream->failure_domain, sizeof(upstream->failure_domain), "%s",
		 config->failure_domain_name);
	set_usable(table, upstream,
		   dw_upstream_is_usable(config,
					 roster_sync_is_listed_leaving(table->daemon->roster_sync,
								       config->name)));
	dw_limiter_set_upstream(table->daemon->limiter, upstream->id, upstream->limit,
				upstream->is_service ? upstream->limit : upstream->cold_limit);
}

void upstream_table_refresh(struct upstream_table *table)
{
	struct upstream *upstream;
	struct upstream *next;

	table->generation++;
	dw_ruleset_visit_upstreams(table->daemon->ruleset, update_upstream, table);
	HASH_ITER(hh, table->upstreams, upstream, next) {
		if (upstream->generation == table->generation)
			continue;
		upstream->usable = false;
		if (upstream->connection_monitor)
			connection_monitor_stop(upstream->connection_monitor);
		upstream->connection_monitor = NULL;
		dw_limiter_set_upstream(table->daemon->limiter, upstream->id, 0, 0);
	}
	/* The upstreams of the first configuration are new, not returning, so they get no slow
	 * start; the instance list may cause a refresh before that configuration. */
	table->configured = dw_ruleset_count(table->daemon->ruleset) > 0;
}

static void record_incarnation(struct upstream_table *table, struct upstream *upstream,
			       uint64_t incarnation)
{
	uint64_t previous_incarnation = upstream->warmup.incarnation;

	if (dw_warmup_report_seen(&upstream->warmup, incarnation, upstream->cold_period_us,
				  report_max_gap_us(table), dw_clock_now_us())) {
		if (previous_incarnation != 0)
			record_crash(table, upstream, previous_incarnation);
		gossip_warmup_evidence(table, upstream);
	}
	upstream->alive_at_us = dw_clock_now_us();
	publish_cold_state(table, upstream);
}

void upstream_table_incarnation_seen(struct upstream_table *table, uint64_t id,
				     uint64_t incarnation)
{
	struct upstream *upstream = upstream_table_find(table, id);

	/* A late answer from a process that has ended must not make the upstream warm again. */
	if (upstream && incarnation != 0 && incarnation != upstream->warmup.incarnation)
		record_incarnation(table, upstream, incarnation);
}

void upstream_table_overloaded(struct upstream_table *table, uint64_t id)
{
	struct upstream *upstream = upstream_table_find(table, id);

	if (!upstream || upstream->is_service || upstream->reported_cold)
		return;
	dw_warmup_restart(&upstream->warmup, upstream->cold_period_us, dw_clock_now_us());
	gossip_warmup_evidence(table, upstream);
	publish_cold_state(table, upstream);
}

void upstream_table_merge_evidence(struct upstream_table *table,
				   const struct dw_warmup_evidence *evidence)
{
	struct upstream *upstream = upstream_table_find(table, evidence->upstream_id);
	uint64_t previous_incarnation;

	if (!upstream)
		return;
	previous_incarnation = upstream->warmup.incarnation;
	dw_warmup_merge(&upstream->warmup, evidence, upstream->cold_period_us, dw_clock_now_us());
	if (previous_incarnation != 0 && upstream->warmup.incarnation != previous_incarnation) {
		record_crash(table, upstream, previous_incarnation);
		upstream->alive_at_us = 0;
	}
	publish_cold_state(table, upstream);
}

/* Returns true if the report is valid and was requested after the warm state was last invalidated,
 * so that it shows whether the upstream crashed. */
static bool apply_report(const struct dw_http_fetch_result *result, struct upstream_table *table,
			 struct upstream *upstream, uint64_t sent_at_us)
{
	struct json_object *root;
	struct json_object *value;
	uint64_t incarnation = 0;
	uint32_t running = 0;
	uint32_t queued = 0;

	if (result->result.status != DW_OK || result->result.http_status != 200)
		return false;
	root = json_tokener_parse(result->body);
	if (!json_object_is_type(root, json_type_object)) {
		json_object_put(root);
		return false;
	}
	if (json_object_object_get_ex(root, "incarnation", &value))
		incarnation = (uint64_t)json_object_get_int64(value);
	if (json_object_object_get_ex(root, "running", &value))
		running = (uint32_t)json_object_get_int(value);
	if (json_object_object_get_ex(root, "queued", &value))
		queued = (uint32_t)json_object_get_int(value);
	json_object_put(root);
	dw_upstream_load_report(&upstream->load, sent_at_us, running, queued);
	if (incarnation == 0)
		return false;
	if (sent_at_us > upstream->invalidated_at_us || incarnation != upstream->warmup.incarnation)
		record_incarnation(table, upstream, incarnation);
	return sent_at_us > upstream->invalidated_at_us;
}

static void on_report(const struct dw_http_fetch_result *result, void *data)
{
	struct report *report = data;
	struct upstream_table *table = report->table;
	struct upstream *upstream = upstream_table_find(table, report->upstream_id);

	if (upstream) {
		upstream->report_in_flight = false;
		if (apply_report(result, table, upstream, report->sent_at_us)) {
			/* apply_report() recorded a new incarnation as a crash; if the same one
			 * still answers, the upstream did not crash. */
			upstream->lost_request_count = 0;
		} else if (result->result.progress == DW_HTTP_NOT_SENT) {
			record_crash(table, upstream, upstream->warmup.incarnation);
			invalidate_warm_state(table, upstream);
		}
		daemon_pump(table->daemon);
	}
	free(report);
}

static void fetch_report(struct upstream_table *table, struct upstream *upstream)
{
	struct report *report = calloc(1, sizeof(*report));
	uint64_t now_us = dw_clock_now_us();
	struct dw_http_call_options options = {
		.ip = upstream->ip,
		.port = upstream->port,
		.method = "GET",
		.path = "/load",
		.deadline_us = now_us + REPORT_TIMEOUT_US,
	};

	if (!report)
		abort();
	report->table = table;
	report->upstream_id = upstream->id;
	report->sent_at_us = now_us;
	upstream->report_in_flight = true;
	upstream->next_report_at_us =
		now_us + table->daemon->settings.report_period_ms * DW_US_PER_MS;
	dw_http_fetch(table->daemon->client, &options, REPORT_MAX_BYTES, on_report, report);
}

void upstream_table_tick(struct upstream_table *table)
{
	uint64_t now_us = dw_clock_now_us();
	struct upstream *upstream;
	struct upstream *next;

	HASH_ITER(hh, table->upstreams, upstream, next) {
		if (upstream->is_service || upstream->generation != table->generation)
			continue;
		publish_cold_state(table, upstream);
		if (!upstream->report_in_flight && now_us >= upstream->next_report_at_us)
			fetch_report(table, upstream);
	}
}

void upstream_table_attempt_started(struct upstream_table *table, struct upstream *upstream,
				    struct dw_fingerprint fingerprint)
{
	dw_upstream_load_sent(&upstream->load, dw_clock_now_us());
	if (upstream->running_count < UPSTREAM_RUNNING_MAX)
		upstream->running[upstream->running_count++] = fingerprint;
}

static void remove_running(struct upstream *upstream, struct dw_fingerprint fingerprint)
{
	for (size_t i = 0; i < upstream->running_count; i++) {
		if (!dw_fingerprint_equal(upstream->running[i], fingerprint))
			continue;
		upstream->running[i] = upstream->running[--upstream->running_count];
		return;
	}
}

void upstream_table_attempt_ended(struct upstream_table *table, uint64_t id,
				  struct dw_fingerprint fingerprint,
				  const struct dw_load_sample *sample)
{
	struct upstream *upstream = upstream_table_find(table, id);

	if (!upstream)
		return;
	dw_upstream_load_ended(&upstream->load, dw_clock_now_us(), sample);
	remove_running(upstream, fingerprint);
}

void upstream_table_connection_lost(struct upstream_table *table, uint64_t id,
				    struct dw_fingerprint fingerprint, uint64_t incarnation)
{
	struct upstream *upstream = upstream_table_find(table, id);
	uint64_t crash_check_at_us = dw_clock_now_us() + CRASH_CHECK_DELAY_US;

	if (!upstream)
		return;
	if (upstream->lost_request_count < UPSTREAM_LOST_REQUESTS_MAX)
		upstream->lost_requests[upstream->lost_request_count++] = fingerprint;
	/* The crash is already known from a peer or another answer. */
	if (incarnation != 0 && incarnation != upstream->warmup.incarnation)
		record_crash(table, upstream, incarnation);
	invalidate_warm_state(table, upstream);
	if (upstream->next_report_at_us > crash_check_at_us)
		upstream->next_report_at_us = crash_check_at_us;
}

void upstream_table_attempt_abandoned(struct upstream_table *table, uint64_t id,
				      const struct dw_abandoned_run *run)
{
	struct upstream *upstream = upstream_table_find(table, id);

	if (!upstream || upstream->is_service || !upstream->usable)
		return;
	dw_abandoned_runs_add(&table->abandoned, run, NULL);
	/* The crash is already known from a peer or another answer. */
	if (run->upstream.incarnation != 0 &&
	    run->upstream.incarnation != upstream->warmup.incarnation)
		record_crash(table, upstream, run->upstream.incarnation);
}

bool upstream_table_crash_check_pending(struct upstream_table *table, uint64_t id,
					struct dw_fingerprint fingerprint)
{
	const struct upstream *upstream = upstream_table_find(table, id);

	for (size_t i = 0; upstream && i < upstream->lost_request_count; i++) {
		if (dw_fingerprint_equal(upstream->lost_requests[i], fingerprint))
			return true;
	}
	return false;
}

bool upstream_table_may_send(struct upstream_table *table, uint64_t id, bool cold)
{
	struct upstream *upstream = upstream_table_find(table, id);

	if (!upstream || upstream->is_service || cold)
		return upstream != NULL;
	return upstream->connection_monitor &&
	       connection_monitor_check(upstream->connection_monitor) && !upstream->reported_cold;
}
