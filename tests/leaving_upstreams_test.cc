// Upstreams that have said that they leave, over all instances. Faults: news that come late, doubled or not at
// all, a restart under the same id, an instance that starts, a flood of lifetimes, malformed messages.
#include <gtest/gtest.h>

#include <memory>

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
