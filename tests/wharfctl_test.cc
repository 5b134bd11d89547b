// wharfctl: exit codes, JSON output, invalid input, and the guard against lowering limits.
#include <gtest/gtest.h>

#include <fstream>

#include "support/cluster.h"
#include "support/json.h"

using namespace support;

namespace
{

enum { DONE, USAGE, REFUSED, CONFLICT, UNKNOWN, UNREACHABLE, NOT_FOUND };

struct Wharfctl : public ::testing::Test {
	cluster c;
	standin *engine = nullptr;

	void SetUp() override
	{
		engine = &c.add_engine("engine-1", "haarlem", { "large/1" });
		c.add_daemon("entry-1", { .failure_domain = "haarlem" });
		c.apply({
			"{\"failure_domain\":{\"name\":\"haarlem\"}}",
			cluster::engine_entity(*engine, "haarlem", { "large/1" }, 8, 2, 50),
			"{\"model\":{\"name\":\"large\"}}",
			"{\"version\":{\"model\":\"large\",\"name\":\"1\",\"rollout_weight\":1}}",
			cluster::organisation_entity("waterland", { "large/1" }),
		});
	}

	std::string write_file(const std::string &text)
	{
		std::string path = c.directory() + "/given.json";

		std::ofstream(path) << text;
		return path;
	}

	std::string upstream_file(int limit, int cold_limit)
	{
		return write_file("{\"entities\":[" +
				  cluster::engine_entity(*engine, "haarlem", { "large/1" }, limit,
							 cold_limit, 50) +
				  "]}");
	}

	int64_t current_value(const std::string &field)
	{
		return json_number(c.ctl({ "get", "upstream/engine-1" }).output,
				   { "entity", "upstream", field });
	}

