#include "wharf-gateway/gateway.h"

#include <fcntl.h>
#include <inttypes.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include <dragonflywharf/freshness.h>

#include "base/clock.h"
#include "base/machine_limits.h"
#include "platform/response_fields.h"
#include "platform/metadata_store.h"
#include "wharf-gateway/exchange.h"
#include "wharf-gateway/gateway_metrics.h"
#include "wharf-gateway/digest_exchange.h"
#include "wharf-gateway/store_sync.h"
#include "wharf-gateway/view_server.h"
#include "wharf-gateway/view_sync.h"

#define LISTEN_BACKLOG 512
/* Log lines of ordinary requests a second; failures are always logged. */
#define MAX_LOG_LINES_PER_S 300
/* Room for the text of an answer to a readiness check. */
#define READINESS_TEXT_BYTES 160
#define SWEEP_PERIOD_MS 1000
/* Instances that start together read the store at moments within this time, unless they have found
 * another one by then. */
#define START_SPREAD_US (50 * DW_US_PER_MS)
/* After the stop signal, the listener stays open for this long, until the load balancer has noticed
 * that the instance isn't ready. */
#define BALANCER_NOTICE_MS 3500
#define STOP_POLL_MS 100
/* Requests still in progress after this part of stop_timeout_ms, in thousandths, are given up and
 * answered. */
#define STOP_DRAIN_PERMILLE 920
/* The process ends after this part, when these answers are sent. */
#define STOP_END_PERMILLE 960

/* In force until the first configuration is read. */
static const struct dw_caller_limits default_limits = {
	.max_header_bytes = 16384,
	.max_body_bytes = 4194304,
	.header_timeout_ms = 5000,
	.idle_timeout_ms = 15000,
};

struct gateway {
	uv_loop_t loop;
	struct gateway_settings settings;
	const char *settings_path;
	struct dw_log log;
	struct dw_counters counters;
	struct view view;
	struct router router;
	struct dw_store *store;
	struct store_sync sync;
	struct view_server view_server;
	struct view_sync view_sync;
	struct digest_exchange digest_exchange;
	uv_tcp_t caller_listener;
	uv_tcp_t readiness_listener;
	uv_tcp_t metrics_listener;
	uv_signal_t sigterm;
	uv_signal_t sigint;
	uv_signal_t sighup;
	uv_timer_t sweep;
	uv_timer_t stop_timer;
	uint64_t stop_exit_at_us; /* at the latest */
	bool has_stopped_requests;
	struct dw_caller_budget caller_budget;
	uint64_t callers_rejected; /* as of the last sweep */
	uint64_t callers_ended;
	struct caller_list callers;
	struct caller_list monitoring_callers; /**< of the readiness and metrics listeners */
	enum gateway_exit exit;
	bool is_listening;
};

static const struct dw_caller_limits *current_limits(void *owner)
{
	struct gateway *gateway = owner;

	struct dw_catalog *catalog = view_catalog(&gateway->view);

	return catalog ? dw_catalog_limits(catalog) : &default_limits;
}

static bool is_stopping(void *owner)
{
	return ((struct gateway *)owner)->router.stop.started_at_us > 0;
}

static void *on_caller_request(void *owner, struct caller *caller,
			       const struct caller_request *request)
{
	struct gateway *gateway = owner;

	return exchange_start(&gateway->router, caller, request);
}

static void on_caller_disconnect(void *request)
{
	exchange_caller_disconnected(request);
}

static void on_caller_drained(void *request)
{
	exchange_caller_drained(request);
}

static void on_caller_stop(void *request)
{
	exchange_stop(request);
}

static const struct caller_callbacks caller_callbacks = {
	.on_request = on_caller_request,
	.on_disconnect = on_caller_disconnect,
	.on_drained = on_caller_drained,
	.on_stop = on_caller_stop,
	.limits = current_limits,
	.is_stopping = is_stopping,
};

