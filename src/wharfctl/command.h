/**
 * @file command.h
 * The commands of wharfctl.
 */
#ifndef WHARFCTL_COMMAND_H
#define WHARFCTL_COMMAND_H

#include "wharfctl/operator_client.h"

enum wharfctl_exit {
	WHARFCTL_DONE = 0,
	WHARFCTL_USAGE = 1,
	WHARFCTL_REFUSED = 2,
	WHARFCTL_CONFLICT = 3,
	WHARFCTL_UNKNOWN = 4,
	WHARFCTL_UNREACHABLE = 5,
	WHARFCTL_NOT_FOUND = 6,
	WHARFCTL_EXIT_COUNT
};

struct command_context {
	struct operator_client client;
	bool json; /**< print JSON for scripts */
	bool allow_lower; /**< apply may lower limits that stand */
	int argc; /**< arguments after the command's name */
	const char *const *argv;
};

/** Runs the command @p name; the exit code. */
enum wharfctl_exit command_run(struct command_context *context, const char *name);

/** Prints a line a command. */
void command_list(FILE *out);

#endif
