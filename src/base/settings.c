#include "base/settings.h"

#include <arpa/inet.h>
#include <errno.h>
#include <inttypes.h>
#include <math.h>
#include <stdlib.h>
#include <string.h>

#include <json-c/json.h>

#define NAME_MAX_BYTES 64
#define FILE_MAX_BYTES (1U << 20)
#define ROUNDING_TOLERANCE 1e-6

struct parser {
	const char *file;
	FILE *errors;
	bool failed;
};

static void report_error(struct parser *parser, const char *field, const char *message)
{
	parser->failed = true;
	fprintf(parser->errors, "%s: %s: %s\n", parser->file, field, message);
}

static bool is_valid_name(const char *text)
{
	size_t len = strlen(text);

	return len >= 1 && len <= NAME_MAX_BYTES &&
	       strspn(text, "abcdefghijklmnopqrstuvwxyz0123456789._-") == len;
}

static bool is_valid_ip(const char *text)
{
	struct in_addr address;

	return inet_pton(AF_INET, text, &address) == 1;
}

enum dw_status dw_endpoint_parse(const char *text, struct dw_endpoint *out)
{
	const char *colon = strrchr(text, ':');
	size_t ip_len = colon ? (size_t)(colon - text) : 0;
	char *end;
	unsigned long port;

	if (!colon || ip_len >= sizeof(out->ip) || colon[1] < '0' || colon[1] > '9')
		return dw_fail(DW_INVALID_ARGUMENT, "not of the form ip:port: %s", text);
	memcpy(out->ip, text, ip_len);
	out->ip[ip_len] = '\0';
	port = strtoul(colon + 1, &end, 10);
	if (*end != '\0' || port == 0 || port > UINT16_MAX || !is_valid_ip(out->ip))
		return dw_fail(DW_INVALID_ARGUMENT, "not of the form ip:port: %s", text);
	out->port = (uint16_t)port;
	return DW_OK;
}

static void parse_string(struct parser *parser, const struct dw_setting *setting,
			 struct json_object *value, char *out)
{
	const char *text = json_object_get_string(value);

	if (!json_object_is_type(value, json_type_string) ||
	    strlen(text) >= DW_SETTINGS_TEXT_BYTES) {
		report_error(parser, setting->name, "expected a string of at most 127 characters");
		return;
	}
	if (setting->kind == DW_SETTING_NAME && !is_valid_name(text)) {
		report_error(parser, setting->name, "expected 1 to 64 characters of a-z 0-9 . _ -");
		return;
	}
	if (setting->kind == DW_SETTING_IP && !is_valid_ip(text)) {
		report_error(parser, setting->name, "expected a numeric IPv4 address");
		return;
	}
	snprintf(out, DW_SETTINGS_TEXT_BYTES, "%s", text);
}

static void parse_integer(struct parser *parser, const struct dw_setting *setting,
			  struct json_object *value, uint64_t *out)
{
	char expected[96];
	int64_t number = json_object_get_int64(value);

	if (!json_object_is_type(value, json_type_int) || number < 0 ||
	    (uint64_t)number < setting->min || (uint64_t)number > setting->max) {
		snprintf(expected, sizeof(expected),
			 "expected an integer from %" PRIu64 " to %" PRIu64, setting->min,
			 setting->max);
		report_error(parser, setting->name, expected);
		return;
	}
	*out = (uint64_t)number;
}

/* Whether a decimal number is stored in thousandths. */
static bool is_permille(enum dw_setting_kind kind)
{
	return kind == DW_SETTING_PERMILLE_FLOOR || kind == DW_SETTING_PERMILLE_CEILING;
}

static bool is_rounded_up(enum dw_setting_kind kind)
{
	return kind == DW_SETTING_CEILING || kind == DW_SETTING_PERMILLE_CEILING;
}

/* Rounds to the setting's side. A binary fraction is not exact: 0.29 * 1000 is just below 290. */
static uint64_t round_decimal(enum dw_setting_kind kind, double number)
{
	return (uint64_t)(is_rounded_up(kind) ? ceil(number - ROUNDING_TOLERANCE)
					      : floor(number + ROUNDING_TOLERANCE));
}

static void parse_decimal(struct parser *parser, const struct dw_setting *setting,
			  struct json_object *value, uint64_t *out)
{
	double scale = is_permille(setting->kind) ? 1000 : 1;
	double number = json_object_get_double(value) * scale;
	char expected[96];

