#include "base/daemon_program.h"

#include <stdio.h>

#include <argtable2.h>

int daemon_program_main(const struct daemon_program *program, int argc, char **argv)
{
	struct arg_lit *help = arg_lit0("h", "help", "print this help and exit");
	struct arg_lit *version = arg_lit0(NULL, "version", "print the version and exit");
	struct arg_lit *check = arg_lit0(NULL, "check-settings", "check the settings and exit");
	struct arg_file *settings = arg_file0("s", "settings", "FILE", "settings file");
	struct arg_end *end = arg_end(8);
	void *table[] = { help, version, check, settings, end };
	int errors = arg_parse(argc, argv, table);

	if (help->count > 0) {
		printf("Usage: %s", program->name);
		arg_print_syntax(stdout, table, "\n");
		arg_print_glossary(stdout, table, "  %-22s %s\n");
		printf("Exit codes: 0 graceful shutdown, 1 usage error, 2 invalid settings,\n"
		       "3 startup failed, 4 forced to stop at %s.\n",
		       program->forced_stop_cause);
		return EXIT_OK;
	}
	if (version->count > 0) {
		printf("%s %s\n", program->name, DW_VERSION);
		return EXIT_OK;
	}
	if (errors > 0 || settings->count == 0) {
		arg_print_errors(stderr, end, program->name);
		fprintf(stderr, "%s: --settings FILE is required; see --help\n", program->name);
		return EXIT_USAGE;
	}
	return program->run(settings->filename[0], check->count > 0);
}
