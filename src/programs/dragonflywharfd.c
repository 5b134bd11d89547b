/**
 * @file dragonflywharfd.c
 * Main program of the daemon: reads the command line and the settings, opens the log and runs.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/daemon_program.h"
#include "dragonflywharfd/daemon.h"

static enum dw_level parse_log_level(const char *name)
{
	static const char *const names[DW_LEVEL_COUNT] = {
		[DW_LEVEL_DEBUG] = "debug",
		[DW_LEVEL_INFO] = "info",
		[DW_LEVEL_WARNING] = "warning",
		[DW_LEVEL_ERROR] = "error",
	};

	for (int i = 0; i < DW_LEVEL_COUNT; i++) {
		if (strcmp(names[i], name) == 0)
			return (enum dw_level)i;
	}
	return DW_LEVEL_INFO;
}

static int run(const char *path, bool check_only)
{
	struct daemon *daemon = calloc(1, sizeof(*daemon));
	FILE *log = stderr;

	if (!daemon)
		abort();
	if (daemon_settings_load(&daemon->settings, path, stderr) != DW_OK) {
		free(daemon);
		return EXIT_SETTINGS;
	}
	if (check_only) {
		printf("%s: settings are good\n", path);
		free(daemon);
		return EXIT_OK;
	}
	if (strcmp(daemon->settings.log_file, "-") != 0)
		log = fopen(daemon->settings.log_file, "a");
	if (!log) {
		fprintf(stderr, "%s: log_file: can't open %s\n", path, daemon->settings.log_file);
		free(daemon);
		return EXIT_SETTINGS;
	}
	dw_log_init(&daemon->log, log, daemon->settings.instance,
		    parse_log_level(daemon->settings.log_level));
	return daemon_run(daemon);
}

int main(int argc, char **argv)
{
	static const struct daemon_program program = {
		.name = "dragonflywharfd",
		.forced_stop_cause =
			"the deadline or by a second signal while requests are in progress",
		.run = run,
	};

	return daemon_program_main(&program, argc, argv);
}
