#include "dragonflywharfd/daemon.h"

#include <stdlib.h>
#include <string.h>

#include <sodium.h>
#include <xxhash.h>

#include "base/random.h"
#include "dragonflywharfd/caller_api.h"
#include "dragonflywharfd/config_return.h"
#include "dragonflywharfd/config_sync.h"
#include "dragonflywharfd/dispatcher.h"
#include "dragonflywharfd/ledger_sync.h"
#include "dragonflywharfd/once_sync.h"
#include "dragonflywharfd/operator_api.h"
#include "dragonflywharfd/peer_bus.h"
#include "dragonflywharfd/rollout_sync.h"
#include "dragonflywharfd/roster_sync.h"
#include "dragonflywharfd/session_sync.h"
#include "dragonflywharfd/store_history.h"
#include "dragonflywharfd/upstream_table.h"
#include "port/rater_http.h"
#include "port/store_etcd.h"

#define TICK_MS 20U
#define STOP_POLL_MS 20U
/** Polls between the last accepted connection and exit, so that it still gets its refusal. */
#define STOP_FINAL_POLLS 5U
/** A longer gap between two ticks is logged as a pause of the process. */
#define PAUSE_THRESHOLD_US (2 * DW_US_PER_S)
#define SESSIONS_MAX 100000U
#define SESSION_LIFETIME_US (3600 * DW_US_PER_S)
#define CASCADE_RATES_CAPACITY 4096U
#define SESSION_KEY_CONTEXT "wharfses"

enum exit_code { EXIT_DONE = 0, EXIT_START_FAILED = 3, EXIT_STOP_FORCED = 4, EXIT_CODE_COUNT };

uint64_t daemon_random(struct daemon *daemon)
{
	return dw_random_next(&daemon->random_state);
}

bool daemon_is_stopping(const struct daemon *daemon)
{
	return daemon->stop_deadline_us != 0;
}

void daemon_pump(struct daemon *daemon)
{
	uint64_t upstream_id;

	while (dw_limiter_next_ready(daemon->limiter, &upstream_id))
		;
	dispatcher_pump(daemon->dispatcher);
	peer_bus_flush(daemon);
}

static void log_member_event(struct daemon *daemon, const struct dw_member_event *event)
{
	static const enum dw_event events[DW_MEMBER_STATE_COUNT] = {
		[DW_MEMBER_ALIVE] = DW_EVENT_MEMBER_ALIVE,
		[DW_MEMBER_LEAVING] = DW_EVENT_MEMBER_LEAVING,
		[DW_MEMBER_SUSPECT] = DW_EVENT_MEMBER_SUSPECT,
		[DW_MEMBER_DEAD] = DW_EVENT_MEMBER_DEAD,
	};

	dw_log_event(&daemon->log, events[event->member.state],
		     DW_STR("member", event->member.name),
		     DW_STR("member_domain", event->member.failure_domain),
		     DW_INT("incarnation", event->member.key.incarnation));
}

static void handle_member_events(struct daemon *daemon)
{
	struct dw_member_event event;
	bool changed = false;

	while (dw_membership_next_event(daemon->membership, &event)) {
		log_member_event(daemon, &event);
		dw_limiter_set_reachable(daemon->limiter, event.member.key,
					 event.member.state != DW_MEMBER_DEAD);
		if (event.member.state == DW_MEMBER_DEAD)
			ledger_sync_handle_dead_member(daemon->ledger_sync, event.member.key);
		changed = true;
		if (!event.is_new)
			continue;
		dw_quarantine_resend(daemon->quarantine);
		rollout_sync_send_to_new_member(daemon, &event.member);
	}
	if (!changed)
		return;
	dw_rollout_set_instances(daemon->rollout,
				 (uint32_t)dw_membership_live_count(daemon->membership));
	dispatcher_refresh(daemon->dispatcher);
}

static void detect_pause(struct daemon *daemon, uint64_t now_us)
{
	if (daemon->last_tick_us != 0 && now_us - daemon->last_tick_us > PAUSE_THRESHOLD_US)
		dw_log_event(&daemon->log, DW_EVENT_PAUSE_SEEN,
			     DW_INT("duration_us", now_us - daemon->last_tick_us));
	daemon->last_tick_us = now_us;
}

/*
 * Leaves the cluster once no request is in progress: releases the permits, writes the usage records
 * and removes this instance from the roster. True when all of it is done.
 */
static bool finish_leaving(struct daemon *daemon)
{
	if (!daemon->leave_started) {
		daemon->leave_started = true;
		dw_limiter_leave(daemon->limiter);
		ledger_sync_flush(daemon->ledger_sync);
	}
	if (!dw_limiter_is_released(daemon->limiter))
		return false;
	roster_sync_leave(daemon->roster_sync);
	return roster_sync_has_left(daemon->roster_sync) &&
	       ledger_sync_unwritten(daemon->ledger_sync) == 0;
}