static void reply_text(struct caller *caller, int status, const char *phrase, const char *text,
		       size_t len)
{
	struct bytes fields = { 0 };

	bytes_put_text(&fields, "Content-Type: text/plain\r\n");
	caller_begin(caller, status, phrase, &fields, len);
	caller_write(caller, text, len);
	bytes_free(&fields);
	caller_end(caller);
}

/* The platform reads the status only; the text is for operators. */
static void reply_readiness(struct gateway *gateway, struct caller *caller)
{
	const struct view *view = &gateway->view;
	bool ready = !is_stopping(gateway) && view_is_ready(view, dw_clock_now_us());
	size_t defects = view->catalog ? dw_catalog_defect_count(view->catalog) : 0;
	char text[READINESS_TEXT_BYTES];
	int len = snprintf(text, sizeof(text), "%s%s\n", ready ? "ready" : "not ready",
			   view->is_config_unreadable ? "; the newest configuration can't be read"
						      : "");

	if (defects > 0)
		len += snprintf(text + len, sizeof(text) - (size_t)len,
				"%zu parts of configuration %" PRIu64 " can't be read\n", defects,
				dw_catalog_version(view->catalog));
	reply_text(caller, ready ? 200 : 503, ready ? "OK" : "Service Unavailable", text,
		   (size_t)len);
}

static void *on_monitoring_request(void *owner, struct caller *caller,
				   const struct caller_request *request)
{
	struct gateway *gateway = owner;
	const struct http_head *head = request->head;
	const struct gateway_metrics metrics = {
		.router = &gateway->router,
		.store = gateway->store,
		.view_sync = &gateway->view_sync,
		.view_server = &gateway->view_server,
		.caller_budget = &gateway->caller_budget,
	};
	char *text;
	size_t len;

	if (is_readiness_request(head->method, head->target)) {
		reply_readiness(gateway, caller);
	} else if (strcmp(head->target, "/metrics") == 0) {
		text = gateway_metrics_text(&metrics, &len);
		reply_text(caller, 200, "OK", text ? text : "", text ? len : 0);
		free(text);
	} else {
		reply_text(caller, 404, "Not Found", "not found\n", 10);
	}
	return NULL;
}

static const struct caller_callbacks monitoring_callbacks = {
	.on_request = on_monitoring_request,
	.on_disconnect = on_caller_disconnect,
	.on_drained = on_caller_drained,
	.limits = current_limits,
	.is_stopping = is_stopping,
};

static void on_caller_connection(uv_stream_t *listener, int status)
{
	struct gateway *gateway = listener->data;

	if (status == 0)
		caller_accept(listener, &gateway->callers, &caller_callbacks, gateway);
}

static void on_monitoring_connection(uv_stream_t *listener, int status)
{
	struct gateway *gateway = listener->data;

	if (status == 0)
		caller_accept(listener, &gateway->monitoring_callers, &monitoring_callbacks,
			      gateway);
}

static enum dw_status open_listener(struct gateway *gateway, uv_tcp_t *listener,
				    const struct dw_endpoint *address,
				    uv_connection_cb on_connection)
{
	struct sockaddr_in socket_address;
	int error;

	uv_tcp_init(&gateway->loop, listener);
	listener->data = gateway;
	uv_ip4_addr(address->ip, address->port, &socket_address);
	error = uv_tcp_bind(listener, (const struct sockaddr *)&socket_address, 0);
	if (error == 0)
		error = uv_listen((uv_stream_t *)listener, LISTEN_BACKLOG, on_connection);
	if (error == 0)
		return DW_OK;
	return dw_fail(DW_UNAVAILABLE, "cannot listen on %s:%u: %s", address->ip, address->port,
		       uv_strerror(error));
}

static enum dw_status open_listeners(struct gateway *gateway)
{
	const struct gateway_settings *settings = &gateway->settings;

