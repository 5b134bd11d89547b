// wharf-timeline --check: accepts a valid log and finds each violated invariant.
#include <gtest/gtest.h>

#include <unistd.h>

#include <cstdio>
#include <fstream>
#include <string>
#include <vector>

#include "support/process.h"

namespace
{

struct line {
	int event;
	const char *name;
	const char *fields;
};

const std::vector<line> valid_log = {
	{ 200, "config.applied", "\"key\":\"version/large/1\",\"mod_revision\":7" },
	{ 200, "config.applied", "\"key\":\"version/large/1\",\"mod_revision\":9" },
	{ 305, "roster.changed", "\"epoch\":1" },
	{ 305, "roster.changed", "\"epoch\":2" },
	{ 400, "request.received", "\"request\":\"r1\"" },
	{ 500, "attempt.started",
	  "\"request\":\"r1\",\"attempt\":\"a1\",\"upstream\":\"u1\",\"serves\":\"large/1\"" },
	{ 502, "attempt.ended", "\"request\":\"r1\",\"attempt\":\"a1\"" },
	{ 402, "request.done", "\"request\":\"r1\"" },
	{ 400, "request.received", "\"request\":\"r2\"" },
	{ 700, "once.intent_committed", "\"request\":\"r2\"" },
	{ 500, "attempt.started",
	  "\"request\":\"r2\",\"attempt\":\"a2\",\"upstream\":\"u1\",\"serves\":\"booking\"" },
	{ 503, "attempt.failed",
	  "\"request\":\"r2\",\"attempt\":\"a2\",\"status\":\"unavailable\"" },
	{ 401, "request.refused", "\"request\":\"r2\",\"not_run\":1" },
	{ 400, "request.received", "\"request\":\"r2\"" },
	{ 700, "once.intent_committed", "\"request\":\"r2\"" },
	{ 402, "request.done", "\"request\":\"r2\"" },
	{ 602, "upstream.leaving", "\"upstream\":\"u1\"" },
	{ 604, "upstream.returned", "\"upstream\":\"u1\"" },
	{ 803, "version.withdrawn", "\"version\":\"large/1\"" },
	{ 804, "version.live", "\"version\":\"large/1\"" },
	{ 102, "process.stopped", "\"forced\":0" },
};

int check_exit_code(const std::vector<line> &lines)
{
	char path[] = "/tmp/wharf-timeline-XXXXXX";
	int fd = mkstemp(path);
	int seq = 0;

	close(fd);
	{
		std::ofstream file(path);

		for (const line &l : lines) {
			file << "{\"ts_us\":" << 1000 + seq
			     << ",\"instance\":\"entry-1\",\"pid\":5,\"seq\":" << seq
			     << ",\"event\":" << l.event << ",\"name\":\"" << l.name
			     << "\",\"level\":\"info\"," << l.fields << "}\n";
			seq++;
		}
	}
	support::process program("wharf-timeline", { "--check", path });
	int code = program.wait().exit_code;

	unlink(path);
	return code;
}

TEST(Timeline, ValidLogPasses)
{
	EXPECT_EQ(check_exit_code(valid_log), 0);
}

TEST(Timeline, EachViolatedInvariantIsFound)
{
	const struct {
		const char *what;
		size_t at; // index in the valid log where the line is inserted
		line inserted;
	} cases[] = {
		{ "revision of a key decreased",
		  2,
		  { 200, "config.applied", "\"key\":\"version/large/1\",\"mod_revision\":8" } },
		{ "epoch did not increase", 4, { 305, "roster.changed", "\"epoch\":2" } },
		{ "a request ended twice", 8, { 402, "request.done", "\"request\":\"r1\"" } },
		{ "an attempt ended twice",
		  7,
		  { 502, "attempt.ended", "\"request\":\"r1\",\"attempt\":\"a1\"" } },
		{ "refused as not run after it was sent",
		  7,
		  { 401, "request.refused", "\"request\":\"r1\",\"not_run\":1" } },
		{ "a second intent", 10, { 700, "once.intent_committed", "\"request\":\"r2\"" } },
		{ "attempt at an upstream that takes no new requests",
		  17,
		  { 500, "attempt.started",
		    "\"request\":\"r3\",\"attempt\":\"a3\",\"upstream\":\"u1\",\"serves\":"
		    "\"x\"" } },
		{ "attempt on a withdrawn version",
		  19,
		  { 500, "attempt.started",
		    "\"request\":\"r3\",\"attempt\":\"a3\",\"upstream\":\"u2\",\"serves\":\"large/"
		    "1\"" } },
		{ "request still open after a planned stop",
		  20,
		  { 400, "request.received", "\"request\":\"r4\"" } },
	};

	for (const auto &c : cases) {
		std::vector<line> lines = valid_log;

		lines.insert(lines.begin() + (long)c.at, c.inserted);
		EXPECT_EQ(check_exit_code(lines), 2) << c.what;
	}
}

} // namespace
