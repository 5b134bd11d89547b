/**
 * @file daemon.h
 * State of the daemon that runs on each entry instance, shared by all of its modules.
 *
 * The decisions are made in the library (include/dragonflywharf), which does no I/O; the modules in
 * this folder carry its messages, timers and calls.
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

struct config_return;
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

/** State of the process, shared by its modules. */
struct daemon {
	uv_loop_t loop;
	struct daemon_settings settings;
	struct dw_log log;
	struct dw_counters counters;
	struct dw_member_key key;

	struct dw_http_client *client;
	struct dw_http_server *caller_server;
	struct dw_http_server *operator_server;
	struct dw_peer_mesh *mesh;
	struct dw_store *store;
	struct dw_instance_list *instance_list; /**< NULL if not configured */
	struct dw_rater *rater; /**< NULL if not configured */

	struct dw_membership *membership;
	struct dw_ruleset *ruleset;
	struct dw_limiter *limiter;
	struct dw_rollout *rollout;
	struct dw_quarantine *quarantine;
	struct dw_cascade_rates *cascade_rates;
	struct dw_session_keys session_keys;
	struct dw_session_table *sessions;

	struct config_sync *config_sync;
	struct config_return *config_return;
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
	bool leave_started; /**< set when the last request has ended and leaving the cluster began */
	uint32_t final_polls; /**< polls of stop_poll since the server stopped accepting */
	uint64_t store_restored_at_us; /**< when this was last seen or told; 0: never */
	uint64_t random_state;
	uint64_t last_tick_us;
	uint64_t mean_rating_us; /**< moving average of the time that one rating takes */
	/* Roll-out evidence, which is resent periodically: */
	uint64_t evidence_cursor; /**< position of the next part to resend */
	uint32_t evidence_requests; /**< requests for it sent to peers since the start */
	uint64_t resend_at_us; /**< when the next part is resent */
};

/**
 * Starts all modules and runs the event loop. A shutdown, graceful or forced, ends the process by
 * exit(). @return the exit code of the process, e.g. if a module couldn't be started
 */
int daemon_run(struct daemon *daemon);

/** Next number of a fast generator; not suitable for cryptographic keys. */
uint64_t daemon_random(struct daemon *daemon);

/** True once shutdown was requested: new requests are refused. */
bool daemon_is_stopping(const struct daemon *daemon);

/**
 * Dispatches queued requests that now have a permit and sends pending peer messages. Must be called
 * after each change that may let a request or message proceed.
 */
void daemon_pump(struct daemon *daemon);

#endif
