// Upstreams that have said that they leave, over all instances. Faults: news that come late, doubled or not at
// all, a restart under the same id, an instance that starts, a flood of lifetimes, malformed messages.
#include <gtest/gtest.h>

#include <algorithm>
#include <memory>
#include <random>
#include <utility>
#include <vector>

#include <dragonflywharf/leaving_upstreams.h>

#include "net/leaving_codec.h"

namespace
{

constexpr uint64_t SECOND = 1000000;
constexpr dw_crash_upstream ENGINE = { 7, 100 };

struct Leaving : testing::Test {
	std::unique_ptr<dw_leaving_upstreams, void (*)(dw_leaving_upstreams *)> leaving{
		dw_leaving_upstreams_new(), dw_leaving_upstreams_free
	};
	dw_crash_upstream out[8];

	bool add(dw_crash_upstream upstream, bool is_own = true,
		 dw_spread_scope scope = DW_SPREAD_EVERYWHERE, uint64_t now_us = SECOND)
	{
		return dw_leaving_add(leaving.get(), upstream, is_own, scope, now_us);
	}
	size_t take(uint32_t round, dw_spread_scope scope = DW_SPREAD_EVERYWHERE)
	{
		return dw_leaving_take_news(leaving.get(), scope, round, out, 8);
	}
};

TEST_F(Leaving, OneLifetimeLeavesAndTheNextOneDoesnt)
{
	EXPECT_TRUE(add(ENGINE));
	EXPECT_FALSE(add(ENGINE)) << "doubled news";
	EXPECT_TRUE(dw_leaving_has(leaving.get(), ENGINE));
	EXPECT_FALSE(dw_leaving_has(leaving.get(), { ENGINE.id, ENGINE.incarnation + 1 }));
	EXPECT_EQ(dw_leaving_count(leaving.get()), 1U);
}

/* A lost message is repeated soon; an instance that starts learns it from those who heard it. */
TEST_F(Leaving, OwnNewsAreSentForAsLongAsTheyAreRemembered)
{
	add(ENGINE);
	size_t sends = 0;
	for (uint32_t round = 1; round <= 26; round++)
		sends += take(round);
	EXPECT_EQ(sends, 3U) << "at once, after 0.1 and 0.6 s";
	sends = 0;
	for (uint32_t round = 27; round <= 226; round++)
		sends += take(round);
	EXPECT_EQ(sends, 10U) << "then every 2 s";
}

TEST_F(Leaving, PassedOnNewsAreSentToTheirScopeOnly)
{
	add(ENGINE, false, DW_SPREAD_IN_DOMAIN);
	size_t in_domain = 0;
	size_t to_domains = 0;
	for (uint32_t round = 1; round <= 300; round++) {
		in_domain += take(round, DW_SPREAD_IN_DOMAIN);
		to_domains += take(round, DW_SPREAD_TO_DOMAINS);
	}
	EXPECT_EQ(in_domain, 3U);
	EXPECT_EQ(to_domains, 0U);
}

TEST_F(Leaving, IsForgottenLongAfterItWasHeardOf)
{
	add(ENGINE);
	dw_leaving_expire(leaving.get(), SECOND + DW_LEAVING_KEPT_US);
	EXPECT_TRUE(dw_leaving_has(leaving.get(), ENGINE));
	add(ENGINE, false, DW_SPREAD_NOWHERE, 2 * SECOND);
	dw_leaving_expire(leaving.get(), SECOND + DW_LEAVING_KEPT_US + 1);
	EXPECT_TRUE(dw_leaving_has(leaving.get(), ENGINE)) << "heard of again";
	dw_leaving_expire(leaving.get(), 2 * SECOND + DW_LEAVING_KEPT_US + 1);
	EXPECT_FALSE(dw_leaving_has(leaving.get(), ENGINE));
}

TEST_F(Leaving, AFloodForgetsTheOldest)
{
	for (uint64_t i = 1; i <= 2 * DW_LEAVING_UPSTREAMS_MAX; i++)
		add({ i, 1 });
	EXPECT_EQ(dw_leaving_count(leaving.get()), (size_t)DW_LEAVING_UPSTREAMS_MAX);
	EXPECT_FALSE(dw_leaving_has(leaving.get(), { 1, 1 }));
	EXPECT_TRUE(dw_leaving_has(leaving.get(), { 2 * DW_LEAVING_UPSTREAMS_MAX, 1 }));
}

/* A fleet in which one instance hears it from the engine; 2% of the messages are lost. */
struct Fleet {
	struct node {
		std::unique_ptr<dw_leaving_upstreams, void (*)(dw_leaving_upstreams *)> leaving{
			dw_leaving_upstreams_new(), dw_leaving_upstreams_free
		};
		std::unique_ptr<dw_spread, void (*)(dw_spread *)> spread{ dw_spread_new(),
									  dw_spread_free };
	};
	struct message {
		uint64_t at_us;
		size_t from;
		size_t to;
	};
	std::mt19937_64 random;
	std::vector<node> nodes;
	std::vector<message> messages;
	uint64_t now_us = SECOND;
	size_t sent = 0;

