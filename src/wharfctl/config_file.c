#include "wharfctl/config_file.h"

#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "platform/config_record.h"
#include "wharfctl/proto_json.h"

/* Far above a configuration of the planned size, which has about 1.3 MB packed. */
#define FILE_MAX_BYTES (64U << 20)

struct json_object *config_file_entities(struct json_object *root)
{
	struct json_object *entities;

	if (!json_object_is_type(root, json_type_object) ||
	    !json_object_object_get_ex(root, "entities", &entities) ||
	    !json_object_is_type(entities, json_type_array))
		return NULL;
	return entities;
}

static void read_entities(struct json_object *entities, bool is_in_force, struct config_file *out,
			  struct dw_check_report *report)
{
	struct dw_check_path path = { .section = DW_CHECK_ENTITIES, .is_in_force = is_in_force };
	size_t count = json_object_array_length(entities);

	out->set.entities = calloc(count + 1, sizeof(*out->set.entities));
	if (!out->set.entities)
		abort();
	out->set.count = count;
	for (size_t i = 0; i < count; i++) {
		out->set.entities[i] = (Dragonflywharf__Entity *)proto_json_to_message(
			&dragonflywharf__entity__descriptor,
			json_object_array_get_idx(entities, i));
		path.index = i;
		if (!out->set.entities[i])
			dw_check_report_add_detail(report, DW_FINDING_ENTITY_INVALID, path,
						   dw_last_message());
	}
}

/* Parses as json_object_from_file() does, so that the check accepts what "apply" accepts. */
static struct json_object *parse(const char *text, size_t len)
{
	struct json_tokener *tokener = json_tokener_new();
	struct json_object *root = json_tokener_parse_ex(tokener, text, (int)len);
	enum json_tokener_error error = json_tokener_get_error(tokener);

	if (error != json_tokener_success)
		dw_fail(DW_INVALID_ARGUMENT, "not valid JSON at byte %zu: %s",
			json_tokener_get_parse_end(tokener),
			error == json_tokener_continue ? "unexpected end"
						       : json_tokener_error_desc(error));
	json_tokener_free(tokener);
	return root;
}

/* The gateway would run with the rest of the configuration; the check accepts no part that it can't read. */
static enum dw_status check_readable(const struct dw_catalog *catalog)
{
	size_t count = dw_catalog_defect_count(catalog);

	if (count == 0)
		return DW_OK;
	if (count == 1)
		return dw_fail(DW_INVALID_ARGUMENT, "%s", dw_catalog_defect(catalog, 0));
	return dw_fail(DW_INVALID_ARGUMENT, "%s (and %zu more)", dw_catalog_defect(catalog, 0),
		       count - 1);
}

enum dw_status config_file_parse(const char *text, size_t len, bool is_in_force,
				 struct config_file *out, struct dw_check_report *report)
{
	struct json_object *root;
	enum dw_status status = DW_OK;

	memset(out, 0, sizeof(*out));
	if (len > FILE_MAX_BYTES)
		return dw_fail(DW_TOO_LARGE, "the file has more than %u bytes", FILE_MAX_BYTES);
	root = parse(text, len);
	if (!root)
		return DW_INVALID_ARGUMENT;
	if (config_file_entities(root)) {
		read_entities(config_file_entities(root), is_in_force, out, report);
	} else {
		status = config_record_read(text, len, &out->catalog);
		if (status == DW_OK)
			status = check_readable(out->catalog);
		if (status == DW_OK)
			dw_check_index_init(&out->index, out->catalog);
	}
	json_object_put(root);
	return status;
}

enum dw_status config_file_read(const char *path, bool is_in_force, struct config_file *out,
				struct dw_check_report *report)
{
	FILE *file = fopen(path, "rb");
	char *text = NULL;
	size_t len = 0;
	size_t capacity = 0;
	enum dw_status status;

	memset(out, 0, sizeof(*out));
	if (!file)
		return dw_fail(DW_NOT_FOUND, "cannot open the file: %s", strerror(errno));
	do {
		capacity = capacity ? 2 * capacity : 65536;
		text = realloc(text, capacity);
		if (!text)
			abort();
		len += fread(text + len, 1, capacity - len, file);
	} while (len == capacity && len <= FILE_MAX_BYTES);
	if (ferror(file))
		status = dw_fail(DW_NOT_FOUND, "cannot read the file: %s", strerror(errno));
	else
		status = config_file_parse(text, len, is_in_force, out, report);
	fclose(file);
	free(text);
	return status;
}

void config_file_free(struct config_file *file)
{
	for (size_t i = 0; i < file->set.count; i++) {
		if (file->set.entities[i])
			dragonflywharf__entity__free_unpacked(file->set.entities[i], NULL);
	}
	free(file->set.entities);
	dw_check_index_free(&file->index);
	dw_catalog_release(file->catalog);
	memset(file, 0, sizeof(*file));
}

enum dw_status config_file_check(const struct config_file *next, const struct config_file *current,
				 struct dw_check_report *report)
{
	if (current && !next->catalog != !current->catalog)
		return dw_fail(DW_INVALID_ARGUMENT,
			       "one file is the platform's configuration, the other a list of "
			       "entities; they can't be compared");
	if (!next->catalog) {
		dw_entity_set_check(&next->set, current ? &current->set : NULL, report);
		if (current)
			dw_entity_set_compare(&next->set, &current->set, report);
		return DW_OK;
	}
	dw_config_check(&next->index, report);
	if (current)
		dw_config_compare(&next->index, &current->index, report);
	return DW_OK;
}
