/**
 * @file log.h
 * A structured logger that writes each event as one line with a JSON object.
 *
 * Each line has ts_us (wall clock), mono_us, instance, pid, seq, event (number), name, level and
 * the event's own fields. wharf-timeline merges such files.
 *
 * A bounded log (dw_log_use_bounded_fd()) never blocks and is rate-limited. A line is dropped if
 * the file descriptor can't take it at once, or if its level is info or lower and the limit of
 * lines per second is reached; lines of all levels count towards the limit. The number of dropped
 * lines is logged by the event log.lines_dropped.
 */
#ifndef WHARF_BASE_LOG_H
#define WHARF_BASE_LOG_H

#include <stddef.h>
#include <stdint.h>
#include <stdio.h>

#include "base/event.h"

#ifdef __cplusplus
extern "C" {
#endif

enum dw_field_kind { DW_FIELD_STRING, DW_FIELD_INTEGER, DW_FIELD_KIND_COUNT };

struct dw_field {
	const char *key;
	enum dw_field_kind kind;
	union {
		const char *string;
		int64_t integer;
	};
};

struct dw_log {
	FILE *file;
	char instance[64];
	enum dw_level level; /**< minimum level; lower events are discarded */
	uint64_t seq;
	int bounded_fd; /**< non-blocking file descriptor; -1: write to file instead */
	uint32_t max_lines_per_s; /**< limit for info and lower levels, with bounded_fd */
	uint64_t second; /**< the second that lines_in_second counts */
	uint32_t lines_in_second;
	uint64_t dropped; /**< lines dropped since the last log.lines_dropped event */
};

#define DW_STR(k, v)                                                                               \
	(struct dw_field)                                                                          \
	{                                                                                          \
		.key = (k), .kind = DW_FIELD_STRING, .string = (v)                                 \
	}
#define DW_INT(k, v)                                                                               \
	(struct dw_field)                                                                          \
	{                                                                                          \
		.key = (k), .kind = DW_FIELD_INTEGER, .integer = (int64_t)(v)                      \
	}

/** Initialises a log to @p file, which must stay open. @p instance is written in each line. */
void dw_log_init(struct dw_log *log, FILE *file, const char *instance, enum dw_level level);

/** Switches to a bounded log on @p fd, which is made non-blocking. */
void dw_log_use_bounded_fd(struct dw_log *log, int fd, uint32_t max_lines_per_s);

/** Writes one event with its fields as one line and flushes it. */
void dw_log_write(struct dw_log *log, enum dw_event event, const struct dw_field *fields,
		  size_t count);

/** Shorthand: dw_log_event(log, DW_EVENT_X, DW_STR("key", text), DW_INT("other", 5)) */
#define dw_log_event(log, event, ...)                                                              \
	dw_log_write((log), (event), (const struct dw_field[]){ __VA_ARGS__ },                     \
		     sizeof((const struct dw_field[]){ __VA_ARGS__ }) / sizeof(struct dw_field))

#ifdef __cplusplus
}
#endif

#endif
