/**
 * @file log.h
 * A small structured logger: one JSON object a line, one line an event.
 *
 * Each line has ts_us (wall clock), mono_us, instance, pid, seq, event (number), name, level and
 * the event's own fields. wharf-timeline merges such files.
 *
 * A bounded log never blocks: a line that the reader has no room for is left out, and so are lines
 * of the info level and below once a second has had its number of lines. What was left out is
 * counted and told by a line of its own.
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
	enum dw_level level; /**< events below it are dropped */
	uint64_t seq;
	int bounded_fd; /**< written without blocking; -1: the file is used */
	uint32_t max_lines_per_s; /**< of the info level and below, with bounded_fd */
	uint64_t second; /**< that the count is of */
	uint32_t lines_in_second;
	uint64_t dropped; /**< lines left out since the last one told of */
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

/** Writes to @p file, which the caller keeps open; @p instance names the process. */
void dw_log_init(struct dw_log *log, FILE *file, const char *instance, enum dw_level level);

/** Writes to @p fd from now on, without blocking and within a rate. */
void dw_log_bound(struct dw_log *log, int fd, uint32_t max_lines_per_s);

/** Writes one event with its fields; a line is flushed whole. */
void dw_log_write(struct dw_log *log, enum dw_event event, const struct dw_field *fields,
		  size_t count);

/** dw_log_event(log, DW_EVENT_X, DW_STR("key", text), DW_INT("other", 5)) */
#define dw_log_event(log, event, ...)                                                              \
	dw_log_write((log), (event), (const struct dw_field[]){ __VA_ARGS__ },                     \
		     sizeof((const struct dw_field[]){ __VA_ARGS__ }) / sizeof(struct dw_field))

#ifdef __cplusplus
}
#endif

#endif
