/**
 * @file daemon_program.h
 * Command line of the daemons: --help, --version, --settings FILE and --check-settings.
 */
#ifndef WHARF_BASE_DAEMON_PROGRAM_H
#define WHARF_BASE_DAEMON_PROGRAM_H

#include <stdbool.h>

#ifdef __cplusplus
extern "C" {
#endif

enum daemon_exit { EXIT_OK = 0, EXIT_USAGE = 1, EXIT_SETTINGS = 2, DAEMON_EXIT_COUNT };

struct daemon_program {
	const char *name;
	/** Continues "4 forced to stop at" in the help text: the cause of exit code 4. */
	const char *forced_stop_cause;
	/** Runs with this settings file, or only checks the file. @return the exit code */
	int (*run)(const char *settings_path, bool check_only);
};

/** Parses the command line and runs the program. @return the exit code of the process */
int daemon_program_main(const struct daemon_program *program, int argc, char **argv);

#ifdef __cplusplus
}
#endif

#endif
