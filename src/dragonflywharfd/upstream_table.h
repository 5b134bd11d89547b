/**
 * @file upstream_table.h
 * Runtime state of each upstream: load, cold starts, suspected crashes and running attempts.
 */
#ifndef DAEMON_UPSTREAM_TABLE_H
#define DAEMON_UPSTREAM_TABLE_H

#include <uthash.h>

#include <dragonflywharf/abandoned_runs.h>
#include <dragonflywharf/warmup.h>

#include "dragonflywharfd/daemon.h"
#include "dragonflywharfd/connection_monitor.h"

/** Requests kept for each upstream: those running, and those whose connection broke. */
#define UPSTREAM_RUNNING_MAX 256
#define UPSTREAM_LOST_REQUESTS_MAX 64
/** Fields of the cold-start message between peers: id, incarnation, cold restarts, age. */
#define UPSTREAM_EVIDENCE_FIELDS 4

struct upstream_table;

struct upstream {
	uint64_t id; /**< XXH64 of the name */
	char name[DW_NAME_MAX_BYTES + 1];
	char ip[16];
	uint16_t port;
	uint32_t limit;
	uint32_t cold_limit;
	uint64_t cold_period_us;
	char failure_domain[DW_NAME_MAX_BYTES + 1];
	bool is_service;
	bool usable; /**< in service by configuration and instance list */
	struct dw_upstream_load load;
	struct dw_warmup warmup;
	struct connection_monitor
		*connection_monitor; /**< NULL for plain services and removed upstreams */
	struct upstream_table *table;
	bool reported_cold; /**< the state last passed to the limiter */
	struct dw_slow_start slow_start;
	struct dw_retry_budget budget;
	struct dw_fingerprint running[UPSTREAM_RUNNING_MAX];
	size_t running_count;
	/** Requests whose connection broke, until a load report shows whether the upstream
	 * crashed. */
	struct dw_fingerprint lost_requests[UPSTREAM_LOST_REQUESTS_MAX];
	size_t lost_request_count;
	uint64_t consecutive_failures; /**< failed attempts since the last successful one */
	uint64_t generation; /**< of the latest refresh that found it in the ruleset */
	uint64_t next_report_at_us; /**< when to fetch the next load report */
	/** When its warm state was last invalidated; only a report requested later restores it. */
	uint64_t invalidated_at_us;
	uint64_t alive_at_us; /**< when this incarnation last showed life here; 0: never */
	bool report_in_flight; /**< a load report is being fetched */
	UT_hash_handle hh;
};

struct upstream_table *upstream_table_new(struct daemon *daemon);

/** Updates the table from the upstreams of the ruleset. */
void upstream_table_refresh(struct upstream_table *table);

/** Fetches the load reports that are due; updates the limiter for upstreams that became cold or
 * warm. */
void upstream_table_tick(struct upstream_table *table);

struct upstream *upstream_table_find(struct upstream_table *table, uint64_t id);
struct upstream *upstream_table_by_name(struct upstream_table *table, const char *name);

/** Calls @p visit for each upstream. */
void upstream_table_each(struct upstream_table *table,
			 void (*visit)(struct upstream *upstream, void *data), void *data);

/** Records the start or the end of an attempt at the upstream. */
void upstream_table_attempt_started(struct upstream_table *table, struct upstream *upstream,
				    struct dw_fingerprint fingerprint);
void upstream_table_attempt_ended(struct upstream_table *table, uint64_t id,
				  struct dw_fingerprint fingerprint,
				  const struct dw_load_sample *sample);

/** Records the incarnation named in an answer; ignored unless it differs from the known one. */
void upstream_table_incarnation_seen(struct upstream_table *table, uint64_t id,
				     uint64_t incarnation);

/**
 * Records that a connection broke while a request was running: the upstream counts as cold until
 * it answers again, and may have crashed. @p incarnation is the one known when the request began.
 */
void upstream_table_connection_lost(struct upstream_table *table, uint64_t id,
				    struct dw_fingerprint fingerprint, uint64_t incarnation);

/** Records that this instance gave up a request on which the upstream worked. */
void upstream_table_attempt_abandoned(struct upstream_table *table, uint64_t id,
				      const struct dw_abandoned_run *run);

/** Whether it is still unknown if a request's connection broke because the upstream crashed. */
bool upstream_table_crash_check_pending(struct upstream_table *table, uint64_t id,
					struct dw_fingerprint fingerprint);

/** Records that an upstream refused a request within its limit: a warm one may have become cold. */
void upstream_table_overloaded(struct upstream_table *table, uint64_t id);

/**
 * Whether a request may be sent now. @p cold says whether the upstream counted as cold when the
 * permit was acquired; a permit from the warm state is invalid once the upstream's process ended.
 */
bool upstream_table_may_send(struct upstream_table *table, uint64_t id, bool cold);

/** Merges a peer's evidence of an upstream's incarnation. */
void upstream_table_merge_evidence(struct upstream_table *table,
				   const struct dw_warmup_evidence *evidence);

#endif