/* Stops accepting, then waits until the last accepted connection has got its refusal. */
static bool finish_accepting(struct daemon *daemon)
{
	dw_http_server_stop_accepting(daemon->caller_server);
	return daemon->final_polls++ >= STOP_FINAL_POLLS;
}

static void on_stop_poll(uv_timer_t *timer)
{
	struct daemon *daemon = timer->data;
	bool forced = dw_clock_now_us() >= daemon->stop_deadline_us;
	bool idle = dw_http_server_active(daemon->caller_server) == 0 &&
		    once_sync_pending(daemon->once_sync) == 0;

	if (!forced && !(idle && finish_leaving(daemon) && finish_accepting(daemon)))
		return;
	dw_log_event(&daemon->log, DW_EVENT_STOPPED, DW_INT("forced", forced),
		     DW_INT("unwritten_usage", ledger_sync_unwritten(daemon->ledger_sync)));
	exit(forced ? EXIT_STOP_FORCED : EXIT_DONE);
}

static void begin_stop(struct daemon *daemon, int signal_number)
{
	daemon->stop_deadline_us =
		dw_clock_now_us() + daemon->settings.stop_timeout_ms * DW_US_PER_MS + 1;
	dw_log_event(&daemon->log, DW_EVENT_STOPPING, DW_INT("signal", signal_number));
	dw_membership_leave(daemon->membership, dw_clock_now_us());
	/* Until exit, callers get a typed refusal and health checks fail. */
	dw_http_server_disable_keep_alive(daemon->caller_server);
	uv_timer_start(&daemon->stop_poll, on_stop_poll, 0, STOP_POLL_MS);
	daemon_pump(daemon);
}

static void on_signal(uv_signal_t *signal, int signal_number)
{
	struct daemon *daemon = signal->data;

	if (daemon_is_stopping(daemon))
		daemon->stop_deadline_us = dw_clock_now_us();
	else
		begin_stop(daemon, signal_number);
}

/* Stops this process if a later run of the same instance has joined the cluster. */
static void stop_if_replaced(struct daemon *daemon)
{
	if (dw_membership_is_replaced(daemon->membership) && !daemon_is_stopping(daemon))
		begin_stop(daemon, 0);
}

static void on_tick(uv_timer_t *timer)
{
	struct daemon *daemon = timer->data;
	uint64_t now_us = dw_clock_now_us();

	detect_pause(daemon, now_us);
	dw_membership_tick(daemon->membership, now_us, daemon_random(daemon));
	handle_member_events(daemon);
	stop_if_replaced(daemon);
	config_return_tick(daemon->config_return);
	config_sync_tick(daemon->config_sync);
	roster_sync_tick(daemon->roster_sync);
	upstream_table_tick(daemon->upstreams);
	dw_limiter_tick(daemon->limiter, now_us);
	dispatcher_tick(daemon->dispatcher);
	dw_quarantine_tick(daemon->quarantine, now_us);
	once_sync_tick(daemon->once_sync);
	ledger_sync_tick(daemon->ledger_sync);
	session_sync_tick(daemon->session_sync);
	peer_bus_resend_evidence(daemon, now_us);
	daemon_pump(daemon);
}

static void init_identity(struct daemon *daemon)
{
	const struct daemon_settings *settings = &daemon->settings;

	daemon->key.instance_id = XXH64(settings->instance, strlen(settings->instance), 0);
	daemon->key.incarnation = dw_clock_wall_us();
	randombytes_buf(&daemon->random_state, sizeof(daemon->random_state));
	crypto_kdf_derive_from_key(daemon->session_keys.current,
				   sizeof(daemon->session_keys.current), 1, SESSION_KEY_CONTEXT,
				   settings->cluster_key);
}

static struct dw_membership *new_membership(struct daemon *daemon)
{
	const struct daemon_settings *settings = &daemon->settings;
	bool advertised = settings->advertised_peer.port != 0;
	struct dw_membership_options options = { .seed_count = settings->seeds.count };
	struct dw_member *self = &options.self;

	self->key = daemon->key;
	snprintf(self->name, sizeof(self->name), "%s", settings->instance);
	snprintf(self->failure_domain, sizeof(self->failure_domain), "%s",
		 settings->failure_domain);
	snprintf(self->ip, sizeof(self->ip), "%s",
		 advertised ? settings->advertised_peer.ip : settings->ip);
	self->port = advertised ? settings->advertised_peer.port : dw_peer_mesh_port(daemon->mesh);
	for (uint32_t i = 0; i < settings->seeds.count; i++) {
		snprintf(options.seeds[i].ip, sizeof(options.seeds[i].ip), "%s",
			 settings->seeds.items[i].ip);
		options.seeds[i].port = settings->seeds.items[i].port;
	}
	return dw_membership_new(&options, dw_clock_now_us());
}

