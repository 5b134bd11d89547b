#include "wharf-gateway/gateway_settings.h"

#include <string.h>

#define FIELD(member) offsetof(struct gateway_settings, member)

/* DW_SETTING_PERMILLE stores thousandths: a setting in seconds is stored in milliseconds. */
static const struct dw_setting table[] = {
	{ "instance", DW_SETTING_TEXT, FIELD(instance), true, 0, 0, NULL },
	{ "failure_domain", DW_SETTING_TEXT, FIELD(failure_domain), true, 0, 0, NULL },
	{ "caller_address", DW_SETTING_ENDPOINT, FIELD(caller_address), true, 0, 0, NULL },
	{ "readiness_address", DW_SETTING_ENDPOINT, FIELD(readiness_address), true, 0, 0, NULL },
	{ "metrics_address", DW_SETTING_ENDPOINT, FIELD(metrics_address), false, 0, 0, NULL },
	{ "peer_address", DW_SETTING_ENDPOINT, FIELD(peer_address), false, 0, 0, NULL },
	{ "store", DW_SETTING_ENDPOINT, FIELD(store), true, 0, 0, NULL },
	{ "store_writes_per_s", DW_SETTING_INTEGER, FIELD(store_writes_per_s), false, 1, 1000000,
	  "400" },
	{ "store_reads_per_s", DW_SETTING_INTEGER, FIELD(store_reads_per_s), false, 1, 1000000,
	  "2000" },
	{ "log_level", DW_SETTING_TEXT, FIELD(log_level), false, 0, 0, "info" },
	{ "stop_timeout_s", DW_SETTING_PERMILLE, FIELD(stop_timeout_ms), false, 100, 3600000,
	  "30000" },
	{ "change_applied_ms", DW_SETTING_INTEGER, FIELD(change_applied_ms), false, 100, 3600000,
	  "2000" },
	{ "revocation_ms", DW_SETTING_INTEGER, FIELD(revocation_ms), false, 100, 3600000, "5000" },
	{ "keys_fail_closed", DW_SETTING_BOOL, FIELD(keys_fail_closed), false, 0, 0, NULL },
	{ "retry_window_s", DW_SETTING_PERMILLE, FIELD(retry_window_ms), false, 100, 3600000,
	  "10000" },
	{ "retry_ratio", DW_SETTING_PERMILLE, FIELD(retry_ratio_permille), false, 0, 10000, "100" },
	{ "retry_slack", DW_SETTING_INTEGER, FIELD(retry_slack), false, 0, 1000000, "10" },
	{ "cold_overshoot", DW_SETTING_PERMILLE, FIELD(cold_overshoot_permille), false, 0, 100000,
	  "1000" },
	{ "cold_slack", DW_SETTING_INTEGER, FIELD(cold_slack), false, 0, 1000000, "0" },
	{ "rollout_share", DW_SETTING_PERMILLE, FIELD(rollout_share_permille), false, 0, 1000,
	  "100" },
	{ "rollout_slack", DW_SETTING_INTEGER, FIELD(rollout_slack), false, 0, 1000000, "10" },
	{ "quality_target", DW_SETTING_PERMILLE, FIELD(quality_target_permille), false, 0, 1000,
	  "840" },
	{ "session_timeout_s", DW_SETTING_PERMILLE, FIELD(session_timeout_ms), false, 0, 86400000,
	  "5000" },
	{ NULL, DW_SETTING_TEXT, 0, false, 0, 0, NULL },
};

enum dw_status gateway_settings_load(struct gateway_settings *settings, const char *path,
				     FILE *errors)
{
	memset(settings, 0, sizeof(*settings));
	return dw_settings_load(path, table, settings, errors);
}
