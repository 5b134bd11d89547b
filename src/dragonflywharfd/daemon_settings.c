#include "dragonflywharfd/daemon_settings.h"

#include <string.h>

#define FIELD(member) offsetof(struct daemon_settings, member)

static const struct dw_setting settings_table[] = {
	{ "instance", DW_SETTING_NAME, FIELD(instance), true, 0, 0, NULL },
	{ "failure_domain", DW_SETTING_NAME, FIELD(failure_domain), true, 0, 0, NULL },
	{ "ip", DW_SETTING_IP, FIELD(ip), true, 0, 0, NULL },
	{ "caller_port", DW_SETTING_INTEGER, FIELD(caller_port), false, 0, 65535, "8080" },
	{ "operator_port", DW_SETTING_INTEGER, FIELD(operator_port), false, 0, 65535, "8081" },
	{ "peer_port", DW_SETTING_INTEGER, FIELD(peer_port), false, 0, 65535, "8082" },
	{ "advertised_peer", DW_SETTING_ENDPOINT, FIELD(advertised_peer), false, 0, 0, NULL },
	{ "seeds", DW_SETTING_ENDPOINTS, FIELD(seeds), false, 0, 0, NULL },
	{ "store", DW_SETTING_ENDPOINTS, FIELD(store), true, 0, 0, NULL },
	{ "instance_list", DW_SETTING_ENDPOINT, FIELD(instance_list), false, 0, 0, NULL },
	{ "rater", DW_SETTING_ENDPOINT, FIELD(rater), false, 0, 0, NULL },
	{ "cluster_key", DW_SETTING_KEY, FIELD(cluster_key), true, 0, 0, NULL },
	{ "operator_key_hash", DW_SETTING_KEY, FIELD(operator_key_hash), true, 0, 0, NULL },
	{ "log_file", DW_SETTING_TEXT, FIELD(log_file), false, 0, 0, "-" },
	{ "log_level", DW_SETTING_TEXT, FIELD(log_level), false, 0, 0, "info" },
	{ "max_body_bytes", DW_SETTING_INTEGER, FIELD(max_body_bytes), false, 1024, 67108864,
	  "4194304" },
	{ "queue_capacity", DW_SETTING_INTEGER, FIELD(queue_capacity), false, 1, 1000000, "4096" },
	{ "request_timeout_ms", DW_SETTING_INTEGER, FIELD(request_timeout_ms), false, 100, 3600000,
	  "120000" },
	{ "stop_timeout_ms", DW_SETTING_INTEGER, FIELD(stop_timeout_ms), false, 0, 3600000,
	  "150000" },
	{ "report_period_ms", DW_SETTING_INTEGER, FIELD(report_period_ms), false, 20, 60000,
	  "500" },
	{ "rated_permille", DW_SETTING_INTEGER, FIELD(rated_permille), false, 0, 1000, "250" },
	{ "list_period_ms", DW_SETTING_INTEGER, FIELD(list_period_ms), false, 20, 60000, "1000" },
	{ "caller_memory_mb", DW_SETTING_INTEGER, FIELD(caller_memory_mb), false, 0, 100000000,
	  "0" },
	{ "caller_connections", DW_SETTING_INTEGER, FIELD(caller_connections), false, 0, 100000000,
	  "0" },
	{ NULL, DW_SETTING_TEXT, 0, false, 0, 0, NULL },
};

static bool is_log_level(const char *name)
{
	static const char *const levels[] = { "debug", "info", "warning", "error" };

	for (size_t i = 0; i < sizeof(levels) / sizeof(levels[0]); i++) {
		if (strcmp(levels[i], name) == 0)
			return true;
	}
	return false;
}

enum dw_status daemon_settings_load(struct daemon_settings *settings, const char *path,
				    FILE *errors)
{
	enum dw_status status;

	memset(settings, 0, sizeof(*settings));
	status = dw_settings_load(path, settings_table, settings, errors);
	if (status != DW_OK)
		return status;
	if (!is_log_level(settings->log_level)) {
		fprintf(errors, "%s: log_level: expected debug, info, warning or error\n", path);
		return dw_fail(DW_INVALID_ARGUMENT, "log_level: unknown level %s",
			       settings->log_level);
	}
	if (settings->store.count == 0) {
		fprintf(errors, "%s: store: expected at least one \"ip:port\"\n", path);
		return dw_fail(DW_INVALID_ARGUMENT, "store: no endpoint is given");
	}
	return DW_OK;
}