	if ((!json_object_is_type(value, json_type_double) &&
	     !json_object_is_type(value, json_type_int)) ||
	    !(number >= (double)setting->min) || number > (double)setting->max) {
		snprintf(expected, sizeof(expected), "expected a number from %g to %g",
			 (double)setting->min / scale, (double)setting->max / scale);
		report_error(parser, setting->name, expected);
		return;
	}
	*out = round_decimal(setting->kind, number);
}

static void parse_bool(struct parser *parser, const struct dw_setting *setting,
		       struct json_object *value, bool *out)
{
	if (!json_object_is_type(value, json_type_boolean)) {
		report_error(parser, setting->name, "expected true or false");
		return;
	}
	*out = json_object_get_boolean(value);
}

static int hex_digit(char c)
{
	const char *digits = "0123456789abcdef";
	const char *at = c ? strchr(digits, c) : NULL;

	return at ? (int)(at - digits) : -1;
}

static void parse_key(struct parser *parser, const struct dw_setting *setting,
		      struct json_object *value, uint8_t *out)
{
	const char *text = json_object_get_string(value);
	bool valid = json_object_is_type(value, json_type_string) &&
		     strlen(text) == (size_t)2 * DW_SETTINGS_KEY_BYTES;

	for (size_t i = 0; valid && i < DW_SETTINGS_KEY_BYTES; i++) {
		int high = hex_digit(text[2 * i]);
		int low = hex_digit(text[2 * i + 1]);

		valid = high >= 0 && low >= 0;
		out[i] = (uint8_t)(high << 4 | low);
	}
	if (!valid)
		report_error(parser, setting->name, "expected 64 lower-case hexadecimal digits");
}

static void parse_endpoint(struct parser *parser, const struct dw_setting *setting,
			   struct json_object *value, struct dw_endpoint *out)
{
	if (!json_object_is_type(value, json_type_string) ||
	    dw_endpoint_parse(json_object_get_string(value), out) != DW_OK)
		report_error(parser, setting->name,
			     "expected \"ip:port\" with a numeric IPv4 address");
}

static void parse_endpoints(struct parser *parser, const struct dw_setting *setting,
			    struct json_object *value, struct dw_endpoint_list *out)
{
	size_t count;

	if (!json_object_is_type(value, json_type_array) ||
	    json_object_array_length(value) > DW_SETTINGS_ENDPOINTS_MAX) {
		report_error(parser, setting->name,
			     "expected an array of at most 32 \"ip:port\" strings");
		return;
	}
	count = json_object_array_length(value);
	for (size_t i = 0; i < count; i++)
		parse_endpoint(parser, setting, json_object_array_get_idx(value, i),
			       &out->items[i]);
	out->count = (uint32_t)count;
}

static void parse_value(struct parser *parser, const struct dw_setting *setting,
			struct json_object *value, uint8_t *target)
{
	void *out = target + setting->offset;

	switch (setting->kind) {
	case DW_SETTING_TEXT:
	case DW_SETTING_NAME:
	case DW_SETTING_IP:
		parse_string(parser, setting, value, out);
		break;
	case DW_SETTING_INTEGER:
		parse_integer(parser, setting, value, out);
		break;
	case DW_SETTING_FLOOR:
	case DW_SETTING_CEILING:
	case DW_SETTING_PERMILLE_FLOOR:
	case DW_SETTING_PERMILLE_CEILING:
		parse_decimal(parser, setting, value, out);
		break;
	case DW_SETTING_BOOL:
		parse_bool(parser, setting, value, out);
		break;
	case DW_SETTING_KEY:
		parse_key(parser, setting, value, out);
		break;
	case DW_SETTING_ENDPOINT:
		parse_endpoint(parser, setting, value, out);
		break;
	case DW_SETTING_ENDPOINTS:
		parse_endpoints(parser, setting, value, out);
		break;
	case DW_SETTING_KIND_COUNT:
		break;
	}
}

static bool is_number(enum dw_setting_kind kind)
{
	return kind == DW_SETTING_INTEGER || kind == DW_SETTING_FLOOR ||
	       kind == DW_SETTING_CEILING || is_permille(kind);
}

