/**
 * @file command_check.h
 * "wharfctl check": checks a configuration file without a server.
 */
#ifndef WHARFCTL_COMMAND_CHECK_H
#define WHARFCTL_COMMAND_CHECK_H

#include "wharfctl/command.h"

/** Prints the findings. @return WHARFCTL_DONE, WHARFCTL_CHECK_WARNINGS or WHARFCTL_CHECK_ERRORS. */
enum wharfctl_exit command_check(struct command_context *context);

#endif
