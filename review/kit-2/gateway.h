/**
 * @file gateway.h
 * The program under test: started as a process of its own with the command of the deploy file.
 */
#ifndef REVIEW_GATEWAY_H
#define REVIEW_GATEWAY_H

#include <stdbool.h>
#include <stdint.h>
#include <sys/types.h>

struct gateway_options {
	uint16_t store_port;
	uint32_t memory_mb; /**< of its machine */
	uint32_t number; /**< from 0 on: instance N has the peer address 127.0.0.(N + 1) */
	uint16_t peer_port; /**< the same for all gateways; 0: there is only one */
};

struct gateway {
	pid_t pid;
	uint16_t caller_port;
	uint16_t readiness_port;
	char settings_path[512];
	char log_path[512];
};

/** Writes the settings as the deploy file's template does, starts the gateway and waits until it is ready. */
void gateway_start(struct gateway *gateway, const struct gateway_options *options);

/** Whether it answers the platform's question with 200. */
bool gateway_is_ready(const struct gateway *gateway);

/** Whether the process still runs. */
bool gateway_runs(const struct gateway *gateway);

/** Memory of the process in KB; 0 if it has ended. */
uint64_t gateway_memory_kb(const struct gateway *gateway);

/** Kills all gateways and removes their files. */
void gateways_end(void);

#endif
