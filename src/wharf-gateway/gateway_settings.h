/**
 * @file gateway_settings.h
 * The settings file of wharf-gateway. docs/SETTINGS.md lists the fields.
 */
#ifndef GATEWAY_GATEWAY_SETTINGS_H
#define GATEWAY_GATEWAY_SETTINGS_H

#include "base/settings.h"

struct gateway_settings {
	char instance[DW_SETTINGS_TEXT_BYTES];
	char failure_domain[DW_SETTINGS_TEXT_BYTES];
	struct dw_endpoint caller_address;
	struct dw_endpoint readiness_address;
	struct dw_endpoint metrics_address; /**< port 0: none */
	/** UDP for membership and load digests, TCP for the view of the store; port 0: none */
	struct dw_endpoint peer_address;
	/** Instances to contact first; only their IPs are used, as all have the same peer port. */
	struct dw_endpoint_list seeds;
	struct dw_endpoint store;
	uint64_t store_writes_per_s; /**< limit for all instances together; no effect yet */
	uint64_t store_reads_per_s; /**< limit for all instances together; no effect yet */
	char log_level[DW_SETTINGS_TEXT_BYTES]; /**< no effect yet: info and above are written */
	uint64_t stop_timeout_ms; /**< from the stop signal to the exit */
	/** Time limits for applying changes in the store: draining engines, the configuration,
	 * evacuations of failure domains and rollbacks. */
	uint64_t change_applied_ms;
	uint64_t config_applied_ms;
	uint64_t evacuated_ms;
	uint64_t rolled_back_ms;
	uint64_t revocation_ms; /**< time limit for refusing a revoked key */
	uint64_t engine_heartbeat_ms; /**< between the writes of an engine's entry; 0: not known */
	bool keys_fail_closed; /**< refuse API keys while the configuration may be outdated */
	uint64_t retry_window_ms;
	uint64_t retry_ratio_permille; /**< retries allowed per request in the window */
	uint64_t retry_slack; /**< additional retries of all instances together */
	uint64_t cold_overshoot_permille; /**< a cold engine's rate limit is multiplied by this */
	uint64_t cold_slack; /**< added to a cold engine's rate limit, requests a second */
	uint64_t rollout_share_permille; /**< share of requests for a bad version; no effect yet */
	uint64_t rollout_slack; /**< additional requests for a bad version; no effect yet */
	uint64_t quality_target_permille; /**< least chance that a small model's answer is good */
	bool hold_by_load; /**< hold requests back while the engines report too much work */
	bool place_by_cost; /**< choose engines by the work that requests bring and engines have */
	uint64_t session_timeout_ms; /**< longest pause between two requests of a session */
	uint64_t machine_memory_mb; /**< 0: as /proc/meminfo says */
	uint64_t machine_descriptors; /**< 0: as RLIMIT_NOFILE says */
	uint64_t caller_memory_mb; /**< held for callers; 0: derived */
	uint64_t caller_connections; /**< of callers; 0: derived */
};

/**
 * Reads and checks the settings file; writes one line to @p errors for each fault.
 * @return DW_OK, DW_NOT_FOUND or DW_INVALID_ARGUMENT
 */
enum dw_status gateway_settings_load(struct gateway_settings *settings, const char *path,
				     FILE *errors);

/** The shortest of the time limits for applying a change in the store, in microseconds. */
uint64_t gateway_settings_change_us(const struct gateway_settings *settings);

/** After this time without a heartbeat an engine's entry has surely been removed; 0: not known. */
uint64_t gateway_settings_engine_lease_us(const struct gateway_settings *settings);

#endif
