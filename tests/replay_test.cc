// wharf-replay: every expectation file in traces/ is met; replays are deterministic; exit codes.
#include <gtest/gtest.h>

#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <string>
#include <vector>

#include <sys/wait.h>

namespace
{

const std::string kReplay = WHARF_BIN_DIR "/wharf-replay";

struct Outcome {
	int code;
	std::string text;
};

Outcome run(const std::string &arguments)
{
	Outcome outcome = { -1, "" };
	FILE *pipe = popen((kReplay + " " + arguments + " 2>&1").c_str(), "r");
	char bytes[4096];
	size_t len;

	while (pipe && (len = fread(bytes, 1, sizeof(bytes), pipe)) > 0)
		outcome.text.append(bytes, len);
	if (pipe)
		outcome.code = WEXITSTATUS(pclose(pipe));
	return outcome;
}

std::string temporary_path(const std::string &name)
{
	return testing::TempDir() + "replay_test." + std::to_string(getpid()) + "." + name;
}

std::string read_file(const std::string &path)
{
	std::ifstream file(path);
	std::stringstream text;

	text << file.rdbuf();
	return text.str();
}

class ExpectationFile : public testing::TestWithParam<std::string>
{
};

TEST_P(ExpectationFile, IsMet)
{
	Outcome outcome = run("--expect " WHARF_SOURCE_DIR "/traces/" + GetParam());

	EXPECT_EQ(outcome.code, 0) << outcome.text;
}

std::vector<std::string> expectation_files()
{
	std::vector<std::string> names;

	for (const auto &entry : std::filesystem::directory_iterator(WHARF_SOURCE_DIR "/traces")) {
		std::string name = entry.path().filename();

		if (name.find(".expect.json") != std::string::npos)
			names.push_back(name);
	}
	std::sort(names.begin(), names.end());
	return names;
}

INSTANTIATE_TEST_SUITE_P(Traces, ExpectationFile, testing::ValuesIn(expectation_files()),
			 [](const testing::TestParamInfo<std::string> &info) {
				 std::string name = info.param.substr(0, info.param.find('.'));

				 for (char &c : name)
					 c = isalnum((unsigned char)c) ? c : '_';
				 return name;
			 });

TEST(Replay, PrintsWhichBoundIsNotKept)
{
	std::string text = read_file(WHARF_SOURCE_DIR "/traces/atlas-steady.expect.json");
	std::string path = temporary_path("expect.json");
	size_t at = text.find("\"at_most\": 0.7");

	ASSERT_NE(at, std::string::npos);
	std::ofstream(path) << text.replace(at, 14, "\"at_most\": 0.01");
	Outcome outcome = run("--expect " + path);

	EXPECT_EQ(outcome.code, 1);
	EXPECT_NE(outcome.text.find("<= 0.01  NOT KEPT"), std::string::npos) << outcome.text;
	std::remove(path.c_str());
}

TEST(Replay, ReplayIsDeterministicForASeed)
{
	std::string path = temporary_path("trace.jsonl");
	Outcome written =
		run("--generate haarlemmerland --scenario domain --seconds 120 --seed 3 >" + path);
	Outcome first = run("--json " + path);

	EXPECT_EQ(written.code, 0);
	EXPECT_EQ(first.code, 0);
	EXPECT_NE(first.text.find("\"cost_per_met_micros\""), std::string::npos);
	EXPECT_EQ(run("--json " + path).text, first.text);
	EXPECT_NE(run("--json --seed 9 " + path).text, first.text);
	std::remove(path.c_str());
}

TEST(Replay, WritesAnSvgPlot)
{
	std::string path = temporary_path("plot.svg");
	Outcome outcome =
		run("--generate atlas --seconds 60 | " + kReplay + " --plot " + path + " -");

	EXPECT_EQ(outcome.code, 0) << outcome.text;
	EXPECT_NE(read_file(path).find("</svg>"), std::string::npos);
	std::remove(path.c_str());
}

TEST(Replay, RejectsInvalidInputWithItsExitCode)
{
	std::string path = temporary_path("bad.jsonl");
	const char *const bad[] = { "",
				    "no JSON\n",
				    "{\"kind\":\"unknown\"}\n",
				    "[1]\n",
				    "{\"kind\":\"engine\"}\n",
				    "{\"kind\":\"request\",\"at_us\":1}\n" };

	for (const char *text : bad) {
		std::ofstream(path) << text;
		EXPECT_EQ(run(path).code, 3) << text;
	}
	std::remove(path.c_str());
	EXPECT_EQ(run("").code, 2);
	EXPECT_EQ(run("--no-such-option").code, 2);
	EXPECT_EQ(run("--generate haarlemmerland --scenario nothing").code, 2);
	EXPECT_EQ(run("--generate nobody").code, 3);
	EXPECT_EQ(run("--expect /nonexistent").code, 3);
	EXPECT_EQ(run("--help").code, 0);
}

} // namespace
