/**
 * @file timeline.h
 * Merges the event logs of several processes into one list, ordered by time.
 */
#ifndef WHARF_TIMELINE_TIMELINE_H
#define WHARF_TIMELINE_TIMELINE_H

#include <stdio.h>

#include <json-c/json.h>

#include <dragonflywharf/status.h>

struct timeline_event {
	struct json_object *json; /**< the parsed line; owned */
	uint64_t ts_us; /**< wall clock */
	uint64_t seq; /**< sequence number within the process */
	uint64_t number; /**< event number, see docs/EVENTS.md */
	const char *name;
	const char *instance;
	const char *level;
	uint64_t pid; /**< differs between the processes of a restarted instance */
};

struct timeline {
	struct timeline_event *events;
	size_t count;
	size_t capacity;
	uint64_t invalid_lines; /**< not an event, e.g. the cut-off last line of a killed process */
};

/** Selects the events to print; a member that is NULL matches all. */
struct timeline_filter {
	const char *request;
	const char *name_prefix;
	const char *instance;
};

/** Appends the events of a log file. DW_NOT_FOUND if it cannot be opened. */
enum dw_status timeline_read(struct timeline *timeline, const char *path);

/** Sorts by wall-clock time, then instance; events of one process by sequence number. */
void timeline_sort(struct timeline *timeline);

/** Returns a string field of an event; "" if it is absent. */
const char *timeline_text(const struct timeline_event *event, const char *field);

/** Returns an integer field of an event; 0 if it is absent. */
uint64_t timeline_number(const struct timeline_event *event, const char *field);

bool timeline_matches(const struct timeline_event *event, const struct timeline_filter *filter);

/** Prints a line of text for each event: time of day, instance, number, name, fields. */
void timeline_print_text(const struct timeline *timeline, const struct timeline_filter *filter,
			 FILE *out);

/** Prints the events as JSON lines. */
void timeline_print_json(const struct timeline *timeline, const struct timeline_filter *filter,
			 FILE *out);

/** Prints an SVG image with a lane for each instance and a marker for each event. */
void timeline_print_svg(const struct timeline *timeline, const struct timeline_filter *filter,
			FILE *out);

void timeline_clear(struct timeline *timeline);

#endif
