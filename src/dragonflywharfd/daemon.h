/**
 * @file daemon.h
 * The daemon of one entry instance: its parts and how they find each other.
 *
 * The decisions are the library's; the modules beside this one carry messages, timers and calls.
 */
#ifndef DAEMON_DAEMON_H
#define DAEMON_DAEMON_H

#include <uthash.h>
#include <uv.h>

#include <dragonflywharf/admission.h>
#include <dragonflywharf/cascade.h>
#include <dragonflywharf/ledger.h>
#include <dragonflywharf/membership.h>
#include <dragonflywharf/once.h>
#include <dragonflywharf/quarantine.h>
#include <dragonflywharf/retry_budget.h>
#include <dragonflywharf/rollout.h>
#include <dragonflywharf/route.h>
#include <dragonflywharf/ruleset.h>
#include <dragonflywharf/session.h>
#include <dragonflywharf/session_table.h>
#include <dragonflywharf/limiter.h>

#include "base/clock.h"
#include "base/counter.h"
#include "base/log.h"
#include "dragonflywharfd/daemon_settings.h"
#include "net/http_client.h"
#include "net/http_server.h"
#include "net/peer_mesh.h"
#include "port/instance_list.h"
#include "port/rater.h"
#include "port/store.h"

struct config_sync;
struct roster_sync;
struct upstream_table;
struct dispatcher;
struct once_sync;
struct ledger_sync;
struct session_sync;

/** Retry budget of one organisation on this instance. */
struct organisation_budget {
	uint64_t organisation_id;
	struct dw_retry_budget budget;
	UT_hash_handle hh;
};

struct daemon {
	uv_loop_t loop;
	struct daemon_settings settings;
	struct dw_log log;
	struct dw_counters counters;
	struct dw_member_key key;

	struct dw_http_client *client;
	struct dw_http_server *callers;
	struct dw_http_server *operators;
	struct dw_peer_mesh *mesh;
	struct dw_store *store;
	struct dw_instance_list *instance_list; /**< NULL if there is none */
	struct dw_rater *rater; /**< NULL if there is none */

	struct dw_membership *membership;
	struct dw_ruleset *ruleset;
	struct dw_limiter *limiter;
	struct dw_rollout *rollout;
	struct dw_quarantine *quarantine;
	struct dw_cascade_rates *cascade_rates;
	struct dw_session_keys session_keys;
	struct dw_session_table *sessions;

	struct config_sync *config_sync;
	struct roster_sync *roster_sync;
	struct upstream_table *upstreams;
	struct dispatcher *dispatcher;
	struct once_sync *once_sync;
	struct ledger_sync *ledger_sync;
	struct session_sync *session_sync;
	struct organisation_budget *budgets;

	uv_timer_t tick;
	uv_timer_t stop_poll;
	uv_signal_t sigterm;
	uv_signal_t sigint;
	uint64_t stop_deadline_us; /**< 0 while in service */
	bool left; /**< the leaving steps after the last request have begun */
	uint32_t last_polls; /* since callers are no longer accepted */
	uint64_t random_state;
	uint64_t last_tick_us;
	uint64_t rating_us; /**< learned mean time of a rating */
	uint64_t repeat_cursor; /**< into the roll-out evidence that is told again */
	uint32_t evidence_asks; /**< asked for so far since the start */
	uint64_t repeat_at_us; /**< when the next part of it is due */
};

/** Starts all parts and runs until a planned stop; the process's exit code. */
int daemon_run(struct daemon *daemon);

/** A fresh random number; not for keys. */
uint64_t daemon_random(struct daemon *daemon);

/** True once a stop was asked for: no new work is taken. */
bool daemon_stopping(const struct daemon *daemon);

/** Moves everything that waits: messages, permits, queued requests. Called after any change. */
void daemon_pump(struct daemon *daemon);

#endif
