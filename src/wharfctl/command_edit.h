/**
 * @file command_edit.h
 * Commands that change one entity by compare-and-swap: read it, change it, and write it only if its
 * revision is still the one that was read.
 */
#ifndef WHARFCTL_COMMAND_EDIT_H
#define WHARFCTL_COMMAND_EDIT_H

#include "wharfctl/command.h"

/**
 * Writes @p entity if its current revision is @p expected_revision (0: it must not exist), and
 * prints the outcome.
 */
enum wharfctl_exit command_put_entity(struct command_context *context,
				      Dragonflywharf__Entity *entity, uint64_t expected_revision);

/** Reads the entity of @p key; DW_NOT_FOUND if there is none. The caller frees @p out. */
enum dw_status command_get_entity(struct command_context *context, const char *key,
				  Dragonflywharf__GetResponse **out);

/**
 * Prints @p status and dw_last_message() to stderr, and with --json also @p status to stdout.
 * @return the exit code for @p status.
 */
enum wharfctl_exit command_report_failure(struct command_context *context, enum dw_status status);

enum wharfctl_exit command_withdraw(struct command_context *context);
enum wharfctl_exit command_live(struct command_context *context);
enum wharfctl_exit command_weight(struct command_context *context);
enum wharfctl_exit command_release(struct command_context *context);
enum wharfctl_exit command_limit(struct command_context *context);
enum wharfctl_exit command_leave(struct command_context *context);
enum wharfctl_exit command_return(struct command_context *context);
enum wharfctl_exit command_drain(struct command_context *context);
enum wharfctl_exit command_restore(struct command_context *context);
enum wharfctl_exit command_allow(struct command_context *context);
enum wharfctl_exit command_forbid(struct command_context *context);

#endif