static void apply_default(const struct dw_setting *setting, uint8_t *target)
{
	void *out = target + setting->offset;

	if (!setting->default_value)
		return;
	if (is_number(setting->kind))
		*(uint64_t *)out = strtoull(setting->default_value, NULL, 10);
	else
		snprintf(out, DW_SETTINGS_TEXT_BYTES, "%s", setting->default_value);
}

static const struct dw_setting *find_setting(const struct dw_setting *table, const char *name)
{
	for (; table->name; table++) {
		if (strcmp(table->name, name) == 0)
			return table;
	}
	return NULL;
}

static const char *skip_comment(const char *at)
{
	const char *end = at[1] == '*' ? strstr(at + 2, "*/") : strchr(at, '\n');

	if (!end)
		return at + strlen(at);
	return at[1] == '*' ? end + 2 : end + 1;
}

static const char *skip_string(const char *at)
{
	for (at++; *at && *at != '"'; at++) {
		if (*at == '\\' && at[1])
			at++;
	}
	return *at ? at + 1 : at;
}

/* Counts the occurrences of a field in the outermost object, to detect duplicates: json-c silently
 * keeps the last one. A field name is a string at depth 1 that is followed by a colon. */
static size_t count_field(const char *text, const char *name)
{
	size_t len = strlen(name);
	size_t count = 0;
	int depth = 0;

	while (*text) {
		const char *start = text;

		if (*text == '/' && (text[1] == '*' || text[1] == '/')) {
			text = skip_comment(text);
			continue;
		}
		if (*text == '{' || *text == '[')
			depth++;
		if (*text == '}' || *text == ']')
			depth--;
		if (*text != '"') {
			text++;
			continue;
		}
		text = skip_string(text);
		if (depth == 1 && (size_t)(text - start) == len + 2 &&
		    strncmp(start + 1, name, len) == 0 && text[strspn(text, " \t\r\n")] == ':')
			count++;
	}
	return count;
}

static void parse_object(struct parser *parser, struct json_object *root, const char *text,
			 const struct dw_setting *table, void *target)
{
	for (const struct dw_setting *row = table; row->name; row++) {
		struct json_object *value;

		if (json_object_object_get_ex(root, row->name, &value))
			parse_value(parser, row, value, target);
		else if (row->required)
			report_error(parser, row->name, "is required");
		else
			apply_default(row, target);
		if (count_field(text, row->name) > 1)
			report_error(parser, row->name, "is given more than once");
	}
	json_object_object_foreach(root, name, value)
	{
		(void)value;
		if (!find_setting(table, name))
			report_error(parser, name, "unknown field");
	}
}

enum dw_status dw_settings_parse(const char *name, const char *text, const struct dw_setting *table,
				 void *target, FILE *errors)
{
	struct parser parser = { .file = name, .errors = errors };
	struct json_tokener *tokener = json_tokener_new();
	struct json_object *root = json_tokener_parse_ex(tokener, text, (int)strlen(text) + 1);
	enum json_tokener_error error = json_tokener_get_error(tokener);

	if (error != json_tokener_success)
		report_error(&parser, "(file)", json_tokener_error_desc(error));
	else if (!json_object_is_type(root, json_type_object))
		report_error(&parser, "(file)", "expected a JSON object");
	else
		parse_object(&parser, root, text, table, target);
	json_object_put(root);
	json_tokener_free(tokener);
	if (parser.failed)
		return dw_fail(DW_INVALID_ARGUMENT, "%s: invalid settings", name);
	return DW_OK;
}

enum dw_status dw_settings_load(const char *path, const struct dw_setting *table, void *target,
				FILE *errors)
{
	FILE *file = fopen(path, "r");
	enum dw_status status;
	char *text;
	size_t len;

	if (!file) {
		fprintf(errors, "%s: (file): %s\n", path, strerror(errno));
		return dw_fail(DW_NOT_FOUND, "can't open %s", path);
	}
	text = calloc(1, FILE_MAX_BYTES + 2);
	if (!text)
		abort();
	len = fread(text, 1, FILE_MAX_BYTES + 1, file);
	fclose(file);
	if (len > FILE_MAX_BYTES) {
		free(text);
		fprintf(errors, "%s: (file): longer than %u bytes\n", path, FILE_MAX_BYTES);
		return dw_fail(DW_TOO_LARGE, "%s is longer than %u bytes", path, FILE_MAX_BYTES);
	}
	text[len] = '\0';
	status = dw_settings_parse(path, text, table, target, errors);
	free(text);
	return status;
}
