// Several wharf-gateway processes that share one view of the store: real sockets, between a simulated
// store and simulated back ends.
#include <gtest/gtest.h>

#include <csignal>

#include <algorithm>
#include <chrono>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "support/fleet.h"
#include "support/raw_socket.h"

using support::http_call;
using support::instance;
using support::now_ms;
using support::wait_until;

namespace
{

constexpr int CHANGE_MS = 2000;
constexpr int REVOCATION_MS = 3000;
constexpr size_t INSTANCES = 6;

struct Fleet : testing::Test, support::fleet {
	Fleet() : support::fleet(INSTANCES)
	{
		change_ms = CHANGE_MS;
		revocation_ms = REVOCATION_MS;
	}
	void wait_for_fleet()
	{
		ASSERT_TRUE(wait_for_all());
	}
	void SetUp() override
	{
		add_backend("e1");
		configure();
		for (size_t i = 0; i < INSTANCES; i++)
			launch(i);
		wait_for_fleet();
	}
	std::vector<size_t> readers() const
	{
		std::vector<size_t> found;
		for (size_t i = 0; i < INSTANCES; i++) {
			if (instances[i].metric("view_rank") < 2)
				found.push_back(i);
		}
		return found;
	}
	int look(size_t i, const std::string &key)
	{
		return call(i, "GET", "/look/1", key).status;
	}
	/* Time until the instance answers requests with the key with @p status. */
	int64_t time_until(size_t i, const std::string &key, int status, int64_t since_ms)
	{
		wait_until([&] { return look(i, key) == status; });
		return now_ms() - since_ms;
	}
};

/* Two of the instances read the store; all others have each change from them, in time. */
TEST_F(Fleet, AFewInstancesReadTheStore)
{
	auto reading = readers();
	ASSERT_EQ(reading.size(), 2U);
	std::this_thread::sleep_for(std::chrono::milliseconds(CHANGE_MS));
	std::vector<int64_t> calls;
	for (const instance &each : instances)
		calls.push_back(each.metric("store_calls"));
	for (int version_of_keys = 0; version_of_keys < 3; version_of_keys++) {
		std::string key = "new-" + std::to_string(version_of_keys);
		configure("\"k1\",\"" + key + "\"");
		int64_t changed_ms = now_ms();
		for (size_t i = 0; i < INSTANCES; i++)
			EXPECT_LT(time_until(i, key, 200, changed_ms), CHANGE_MS) << i;
	}
	for (size_t i = 0; i < INSTANCES; i++) {
		bool is_reader = std::count(reading.begin(), reading.end(), i) > 0;
		if (!is_reader) {
			EXPECT_EQ(instances[i].metric("store_calls"), calls[i]) << i;
		}
		EXPECT_EQ(instances[i].metric("view_hops") == 0, is_reader) << i;
	}
}

/* Both readers are suspended just before a key is withdrawn: the others refuse it in time, and the
 * readers do as soon as they run again. */
TEST_F(Fleet, SuspendedReadersAreReplaced)
{
	auto suspended = readers();
	configure("\"k1\",\"k2\"");
	for (size_t i = 0; i < INSTANCES; i++)
		ASSERT_TRUE(wait_until([&] { return look(i, "k2") == 200; })) << i;
	for (size_t i : suspended)
		instances[i].gateway->signal(SIGSTOP);
	configure("\"k1\"");
	int64_t withdrawn_ms = now_ms();
	for (size_t i = 0; i < INSTANCES; i++) {
		if (std::count(suspended.begin(), suspended.end(), i) == 0) {
			EXPECT_LT(time_until(i, "k2", 401, withdrawn_ms), CHANGE_MS) << i;
		}
	}
	while (now_ms() < withdrawn_ms + REVOCATION_MS)
		std::this_thread::sleep_for(std::chrono::milliseconds(50));
	int64_t runs = sum_stat("runs");
	for (size_t i : suspended) {
		instances[i].gateway->signal(SIGCONT);
		int status = look(i, "k2");
		EXPECT_TRUE(status == 401 || status == 503) << status;
		EXPECT_TRUE(wait_until([&] { return look(i, "k1") == 200; })) << i;
	}
	EXPECT_EQ(look(suspended[0], "k2"), 401);
	EXPECT_EQ(sum_stat("runs"), runs + (int64_t)suspended.size());
}

/* What an instance gets at its start from the others, who remember more than the store, doesn't bring
 * back a back end that has left or a key that was withdrawn. */
TEST_F(Fleet, ARestartBringsNothingBack)
{
	support::backend &leaving = add_backend("e2");
	configure("\"k1\",\"k2\"");
	for (size_t i = 0; i < INSTANCES; i++)
		ASSERT_TRUE(wait_until([&] {
			return instances[i].metric("engines_usable") == 2 && look(i, "k2") == 200;
		})) << i;
	for (size_t i = 0; i < INSTANCES; i += 2)
		instances[i].gateway->kill();
	remove("servers/e2");
	configure("\"k1\"");
	for (size_t i = 1; i < INSTANCES; i += 2)
		EXPECT_TRUE(wait_until([&] { return look(i, "k2") == 401; })) << i;
	int64_t runs = leaving.read_stat("runs");
	for (size_t i = 0; i < INSTANCES; i += 2)
		launch(i);
	for (size_t i = 0; i < INSTANCES; i += 2)
		ASSERT_TRUE(wait_until([&] { return instances[i].is_ready(); })) << i;
	for (size_t i = 0; i < INSTANCES; i++) {
		EXPECT_EQ(look(i, "k2"), 401) << i;
		EXPECT_EQ(instances[i].metric("engines_usable"), 1) << i;
		for (int request = 0; request < 5; request++)
			EXPECT_EQ(look(i, "k1"), 200) << i;
	}
	EXPECT_EQ(leaving.read_stat("runs"), runs);
}

/* Guards against the incident DRAIN: an instance whose copy was late took that for an outage of the
 * store, told the others, and all kept using a back end that had left for 2.2 s more. */
TEST_F(Fleet, ALateCopyOfOneInstanceIsNoOutageOfTheStore)
{
	auto suspended = readers();
	int64_t taken_ms[INSTANCES] = { 0 };
	for (size_t i : suspended)
		instances[i].gateway->signal(SIGSTOP);
	std::this_thread::sleep_for(std::chrono::milliseconds(CHANGE_MS));
	for (size_t i : suspended)
		instances[i].gateway->signal(SIGCONT);
	for (size_t i : suspended)
		ASSERT_TRUE(wait_until([&] { return look(i, "k1") == 200; })) << i;
	remove("servers/e1");
	int64_t removed_ms = now_ms();
	for (size_t i = 0; i < INSTANCES; i++)
		ASSERT_TRUE(wait_until([&] {
			taken_ms[i] = now_ms() - removed_ms;
			return instances[i].metric("engines_usable") == 0;
		})) << i;
	for (size_t i = 0; i < INSTANCES; i++)
		EXPECT_LT(taken_ms[i], CHANGE_MS) << i;
}

/* Entries that expired while the store was away: their back ends register again soon after. */
TEST_F(Fleet, ABackEndWhoseEntryExpiredInAnOutageStaysInUse)
{
	std::this_thread::sleep_for(std::chrono::milliseconds(CHANGE_MS));
	inject_store_fault("{\"kind\":\"outage\"}");
	std::this_thread::sleep_for(std::chrono::milliseconds(CHANGE_MS));
	remove("servers/e1");
	int64_t back_ms = now_ms();
	inject_store_fault("{\"kind\":\"none\"}");
	while (now_ms() < back_ms + 1500) {
		for (const instance &each : instances)
			ASSERT_EQ(each.metric("engines_usable"), 1) << each.name;
	}
	register_backend(*backends[0], "e1");
	for (size_t i = 0; i < INSTANCES; i++)
		EXPECT_TRUE(wait_until([&] { return look(i, "k1") == 200; })) << i;
	remove("servers/e1");
	for (const instance &each : instances)
		EXPECT_TRUE(wait_until([&] { return each.metric("engines_usable") == 0; }));
}

/* Each instance has a slow link to the store: an answer with a large configuration takes 1.5 s. */
struct SlowLinks : Fleet {
	static constexpr int ROUTES = 1450;
	static constexpr uint64_t BYTES_PER_S = 300000;

