#include "wharf-gateway/gateway_settings.h"

#include <string.h>

#define FIELD(member) offsetof(struct gateway_settings, member)

/* The platform's limits may be fractions and are rounded to the side on which they are kept. Those in
 * thousandths are stored in milliseconds if the setting is in seconds. */
static const struct dw_setting table[] = {
	{ "instance", DW_SETTING_TEXT, FIELD(instance), true, 0, 0, NULL },
	{ "failure_domain", DW_SETTING_TEXT, FIELD(failure_domain), true, 0, 0, NULL },
	{ "caller_address", DW_SETTING_ENDPOINT, FIELD(caller_address), true, 0, 0, NULL },
	{ "readiness_address", DW_SETTING_ENDPOINT, FIELD(readiness_address), true, 0, 0, NULL },
	{ "metrics_address", DW_SETTING_ENDPOINT, FIELD(metrics_address), false, 0, 0, NULL },
	{ "peer_address", DW_SETTING_ENDPOINT, FIELD(peer_address), false, 0, 0, NULL },
	{ "seeds", DW_SETTING_ENDPOINTS, FIELD(seeds), false, 0, 0, NULL },
	{ "store", DW_SETTING_ENDPOINT, FIELD(store), true, 0, 0, NULL },
	{ "store_writes_per_s", DW_SETTING_FLOOR, FIELD(store_writes_per_s), false, 1, 1000000,
	  "400" },
	{ "store_reads_per_s", DW_SETTING_FLOOR, FIELD(store_reads_per_s), false, 1, 1000000,
	  "2000" },
	{ "log_level", DW_SETTING_TEXT, FIELD(log_level), false, 0, 0, "info" },
	{ "stop_timeout_s", DW_SETTING_PERMILLE_FLOOR, FIELD(stop_timeout_ms), false, 100, 3600000,
	  "30000" },
	{ "change_applied_ms", DW_SETTING_FLOOR, FIELD(change_applied_ms), false, 100, 3600000,
	  "2000" },
	{ "config_applied_ms", DW_SETTING_FLOOR, FIELD(config_applied_ms), false, 100, 3600000,
	  "3600000" },
	{ "evacuated_ms", DW_SETTING_FLOOR, FIELD(evacuated_ms), false, 100, 3600000, "3600000" },
	{ "rolled_back_ms", DW_SETTING_FLOOR, FIELD(rolled_back_ms), false, 100, 3600000,
	  "3600000" },
	{ "revocation_ms", DW_SETTING_FLOOR, FIELD(revocation_ms), false, 100, 3600000, "5000" },
	{ "engine_heartbeat_ms", DW_SETTING_FLOOR, FIELD(engine_heartbeat_ms), false, 0, 3600000,
	  "0" },
	{ "keys_fail_closed", DW_SETTING_BOOL, FIELD(keys_fail_closed), false, 0, 0, NULL },
	{ "retry_window_s", DW_SETTING_PERMILLE_CEILING, FIELD(retry_window_ms), false, 100,
	  3600000, "10000" },
	{ "retry_ratio", DW_SETTING_PERMILLE_FLOOR, FIELD(retry_ratio_permille), false, 0, 10000,
	  "100" },
	{ "retry_slack", DW_SETTING_FLOOR, FIELD(retry_slack), false, 0, 1000000, "10" },
	{ "cold_overshoot", DW_SETTING_PERMILLE_FLOOR, FIELD(cold_overshoot_permille), false, 0,
	  100000, "1000" },
	{ "cold_slack", DW_SETTING_FLOOR, FIELD(cold_slack), false, 0, 1000000, "0" },
	{ "rollout_share", DW_SETTING_PERMILLE_FLOOR, FIELD(rollout_share_permille), false, 0, 1000,
	  "100" },
	{ "rollout_slack", DW_SETTING_FLOOR, FIELD(rollout_slack), false, 0, 1000000, "10" },
	{ "quality_target", DW_SETTING_PERMILLE_CEILING, FIELD(quality_target_permille), false, 0,
	  1000, "840" },
	{ "session_timeout_s", DW_SETTING_PERMILLE_CEILING, FIELD(session_timeout_ms), false, 0,
	  86400000, "5000" },
	{ "hold_by_load", DW_SETTING_BOOL, FIELD(hold_by_load), false, 0, 0, NULL },
	{ "place_by_cost", DW_SETTING_BOOL, FIELD(place_by_cost), false, 0, 0, NULL },
	{ "machine_memory_mb", DW_SETTING_FLOOR, FIELD(machine_memory_mb), false, 0, 100000000,
	  "0" },
	{ "machine_descriptors", DW_SETTING_FLOOR, FIELD(machine_descriptors), false, 0, 100000000,
	  "0" },
	{ "caller_memory_mb", DW_SETTING_FLOOR, FIELD(caller_memory_mb), false, 0, 100000000, "0" },
	{ "caller_connections", DW_SETTING_FLOOR, FIELD(caller_connections), false, 0, 100000000,
	  "0" },
	{ NULL, DW_SETTING_TEXT, 0, false, 0, 0, NULL },
};

/* An entry is removed after three heartbeats without one; one more, and as much as the store may be late. */
#define LEASE_HEARTBEATS 4
#define LEASE_LATE_MS 1000

static uint64_t min_u64(uint64_t a, uint64_t b)
{
	return a < b ? a : b;
}

enum dw_status gateway_settings_load(struct gateway_settings *settings, const char *path,
				     FILE *errors)
{
	memset(settings, 0, sizeof(*settings));
	return dw_settings_load(path, table, settings, errors);
}

uint64_t gateway_settings_change_us(const struct gateway_settings *settings)
{
	uint64_t least_ms = min_u64(settings->change_applied_ms, settings->config_applied_ms);

	least_ms = min_u64(least_ms, settings->evacuated_ms);
	least_ms = min_u64(least_ms, settings->rolled_back_ms);
	return least_ms * 1000;
}

uint64_t gateway_settings_engine_lease_us(const struct gateway_settings *settings)
{
	if (settings->engine_heartbeat_ms == 0)
		return 0;
	return (settings->engine_heartbeat_ms * LEASE_HEARTBEATS + LEASE_LATE_MS) * 1000;
}
