// wharfctl check: exit codes for scripts, one line a finding, one JSON object, unreadable files.
#include <gtest/gtest.h>

#include <fstream>

#include "support/json.h"
#include "support/process.h"
#include "wharfctl/check_print.h"

using namespace support;

namespace
{

const std::string CLEAN =
	R"({"Version":7,"Routes":[{"Name":"r","Host":"h","PathPrefix":"/x/","Kind":"safe",)"
	R"("Service":"s"}],"Services":[{"Name":"s"}],"Tenants":[{"Name":"t","ApiKeys":["secret"]}]})";

std::string replaced(const std::string &from, const std::string &to)
{
	std::string text = CLEAN;
	return text.replace(text.find(from), from.size(), to);
}

std::string file(const std::string &name, const std::string &text)
{
	std::string path = testing::TempDir() + "wharfctl_check_" + name + ".json";
	std::ofstream(path) << text;
	return path;
}

struct result {
	int exit_code;
	std::vector<std::string> lines;
};

result run(std::vector<std::string> arguments)
{
	process command("wharfctl", arguments, testing::TempDir() + "wharfctl_check.err");
	int exit_code = command.wait().exit_code;
	return { exit_code, command.lines() };
}

/* Scripts stop a change by the exit code alone. */
TEST(WharfctlCheck, ExitCodeSaysWhetherThereAreWarningsOrErrors)
{
	std::string clean = file("clean", CLEAN);
	std::string newer = file("newer", replaced(":7", ":8"));
	std::string added =
		file("added", replaced(R"(:7,)", R"(:8,"Limits":{"MaxBodyBytes":9e8},)"));
	std::string unused =
		file("unused", replaced(R"({"Name":"s"})", R"({"Name":"s"},{"Name":"q"})"));
	std::string error = file("error", replaced(R"("Service":"s")", R"("Service":"q")"));
	std::string entities =
		std::string(WHARF_SOURCE_DIR) + "/examples/config/configuration.json";
	const struct {
		std::vector<std::string> arguments;
		int exit_code;
		std::string first_line;
	} rows[] = {
		{ { "check", clean }, 0, "" },
		{ { "check", entities }, 0, "" },
		{ { "check", newer, "--against", clean }, 0, "" },
		{ { "check", added, "--against", clean },
		  0,
		  "notice: Limits.MaxBodyBytes: raised: is raised to 900000000 from 4194304" },
		{ { "check", unused },
		  1,
		  "warning: Services[1] (q): service_unused: no route sends requests to it" },
		{ { "check", error },
		  2,
		  "error: Routes[0] (r).TrafficSplit: service_unknown: there is no service q" },
		{ { "check", clean, "--against", newer },
		  2,
		  "error: Version: version_not_newer: version 7 isn't newer than 8 in force, "
		  "instances ignore it" },
		{ { "check", entities, "--against", clean },
		  2,
		  "error: unreadable: one file is the platform's configuration, the other a list "
		  "of entities; they can't be compared" },
		{ { "check" }, 2, "" },
		{ { "check", clean, "--no-such-option" }, 2, "" },
	};

	for (const auto &row : rows) {
		result found = run(row.arguments);
		EXPECT_EQ(found.exit_code, row.exit_code) << row.arguments.back();
		EXPECT_EQ(found.lines.empty() ? "" : found.lines[0], row.first_line);
	}
}

/* A file that isn't understood must not look like one without findings. */
TEST(WharfctlCheck, UnreadableFilesAreErrors)
{
	const std::pair<std::string, std::string> rows[] = {
		{ "", "not valid JSON at byte 0: unexpected end" },
		{ "{\"Version\":7", "not valid JSON at byte 12: unexpected end" },
		{ "{\"Version\":}", "not valid JSON at byte 11: unexpected character" },
		{ "[]", "configuration: expected a JSON object" },
		{ "{}", "Version: expected a number" },
		{ "{\"entities\":{}}", "Version: expected a number" },
		{ replaced("safe", "odd"),
		  "Routes[0] (r): Kind: expected safe, unsafe or stream, found odd" },
	};
	std::string clean = file("clean", CLEAN);

	for (const auto &[text, message] : rows) {
		std::string path = file("odd", text);
		result found = run({ "check", path });
		EXPECT_EQ(found.exit_code, 2) << text;
		ASSERT_EQ(found.lines.size(), 1U);
		EXPECT_EQ(found.lines[0], "error: unreadable: " + path + ": " + message);
		EXPECT_EQ(run({ "check", clean, "--against", path }).exit_code, 2) << text;
	}
	EXPECT_EQ(run({ "check", "/nowhere.json" }).exit_code, 2);
	EXPECT_EQ(run({ "check", testing::TempDir() }).exit_code, 2);
}

TEST(WharfctlCheck, JsonIsOneObjectAndNeverContainsAKey)
{
	std::string clean = file("clean", CLEAN);
	std::string next = file("next", replaced(R"(:7,)", R"(:8,"x":1,)"));
	std::string taken = file("taken", replaced("secret", "other"));
	result found = run({ "--json", "check", taken, "--against", clean });

	EXPECT_EQ(found.exit_code, 2);
	ASSERT_EQ(found.lines.size(), 1U);
	const std::string &json = found.lines[0];
	EXPECT_EQ(json_number(json, { "errors" }), 1);
	EXPECT_EQ(json_number(json, { "warnings" }), 1);
	EXPECT_EQ(json_string(json, { "findings", "0", "kind" }), "keys_removed");
	EXPECT_EQ(json_string(json, { "findings", "0", "path" }), "Tenants[0] (t).ApiKeys");
	EXPECT_EQ(json_number(json, { "findings", "0", "value" }), 1);
	EXPECT_EQ(json.find("secret"), std::string::npos);
	found = run({ "--json", "check", next });
	EXPECT_EQ(found.exit_code, 0);
	ASSERT_EQ(found.lines.size(), 1U);
	EXPECT_EQ(json_string(found.lines[0], { "findings" }), "[ ]");
}

/* A kind without a row in the tables would end the program or print an empty line. */
TEST(WharfctlCheck, EachKindHasANameAndASentence)
{
	for (int kind = 0; kind < DW_FINDING_KIND_COUNT; kind++) {
		dw_check_report report{};
		dw_finding *finding = dw_check_report_add_numbers(
			&report, (dw_finding_kind)kind,
			{ DW_CHECK_ROUTES, 1, "r", DW_CHECK_NO_FIELD, false }, 2, 3);
		char text[300] = "";
		FILE *out = fmemopen(text, sizeof(text), "w");

		finding->subject = finding->other = finding->detail = "other";
		ASSERT_NE(dw_finding_kind_name(finding->kind), nullptr) << kind;
		check_print_text(out, &report);
		fclose(out);
		std::string start = std::string(": Routes[1] (r): ") +
				    dw_finding_kind_name(finding->kind) + ": ";
		EXPECT_GT(std::string(text).size(),
			  std::string(text).find(start) + start.size() + 1);
		dw_check_report_free(&report);
	}
}

/* A line break in a name would look like a second finding to a script that reads lines. */
TEST(WharfctlCheck, ANameCannotAddALine)
{
	result found = run({ "check", file("break", replaced(R"("ApiKeys":["secret"])", R"("x":1)")
							    .replace(CLEAN.find(R"("t")"), 3,
								     R"("t\nerror: x")")) });
	ASSERT_EQ(found.lines.size(), 1U);
	EXPECT_EQ(found.lines[0], "warning: Tenants[0] (t?error: x).ApiKeys: without_keys: has no "
				  "keys, so that no request belongs to it");
}

} // namespace
