/**
 * @file upstream_table.h
 * What this daemon knows of each upstream while it runs: load, warmth, crashes, running attempts.
 */
#ifndef DAEMON_UPSTREAM_TABLE_H
#define DAEMON_UPSTREAM_TABLE_H

#include <uthash.h>

#include <dragonflywharf/warmup.h>

#include "dragonflywharfd/daemon.h"
#include "dragonflywharfd/sentinel.h"

#define UPSTREAM_RUNNING_MAX 256
#define UPSTREAM_BROKEN_MAX 64
/** Fields of the peers' message on an upstream's warmth: id, incarnation, turn, age. */
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
	struct sentinel *sentinel; /**< NULL for plain services and those that left */
	struct upstream_table *table;
	bool told_cold; /**< as last told to the share module */
	struct dw_slow_start slow_start;
	struct dw_retry_budget budget;
	struct dw_fingerprint running[UPSTREAM_RUNNING_MAX];
	size_t running_count;
	/** Requests that were running when connections broke, until a report clears or blames. */
	struct dw_fingerprint broken[UPSTREAM_BROKEN_MAX];
	size_t broken_count;
	uint64_t failures; /**< attempts failed in a row */
	uint64_t generation;
	uint64_t report_at_us; /**< when the next report is to be fetched */
	/** The latest doubt: only a report that was sent after it can end it. */
	uint64_t doubted_at_us;
	bool reporting;
	UT_hash_handle hh;
};

struct upstream_table *upstream_table_new(struct daemon *daemon);

/** Takes over the upstreams of the ruleset. */
void upstream_table_refresh(struct upstream_table *table);

void upstream_table_tick(struct upstream_table *table);

struct upstream *upstream_table_find(struct upstream_table *table, uint64_t id);
struct upstream *upstream_table_by_name(struct upstream_table *table, const char *name);

/** Calls @p visit for each upstream. */
void upstream_table_each(struct upstream_table *table,
			 void (*visit)(struct upstream *upstream, void *data), void *data);

/** An attempt starts at, or ends at, the upstream. */
void upstream_table_started(struct upstream_table *table, struct upstream *upstream,
			    struct dw_fingerprint fingerprint);
void upstream_table_ended(struct upstream_table *table, uint64_t id,
			  struct dw_fingerprint fingerprint, const struct dw_load_sample *sample);

/** An answer came with the upstream's incarnation: news only if it is another one. */
void upstream_table_answered(struct upstream_table *table, uint64_t id, uint64_t incarnation);

/**
 * A connection with a request under way broke: cold until seen again, and maybe a crash.
 * @p incarnation is the upstream's as it was known when the request began.
 */
void upstream_table_broke(struct upstream_table *table, uint64_t id,
			  struct dw_fingerprint fingerprint, uint64_t incarnation);

/** Whether the broken connection of a request is still to be cleared or blamed on a crash. */
bool upstream_table_judging(struct upstream_table *table, uint64_t id,
			    struct dw_fingerprint fingerprint);

/** A warm upstream refuses work within its limit: it may have turned cold. */
void upstream_table_overloaded(struct upstream_table *table, uint64_t id);

/**
 * Whether a request may be sent now: its permit was given while the upstream counted as @p cold.
 * A warm permit is no longer good once the upstream's process has ended.
 */
bool upstream_table_may_send(struct upstream_table *table, uint64_t id, bool cold);

/** A peer's evidence of an upstream's incarnation. */
void upstream_table_merge(struct upstream_table *table, const struct dw_warmup_evidence *evidence);

#endif
