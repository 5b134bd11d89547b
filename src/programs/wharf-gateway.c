/**
 * @file wharf-gateway.c
 * The pass-through daemon of an entry instance: command line and settings.
 */
#include <stdio.h>

#include <argtable2.h>

#include "wharf-gateway/gateway.h"

enum exit_code { EXIT_GOOD = 0, EXIT_USAGE = 1, EXIT_SETTINGS = 2, EXIT_CODE_COUNT };

static int run(const char *path, bool check_only)
{
	struct gateway_settings settings;

	if (gateway_settings_load(&settings, path, stderr) != DW_OK)
		return EXIT_SETTINGS;
	if (check_only) {
		printf("%s: settings are good\n", path);
		return EXIT_GOOD;
	}
	return gateway_run(&settings, path);
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
		printf("Usage: wharf-gateway");
		arg_print_syntax(stdout, table, "\n");
		arg_print_glossary(stdout, table, "  %-22s %s\n");
		printf("Exit codes: 0 planned stop, 1 usage, 2 settings, 3 start failed,\n"
		       "4 stopped at the deadline with requests in progress.\n");
		return EXIT_GOOD;
	}
	if (version->count > 0) {
		printf("wharf-gateway %s\n", DW_VERSION);
		return EXIT_GOOD;
	}
	if (errors > 0 || settings->count == 0) {
		arg_print_errors(stderr, end, "wharf-gateway");
		fprintf(stderr, "wharf-gateway: --settings FILE is needed; see --help\n");
		return EXIT_USAGE;
	}
	return run(settings->filename[0], check->count > 0);
}