	if (open_listener(gateway, &gateway->readiness_listener, &settings->readiness_address,
			  on_monitoring_connection) != DW_OK)
		return DW_UNAVAILABLE;
	if (settings->metrics_address.port != 0 &&
	    open_listener(gateway, &gateway->metrics_listener, &settings->metrics_address,
			  on_monitoring_connection) != DW_OK)
		return DW_UNAVAILABLE;
	return open_listener(gateway, &gateway->caller_listener, &settings->caller_address,
			     on_caller_connection);
}

static void set_caller_limits(struct gateway *gateway)
{
	const struct gateway_settings *settings = &gateway->settings;
	struct dw_caller_limits_of_machine machine =
		machine_limits_read(settings->machine_memory_mb, settings->machine_descriptors);

	machine.caller_bytes = machine_limits_mb(settings->caller_memory_mb);
	machine.caller_connections = settings->caller_connections;
	dw_caller_budget_set_limits(&gateway->caller_budget, &machine);
	gateway->callers.budget = &gateway->caller_budget;
}

/* One line for what was rejected and ended since the last sweep, as there may be thousands. */
static void log_limited_callers(struct gateway *gateway)
{
	const struct dw_caller_budget *budget = &gateway->caller_budget;
	uint64_t rejected = budget->rejected - gateway->callers_rejected;
	uint64_t ended = budget->ended - gateway->callers_ended;

	if (rejected + ended == 0)
		return;
	gateway->callers_rejected = budget->rejected;
	gateway->callers_ended = budget->ended;
	dw_log_event(&gateway->log, DW_EVENT_CALLERS_LIMITED, DW_INT("rejected", rejected),
		     DW_INT("ended", ended), DW_INT("bytes", budget->bytes),
		     DW_INT("max_bytes", budget->max_bytes),
		     DW_INT("connections", budget->connections),
		     DW_INT("max_connections", budget->max_connections));
}

static void on_sweep(uv_timer_t *timer)
{
	struct gateway *gateway = timer->data;

	uint64_t now_us = dw_clock_now_us();
	uint64_t session_us = gateway->settings.session_timeout_ms * DW_US_PER_MS;

	log_limited_callers(gateway);
	dw_engine_set_sweep(gateway->view.engines, now_us);
	view_sweep(&gateway->view, now_us);
	if (now_us > session_us)
		dw_session_pins_expire(gateway->view.shifts.pins, now_us - session_us);
}

static void close_caller_listener(struct gateway *gateway)
{
	if (!gateway->is_listening)
		return;
	gateway->is_listening = false;
	uv_close((uv_handle_t *)&gateway->caller_listener, NULL);
}

static void finish(struct gateway *gateway, enum gateway_exit exit)
{
	gateway->exit = exit;
	uv_stop(&gateway->loop);
}

static enum gateway_exit stop_result(const struct gateway *gateway)
{
	return gateway->has_stopped_requests ? GATEWAY_STOP_TIMED_OUT : GATEWAY_STOPPED;
}

static void on_stop_timer(uv_timer_t *timer)
{
	struct gateway *gateway = timer->data;
	const struct dw_graceful_shutdown *stop = &gateway->router.stop;
	uint64_t now_us = dw_clock_now_us();

	if (now_us >= stop->end_at_us && gateway->router.in_progress > 0) {
		gateway->has_stopped_requests = true;
		caller_list_stop_requests(&gateway->callers);
	}
	if (now_us >= gateway->stop_exit_at_us) {
		finish(gateway, stop_result(gateway));
		return;
	}
	if (now_us < stop->started_at_us + BALANCER_NOTICE_MS * DW_US_PER_MS)
		return;
	close_caller_listener(gateway);
	if (gateway->router.in_progress > 0)
		return;
	caller_list_close_idle(&gateway->callers);
	if (gateway->callers.count == 0)
		finish(gateway, stop_result(gateway));
}

