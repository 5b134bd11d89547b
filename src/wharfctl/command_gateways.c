#include "wharfctl/command_gateways.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <json-c/json.h>

#include "base/clock.h"

#define CALL_TIMEOUT_US (3 * DW_US_PER_S)
#define METRICS_MAX_BYTES (1U << 20)
#define METRIC_PREFIX "\ndragonflywharf_"

enum gateway_field {
	FIELD_ERA,
	FIELD_REVISION,
	FIELD_CONFIG_VERSION,
	FIELD_CONFIG_AGE_MS,
	FIELD_KEPT,
	FIELD_RESTORES,
	FIELD_REREADS,
	FIELD_IGNORED,
	FIELD_IS_BEHIND,
	FIELD_IS_ADMITTED,
	FIELD_COUNT
};

static const struct {
	const char *name; /* in the output */
	const char *metric;
} fields[FIELD_COUNT] = {
	[FIELD_ERA] = { "era", "view_era" },
	[FIELD_REVISION] = { "revision", "view_revision" },
	[FIELD_CONFIG_VERSION] = { "config", "config_version" },
	[FIELD_CONFIG_AGE_MS] = { "age_ms", "config_age_ms" },
	[FIELD_KEPT] = { "kept", "view_kept" },
	[FIELD_RESTORES] = { "restores", "store_restores" },
	[FIELD_REREADS] = { "rereads", "view_rereads" },
	[FIELD_IGNORED] = { "ignored", "view_records_ignored" },
	[FIELD_IS_BEHIND] = { "behind", "view_answer_behind" },
	[FIELD_IS_ADMITTED] = { "admitted", "view_admitted" },
};

struct gateway_status {
	bool is_done;
	enum dw_status status;
	uint64_t values[FIELD_COUNT];
};

static bool read_metric(const char *text, const char *metric, uint64_t *value)
{
	char line[96];
	const char *at;

	snprintf(line, sizeof(line), METRIC_PREFIX "%s ", metric);
	at = strstr(text, line);
	if (!at)
		return false;
	*value = strtoull(at + strlen(line), NULL, 10);
	return true;
}

static void read_metrics(struct gateway_status *gateway, const char *text)
{
	for (int i = 0; i < FIELD_COUNT; i++) {
		if (!read_metric(text, fields[i].metric, &gateway->values[i])) {
			gateway->status =
				dw_fail(DW_UPSTREAM_FAILED, "no metric %s", fields[i].metric);
			return;
		}
	}
}

static void on_fetched(const struct dw_http_fetch_result *result, void *data)
{
	struct gateway_status *gateway = data;

	gateway->is_done = true;
	gateway->status = result->result.status;
	if (gateway->status == DW_OK && result->result.http_status != 200)
		gateway->status =
			dw_fail(DW_UPSTREAM_FAILED, "HTTP status %d", result->result.http_status);
	if (gateway->status == DW_OK)
		read_metrics(gateway, result->body);
}

static void fetch(struct operator_client *client, const struct dw_endpoint *address,
		  struct gateway_status *gateway)
{
	struct dw_http_call_options options = {
		.ip = address->ip,
		.port = address->port,
		.method = "GET",
		.path = "/metrics",
		.deadline_us = dw_clock_now_us() + CALL_TIMEOUT_US,
	};

	dw_http_fetch(client->http, &options, METRICS_MAX_BYTES, on_fetched, gateway);
	while (!gateway->is_done)
		uv_run(&client->loop, UV_RUN_ONCE);
}

static void print_text(const char *address, const struct gateway_status *gateway)
{
	printf("%-22s", address);
	if (gateway->status != DW_OK) {
		printf(" %s\n", dw_status_name(gateway->status));
		return;
	}
	for (int i = 0; i < FIELD_COUNT; i++)
		printf(" %s %" PRIu64, fields[i].name, gateway->values[i]);
	printf("\n");
}

static void print_json(const char *address, const struct gateway_status *gateway)
{
	struct json_object *root = json_object_new_object();

	json_object_object_add(root, "address", json_object_new_string(address));
	json_object_object_add(root, "status",
			       json_object_new_string(dw_status_name(gateway->status)));
	for (int i = 0; gateway->status == DW_OK && i < FIELD_COUNT; i++)
		json_object_object_add(root, fields[i].name,
				       json_object_new_uint64(gateway->values[i]));
	puts(json_object_to_json_string_ext(root, JSON_C_TO_STRING_PLAIN));
	json_object_put(root);
}

static enum wharfctl_exit exit_of(const struct gateway_status *gateway)
{
	if (gateway->status != DW_OK)
		return WHARFCTL_UNREACHABLE;
	if (gateway->values[FIELD_IS_BEHIND] || !gateway->values[FIELD_IS_ADMITTED])
		return WHARFCTL_REFUSED;
	return WHARFCTL_DONE;
}

enum wharfctl_exit command_gateways(struct command_context *context)
{
	enum wharfctl_exit exit = WHARFCTL_DONE;

	for (int i = 0; i < context->argc; i++) {
		struct gateway_status gateway = { .status = DW_OK };
		struct dw_endpoint address;

		if (dw_endpoint_parse(context->argv[i], &address) != DW_OK) {
			fprintf(stderr, "wharfctl: gateways: %s\n", dw_last_message());
			return WHARFCTL_USAGE;
		}
		fetch(&context->client, &address, &gateway);
		if (context->json)
			print_json(context->argv[i], &gateway);
		else
			print_text(context->argv[i], &gateway);
		if (exit_of(&gateway) > exit)
			exit = exit_of(&gateway);
	}
	return exit;
}
