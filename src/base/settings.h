/**
 * @file settings.h
 * Parser for settings files: JSON with comments, validated against a table of fields.
 *
 * All errors are reported in one run, each with the file, the field and the expected value. Unknown
 * and duplicate fields are errors, as they are usually typing mistakes.
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
	DW_SETTING_NAME, /**< char[DW_SETTINGS_TEXT_BYTES] matching [a-z0-9._-]{1,64} */
	DW_SETTING_IP, /**< char[DW_SETTINGS_TEXT_BYTES], a numeric IPv4 address */
	DW_SETTING_INTEGER, /**< uint64_t from min to max */
	/** uint64_t from min to max; decimal in JSON, and a fraction is rounded down or up */
	DW_SETTING_FLOOR,
	DW_SETTING_CEILING,
	/** uint64_t in thousandths, min to max; decimal in JSON, and rounded down or up */
	DW_SETTING_PERMILLE_FLOOR,
	DW_SETTING_PERMILLE_CEILING,
	DW_SETTING_BOOL, /**< bool */
	DW_SETTING_KEY, /**< secret key: uint8_t[DW_SETTINGS_KEY_BYTES], 64 hexadecimal digits */
	DW_SETTING_ENDPOINT, /**< struct dw_endpoint from "ip:port" */
	DW_SETTING_ENDPOINTS, /**< struct dw_endpoint_list from an array of "ip:port" */
	DW_SETTING_KIND_COUNT
};

/** One field of a settings file and the location that it is stored at. */
struct dw_setting {
	const char *name;
	enum dw_setting_kind kind;
	size_t offset; /**< offset in the target structure */
	bool required;
	uint64_t min;
	uint64_t max;
	/**
	 * Default of a text or number (thousandths where these are stored), as text. NULL leaves
	 * the target unchanged; it must be NULL for the other kinds.
	 */
	const char *default_value;
};

/**
 * Parses the file at @p path into @p target. The last row of @p table has a NULL name. Errors are
 * written to @p errors, one per line.
 * @return DW_OK, DW_NOT_FOUND (the file can't be opened) or DW_INVALID_ARGUMENT.
 */
enum dw_status dw_settings_load(const char *path, const struct dw_setting *table, void *target,
				FILE *errors);

/** Like dw_settings_load(), from memory; @p name is used as the file name in error messages. */
enum dw_status dw_settings_parse(const char *name, const char *text, const struct dw_setting *table,
				 void *target, FILE *errors);

/** Parses "ip:port". DW_INVALID_ARGUMENT if malformed. */
enum dw_status dw_endpoint_parse(const char *text, struct dw_endpoint *out);

#ifdef __cplusplus
}
#endif

#endif