static void on_terminate(uv_signal_t *signal, int number)
{
	struct gateway *gateway = signal->data;

	struct dw_graceful_shutdown *stop = &gateway->router.stop;

	if (stop->started_at_us > 0)
		return;
	stop->started_at_us = dw_clock_now_us();
	peers_leave(&gateway->view.peers);
	stop->end_at_us = stop->started_at_us + gateway->settings.stop_timeout_ms * DW_US_PER_MS *
							STOP_DRAIN_PERMILLE / 1000;
	gateway->stop_exit_at_us = stop->started_at_us + gateway->settings.stop_timeout_ms *
								 DW_US_PER_MS * STOP_END_PERMILLE /
								 1000;
	dw_log_event(&gateway->log, DW_EVENT_STOPPING, DW_INT("signal", number),
		     DW_INT("in_progress", gateway->router.in_progress));
	uv_timer_start(&gateway->stop_timer, on_stop_timer, STOP_POLL_MS, STOP_POLL_MS);
}

static void on_reload(uv_signal_t *signal, int number)
{
	struct gateway *gateway = signal->data;
	struct gateway_settings settings;

	if (gateway_settings_load(&settings, gateway->settings_path, stderr) != DW_OK) {
		dw_log_event(&gateway->log, DW_EVENT_INPUT_REFUSED,
			     DW_STR("key", gateway->settings_path),
			     DW_STR("reason", dw_last_message()));
		return;
	}
	/* The instance name and the peer address are in use and can't change while the process runs. */
	memcpy(settings.instance, gateway->settings.instance, sizeof(settings.instance));
	settings.peer_address = gateway->settings.peer_address;
	gateway->settings = settings;
	set_caller_limits(gateway);
	dw_view_source_set_limit(&gateway->view.source, gateway_settings_change_us(&settings));
	dw_log_event(&gateway->log, DW_EVENT_SETTINGS_RELOADED,
		     DW_STR("path", gateway->settings_path));
}

static void start_signal(struct gateway *gateway, uv_signal_t *signal, uv_signal_cb callback,
			 int number)
{
	uv_signal_init(&gateway->loop, signal);
	signal->data = gateway;
	uv_signal_start(signal, callback, number);
}

static void start_timers(struct gateway *gateway)
{
	uv_timer_init(&gateway->loop, &gateway->sweep);
	gateway->sweep.data = gateway;
	uv_timer_start(&gateway->sweep, on_sweep, SWEEP_PERIOD_MS, SWEEP_PERIOD_MS);
	uv_timer_init(&gateway->loop, &gateway->stop_timer);
	gateway->stop_timer.data = gateway;
}

static bool is_reader(void *owner)
{
	struct gateway *gateway = owner;

	return gateway->view.peers.membership && dw_view_source_is_reader(&gateway->view.source) &&
	       gateway->view.is_store_reached;
}

/* The start of this instance's part in reading the store. Without seeds it waits for nobody. */
static void delay_first_read(struct gateway *gateway)
{
	struct dw_view_source *source = &gateway->view.source;

	source->is_seed = peers_is_seed(&gateway->view.peers);
	source->has_seeds = peers_seed_count(&gateway->view.peers) > 0;
	if (source->has_seeds)
		source->started_at_us += router_random(&gateway->router) % START_SPREAD_US;
	else
		source->started_at_us = 0;
}

static void start_store(struct gateway *gateway)
{
	uint64_t revocation_us = gateway->settings.revocation_ms * DW_US_PER_MS;
	uint64_t max_wait_us = dw_freshness_max_wait_us(revocation_us);
	uint64_t poll_wait_us = gateway->view.source.timing.poll_wait_us;
	struct metadata_store_options options = {
		.loop = &gateway->loop,
		.address = gateway->settings.store,
		.max_poll_wait_us = poll_wait_us < max_wait_us ? poll_wait_us : max_wait_us,
	};

	gateway->store = metadata_store_new(&options);
	store_sync_init(&gateway->sync, &gateway->loop, gateway->store, &gateway->view,
			router_random(&gateway->router));
	delay_first_read(gateway);
	store_sync_read_copy(&gateway->sync);
	view_sync_start(&gateway->view_sync, &gateway->loop, &gateway->view, &gateway->sync);
	reader_key_start(&gateway->view.reader_key, &gateway->loop, gateway->store, is_reader,
			 gateway);
	era_guard_start(&gateway->view.era_guard, &gateway->loop, gateway->store,
			router_random(&gateway->router));
	crash_guard_start(&gateway->view.guard, &gateway->loop, gateway->store,
			  router_random(&gateway->router));
	shifts_start(&gateway->view.shifts, &gateway->loop, gateway->store,
		     router_random(&gateway->router));
}