	Fleet(size_t count, uint32_t domains, uint64_t seed) : random(seed), nodes(count)
	{
		std::vector<dw_view_member> members;
		for (uint64_t i = 0; i < count; i++)
			members.push_back({ i + 1, i % domains + 100 });
		for (size_t i = 0; i < count; i++)
			dw_spread_place(nodes[i].spread.get(), members.data(), (uint32_t)count,
					i + 1);
	}
	void send(size_t i, dw_spread_scope scope)
	{
		dw_crash_upstream out[4];
		std::vector<size_t> to;
		if (dw_leaving_take_news(nodes[i].leaving.get(), scope,
					 (uint32_t)(now_us / DW_LEAVING_ROUND_US), out, 4) == 0)
			return;
		dw_spread_targets(
			nodes[i].spread.get(), scope, now_us,
			[](uint64_t id, void *data) {
				((std::vector<size_t> *)data)->push_back(id - 1);
			},
			&to);
		sent += to.size();
		for (size_t target : to) {
			if (random() % 1000 >= 20)
				messages.push_back({ now_us + random() % 9000, i, target });
		}
	}
	void send_news(size_t i)
	{
		if (!dw_spread_is_relay(nodes[i].spread.get())) {
			send(i, DW_SPREAD_EVERYWHERE);
			return;
		}
		send(i, DW_SPREAD_IN_DOMAIN);
		send(i, DW_SPREAD_TO_DOMAINS);
	}
	size_t count_known()
	{
		size_t known = 0;
		for (const node &each : nodes)
			known += dw_leaving_has(each.leaving.get(), ENGINE);
		return known;
	}
	/* Time until all know it, in steps of 1 ms. */
	uint64_t spread_from(size_t first)
	{
		dw_leaving_add(nodes[first].leaving.get(), ENGINE, true, DW_SPREAD_EVERYWHERE,
			       now_us);
		send_news(first);
		uint64_t began_us = now_us;
		for (; count_known() < nodes.size() && now_us < began_us + 10 * SECOND;
		     now_us += 1000) {
			std::vector<message> due;
			for (size_t m = 0; m < messages.size();) {
				if (messages[m].at_us > now_us) {
					m++;
					continue;
				}
				due.push_back(messages[m]);
				messages[m] = messages.back();
				messages.pop_back();
			}
			for (const message &each : due) {
				dw_spread_scope scope = dw_spread_received(
					nodes[each.to].spread.get(), each.from + 1, now_us);
				if (dw_leaving_add(nodes[each.to].leaving.get(), ENGINE, false,
						   scope, now_us))
					send_news(each.to);
			}
			for (size_t i = 0; now_us % DW_LEAVING_ROUND_US == 0 && i < nodes.size();
			     i++)
				send_news(i);
		}
		return now_us - began_us;
	}
};

/* The stated target: no request from any instance in touch later than 1 s. */
TEST(LeavingFleet, AllKnowItWithinASecond)
{
	for (auto [count, domains] :
	     { std::pair<size_t, uint32_t>{ 8, 3 }, { 90, 4 }, { 295, 6 } }) {
		uint64_t worst_us = 0;
		size_t sent = 0;
		for (uint64_t seed = 1; seed <= 20; seed++) {
			Fleet fleet(count, domains, seed);
			worst_us = std::max(worst_us, fleet.spread_from(seed * 7 % count));
			sent = std::max(sent, fleet.sent);
		}
		printf("%zu instances: all know it after %.0f ms at most, %zu messages\n", count,
		       (double)worst_us / 1000, sent);
		EXPECT_LE(worst_us, SECOND) << count;
	}
}

TEST(LeavingCodec, DecodesWhatItEncodedAndRejectsOthers)
{
	dw_crash_upstream sent[2] = { ENGINE, { UINT64_MAX, 0 } };
	dw_crash_upstream read[LEAVING_MESSAGE_ENTRIES];
	size_t count = 0;
	msgpack_sbuffer buffer;
	msgpack_sbuffer_init(&buffer);
	ASSERT_EQ(leaving_message_encode(sent, 2, &buffer), DW_OK);
	auto *bytes = (uint8_t *)buffer.data;
	ASSERT_EQ(leaving_message_decode(bytes, buffer.size, read, &count), DW_OK);
	ASSERT_EQ(count, 2U);
	EXPECT_EQ(read[1].id, UINT64_MAX);
	EXPECT_EQ(read[0].incarnation, ENGINE.incarnation);
	for (size_t len = 0; len < buffer.size; len++)
		EXPECT_NE(leaving_message_decode(bytes, len, read, &count), DW_OK) << len;
	const uint8_t odd[] = { 0x93, 1, 2, 3 };
	EXPECT_EQ(leaving_message_decode(odd, sizeof(odd), read, &count), DW_INVALID_ARGUMENT);
	const uint8_t negative[] = { 0x92, 1, 0xff };
	EXPECT_EQ(leaving_message_decode(negative, sizeof(negative), read, &count),
		  DW_INVALID_ARGUMENT);
	msgpack_sbuffer_destroy(&buffer);
}

} // namespace
