/**
 * @file command_gateways.h
 * "wharfctl gateways": what gateways know of the store and how current their copies are, from their metrics.
 */
#ifndef WHARFCTL_COMMAND_GATEWAYS_H
#define WHARFCTL_COMMAND_GATEWAYS_H

#include "wharfctl/command.h"

/**
 * Prints a line for each address of metrics in the arguments.
 * @return WHARFCTL_UNREACHABLE if one doesn't answer, WHARFCTL_REFUSED if one's copy is behind, or it may not serve
 */
enum wharfctl_exit command_gateways(struct command_context *context);

#endif
