/* Draws a time line as an SVG image. */
#include <stdlib.h>
#include <string.h>

#include "wharf-timeline/timeline.h"

#define WIDTH 1400
#define LABEL_WIDTH 140
#define LANE_HEIGHT 90
#define TOP 40
#define ROWS 6
#define ROW_HEIGHT 13
#define LANES_MAX 64
#define MARKER_RADIUS 3

/* A lane has a row for each hundred of the event numbers (1xx to 5xx); the last row takes 6xx and
 * all others. */
struct row {
	uint64_t hundreds;
	const char *title;
	const char *colour;
};

static const struct row rows[ROWS] = {
	{ 1, "process", "#444444" },  { 2, "configuration", "#1b7837" },
	{ 3, "members", "#762a83" },  { 4, "requests", "#2166ac" },
	{ 5, "attempts", "#67a9cf" }, { 6, "upstreams, once, usage, versions", "#b2182b" },
};

struct lanes {
	const char *names[LANES_MAX];
	size_t count;
};

static size_t lane_of(struct lanes *lanes, const char *instance)
{
	for (size_t i = 0; i < lanes->count; i++) {
		if (strcmp(lanes->names[i], instance) == 0)
			return i;
	}
	/* Instances beyond the maximum share the last lane. */
	if (lanes->count == LANES_MAX)
		return LANES_MAX - 1;
	lanes->names[lanes->count] = instance;
	return lanes->count++;
}

static size_t row_of(uint64_t number)
{
	for (size_t i = 0; i < ROWS; i++) {
		if (rows[i].hundreds == number / 100)
			return i;
	}
	return ROWS - 1;
}

static void print_escaped(const char *text, FILE *out)
{
	for (; *text; text++) {
		switch (*text) {
		case '<':
			fputs("&lt;", out);
			break;
		case '>':
			fputs("&gt;", out);
			break;
		case '&':
			fputs("&amp;", out);
			break;
		default:
			fputc(*text, out);
			break;
		}
	}
}

static void print_marker(const struct timeline_event *event, double x, size_t lane, FILE *out)
{
	size_t row = row_of(event->number);
	size_t y = TOP + lane * LANE_HEIGHT + ROW_HEIGHT * (row + 1);
	bool is_alert = strcmp(event->level, "warning") == 0 || strcmp(event->level, "error") == 0;

	fprintf(out, "<circle cx=\"%.1f\" cy=\"%zu\" r=\"%d\" fill=\"%s\"%s><title>", x, y,
		is_alert ? MARKER_RADIUS + 2 : MARKER_RADIUS,
		is_alert ? "#d6604d" : rows[row].colour, is_alert ? " stroke=\"black\"" : "");
	print_escaped(json_object_to_json_string_ext(event->json, JSON_C_TO_STRING_PLAIN), out);
	fputs("</title></circle>\n", out);
}

static void print_lanes(const struct lanes *lanes, FILE *out)
{
	for (size_t i = 0; i < lanes->count; i++) {
		size_t y = TOP + i * LANE_HEIGHT;

		fprintf(out,
			"<line x1=\"0\" y1=\"%zu\" x2=\"%d\" y2=\"%zu\" stroke=\"#cccccc\"/>\n", y,
			WIDTH, y);
		fprintf(out, "<text x=\"4\" y=\"%zu\" font-weight=\"bold\">", y + LANE_HEIGHT / 2);
		print_escaped(lanes->names[i], out);
		fputs("</text>\n", out);
	}
}

void timeline_print_svg(const struct timeline *timeline, const struct timeline_filter *filter,
			FILE *out)
{
	uint64_t first_us = timeline->count ? timeline->events[0].ts_us : 0;
	uint64_t last_us = timeline->count ? timeline->events[timeline->count - 1].ts_us : 0;
	double scale = (double)(WIDTH - LABEL_WIDTH - 10) /
		       (double)(last_us > first_us ? last_us - first_us : 1);
	struct lanes lanes = { .count = 0 };

	for (size_t i = 0; i < timeline->count; i++)
		lane_of(&lanes, timeline->events[i].instance);
	fprintf(out,
		"<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"%d\" height=\"%zu\" "
		"font-family=\"sans-serif\" font-size=\"12\">\n<rect width=\"100%%\" "
		"height=\"100%%\" "
		"fill=\"white\"/>\n",
		WIDTH, TOP + lanes.count * LANE_HEIGHT + 10);
	for (size_t i = 0; i < ROWS; i++)
		fprintf(out, "<text x=\"%zu\" y=\"20\" fill=\"%s\">%s</text>\n",
			LABEL_WIDTH + i * 190, rows[i].colour, rows[i].title);
	print_lanes(&lanes, out);
	for (size_t i = 0; i < timeline->count; i++) {
		const struct timeline_event *event = &timeline->events[i];

		if (timeline_matches(event, filter))
			print_marker(event, LABEL_WIDTH + (double)(event->ts_us - first_us) * scale,
				     lane_of(&lanes, event->instance), out);
	}
	fputs("</svg>\n", out);
}
