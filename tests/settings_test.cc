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
};

const struct dw_setting table[] = {
	{ "instance", DW_SETTING_NAME, offsetof(target, instance), true, 0, 0, nullptr },
	{ "ip", DW_SETTING_IP, offsetof(target, ip), false, 0, 0, "127.0.0.1" },
	{ "limit", DW_SETTING_INTEGER, offsetof(target, limit), false, 1, 10, "5" },
	{ "key", DW_SETTING_KEY, offsetof(target, key), false, 0, 0, nullptr },
	{ "seeds", DW_SETTING_ENDPOINTS, offsetof(target, seeds), false, 0, 0, nullptr },
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
