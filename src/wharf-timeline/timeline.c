#include "wharf-timeline/timeline.h"

#include <stdlib.h>
#include <string.h>
#include <time.h>

#define LINE_BYTES 65536
#define US_PER_S UINT64_C(1000000)
#define FIRST_CAPACITY 1024

static const char *const common_fields[] = { "ts_us", "mono_us", "instance", "pid",
					     "seq",   "event",	 "name",     "level" };

const char *timeline_text(const struct timeline_event *event, const char *field)
{
	struct json_object *value;

	if (!json_object_object_get_ex(event->json, field, &value))
		return "";
	return json_object_get_string(value);
}

uint64_t timeline_number(const struct timeline_event *event, const char *field)
{
	struct json_object *value;

	if (!json_object_object_get_ex(event->json, field, &value))
		return 0;
	return (uint64_t)json_object_get_int64(value);
}

static struct timeline_event *append_event(struct timeline *timeline)
{
	if (timeline->count == timeline->capacity) {
		timeline->capacity = timeline->capacity ? 2 * timeline->capacity : FIRST_CAPACITY;
		timeline->events =
			realloc(timeline->events, timeline->capacity * sizeof(*timeline->events));
		if (!timeline->events)
			abort();
	}
	return &timeline->events[timeline->count++];
}

static void parse_line(struct timeline *timeline, const char *line)
{
	struct json_object *json = json_tokener_parse(line);
	struct timeline_event *event;

	if (!json_object_is_type(json, json_type_object) ||
	    !json_object_object_get_ex(json, "event", NULL) ||
	    !json_object_object_get_ex(json, "name", NULL)) {
		timeline->invalid_lines++;
		json_object_put(json);
		return;
	}
	event = append_event(timeline);
	event->json = json;
	event->ts_us = timeline_number(event, "ts_us");
	event->seq = timeline_number(event, "seq");
	event->number = timeline_number(event, "event");
	event->pid = timeline_number(event, "pid");
	event->name = timeline_text(event, "name");
	event->instance = timeline_text(event, "instance");
	event->level = timeline_text(event, "level");
}

enum dw_status timeline_read(struct timeline *timeline, const char *path)
{
	FILE *file = fopen(path, "r");
	char *line;

	if (!file)
		return dw_fail(DW_NOT_FOUND, "cannot open %s", path);
	line = malloc(LINE_BYTES);
	if (!line)
		abort();
	while (fgets(line, LINE_BYTES, file))
		parse_line(timeline, line);
	free(line);
	fclose(file);
	return DW_OK;
}

static int compare_numbers(uint64_t a, uint64_t b)
{
	return a < b ? -1 : a > b;
}

static int compare_events(const void *a, const void *b)
{
	const struct timeline_event *first = a;
	const struct timeline_event *second = b;
	int order = strcmp(first->instance, second->instance);

	/* Within one process the sequence number decides, because the wall clock may be set
	 * back. */
	if (order == 0 && first->pid == second->pid)
		return compare_numbers(first->seq, second->seq);
	if (first->ts_us != second->ts_us)
		return compare_numbers(first->ts_us, second->ts_us);
	return order;
}

void timeline_sort(struct timeline *timeline)
{
	qsort(timeline->events, timeline->count, sizeof(*timeline->events), compare_events);
}

bool timeline_matches(const struct timeline_event *event, const struct timeline_filter *filter)
{
	if (filter->request && strcmp(timeline_text(event, "request"), filter->request) != 0)
		return false;
	if (filter->instance && strcmp(event->instance, filter->instance) != 0)
		return false;
	return !filter->name_prefix ||
	       strncmp(event->name, filter->name_prefix, strlen(filter->name_prefix)) == 0;
}

static bool is_common(const char *field)
{
	for (size_t i = 0; i < sizeof(common_fields) / sizeof(common_fields[0]); i++) {
		if (strcmp(common_fields[i], field) == 0)
			return true;
	}
	return false;
}

static void print_event(const struct timeline_event *event, FILE *out)
{
	time_t seconds = (time_t)(event->ts_us / US_PER_S);
	struct tm parts;
	char clock[16];

	gmtime_r(&seconds, &parts);
	strftime(clock, sizeof(clock), "%H:%M:%S", &parts);
	fprintf(out, "%s.%06u %-16s %3u %-28s", clock, (unsigned int)(event->ts_us % US_PER_S),
		event->instance, (unsigned int)event->number, event->name);
	json_object_object_foreach(event->json, field, value)
	{
		if (!is_common(field))
			fprintf(out, " %s=%s", field, json_object_get_string(value));
	}
	fputc('\n', out);
}

void timeline_print_text(const struct timeline *timeline, const struct timeline_filter *filter,
			 FILE *out)
{
	for (size_t i = 0; i < timeline->count; i++) {
		if (timeline_matches(&timeline->events[i], filter))
			print_event(&timeline->events[i], out);
	}
}

void timeline_print_json(const struct timeline *timeline, const struct timeline_filter *filter,
			 FILE *out)
{
	for (size_t i = 0; i < timeline->count; i++) {
		const struct timeline_event *event = &timeline->events[i];

		if (timeline_matches(event, filter))
			fprintf(out, "%s\n",
				json_object_to_json_string_ext(
					event->json,
					JSON_C_TO_STRING_PLAIN | JSON_C_TO_STRING_NOSLASHESCAPE));
	}
}

void timeline_clear(struct timeline *timeline)
{
	for (size_t i = 0; i < timeline->count; i++)
		json_object_put(timeline->events[i].json);
	free(timeline->events);
	memset(timeline, 0, sizeof(*timeline));
}
