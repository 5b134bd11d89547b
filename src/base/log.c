#include "base/log.h"

#include <inttypes.h>
#include <string.h>
#include <unistd.h>

#include "base/clock.h"

#define LINE_BYTES 4096
#define FIRST_PRINTABLE 0x20

static const char *const level_names[DW_LEVEL_COUNT] = {
	[DW_LEVEL_DEBUG] = "debug",
	[DW_LEVEL_INFO] = "info",
	[DW_LEVEL_WARNING] = "warning",
	[DW_LEVEL_ERROR] = "error",
};

struct line {
	char bytes[LINE_BYTES];
	size_t len;
};

static void line_put(struct line *line, char c)
{
	/* Room is kept for the closing brace and the end of line. */
	if (line->len < LINE_BYTES - 3)
		line->bytes[line->len++] = c;
}

static void line_put_text(struct line *line, const char *text)
{
	for (; *text; text++)
		line_put(line, *text);
}

static void line_put_string(struct line *line, const char *text)
{
	char escape[8];

	line_put(line, '"');
	for (; text && *text && line->len < LINE_BYTES - 16; text++) {
		unsigned char c = (unsigned char)*text;

		if (c == '"' || c == '\\') {
			line_put(line, '\\');
			line_put(line, *text);
		} else if (c < FIRST_PRINTABLE) {
			snprintf(escape, sizeof(escape), "\\u%04x", c);
			line_put_text(line, escape);
		} else {
			line_put(line, *text);
		}
	}
	line_put(line, '"');
}

static void line_put_integer(struct line *line, int64_t value)
{
	char digits[24];

	snprintf(digits, sizeof(digits), "%" PRId64, value);
	line_put_text(line, digits);
}

static void line_put_field(struct line *line, const struct dw_field *field)
{
	line_put(line, ',');
	line_put_string(line, field->key);
	line_put(line, ':');
	switch (field->kind) {
	case DW_FIELD_STRING:
		line_put_string(line, field->string ? field->string : "");
		break;
	case DW_FIELD_INTEGER:
		line_put_integer(line, field->integer);
		break;
	case DW_FIELD_KIND_COUNT:
		break;
	}
}

void dw_log_init(struct dw_log *log, FILE *file, const char *instance, enum dw_level level)
{
	memset(log, 0, sizeof(*log));
	log->file = file;
	log->level = level;
	snprintf(log->instance, sizeof(log->instance), "%s", instance);
}

void dw_log_write(struct dw_log *log, enum dw_event event, const struct dw_field *fields,
		  size_t count)
{
	const struct dw_event_info *info = dw_event_info(event);
	struct line line = { .len = 0 };

	if (!log || !log->file || info->level < log->level)
		return;
	line_put_text(&line, "{\"ts_us\":");
	line_put_integer(&line, (int64_t)dw_clock_wall_us());
	line_put_field(&line, &DW_INT("mono_us", dw_clock_now_us()));
	line_put_field(&line, &DW_STR("instance", log->instance));
	line_put_field(&line, &DW_INT("pid", getpid()));
	line_put_field(&line, &DW_INT("seq", log->seq++));
	line_put_field(&line, &DW_INT("event", info->number));
	line_put_field(&line, &DW_STR("name", info->name));
	line_put_field(&line, &DW_STR("level", level_names[info->level]));
	for (size_t i = 0; i < count; i++)
		line_put_field(&line, &fields[i]);
	line.bytes[line.len++] = '}';
	line.bytes[line.len++] = '\n';
	fwrite(line.bytes, 1, line.len, log->file);
	fflush(log->file);
}
