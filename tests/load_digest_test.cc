#include <gtest/gtest.h>

#include <cstdio>
#include <string>

#include <dragonflywharf/load_digest.h>

namespace
{

constexpr uint64_t MS = 1000;
constexpr uint64_t NOW = 100000 * MS;

struct LoadDigest : testing::Test {
	dw_engine_set *teller = dw_engine_set_new();
	dw_engine_set *hearer = dw_engine_set_new();
	uint8_t bytes[DW_LOAD_DIGEST_BYTES];

	~LoadDigest() override
	{
		dw_engine_set_free(teller);
		dw_engine_set_free(hearer);
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
		return dw_load_digest_write(teller, now_us, bytes, sizeof(bytes));
	}
	dw_status read(size_t len)
	{
		return dw_load_digest_read(hearer, bytes, len, NOW);
	}
};

/* Many instances: each sees little of an engine, so they tell each other. */
TEST_F(LoadDigest, ALoadReachesTheOthersWithItsAge)
{
	dw_engine *told = add(teller, "e");
	dw_engine *heard = add(hearer, "e");
	dw_engine_load load = { 5, 3, 64, NOW - 200 * MS };
	dw_engine_load_reported(told, &load);
	size_t len = write();
	ASSERT_GT(len, 0U);
	ASSERT_EQ(read(len), DW_OK);
	EXPECT_EQ(heard->load.running, 5U);
	EXPECT_EQ(heard->load.waiting, 3U);
	EXPECT_EQ(heard->load.reported_at_us, NOW - 200 * MS);
	EXPECT_EQ(write(), 0U) << "nothing new";
	EXPECT_EQ(dw_load_digest_write(hearer, NOW, bytes, sizeof(bytes)), 0U)
		<< "what was heard isn't told again";
}

TEST_F(LoadDigest, ANewerLoadStays)
{
	dw_engine *told = add(teller, "e");
	dw_engine *heard = add(hearer, "e");
	dw_engine_load old = { 9, 9, 64, NOW - 500 * MS };
	dw_engine_load recent = { 1, 0, 64, NOW - 100 * MS };
	dw_engine_load_reported(told, &old);
	dw_engine_load_reported(heard, &recent);
	ASSERT_EQ(read(write()), DW_OK);
	EXPECT_EQ(heard->load.running, 1U);
}

TEST_F(LoadDigest, StrangeBytesChangeNothing)
{
	dw_engine *heard = add(hearer, "e");
	dw_engine *told = add(teller, "e");
	dw_engine_load load = { 5, 3, 64, NOW };
	dw_engine_load_reported(told, &load);
	size_t len = write();
	for (size_t cut = 0; cut < len; cut++)
		EXPECT_NE(read(cut), DW_OK) << cut;
	const uint8_t claims[] = { 0xdd, 0xff, 0xff, 0xff, 0xff };
	EXPECT_NE(dw_load_digest_read(hearer, claims, sizeof(claims), NOW), DW_OK);
	EXPECT_EQ(heard->load.reported_at_us, 0U);
}

TEST_F(LoadDigest, ManyEnginesTakeSeveralDigests)
{
	for (int i = 0; i < 100; i++) {
		dw_engine *told = add(teller, "e" + std::to_string(i));
		dw_engine_load load = { 5, 3, 64, NOW };
		add(hearer, "e" + std::to_string(i));
		dw_engine_load_reported(told, &load);
	}
	int digests = 0;
	for (size_t len = write(); len > 0; len = write()) {
		ASSERT_EQ(read(len), DW_OK);
		ASSERT_LT(++digests, 10);
	}
	for (dw_engine *at = dw_engine_set_first(hearer); at; at = at->next)
		EXPECT_EQ(at->load.running, 5U);
}

} // namespace