	std::string last_message()
	{
		std::ifstream errors(c.directory() + "/wharfctl.err");

		return std::string(std::istreambuf_iterator<char>(errors), {});
	}
};

TEST_F(Wharfctl, EachCommandReportsItsOutcomeByExitCodeAndJson)
{
	const struct {
		std::vector<std::string> words;
		int exit_code;
		std::string json; /**< expected in the output with --json */
	} rows[] = {
		{ { "get", "version/large/1" }, DONE, "\"rollout_weight\":1" },
		{ { "get", "version/large/9" }, NOT_FOUND, "\"status\":\"not_found\"" },
		{ { "list", "version/" }, DONE, "\"applied_revision\"" },
		{ { "withdraw", "large/1" }, DONE, "\"outcome\":\"done\"" },
		{ { "withdraw", "large/9" }, NOT_FOUND, "\"status\":\"not_found\"" },
		{ { "live", "large/1" }, DONE, "\"key\":\"version/large/1\"" },
		{ { "weight", "large/1", "7" }, DONE, "\"outcome\":\"done\"" },
		{ { "weight", "large/1", "-7" }, USAGE, "" },
		{ { "weight", "large/1", "7x" }, REFUSED, "\"status\":\"invalid_argument\"" },
		{ { "weight", "large/1" }, USAGE, "" },
		{ { "release", "large/1" }, DONE, "\"outcome\":\"done\"" },
		{ { "limit", "engine-1", "9", "3" }, DONE, "\"outcome\":\"done\"" },
		{ { "limit", "engine-1", "2", "3" }, REFUSED, "\"outcome\":\"refused\"" },
		{ { "limit", "engine-9", "9" }, NOT_FOUND, "\"status\":\"not_found\"" },
		{ { "leave", "engine-1" }, DONE, "\"outcome\":\"done\"" },
		{ { "return", "engine-1" }, DONE, "\"outcome\":\"done\"" },
		{ { "drain", "haarlem" }, DONE, "\"outcome\":\"done\"" },
		{ { "restore", "haarlem" }, DONE, "\"outcome\":\"done\"" },
		{ { "drain", "nowhere" }, NOT_FOUND, "\"status\":\"not_found\"" },
		{ { "allow", "waterland", "large" }, DONE, "\"outcome\":\"done\"" },
		{ { "allow", "waterland", "a b" }, REFUSED, "\"outcome\":\"refused\"" },
		{ { "forbid", "waterland", "large" }, DONE, "\"outcome\":\"done\"" },
		{ { "forbid", "waterland", "large" }, NOT_FOUND, "\"status\":\"not_found\"" },
		{ { "status" }, DONE, "\"instance\":\"entry-1\"" },
		{ { "usage" }, DONE, "{" },
		{ { "wait", "1" }, DONE, "" },
		{ { "wait", "soon" }, REFUSED, "\"status\":\"invalid_argument\"" },
		{ { "hash-key", "k" }, DONE, "" },
		{ { "sail" }, USAGE, "" },
		{ {}, USAGE, "" },
		{ { "--no-such-option", "status" }, USAGE, "" },
		{ { "--server=here", "status" }, USAGE, "" },
	};

	for (const auto &row : rows) {
		std::vector<std::string> words = { "--json" };
		std::string shown;

		for (const std::string &word : row.words) {
			words.push_back(word);
			shown += word + " ";
		}
		command_result result = c.ctl(words);
		EXPECT_EQ(result.exit_code, row.exit_code) << shown << result.output;
		EXPECT_NE(result.output.find(row.json), std::string::npos)
			<< shown << result.output;
	}
	EXPECT_EQ(c.ctl({ "--key=wrong", "status" }).exit_code, USAGE) << "--key is given twice";
	c.get("entry-1").running->kill();
	EXPECT_EQ(c.ctl({ "status" }).exit_code, UNREACHABLE);
	EXPECT_EQ(c.ctl({ "withdraw", "large/1" }).exit_code, UNREACHABLE);
}

TEST_F(Wharfctl, InvalidFilesChangeNothing)
{
	const std::string files[] = {
		"",
		"{",
		"[]",
		"{\"entities\":{}}",
		"{\"entities\":[7]}",
		"{\"entities\":[{\"model\":{\"name\":7}}]}",
		"{\"entities\":[{\"model\":{\"name\":\"a/b\"}}]}",
		"{\"entities\":[{\"model\":{\"nam\":\"a\"}}]}",
		"{\"entities\":[{\"version\":{\"model\":\"m\",\"name\":\"1\","
		"\"state\":\"VERSION_ODD\"}}]}",
		"{\"entities\":[{\"upstream\":{\"name\":\"u\",\"limit\":-1}}]}",
	};
	std::string before = c.ctl({ "list" }).output;

	for (const std::string &text : files) {
		command_result result = c.ctl({ "--json", "apply", write_file(text) });

		EXPECT_EQ(result.exit_code, REFUSED) << text << result.output;
	}
	EXPECT_EQ(c.ctl({ "apply", c.directory() + "/none.json" }).exit_code, REFUSED);
	EXPECT_EQ(c.ctl({ "list" }).output, before);
}

TEST_F(Wharfctl, AnOutdatedFileDoesNotLowerARaisedLimit)
{
	ASSERT_EQ(c.ctl({ "limit", "engine-1", "20", "5" }).exit_code, DONE);
	const std::pair<int, int> lower[] = { { 8, 2 }, { 20, 4 }, { 19, 5 } };

	for (auto [limit, cold_limit] : lower) {
		EXPECT_EQ(c.ctl({ "apply", upstream_file(limit, cold_limit) }).exit_code, REFUSED);
		EXPECT_NE(last_message().find("upstream/engine-1"), std::string::npos);
		EXPECT_EQ(current_value("limit"), 20);
		EXPECT_EQ(current_value("cold_limit"), 5);
	}
	EXPECT_EQ(c.ctl({ "apply", upstream_file(20, 5) }).exit_code, DONE);
	EXPECT_EQ(c.ctl({ "apply", upstream_file(21, 6) }).exit_code, DONE);
	EXPECT_EQ(c.ctl({ "--allow-lower", "apply", upstream_file(8, 2) }).exit_code, DONE);
	EXPECT_EQ(current_value("limit"), 8);
	EXPECT_NE(c.ctl({ "--help" }).output.find("--allow-lower"), std::string::npos);
}

} // namespace
