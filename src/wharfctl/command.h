/**
 * @file command.h
 * The commands of wharfctl.
 */
#ifndef WHARFCTL_COMMAND_H
#define WHARFCTL_COMMAND_H

#include "wharfctl/operator_client.h"

/** Exit codes, part of the interface for scripts. */
enum wharfctl_exit {
	WHARFCTL_DONE = 0,
	WHARFCTL_USAGE = 1,
	WHARFCTL_REFUSED = 2, /**< invalid, not permitted, or a failure without its own code */
	WHARFCTL_CONFLICT = 3, /**< the entity changed after it was read */
	WHARFCTL_UNKNOWN = 4, /**< the change may or may not have been written */
	WHARFCTL_UNREACHABLE = 5, /**< no response, or "wait" timed out */
	WHARFCTL_NOT_FOUND = 6,
	WHARFCTL_EXIT_COUNT
};

/** Exit codes of "check", whose usage errors count as errors too. */
#define WHARFCTL_CHECK_WARNINGS ((enum wharfctl_exit)1)
#define WHARFCTL_CHECK_ERRORS ((enum wharfctl_exit)2)

struct command_context {
	struct operator_client client;
	bool json; /**< print JSON instead of text */
	const char *against; /**< "check": the configuration in force, or NULL */
	bool allow_lower; /**< "apply" may lower the limits of an upstream */
	int argc; /**< number of arguments after the command's name */
	const char *const *argv;
};

/** Runs the command @p name and returns the exit code of the process. */
enum wharfctl_exit command_run(struct command_context *context, const char *name);

/** Returns the exit code of the command @p name for a usage error; @p name may be NULL. */
enum wharfctl_exit command_usage_exit(const char *name);

/** Prints a help line for each command. */
void command_print_list(FILE *out);

#endif
