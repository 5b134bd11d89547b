#include <gtest/gtest.h>

#include <cstddef>
#include <cstdlib>
#include <string>

#include "base/settings.h"

namespace
{

struct target {
	char instance[DW_SETTINGS_TEXT_BYTES];
	char ip[DW_SETTINGS_TEXT_BYTES];
	uint64_t limit;
	uint8_t key[DW_SETTINGS_KEY_BYTES];
	struct dw_endpoint_list seeds;
	uint64_t at_most;
	uint64_t at_least;
	uint64_t share;
	uint64_t period_ms;
};

const struct dw_setting table[] = {
	{ "instance", DW_SETTING_NAME, offsetof(target, instance), true, 0, 0, nullptr },
	{ "ip", DW_SETTING_IP, offsetof(target, ip), false, 0, 0, "127.0.0.1" },
	{ "limit", DW_SETTING_INTEGER, offsetof(target, limit), false, 1, 10, "5" },
	{ "key", DW_SETTING_KEY, offsetof(target, key), false, 0, 0, nullptr },
	{ "seeds", DW_SETTING_ENDPOINTS, offsetof(target, seeds), false, 0, 0, nullptr },
	{ "at_most", DW_SETTING_FLOOR, offsetof(target, at_most), false, 1, 1000, "7" },
	{ "at_least", DW_SETTING_CEILING, offsetof(target, at_least), false, 1, 1000, "8" },
	{ "share", DW_SETTING_PERMILLE_FLOOR, offsetof(target, share), false, 0, 1000, "120" },
	{ "period_s", DW_SETTING_PERMILLE_CEILING, offsetof(target, period_ms), false, 0, 60000,
	  "5000" },
	{ nullptr, DW_SETTING_TEXT, 0, false, 0, 0, nullptr },
};

std::string parse(const char *text, struct target *out)
{
	char *bytes = nullptr;
	size_t len = 0;
	FILE *errors = open_memstream(&bytes, &len);

	*out = {};
	enum dw_status status = dw_settings_parse("s.json", text, table, out, errors);
	fclose(errors);
	std::string lines(bytes, len);
	free(bytes);
	EXPECT_EQ(status == DW_OK, lines.empty()) << lines;
	return lines;
}

TEST(Settings, AllowsCommentsAndAppliesDefaults)
{
	struct target out;

	EXPECT_EQ(parse("{ /* \"limit\": 3, */ \"instance\": \"haarlem-1\", // a name\n"
			"\"seeds\": [\"10.0.0.1:70\", \"10.0.0.2:71\"] }",
			&out),
		  "");
	EXPECT_STREQ(out.instance, "haarlem-1");
	EXPECT_STREQ(out.ip, "127.0.0.1");
	EXPECT_EQ(out.limit, 5u);
	ASSERT_EQ(out.seeds.count, 2u);
	EXPECT_STREQ(out.seeds.items[1].ip, "10.0.0.2");
	EXPECT_EQ(out.seeds.items[1].port, 71);
}

/* The platform's limits are whole numbers or fractions; each is kept when it is rounded to its side. */
TEST(Settings, RoundsFractionsToTheSafeSide)
{
	struct target out;

	EXPECT_EQ(parse("{\"instance\": \"a\", \"at_most\": 33.16, \"at_least\": 33.16,"
			"\"share\": 0.1299, \"period_s\": 6.5001}",
			&out),
		  "");
	EXPECT_EQ(out.at_most, 33u);
	EXPECT_EQ(out.at_least, 34u);
	EXPECT_EQ(out.share, 129u);
	EXPECT_EQ(out.period_ms, 6501u);
	EXPECT_EQ(parse("{\"instance\": \"a\", \"at_most\": 33, \"at_least\": 33,"
			"\"share\": 0.29, \"period_s\": 9.4}",
			&out),
		  "")
		<< "0.29 * 1000 is 289.99999999999994, and 9.4 * 1000 may be above 9400";
	EXPECT_EQ(out.at_most, 33u);
	EXPECT_EQ(out.at_least, 33u);
	EXPECT_EQ(out.share, 290u);
	EXPECT_EQ(out.period_ms, 9400u);
	EXPECT_EQ(parse("{\"instance\": \"a\"}", &out), "");
	EXPECT_EQ(out.at_most, 7u);
	EXPECT_EQ(out.period_ms, 5000u);
	EXPECT_NE(parse("{\"instance\": \"a\", \"at_most\": 0.9}", &out), "") << "below 1";
	EXPECT_NE(parse("{\"instance\": \"a\", \"at_most\": \"3\"}", &out), "");
	EXPECT_NE(parse("{\"instance\": \"a\", \"at_most\": 1e300}", &out), "");
}

/* A file that is too long is refused rather than cut. */
TEST(Settings, RefusesAFileThatIsTooLong)
{
	struct target out = {};
	std::string path = testing::TempDir() + "long-settings.json";
	FILE *file = fopen(path.c_str(), "w");
	FILE *errors = tmpfile();

	fputs("{\"instance\": \"a\"}", file);
	for (int i = 0; i < (1 << 20); i++)
		fputc(' ', file);
	fclose(file);
	EXPECT_EQ(dw_settings_load(path.c_str(), table, &out, errors), DW_TOO_LARGE);
	EXPECT_GT(ftell(errors), 0);
	fclose(errors);
	remove(path.c_str());
}

TEST(Settings, ReportsFileAndFieldOfEachError)
{
	struct target out;
	const struct {
		const char *text;
		const char *expected;
	} cases[] = {
		{ "{}", "s.json: instance: is required" },
		{ "{\"instance\":\"A b\"}", "s.json: instance: expected 1 to 64" },
		{ "{\"instance\":\"a\",\"limit\":11}", "s.json: limit: expected an integer from" },
		{ "{\"instance\":\"a\",\"limit\":-1}", "s.json: limit: expected an integer from" },
		{ "{\"instance\":\"a\",\"limit\":\"5\"}", "s.json: limit: expected an integer" },
		{ "{\"instance\":\"a\",\"ip\":\"host.name\"}", "s.json: ip: expected a numeric" },
		{ "{\"instance\":\"a\",\"key\":\"00\"}", "s.json: key: expected 64" },
		{ "{\"instance\":\"a\",\"seeds\":[\"x:1\"]}", "s.json: seeds: expected" },
		{ "{\"instance\":\"a\",\"seeds\":[\"1.2.3.4:70000\"]}", "s.json: seeds: expected" },
		{ "{\"instance\":\"a\",\"other\":1}", "s.json: other: unknown field" },
		{ "{\"instance\":\"a\",\"instance\":\"b\"}", "s.json: instance: is given more" },
		{ "{\"instance\":", "s.json: (file): " },
		{ "[]", "s.json: (file): expected a JSON object" },
	};

	for (const auto &c : cases)
		EXPECT_NE(parse(c.text, &out).find(c.expected), std::string::npos)
			<< c.text << " gave " << parse(c.text, &out);
}

} // namespace
