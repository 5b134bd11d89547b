// Tests parsing and polling of the instance list, against standin_list.
#include <gtest/gtest.h>

#include <string>
#include <vector>

#include "base/clock.h"
#include "port/instance_list_http.h"
#include "support/http.h"
#include "support/process.h"

static const char *const ENGINE =
	R"({"name":"e1","ip":"127.0.0.1","port":80,"failure_domain":"haarlem","role":"engine","state":"live"})";

static enum dw_status parse(const std::string &body)
{
	struct dw_instance *instances;
	uint64_t generation;
	size_t count;
	enum dw_status status =
		dw_instance_list_parse(body.data(), body.size(), &generation, &instances, &count);

	free(instances);
	return status;
}

TEST(InstanceList, RejectsMalformedAndEmptyLists)
{
	std::string good = R"({"generation":1,"instances":[)" + std::string(ENGINE) + "]}";
	std::string longest = good;

	longest.replace(longest.find("e1"), 2, std::string(DW_INSTANCE_NAME_BYTES - 1, 'x'));
	EXPECT_EQ(parse(good), DW_OK);
	EXPECT_EQ(parse(longest), DW_OK);
	EXPECT_EQ(parse(R"({"generation":1,"instances":[]})"), DW_INVALID_ARGUMENT);
	EXPECT_EQ(parse(""), DW_INVALID_ARGUMENT);
	for (size_t len = 0; len < good.size(); len++)
		EXPECT_EQ(parse(good.substr(0, len)), DW_INVALID_ARGUMENT) << len;
	for (auto &change : std::vector<std::pair<std::string, std::string>>{
		     { "127.0.0.1", "localhost" },
		     { ":80", ":0" },
		     { ":80", ":65536" },
		     { ":80", ":\"80\"" },
		     { "engine", "motor" },
		     { "live", "dead" },
		     { "haarlem", "" },
		     { "\"e1\"", "\"" + std::string(DW_INSTANCE_NAME_BYTES, 'x') + "\"" },
		     { "\"generation\":1", "\"generation\":-1" } }) {
		std::string bad = good;

		bad.replace(bad.find(change.first), change.first.size(), change.second);
		EXPECT_EQ(parse(bad), DW_INVALID_ARGUMENT) << bad;
	}
}

struct reads {
	std::vector<dw_status> statuses;
	std::vector<dw_instance_state> states;
};

static void on_read(struct dw_instance_list *list, enum dw_status status, void *data)
{
	auto reads = static_cast<struct reads *>(data);
	const dw_instance_snapshot *snapshot = dw_instance_list_snapshot(list);

	reads->statuses.push_back(status);
	reads->states.push_back(snapshot ? snapshot->instances[0].state : DW_INSTANCE_STATE_COUNT);
	uv_stop(list->timer.loop);
}

TEST(InstanceList, KeepsItsSnapshotThroughFailuresAndReportsItsAge)
{
	support::process standin("standin_list", { "--lag-ms=200" });
	uint16_t port = standin.wait_listening();
	struct reads reads;
	uv_loop_t loop;

	uv_loop_init(&loop);
	struct dw_instance_list_options options = { 5 * DW_US_PER_MS, DW_US_PER_S, on_read,
						    &reads };
	struct dw_instance_list *list = dw_instance_list_http_new(&loop, dw_http_client_new(&loop),
								  "127.0.0.1", port, &options);
	auto admin = [&](const std::string &call, const std::string &body) {
		ASSERT_EQ(support::http_call(port, "POST", "/admin/" + call, body).status, 200);
	};
	auto read_until = [&](enum dw_status status, enum dw_instance_state state) {
		for (int tries = 0; tries < 1000; tries++) {
			uv_run(&loop, UV_RUN_DEFAULT);
			if (reads.statuses.back() == status && reads.states.back() == state)
				return true;
		}
		return false;
	};

	EXPECT_TRUE(read_until(DW_INVALID_ARGUMENT, DW_INSTANCE_STATE_COUNT));
	EXPECT_EQ(dw_instance_list_age_us(list, dw_clock_now_us()), UINT64_MAX);
	uint64_t set_us = dw_clock_now_us();
	admin("set", R"({"instances":[)" + std::string(ENGINE) + "]}");
	EXPECT_TRUE(read_until(DW_OK, DW_INSTANCE_LIVE));
	EXPECT_GE(dw_clock_now_us(), set_us + 200 * DW_US_PER_MS)
		<< "the change appeared before the configured lag";
	for (const char *kind : { "outage", "empty", "malformed" }) {
		admin("fault", std::string(R"({"kind":")") + kind + R"("})");
		EXPECT_TRUE(read_until(kind[0] == 'o' ? DW_UPSTREAM_FAILED : DW_INVALID_ARGUMENT,
				       DW_INSTANCE_LIVE))
			<< kind;
		uint64_t sent_us = dw_instance_list_snapshot(list)->sent_us;
		uint64_t now_us = dw_clock_now_us();
		EXPECT_EQ(dw_instance_list_age_us(list, now_us), now_us - sent_us);
		admin("fault", R"({"kind":"none"})");
		EXPECT_TRUE(read_until(DW_OK, DW_INSTANCE_LIVE));
		EXPECT_GT(dw_instance_list_snapshot(list)->sent_us, sent_us);
	}
	admin("state", R"({"name":"e1","state":"leaving"})");
	EXPECT_TRUE(read_until(DW_OK, DW_INSTANCE_LEAVING));
	dw_instance_list_free(list);
	uv_run(&loop, UV_RUN_NOWAIT);
}
