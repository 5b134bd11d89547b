#include "gateway.h"

#include <fcntl.h>
#include <inttypes.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include "harness.h"

#define PROGRAM "target/wharf-gateway"
#define GATEWAYS_MAX 8
#define READY_TIMEOUT_MS 10000
#define POLL_MS 50

static struct gateway *started[GATEWAYS_MAX];
static uint32_t started_count;

static void write_settings(const struct gateway *gateway, const struct gateway_options *options)
{
	uint16_t peer_port = options->peer_port > 0 ? options->peer_port : free_port();
	uint32_t address = options->number + 1;
	char seeds[64];
	FILE *file = fopen(gateway->settings_path, "w");

	if (!file)
		harness_give_up("the settings can't be written");
	if (options->peer_port > 0)
		snprintf(seeds, sizeof(seeds), "\"127.0.0.1:%u\", \"127.0.0.2:%u\"", peer_port,
			 peer_port);
	else
		snprintf(seeds, sizeof(seeds), "\"127.0.0.1:%u\"", peer_port);
	fprintf(file,
		"{\n\"change_applied_ms\": 2000, \"config_applied_ms\": 2000, \"evacuated_ms\": "
		"5000,\n"
		"\"rolled_back_ms\": 5000, \"revocation_ms\": 5000, \"keys_fail_closed\": true,\n"
		"\"stop_timeout_s\": 8, \"retry_window_s\": 10, \"retry_ratio\": 0.9, "
		"\"retry_slack\": 58,\n"
		"\"cold_overshoot\": 1.5, \"cold_slack\": 5, \"rollout_share\": 0.15, "
		"\"rollout_slack\": 30,\n"
		"\"session_timeout_s\": 5, \"place_by_cost\": true, \"machine_memory_mb\": %" PRIu32
		",\n\"machine_descriptors\": 4100, \"seeds\": [%s],\n"
		"\"store\": \"127.0.0.1:%u\", \"store_writes_per_s\": 400, \"store_reads_per_s\": "
		"2000,\n"
		"\"peer_address\": \"127.0.0.%u:%u\", \"metrics_address\": \"127.0.0.1:%u\",\n"
		"\"caller_address\": \"127.0.0.1:%u\", \"readiness_address\": \"127.0.0.1:%u\",\n"
		"\"failure_domain\": \"haarlem\", \"instance\": \"front-haarlem-%u\"\n}\n",
		options->memory_mb, seeds, options->store_port, address, peer_port, free_port(),
		gateway->caller_port, gateway->readiness_port, address);
	fclose(file);
}

_Noreturn static void run_program(const struct gateway *gateway)
{
	char *const environment[] = { "PATH=/usr/bin:/bin", "LANG=C", NULL };
	char *const arguments[] = { PROGRAM, "--settings", (char *)gateway->settings_path, NULL };
	int log = open(gateway->log_path, O_WRONLY | O_CREAT | O_TRUNC, 0600);

	/* It ends with the script, however that ends. */
	prctl(PR_SET_PDEATHSIG, SIGKILL);
	dup2(log, STDOUT_FILENO);
	dup2(log, STDERR_FILENO);
	execve(PROGRAM, arguments, environment);
	_exit(127);
}

void gateway_start(struct gateway *gateway, const struct gateway_options *options)
{
	uint64_t deadline_ms = now_ms() + READY_TIMEOUT_MS;

	gateway->caller_port = free_port();
	gateway->readiness_port = free_port();
	snprintf(gateway->settings_path, sizeof(gateway->settings_path), "%s/gateway-%u.json",
		 harness_folder(), started_count);
	snprintf(gateway->log_path, sizeof(gateway->log_path), "%s/gateway-%u.log",
		 harness_folder(), started_count);
	write_settings(gateway, options);
	gateway->pid = fork();
	if (gateway->pid < 0)
		harness_give_up("no process for the gateway");
	if (gateway->pid == 0)
		run_program(gateway);
	started[started_count++] = gateway;
	while (!gateway_is_ready(gateway)) {
		if (now_ms() >= deadline_ms || !gateway_runs(gateway))
			harness_give_up("the gateway doesn't get ready");
		sleep_ms(POLL_MS);
	}
	record("the gateway is ready");
}

bool gateway_is_ready(const struct gateway *gateway)
{
	struct message answer;
	int status;

	if (call(gateway->readiness_port,
		 "GET /dragonflywharf/ready HTTP/1.1\r\nHost: gateway\r\n\r\n", 1000,
		 &answer) != MESSAGE_COMPLETE)
		return false;
	status = answer.status;
	message_free(&answer);
	return status == 200;
}

bool gateway_runs(const struct gateway *gateway)
{
	siginfo_t info = { 0 };

	return waitid(P_PID, (id_t)gateway->pid, &info, WEXITED | WNOHANG | WNOWAIT) == 0 &&
	       info.si_pid == 0;
}

uint64_t gateway_memory_kb(const struct gateway *gateway)
{
	char line[256];
	uint64_t kb = 0;
	FILE *file;

	snprintf(line, sizeof(line), "/proc/%d/status", (int)gateway->pid);
	file = fopen(line, "r");
	if (!file)
		return 0;
	while (fgets(line, sizeof(line), file)) {
		if (strncmp(line, "VmRSS:", 6) == 0)
			kb = strtoull(line + 6, NULL, 10);
	}
	fclose(file);
	return kb;
}

void gateways_end(void)
{
	const char *kept = getenv("KEEP_LOG");

	for (uint32_t i = 0; i < started_count; i++) {
		kill(started[i]->pid, SIGKILL);
		waitpid(started[i]->pid, NULL, 0);
		unlink(started[i]->settings_path);
		if (!kept)
			unlink(started[i]->log_path);
	}
	started_count = 0;
}
