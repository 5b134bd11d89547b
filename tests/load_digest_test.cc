#include <gtest/gtest.h>

#include <cstdio>
#include <string>

#include <dragonflywharf/load_digest.h>

namespace
{

constexpr uint64_t MS = 1000;
constexpr uint64_t NOW = 100000 * MS;

struct LoadDigest : testing::Test {
	dw_engine_set *sender = dw_engine_set_new();
	dw_engine_set *receiver = dw_engine_set_new();
	uint8_t bytes[DW_LOAD_DIGEST_BYTES];

	~LoadDigest() override
	{
		dw_engine_set_free(sender);
		dw_engine_set_free(receiver);
	}
	static dw_engine *add(dw_engine_set *set, const std::string &id)
	{
		dw_engine_entry entry{};
		snprintf(entry.id, sizeof(entry.id), "%s", id.c_str());
		dw_engine_set_put(set, &entry, 0);
		return dw_engine_set_find(set, id.c_str());
	}
	size_t write(uint64_t now_us = NOW)
	{
		return dw_load_digest_write(sender, DW_SPREAD_EVERYWHERE, now_us, bytes,
					    sizeof(bytes));
	}
	dw_status read(size_t len)
	{
		return dw_load_digest_read(receiver, DW_SPREAD_NOWHERE, bytes, len, NOW);
	}
};

/* With many instances, each rarely hears from an engine itself, so they exchange the loads. */
TEST_F(LoadDigest, LoadReachesOtherInstancesWithItsAge)
{
	dw_engine *sender_engine = add(sender, "e");
	dw_engine *receiver_engine = add(receiver, "e");
	dw_engine_load load = { 5, 3, 64, NOW - 200 * MS, 0 };
	dw_engine_load_reported(sender_engine, &load);
	size_t len = write();
	ASSERT_GT(len, 0U);
	ASSERT_EQ(read(len), DW_OK);
	EXPECT_EQ(receiver_engine->load.running, 5U);
	EXPECT_EQ(receiver_engine->load.waiting, 3U);
	EXPECT_EQ(receiver_engine->load.reported_at_us, NOW - 200 * MS);
	EXPECT_EQ(write(), 0U) << "nothing new";
	EXPECT_EQ(dw_load_digest_write(receiver, DW_SPREAD_EVERYWHERE, NOW, bytes, sizeof(bytes)),
		  0U)
		<< "received loads are not passed on";
}

/* A relay passes loads on that it received, to where they still have to go, and only if they are news
 * to it. */
TEST_F(LoadDigest, RelayPassesLoadsOn)
{
	dw_engine *sender_engine = add(sender, "e");
	add(receiver, "e");
	dw_engine_load load = { 15, 3, 64, NOW, 0 };
	dw_engine_load_reported(sender_engine, &load);
	size_t len = write();
	ASSERT_EQ(dw_load_digest_read(receiver, DW_SPREAD_EVERYWHERE, bytes, len, NOW), DW_OK);
	uint8_t passed_on[DW_LOAD_DIGEST_BYTES];
	auto write_to = [&](dw_spread_scope scope) {
		return dw_load_digest_write(receiver, scope, NOW, passed_on, sizeof(passed_on));
	};
	EXPECT_GT(write_to(DW_SPREAD_IN_DOMAIN), 0U);
	EXPECT_EQ(write_to(DW_SPREAD_IN_DOMAIN), 0U) << "sent once";
	EXPECT_GT(write_to(DW_SPREAD_TO_DOMAINS), 0U);
	ASSERT_EQ(dw_load_digest_read(receiver, DW_SPREAD_EVERYWHERE, bytes, len, NOW), DW_OK);
	EXPECT_EQ(write_to(DW_SPREAD_EVERYWHERE), 0U) << "a repeated digest is no news";
}

/* 3,000 engines: with each report passed on, a relay's datagrams filled a link of 20 Mbit/s. */
TEST_F(LoadDigest, RelayPassesOnWhatMatters)
{
	dw_engine *sender_engine = add(sender, "e");
	dw_engine *relayed = add(receiver, "e");
	uint64_t now_us = NOW;
	auto is_passed_on = [&](uint32_t running) {
		dw_engine_load load = { running, 0, 64, now_us, 0 };
		dw_engine_load_reported(sender_engine, &load);
		size_t len = write(now_us);
		relayed->load_scope = DW_SPREAD_NOWHERE;
		EXPECT_EQ(dw_load_digest_read(receiver, DW_SPREAD_EVERYWHERE, bytes, len, now_us),
			  DW_OK);
		EXPECT_EQ(relayed->load.running, running);
		return relayed->load_scope != DW_SPREAD_NOWHERE;
	};
	EXPECT_FALSE(is_passed_on(3));
	now_us += 100 * MS;
	EXPECT_TRUE(is_passed_on(20));
	now_us += 100 * MS;
	EXPECT_FALSE(is_passed_on(22));
	now_us += 1500 * MS;
	EXPECT_TRUE(is_passed_on(22)) << "receivers would forget it";
	now_us += 100 * MS;
	EXPECT_TRUE(is_passed_on(5));
	now_us += 3000 * MS;
	EXPECT_FALSE(is_passed_on(4)) << "little is in use, and receivers assume so";
}

TEST_F(LoadDigest, NewerLoadIsKept)
{
	dw_engine *sender_engine = add(sender, "e");
	dw_engine *receiver_engine = add(receiver, "e");
	dw_engine_load old = { 9, 9, 64, NOW - 500 * MS, 0 };
	dw_engine_load recent = { 1, 0, 64, NOW - 100 * MS, 0 };
	dw_engine_load_reported(sender_engine, &old);
	dw_engine_load_reported(receiver_engine, &recent);
	ASSERT_EQ(read(write()), DW_OK);
	EXPECT_EQ(receiver_engine->load.running, 1U);
}

TEST_F(LoadDigest, MalformedDigestChangesNothing)
{
	dw_engine *receiver_engine = add(receiver, "e");
	dw_engine *sender_engine = add(sender, "e");
	dw_engine_load load = { 5, 3, 64, NOW, 0 };
	dw_engine_load_reported(sender_engine, &load);
	size_t len = write();
	for (size_t cut = 0; cut < len; cut++)
		EXPECT_NE(read(cut), DW_OK) << cut;
	const uint8_t oversized_array[] = { 0xdd, 0xff, 0xff, 0xff, 0xff };
	EXPECT_NE(dw_load_digest_read(receiver, DW_SPREAD_NOWHERE, oversized_array,
				      sizeof(oversized_array), NOW),
		  DW_OK);
	EXPECT_EQ(receiver_engine->load.reported_at_us, 0U);
}

TEST_F(LoadDigest, ManyEnginesNeedSeveralDigests)
{
	for (int i = 0; i < 100; i++) {
		dw_engine *sender_engine = add(sender, "e" + std::to_string(i));
		dw_engine_load load = { 5, 3, 64, NOW, 0 };
		add(receiver, "e" + std::to_string(i));
		dw_engine_load_reported(sender_engine, &load);
	}
	int digests = 0;
	for (size_t len = write(); len > 0; len = write()) {
		ASSERT_EQ(read(len), DW_OK);
		ASSERT_LT(++digests, 10);
	}
	for (dw_engine *at = dw_engine_set_first(receiver); at; at = at->next)
		EXPECT_EQ(at->load.running, 5U);
}

} // namespace
