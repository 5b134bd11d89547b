#include "dragonflywharfd/caller_api.h"

#include <string.h>

#include <sodium.h>

#include "base/machine_limits.h"
#include "dragonflywharfd/chat_request.h"
#include "dragonflywharfd/config_sync.h"
#include "dragonflywharfd/error_reply.h"
#include "dragonflywharfd/roster_sync.h"
#include "dragonflywharfd/service_request.h"

#define CHAT_PATH "/v1/chat/completions"
#define HEALTH_PATH "/healthz"
#define BEARER "Bearer "

static void refuse(struct daemon *daemon, struct dw_http_exchange *exchange, enum dw_status status,
		   const char *message)
{
	dw_counters_add(&daemon->counters, DW_COUNTER_REQUESTS_REFUSED, 1);
	dw_log_event(&daemon->log, DW_EVENT_REQUEST_REFUSED, DW_STR("path", dw_http_path(exchange)),
		     DW_STR("status", dw_status_name(status)), DW_STR("message", message),
		     DW_INT("not_run", 1));
	error_reply(exchange, status, NOT_RUN_PROVEN, message);
}

static const struct dw_organisation *authenticate(struct daemon *daemon,
						  struct dw_http_exchange *exchange)
{
	const char *header = dw_http_header(exchange, "authorization");
	uint8_t hash[DW_KEY_HASH_BYTES];

	if (!header || strncmp(header, BEARER, strlen(BEARER)) != 0)
		return NULL;
	header += strlen(BEARER);
	crypto_hash_sha256(hash, (const uint8_t *)header, strlen(header));
	return dw_ruleset_authenticate(daemon->ruleset, hash);
}

/*
 * Answers the load balancer's health check: healthy once a configuration is in force and the
 * instance is in the roster, unless the instance is stopping.
 */
static void answer_health(struct daemon *daemon, struct dw_http_exchange *exchange)
{
	if (daemon_is_stopping(daemon))
		error_reply(exchange, DW_UNAVAILABLE, NOT_RUN_PROVEN, "stopping");
	else if (!config_sync_is_ready(daemon->config_sync))
		error_reply(exchange, DW_NO_CONFIGURATION, NOT_RUN_PROVEN, "no configuration yet");
	else if (!roster_sync_is_member(daemon->roster_sync))
		error_reply(exchange, DW_UNAVAILABLE, NOT_RUN_PROVEN, "not in the roster yet");
	else
		dw_http_respond(exchange, 200, "text/plain", "ok\n", strlen("ok\n"));
}

static void on_request(struct dw_http_exchange *exchange, void *data)
{
	struct daemon *daemon = data;
	const char *path = dw_http_path(exchange);
	const struct dw_organisation *organisation;

	if (strcmp(path, HEALTH_PATH) == 0) {
		answer_health(daemon, exchange);
		return;
	}
	dw_counters_add(&daemon->counters, DW_COUNTER_REQUESTS, 1);
	if (daemon_is_stopping(daemon)) {
		refuse(daemon, exchange, DW_UNAVAILABLE, "this instance is stopping");
		return;
	}
	if (!config_sync_is_ready(daemon->config_sync)) {
		refuse(daemon, exchange, DW_NO_CONFIGURATION, "no configuration is in force yet");
		return;
	}
	/* An instance that isn't in the roster gets no permits: the request would time out. */
	if (!roster_sync_is_member(daemon->roster_sync)) {
		refuse(daemon, exchange, DW_UNAVAILABLE, "this instance is not in the roster yet");
		return;
	}
	organisation = authenticate(daemon, exchange);
	if (!organisation)
		refuse(daemon, exchange, DW_UNAUTHENTICATED, "unknown or missing bearer key");
	else if (strncmp(path, SERVICE_PREFIX, strlen(SERVICE_PREFIX)) == 0)
		service_request_start(daemon, exchange, organisation);
	else if (strcmp(path, CHAT_PATH) != 0)
		refuse(daemon, exchange, DW_NOT_FOUND, "no such path");
	else if (strcmp(dw_http_method(exchange), "POST") != 0)
		refuse(daemon, exchange, DW_INVALID_ARGUMENT, "method: expected POST");
	else
		chat_request_start(daemon, exchange, organisation);
}

enum dw_status caller_api_start(struct daemon *daemon)
{
	struct dw_http_options options = {
		.ip = daemon->settings.ip,
		.port = (uint16_t)daemon->settings.caller_port,
		.max_body_bytes = daemon->settings.max_body_bytes,
		.has_caller_limits = true,
		.caller_limits = machine_limits_read(0, 0),
		.handler = on_request,
		.data = daemon,
	};

	options.caller_limits.caller_bytes = machine_limits_mb(daemon->settings.caller_memory_mb);
	options.caller_limits.caller_connections = daemon->settings.caller_connections;

	return dw_http_server_start(&daemon->caller_server, &daemon->loop, &options);
}
