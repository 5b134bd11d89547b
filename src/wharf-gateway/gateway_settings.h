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
	struct dw_endpoint peer_address; /**< for datagrams of other instances; port 0: none */
	struct dw_endpoint store;
	uint64_t store_writes_per_s; /**< of all instances together */
	uint64_t store_reads_per_s;
	char log_level[DW_SETTINGS_TEXT_BYTES];
	uint64_t stop_timeout_ms; /**< from the signal to the end */
	uint64_t change_applied_ms; /**< within which a change in the store must be in force */
	uint64_t revocation_ms; /**< within which a revoked key must be refused */
	bool keys_fail_closed; /**< refuse keyed requests without fresh news of the configuration */
	uint64_t retry_window_ms;
	uint64_t retry_ratio_permille;
	uint64_t retry_slack; /**< of all instances together */
	uint64_t cold_overshoot_permille; /**< how far a cold engine's rate may be exceeded */
	uint64_t cold_slack; /**< and by how many requests besides */
	uint64_t rollout_share_permille; /**< of a service's requests that a bad version may get */
	uint64_t rollout_slack; /**< requests besides */
	uint64_t quality_target_permille; /**< how likely a smaller model's answer must be good */
	uint64_t session_timeout_ms; /**< between two requests of one session */
};

/** DW_OK, DW_NOT_FOUND, DW_INVALID_ARGUMENT; faults go to @p errors, a line each. */
enum dw_status gateway_settings_load(struct gateway_settings *settings, const char *path,
				     FILE *errors);

#endif
