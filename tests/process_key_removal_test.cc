// Configurations that take keys away, on real wharf-gateways: whatever else such a configuration contains, the
// keys that it doesn't list are refused in time.
#include <gtest/gtest.h>

#include <atomic>
#include <string>

#include "support/raw_fleet.h"

using support::answer_with_length;
using support::http_answer;
using support::raw_connection;
using support::wait_until;

namespace
{

const char *const PATHS[] = { "/look/1", "/book/1", "/chat/1" };

struct KeyRemoval : support::raw_fleet {
	std::atomic<int> runs{ 0 };

	void start_engine()
	{
		std::string open = route("open", "safe", 2);
		more_routes = "," + open.replace(open.rfind("false"), 5, "true");
		start(1, [&](raw_connection &connection, const std::string &request) {
			runs++;
			connection.send(answer_with_length("200 OK", request, "id: 1\ndata: x\n\n",
							   "Content-Type: text/event-stream\r\n"));
		});
	}
	/* Writes the next configuration, with @p tail after its limits. */
	void put_config(const std::string &tail, const std::string &routes = "")
	{
		version += 3;
		put("op/config",
		    "{\"Version\":" + std::to_string(version) + ",\"Routes\":[" +
			    route("look", "safe", 2) + "," + route("book", "unsafe", 1) + "," +
			    route("chat", "stream", 3) + more_routes + routes +
			    "],\"Services\":[{\"Name\":\"app\",\"HealthPath\":\"/health\"}]" +
			    tail + "}");
		EXPECT_TRUE(wait_until(
			[&] { return instances[0].metric("config_version") == version; }));
	}
	void expect_refused(const std::string &key, const std::string &what)
	{
		int before = runs;
		for (const char *path : PATHS)
			EXPECT_EQ(call(0, "GET", path, key).status, 401) << path << " " << what;
		EXPECT_EQ(runs, before) << what;
	}
};

/* Guards against keys that were taken away, and requests without any, that run once no tenant is left. */
TEST_F(KeyRemoval, TheLastKeyIsRefusedWhenNoTenantIsLeft)
{
	start_engine();
	for (const char *path : PATHS)
		ASSERT_EQ(call(0, "GET", path, "k1").status, 200);
	for (const char *tenants : { "[]", "[{\"Name\":\"workshop\",\"ApiKeys\":[]}]",
				     "[{\"Name\":\"workshop\"}]", "null" }) {
		put_config(std::string(",\"Tenants\":") + tenants);
		expect_refused("k1", tenants);
		expect_refused("", tenants);
		EXPECT_EQ(call(0, "GET", "/open/1", "").status, 200) << tenants;
	}
	put_config("");
	EXPECT_EQ(call(0, "GET", "/look/1", "").status, 200) << "without the field none is needed";
}

} // namespace
