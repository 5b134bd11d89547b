/**
 * @file config_file.h
 * A configuration file for the check: the platform's configuration, read with the daemons' reader,
 * or the project's own entities, read as for `wharfctl apply`.
 */
#ifndef WHARFCTL_CONFIG_FILE_H
#define WHARFCTL_CONFIG_FILE_H

#include <json-c/json.h>

#include <dragonflywharf/config_check.h>
#include <dragonflywharf/entity_set_check.h>

#ifdef __cplusplus
extern "C" {
#endif

struct config_file {
	struct dw_catalog *catalog; /**< NULL if the file is a list of entities */
	struct dw_check_index index;
	struct dw_entity_set set;
};

/** Returns the list of entities of a parsed file; NULL if it isn't {"entities": [...]}. */
struct json_object *config_file_entities(struct json_object *root);

/**
 * Reads a file. Errors of single entities are added to @p report, with paths in force if
 * @p is_in_force. Errors of the whole file are returned: DW_INVALID_ARGUMENT, DW_NOT_FOUND (it
 * can't be opened or read), DW_TOO_LARGE.
 */
enum dw_status config_file_read(const char *path, bool is_in_force, struct config_file *out,
				struct dw_check_report *report);
/** Like config_file_read(), from memory. */
enum dw_status config_file_parse(const char *text, size_t len, bool is_in_force,
				 struct config_file *out, struct dw_check_report *report);
void config_file_free(struct config_file *file);

/**
 * Adds the findings about @p next, and, if @p current isn't NULL, what differs from it.
 * Errors: DW_INVALID_ARGUMENT (the files are of different kinds).
 */
enum dw_status config_file_check(const struct config_file *next, const struct config_file *current,
				 struct dw_check_report *report);

#ifdef __cplusplus
}
#endif

#endif
