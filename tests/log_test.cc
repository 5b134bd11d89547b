#include <gtest/gtest.h>

#include <unistd.h>

#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <sstream>
#include <string>

#include <json-c/json.h>

#include "base/log.h"

namespace
{

std::string write_events(const char *text)
{
	char *bytes = nullptr;
	size_t len = 0;
	FILE *file = open_memstream(&bytes, &len);
	struct dw_log log;
	struct dw_field fields[2] = {};

	dw_log_init(&log, file, "haarlem-1", DW_LEVEL_INFO);
	fields[0].key = "text";
	fields[0].kind = DW_FIELD_STRING;
	fields[0].string = text;
	fields[1].key = "tokens";
	fields[1].kind = DW_FIELD_INTEGER;
	fields[1].integer = -7;
	dw_log_write(&log, DW_EVENT_REQUEST_DONE, fields, 2);
	dw_log_write(&log, DW_EVENT_LOAN_GRANTED, fields, 2);
	fclose(file);
	std::string out(bytes, len);
	free(bytes);
	return out;
}

TEST(Log, WritesOneJsonObjectPerLineAndDropsLowerLevels)
{
	std::string out = write_events("a \"quoted\"\n\\ text");
	struct json_object *line = json_tokener_parse(out.c_str());

	ASSERT_NE(line, nullptr);
	EXPECT_EQ(out.find('\n'), out.size() - 1);
	EXPECT_STREQ(json_object_get_string(json_object_object_get(line, "text")),
		     "a \"quoted\"\n\\ text");
	EXPECT_EQ(json_object_get_int64(json_object_object_get(line, "tokens")), -7);
	EXPECT_EQ(json_object_get_int(json_object_object_get(line, "event")), 402);
	json_object_put(line);
}

TEST(Log, TruncatesLongValuesToValidJson)
{
	std::string out = write_events(std::string(10000, 'x').c_str());
	struct json_object *line = json_tokener_parse(out.c_str());

	ASSERT_NE(line, nullptr);
	json_object_put(line);
}

TEST(Log, EventsPageListsEveryEvent)
{
	std::stringstream page;

	page << std::ifstream(WHARF_SOURCE_DIR "/docs/EVENTS.md").rdbuf();
	for (int i = 0; i < DW_EVENT_COUNT; i++) {
		const struct dw_event_info *info = dw_event_info((enum dw_event)i);
		std::string row = "| " + std::to_string(info->number) + " | `" + info->name + "` |";

		EXPECT_NE(page.str().find(row), std::string::npos) << row;
	}
}

} // namespace

namespace
{

void write_line(dw_log *log, dw_event event)
{
	dw_field field = DW_INT("i", 1);
	dw_log_write(log, event, &field, 1);
}

/* While the pipe is full, writing doesn't block; the drops are reported once there is space. */
TEST(BoundedLog, FullPipeDoesNotBlockAndDroppedLinesAreReported)
{
	int ends[2];
	ASSERT_EQ(pipe(ends), 0);
	dw_log log;
	dw_log_init(&log, nullptr, "i", DW_LEVEL_INFO);
	dw_log_use_bounded_fd(&log, ends[1], 1000000);
	for (int i = 0; i < 5000; i++)
		write_line(&log, DW_EVENT_REQUEST_FAILED);
	EXPECT_GT(log.dropped, 0U);
	char buffer[1 << 17];
	ASSERT_GT(read(ends[0], buffer, sizeof(buffer)), 0);
	write_line(&log, DW_EVENT_REQUEST_FAILED);
	EXPECT_EQ(log.dropped, 0U);
	ssize_t len = read(ends[0], buffer, sizeof(buffer));
	ASSERT_GT(len, 0);
	EXPECT_NE(std::string(buffer, (size_t)len).find("log.lines_dropped"), std::string::npos);
	close(ends[0]);
	close(ends[1]);
}

TEST(BoundedLog, InfoLinesAreRateLimitedAndWarningsAreNot)
{
	int ends[2];
	ASSERT_EQ(pipe(ends), 0);
	dw_log log;
	dw_log_init(&log, nullptr, "i", DW_LEVEL_INFO);
	dw_log_use_bounded_fd(&log, ends[1], 10);
	for (int i = 0; i < 40; i++)
		write_line(&log, DW_EVENT_REQUEST_DONE);
	EXPECT_GE(log.dropped, 15U)
		<< "the limit may apply to two seconds, as one can end within the loop";
	for (int i = 0; i < 40; i++)
		write_line(&log, DW_EVENT_REQUEST_FAILED);
	EXPECT_LE(log.dropped, 1U);
	close(ends[0]);
	close(ends[1]);
}

} // namespace
