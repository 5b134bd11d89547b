/**
 * @file daemon_settings.h
 * Settings of the daemon, read from a JSON file. docs/SETTINGS.md describes each field.
 */
#ifndef DAEMON_SETTINGS_H
#define DAEMON_SETTINGS_H

#include "base/settings.h"

struct daemon_settings {
	char instance[DW_SETTINGS_TEXT_BYTES];
	char failure_domain[DW_SETTINGS_TEXT_BYTES];
	char ip[DW_SETTINGS_TEXT_BYTES];
	uint64_t caller_port;
	uint64_t operator_port;
	uint64_t peer_port;
	/** Address at which peers reach this daemon; ip and peer_port if not set. */
	struct dw_endpoint advertised_peer;
	struct dw_endpoint_list seeds;
	struct dw_endpoint_list store;
	struct dw_endpoint instance_list;
	struct dw_endpoint rater;
	uint8_t cluster_key[DW_SETTINGS_KEY_BYTES];
	uint8_t operator_key_hash[DW_SETTINGS_KEY_BYTES];
	char log_file[DW_SETTINGS_TEXT_BYTES];
	char log_level[DW_SETTINGS_TEXT_BYTES];
	uint64_t max_body_bytes;
	uint64_t caller_memory_mb; /**< held for callers; 0: derived from the machine's */
	uint64_t caller_connections; /**< of callers; 0: derived from RLIMIT_NOFILE */
	uint64_t queue_capacity;
	uint64_t request_timeout_ms;
	uint64_t stop_timeout_ms;
	uint64_t report_period_ms;
	/** Share of the answers returned to callers that is rated in the background. */
	uint64_t rated_permille;
	uint64_t list_period_ms;
};

/** Reads and validates the file; writes each error to @p errors. */
enum dw_status daemon_settings_load(struct daemon_settings *settings, const char *path,
				    FILE *errors);

#endif
