// Records that take something away, on real wharf-gateways: whatever else a configuration contains, the keys that
// it doesn't list are refused in time, and a record that can't be read or kept leaves nothing in use.
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

/* A list of @p count models as routes and services name them. */
std::string models(int count, const std::string &before, const std::string &after)
{
	std::string list;
	for (int i = 0; i < count; i++)
		list += (i > 0 ? "," : "") + before + "\"m" + std::to_string(i) + "\"" + after;
	return "[" + list + "]";
}

/* Guards against a configuration that is refused as a whole because a list in it is one longer than what was
 * thought of, so that the key that it takes away goes on working. */
TEST_F(KeyRemoval, TheKeyIsRefusedBesideNineModelsAndNineShares)
{
	start_engine();
	for (int count : { 8, 9, 40 }) {
		std::string shares;
		for (int i = 1; i < count; i++)
			shares += "{\"Service\":\"s" + std::to_string(i) + "\",\"Weight\":0},";
		std::string routes =
			"," + route("many", "stream", 2,
				    ",\"Sizes\":" + models(count, "", "") + ",\"TrafficSplit\":[" +
					    shares + "{\"Service\":\"app\",\"Weight\":1}]");
		put_config(",\"Tenants\":[{\"Name\":\"workshop\",\"ApiKeys\":[\"k2\"]}]", routes);
		expect_refused("k1", std::to_string(count));
		EXPECT_EQ(call(0, "GET", "/look/1", "k2").status, 200) << count;
		EXPECT_EQ(call(0, "GET", "/many/1", "k2").status, 200) << count;
		EXPECT_EQ(instances[0].metric("config_defects"), 0) << count;
		put_config(",\"Tenants\":[{\"Name\":\"workshop\",\"ApiKeys\":[\"k1\",\"k2\"]}]");
		EXPECT_EQ(call(0, "GET", "/look/1", "k1").status, 200) << count;
	}
}

/* The same for a part that can't be read at all. It decides nothing: its route refuses its requests, and no
 * shorter prefix takes them. */
TEST_F(KeyRemoval, TheKeyIsRefusedBesideAPartThatIsUnreadable)
{
	start_engine();
	std::string odd = route("look/odd", "unheard-of", 2);
	put_config(",\"Tenants\":[{\"Name\":\"workshop\",\"ApiKeys\":[\"k2\",7]}]", "," + odd);
	for (const char *path : PATHS) {
		http_answer got = call(0, "GET", path, "k1");
		EXPECT_EQ(got.status, 503) << "that the key is unknown isn't certain";
		EXPECT_NE(got.body.find("\"not_run\":true"), std::string::npos) << got.body;
		EXPECT_EQ(call(0, "GET", path, "").status, 401);
	}
	EXPECT_EQ(call(0, "GET", "/look/odd/1", "k2").status, 503);
	EXPECT_EQ(runs, 0);
	EXPECT_EQ(call(0, "GET", "/look/1", "k2").status, 200);
	EXPECT_EQ(call(0, "GET", "/open/1", "").status, 200);
	EXPECT_EQ(instances[0].metric("config_defects"), 2);
	http_answer ready =
		support::http_call(instances[0].ready_port, "GET", "/dragonflywharf/ready");
	EXPECT_EQ(ready.status, 200);
	EXPECT_NE(ready.body.find("2 parts of configuration"), std::string::npos) << ready.body;
}

/* Guards against an instance that takes its configuration for the newest, and is ready, while a newer one can't
 * be read: that may have taken any key away. */
TEST_F(KeyRemoval, EachKeyIsRefusedInTimeAfterAConfigurationThatIsUnreadable)
{
	start_engine();
	ASSERT_EQ(call(0, "GET", "/look/1", "k1").status, 200);
	for (const char *text : { "{", "{\"Version\":\"9\",\"Routes\":[]}" }) {
		put("op/config", text);
		int64_t acknowledged_ms = support::now_ms();
		EXPECT_TRUE(
			wait_until([&] { return instances[0].metric("config_unreadable") == 1; }));
		EXPECT_TRUE(wait_until([&] { return !instances[0].is_ready(); }));
		EXPECT_LE(support::now_ms() - acknowledged_ms, revocation_ms) << text;
		int before = runs;
		for (const char *path : PATHS) {
			EXPECT_EQ(call(0, "GET", path, "k1").status, 503) << path << text;
			EXPECT_EQ(call(0, "GET", path, "unknown").status, 401) << path << text;
		}
		EXPECT_EQ(runs, before);
		EXPECT_EQ(call(0, "GET", "/open/1", "").status, 200) << text;
		/* A proof of the copy is no proof that the configuration in force is the newest. */
		EXPECT_FALSE(instances[0].is_ready());
		put_config(",\"Tenants\":[{\"Name\":\"workshop\",\"ApiKeys\":[\"k1\"]}]");
		EXPECT_TRUE(wait_until([&] { return instances[0].is_ready(); }));
		EXPECT_EQ(call(0, "GET", "/look/1", "k1").status, 200) << text;
	}
}

/* The same for an instance that starts beside it: it has no configuration at all. */
TEST_F(KeyRemoval, AnInstanceThatStartsBesideAnUnreadableConfigurationIsNotReady)
{
	start_engine();
	put("op/config", "{");
	instances[0].gateway->kill();
	launch(0);
	EXPECT_TRUE(wait_until([&] { return instances[0].metric("config_unreadable") == 1; }));
	EXPECT_FALSE(instances[0].is_ready());
	EXPECT_EQ(call(0, "GET", "/look/1", "k1").status, 503);
	EXPECT_EQ(runs, 0);
}

/* The same for an engine: an entry that can't be read may say that it leaves. */
TEST_F(KeyRemoval, AnEngineWhoseEntryIsUnreadableGetsNoRequests)
{
	start_engine();
	ASSERT_EQ(call(0, "GET", "/look/1", "k1").status, 200);
	put("servers/e1", "{\"State\":\"draining\"}");
	EXPECT_TRUE(wait_until([&] { return instances[0].metric("engines_usable") == 0; }));
	int before = runs;
	EXPECT_EQ(call(0, "GET", "/look/1", "k1").status, 503);
	EXPECT_EQ(runs, before);
	EXPECT_EQ(instances[0].metric("engines_ended"), 0) << "that is no sign of a crash";
	register_engine(0);
	EXPECT_TRUE(wait_until([&] { return instances[0].metric("engines_usable") == 1; }));
	EXPECT_EQ(call(0, "GET", "/look/1", "k1").status, 200);
}

/* The same for failure domains: one more than the list held was silently kept in use. */
TEST_F(KeyRemoval, EachOfManyEvacuatedDomainsGetsNoRequests)
{
	start_engine();
	for (int i = 0; i < 30; i++)
		put("op/evacuate/z" + std::to_string(i), "{}");
	put("op/evacuate/a", "{}");
	EXPECT_TRUE(wait_until([&] { return instances[0].metric("domains_evacuated") == 31; }));
	EXPECT_EQ(call(0, "GET", "/look/1", "k1").status, 503);
	EXPECT_EQ(runs, 0);
	remove("op/evacuate/a");
	EXPECT_TRUE(wait_until([&] { return instances[0].metric("domains_evacuated") == 30; }));
	EXPECT_EQ(call(0, "GET", "/look/1", "k1").status, 200);
}

} // namespace
