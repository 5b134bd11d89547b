// What the gateways keep in the store, lost in a restore: it is written again by one of them, and nobody starts anew.
#include <gtest/gtest.h>

#include <algorithm>
#include <chrono>
#include <string>
#include <thread>

#include <sodium.h>

#include "support/fleet.h"
#include "support/http.h"

using support::wait_until;

namespace
{

constexpr int AWAY_MS = 500;
/* Changes after the copy was made. */
constexpr int LOST_CHANGES = 20;
constexpr const char *POISON = "0000000000000d000000000000000e00";
constexpr const char *ORDER = "{\"Service\":\"app\",\"Target\":\"v2\",\"DurationS\":20}";

struct RestoredRecords : testing::Test, support::fleet {
	RestoredRecords() : fleet(3)
	{
		backend_arguments = { "--work-ms=5" };
	}
	void SetUp() override
	{
		add_backend("e1");
		register_backend(add_backend("e2"), "e2", "ready", "v2");
		configure();
		for (size_t i = 0; i < instances.size(); i++)
			launch(i);
		ASSERT_TRUE(wait_for_all());
	}
	void back_up()
	{
		support::http_call(store_port, "POST", "/admin/backup", "{}");
	}
	void restore()
	{
		for (int i = 0; i < LOST_CHANGES; i++)
			put("elsewhere/" + std::to_string(i), "{}");
		inject_store_fault("{\"kind\":\"outage\"}");
		std::this_thread::sleep_for(std::chrono::milliseconds(AWAY_MS));
		support::http_call(store_port, "POST", "/admin/restore", "{}");
		inject_store_fault("{\"kind\":\"none\"}");
	}
	/* Lines of all instances with both texts. */
	size_t lines_with(const std::string &first, const std::string &second = "")
	{
		size_t count = 0;
		for (const auto &each : instances) {
			for (const std::string &line : each.gateway->lines())
				count += line.find(first) != std::string::npos &&
					 line.find(second) != std::string::npos;
		}
		return count;
	}
	/* The value of a key of the store; empty if it doesn't exist. */
	std::string stored(const std::string &key) const
	{
		std::string items = read_range(key);
		const std::string field = "\"Value\":\"";
		size_t begin = items.find(field);
		if (begin == std::string::npos)
			return "";
		begin += field.size();
		std::string text = items.substr(begin, items.find('"', begin) - begin);
		text.erase(std::remove(text.begin(), text.end(), '\\'), text.end());
		std::string value(text.size(), '\0');
		size_t len = 0;
		sodium_base642bin((unsigned char *)value.data(), value.size(), text.data(),
				  text.size(), nullptr, &len, nullptr,
				  sodium_base64_VARIANT_ORIGINAL);
		value.resize(len);
		return value;
	}
	bool is_stored(const std::string &key, const std::string &text) const
	{
		return stored(key).find(text) != std::string::npos;
	}
};

/* Guards against a quarantine that instances which start after the restore don't know, and a burst of its writes. */
TEST_F(RestoredRecords, AQuarantineIsWrittenAgainByOneOrTwo)
{
	std::string key = std::string("wharf/quarantine/") + POISON;
	back_up();
	put(key, "{\"crashes\":[[1,100],[2,100]],\"engines\":[]}");
	ASSERT_TRUE(wait_until([&] { return lines_with("request.quarantined") == 3; }));
	restore();
	ASSERT_EQ(stored(key), "");
	EXPECT_TRUE(wait_until([&] { return is_stored(key, "[2,100]"); }, 5000));
	EXPECT_TRUE(wait_until([&] { return lines_with("store.rewritten") > 0; }));
	EXPECT_LE(lines_with("store.rewritten", "\"quarantines\":1"), 2U);
	EXPECT_EQ(lines_with("store.rewritten", "\"parts\":1"), 0U);
}

/* Guards against a lifted quarantine that is in force again with the copy. */
TEST_F(RestoredRecords, ALiftedQuarantineStaysLifted)
{
	std::string key = std::string("wharf/quarantine/") + POISON;
	put(key, "{\"crashes\":[[1,100],[2,100]],\"engines\":[]}");
	ASSERT_TRUE(wait_until([&] { return lines_with("request.quarantined") == 3; }));
	back_up();
	put(key, "{\"lifted\":true}");
	ASSERT_TRUE(wait_until([&] { return lines_with("request.cleared") == 3; }));
	restore();
	ASSERT_TRUE(is_stored(key, "[2,100]"));
	EXPECT_TRUE(wait_until([&] { return is_stored(key, "lifted"); }, 5000));
	EXPECT_EQ(lines_with("request.quarantined"), 3U);
}

/* Guards against a rollout under way that begins anew: its order was lost, and the operator writes it again. */
TEST_F(RestoredRecords, ARolloutUnderWayGoesOn)
{
	back_up();
	put("op/rollout/app", ORDER);
	ASSERT_TRUE(wait_until([&] { return is_stored("status/rollout/app", "running"); }));
	ASSERT_TRUE(wait_until([&] { return is_stored("wharf/progress/app", "permille"); }, 15000));
	restore();
	std::this_thread::sleep_for(std::chrono::milliseconds(1500));
	put("op/rollout/app", ORDER);
	EXPECT_TRUE(wait_until([&] { return is_stored("status/rollout/app", "running"); }, 5000));
	EXPECT_TRUE(wait_until([&] { return is_stored("wharf/progress/app", "permille"); }, 5000));
	EXPECT_TRUE(wait_until(
		[&] { return lines_with("shift.changed", "\"order written again\"") == 3; }));
	EXPECT_EQ(lines_with("shift.changed", "\"cause\":\"order\""), 3U) << "once each";
}

/* Guards against a rollout that is over and runs again, as the copy has an earlier status. */
TEST_F(RestoredRecords, ARolloutThatIsOverStaysSo)
{
	put("op/rollout/app", ORDER);
	ASSERT_TRUE(wait_until([&] { return is_stored("status/rollout/app", "running"); }));
	back_up();
	put("status/rollout/app",
	    "{\"State\":\"completed\",\"Service\":\"app\",\"Target\":\"v2\"}");
	ASSERT_TRUE(wait_until(
		[&] { return lines_with("shift.changed", "\"recorded outcome\"") == 3; }));
	restore();
	ASSERT_TRUE(is_stored("status/rollout/app", "running"));
	EXPECT_TRUE(wait_until([&] { return is_stored("status/rollout/app", "completed"); }, 5000));
	put("op/rollout/app", ORDER);
	EXPECT_TRUE(wait_until(
		[&] { return lines_with("shift.changed", "\"order written again\"") == 3; }));
	std::this_thread::sleep_for(std::chrono::milliseconds(1000));
	EXPECT_TRUE(is_stored("status/rollout/app", "completed"));
	EXPECT_EQ(lines_with("shift.changed", "\"cause\":\"order\""), 3U) << "once each";
}

} // namespace