static void init_modules(struct daemon *daemon)
{
	struct dw_quarantine_options quarantine = dw_quarantine_default_options();
	struct dw_rollout_policy rollout = dw_rollout_policy_default();

	daemon->membership = new_membership(daemon);
	daemon->ruleset = dw_ruleset_new();
	daemon->limiter = dw_limiter_new(daemon->key);
	daemon->rollout = dw_rollout_new(&rollout, daemon->key);
	daemon->cascade_rates = dw_cascade_rates_new(CASCADE_RATES_CAPACITY);
	daemon->sessions = dw_session_table_new(SESSIONS_MAX, SESSION_LIFETIME_US);
	if (!daemon->membership || !daemon->ruleset || !daemon->limiter || !daemon->rollout ||
	    !daemon->cascade_rates || !daemon->sessions ||
	    dw_quarantine_new(&daemon->quarantine, &quarantine) != DW_OK)
		abort();
}

static void init_clients(struct daemon *daemon)
{
	const struct daemon_settings *settings = &daemon->settings;
	struct dw_store_etcd_endpoint endpoints[DW_STORE_ETCD_MAX_ENDPOINTS];
	size_t count = 0;

	for (uint32_t i = 0; i < settings->store.count && count < DW_STORE_ETCD_MAX_ENDPOINTS;
	     i++) {
		snprintf(endpoints[count].ip, sizeof(endpoints[count].ip), "%s",
			 settings->store.items[i].ip);
		endpoints[count++].port = settings->store.items[i].port;
	}
	daemon->client = dw_http_client_new(&daemon->loop);
	daemon->store = dw_store_etcd_new(daemon->client, endpoints, count);
	if (settings->rater.port != 0)
		daemon->rater =
			dw_rater_http_new(daemon->client, settings->rater.ip, settings->rater.port);
}

static void start_timers(struct daemon *daemon)
{
	uv_timer_init(&daemon->loop, &daemon->tick);
	uv_timer_init(&daemon->loop, &daemon->stop_poll);
	uv_signal_init(&daemon->loop, &daemon->sigterm);
	uv_signal_init(&daemon->loop, &daemon->sigint);
	daemon->tick.data = daemon;
	daemon->stop_poll.data = daemon;
	daemon->sigterm.data = daemon;
	daemon->sigint.data = daemon;
	uv_timer_start(&daemon->tick, on_tick, 0, TICK_MS);
	uv_signal_start(&daemon->sigterm, on_signal, SIGTERM);
	uv_signal_start(&daemon->sigint, on_signal, SIGINT);
}

static enum dw_status start(struct daemon *daemon)
{
	enum dw_status status;

	init_identity(daemon);
	init_clients(daemon);
	status = peer_bus_start(daemon);
	if (status != DW_OK)
		return status;
	init_modules(daemon);
	daemon->upstreams = upstream_table_new(daemon);
	daemon->dispatcher = dispatcher_new(daemon);
	daemon->once_sync = once_sync_start(daemon);
	daemon->ledger_sync = ledger_sync_start(daemon);
	daemon->session_sync = session_sync_new(daemon);
	daemon->roster_sync = roster_sync_start(daemon);
	daemon->config_return = config_return_new(daemon);
	daemon->config_sync = config_sync_start(daemon);
	store_history_start(daemon);
	status = operator_api_start(daemon);
	if (status == DW_OK)
		status = caller_api_start(daemon);
	return status;
}

int daemon_run(struct daemon *daemon)
{
	uv_loop_init(&daemon->loop);
	if (sodium_init() < 0 || start(daemon) != DW_OK) {
		fprintf(stderr, "dragonflywharfd: %s\n", dw_last_message());
		return EXIT_START_FAILED;
	}
	start_timers(daemon);
	dw_log_event(&daemon->log, DW_EVENT_STARTED,
		     DW_STR("failure_domain", daemon->settings.failure_domain),
		     DW_INT("incarnation", daemon->key.incarnation),
		     DW_INT("caller_port", dw_http_server_port(daemon->caller_server)),
		     DW_INT("operator_port", dw_http_server_port(daemon->operator_server)),
		     DW_INT("peer_port", dw_peer_mesh_port(daemon->mesh)));
	printf("listening %s:%u operators %u peers %u\n", daemon->settings.ip,
	       dw_http_server_port(daemon->caller_server),
	       dw_http_server_port(daemon->operator_server), dw_peer_mesh_port(daemon->mesh));
	fflush(stdout);
	uv_run(&daemon->loop, UV_RUN_DEFAULT);
	return EXIT_DONE;
}