static void on_place(void *owner, const struct dw_view_place *place,
		     const struct dw_view_member *members, uint32_t count)
{
	struct gateway *gateway = owner;

	digest_exchange_place(&gateway->digest_exchange, members, count);
	dw_view_source_place(&gateway->view.source, place);
}

static void on_digest(void *owner, const struct dw_member *from, enum peers_digest kind,
		      const uint8_t *bytes, size_t len)
{
	struct gateway *gateway = owner;

	digest_exchange_receive(&gateway->digest_exchange, from, kind, bytes, len);
}

static const struct peers_callbacks peers_callbacks = { on_place, on_digest };

static void on_confirmed(void *owner)
{
	struct gateway *gateway = owner;

	view_server_confirmed(&gateway->view_server);
}

static enum dw_status start_peers(struct gateway *gateway)
{
	struct view *view = &gateway->view;

	view->on_confirmed = on_confirmed;
	view->on_confirmed_owner = gateway;
	if (peers_start(&view->peers, &gateway->loop, router_random(&gateway->router),
			&peers_callbacks, gateway) != DW_OK ||
	    view_server_start(&gateway->view_server, &gateway->loop, view) != DW_OK)
		return DW_UNAVAILABLE;
	digest_exchange_start(&gateway->digest_exchange, &gateway->loop, view);
	return DW_OK;
}

static enum dw_status start(struct gateway *gateway)
{
	signal(SIGPIPE, SIG_IGN);
	set_caller_limits(gateway);
	uv_loop_init(&gateway->loop);
	view_init(&gateway->view, &gateway->settings, &gateway->log, &gateway->counters);
	router_init(&gateway->router, &gateway->loop, &gateway->view);
	if (open_listeners(gateway) != DW_OK || start_peers(gateway) != DW_OK)
		return DW_UNAVAILABLE;
	gateway->is_listening = true;
	start_signal(gateway, &gateway->sigterm, on_terminate, SIGTERM);
	start_signal(gateway, &gateway->sigint, on_terminate, SIGINT);
	start_signal(gateway, &gateway->sighup, on_reload, SIGHUP);
	start_timers(gateway);
	start_store(gateway);
	return DW_OK;
}

enum gateway_exit gateway_run(const struct gateway_settings *settings, const char *path)
{
	struct gateway *gateway = calloc(1, sizeof(*gateway));
	enum gateway_exit exit;

	if (!gateway)
		abort();
	gateway->settings = *settings;
	gateway->settings_path = path;
	dw_log_init(&gateway->log, stdout, settings->instance, DW_LEVEL_INFO);
	dw_log_use_bounded_fd(&gateway->log, STDOUT_FILENO, MAX_LOG_LINES_PER_S);
	if (start(gateway) != DW_OK) {
		fprintf(stderr, "wharf-gateway: %s\n", dw_last_message());
		return GATEWAY_START_FAILED;
	}
	dw_log_event(&gateway->log, DW_EVENT_STARTED,
		     DW_STR("failure_domain", settings->failure_domain),
		     DW_STR("version", DW_VERSION));
	uv_run(&gateway->loop, UV_RUN_DEFAULT);
	exit = gateway->exit;
	dw_log_event(&gateway->log, DW_EVENT_STOPPED, DW_INT("exit", exit),
		     DW_INT("in_progress", gateway->router.in_progress));
	/* The process exits now; the system frees its memory and closes its connections. */
	return exit;
}
