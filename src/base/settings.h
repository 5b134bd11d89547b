/**
 * @file settings.h
 * Settings files: JSON with comments, checked field by field against a table.
 *
 * Every fault is reported with the file, the field and what is expected, all of them in one go.
 * Unknown and duplicate fields are faults, as both are usually slips of the pen.
 */
#ifndef WHARF_BASE_SETTINGS_H
#define WHARF_BASE_SETTINGS_H

#include <stdio.h>

#include <dragonflywharf/status.h>

#ifdef __cplusplus
extern "C" {
#endif

#define DW_SETTINGS_TEXT_BYTES 128
#define DW_SETTINGS_KEY_BYTES 32
#define DW_SETTINGS_ENDPOINTS_MAX 32

struct dw_endpoint {
	char ip[16]; /**< numeric IPv4 address */
	uint16_t port;
};

struct dw_endpoint_list {
	struct dw_endpoint items[DW_SETTINGS_ENDPOINTS_MAX];
	uint32_t count;
};

enum dw_setting_kind {
	DW_SETTING_TEXT, /**< char[DW_SETTINGS_TEXT_BYTES] */
	DW_SETTING_NAME, /**< the same, [a-z0-9._-]{1,64} */
	DW_SETTING_IP, /**< the same, a numeric IPv4 address */
	DW_SETTING_INTEGER, /**< uint64_t between min and max */
	DW_SETTING_PERMILLE, /**< uint64_t in thousandths, from a decimal number */
	DW_SETTING_FLAG, /**< bool from true or false */
	DW_SETTING_KEY, /**< uint8_t[DW_SETTINGS_KEY_BYTES] from 64 hexadecimal digits */
	DW_SETTING_ENDPOINT, /**< struct dw_endpoint from "ip:port" */
	DW_SETTING_ENDPOINTS, /**< struct dw_endpoint_list from an array of "ip:port" */
	DW_SETTING_KIND_COUNT
};

/** One field of a settings file and where it goes. */
struct dw_setting {
	const char *name;
	enum dw_setting_kind kind;
	size_t offset; /**< into the target structure */
	bool required;
	uint64_t min;
	uint64_t max;
	const char *unset; /**< default of an integer or text, NULL for zero */
};

/**
 * Reads the file at @p path into @p target by the table of @p count fields, closed by a row
 * whose name is NULL. Faults go to @p errors, a line each.
 * @return DW_OK, DW_NOT_FOUND (no such file), DW_INVALID_ARGUMENT.
 */
enum dw_status dw_settings_load(const char *path, const struct dw_setting *table, void *target,
				FILE *errors);

/** The same from memory; @p name stands for the file in messages. */
enum dw_status dw_settings_parse(const char *name, const char *text, const struct dw_setting *table,
				 void *target, FILE *errors);

/** Parses "ip:port". */
enum dw_status dw_endpoint_parse(const char *text, struct dw_endpoint *out);

#ifdef __cplusplus
}
#endif

#endif
