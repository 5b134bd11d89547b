/**
 * @file wharf-gateway.c
 * Main program of wharf-gateway, the daemon that forwards callers' requests to engines.
 */
#include <stdio.h>

#include "base/daemon_program.h"
#include "wharf-gateway/gateway.h"

static int run(const char *path, bool check_only)
{
	struct gateway_settings settings;

	if (gateway_settings_load(&settings, path, stderr) != DW_OK)
		return EXIT_SETTINGS;
	if (check_only) {
		printf("%s: settings are good\n", path);
		return EXIT_OK;
	}
	return gateway_run(&settings, path);
}

int main(int argc, char **argv)
{
	static const struct daemon_program program = {
		.name = "wharf-gateway",
		.forced_stop_cause = "the deadline with requests in progress",
		.run = run,
	};

	return daemon_program_main(&program, argc, argv);
}
