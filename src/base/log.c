#include "base/log.h"

#include <fcntl.h>
#include <inttypes.h>
#include <stdbool.h>
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
	/* Leave room for the closing brace and the newline. */
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
	log->bounded_fd = -1;
	snprintf(log->instance, sizeof(log->instance), "%s", instance);
}

void dw_log_use_bounded_fd(struct dw_log *log, int fd, uint32_t max_lines_per_s)
{
	int flags = fcntl(fd, F_GETFL);

	if (flags >= 0)
		fcntl(fd, F_SETFL, flags | O_NONBLOCK);
	log->bounded_fd = fd;
	log->max_lines_per_s = max_lines_per_s;
}

/* Counts a line. Returns false if its level is rate-limited and the limit is reached. */
static bool within_rate_limit(struct dw_log *log, enum dw_level level)
{
	uint64_t second = dw_clock_now_us() / DW_US_PER_S;

	if (second != log->second) {
		log->second = second;
		log->lines_in_second = 0;
	}
	log->lines_in_second++;
	return level > DW_LEVEL_INFO || log->lines_in_second <= log->max_lines_per_s;
}

/* LINE_BYTES doesn't exceed PIPE_BUF, so write() to a pipe takes the complete line or nothing. */
static void write_bounded(struct dw_log *log, enum dw_level level, const struct line *line)
{
	uint64_t dropped = log->dropped;

	if (!within_rate_limit(log, level) ||
	    write(log->bounded_fd, line->bytes, line->len) != (ssize_t)line->len) {
		log->dropped++;
		return;
	}
	if (dropped == 0)
		return;
	log->dropped = 0;
	dw_log_event(log, DW_EVENT_LOG_LINES_DROPPED, DW_INT("lines", dropped));
}

void dw_log_write(struct dw_log *log, enum dw_event event, const struct dw_field *fields,
		  size_t count)
{
	const struct dw_event_info *info = dw_event_info(event);
	struct line line = { .len = 0 };

	if (!log || (!log->file && log->bounded_fd < 0) || info->level < log->level)
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
	if (log->bounded_fd >= 0) {
		write_bounded(log, info->level, &line);
		return;
	}
	fwrite(line.bytes, 1, line.len, log->file);
	fflush(log->file);
}
