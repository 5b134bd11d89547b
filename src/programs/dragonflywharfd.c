/**
 * @file dragonflywharfd.c
 * The daemon of an entry instance: command line, settings, log.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <argtable2.h>

#include "dragonflywharfd/daemon.h"

enum exit_code { EXIT_GOOD = 0, EXIT_USAGE = 1, EXIT_SETTINGS = 2, EXIT_CODE_COUNT };

static enum dw_level level_of(const char *name)
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
		return EXIT_GOOD;
	}
	if (strcmp(daemon->settings.log_file, "-") != 0)
		log = fopen(daemon->settings.log_file, "a");
	if (!log) {
		fprintf(stderr, "%s: log_file: can't open %s\n", path, daemon->settings.log_file);
		free(daemon);
		return EXIT_SETTINGS;
	}
	dw_log_init(&daemon->log, log, daemon->settings.instance,
		    level_of(daemon->settings.log_level));
	return daemon_run(daemon);
}

int main(int argc, char **argv)
{
	struct arg_lit *help = arg_lit0("h", "help", "print this help and exit");
	struct arg_lit *version = arg_lit0(NULL, "version", "print the version and exit");
	struct arg_lit *check = arg_lit0(NULL, "check-settings", "check the settings and exit");
	struct arg_file *settings = arg_file0("s", "settings", "FILE", "settings file");
	struct arg_end *end = arg_end(8);
	void *table[] = { help, version, check, settings, end };
	int errors = arg_parse(argc, argv, table);

	if (help->count > 0) {
		printf("Usage: dragonflywharfd");
		arg_print_syntax(stdout, table, "\n");
		arg_print_glossary(stdout, table, "  %-22s %s\n");
		printf("Exit codes: 0 planned stop, 1 usage, 2 settings, 3 start failed,\n"
		       "4 stopped at the deadline or by a second signal with work under way.\n");
		return EXIT_GOOD;
	}
	if (version->count > 0) {
		printf("dragonflywharfd %s\n", DW_VERSION);
		return EXIT_GOOD;
	}
	if (errors > 0 || settings->count == 0) {
		arg_print_errors(stderr, end, "dragonflywharfd");
		fprintf(stderr, "dragonflywharfd: --settings FILE is needed; see --help\n");
		return EXIT_USAGE;
	}
	return run(settings->filename[0], check->count > 0);
}
