/**
 * @file command_edit.h
 * Commands that change one entity: read it, change it, write it if it is still as read.
 */
#ifndef WHARFCTL_COMMAND_EDIT_H
#define WHARFCTL_COMMAND_EDIT_H

#include "wharfctl/command.h"

/** Writes @p entity over the revision @p expected, and prints the outcome. */
enum wharfctl_exit command_put(struct command_context *context, Dragonflywharf__Entity *entity,
			       uint64_t expected);

/** Reads the entity of @p key; DW_NOT_FOUND if there is none. Freed by the caller. */
enum dw_status command_read(struct command_context *context, const char *key,
			    Dragonflywharf__GetResponse **out);

/** Prints the last failure; its exit code. */
enum wharfctl_exit command_failed(struct command_context *context, enum dw_status status);

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