	void SetUp() override
	{
		change_ms = 3000;
		for (size_t i = 0; i < INSTANCES; i++)
			store_links.push_back(std::make_unique<support::relay>(store_port));
		Fleet::SetUp();
		for (int i = 0; i < ROUTES; i++)
			more_routes +=
				"," + route("r" + std::to_string(i * 7919 % 100003), "safe", 2);
		configure();
		for (size_t i = 0; i < INSTANCES; i++)
			ASSERT_TRUE(wait_until([&] { return look_at(i, "r0") == 200; })) << i;
		for (auto &link : store_links)
			link->limit_answers(BYTES_PER_S);
	}
	int look_at(size_t i, const std::string &route_name)
	{
		return call(i, "GET", "/" + route_name + "/1").status;
	}
};

/* Guards against the incident CONFIG: the store's answer with a large configuration was given up
 * while it arrived, read again from its start, and by each instance for itself. */
TEST_F(SlowLinks, ALargeConfigurationIsInForceInTime)
{
	for (int change = 0; change < 3; change++) {
		std::string key = "new-" + std::to_string(change);
		configure("\"k1\",\"" + key + "\"");
		int64_t changed_ms = now_ms();
		int64_t taken_ms[INSTANCES];
		for (size_t i = 0; i < INSTANCES; i++)
			taken_ms[i] = time_until(i, key, 200, changed_ms);
		for (size_t i = 0; i < INSTANCES; i++)
			EXPECT_LT(taken_ms[i], change_ms) << i;
	}
}

/* Guards against the incident DRAIN: the removal of a back end waited behind large configurations. */
TEST_F(SlowLinks, ABackEndThatLeavesBesideALargeConfigurationIsUsedNoMoreInTime)
{
	add_backend("e2");
	for (const instance &each : instances)
		ASSERT_TRUE(wait_until([&] { return each.metric("engines_usable") == 2; }));
	configure("\"k1\",\"k2\"");
	remove("servers/e2");
	int64_t removed_ms = now_ms();
	int64_t taken_ms[INSTANCES];
	for (size_t i = 0; i < INSTANCES; i++)
		ASSERT_TRUE(wait_until([&] {
			taken_ms[i] = now_ms() - removed_ms;
			return instances[i].metric("engines_usable") == 1;
		})) << i;
	for (size_t i = 0; i < INSTANCES; i++)
		EXPECT_LT(taken_ms[i], change_ms) << i;
}

/* All processes die at once and start again: each is ready soon, and two of them read the store. */
TEST_F(Fleet, AllRestartTogether)
{
	for (const instance &each : instances)
		each.gateway->kill();
	int64_t started_ms = now_ms();
	for (size_t i = 0; i < INSTANCES; i++)
		launch(i);
	for (const instance &each : instances)
		ASSERT_TRUE(wait_until([&] { return each.is_ready(); })) << each.name;
	EXPECT_LT(now_ms() - started_ms, 2000);
	wait_for_fleet();
	EXPECT_EQ(readers().size(), 2U);
}

/* Bytes that are no message, on the ports of the other instances, change nothing. */
TEST_F(Fleet, MalformedPeerMessagesAreIgnored)
{
	std::string long_text(3000, 'x');
	for (const std::string &path :
	     { std::string("/view/4?after="), std::string("/view/4?after=-1"),
	       std::string("/view/2?after=1"), std::string("/view/5?after=1"),
	       std::string("/view/4?after=1&new=2"), std::string("/view/1?after=1"),
	       std::string("/view/3?after=1"), std::string("/view/4?after=99999999999999999999999"),
	       "/" + long_text, std::string("/metrics") }) {
		std::string answer = support::exchange_bytes(
			"127.0.7.1", peer_port, "GET " + path + " HTTP/1.1\r\nHost: x\r\n\r\n");
		EXPECT_EQ(answer.find("HTTP/1.1 200"), std::string::npos) << path;
		EXPECT_TRUE(instances[0].is_ready()) << path;
	}
	support::exchange_bytes("127.0.7.1", peer_port, std::string("\0\xff\r\n\r\n", 6));
	for (const std::string &bytes :
	     { std::string(1, '\0'), std::string("\1"), std::string("\1\1"), std::string("\1\2"),
	       std::string("\1\3abcdefgh"), std::string("\1\1\xdd\xff\xff\xff\xff"),
	       std::string("\1\4") + long_text.substr(0, 1400), std::string("\2\1") }) {
		support::send_datagram("127.0.7.1", peer_port, bytes);
		EXPECT_TRUE(instances[0].is_ready());
	}
	EXPECT_TRUE(wait_until([&] { return instances[0].metric("bad_inputs_total") >= 7; }));
	EXPECT_EQ(look(0, "k1"), 200);
	EXPECT_EQ(instances[0].metric("members"), INSTANCES);
}

} // namespace
