// wharfctl gateways: the store's era and the copies of gateways, before and after a restore of the store.
#include <gtest/gtest.h>

#include "support/fleet.h"
#include "support/http.h"
#include "support/json.h"

using support::wait_until;

namespace
{

enum { DONE, USAGE, REFUSED, CONFLICT, UNKNOWN, UNREACHABLE };

struct WharfctlGateways : testing::Test, support::fleet {
	WharfctlGateways() : fleet(1)
	{
	}
	std::vector<std::string> lines;

	int run(std::vector<std::string> arguments)
	{
		arguments.insert(arguments.begin(), "gateways");
		support::process ctl("wharfctl", arguments);
		int code = ctl.wait().exit_code;
		lines = ctl.lines();
		return code;
	}
	std::string address() const
	{
		return "127.0.0.1:" + std::to_string(instances[0].metrics_port);
	}
};

/* Guards against a restore that operators can't see: the era, and that the copy follows it. */
TEST_F(WharfctlGateways, ShowTheEraOfTheStore)
{
	configure("\"k1\"");
	launch(0);
	ASSERT_TRUE(wait_until([&] { return instances[0].is_ready(); }));
	EXPECT_EQ(run({ "--json", address() }), DONE);
	ASSERT_EQ(lines.size(), 1U);
	EXPECT_EQ(support::json_number(lines[0], { "era" }), 1);
	EXPECT_EQ(support::json_number(lines[0], { "config" }), version);
	support::http_call(store_port, "POST", "/admin/backup", "{}");
	support::http_call(store_port, "POST", "/admin/restore", "{}");
	ASSERT_TRUE(wait_until([&] { return instances[0].metric("store_restores") == 1; }));
	EXPECT_EQ(run({ "--json", address() }), DONE);
	EXPECT_EQ(support::json_number(lines[0], { "era" }), 2);
	EXPECT_EQ(support::json_number(lines[0], { "behind" }), 0);
}

TEST_F(WharfctlGateways, SayWhichDoesNotAnswer)
{
	std::string nobody = "127.0.0.1:" + std::to_string(support::free_port());
	EXPECT_EQ(run({ nobody }), UNREACHABLE);
	ASSERT_EQ(lines.size(), 1U);
	EXPECT_EQ(lines[0].find(nobody), 0U);
	EXPECT_EQ(run({ "nowhere" }), USAGE);
}

} // namespace
